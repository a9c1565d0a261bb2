"""Event loop with a virtual clock and an in-memory network.

When no callback is ready, the clock advances to the next timer without
waiting. Tests of time limits therefore run as fast as they compute and are
deterministic. Connections and listeners are in memory and use no sockets of
the machine.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

LATENCY_SECONDS = 0.001

_T = TypeVar("_T")
_ProtocolFactory = Callable[[], asyncio.BaseProtocol]


class VirtualDeadlockError(Exception):
    """No callback is ready and no timer is set, so the loop cannot continue."""


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns ready events, or advances the clock by `timeout` seconds."""
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise VirtualDeadlockError("nothing is ready and no timer set")
            self.now += max(0.0, timeout)
        return ready


class MemoryTransport(asyncio.Transport):
    """One end of an in-memory connection.

    Attributes:
      protocol: Protocol that receives the data and the end of the connection.
      peer: The other end.
      is_silent: Whether data in both directions is dropped without an error.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, protocol: asyncio.Protocol
    ) -> None:
        super().__init__()
        self._loop = loop
        self._is_closing = False
        self.protocol = protocol
        self.peer: MemoryTransport | None = None
        self.is_silent = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Sends data to the other end, which gets it after the latency."""
        if self._reaches_peer and not self._is_closing:
            assert self.peer is not None
            receive = self.peer.receive
            self._loop.call_later(LATENCY_SECONDS, receive, bytes(data))

    def is_closing(self) -> bool:
        """Returns whether this end is closed."""
        return self._is_closing

    def close(self) -> None:
        """Closes this end and, after the latency, the other one."""
        self.abort()

    def abort(self) -> None:
        """Closes this end and, after the latency, the other one."""
        if self._is_closing:
            return
        if self._reaches_peer:
            assert self.peer is not None
            self._loop.call_later(LATENCY_SECONDS, self.peer.end)
        self.end()

    def receive(self, data: bytes) -> None:
        """Passes data from the other end to the protocol."""
        if not self._is_closing and not self.is_silent:
            self.protocol.data_received(data)

    def end(self) -> None:
        """Closes this end and notifies the protocol."""
        if not self._is_closing:
            self._is_closing = True
            self._loop.call_soon(self.protocol.connection_lost, None)

    @property
    def _reaches_peer(self) -> bool:
        return self.peer is not None and not self.is_silent


class _Listener:
    """Server object that `create_server` returns."""

    def __init__(
        self, listeners: dict[str, _ProtocolFactory], address: str
    ) -> None:
        self._listeners = listeners
        self._address = address

    def close(self) -> None:
        """Stops accepting connections."""
        self._listeners.pop(self._address, None)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual clock and an in-memory network."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)
        self._listeners: dict[str, _ProtocolFactory] = {}
        self._transports: list[MemoryTransport] = []

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_selector.now

    def silence_connections(self) -> None:
        """Drops all further data on open connections; new ones work."""
        for transport in self._transports:
            transport.is_silent = True

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: _ProtocolFactory,
        host: str,
        port: int,
        **_: object,
    ) -> _Listener:
        """Listens at an address of the in-memory network."""
        address = f"{host}:{port}"
        self._listeners[address] = protocol_factory
        return _Listener(self._listeners, address)

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: _ProtocolFactory,
        host: str,
        port: int,
        **_: object,
    ) -> tuple[MemoryTransport, asyncio.BaseProtocol]:
        """Connects to a listener of the in-memory network.

        Raises:
          ConnectionRefusedError: Nothing listens there.
        """
        await asyncio.sleep(2 * LATENCY_SECONDS)
        server_factory = self._listeners.get(f"{host}:{port}")
        if server_factory is None:
            raise ConnectionRefusedError(f"{host}:{port}: nothing listens")
        client, server = (
            self._make_transport(protocol_factory()),
            self._make_transport(server_factory()),
        )
        client.peer, server.peer = server, client
        for end in (client, server):
            end.protocol.connection_made(end)
        return client, client.protocol

    def _make_transport(
        self, protocol: asyncio.BaseProtocol
    ) -> MemoryTransport:
        assert isinstance(protocol, asyncio.Protocol)
        transport = MemoryTransport(self, protocol)
        self._transports.append(transport)
        return transport


def run_in_virtual_time(
    main: Callable[[VirtualTimeLoop], Coroutine[Any, Any, _T]],
) -> _T:
    """Runs a coroutine function in a new virtual-time loop.

    Args:
      main: Takes the loop.

    Returns:
      The result of the coroutine.
    """
    loop = VirtualTimeLoop()
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(main(loop))
