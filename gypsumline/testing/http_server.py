"""HTTP server of the stand-ins: uvicorn with a limit on connections.

A handler can also close its connection without a response. The stand-ins use
this to lose the response to a write that took effect.
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

_TRANSPORT_SCOPE_KEY = "gypsumline.transport"
_START_TIMEOUT_SECONDS = 10.0
_GRACEFUL_SHUTDOWN_SECONDS = 5
# Longer than clients keep idle connections (aiohttp: 15 s). Otherwise the
# server may close an idle connection while a request is in flight, and the
# outcome of the request is unknown.
_KEEP_ALIVE_SECONDS = 75


@dataclasses.dataclass(slots=True)
class ConnectionCount:
    """Connection counts of one server.

    Attributes:
      limit: Maximum of open connections; 0 for no limit. May change at any
        time.
      open: Number of open connections.
      peak: Largest number of connections that were open at once.
      refused: Number of connections closed because of the limit.
    """

    limit: int = 0
    open: int = 0
    peak: int = 0
    refused: int = 0

    def is_full(self) -> bool:
        """Returns whether a further connection would exceed the limit."""
        return 0 < self.limit <= self.open


def _make_protocol(connections: ConnectionCount) -> type[HttpToolsProtocol]:
    class CountingProtocol(HttpToolsProtocol):
        """Counts connections and passes the transport to handlers."""

        _is_counted = False

        def connection_made(self, transport: Any) -> None:
            super().connection_made(transport)
            if connections.is_full():
                connections.refused += 1
                transport.abort()
                return
            self._is_counted = True
            connections.open += 1
            connections.peak = max(connections.peak, connections.open)

        def connection_lost(self, exc: Exception | None) -> None:
            if self._is_counted:
                self._is_counted = False
                connections.open -= 1
            super().connection_lost(exc)

        def on_message_begin(self) -> None:
            super().on_message_begin()
            scope: Any = self.scope
            scope[_TRANSPORT_SCOPE_KEY] = self.transport

    return CountingProtocol


class _Server(uvicorn.Server):
    """Server that leaves signal handling to its process."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.has_started = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Starts listening and sets `has_started`."""
        await super().startup(sockets)
        self.has_started.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers."""
        yield


class ConnectionClosedResponse(Response):
    """Closes the connection instead of sending a response."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Aborts the transport and waits for the disconnect message."""
        scope[_TRANSPORT_SCOPE_KEY].abort()
        message = await receive()
        while message["type"] != "http.disconnect":
            message = await receive()


async def read_complete_body(request: Request) -> bytes | None:
    """Returns the body, or None if its length is not the Content-Length.

    Raises:
      starlette.requests.ClientDisconnect: The client disconnected before
        the end of the body.
    """
    body = await request.body()
    content_length = request.headers.get("content-length")
    if content_length is None or int(content_length) != len(body):
        return None
    return body


@contextlib.asynccontextmanager
async def serve(
    app: Starlette,
    host: str,
    port: int,
    connections: ConnectionCount | None = None,
) -> AsyncIterator[int]:
    """Serves an application for the duration of the block; yields the port.

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
        timeout_graceful_shutdown=_GRACEFUL_SHUTDOWN_SECONDS,
    )
    server = _Server(config)
    sockets = [config.bind_socket()]
    task = asyncio.create_task(server.serve(sockets))
    try:
        async with asyncio.timeout(_START_TIMEOUT_SECONDS):
            await server.has_started.wait()
        yield sockets[0].getsockname()[1]
    finally:
        server.should_exit = True
        await task


def make_stop_event() -> asyncio.Event:
    """Returns an event that is set by SIGTERM and SIGINT."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    return event
