"""Tests of the lightweight HTTP client and server against each other."""

import asyncio
import contextlib
import gc
import socket

import pytest

from gypsumline.core.errors import InvalidInputError
from gypsumline.runtime.http_client import HttpClient, LateResponse
from gypsumline.runtime.http_messages import (
    HttpResponse,
    HttpUnansweredError,
    HttpUnsentError,
)
from gypsumline.runtime.light_http_server import (
    QUEUED_REQUESTS_MAX,
    HttpLimits,
    running_light_server,
)


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def echo(exchange):
    exchange.respond(HttpResponse(status=200, body=exchange.request.body))


@contextlib.asynccontextmanager
async def serve(handler, limits=None, connections=2):
    address = free_address()
    async with running_light_server(
        address, handler, limits or HttpLimits()
    ) as server:
        client = HttpClient(address, connections)
        yield server, client
        client.close()


async def test_requests_share_a_connection():
    async with serve(echo) as (server, client):
        for body in (b"one", b"two"):
            response = await client.request("POST", "/", timeout=1.0, body=body)
            assert (response.status, response.body) == (200, body)
        assert len(server.connections) == 1


async def test_delayed_response_is_not_taken_for_that_of_another_request():
    """Guards against taking a delayed response for that of the next request."""
    pending = asyncio.Queue()
    async with serve(pending.put_nowait) as (_, client):
        with pytest.raises(HttpUnansweredError):
            await client.request("GET", "/first", timeout=0.05)
        second = asyncio.create_task(
            client.request("GET", "/second", timeout=1.0)
        )
        delayed, matching = await pending.get(), await pending.get()
        delayed.respond(HttpResponse(status=200, body=b"late"))
        matching.respond(HttpResponse(status=200, body=b"right"))
        assert (await second).body == b"right"


async def test_connection_of_a_late_response_is_used_again():
    """Guards against a new connection for each response that is merely late."""
    pending = asyncio.Queue()
    late = asyncio.Queue()
    async with serve(pending.put_nowait) as (server, client):
        with pytest.raises(HttpUnansweredError):
            await client.request(
                "GET",
                "/first",
                timeout=0.02,
                late=LateResponse(patience=5.0, on_response=late.put_nowait),
            )
        (await pending.get()).respond(HttpResponse(status=200, body=b"late"))
        assert (await late.get()).body == b"late"
        second = asyncio.create_task(
            client.request("GET", "/second", timeout=1.0)
        )
        (await pending.get()).respond(HttpResponse(status=200, body=b"right"))
        assert (await second).body == b"right"
        assert len(server.connections) == 1


async def test_connections_without_responses_are_bounded():
    """Guards against a connection for each request that hangs, or none free."""
    pending = asyncio.Queue()
    late = LateResponse(patience=60.0, on_response=pending.put_nowait)
    async with serve(pending.put_nowait, connections=2) as (server, client):
        neighbour = asyncio.create_task(
            client.request("GET", "/neighbour", timeout=5.0)
        )
        exchange = await pending.get()
        for _ in range(6):
            with pytest.raises(HttpUnansweredError):
                await client.request("GET", "/", timeout=0.01, late=late)
        await asyncio.sleep(0.05)
        assert len(server.connections) == 3
        exchange.respond(HttpResponse(status=200, body=b"right"))
        assert (await neighbour).body == b"right"


async def test_cancelled_request_leaves_no_error_behind():
    """Guards against an error line for each request that is given up."""
    errors = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: errors.append(context))
    pending = asyncio.Queue()
    async with serve(pending.put_nowait) as (_, client):
        request = asyncio.create_task(client.request("GET", "/", timeout=5.0))
        await pending.get()
        request.cancel()
        with pytest.raises(asyncio.CancelledError):
            await request
        await asyncio.sleep(0.05)
    gc.collect()
    assert errors == []


async def test_refused_connection_is_reported_as_unsent():
    """Guards against treating an unsent request as possibly processed."""
    client = HttpClient(free_address(), 1)
    with pytest.raises(HttpUnsentError):
        await client.request("GET", "/", timeout=1.0)


async def test_request_on_a_closed_connection_is_unsent():
    """Guards against an untyped error where a new connection ends at once."""
    async with serve(echo) as (_, client):
        connection = await client._open_connection(
            asyncio.get_running_loop().time() + 1.0
        )
        connection.close()
        await asyncio.sleep(0.01)
        with pytest.raises(HttpUnsentError):
            connection.send(b"GET / HTTP/1.1\r\n\r\n")


async def test_handler_is_notified_when_its_client_disconnects():
    """Guards against work for a caller that has disconnected."""
    disconnected = asyncio.Event()

    def handler(exchange):
        exchange.on_closed = disconnected.set

    async with serve(handler) as (_, client):
        with pytest.raises(HttpUnansweredError):
            await client.request("GET", "/", timeout=0.05)
        await asyncio.wait_for(disconnected.wait(), 1.0)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nA: " + b"b" * 200 + b"\r\n\r\n", b"431"),
        (b"POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n" + b"c" * 99, b"413"),
        (b"nonsense\r\n\r\n", b"400"),
    ],
)
async def test_oversized_and_malformed_requests_are_rejected(data, status):
    limits = HttpLimits(header_bytes=100, body_bytes=50)
    async with serve(echo, limits) as (_, client):
        host, port = client.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        response = await asyncio.wait_for(reader.read(), 1.0)
        assert response.startswith(b"HTTP/1.1 " + status)
        writer.close()


async def test_slow_and_idle_connections_are_closed():
    """Guards against clients that occupy connections without using them."""
    limits = HttpLimits(header_timeout=0.1, idle_timeout=0.1)
    async with serve(echo, limits) as (_, client):
        host, port = client.address.split(":")
        for data in (b"GET / HT", b""):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            with contextlib.suppress(ConnectionError):
                assert await asyncio.wait_for(reader.read(), 3.0) == b""
            writer.close()


async def test_draining_closes_connections_after_their_response():
    """Guards against a planned stop that interrupts an open request."""
    pending = asyncio.Queue()
    async with serve(pending.put_nowait) as (server, client):
        request = asyncio.create_task(client.request("GET", "/", timeout=1.0))
        exchange = await pending.get()
        server.drain()
        exchange.respond(HttpResponse(status=200))
        response = await request
        assert response.headers["connection"] == "close"


async def test_pipelined_requests_are_answered_in_order():
    pending = asyncio.Queue()
    async with serve(pending.put_nowait) as (_, client):
        host, port = client.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")
        first = await pending.get()
        assert first.request.target == "/1"
        assert pending.empty()
        first.respond(HttpResponse(status=200))
        (await pending.get()).respond(HttpResponse(status=204))
        await reader.readuntil(b"204")
        writer.close()


@pytest.mark.parametrize("turns", range(6))
async def test_connection_accepted_during_the_end_is_closed(turns):
    """Guards against a connection that a server which has ended still serves.

    Its peer would take the process for one that is alive.
    """
    address = free_address()
    host, _, port = address.rpartition(":")
    async with running_light_server(address, echo, HttpLimits()):
        client = socket.create_connection((host, int(port)))
        for _ in range(turns):
            await asyncio.sleep(0)
    with client:
        client.settimeout(1.0)
        await asyncio.sleep(0.05)
        with contextlib.suppress(ConnectionError):
            client.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            await asyncio.sleep(0.05)
            assert client.recv(1) == b""


@pytest.mark.parametrize(
    "address", ["", "h", "h:", ":1", "h:0", "h:99999", "h:" + "9" * 5000]
)
def test_invalid_address_of_a_server_raises_a_typed_error(address):
    """Guards against a port that raises only when it is dialled."""
    with pytest.raises(InvalidInputError):
        HttpClient(address, 1)


@pytest.mark.parametrize("value", ["\u4e2d", "a\r\nX-Other: 1", "a\x00"])
async def test_header_that_cannot_be_sent_raises_a_typed_error(value):
    """Guards against an error that no caller of the client expects."""
    async with serve(echo) as (_, client):
        with pytest.raises(HttpUnsentError):
            await client.request(
                "GET", "/", timeout=1.0, headers={"X-A": value}
            )


async def test_response_that_nobody_awaits_closes_the_connection():
    """Guards against its rest being taken for the next response."""
    first = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
    unexpected = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"

    async def answer(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(first + unexpected)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"other")
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = HttpClient(f"127.0.0.1:{port}", 1)
    for _ in range(2):
        response = await client.request("GET", "/", timeout=1.0)
        assert response.body == b"1"
    client.close()
    server.close()


async def test_failing_handler_is_logged_and_answered(caplog):
    """Guards against a caller that waits for ever after an internal error."""

    def fail(exchange):
        if exchange.request.target == "/fail":
            raise RuntimeError("expected failure")
        echo(exchange)

    async with serve(fail) as (server, client):
        response = await client.request("GET", "/fail", timeout=1.0)
        assert response.status == 500
        assert "expected failure" in caplog.text
        response = await client.request("GET", "/", timeout=1.0)
        assert response.status == 200
        assert len(server.connections) == 1


async def test_pipelined_requests_are_bounded(caplog):
    """Guards against a client that fills the memory behind an open request."""
    closed = asyncio.Event()

    def handler(exchange):
        exchange.on_closed = closed.set

    async with serve(handler) as (_, client):
        host, port = client.address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        request = b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"
        for _ in range(5 * QUEUED_REQUESTS_MAX):
            writer.write(request)
        async with asyncio.timeout(3.0):
            await closed.wait()
        assert len(caplog.records) == 1
        writer.close()


async def test_pipelined_requests_leave_turns_to_other_work():
    """Guards against quick requests that block the event loop together."""
    loop = asyncio.get_running_loop()
    turns, handled_at = 0, []

    def count_turn():
        nonlocal turns
        turns += 1
        if len(handled_at) < QUEUED_REQUESTS_MAX:
            loop.call_soon(count_turn)

    def handler(exchange):
        handled_at.append(turns)
        echo(exchange)

    async with serve(handler) as (_, client):
        host, port = client.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        request = b"GET / HTTP/1.1\r\n\r\n"
        last = b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n"
        writer.write((QUEUED_REQUESTS_MAX - 1) * request + last)
        loop.call_soon(count_turn)
        response = await asyncio.wait_for(reader.read(), 3.0)
        writer.close()
    assert response.count(b"HTTP/1.1 200") == QUEUED_REQUESTS_MAX
    assert len(set(handled_at)) == QUEUED_REQUESTS_MAX


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x00\xff" * 100,
        b"HTTP/1.1 99999 OK\r\n\r\n",
        b"HTTP/1.1 -1 OK\r\n\r\n",
        b"HTTP/9.9 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffff",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nA: " + b"\xff" * 100_000,
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n!",
    ],
)
async def test_odd_response_raises_a_typed_error_or_is_returned(data):
    """Guards against bytes of a server that raise any other error."""

    async def answer(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = HttpClient(f"127.0.0.1:{port}", 1)
    for _ in range(2):
        with contextlib.suppress(HttpUnansweredError):
            await client.request("GET", "/", timeout=1.0)
    client.close()
    server.close()
