"""Timer service that calls subscribed callbacks periodically."""

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
# A longer delay of a timer means that the event loop was blocked or that the
# process was paused.
OVERDUE_LIMIT_SECONDS = 0.25

Callback = Callable[[], None]

_LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Subscription:
    """A subscribed callback.

    Attributes:
      interval: Time between calls, in seconds.
      callback: Callback of the subscriber.
      cancelled: Whether the subscription has been cancelled.
    """

    interval: float
    callback: Callback
    cancelled: bool = False

    def cancel(self) -> None:
        """Cancels the subscription."""
        self.cancelled = True


class TimerService:
    """Calls all subscribers from one task, each at its own interval.

    Missed calls are not repeated: the next call follows a full interval after
    an overdue one, so that a process does not run a burst of missed timers
    after a pause.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Subscription]] = []
        self._order = itertools.count()
        self._changed = asyncio.Event()

    def subscribe(self, interval: float, callback: Callback) -> Subscription:
        """Subscribes a callback to be called every `interval` seconds."""
        subscription = Subscription(interval, callback)
        self._push(subscription)
        self._changed.set()
        return subscription

    async def run(self) -> None:
        """Runs the timers until the task is cancelled."""
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
        # Callbacks due within the coalescing window share one wake-up.
        now = asyncio.get_running_loop().time()
        if self._heap and now - self._heap[0][0] > OVERDUE_LIMIT_SECONDS:
            metrics.LATE_TIMERS.inc()
            delay = round(now - self._heap[0][0], 3)
            _LOGGER.warning("timers are late", extra={"late": delay})
        due_until = now + COALESCING_WINDOW_SECONDS
        while self._heap and self._heap[0][0] <= due_until:
            subscription = heapq.heappop(self._heap)[2]
            if subscription.cancelled:
                continue
            self._push(subscription)
            subscription.callback()


class _Supervisor:
    """Restarts the task of a timer service after an exception.

    An exception in one callback must not stop all timers, or the process would
    keep running without heartbeats, deadlines and evidence.
    """

    def __init__(self, service: TimerService) -> None:
        self._service = service
        self._is_closed = False
        self.start()

    def start(self) -> None:
        """Starts the timer task."""
        self.task = asyncio.create_task(self._service.run(), name="timers")
        self.task.add_done_callback(self._on_done)

    async def close(self) -> None:
        """Cancels the timer task and waits for its end."""
        self._is_closed = True
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        _LOGGER.error("a timer callback failed", exc_info=task.exception())
        if not self._is_closed:
            self.start()


@contextlib.asynccontextmanager
async def running_timers() -> AsyncIterator[TimerService]:
    """Yields a timer service that runs until the context exits."""
    service = TimerService()
    supervisor = _Supervisor(service)
    try:
        yield service
    finally:
        await supervisor.close()
