"""A loopback proxy that delays, resets and blocks connections."""

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
      was_connected: Set from the first connection on.
    """

    def __init__(self, target):
        self.target = target
        self.delay = 0.0
        self.was_connected = asyncio.Event()
        self._may_forward = {name: asyncio.Event() for name in DIRECTIONS}
        self.release()
        self._connections = set()
        self._tasks = set()

    async def accept(self, reader, writer):
        """Forwards an accepted connection."""
        host, _, port = self.target.rpartition(":")
        try:
            up_reader, up_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        writers = (writer, up_writer)
        self._connections.add(writers)
        self.was_connected.set()
        try:
            await asyncio.gather(
                self._pump(reader, up_writer, "up"),
                self._pump(up_reader, writer, "down"),
            )
        finally:
            self._connections.discard(writers)
            for end in writers:
                end.transport.abort()

    def hold_back(self, directions):
        """Stops forwarding in some directions until `release`."""
        for direction in directions:
            self._may_forward[direction].clear()

    def release(self):
        """Resumes forwarding in all directions."""
        for event in self._may_forward.values():
            event.set()

    def reset(self):
        """Resets all connections."""
        for writers in list(self._connections):
            for writer in writers:
                writer.transport.abort()

    async def _pump(self, reader, writer, direction):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay:
                    await asyncio.sleep(self.delay)
                await self._may_forward[direction].wait()
                if writer.is_closing():
                    # uvloop raises at a write to a closed transport.
                    break
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
