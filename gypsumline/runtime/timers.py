"""Timer service that calls subscribed callbacks periodically."""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import itertools
import logging
from collections.abc import AsyncIterator, Callable

from gypsumline.runtime import metrics

# Callbacks that are due within this time share one wake-up.
COALESCING_WINDOW_SECONDS = 0.001
# A longer delay of a timer means that the event loop was blocked or that the
# process was paused.
OVERDUE_LIMIT_SECONDS = 0.25

Callback = Callable[[], None]

_LOGGER = logging.getLogger(__name__)


class Subscription:
    """A subscribed callback.

    Attributes:
      interval: Time between calls, in seconds.
      callback: Callback of the subscriber.
      due: Event loop time of the next call.
      cancelled: Whether the subscription has been cancelled.
    """

    def __init__(
        self, service: TimerService, interval: float, callback: Callback
    ) -> None:
        self._service = service
        self.interval = interval
        self.callback = callback
        self.due = 0.0
        self.cancelled = False

    def cancel(self) -> None:
        """Cancels the subscription."""
        self.cancelled = True

    def set_interval(self, interval: float) -> None:
        """Changes the interval; a shorter one also applies to the next call."""
        if interval < self.interval:
            self._service.call_within(self, interval)
        self.interval = interval


class TimerService:
    """Calls all subscribers, each at its own interval.

    Missed calls are not repeated: the next call follows a full interval after
    an overdue one, so that a process does not run a burst of missed timers
    after a pause.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Subscription]] = []
        self._order = itertools.count()
        self._timer: asyncio.Handle | None = None
        # Handles of uvloop do not tell the time of a call that is due at once.
        self._timer_due = 0.0
        self._is_closed = False

    def subscribe(self, interval: float, callback: Callback) -> Subscription:
        """Subscribes a callback to be called every `interval` seconds."""
        subscription = Subscription(self, interval, callback)
        self._push(subscription, interval)
        self._set_timer()
        return subscription

    def call_within(self, subscription: Subscription, delay: float) -> None:
        """Moves the next call of a subscription forward, if it is later."""
        due = asyncio.get_running_loop().time() + delay
        if due < subscription.due:
            self._push(subscription, delay)
            self._set_timer()

    def close(self) -> None:
        """Calls no subscriber any more."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()

    def _push(self, subscription: Subscription, delay: float) -> None:
        """Sets the next call; an earlier entry of the heap loses its effect."""
        subscription.due = asyncio.get_running_loop().time() + delay
        heapq.heappush(
            self._heap, (subscription.due, next(self._order), subscription)
        )

    def _set_timer(self) -> None:
        if self._is_closed or not self._heap:
            return
        due = self._heap[0][0]
        if self._timer is not None:
            if self._timer_due <= due:
                return
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer_due = due
        self._timer = loop.call_at(due, self._call_due)

    def _call_due(self) -> None:
        self._timer = None
        now = asyncio.get_running_loop().time()
        if self._heap and now - self._heap[0][0] > OVERDUE_LIMIT_SECONDS:
            metrics.LATE_TIMERS.inc()
            delay = round(now - self._heap[0][0], 3)
            _LOGGER.warning("timers are late", extra={"late": delay})
        due_until = now + COALESCING_WINDOW_SECONDS
        while self._heap and self._heap[0][0] <= due_until:
            due, _, subscription = heapq.heappop(self._heap)
            if subscription.cancelled or due != subscription.due:
                continue
            self._push(subscription, subscription.interval)
            self._call(subscription)
        self._set_timer()

    def _call(self, subscription: Subscription) -> None:
        """Calls a subscriber; a failure must not stop the other timers.

        The process would keep running without heartbeats, deadlines and
        evidence.
        """
        try:
            subscription.callback()
        except Exception:
            _LOGGER.exception("a timer callback failed")


@contextlib.asynccontextmanager
async def running_timers() -> AsyncIterator[TimerService]:
    """Yields a timer service that runs until the context exits."""
    service = TimerService()
    try:
        yield service
    finally:
        service.close()
