"""A lightweight HTTP/1.1 server for small hosts, based on httptools.

It imports a tenth of the code that `http_server` does; see
docs/decisions/0008-light-http.md.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
from collections.abc import AsyncIterator, Callable
from typing import cast

import httptools

from gypsumline.runtime import metrics
from gypsumline.runtime.http_messages import (
    HttpRequest,
    HttpResponse,
    encode_response,
)

# Requests of one connection that may wait behind an open one.
QUEUED_REQUESTS_MAX = 64
_TIMEOUT_CHECK_SECONDS = 0.5

_LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, kw_only=True)
class HttpLimits:
    """Limits of one connection.

    Attributes:
      header_bytes: Maximum size of target and headers, in bytes.
      body_bytes: Maximum size of the body, in bytes.
      header_timeout: Maximum time from the first to the last byte of a
        request, in seconds.
      idle_timeout: Time without a request after which the connection is
        closed, in seconds.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 256 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class Exchange:
    """A request and the means to respond to it at any later time.

    Attributes:
      request: Received request.
      on_closed: Called if the client disconnects before the response.
    """

    def __init__(self, request: HttpRequest, connection: _Connection) -> None:
        self.request = request
        self._connection = connection
        self.on_closed: Callable[[], None] | None = None

    def respond(self, response: HttpResponse) -> None:
        """Sends the response; drops it if the client has disconnected."""
        self._connection.respond(self, response)


Handler = Callable[[Exchange], None]


class _Connection(asyncio.Protocol):
    """Handles pipelined requests one at a time, in order.

    Attributes:
      reading_since: Event loop time of the first byte of the request that is
        being received; None between requests.
      idle_since: Event loop time of the last response, or of the connect.
    """

    def __init__(self, server: LightHttpServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: dict[str, str] = {}
        self._header_bytes = 0
        self._body = bytearray()
        self._open: Exchange | None = None
        self._queued: list[HttpRequest] = []
        self._next: asyncio.Handle | None = None
        self._is_last = False
        self.reading_since: float | None = None
        self.idle_since = 0.0

    @property
    def is_busy(self) -> bool:
        """Whether a request awaits its response."""
        return self._open is not None or bool(self._queued)

    def close(self) -> None:
        """Closes the connection after sending buffered data."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once, without sending buffered data."""
        if self._transport is not None:
            self._transport.abort()

    def check_timeouts(self, now: float) -> None:
        """Closes the connection if its client is too slow or idle."""
        limits = self._server.limits
        since = self.reading_since
        if since is not None:
            if now - since > limits.header_timeout:
                self.abort()
        elif not self.is_busy and now - self.idle_since > limits.idle_timeout:
            self.close()

    def respond(self, exchange: Exchange, response: HttpResponse) -> None:
        """Sends the response of the open request and handles the next one."""
        if exchange is not self._open or self._transport is None:
            return
        self._open = None
        self.idle_since = asyncio.get_running_loop().time()
        is_last = self._server.is_draining or (
            self._is_last and not self._queued
        )
        self._transport.write(encode_response(response, is_last))
        if is_last:
            self._transport.close()
        elif self._queued:
            self._schedule_next()

    # Callbacks from asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection with the server."""
        # Transports of uvloop do not inherit from asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self.idle_since = asyncio.get_running_loop().time()
        self._server.connections.add(self)
        if self._server.is_closed:
            # It was accepted before the listener was closed.
            self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Notifies the handler of the open request that its client is gone."""
        self._server.connections.discard(self)
        exchange, self._open = self._open, None
        self._queued.clear()
        if exchange is not None and exchange.on_closed is not None:
            exchange.on_closed()

    def data_received(self, data: bytes) -> None:
        """Feeds received bytes to the parser."""
        if self.reading_since is None:
            self.reading_since = asyncio.get_running_loop().time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(501)
        except httptools.HttpParserError:
            self._reject(400)

    # Callbacks from the HTTP parser.

    def on_message_begin(self) -> None:
        """Starts a new request."""
        self._target = b""
        self._headers = {}
        self._header_bytes = 0
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._target += url
        self._check_header_size(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self._check_header_size(len(name) + len(value))
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body."""
        self._body += data
        if len(self._body) > self._server.limits.body_bytes:
            self._reject(413)

    def on_message_complete(self) -> None:
        """Handles the request, or queues it behind the open one."""
        self.reading_since = None
        if self._is_last:
            return
        self._is_last = not self._parser.should_keep_alive()
        request = HttpRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=self._target.decode("latin-1"),
            headers=self._headers,
            body=bytes(self._body),
        )
        if len(self._queued) < QUEUED_REQUESTS_MAX:
            self._queued.append(request)
            if self._open is None:
                self._schedule_next()
        else:
            self._is_last = True
            metrics.REJECTED_INPUTS.labels("pipeline").inc()
            _LOGGER.warning("too many pipelined requests, connection closed")
            self.abort()

    def _schedule_next(self) -> None:
        """Handles the next request in a later turn of the event loop.

        Quick ones that arrive together would otherwise block the loop.
        """
        if self._next is None:
            loop = asyncio.get_running_loop()
            self._next = loop.call_soon(self._handle_next)

    def _handle_next(self) -> None:
        self._next = None
        if self._open is None and self._queued:
            self._handle(self._queued.pop(0))

    def _handle(self, request: HttpRequest) -> None:
        exchange = self._open = Exchange(request, self)
        try:
            self._server.handler(exchange)
        except Exception:
            # The parser would hide the error, and the client would wait.
            _LOGGER.exception("request handler failed")
            self.respond(exchange, HttpResponse(status=500))

    def _check_header_size(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.header_bytes:
            self._reject(431)

    def _reject(self, status: int) -> None:
        """Rejects an invalid request and closes the connection.

        If earlier requests await their responses, the connection is closed
        after the last of these instead.
        """
        if self._transport is None or self._is_last:
            return
        self._is_last = True
        if not self.is_busy:
            response = HttpResponse(status=status)
            self._transport.write(encode_response(response, is_last=True))
            self._transport.close()


class LightHttpServer:
    """Passes the requests of all connections to a handler.

    Args:
      handler: Called with each request; it may respond later.
      limits: Limits of each connection.
    """

    def __init__(self, handler: Handler, limits: HttpLimits) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[_Connection] = set()
        self.is_draining = False
        self.is_closed = False

    def drain(self) -> None:
        """Closes idle connections now and the others after their response."""
        self.is_draining = True
        for connection in list(self.connections):
            if not connection.is_busy:
                connection.close()

    async def enforce_timeouts(self) -> None:
        """Repeatedly closes connections that are too slow or idle."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_TIMEOUT_CHECK_SECONDS)
            now = loop.time()
            for connection in list(self.connections):
                connection.check_timeouts(now)


@contextlib.asynccontextmanager
async def running_light_server(
    address: str, handler: Handler, limits: HttpLimits
) -> AsyncIterator[LightHttpServer]:
    """Yields a server that accepts connections at an address.

    On exit it stops listening and closes all connections.
    """
    host, _, port = address.rpartition(":")
    server = LightHttpServer(handler, limits)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(
        lambda: _Connection(server), host, int(port), backlog=1024
    )
    watcher = asyncio.create_task(server.enforce_timeouts(), name="http-watch")
    try:
        yield server
    finally:
        watcher.cancel()
        listener.close()
        server.is_closed = True
        for connection in list(server.connections):
            connection.close()
