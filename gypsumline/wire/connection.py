"""One connection to a peer: frames over an asyncio stream."""

from __future__ import annotations

import asyncio
import contextlib

from gypsumline.core.errors import FrameError
from gypsumline.core.identity import Member
from gypsumline.core.messages import (
    LOWEST_PROTOCOL_VERSION,
    PROTOCOL_VERSION,
    Goodbye,
    Hello,
    Message,
)
from gypsumline.runtime import metrics
from gypsumline.runtime.clock import boot_time
from gypsumline.wire.codec import (
    LENGTH,
    check_length,
    decode_body,
    encode_frame,
)

SEND_BUFFER_LIMIT_BYTES = 16 * 1024 * 1024
HELLO_TIMEOUT_SECONDS = 2.0


class SlowPeerError(FrameError):
    """A peer reads too slowly: the send buffer reached its limit."""

    def __init__(self, member_id: str, limit: int) -> None:
        super().__init__(
            f"send buffer to {member_id} is over the limit of {limit} bytes"
        )


class Connection:
    """A stream to one peer.

    The send side has no queue of its own beyond the transport's buffer; a peer
    that does not read makes the connection fail at the buffer limit, and the
    owners of the state reconcile after the reconnect.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._last_received = boot_time()
        self.peer: Member | None = None

    @property
    def last_received(self) -> float:
        """`CLOCK_BOOTTIME` seconds of the newest frame."""
        return self._last_received

    def send(self, message: Message) -> None:
        """Writes a message.

        Raises:
          SlowPeerError: The send buffer is over its limit.
        """
        if self._writer.is_closing():
            return
        size = self._writer.transport.get_write_buffer_size()
        if size > SEND_BUFFER_LIMIT_BYTES:
            self.abort()
            name = self.peer.member_id if self.peer else "a new peer"
            raise SlowPeerError(name, SEND_BUFFER_LIMIT_BYTES)
        frame = encode_frame(message)
        self._writer.write(frame)
        metrics.SENT_BYTES.inc(len(frame))
        metrics.MESSAGES.labels(message.wire_name, "sent").inc()

    async def receive(self) -> Message:
        """Returns the next message.

        Raises:
          FrameError: The peer sent bytes that are not a valid frame.
          asyncio.IncompleteReadError: The connection was closed.
        """
        header = await self._reader.readexactly(LENGTH.size)
        body = await self._reader.readexactly(check_length(header))
        message = decode_body(body)
        self._last_received = boot_time()
        metrics.RECEIVED_BYTES.inc(len(header) + len(body))
        metrics.MESSAGES.labels(message.wire_name, "received").inc()
        return message

    async def shake_hands(self, me: Member) -> Member:
        """Exchanges `Hello` messages and returns the peer.

        Raises:
          FrameError: The peer did not say hello, or shares no version.
          TimeoutError: The peer did not answer in time.
        """
        self.send(Hello(member=me))
        async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
            hello = await self.receive()
        if not isinstance(hello, Hello):
            raise FrameError(f"first message is {hello.wire_name}, not hello")
        if not _shares_version(hello):
            self.send(Goodbye(reason="no common protocol version"))
            raise FrameError(
                f"{hello.member.member_id} speaks versions "
                f"{hello.lowest_version} to {hello.highest_version}"
            )
        self.peer = hello.member
        return hello.member

    def abort(self) -> None:
        """Closes the connection at once."""
        self._writer.transport.abort()

    async def close(self) -> None:
        """Closes the connection after the buffered frames were sent."""
        self._writer.close()
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(1.0):
                await self._writer.wait_closed()


def _shares_version(hello: Hello) -> bool:
    return (
        hello.lowest_version <= PROTOCOL_VERSION
        and hello.highest_version >= LOWEST_PROTOCOL_VERSION
    )
