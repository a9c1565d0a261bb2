"""Times at which an agent asks its executor for its list of runs."""

from __future__ import annotations

import math

from gypsumline.core.leases.settings import LeaseSettings

# Hold requests without an answer yet, at most, while orders go unanswered.
OPEN_LIMIT = 3
# Hold requests in a row that stay without an answer before renewals end, at an
# executor that leaves part of its orders unanswered. At any other one the first
# shows that it is away.
LOSSY_TRIES = 6
# Hold requests in a row that are repeated at once.
QUICK_TRIES = 3
# Share of unanswered orders from which on an executor counts as such.
LOSSY_SHARE = 0.1
# Delay after a hold request that failed.
FAILED_PAUSE_SECONDS = 0.05
# Delay once the executor has crashed, or answered nothing for a lease.
DOWN_PAUSE_SECONDS = 0.25
# Delay between hold requests while runs of an earlier agent are being stopped.
RECONCILIATION_PAUSE_SECONDS = 0.02


class HoldSchedule:
    """Decides when the next hold request to the executor is due.

    As long as all orders are answered there is one request at a time, which
    waits at the executor for an end of a run. A lost one would keep the ends of
    runs back for all that time, so while orders go unanswered requests do not
    wait, and follow each other before the earlier ones are answered.
    """

    def __init__(self, settings: LeaseSettings) -> None:
        self._interval = settings.lossy_hold_interval
        self._lease = settings.lease
        self._number = 0
        self._open: dict[int, float] = {}
        self._newest_sent_at = -math.inf
        self._answered_sent_at = -math.inf
        self._paused_until = -math.inf
        # Requests without an answer since the latest answer, and their number
        # at which renewals end.
        self._unanswered = 0
        self._unanswered_since = -math.inf
        self._tries = 1

    def begin_incarnation(self) -> None:
        """Forgets the requests to the earlier incarnation of the executor."""
        self._open.clear()
        self._unanswered = 0
        self._tries = 1
        self._answered_sent_at = -math.inf
        self.end_pause()

    def due_in(self, now: float, is_lossy: bool) -> float:
        """Returns the seconds until the next request; infinite if none is due.

        Args:
          now: Current time.
          is_lossy: Whether orders to the executor go unanswered.
        """
        due_at = self._paused_until
        if is_lossy and not self._unanswered:
            due_at = max(due_at, self._newest_sent_at + self._interval)
        if self._open:
            if not is_lossy or len(self._open) >= OPEN_LIMIT:
                return math.inf
            due_at = max(due_at, self._newest_sent_at + self._interval)
        return max(0.0, due_at - now)

    def next_number(self) -> int:
        """Returns the number of a request that is not scheduled here."""
        self._number += 1
        return self._number

    def open(self, now: float) -> int:
        """Records a request that is sent now; returns its number."""
        number = self.next_number()
        self._open[number] = now
        self._newest_sent_at = now
        return number

    def on_answered(self, number: int) -> bool:
        """Records an answer, which may overtake that of another request.

        Returns:
          Whether the request was sent to this incarnation of the executor.
        """
        sent_at = self._open.pop(number, None)
        if sent_at is None:
            return False
        self._answered_sent_at = max(self._answered_sent_at, sent_at)
        self._unanswered = 0
        return True

    def on_unanswered(self, number: int, share: float, now: float) -> bool:
        """Records a request that got no answer in time.

        Args:
          number: Number of the request.
          share: Share of unanswered orders, without this request.
          now: Current time.

        Returns:
          Whether renewals of the lease must end.
        """
        sent_at = self._open.pop(number, None)
        if sent_at is None or sent_at < self._answered_sent_at:
            return False
        if not self._unanswered:
            self._tries = LOSSY_TRIES if share >= LOSSY_SHARE else 1
            self._unanswered_since = now
        self._unanswered += 1
        if now - self._unanswered_since > self._lease:
            self.pause(DOWN_PAUSE_SECONDS, now)
        elif self._unanswered >= QUICK_TRIES:
            self.pause(self._interval, now)
        return self._unanswered >= self._tries

    def on_failed(self, number: int, has_crashed: bool, now: float) -> None:
        """Records a request that was answered with a failure."""
        self._open.pop(number, None)
        pause = DOWN_PAUSE_SECONDS if has_crashed else FAILED_PAUSE_SECONDS
        self.pause(pause, now)

    def pause(self, seconds: float, now: float) -> None:
        """Sends no request for some time."""
        self._paused_until = max(self._paused_until, now + seconds)

    def end_pause(self) -> None:
        """Allows requests again, after news of the executor."""
        self._paused_until = -math.inf
