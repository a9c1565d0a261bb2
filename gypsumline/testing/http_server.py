"""HTTP server of the stand-ins: uvicorn with bounded connections.

A handler can also close its connection without an answer, which the servers
use to lose the answer to a write that took effect.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import signal
import socket
from collections.abc import AsyncIterator, Iterator
from typing import Any

import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

_TRANSPORT = "gypsumline.transport"
_START_LIMIT_SECONDS = 10.0
_STOP_LIMIT_SECONDS = 5
# Longer than clients keep idle connections (aiohttp: 15 s). Otherwise a request
# can meet the close of an idle connection, and its outcome is unknown.
_KEEP_ALIVE_SECONDS = 75


@dataclasses.dataclass(slots=True)
class ConnectionCount:
    """Open connections of one server.

    Attributes:
      limit: Most connections at once; 0 for no limit. May change at any time.
      open: Connections that are open now.
      most: Most connections that were open at once.
      refused: Connections that were closed because of the limit.
    """

    limit: int = 0
    open: int = 0
    most: int = 0
    refused: int = 0

    def is_full(self) -> bool:
        """Whether a further connection is over the limit."""
        return 0 < self.limit <= self.open


def _make_protocol(connections: ConnectionCount) -> type[HttpToolsProtocol]:
    class BoundedProtocol(HttpToolsProtocol):
        """Counts connections and shows its transport to handlers."""

        _is_counted = False

        def connection_made(self, transport: Any) -> None:
            super().connection_made(transport)
            if connections.is_full():
                connections.refused += 1
                transport.abort()
                return
            self._is_counted = True
            connections.open += 1
            connections.most = max(connections.most, connections.open)

        def connection_lost(self, exc: Exception | None) -> None:
            if self._is_counted:
                self._is_counted = False
                connections.open -= 1
            super().connection_lost(exc)

        def on_message_begin(self) -> None:
            super().on_message_begin()
            scope: Any = self.scope
            scope[_TRANSPORT] = self.transport

    return BoundedProtocol


class _Server(uvicorn.Server):
    """Server that leaves the signals to the process that runs it."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.has_started = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Starts to listen."""
        await super().startup(sockets)
        self.has_started.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers."""
        yield


class ConnectionClosedResponse(Response):
    """Closes the connection instead of answering."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Aborts the transport and waits until the server has noticed."""
        scope[_TRANSPORT].abort()
        message = await receive()
        while message["type"] != "http.disconnect":
            message = await receive()


async def read_whole_body(request: Request) -> bytes | None:
    """Returns the body, or None if it is shorter than its Content-Length.

    Raises:
      starlette.requests.ClientDisconnect: The client left before the end.
    """
    body = await request.body()
    declared = request.headers.get("content-length")
    if declared is None or int(declared) != len(body):
        return None
    return body


@contextlib.asynccontextmanager
async def serve(
    app: Starlette,
    host: str,
    port: int,
    connections: ConnectionCount | None = None,
) -> AsyncIterator[int]:
    """Serves an application until the block ends; yields the port.

    Raises:
      TimeoutError: The server did not start in time.
      OSError: The address is in use.
    """
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        http=_make_protocol(connections or ConnectionCount()),
        loop="none",
        lifespan="off",
        log_level="warning",
        access_log=False,
        timeout_keep_alive=_KEEP_ALIVE_SECONDS,
        timeout_graceful_shutdown=_STOP_LIMIT_SECONDS,
    )
    server = _Server(config)
    sockets = [config.bind_socket()]
    task = asyncio.create_task(server.serve(sockets))
    try:
        async with asyncio.timeout(_START_LIMIT_SECONDS):
            await server.has_started.wait()
        yield sockets[0].getsockname()[1]
    finally:
        server.should_exit = True
        await task


def stop_event() -> asyncio.Event:
    """Returns an event that SIGTERM and SIGINT set."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    return event
