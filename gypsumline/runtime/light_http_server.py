"""A light HTTP/1.1 server for daemons on small hosts, parsed by httptools.

It imports a tenth of what the product's usual server does; see
docs/decisions/0008-light-http.md.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable

import httptools

from gypsumline.runtime.http_messages import (
    HttpRequest,
    HttpResponse,
    encode_response,
)

_SWEEP_SECONDS = 0.5


@dataclasses.dataclass(slots=True, kw_only=True)
class HttpLimits:
    """Bounds on one connection.

    Attributes:
      header_bytes: Longest headers.
      body_bytes: Longest body.
      header_timeout: Seconds from the first byte of a request to its end.
      idle_timeout: Seconds without a request after which it is closed.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 256 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class Exchange:
    """One request and its answer, which may come at any later time."""

    def __init__(self, request: HttpRequest, connection: _Connection) -> None:
        self.request = request
        self._connection = connection
        self.on_closed: Callable[[], None] | None = None

    def respond(self, answer: HttpResponse) -> None:
        """Sends the answer; it is dropped if the client has left."""
        self._connection.respond(self, answer)


Handler = Callable[[Exchange], None]


class _Connection(asyncio.Protocol):
    """Reads requests one after the other; each waits for the answer before."""

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
        self._is_last = False
        self.reading_since: float | None = None
        self.quiet_since = 0.0

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress."""
        return self._open is not None

    def close(self) -> None:
        """Closes the connection after what is buffered was sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def check(self, now: float) -> None:
        """Closes a connection whose client sends too slowly or nothing."""
        limits = self._server.limits
        since = self.reading_since
        if since is not None:
            if now - since > limits.header_timeout:
                self.abort()
        elif not self.is_busy and now - self.quiet_since > limits.idle_timeout:
            self.close()

    def respond(self, exchange: Exchange, answer: HttpResponse) -> None:
        """Sends the answer of the open request, then takes the next one."""
        if exchange is not self._open or self._transport is None:
            return
        self._open = None
        self.quiet_since = asyncio.get_running_loop().time()
        is_last = self._is_last or self._server.is_draining
        self._transport.write(encode_response(answer, is_last))
        if is_last:
            self._transport.close()
        elif self._queued:
            self._begin(self._queued.pop(0))

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.quiet_since = asyncio.get_running_loop().time()
        self._server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Tells the handler of the open request that its client left."""
        self._server.connections.discard(self)
        exchange, self._open = self._open, None
        self._queued.clear()
        if exchange is not None and exchange.on_closed is not None:
            exchange.on_closed()

    def data_received(self, data: bytes) -> None:
        """Parses a part of a request."""
        if self.reading_since is None:
            self.reading_since = asyncio.get_running_loop().time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(501)
        except httptools.HttpParserError:
            self._refuse(400)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._target = b""
        self._headers = {}
        self._header_bytes = 0
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Takes a part of the target."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._count_header(len(name) + len(value))
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        self._body += data
        if len(self._body) > self._server.limits.body_bytes:
            self._refuse(413)

    def on_message_complete(self) -> None:
        """Hands the request over, after those before it."""
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
        if self._open is None:
            self._begin(request)
        else:
            self._queued.append(request)

    def _begin(self, request: HttpRequest) -> None:
        self._open = Exchange(request, self)
        self._server.handler(self._open)

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.header_bytes:
            self._refuse(431)

    def _refuse(self, status: int) -> None:
        """Answers a request that cannot be read, and closes."""
        if self._transport is None or self._is_last:
            return
        self._is_last = True
        if self._open is None:
            answer = HttpResponse(status=status)
            self._transport.write(encode_response(answer, is_last=True))
            self._transport.close()


class LightHttpServer:
    """Listens on one address and hands each request to a handler."""

    def __init__(self, handler: Handler, limits: HttpLimits) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[_Connection] = set()
        self.is_draining = False

    def drain(self) -> None:
        """Closes idle connections; the others after their answer."""
        self.is_draining = True
        for connection in list(self.connections):
            if not connection.is_busy:
                connection.close()

    async def watch(self) -> None:
        """Closes connections that send too slowly or nothing."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            now = loop.time()
            for connection in list(self.connections):
                connection.check(now)


@contextlib.asynccontextmanager
async def running_light_server(
    address: str, handler: Handler, limits: HttpLimits
) -> AsyncIterator[LightHttpServer]:
    """Yields a server that accepts connections at an address."""
    host, _, port = address.rpartition(":")
    server = LightHttpServer(handler, limits)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(
        lambda: _Connection(server), host, int(port), backlog=1024
    )
    watcher = asyncio.create_task(server.watch(), name="http-watch")
    try:
        yield server
    finally:
        watcher.cancel()
        listener.close()
        for connection in list(server.connections):
            connection.close()
