"""Timer service: parts subscribe a callback with an interval."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import heapq
import itertools
import logging
from collections.abc import AsyncIterator, Callable

from gypsumline.runtime import metrics

COALESCING_WINDOW_SECONDS = 0.001
# A process whose timers are this late was held up or stood still.
OVERDUE_LIMIT_SECONDS = 0.25

Callback = Callable[[], None]

_LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Subscription:
    """One subscribed callback.

    Attributes:
      interval: Seconds between calls.
      callback: What is called.
      cancelled: Whether it is called no more.
    """

    interval: float
    callback: Callback
    cancelled: bool = False

    def cancel(self) -> None:
        """Ends the subscription."""
        self.cancelled = True


class TimerService:
    """Calls its subscribers from one task, each at its own interval.

    A call that comes late is not made up for: the next one is a full interval
    after it, so a paused process does not run a burst of old timers.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Subscription]] = []
        self._order = itertools.count()
        self._changed = asyncio.Event()

    def subscribe(self, interval: float, callback: Callback) -> Subscription:
        """Calls `callback` every `interval` seconds from now on."""
        subscription = Subscription(interval, callback)
        self._push(subscription)
        self._changed.set()
        return subscription

    async def run(self) -> None:
        """Serves the subscriptions until cancelled."""
        while True:
            await self._wait_for_next()
            self._call_due()

    def _push(self, subscription: Subscription) -> None:
        due = asyncio.get_running_loop().time() + subscription.interval
        heapq.heappush(self._heap, (due, next(self._order), subscription))

    async def _wait_for_next(self) -> None:
        self._changed.clear()
        timeout = None
        if self._heap:
            now = asyncio.get_running_loop().time()
            timeout = max(0.0, self._heap[0][0] - now)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._changed.wait()

    def _call_due(self) -> None:
        # Callbacks that are nearly due share one wake-up.
        now = asyncio.get_running_loop().time()
        if self._heap and now - self._heap[0][0] > OVERDUE_LIMIT_SECONDS:
            metrics.LATE_TIMERS.inc()
            late = round(now - self._heap[0][0], 3)
            _LOGGER.warning("timers are late", extra={"late": late})
        until = now + COALESCING_WINDOW_SECONDS
        while self._heap and self._heap[0][0] <= until:
            subscription = heapq.heappop(self._heap)[2]
            if subscription.cancelled:
                continue
            self._push(subscription)
            subscription.callback()


class _Supervisor:
    """Keeps the task of a timer service alive.

    A callback that raises must not end all timers: the process would go on
    without heartbeats, deadlines and evidence.
    """

    def __init__(self, service: TimerService) -> None:
        self._service = service
        self._is_closed = False
        self.start()

    def start(self) -> None:
        """Starts the task."""
        self.task = asyncio.create_task(self._service.run(), name="timers")
        self.task.add_done_callback(self._on_ended)

    async def close(self) -> None:
        """Ends the task."""
        self._is_closed = True
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def _on_ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        _LOGGER.error("a timer callback failed", exc_info=task.exception())
        if not self._is_closed:
            self.start()


@contextlib.asynccontextmanager
async def running_timers() -> AsyncIterator[TimerService]:
    """Yields a timer service whose task runs inside the context."""
    service = TimerService()
    supervisor = _Supervisor(service)
    try:
        yield service
    finally:
        await supervisor.close()
