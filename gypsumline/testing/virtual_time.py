"""An event loop in virtual time, with a network in memory.

Nothing waits: when no callback is ready, the clock jumps to the next timer. So
a test of time limits takes the time of its computations and always gives the
same verdict. Connections and listeners of the loop are in memory; sockets of
the machine are not used.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

LATENCY_SECONDS = 0.001

_T = TypeVar("_T")
_Factory = Callable[[], asyncio.BaseProtocol]


class VirtualDeadlockError(Exception):
    """Nothing is ready and no timer is set, so nothing can ever happen."""


class _JumpingSelector(selectors.SelectSelector):
    """Lets the clock jump where another selector would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns what is ready now; else lets `timeout` seconds pass."""
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise VirtualDeadlockError("nothing is ready and no timer set")
            self.now += max(0.0, timeout)
        return ready


class MemoryTransport(asyncio.Transport):
    """One end of a connection in memory.

    Attributes:
      protocol: What is told of data and of the end.
      peer: The other end.
      is_silent: Whether all that is sent either way is lost without a word.
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
        """Delivers data to the other end."""
        if self._reaches_peer and not self._is_closing:
            assert self.peer is not None
            receive = self.peer.receive
            self._loop.call_later(LATENCY_SECONDS, receive, bytes(data))

    def is_closing(self) -> bool:
        """Returns whether this end was closed."""
        return self._is_closing

    def close(self) -> None:
        """Ends the connection."""
        self.abort()

    def abort(self) -> None:
        """Ends the connection."""
        if self._is_closing:
            return
        if self._reaches_peer:
            assert self.peer is not None
            self._loop.call_later(LATENCY_SECONDS, self.peer.end)
        self.end()

    def receive(self, data: bytes) -> None:
        """Takes data from the other end."""
        if not self._is_closing and not self.is_silent:
            self.protocol.data_received(data)

    def end(self) -> None:
        """Tells the protocol that the connection is gone."""
        if not self._is_closing:
            self._is_closing = True
            self._loop.call_soon(self.protocol.connection_lost, None)

    @property
    def _reaches_peer(self) -> bool:
        return self.peer is not None and not self.is_silent


class _Listener:
    """What `create_server` returns."""

    def __init__(self, listeners: dict[str, _Factory], address: str) -> None:
        self._listeners = listeners
        self._address = address

    def close(self) -> None:
        """Accepts no more connections."""
        self._listeners.pop(self._address, None)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock and network are in memory."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)
        self._listeners: dict[str, _Factory] = {}
        self._transports: list[MemoryTransport] = []

    def time(self) -> float:
        """Returns virtual seconds."""
        return self._jumping.now

    def silence_connections(self) -> None:
        """Lets all open connections go silent for good; new ones work."""
        for transport in self._transports:
            transport.is_silent = True

    async def create_server(  # type: ignore[override]
        self, protocol_factory: _Factory, host: str, port: int, **_: object
    ) -> _Listener:
        """Listens at an address of the network in memory."""
        address = f"{host}:{port}"
        self._listeners[address] = protocol_factory
        return _Listener(self._listeners, address)

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: _Factory, host: str, port: int, **_: object
    ) -> tuple[MemoryTransport, asyncio.BaseProtocol]:
        """Connects to a listener of the network in memory.

        Raises:
          ConnectionRefusedError: Nothing listens there.
        """
        await asyncio.sleep(2 * LATENCY_SECONDS)
        accept = self._listeners.get(f"{host}:{port}")
        if accept is None:
            raise ConnectionRefusedError(f"{host}:{port}: nothing listens")
        caller, server = self._open(protocol_factory()), self._open(accept())
        caller.peer, server.peer = server, caller
        for end in (caller, server):
            end.protocol.connection_made(end)
        return caller, caller.protocol

    def _open(self, protocol: asyncio.BaseProtocol) -> MemoryTransport:
        assert isinstance(protocol, asyncio.Protocol)
        transport = MemoryTransport(self, protocol)
        self._transports.append(transport)
        return transport


def run_in_virtual_time(
    main: Callable[[VirtualTimeLoop], Coroutine[Any, Any, _T]],
) -> _T:
    """Runs a coroutine function in a loop of its own; returns its result."""
    loop = VirtualTimeLoop()
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(main(loop))
