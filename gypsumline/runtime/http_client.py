"""A lightweight HTTP/1.1 client with keep-alive, based on httptools."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import socket
from collections.abc import AsyncIterator, Callable, Mapping
from typing import cast

import httptools

from gypsumline.runtime import metrics
from gypsumline.runtime.addresses import parse_address
from gypsumline.runtime.http_messages import (
    NO_HEADERS,
    HttpRefusedError,
    HttpResponse,
    HttpUnansweredError,
    HttpUnsentError,
    encode_request,
)

RESPONSE_LIMIT_BYTES = 64 * 1024 * 1024
# With these values, the kernel detects a lost peer on an idle connection after
# about 3 s.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2

_LOGGER = logging.getLogger(__name__)


class HttpConnection(asyncio.Protocol):
    """A connection for one request at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[HttpResponse] | None = None
        self._headers: dict[str, str] = {}
        self._body = bytearray()

    @property
    def is_open(self) -> bool:
        """Whether the connection is open and can be used for a request."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    def send(self, data: bytes) -> asyncio.Future[HttpResponse]:
        """Sends an encoded request.

        Returns:
          The response, or HttpUnansweredError if the connection ends before it,
          or if it is malformed or too long.

        Raises:
          HttpUnsentError: The connection has been closed.
        """
        if self._transport is None or self._transport.is_closing():
            raise HttpUnsentError("the connection was closed before a request")
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        return self._waiter

    def close(self) -> None:
        """Aborts the connection."""
        if self._transport is not None:
            self._transport.abort()

    # Callbacks from asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and enables TCP keep-alive."""
        # Transports of uvloop do not inherit from asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        _enable_keepalive(transport.get_extra_info("socket"))

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the request in progress."""
        self._fail(f"connection ended: {error or 'closed by the peer'}")

    def data_received(self, data: bytes) -> None:
        """Feeds received bytes to the parser."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"answer cannot be parsed: {error}")
            self.close()

    # Callbacks from the HTTP parser.

    def on_message_begin(self) -> None:
        """Starts a new response; one that no request awaits is an error.

        Its rest could be taken for the response to a later request.
        """
        if self._waiter is None or self._waiter.done():
            metrics.REJECTED_INPUTS.labels("response").inc()
            _LOGGER.warning("response without a request, connection closed")
            self.close()
        self._headers = {}
        self._body = bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body."""
        self._body += data
        if len(self._body) > RESPONSE_LIMIT_BYTES:
            self._fail(f"answer is over {RESPONSE_LIMIT_BYTES} bytes")
            self.close()

    def on_message_complete(self) -> None:
        """Completes the request in progress with the response."""
        response = HttpResponse(
            status=self._parser.get_status_code(),
            headers=self._headers,
            body=bytes(self._body),
        )
        keeps_alive = self._parser.should_keep_alive()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(response)
        if not keeps_alive:
            self.close()

    def _fail(self, reason: str) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(HttpUnansweredError(reason))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LateResponse:
    """What to do with a response that comes after the time limit.

    Attributes:
      patience: Seconds for which the connection is kept after the time limit.
      on_response: Called with the response if there is one by then.
    """

    patience: float
    on_response: Callable[[HttpResponse], None]


class HttpClient:
    """Client of one server with a bounded pool of connections.

    A connection whose response is late may be kept for some more time. It does
    not count as in use; there are at most as many of them as others, and the
    oldest is closed for the next.

    Args:
      address: Host and port of the server.
      connections: Maximum number of connections in use.

    Raises:
      InvalidInputError: The address is invalid.
    """

    def __init__(self, address: str, connections: int) -> None:
        self._host, self._port = parse_address(address)
        self._address = address
        self._idle: list[HttpConnection] = []
        self._slots = asyncio.Semaphore(connections)
        self._late: dict[HttpConnection, asyncio.TimerHandle] = {}
        self._late_limit = connections

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
        late: LateResponse | None = None,
    ) -> HttpResponse:
        """Sends a request and returns its response.

        After a timeout or a malformed response the connection is closed, so
        that a delayed response is not taken for that of a later request.

        Args:
          method: Method in upper case.
          target: Path and query.
          timeout: Time for connecting and the response, in seconds.
          headers: Request headers.
          body: Request body.
          late: What to do with a response after the timeout; None to close the
            connection at once.

        Raises:
          HttpRefusedError: No process listens at the address.
          HttpUnsentError: No connection was available in time, or a header
            cannot be encoded.
          HttpUnansweredError: There was no valid response in time.
        """
        data = encode_request(method, self._address, target, headers, body)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        async with self._slot(deadline):
            connection = await self._open_connection(deadline)
            response = connection.send(data)
            try:
                # Unlike a cancellation, this does not drop a response that
                # arrives in the turn of the event loop in which time runs out.
                await asyncio.wait(
                    (response,), timeout=max(0.0, deadline - loop.time())
                )
            except asyncio.CancelledError:
                response.cancel()
                connection.close()
                raise
            if not response.done():
                self._wait_longer(connection, response, late)
                raise HttpUnansweredError(
                    f"{method} {target}: no answer within {timeout:.3f} s"
                )
            self._release(connection)
            return response.result()

    def close(self) -> None:
        """Closes the connections that are idle or wait for late responses."""
        while self._idle:
            self._idle.pop().close()
        for connection in list(self._late):
            connection.close()

    @contextlib.asynccontextmanager
    async def _slot(self, deadline: float) -> AsyncIterator[None]:
        try:
            async with asyncio.timeout_at(deadline):
                await self._slots.acquire()
        except TimeoutError as error:
            raise HttpUnsentError(
                f"{self._address}: all connections are in use"
            ) from error
        try:
            yield
        finally:
            self._slots.release()

    def _release(self, connection: HttpConnection) -> None:
        """Keeps a connection for the next request if it is still open."""
        if connection.is_open:
            self._idle.append(connection)

    def _wait_longer(
        self,
        connection: HttpConnection,
        response: asyncio.Future[HttpResponse],
        late: LateResponse | None,
    ) -> None:
        """Keeps a connection until its late response, or closes it."""
        if late is None:
            response.cancel()
            connection.close()
            return
        if len(self._late) >= self._late_limit:
            oldest = next(iter(self._late))
            self._late.pop(oldest).cancel()
            oldest.close()
        loop = asyncio.get_running_loop()
        self._late[connection] = loop.call_later(
            late.patience, connection.close
        )

        def finish(response: asyncio.Future[HttpResponse]) -> None:
            timer = self._late.pop(connection, None)
            if timer is not None:
                timer.cancel()
            if response.exception() is None:
                self._release(connection)
                late.on_response(response.result())

        response.add_done_callback(finish)

    async def _open_connection(self, deadline: float) -> HttpConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(deadline):
                _, connection = await loop.create_connection(
                    HttpConnection, self._host, self._port
                )
        except ConnectionRefusedError as error:
            raise HttpRefusedError(f"{self._address}: {error}") from error
        except (OSError, TimeoutError) as error:
            raise HttpUnsentError(
                f"{self._address}: {type(error).__name__}: {error}"
            ) from error
        return connection


def _enable_keepalive(sock: socket.socket | None) -> None:
    """Enables TCP keep-alive, so that the kernel detects a lost peer."""
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
