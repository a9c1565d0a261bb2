"""What an agent knows of the executor beside it."""

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
    """One life of an executor: its announcement, its clock and its lease."""

    def __init__(
        self, announcement: Announcement, settings: LeaseSettings, now: float
    ) -> None:
        self.announcement = announcement
        self.acknowledged_end = 0
        self.is_gone = False
        self._settings = settings
        self._clock = announcement.clock
        self._clock_read_at = now
        self._leaving_at = math.inf
        self._lease_until = now
        self._is_responsive = True
        self.update(announcement, now)

    @property
    def name(self) -> str:
        """Name of the executor."""
        return self.announcement.executor

    @property
    def incarnation(self) -> tuple[str, int]:
        """Name and start; another value is another life."""
        return self.announcement.executor, self.announcement.started_at

    def inherit_lease(self, earlier: ExecutorState) -> None:
        """Takes over the lease of an earlier life under the same name.

        This life may have taken an order that was meant for the earlier one,
        with its lease.
        """
        self._lease_until = max(self._lease_until, earlier._lease_until)

    def update(self, announcement: Announcement, now: float) -> None:
        """Takes a newer announcement of the same life."""
        self.announcement = announcement
        self.set_clock(announcement.clock, now)
        if announcement.leaving:
            leaving_at = now + announcement.leaving_in
            self._leaving_at = min(self._leaving_at, leaving_at)

    def set_clock(self, clock: int, now: float) -> None:
        """Takes a reading of the executor's clock."""
        self._clock = clock
        self._clock_read_at = now

    def leaving_in(self, now: float) -> float:
        """Returns seconds until it leaves; negative unless it leaves."""
        if not self.announcement.leaving:
            return -1.0
        return max(0.0, self._leaving_at - now)

    def renew_lease(self, now: float) -> int:
        """Returns the end of a lease that begins now, on its clock."""
        settings = self._settings
        until = now + settings.lease * (1.0 + settings.clock_drift)
        self._lease_until = max(self._lease_until, until)
        elapsed = now - self._clock_read_at
        return self._clock + int(1000.0 * (elapsed + settings.lease))

    def mark_responsive(self) -> None:
        """Notes that it answered a request for its runs."""
        self._is_responsive = True

    def mark_unresponsive(self) -> None:
        """Notes that a request had no answer; the lease is not renewed."""
        self._is_responsive = False

    def has_lease_lapsed(self, now: float) -> bool:
        """Returns whether every lease has run out, by this clock."""
        if self._is_responsive:
            return False
        return now > self._lease_until + self._settings.stop_time

    def start_order(self, run: Run, token: int, now: float) -> OrderStart:
        """Returns the order that starts a run and renews the lease."""
        task, attempt = run.name
        return OrderStart(
            executor=self.name,
            task=task,
            attempt=attempt,
            spec=run.spec,
            token=token,
            lease_until=self.renew_lease(now),
        )

    def stop_order(self, name: tuple[str, int], token: int) -> OrderStop:
        """Returns the order that stops a run."""
        task, attempt = name
        return OrderStop(
            executor=self.name, task=task, attempt=attempt, token=token
        )

    def hold_request(
        self, token: int, has_runs: bool, is_reconciled: bool, now: float
    ) -> HoldRequest:
        """Returns the next request for the list of runs.

        After one without an answer the lease is not renewed, so that it is
        known when it runs out.
        """
        renews = self._is_responsive and has_runs
        waits = renews and is_reconciled
        return HoldRequest(
            executor=self.name,
            token=token,
            acknowledged_end=self.acknowledged_end,
            lease_until=self.renew_lease(now) if renews else None,
            wait=self._settings.hold_wait if waits else 0.0,
        )
