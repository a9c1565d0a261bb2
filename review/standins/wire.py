"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import contextlib
import json

SILENT = object()


async def read_message(reader):
    """Returns start line, headers and body of a message; None at its end."""
    start = (await reader.readline()).decode("latin-1").strip()
    if not start:
        return None
    headers = {}
    while line := (await reader.readline()).decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return start, headers, body


class Server:
    """Passes requests to `handle(method, target, headers, body)`.

    The handler is a coroutine that returns (status, object), or SILENT to leave
    the request without an answer.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def open(self, address):
        """Listens at HOST:PORT."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=512
        )

    async def close(self):
        """Stops listening and resets all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        try:
            while message := await read_message(reader):
                (method, target, _), headers, body = (
                    message[0].split(" ", 2),
                    message[1],
                    message[2],
                )
                reply = await self._handle(method, target, headers, body)
                if reply is SILENT:
                    continue
                status, content = reply
                raw = b"" if content is None else json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} Status\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(raw)}\r\n\r\n".encode()
                    + raw
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(asyncio.current_task())
            with contextlib.suppress(OSError):
                writer.close()


async def call(address, method, target, headers=None, body=b"", timeout=5.0):
    """Sends one request on a connection of its own.

    Returns:
      Status and decoded body; (None, reason) if there is no whole answer.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": address, "Content-Length": len(body)}
            fields |= {"Content-Type": "application/json"} | (headers or {})
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            message = await read_message(reader)
            if message is None:
                return None, "connection ended"
            status = int(message[0].split(" ")[1])
            text = message[2].decode()
            return status, json.loads(text) if text else None
    except TimeoutError:
        return None, "no answer in time"
    except (OSError, EOFError) as error:
        return None, f"connection broken: {type(error).__name__}"
    finally:
        if writer is not None:
            writer.transport.abort()
