"""All connections of one process: dialing, accepting, one per pair."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import AsyncIterator, Iterator
from typing import Protocol

from gypsumline.core.errors import FrameError
from gypsumline.core.identity import Member, Role
from gypsumline.core.messages import Goodbye, Message
from gypsumline.runtime import metrics
from gypsumline.runtime.clock import boot_time
from gypsumline.wire.connection import Connection

DIAL_TIMEOUT_SECONDS = 1.0
BACKOFF_FIRST_SECONDS = 0.05
BACKOFF_LAST_SECONDS = 2.0
ANSWERING_SIDE_RETRY_SECONDS = 2.0
IDLE_LIMIT_SECONDS = 2.5
IDLE_CHECK_SECONDS = 0.5

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
        """Sends a message; returns False if the peer is not connected."""
        connection = self._connections.get(member_id)
        if connection is None:
            return False
        try:
            connection.send(message)
        except FrameError as error:
            _count_error(error)
            return False
        return True

    def dial(self, address: str) -> None:
        """Keeps a connection to an address from now on."""
        if not address or address == self._me.address:
            return
        if address in self._dialers:
            return
        task = asyncio.create_task(self._keep_dialing(address))
        self._dialers[address] = task

    async def listen(self, host: str, port: int) -> None:
        """Accepts connections."""
        self._server = await asyncio.start_server(self._accept, host, port)

    def reconnect_as(self, me: Member) -> None:
        """Drops all connections and goes on as a new incarnation."""
        self._me = me
        for connection in list(self._connections.values()):
            connection.abort()

    async def watch_idle(self) -> None:
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
        for task in self._dialers.values():
            task.cancel()
        if self._server is not None:
            self._server.close()
        connections = list(self._connections.values())
        for connection in connections:
            with contextlib.suppress(FrameError):
                connection.send(Goodbye(reason="stop"))
        await asyncio.gather(*(c.close() for c in connections))
        for task in list(self._handlers):
            task.cancel()

    async def _keep_dialing(self, address: str) -> None:
        delay = BACKOFF_FIRST_SECONDS
        while True:
            # A member may be known by two addresses; a second connection would
            # replace the first one, again and again.
            if self._member_at.get(address) in self._connections:
                await asyncio.sleep(ANSWERING_SIDE_RETRY_SECONDS)
                continue
            was_open = await self._dial_once(address)
            if was_open:
                delay = BACKOFF_FIRST_SECONDS
            await asyncio.sleep(delay * self._rng.uniform(0.5, 1.5))
            delay = min(delay * 2, BACKOFF_LAST_SECONDS)

    async def _dial_once(self, address: str) -> bool:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
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
        with contextlib.suppress(asyncio.CancelledError):
            await self._serve(Connection(reader, writer), "")

    async def _serve(self, connection: Connection, dialed: str) -> bool:
        """Runs a connection until it ends; returns whether it was open.

        Args:
          connection: The connection.
          dialed: Address that was dialed; "" for an accepted connection.
        """
        try:
            peer = await connection.shake_hands(self._me)
            if dialed:
                self._member_at[dialed] = peer.member_id
            if self._is_surplus(peer, dialed=bool(dialed)):
                connection.send(Goodbye(reason="the other side dials"))
                await asyncio.sleep(ANSWERING_SIDE_RETRY_SECONDS)
                return False
            await self._read_all(connection, peer)
        except (FrameError, OSError, EOFError, TimeoutError) as error:
            _count_error(error)
        finally:
            connection.abort()
        return connection.peer is not None

    def _is_surplus(self, peer: Member, *, dialed: bool) -> bool:
        """Of two entries the one with the smaller id dials."""
        if peer.member_id == self._me.member_id:
            return True
        if Role.AGENT in (peer.role, self._me.role):
            return False
        if (self._me.member_id < peer.member_id) == dialed:
            return False
        if not dialed:
            self.dial(peer.address)
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
    watcher = asyncio.create_task(hub.watch_idle(), name="idle-watcher")
    try:
        yield hub
    finally:
        watcher.cancel()
        await hub.close()


def _count_error(error: BaseException) -> None:
    name = type(error).__name__
    metrics.CONNECTION_ERRORS.labels(name).inc()
    _LOGGER.info(
        "connection ended", extra={"error": name, "detail": str(error)}
    )
