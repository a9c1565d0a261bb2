"""An agent's view of the executor on its host."""

from __future__ import annotations

import math

from gypsumline.core.leases.effects import (
    Announcement,
    HoldReply,
    HoldRequest,
    OrderStart,
    OrderStop,
)
from gypsumline.core.leases.run import Run
from gypsumline.core.leases.settings import LeaseSettings

# Calls without an answer after which an executor counts as silent.
_CALLS_UNTIL_SILENT = 2


class ExecutorState:
    """Announcement, clock and lease of one incarnation of an executor."""

    def __init__(
        self, announcement: Announcement, settings: LeaseSettings, now: float
    ) -> None:
        self.announcement = announcement
        self.acknowledged_end = 0
        self.has_left = False
        self.has_crashed = False
        # Earlier incarnation of the same name, until the first list of runs.
        self.predecessor: ExecutorState | None = None
        self._settings = settings
        self._clock = announcement.clock
        self._clock_read_at = now
        self._leaving_at = math.inf
        self._lease_until = now
        # End of the lease as ordered, in milliseconds on the executor's clock.
        self._ordered_lease_until = announcement.clock
        self._is_responsive = True
        self._listed_at = now
        self._responded_at = now
        self._listed_clock = announcement.clock
        self._unresponsive_since = math.inf
        self._refused_since = math.inf
        self._has_announced_again = False
        self._answered_at = now
        self._unanswered_calls = 0
        self._is_silent = False
        self.update(announcement, now)

    @property
    def name(self) -> str:
        """Name of the executor."""
        return self.announcement.executor

    @property
    def incarnation(self) -> tuple[str, int]:
        """Name and start time, which identify the incarnation."""
        return self.announcement.executor, self.announcement.started_at

    def inherit_lease(self, earlier: ExecutorState) -> None:
        """Keeps the later lease of an earlier incarnation of the same name.

        This incarnation may have accepted an order that was meant for the
        earlier one, together with its lease.
        """
        self._lease_until = max(self._lease_until, earlier._lease_until)

    def update(self, announcement: Announcement, now: float) -> None:
        """Applies a newer announcement of the same incarnation."""
        self.announcement = announcement
        self._has_announced_again = self.is_down
        self.set_clock(announcement.clock, now)
        if announcement.leaving:
            leaving_at = now + announcement.leaving_in
            self._leaving_at = min(self._leaving_at, leaving_at)

    def set_clock(self, clock: int, now: float) -> None:
        """Records a reading of the executor's clock."""
        self._clock = clock
        self._clock_read_at = now

    def leaving_in(self, now: float) -> float:
        """Returns seconds until it leaves, or -1 if it is not leaving."""
        if not self.announcement.leaving:
            return -1.0
        return max(0.0, self._leaving_at - now)

    def renew_lease(self, now: float) -> int:
        """Starts a lease; returns its end in ms on the executor's clock."""
        settings = self._settings
        until = now + settings.lease * (1.0 + settings.clock_drift)
        self._lease_until = max(self._lease_until, until)
        # On a slow clock less time has passed since the reading.
        elapsed = (now - self._clock_read_at) * (1.0 - settings.clock_drift)
        ordered = self._clock + int(1000.0 * (elapsed + settings.lease))
        self._ordered_lease_until = max(self._ordered_lease_until, ordered)
        return ordered

    def is_expected_gone(self, now: float) -> bool:
        """Returns whether its end is planned, or already known as a crash.

        One that ends before the time that it announced has crashed.
        """
        return self.has_left or self.has_crashed or now >= self._leaving_at

    @property
    def is_down(self) -> bool:
        """Whether no process listens at its address."""
        return self._refused_since < math.inf

    @property
    def must_be_asked(self) -> bool:
        """Whether an answer is due before it is used, although nothing runs."""
        return self._is_silent or self._has_announced_again

    @property
    def is_silent(self) -> bool:
        """Whether it has answered none of several calls for a while."""
        return self._is_silent

    @property
    def unresponsive_since(self) -> float:
        """Time of the first unanswered request after the latest answer."""
        return self._unresponsive_since

    @property
    def lease_until(self) -> float:
        """Time until which its runs have a lease, by the agent's clock."""
        return self._lease_until

    @property
    def listed_at(self) -> float:
        """Time of the latest list of runs, which may have been read later."""
        return self._listed_at

    def mark_responsive(self, listed_at: float, now: float) -> None:
        """Records an answered hold request, which allows lease renewals.

        Args:
          listed_at: Time of the list, as far as it is known.
          now: Current time.
        """
        self._is_responsive = True
        self._responded_at = now
        self._listed_at = listed_at
        self._unresponsive_since = math.inf
        self._refused_since = math.inf
        self._has_announced_again = False
        self.has_crashed = False
        self.record_answer(now)

    def record_answer(self, now: float) -> bool:
        """Records an answer to any call; returns whether it was silent."""
        was_silent = self._is_silent
        self._answered_at = now
        self._unanswered_calls = 0
        self._is_silent = False
        return was_silent

    def record_unanswered(self, now: float) -> bool:
        """Records a call without an answer; returns whether it became silent.

        A single lost answer is no silence, nor are several beside others that
        arrive.
        """
        self._unanswered_calls += 1
        if (
            self._is_silent
            or self._unanswered_calls < _CALLS_UNTIL_SILENT
            or now - self._answered_at < self._settings.order_timeout
        ):
            return False
        self._is_silent = True
        return True

    def mark_unresponsive(self, now: float) -> None:
        """Stops lease renewals after hold requests without an answer."""
        self._is_responsive = False
        self.record_silence(now)

    def record_silence(self, now: float) -> None:
        """Records a hold request without an answer."""
        self._unresponsive_since = min(self._unresponsive_since, now)

    def take_list(self, request: HoldRequest, reply: HoldReply) -> bool:
        """Returns whether a list of runs is newer than the latest one.

        Answers on different connections overtake each other. One to a request
        that was sent after the latest list had arrived is always newer.
        """
        seen = max(
            [request.acknowledged_end, *(end.number for end in reply.ended)]
        )
        is_overtaken = request.sent_at < self._responded_at and (
            reply.clock < self._listed_clock or seen < self.acknowledged_end
        )
        if not is_overtaken:
            self._listed_clock = reply.clock
        return not is_overtaken

    def record_refusal(self, now: float) -> bool:
        """Records a refused connection; returns whether the process is gone.

        A single refusal may come from a listener that is being replaced.
        """
        self.mark_unresponsive(now)
        self._has_announced_again = False
        self._refused_since = min(self._refused_since, now)
        time = now - self._refused_since
        return time >= self._settings.crash_confirmation

    def has_lease_lapsed(self, now: float) -> bool:
        """Returns whether all leases have expired, by the agent's clock."""
        if self._is_responsive:
            return False
        return now > self._lease_until + self._settings.stop_time

    def start_order(
        self, run: Run, token: int, may_renew: bool, now: float
    ) -> OrderStart:
        """Returns the order that starts a run.

        Args:
          run: The run.
          token: Fencing token.
          may_renew: Whether the order renews the lease of all runs.
          now: Current time.
        """
        task, attempt = run.name
        lease_until = (
            self.renew_lease(now) if may_renew else self._ordered_lease_until
        )
        return OrderStart(
            executor=self.name,
            task=task,
            attempt=attempt,
            spec=run.spec,
            token=token,
            lease_until=lease_until,
        )

    def stop_order(self, name: tuple[str, int], token: int) -> OrderStop:
        """Returns the order that stops a run."""
        task, attempt = name
        return OrderStop(
            executor=self.name, task=task, attempt=attempt, token=token
        )

    def hold_request(
        self,
        number: int,
        token: int,
        may_renew: bool,
        wait: float,
        now: float,
    ) -> HoldRequest:
        """Returns the next hold request.

        Once the executor is unresponsive the lease is not renewed, so that the
        time of its expiry is known. Until then a renewal without an answer
        counts as given.

        Args:
          number: Number of the request.
          token: Fencing token.
          may_renew: Whether there are runs whose lease may be renewed.
          wait: Seconds for which the executor may wait for an end.
          now: Current time.
        """
        renews = self._is_responsive and may_renew
        return HoldRequest(
            number=number,
            sent_at=now,
            executor=self.name,
            token=token,
            acknowledged_end=self.acknowledged_end,
            lease_until=self.renew_lease(now) if renews else None,
            wait=wait if self._is_responsive else 0.0,
        )
