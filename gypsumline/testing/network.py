"""Loopback TCP relay that delays, cuts or silences a link."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator

_CHUNK_BYTES = 65536
_QUEUE_CHUNKS = 256


class LinkState(enum.StrEnum):
    """How a link behaves."""

    UP = "up"
    CUT = "cut"
    SILENT = "silent"


class Link:
    """One relayed link: a listening address in front of a target.

    A cut link closes its connections and refuses new ones. A silent link keeps
    and accepts connections but delivers nothing until it is healed.

    Attributes:
      latency: Seconds that each chunk takes, one way.
    """

    def __init__(self, target_port: int, latency: float = 0.0) -> None:
        self.latency = latency
        self._target_port = target_port
        self._state = LinkState.UP
        self._audible = asyncio.Event()
        self._audible.set()
        self._connections: set[asyncio.Task[None]] = set()

    def cut(self) -> None:
        """Closes all connections and refuses new ones."""
        self._set(LinkState.CUT)
        for connection in self._connections:
            connection.cancel()

    def silence(self) -> None:
        """Holds everything back, like a network that drops all packets."""
        self._set(LinkState.SILENT)

    def heal(self) -> None:
        """Delivers again, including what was held back."""
        self._set(LinkState.UP)

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relays one connection until one side ends it."""
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
        """Ends all connections."""
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
            asyncio.create_task(self._carry(reader, target_writer)),
            asyncio.create_task(self._carry(target_reader, writer)),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
            target_writer.transport.abort()

    async def _carry(
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
            await self._audible.wait()
            if not chunk:
                return
            writer.write(chunk)
            await writer.drain()

    def _set(self, state: LinkState) -> None:
        self._state = state
        if state is LinkState.SILENT:
            self._audible.clear()
        else:
            self._audible.set()


@contextlib.asynccontextmanager
async def relay(
    port: int, target_port: int, latency: float = 0.0
) -> AsyncIterator[Link]:
    """Listens on a loopback port and relays to another one."""
    link = Link(target_port, latency)
    server = await asyncio.start_server(link.accept, "127.0.0.1", port)
    try:
        yield link
    finally:
        server.close()
        await link.close()
