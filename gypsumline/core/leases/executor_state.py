"""An agent's view of the executor on its host."""

from __future__ import annotations

import math

from gypsumline.core.leases.effects import (
    Announcement,
    HoldRequest,
    OrderStart,
    OrderStop,
)
from gypsumline.core.leases.run import Run
from gypsumline.core.leases.settings import LeaseSettings


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
        self._responded_at = now
        self._unresponsive_since = math.inf
        self._refused_since = math.inf
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
        elapsed = now - self._clock_read_at
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
    def unresponsive_since(self) -> float:
        """Time of the first unanswered request after the latest answer."""
        return self._unresponsive_since

    @property
    def lease_until(self) -> float:
        """Time until which its runs have a lease, by the agent's clock."""
        return self._lease_until

    @property
    def responded_at(self) -> float:
        """Time of the latest list of runs; earlier if it was read late."""
        return self._responded_at

    def mark_responsive(self, listed_at: float) -> None:
        """Records an answered hold request, which allows lease renewals.

        Args:
          listed_at: Time of the list, as far as it is known.
        """
        self._is_responsive = True
        self._responded_at = listed_at
        self._unresponsive_since = math.inf
        self._refused_since = math.inf
        self.has_crashed = False

    def mark_unresponsive(self, now: float) -> None:
        """Stops lease renewals after a hold request without an answer."""
        self._is_responsive = False
        self._unresponsive_since = min(self._unresponsive_since, now)

    def record_refusal(self, now: float) -> bool:
        """Records a refused connection; returns whether the process is gone.

        A single refusal may come from a listener that is being replaced.
        """
        self.mark_unresponsive(now)
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
        self, token: int, may_renew: bool, wait: float, now: float
    ) -> HoldRequest:
        """Returns the next hold request.

        After an unanswered request the lease is not renewed, so that the time
        of its expiry is known.

        Args:
          token: Fencing token.
          may_renew: Whether there are runs whose lease may be renewed.
          wait: Seconds for which the executor may wait for an end.
          now: Current time.
        """
        renews = self._is_responsive and may_renew
        return HoldRequest(
            executor=self.name,
            token=token,
            acknowledged_end=self.acknowledged_end,
            lease_until=self.renew_lease(now) if renews else None,
            wait=wait if self._is_responsive else 0.0,
        )
