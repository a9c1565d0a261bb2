"""Tests of the hub over loopback connections."""

import asyncio
import random

from gypsumline.core.identity import Member, Role
from gypsumline.core.message import Goodbye, Message
from gypsumline.wire.hub import Hub, running_hub

HOST = "127.0.0.1"


class Recorder:
    """Listener that records all its calls."""

    def __init__(self) -> None:
        self.connected: list[Member] = []
        self.disconnected: list[Member] = []
        self.messages: list[Message] = []

    def on_connected(self, member: Member) -> None:
        self.connected.append(member)

    def on_disconnected(self, member: Member) -> None:
        self.disconnected.append(member)

    def on_message(self, member: Member, message: Message) -> None:
        self.messages.append(message)


def member(name: str, role: Role, incarnation: int = 1) -> Member:
    return Member(
        member_id=name,
        incarnation=incarnation,
        role=role,
        availability_zone="piraeus",
    )


async def listen(hub: Hub) -> str:
    await hub.listen(HOST, 0)
    port = hub._server.sockets[0].getsockname()[1]
    return f"{HOST}:{port}"


async def wait_until(condition) -> None:
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def test_member_behind_two_addresses_keeps_one_connection():
    """Guards against two dialers that replace each other's connection."""
    recorder = Recorder()
    rng = random.Random(1)
    entry = member("entry-1", Role.ENTRY)
    agent = member("agent-1", Role.AGENT)
    async with running_hub(entry, recorder, rng) as server:
        first = await listen(server)
        second = await listen(server)
        async with running_hub(agent, Recorder(), rng) as client:
            client.dial(first)
            client.dial(second)
            await asyncio.sleep(1.0)
            assert client.is_connected("entry-1")
            assert len(recorder.connected) <= 2


async def test_invalid_bytes_close_only_their_connection():
    """Guards against a faulty peer that disconnects other peers."""
    recorder = Recorder()
    rng = random.Random(1)
    async with running_hub(
        member("entry-1", Role.ENTRY), recorder, rng
    ) as server:
        address = await listen(server)
        async with running_hub(
            member("agent-1", Role.AGENT), Recorder(), rng
        ) as client:
            client.dial(address)
            await wait_until(lambda: recorder.connected)
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"\xff" * 64)
            async with asyncio.timeout(5):
                await reader.read()
            writer.close()
            assert client.send("entry-1", Goodbye(reason="still here"))
            assert recorder.disconnected == []


async def test_older_incarnation_cannot_replace_a_newer_one():
    """Guards against a resumed process that replaces its successor."""
    recorder = Recorder()
    rng = random.Random(1)
    async with running_hub(
        member("entry-1", Role.ENTRY), recorder, rng
    ) as server:
        address = await listen(server)
        newer = member("agent-1", Role.AGENT, incarnation=2)
        older = member("agent-1", Role.AGENT, incarnation=1)
        async with running_hub(newer, Recorder(), rng) as first:
            first.dial(address)
            await wait_until(lambda: recorder.connected)
            async with running_hub(older, Recorder(), rng) as second:
                second.dial(address)
                await asyncio.sleep(0.3)
                assert server.members == (newer,)
                assert recorder.connected == [newer]
