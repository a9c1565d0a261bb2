"""A minimal HTTP/1.1 server and client for the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import json


async def read_message(reader):
    """Returns the first line, the headers and the body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines if line]
    headers = {name.strip().lower(): v.strip() for name, _, v in pairs}
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


class Server:
    """Serves requests with a handler; `abort` ends it like a killed process.

    Args:
      handler: Coroutine function of method, target, headers and body that
        returns a status and a JSON value; None closes the connection.
    """

    def __init__(self, host, port, handler):
        self._address = host, port
        self._handler = handler
        self._server = None
        self._writers = set()

    async def start(self):
        """Listens at the address."""
        self._server = await asyncio.start_server(self._serve, *self._address)

    def abort(self):
        """Stops to listen and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                answer = await self._handler(method, target, headers, body)
                if answer is None:
                    break
                status, value = answer
                data = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            # The peer has gone, or the stand-in is ending.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(address, method, target, body=None, headers=(), timeout=5.0):
    """Sends one request on a connection of its own.

    Returns:
      Status and decoded body; (0, None) if there is no response in time.
    """
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    fields = {
        "Host": host,
        "Content-Type": "application/json",
        "Content-Length": str(len(data)),
        "Connection": "close",
        **dict(headers),
    }
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            message = await read_message(reader)
    except (OSError, TimeoutError):
        return 0, None
    finally:
        if writer is not None:
            writer.transport.abort()
    if message is None:
        return 0, None
    status = int(message[0].split(" ")[1])
    value = None
    with contextlib.suppress(ValueError):
        value = json.loads(message[2])
    return status, value
