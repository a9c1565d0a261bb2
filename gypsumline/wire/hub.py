"""Manages all connections of a process, at most one per peer."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import AsyncIterator, Iterable, Iterator
from typing import Protocol

from gypsumline.core.errors import (
    FrameError,
    FrameTooLargeError,
    MessageEncodingError,
)
from gypsumline.core.identity import Member, Role
from gypsumline.core.message import Goodbye, Message
from gypsumline.runtime import metrics
from gypsumline.runtime.clock import boot_time
from gypsumline.wire.backoff import (
    BACKOFF_MAX_SECONDS,
    Backoff,
    DialRateLimiter,
)
from gypsumline.wire.connection import Connection

DIAL_TIMEOUT_SECONDS = 1.0
ACCEPTING_SIDE_RETRY_SECONDS = 2.0
IDLE_LIMIT_SECONDS = 2.5
IDLE_CHECK_SECONDS = 0.5
# Further incoming connections are closed while this many have not sent a hello.
PENDING_HANDSHAKES_MAX = 512

_UNSENT_EVENTS: dict[type[FrameError], str] = {
    FrameTooLargeError: "message is too long to be sent",
    MessageEncodingError: "message cannot be encoded",
}

_LOGGER = logging.getLogger(__name__)


class HubListener(Protocol):
    """Callbacks for connection events and received messages."""

    def on_connected(self, member: Member) -> None:
        """Handles an opened connection to an incarnation."""

    def on_disconnected(self, member: Member) -> None:
        """Handles a closed connection to an incarnation."""

    def on_message(self, member: Member, message: Message) -> None:
        """Handles a message from an incarnation."""


class Hub:
    """Maintains one connection to each peer and redials lost ones.

    Args:
      local_member: Incarnation of this process.
      listener: Receives connection events and messages.
      rng: Random generator for the back-off.
    """

    def __init__(
        self, local_member: Member, listener: HubListener, rng: random.Random
    ) -> None:
        self._local_member = local_member
        self._listener = listener
        self._rng = rng
        self._connections: dict[str, Connection] = {}
        self._dialers: dict[str, asyncio.Task[None]] = {}
        self._seeds: set[str] = set()
        self._targets: set[str] = set()
        self._dial_limiter = DialRateLimiter(boot_time())
        self._pending_handshakes = 0
        self._is_closed = False
        self._member_id_by_address: dict[str, str] = {}
        self._handlers: set[asyncio.Task[bool]] = set()
        self._server: asyncio.Server | None = None

    @property
    def members(self) -> tuple[Member, ...]:
        """Currently connected peers."""
        peers = (c.peer for c in self._connections.values())
        return tuple(peer for peer in peers if peer is not None)

    def is_connected(self, member_id: str) -> bool:
        """Returns whether a peer is currently connected."""
        return member_id in self._connections

    def send(self, member_id: str, message: Message) -> bool:
        """Sends a message; returns False if it could not be sent.

        A message that is too long or cannot be encoded means that the sender
        does not bound its messages correctly. This is logged, and the
        connection stays open.
        """
        connection = self._connections.get(member_id)
        if connection is None:
            return False
        try:
            connection.send(message)
        except (FrameTooLargeError, MessageEncodingError) as error:
            _count_unsent(message, error)
            _LOGGER.error(
                _UNSENT_EVENTS[type(error)],
                extra={
                    "type": message.wire_name,
                    "to": member_id,
                    "detail": str(error),
                },
            )
            return False
        except FrameError as error:
            _count_unsent(message, error)
            _count_error(error)
            return False
        return True

    def dial(self, address: str) -> None:
        """Dials an address and maintains a connection to it until closed."""
        self._seeds.add(address)
        self._ensure_dialer(address)

    def set_members(self, addresses: Iterable[str]) -> None:
        """Replaces the set of member addresses to stay connected to.

        Existing connections to removed addresses are kept, but are not redialed
        after they end. Addresses passed to `dial` are not affected.
        """
        self._targets = set(addresses)
        for address in sorted(self._targets):
            self._ensure_dialer(address)

    async def listen(self, host: str, port: int) -> None:
        """Starts to accept connections at a host and port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self._accept), host, port
        )

    def reconnect_as(self, local_member: Member) -> None:
        """Aborts all connections and reconnects as a new incarnation."""
        self._local_member = local_member
        for connection in list(self._connections.values()):
            connection.abort()

    async def close_idle_connections(self) -> None:
        """Repeatedly aborts connections that received nothing for too long."""
        while True:
            await asyncio.sleep(IDLE_CHECK_SECONDS)
            limit = boot_time() - IDLE_LIMIT_SECONDS
            for connection in list(self._connections.values()):
                if connection.last_received < limit:
                    metrics.CONNECTION_ERRORS.labels("idle").inc()
                    connection.abort()

    async def close(self) -> None:
        """Sends a goodbye to all peers and closes the connections."""
        self._is_closed = True
        if self._server is not None:
            self._server.close()
        connections = list(self._connections.values())
        await asyncio.gather(
            *(c.close_with_goodbye("stop") for c in connections)
        )
        for task in (*self._dialers.values(), *self._handlers):
            task.cancel()

    def _ensure_dialer(self, address: str) -> None:
        is_wanted = address and address != self._local_member.address
        if not is_wanted or address in self._dialers or self._is_closed:
            return
        task = asyncio.create_task(self._keep_dialing(address))
        self._dialers[address] = task
        task.add_done_callback(lambda done: self._on_dialer_done(address, done))

    def _on_dialer_done(self, address: str, task: asyncio.Task[None]) -> None:
        """Restarts a dialer that ended although its address is still wanted.

        After an error in the listener it restarts with the maximum back-off.
        """
        del self._dialers[address]
        if task.cancelled():
            return
        if task.exception() is None:
            if self._is_wanted(address):
                self._ensure_dialer(address)
            return
        _LOGGER.error(
            "dialer failed, restarting",
            extra={"address": address},
            exc_info=task.exception(),
        )
        loop = asyncio.get_running_loop()
        loop.call_later(BACKOFF_MAX_SECONDS, self._ensure_dialer, address)

    def _is_wanted(self, address: str) -> bool:
        return address in self._seeds or address in self._targets

    async def _keep_dialing(self, address: str) -> None:
        backoff = Backoff(self._rng)
        while self._is_wanted(address) and not self._is_closed:
            # If two addresses lead to the same member, their dialers would keep
            # replacing each other's connection.
            if self._member_id_by_address.get(address) in self._connections:
                await asyncio.sleep(ACCEPTING_SIDE_RETRY_SECONDS)
                continue
            started_at = boot_time()
            was_open = self._dial_limiter.try_acquire(started_at)
            if was_open:
                was_open = await self._dial_once(address)
            open_time = boot_time() - started_at if was_open else 0.0
            await asyncio.sleep(backoff.next_delay(open_time))

    async def _dial_once(self, address: str) -> bool:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    Connection, host, int(port)
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            metrics.DIAL_ERRORS.labels(type(error).__name__).inc()
            return False
        return await self._serve(connection, address)

    def _accept(self, connection: Connection) -> None:
        if self._pending_handshakes >= PENDING_HANDSHAKES_MAX:
            metrics.CONNECTION_ERRORS.labels("greeting_limit").inc()
            connection.abort()
            return
        task = asyncio.create_task(self._serve(connection, ""))
        self._handlers.add(task)
        task.add_done_callback(self._on_handler_done)

    def _on_handler_done(self, task: asyncio.Task[bool]) -> None:
        self._handlers.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOGGER.error(
                "accepted connection failed", exc_info=task.exception()
            )

    async def _serve(self, connection: Connection, dialed_address: str) -> bool:
        """Runs a connection until it ends.

        Args:
          connection: Connection to run.
          dialed_address: Address that was dialed; "" if the connection was
            accepted.

        Returns:
          Whether the peer sent its hello and the connection was no duplicate.
        """
        try:
            peer = await self._handshake(connection)
            if dialed_address:
                self._member_id_by_address[dialed_address] = peer.member_id
            if self._is_duplicate(peer, dialed=bool(dialed_address)):
                await connection.close_with_goodbye("the other side dials")
                await asyncio.sleep(ACCEPTING_SIDE_RETRY_SECONDS)
                return False
            await self._receive_all(connection, peer)
        except (FrameError, OSError, EOFError, TimeoutError) as error:
            _count_error(error)
        finally:
            connection.abort()
        return connection.peer is not None

    async def _handshake(self, connection: Connection) -> Member:
        self._pending_handshakes += 1
        try:
            return await connection.exchange_hellos(self._local_member)
        finally:
            self._pending_handshakes -= 1

    def _is_duplicate(self, peer: Member, *, dialed: bool) -> bool:
        """Returns whether a connection is redundant and must be closed.

        Of two entries, only the one with the smaller member id dials. A
        connection to this process itself is also redundant; any other
        connection of an agent is not.
        """
        if peer.member_id == self._local_member.member_id:
            return True
        if Role.AGENT in (peer.role, self._local_member.role):
            return False
        if (self._local_member.member_id < peer.member_id) == dialed:
            return False
        if not dialed:
            # Dial the peer until the next record shows whether it is a member.
            self._targets.add(peer.address)
            self._ensure_dialer(peer.address)
        return True

    async def _receive_all(self, connection: Connection, peer: Member) -> None:
        def receive(message: Message) -> None:
            if isinstance(message, Goodbye):
                connection.finish()
            else:
                self._listener.on_message(peer, message)

        with self._registered(connection, peer):
            await connection.deliver_to(receive)

    @contextlib.contextmanager
    def _registered(
        self, connection: Connection, peer: Member
    ) -> Iterator[None]:
        self._register(connection, peer)
        self._listener.on_connected(peer)
        metrics.CONNECTIONS.set(len(self._connections))
        try:
            yield
        finally:
            if self._connections.get(peer.member_id) is connection:
                del self._connections[peer.member_id]
                self._listener.on_disconnected(peer)
            metrics.CONNECTIONS.set(len(self._connections))

    def _register(self, connection: Connection, peer: Member) -> None:
        """Registers a connection and aborts the member's previous one.

        Raises:
          FrameError: A newer incarnation of the member is already connected.
        """
        previous = self._connections.get(peer.member_id)
        if previous is not None and previous.peer is not None:
            if previous.peer.incarnation > peer.incarnation:
                raise FrameError(
                    f"{peer.member_id} with incarnation {peer.incarnation} is "
                    f"older than {previous.peer.incarnation}"
                )
            del self._connections[peer.member_id]
            self._listener.on_disconnected(previous.peer)
            previous.abort()
        self._connections[peer.member_id] = connection


@contextlib.asynccontextmanager
async def running_hub(
    local_member: Member, listener: HubListener, rng: random.Random
) -> AsyncIterator[Hub]:
    """Yields a hub that closes idle connections; closes the hub on exit."""
    hub = Hub(local_member, listener, rng)
    watcher = asyncio.create_task(
        hub.close_idle_connections(), name="idle-watcher"
    )
    try:
        yield hub
    finally:
        watcher.cancel()
        await hub.close()


def _count_unsent(message: Message, error: FrameError) -> None:
    name = type(error).__name__
    metrics.UNSENT_MESSAGES.labels(message.wire_name, name).inc()


def _count_error(error: BaseException) -> None:
    name = type(error).__name__
    metrics.CONNECTION_ERRORS.labels(name).inc()
    _LOGGER.info(
        "connection ended", extra={"error": name, "detail": str(error)}
    )
