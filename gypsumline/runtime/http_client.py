"""A light HTTP/1.1 client with kept connections, parsed by httptools."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Mapping

import httptools

from gypsumline.runtime.http_messages import (
    NO_HEADERS,
    HttpResponse,
    HttpUnansweredError,
    HttpUnsentError,
    encode_request,
)

RESPONSE_LIMIT_BYTES = 64 * 1024 * 1024
# A peer that vanished is noticed on an idle connection after about 3 s.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


class HttpConnection(asyncio.Protocol):
    """One connection; it carries one request at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[HttpResponse] | None = None
        self._headers: dict[str, str] = {}
        self._body = bytearray()

    @property
    def is_open(self) -> bool:
        """Whether a request may be sent."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    async def request(self, data: bytes) -> HttpResponse:
        """Sends an encoded request and returns its answer.

        Raises:
          HttpUnansweredError: The connection ended without an answer.
        """
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        self._transport.write(data)
        try:
            return await self._waiter
        finally:
            self._waiter = None

    def close(self) -> None:
        """Ends the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        _watch_peer(transport.get_extra_info("socket"))

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the request in progress."""
        self._fail(f"connection ended: {error or 'closed by the peer'}")

    def data_received(self, data: bytes) -> None:
        """Parses a part of an answer."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"answer cannot be parsed: {error}")
            self.close()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts an answer."""
        self._headers = {}
        self._body = bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        self._body += data
        if len(self._body) > RESPONSE_LIMIT_BYTES:
            self._fail(f"answer is over {RESPONSE_LIMIT_BYTES} bytes")
            self.close()

    def on_message_complete(self) -> None:
        """Hands the answer over."""
        answer = HttpResponse(
            status=self._parser.get_status_code(),
            headers=self._headers,
            body=bytes(self._body),
        )
        keeps_alive = self._parser.should_keep_alive()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(answer)
        if not keeps_alive:
            self.close()

    def _fail(self, reason: str) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(HttpUnansweredError(reason))


class HttpClient:
    """Requests to one server over a bounded number of connections."""

    def __init__(self, address: str, connections: int) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._address = address
        self._idle: list[HttpConnection] = []
        self._slots = asyncio.Semaphore(connections)

    @property
    def address(self) -> str:
        """Host and port of the server."""
        return self._address

    async def request(
        self,
        method: str,
        target: str,
        *,
        timeout: float,
        headers: Mapping[str, str] = NO_HEADERS,
        body: bytes = b"",
    ) -> HttpResponse:
        """Returns the answer of a request.

        A connection whose answer is late or broken is closed, since nothing
        further that comes on it can be trusted.

        Raises:
          HttpUnsentError: There was no connection in time.
          HttpUnansweredError: There was no answer in time.
        """
        data = encode_request(method, self._address, target, headers, body)
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        async with self._connection(end) as connection:
            try:
                async with asyncio.timeout_at(end):
                    return await connection.request(data)
            except TimeoutError as error:
                raise HttpUnansweredError(
                    f"{method} {target}: no answer within {timeout} s"
                ) from error

    def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop().close()

    @contextlib.asynccontextmanager
    async def _connection(self, end: float) -> AsyncIterator[HttpConnection]:
        try:
            async with asyncio.timeout_at(end):
                await self._slots.acquire()
        except TimeoutError as error:
            raise HttpUnsentError(
                f"{self._address}: all connections are in use"
            ) from error
        try:
            connection = await self._take(end)
            is_whole = False
            try:
                yield connection
                is_whole = True
            finally:
                if is_whole and connection.is_open:
                    self._idle.append(connection)
                else:
                    connection.close()
        finally:
            self._slots.release()

    async def _take(self, end: float) -> HttpConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(end):
                _, connection = await loop.create_connection(
                    HttpConnection, self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            raise HttpUnsentError(
                f"{self._address}: {type(error).__name__}: {error}"
            ) from error
        return connection


def _watch_peer(connected: socket.socket | None) -> None:
    """Lets the kernel notice a peer that has vanished."""
    if connected is None:
        return
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        connected.setsockopt(socket.IPPROTO_TCP, option, value)
