"""All connections of one process: dialing, accepting, one per pair."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import AsyncIterator, Iterable, Iterator
from typing import Protocol

from gypsumline.core.errors import FrameError, FrameTooLargeError
from gypsumline.core.identity import Member, Role
from gypsumline.core.messages import Goodbye, Message
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
# Accepted connections that have not said hello; further ones are closed.
PENDING_HANDSHAKES_MAX = 512

_LOGGER = logging.getLogger(__name__)


class HubListener(Protocol):
    """What the owner of a hub is told."""

    def on_connected(self, member: Member) -> None:
        """A connection to this incarnation is open."""

    def on_disconnected(self, member: Member) -> None:
        """The connection to this incarnation is gone."""

    def on_message(self, member: Member, message: Message) -> None:
        """A message came from this incarnation."""


class Hub:
    """Keeps one connection to each peer and dials again when it is lost."""

    def __init__(
        self, me: Member, listener: HubListener, rng: random.Random
    ) -> None:
        self._me = me
        self._listener = listener
        self._rng = rng
        self._connections: dict[str, Connection] = {}
        self._dialers: dict[str, asyncio.Task[None]] = {}
        self._seeds: set[str] = set()
        self._targets: set[str] = set()
        self._dial_limiter = DialRateLimiter(boot_time())
        self._pending_handshakes = 0
        self._is_closed = False
        self._member_at: dict[str, str] = {}
        self._handlers: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    @property
    def members(self) -> tuple[Member, ...]:
        """Peers that are connected now."""
        peers = (c.peer for c in self._connections.values())
        return tuple(peer for peer in peers if peer is not None)

    def is_connected(self, member_id: str) -> bool:
        """Returns whether a peer is connected now."""
        return member_id in self._connections

    def send(self, member_id: str, message: Message) -> bool:
        """Sends a message; returns False if it could not be sent.

        A message over the frame limit is a fault of the sender's bounds: it is
        logged, and the connection stays.
        """
        connection = self._connections.get(member_id)
        if connection is None:
            return False
        try:
            connection.send(message)
        except FrameTooLargeError as error:
            _count_unsent(message, error)
            _LOGGER.error(
                "message is too long to be sent",
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
        """Keeps a connection to an address from now on."""
        self._seeds.add(address)
        self._ensure_dialer(address)

    def set_members(self, addresses: Iterable[str]) -> None:
        """Keeps connections to the members at these addresses.

        Addresses of earlier members are not dialed again once their connection
        has ended; those given to `dial` stay.
        """
        self._targets = set(addresses)
        for address in sorted(self._targets):
            self._ensure_dialer(address)

    async def listen(self, host: str, port: int) -> None:
        """Accepts connections."""
        self._server = await asyncio.start_server(self._accept, host, port)

    def reconnect_as(self, me: Member) -> None:
        """Drops all connections and goes on as a new incarnation."""
        self._me = me
        for connection in list(self._connections.values()):
            connection.abort()

    async def close_idle_connections(self) -> None:
        """Aborts connections whose peer has been silent for too long."""
        while True:
            await asyncio.sleep(IDLE_CHECK_SECONDS)
            limit = boot_time() - IDLE_LIMIT_SECONDS
            for connection in list(self._connections.values()):
                if connection.last_received < limit:
                    metrics.CONNECTION_ERRORS.labels("idle").inc()
                    connection.abort()

    async def close(self) -> None:
        """Says goodbye to all peers and closes the connections."""
        self._is_closed = True
        if self._server is not None:
            self._server.close()
        connections = list(self._connections.values())
        await asyncio.gather(
            *(c.close_with_goodbye("stop") for c in connections)
        )
        for task in list(self._dialers.values()):
            task.cancel()
        for task in list(self._handlers):
            task.cancel()

    def _ensure_dialer(self, address: str) -> None:
        is_wanted = address and address != self._me.address
        if not is_wanted or address in self._dialers or self._is_closed:
            return
        task = asyncio.create_task(self._keep_dialing(address))
        self._dialers[address] = task
        task.add_done_callback(
            lambda ended: self._on_dialer_ended(address, ended)
        )

    def _on_dialer_ended(self, address: str, task: asyncio.Task[None]) -> None:
        """Starts a dialer again that ended by a fault of the listener."""
        del self._dialers[address]
        if task.cancelled():
            return
        if task.exception() is None:
            if self._is_wanted(address):
                self._ensure_dialer(address)
            return
        _LOGGER.error(
            "connection failed",
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
            # A member may be known by two addresses; a second connection would
            # replace the first one, again and again.
            if self._member_at.get(address) in self._connections:
                await asyncio.sleep(ACCEPTING_SIDE_RETRY_SECONDS)
                continue
            began = boot_time()
            was_open = self._dial_limiter.try_acquire(began)
            if was_open:
                was_open = await self._dial_once(address)
            open_time = boot_time() - began if was_open else 0.0
            await asyncio.sleep(backoff.next_delay(open_time))

    async def _dial_once(self, address: str) -> bool:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            metrics.DIAL_ERRORS.labels(type(error).__name__).inc()
            return False
        connection = Connection(reader, writer)
        return await self._serve(connection, address)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._handlers.add(task)
            task.add_done_callback(self._handlers.discard)
        if self._pending_handshakes >= PENDING_HANDSHAKES_MAX:
            metrics.CONNECTION_ERRORS.labels("greeting_limit").inc()
            writer.transport.abort()
            return
        with contextlib.suppress(asyncio.CancelledError):
            await self._serve(Connection(reader, writer), "")

    async def _serve(self, connection: Connection, dialed: str) -> bool:
        """Runs a connection until it ends; returns whether it was open.

        Args:
          connection: The connection.
          dialed: Address that was dialed; "" for an accepted connection.
        """
        try:
            peer = await self._handshake(connection)
            if dialed:
                self._member_at[dialed] = peer.member_id
            if self._is_duplicate(peer, dialed=bool(dialed)):
                await connection.close_with_goodbye("the other side dials")
                await asyncio.sleep(ACCEPTING_SIDE_RETRY_SECONDS)
                return False
            await self._read_all(connection, peer)
        except (FrameError, OSError, EOFError, TimeoutError) as error:
            _count_error(error)
        finally:
            connection.abort()
        return connection.peer is not None

    async def _handshake(self, connection: Connection) -> Member:
        self._pending_handshakes += 1
        try:
            return await connection.exchange_hellos(self._me)
        finally:
            self._pending_handshakes -= 1

    def _is_duplicate(self, peer: Member, *, dialed: bool) -> bool:
        """Of two entries the one with the smaller id dials."""
        if peer.member_id == self._me.member_id:
            return True
        if Role.AGENT in (peer.role, self._me.role):
            return False
        if (self._me.member_id < peer.member_id) == dialed:
            return False
        if not dialed:
            # Until the next record tells whether it is a member.
            self._targets.add(peer.address)
            self._ensure_dialer(peer.address)
        return True

    async def _read_all(self, connection: Connection, peer: Member) -> None:
        with self._registered(connection, peer):
            while True:
                message = await connection.receive()
                if isinstance(message, Goodbye):
                    return
                self._listener.on_message(peer, message)

    @contextlib.contextmanager
    def _registered(
        self, connection: Connection, peer: Member
    ) -> Iterator[None]:
        self._replace(connection, peer)
        self._listener.on_connected(peer)
        metrics.CONNECTIONS.set(len(self._connections))
        try:
            yield
        finally:
            if self._connections.get(peer.member_id) is connection:
                del self._connections[peer.member_id]
                self._listener.on_disconnected(peer)
            metrics.CONNECTIONS.set(len(self._connections))

    def _replace(self, connection: Connection, peer: Member) -> None:
        """Keeps the newest connection of a member, never an older incarnation.

        Raises:
          FrameError: A newer incarnation of the member is connected already.
        """
        earlier = self._connections.get(peer.member_id)
        if earlier is not None and earlier.peer is not None:
            if earlier.peer.incarnation > peer.incarnation:
                raise FrameError(
                    f"{peer.member_id} with incarnation {peer.incarnation} is "
                    f"older than {earlier.peer.incarnation}"
                )
            del self._connections[peer.member_id]
            self._listener.on_disconnected(earlier.peer)
            earlier.abort()
        self._connections[peer.member_id] = connection


@contextlib.asynccontextmanager
async def running_hub(
    me: Member, listener: HubListener, rng: random.Random
) -> AsyncIterator[Hub]:
    """Yields a hub that watches its connections and is closed at the end."""
    hub = Hub(me, listener, rng)
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
