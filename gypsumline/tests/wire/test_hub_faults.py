"""Tests of the hub with peers that are faulty, slow, silent or newer."""

import asyncio
import contextlib
import random

import msgpack
import pytest

from gypsumline.core.errors import FrameTooLargeError
from gypsumline.core.identity import Role
from gypsumline.core.message import Goodbye
from gypsumline.core.messages import HandOverAck
from gypsumline.runtime import metrics
from gypsumline.tests.wire.test_hub import (
    HOST,
    Recorder,
    listen,
    member,
    wait_until,
)
from gypsumline.wire import backoff, connection, hub
from gypsumline.wire.codec import FRAME_LIMIT_BYTES, LENGTH
from gypsumline.wire.hub import running_hub

AGENT = {
    "member_id": "agent-1",
    "incarnation": 1,
    "role": "agent",
    "availability_zone": "piraeus",
}


def encode_raw_frame(name, fields, version=1):
    body = msgpack.packb([version, name, fields])
    return LENGTH.pack(len(body)) + body


def encode_hello(lowest=1, highest=1, version=1):
    fields = {"member": AGENT, "lowest_version": lowest}
    return encode_raw_frame(
        "hello", {**fields, "highest_version": highest}, version
    )


class RawPeer:
    """A connection to a hub that sends raw bytes."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def read(self):
        """Returns the name and fields of the next frame, or None."""
        try:
            header = await self.reader.readexactly(4)
            body = await self.reader.readexactly(LENGTH.unpack(header)[0])
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return msgpack.unpackb(body)[1:]

    async def is_closed(self):
        """Returns True once the hub has closed the connection."""
        async with asyncio.timeout(5):
            while await self.read() is not None:
                pass
        return True


@contextlib.asynccontextmanager
async def hub_and_peer(listener=None):
    recorder = listener or Recorder()
    entry = member("entry-1", Role.ENTRY)
    async with running_hub(entry, recorder, random.Random(1)) as running:
        address = await listen(running)
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            yield running, recorder, RawPeer(reader, writer)
        finally:
            writer.close()


@pytest.mark.parametrize(
    "data",
    [
        b"\x00",
        b"\x00\x00\x00\x05abc",
        LENGTH.pack(FRAME_LIMIT_BYTES + 1),
        LENGTH.pack(0),
        LENGTH.pack(3) + b"\xc1\xc1\xc1",
        encode_raw_frame("heartbeat", {"sequence": "x"}),
        encode_raw_frame("no_such", {}),
        encode_raw_frame("goodbye", {"reason": "stop"}, version=9),
    ],
)
async def test_invalid_frame_closes_the_connection(data):
    """Guards against a faulty peer that stays connected or causes a crash."""
    async with hub_and_peer() as (running, recorder, peer):
        peer.writer.write(encode_hello() + data)
        await wait_until(lambda: recorder.connected)
        peer.writer.write_eof()
        await wait_until(lambda: recorder.disconnected)
        assert running.members == ()
        assert recorder.messages == []


async def test_first_frame_is_bounded(monkeypatch):
    """Guards against new connections that use 4 MiB of memory each."""
    monkeypatch.setattr(connection, "HELLO_TIMEOUT_SECONDS", 60.0)
    async with hub_and_peer() as (_, recorder, peer):
        peer.writer.write(LENGTH.pack(connection.HELLO_LIMIT_BYTES + 1))
        assert await peer.is_closed()
        assert recorder.connected == []


async def test_peer_without_hello_is_closed(monkeypatch):
    """Guards against connections that stay open without a hello."""
    monkeypatch.setattr(connection, "HELLO_TIMEOUT_SECONDS", 0.1)
    async with hub_and_peer() as (_, recorder, peer):
        assert await peer.is_closed()
        assert recorder.connected == []


async def test_connections_without_hello_are_bounded(monkeypatch):
    """Guards against exhausting memory or file descriptors before the hello."""
    monkeypatch.setattr(hub, "PENDING_HANDSHAKES_MAX", 1)
    async with hub_and_peer() as (running, recorder, first):
        await first.read()
        port = running._server.sockets[0].getsockname()[1]
        second = RawPeer(*await asyncio.open_connection(HOST, port))
        assert await second.is_closed()
        second.writer.close()
        first.writer.write(encode_hello())
        await wait_until(lambda: recorder.connected)


async def test_silent_peer_is_disconnected(monkeypatch):
    """Guards against treating a half-open connection as connected."""
    monkeypatch.setattr(hub, "IDLE_LIMIT_SECONDS", 0.2)
    monkeypatch.setattr(hub, "IDLE_CHECK_SECONDS", 0.05)
    async with hub_and_peer() as (_, recorder, peer):
        peer.writer.write(encode_hello())
        await wait_until(lambda: recorder.connected)
        await wait_until(lambda: recorder.disconnected)


async def test_slow_reader_is_disconnected_at_the_buffer_limit():
    """Guards against an unbounded send buffer."""
    async with hub_and_peer() as (running, recorder, peer):
        peer.writer.write(encode_hello())
        await wait_until(lambda: recorder.connected)
        message = Goodbye(reason="x" * (2 * 1024 * 1024))
        sent = 0
        while running.send("agent-1", message):
            sent += 1
            assert sent < 30
        await wait_until(lambda: recorder.disconnected)


async def test_too_long_message_is_counted_and_logged(caplog):
    """Guards against a message that is dropped silently."""
    name = FrameTooLargeError.__name__
    unsent = metrics.UNSENT_MESSAGES.labels("goodbye", name)
    before = unsent._value.get()
    async with hub_and_peer() as (running, recorder, peer):
        peer.writer.write(encode_hello())
        await wait_until(lambda: recorder.connected)
        message = Goodbye(reason="x" * FRAME_LIMIT_BYTES)
        assert not running.send("agent-1", message)
        assert unsent._value.get() == before + 1
        assert "message is too long to be sent" in caplog.text
        assert running.send("agent-1", HandOverAck(count=1))


async def test_message_that_cannot_be_encoded_keeps_the_connection(caplog):
    """Guards against a sender that fails, and with it its timer or reader."""
    async with hub_and_peer() as (running, recorder, peer):
        peer.writer.write(encode_hello())
        await wait_until(lambda: recorder.connected)
        assert not running.send("agent-1", HandOverAck(count=2**64))
        assert "message cannot be encoded" in caplog.text
        assert running.send("agent-1", HandOverAck(count=1))


async def test_newer_peer_may_send_unknown_types_and_fields():
    """Guards against incompatibility between releases during an upgrade."""
    before = metrics.UNKNOWN_MESSAGES._value.get()
    async with hub_and_peer() as (_, recorder, peer):
        peer.writer.write(encode_hello(lowest=1, highest=2))
        peer.writer.write(encode_raw_frame("new_in_two", {"a": 1}))
        peer.writer.write(
            encode_raw_frame("hand_over_ack", {"count": 3, "later": [1]})
        )
        await wait_until(lambda: recorder.messages)
        assert recorder.messages == [HandOverAck(count=3)]
        assert recorder.disconnected == []
        assert metrics.UNKNOWN_MESSAGES._value.get() == before + 1


@pytest.mark.parametrize(
    "first", [encode_hello(2, 3), encode_hello(2, 3, version=2)]
)
async def test_peer_without_a_common_version_gets_the_reason(first):
    """Guards against disconnecting a peer without the reason."""
    async with hub_and_peer() as (_, recorder, peer):
        peer.writer.write(first)
        assert (await peer.read())[0] == "hello"
        name, fields = await peer.read()
        assert name == "goodbye"
        assert "spoken here: 1 to 1" in fields["reason"]
        assert await peer.read() is None
        assert recorder.connected == []


async def test_dialer_restarts_after_an_error_in_the_listener(monkeypatch):
    """Guards against a peer that is never redialed after an error."""
    monkeypatch.setattr(hub, "BACKOFF_MAX_SECONDS", 0.05)

    class FailingListener(Recorder):
        def on_message(self, member, message):
            super().on_message(member, message)
            raise ValueError("expected failure")

    recorder = FailingListener()
    rng = random.Random(1)
    async with running_hub(
        member("entry-1", Role.ENTRY), Recorder(), rng
    ) as server:
        address = await listen(server)
        async with running_hub(
            member("agent-1", Role.AGENT), recorder, rng
        ) as client:
            client.dial(address)
            await wait_until(lambda: server.is_connected("agent-1"))
            server.send("agent-1", HandOverAck(count=1))
            await wait_until(lambda: len(recorder.connected) == 2)


async def test_former_member_is_not_redialed():
    """Guards against dialing the addresses of all former members forever."""
    rng = random.Random(1)
    async with running_hub(
        member("agent-1", Role.AGENT), Recorder(), rng
    ) as client:
        client.dial("127.0.0.1:1")
        client.set_members(["127.0.0.1:2", "not an address", "127.0.0.1:x"])
        assert len(client._dialers) == 4
        client.set_members(["127.0.0.1:3"])
        await wait_until(lambda: len(client._dialers) == 2)
        assert sorted(client._dialers) == ["127.0.0.1:1", "127.0.0.1:3"]


def test_backoff_grows_until_a_connection_was_stable():
    """Guards against redialing without delay a peer that closes at once."""
    peer_backoff = backoff.Backoff(random.Random(1))
    delays = [peer_backoff.next_delay(0.1) for _ in range(8)]
    assert delays[0] <= 1.5 * backoff.BACKOFF_MIN_SECONDS
    assert min(delays[6:]) >= 0.5 * backoff.BACKOFF_MAX_SECONDS
    assert max(delays) <= 1.5 * backoff.BACKOFF_MAX_SECONDS
    assert len(set(delays)) == len(delays)
    stable = peer_backoff.next_delay(backoff.STABLE_CONNECTION_SECONDS)
    assert stable <= 1.5 * backoff.BACKOFF_MIN_SECONDS


def test_dials_of_a_process_are_bounded():
    """Guards against a high rate of dials over many addresses."""
    limiter = backoff.DialRateLimiter(0.0)
    taken = sum(limiter.try_acquire(0.0) for _ in range(1000))
    assert taken == backoff.DIALS_BURST
    later = sum(limiter.try_acquire(1.0) for _ in range(1000))
    assert later == backoff.DIALS_PER_SECOND


class FailingListener(Recorder):
    """Fails on the first message and records the others."""

    def on_message(self, member, message):
        if not self.messages:
            self.messages.append(message)
            raise RuntimeError("defect")
        super().on_message(member, message)


async def test_failing_listener_costs_its_own_connection_only():
    """Guards against an error for one message that stops the process."""
    listener = FailingListener()
    async with hub_and_peer(listener) as (running, _, peer):
        report = encode_raw_frame("hand_over_ack", {"count": 1})
        peer.writer.write(encode_hello() + report)
        assert await peer.is_closed()
        assert running.members == ()
        host, port = peer.writer.get_extra_info("peername")
        second = RawPeer(*await asyncio.open_connection(host, port))
        second.writer.write(encode_hello() + report)
        await wait_until(lambda: len(listener.messages) == 2)
        second.writer.close()


async def test_long_frame_may_follow_the_hello_at_once():
    """Guards against the limit of the hello applied to later frames."""
    async with hub_and_peer() as (_, recorder, peer):
        reason = "x" * connection.HELLO_LIMIT_BYTES
        frame = encode_raw_frame("journal_query", {"revision": 1, "x": reason})
        peer.writer.write(encode_hello() + frame)
        await wait_until(lambda: recorder.messages)
