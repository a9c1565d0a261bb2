"""Tests of the relay."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from gypsumline.testing.network import Link, relay
from gypsumline.testing.processes import choose_ports

_Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def _echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


@pytest_asyncio.fixture
async def link() -> AsyncIterator[tuple[Link, int]]:
    target_port, port = choose_ports(2)
    server = await asyncio.start_server(_echo, "127.0.0.1", target_port)
    async with relay(port, target_port, latency=0.05) as relayed_link:
        yield relayed_link, port
    server.close()


@contextlib.asynccontextmanager
async def _connect(port: int) -> AsyncIterator[_Streams]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    yield reader, writer
    writer.close()


async def test_adds_the_latency_each_way_in_order(link):
    """Guards against a relay that reorders data or does not delay it."""
    _, port = link
    loop = asyncio.get_running_loop()
    async with _connect(port) as (reader, writer):
        started_at = loop.time()
        for number in range(50):
            writer.write(bytes([number]))
            await asyncio.sleep(0)
        assert await reader.readexactly(50) == bytes(range(50))
        assert 0.1 <= loop.time() - started_at < 0.4


async def test_silent_link_delivers_after_it_is_healed(link):
    """Guards against a silent link that closes connections or delivers data."""
    relayed_link, port = link
    relayed_link.silence()
    async with _connect(port) as (reader, writer):
        writer.write(b"a")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await reader.read(1)
        relayed_link.heal()
        assert await reader.read(1) == b"a"


async def test_cut_link_closes_and_refuses_connections(link):
    """Guards against a cut link that keeps or accepts a connection."""
    relayed_link, port = link
    async with _connect(port) as (reader, writer):
        writer.write(b"a")
        assert await reader.read(1) == b"a"
        relayed_link.cut()
        with contextlib.suppress(ConnectionError):
            assert await reader.read(1) == b""
    async with _connect(port) as (reader, _):
        with contextlib.suppress(ConnectionError):
            assert await reader.read(1) == b""
    relayed_link.heal()
    async with _connect(port) as (reader, writer):
        writer.write(b"b")
        assert await reader.read(1) == b"b"
