"""Tests of the lightweight HTTP client and server against each other."""

import asyncio
import contextlib
import socket

import pytest

from gypsumline.runtime.http_client import HttpClient
from gypsumline.runtime.http_messages import (
    HttpResponse,
    HttpUnansweredError,
    HttpUnsentError,
)
from gypsumline.runtime.light_http_server import (
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


async def test_refused_connection_is_reported_as_unsent():
    """Guards against treating an unsent request as possibly processed."""
    client = HttpClient(free_address(), 1)
    with pytest.raises(HttpUnsentError):
        await client.request("GET", "/", timeout=1.0)


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
