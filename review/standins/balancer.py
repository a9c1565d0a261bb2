"""Stand-in for the platform's address: forwards connections to nodes."""

import asyncio
import contextlib


class Balancer:
    """Forwards each new connection to the node that `choose()` names.

    `choose` returns HOST:PORT, or None to reset the connection once the client
    has sent something; nothing of that reaches a node.
    """

    def __init__(self, choose):
        self._choose = choose
        self._server = None

    async def open(self, address):
        """Listens at HOST:PORT."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def close(self):
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer):
        target = self._choose()
        try:
            if target is None:
                await reader.read(1)
                return
            host, _, port = target.rpartition(":")
            node_reader, node = await asyncio.open_connection(host, int(port))
            try:
                await asyncio.gather(
                    _copy(reader, node), _copy(node_reader, writer)
                )
            finally:
                node.transport.abort()
        except OSError:
            pass
        finally:
            writer.transport.abort()


async def _copy(reader, writer):
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        writer.close()
