"""Faults and limits of the platform stand-in, which can change at run time."""

from __future__ import annotations

import asyncio
import enum
import time

import pydantic


class Outage(enum.StrEnum):
    """Behaviour of the platform during an outage."""

    NONE = "none"
    REFUSE = "refuse"
    HANG = "hang"


class Faults(pydantic.BaseModel):
    """Fault settings; times in seconds, shares from 0 to 1.

    Attributes:
      latency: Latency of each request, half before and half after its effect.
      write_latency: Additional latency of writes.
      writes_per_second: Limit of written rows per second; 0 for no limit.
      reads_per_second: Limit of reads per second; 0 for no limit.
      outage: Whether requests get status 503 at once or hang.
      hang_limit: Longest time that a request hangs before its connection is
        closed.
      lose_answers: Share of writes that take effect without a response.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    latency: float = pydantic.Field(default=0.0, ge=0, le=60)
    write_latency: float = pydantic.Field(default=0.0, ge=0, le=60)
    writes_per_second: int = pydantic.Field(default=400, ge=0)
    reads_per_second: int = pydantic.Field(default=2000, ge=0)
    outage: Outage = Outage.NONE
    hang_limit: float = pydantic.Field(default=30.0, ge=0, le=60)
    lose_answers: float = pydantic.Field(default=0.0, ge=0, le=1)


class FaultsChange(Faults):
    """A change of some fault settings, temporary or permanent.

    Attributes:
      duration: Seconds after which the initial settings of the process are
        restored; 0: the change is permanent.
    """

    duration: float = pydantic.Field(default=0.0, ge=0, le=3600)


class RateLimiter:
    """Rate limiter with fixed windows of one second."""

    def __init__(self) -> None:
        self._window_start = 0.0
        self._used = 0

    def try_acquire(self, units: int, limit: int) -> bool:
        """Returns whether units fit into this window, and counts them if so.

        Args:
          units: Number of units to take.
          limit: Units per second; 0 for no limit.
        """
        now = time.monotonic()
        if now - self._window_start >= 1.0:
            self._window_start = now
            self._used = 0
        if limit and self._used + units > limit:
            return False
        self._used += units
        return True


class FaultState:
    """Current fault settings, and a signal for the end of a hanging outage."""

    def __init__(self, initial: Faults) -> None:
        self._initial = initial
        self._restore_timer: asyncio.TimerHandle | None = None
        self._hang_ended = asyncio.Event()
        self.current = initial

    def change(self, change: FaultsChange) -> None:
        """Applies the settings that are given and keeps the others.

        A pending restoration of the initial settings is cancelled.
        """
        changed = change.model_dump(exclude_unset=True, exclude={"duration"})
        if self._restore_timer is not None:
            self._restore_timer.cancel()
            self._restore_timer = None
        self._set_current(self.current.model_copy(update=changed))
        if change.duration:
            loop = asyncio.get_running_loop()
            self._restore_timer = loop.call_later(
                change.duration, self._set_current, self._initial
            )

    async def hang(self) -> None:
        """Waits for the end of the outage, at most for the hang limit."""
        try:
            async with asyncio.timeout(self.current.hang_limit):
                await self._hang_ended.wait()
        except TimeoutError:
            return

    def _set_current(self, faults: Faults) -> None:
        self.current = faults
        if faults.outage is Outage.HANG:
            self._hang_ended.clear()
        else:
            self._hang_ended.set()
