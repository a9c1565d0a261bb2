"""Connection to one peer: frames over a byte stream."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import Callable
from typing import cast

from prometheus_client import Counter

from gypsumline.core.errors import (
    FrameError,
    ProtocolVersionError,
    UnknownMessageError,
)
from gypsumline.core.identity import Member
from gypsumline.core.message import (
    LOWEST_PROTOCOL_VERSION,
    PROTOCOL_VERSION,
    Goodbye,
    Hello,
    Message,
)
from gypsumline.runtime import metrics
from gypsumline.runtime.clock import boot_time
from gypsumline.wire.codec import (
    FRAME_LIMIT_BYTES,
    LENGTH,
    decode_body,
    decode_length,
    encode_frame,
)

SEND_BUFFER_LIMIT_BYTES = 16 * 1024 * 1024
HELLO_TIMEOUT_SECONDS = 2.0
# Bounds the memory that a connection can use before its hello.
HELLO_LIMIT_BYTES = 64 * 1024

Receiver = Callable[[Message], None]


class SlowPeerError(FrameError):
    """A peer reads too slowly, so the send buffer exceeded its limit."""

    def __init__(self, member_id: str, limit: int) -> None:
        super().__init__(
            f"send buffer to {member_id} is over the limit of {limit} bytes"
        )


class Connection(asyncio.Protocol):
    """A connection to one peer.

    Frames are handled as they arrive, without a task for each of them. There is
    no send queue besides the buffer of the transport. If a peer does not read,
    the connection fails at the buffer limit, and the components that own the
    state reconcile it after the next connection is established.

    Args:
      on_made: Called once the connection is established.

    Attributes:
      peer: Incarnation of the peer; None before its hello.
    """

    def __init__(
        self, on_made: Callable[[Connection], None] | None = None
    ) -> None:
        self._on_made = on_made
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        # Frames after the first one stay in the buffer until there is a
        # receiver, since their limit depends on the hello.
        self._first: Message | None = None
        self._receiver: Receiver | None = None
        self._changed = asyncio.Event()
        self._is_ended = False
        self._closed = asyncio.Event()
        self._error: Exception | None = None
        self._last_received = boot_time()
        # Each side sends its hello in its lowest version, so that an older peer
        # can decode it. All other messages use the highest common version.
        self._version = LOWEST_PROTOCOL_VERSION
        self._peer_is_newer = False
        self.peer: Member | None = None

    @property
    def last_received(self) -> float:
        """Time of the last received frame, in `CLOCK_BOOTTIME` seconds."""
        return self._last_received

    def send(self, message: Message) -> None:
        """Writes a message; does nothing if the connection is closing.

        Raises:
          FrameTooLargeError: The encoded message exceeds the frame limit.
          MessageEncodingError: The message cannot be encoded.
          SlowPeerError: The send buffer exceeds its limit.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        size = transport.get_write_buffer_size()
        if size > SEND_BUFFER_LIMIT_BYTES:
            self.abort()
            name = self.peer.member_id if self.peer else "a new peer"
            raise SlowPeerError(name, SEND_BUFFER_LIMIT_BYTES)
        frame = encode_frame(message, self._version)
        transport.write(frame)
        metrics.SENT_BYTES.inc(len(frame))
        _message_counter(message.wire_name, "sent").inc()

    async def exchange_hellos(self, local_member: Member) -> Member:
        """Exchanges `Hello` messages and returns the peer.

        Args:
          local_member: Incarnation of this process.

        Raises:
          FrameError: The first message is not a hello, or there is no common
            protocol version.
          TimeoutError: The peer sent no hello in time.
        """
        self.send(Hello(member=local_member))
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
                hello = await self._receive_first()
        except ProtocolVersionError:
            await self._reject_version()
            raise
        if not isinstance(hello, Hello):
            raise FrameError(f"first message is {hello.wire_name}, not hello")
        if not _has_common_version(hello):
            await self._reject_version()
            raise ProtocolVersionError(
                f"{hello.lowest_version} to {hello.highest_version}",
                LOWEST_PROTOCOL_VERSION,
                PROTOCOL_VERSION,
            )
        self._version = min(PROTOCOL_VERSION, hello.highest_version)
        self._peer_is_newer = hello.highest_version > PROTOCOL_VERSION
        self.peer = hello.member
        return hello.member

    async def close_with_goodbye(self, reason: str) -> None:
        """Sends a `Goodbye` message and closes the connection."""
        with contextlib.suppress(FrameError):
            self.send(Goodbye(reason=reason))
        await self.close()

    async def _reject_version(self) -> None:
        await self.close_with_goodbye(
            f"no common protocol version; spoken here: "
            f"{LOWEST_PROTOCOL_VERSION} to {PROTOCOL_VERSION}"
        )

    async def _receive_first(self) -> Message:
        while self._first is None:
            if self._is_ended:
                raise self._error or EOFError("connection ended")
            self._changed.clear()
            await self._changed.wait()
        return self._first

    async def deliver_to(self, receiver: Receiver) -> None:
        """Passes all further messages to a receiver until the connection ends.

        Messages of unknown types are skipped and counted if the peer supports
        a newer protocol version.

        Args:
          receiver: Called with each message, in order.

        Raises:
          FrameError: The peer sent bytes that are not a valid frame.
          EOFError: The peer closed the connection.
          OSError: The connection was lost.
          Exception: The receiver failed.
        """
        self._receiver = receiver
        self._handle_received()
        while not self._is_ended:
            self._changed.clear()
            await self._changed.wait()
        if self._error is not None:
            raise self._error

    def finish(self) -> None:
        """Ends `deliver_to` without an error."""
        self._end(None)

    def abort(self) -> None:
        """Closes the connection at once, without sending buffered frames."""
        if self._transport is not None:
            self._transport.abort()

    async def close(self) -> None:
        """Closes the connection after sending the buffered frames."""
        if self._transport is None:
            return
        self._transport.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                await self._closed.wait()

    # Callbacks from asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        # Transports of uvloop do not inherit from asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        if self._on_made is not None:
            self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """Handles the complete frames among the received bytes."""
        if self._is_ended:
            return
        self._received += data
        try:
            self._handle_received()
        except FrameError as error:
            # The coroutine that waits for messages closes the connection: it
            # may have to tell the peer the reason.
            self._end(error)

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the coroutines that wait for messages.

        The error is that of the network, or that of the receiver.
        """
        self._closed.set()
        self._end(error or EOFError("the peer closed the connection"))

    def _end(self, error: Exception | None) -> None:
        if not self._is_ended:
            self._is_ended = True
            self._error = error
            self._changed.set()

    def _handle_received(self) -> None:
        while not self._is_ended and (
            self._first is None or self._receiver is not None
        ):
            body = self._next_body()
            if body is None:
                return
            self._handle_body(body)

    def _next_body(self) -> bytes | None:
        """Removes and returns the next complete body, if there is one."""
        received = self._received
        if len(received) < LENGTH.size:
            return None
        limit = HELLO_LIMIT_BYTES if self.peer is None else FRAME_LIMIT_BYTES
        end = LENGTH.size + decode_length(bytes(received[: LENGTH.size]), limit)
        if len(received) < end:
            return None
        body = bytes(received[LENGTH.size : end])
        del received[:end]
        self._last_received = boot_time()
        metrics.RECEIVED_BYTES.inc(end)
        return body

    def _handle_body(self, body: bytes) -> None:
        try:
            message = decode_body(body)
        except UnknownMessageError:
            if not self._peer_is_newer:
                raise
            metrics.UNKNOWN_MESSAGES.inc()
            return
        _message_counter(message.wire_name, "received").inc()
        if self._receiver is not None:
            self._receiver(message)
        else:
            self._first = message
            self._changed.set()


@functools.cache
def _message_counter(name: str, direction: str) -> Counter:
    return metrics.MESSAGES.labels(name, direction)


def _has_common_version(hello: Hello) -> bool:
    return (
        hello.lowest_version <= PROTOCOL_VERSION
        and hello.highest_version >= LOWEST_PROTOCOL_VERSION
    )
