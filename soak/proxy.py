"""A loopback proxy that delays, resets, cuts and silences connections."""

from __future__ import annotations

import asyncio
import contextlib

CHUNK_BYTES = 65536
DIRECTIONS = ("up", "down")


class Proxy:
    """Forwards the streams of one agent to one entry.

    Attributes:
      delay: Seconds added to each chunk.
      target: Address that is forwarded to.
    """

    def __init__(self, target):
        self.target = target
        self.delay = 0.0
        self._open = {name: asyncio.Event() for name in DIRECTIONS}
        self.release()
        self._writers = set()
        self._tasks = set()

    async def accept(self, reader, writer):
        """Forwards one accepted connection."""
        host, _, port = self.target.rpartition(":")
        try:
            up_reader, up_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, up_writer)
        self._writers.add(pair)
        try:
            await asyncio.gather(
                self._pump(reader, up_writer, "up"),
                self._pump(up_reader, writer, "down"),
            )
        finally:
            self._writers.discard(pair)
            for one in pair:
                one.transport.abort()

    def hold(self, directions):
        """Lets the bytes of some directions wait."""
        for direction in directions:
            self._open[direction].clear()

    def release(self):
        """Lets all bytes go on."""
        for event in self._open.values():
            event.set()

    def reset(self):
        """Resets all connections."""
        for pair in list(self._writers):
            for writer in pair:
                writer.transport.abort()

    async def _pump(self, reader, writer, direction):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay:
                    await asyncio.sleep(self.delay)
                await self._open[direction].wait()
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
