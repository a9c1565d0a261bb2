"""Loopback TCP relay that can delay, disconnect or blackhole a link."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator

_CHUNK_BYTES = 65536
_QUEUE_CHUNKS = 256


class LinkState(enum.StrEnum):
    """State of a link: up, disconnected or a blackhole."""

    UP = "up"
    CUT = "cut"
    SILENT = "silent"


class Link:
    """One relayed link: a listening port in front of a target port.

    A cut link closes its connections and aborts new ones. A silent link keeps
    and accepts connections but delivers nothing until it is healed.

    Attributes:
      latency: One-way delay of each chunk in seconds.
    """

    def __init__(self, target_port: int, latency: float = 0.0) -> None:
        self.latency = latency
        self._target_port = target_port
        self._state = LinkState.UP
        self._can_deliver = asyncio.Event()
        self._can_deliver.set()
        self._connections: set[asyncio.Task[None]] = set()

    def cut(self) -> None:
        """Closes all connections and aborts new ones."""
        self._set_state(LinkState.CUT)
        for connection in self._connections:
            connection.cancel()

    def silence(self) -> None:
        """Stops delivery, like a network that drops all packets."""
        self._set_state(LinkState.SILENT)

    def heal(self) -> None:
        """Resumes delivery, also of data that was held back meanwhile."""
        self._set_state(LinkState.UP)

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relays one connection until one side closes it."""
        task = asyncio.current_task()
        if self._state is LinkState.CUT or task is None:
            writer.transport.abort()
            return
        self._connections.add(task)
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self._relay(reader, writer)
        finally:
            self._connections.discard(task)
            writer.transport.abort()

    async def close(self) -> None:
        """Closes all connections and waits until their tasks have ended."""
        connections = list(self._connections)
        for connection in connections:
            connection.cancel()
        await asyncio.gather(*connections, return_exceptions=True)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target = await asyncio.open_connection("127.0.0.1", self._target_port)
        target_reader, target_writer = target
        directions = [
            asyncio.create_task(self._forward(reader, target_writer)),
            asyncio.create_task(self._forward(target_reader, writer)),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
            target_writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        chunks: asyncio.Queue[tuple[float, bytes]]
        chunks = asyncio.Queue(_QUEUE_CHUNKS)
        delivery = asyncio.create_task(self._deliver(chunks, writer))
        loop = asyncio.get_running_loop()
        try:
            while True:
                chunk = await reader.read(_CHUNK_BYTES)
                await chunks.put((loop.time() + self.latency, chunk))
                if not chunk:
                    await delivery
                    return
        finally:
            delivery.cancel()

    async def _deliver(
        self,
        chunks: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, chunk = await chunks.get()
            delay = due - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            await self._can_deliver.wait()
            if not chunk:
                return
            writer.write(chunk)
            await writer.drain()

    def _set_state(self, state: LinkState) -> None:
        self._state = state
        if state is LinkState.SILENT:
            self._can_deliver.clear()
        else:
            self._can_deliver.set()


@contextlib.asynccontextmanager
async def relay(
    port: int, target_port: int, latency: float = 0.0
) -> AsyncIterator[Link]:
    """Relays connections from one loopback port to another."""
    link = Link(target_port, latency)
    server = await asyncio.start_server(link.accept, "127.0.0.1", port)
    try:
        yield link
    finally:
        server.close()
        await link.close()
