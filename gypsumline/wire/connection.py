"""Connection to one peer: frames over an asyncio stream."""

from __future__ import annotations

import asyncio
import contextlib

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


class SlowPeerError(FrameError):
    """A peer reads too slowly, so the send buffer exceeded its limit."""

    def __init__(self, member_id: str, limit: int) -> None:
        super().__init__(
            f"send buffer to {member_id} is over the limit of {limit} bytes"
        )


class Connection:
    """A connection to one peer.

    There is no send queue besides the buffer of the transport. If a peer does
    not read, the connection fails at the buffer limit, and the components that
    own the state reconcile it after the next connection is established.

    Attributes:
      peer: Incarnation of the peer; None before its hello.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
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
          SlowPeerError: The send buffer exceeds its limit.
        """
        if self._writer.is_closing():
            return
        size = self._writer.transport.get_write_buffer_size()
        if size > SEND_BUFFER_LIMIT_BYTES:
            self.abort()
            name = self.peer.member_id if self.peer else "a new peer"
            raise SlowPeerError(name, SEND_BUFFER_LIMIT_BYTES)
        frame = encode_frame(message, self._version)
        self._writer.write(frame)
        metrics.SENT_BYTES.inc(len(frame))
        metrics.MESSAGES.labels(message.wire_name, "sent").inc()

    async def receive(self) -> Message:
        """Returns the next message.

        If the peer supports a newer protocol version, messages of unknown types
        are skipped and counted.

        Raises:
          FrameError: The peer sent bytes that are not a valid frame.
          asyncio.IncompleteReadError: The connection was closed.
        """
        while True:
            body = await self._receive_body()
            try:
                message = decode_body(body)
            except UnknownMessageError:
                if not self._peer_is_newer:
                    raise
                metrics.UNKNOWN_MESSAGES.inc()
                continue
            metrics.MESSAGES.labels(message.wire_name, "received").inc()
            return message

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
                hello = await self.receive()
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

    async def _receive_body(self) -> bytes:
        header = await self._reader.readexactly(LENGTH.size)
        limit = HELLO_LIMIT_BYTES if self.peer is None else FRAME_LIMIT_BYTES
        body = await self._reader.readexactly(decode_length(header, limit))
        self._last_received = boot_time()
        metrics.RECEIVED_BYTES.inc(len(header) + len(body))
        return body

    def abort(self) -> None:
        """Closes the connection at once, without sending buffered frames."""
        self._writer.transport.abort()

    async def close(self) -> None:
        """Closes the connection after sending the buffered frames."""
        self._writer.close()
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(1.0):
                await self._writer.wait_closed()


def _has_common_version(hello: Hello) -> bool:
    return (
        hello.lowest_version <= PROTOCOL_VERSION
        and hello.highest_version >= LOWEST_PROTOCOL_VERSION
    )
