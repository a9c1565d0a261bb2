"""The jobs of an owner that have tasks to place, in placement order."""

from __future__ import annotations

import math
from collections.abc import ValuesView

from gypsumline.core.leases.backlog import Backlog
from gypsumline.core.leases.job import LeasedJob
from gypsumline.core.leases.resources import Resources


class WaitingJobs:
    """Keeps waiting jobs and sorts them by urgency, which changes with time."""

    def __init__(self, backlog: Backlog) -> None:
        self._backlog = backlog
        self._jobs: dict[str, LeasedJob] = {}
        self._order: list[LeasedJob] = []
        # Jobs with tasks to be placed again, or that a finished step has made
        # ready, since the latest pass over all agents.
        self._returned: list[LeasedJob] = []
        # Time for which the order holds; NaN after a change.
        self._sorted_at = math.nan

    def __contains__(self, job: LeasedJob) -> bool:
        return self._jobs.get(job.key) is job

    def __len__(self) -> int:
        return len(self._jobs)

    def values(self) -> ValuesView[LeasedJob]:
        """Returns the waiting jobs in any order."""
        return self._jobs.values()

    def add(self, job: LeasedJob) -> None:
        """Adds a job, unless it is waiting already."""
        if job not in self:
            self._jobs[job.key] = job
            self._sorted_at = math.nan

    def add_returned(self, job: LeasedJob) -> None:
        """Adds a job whose tasks may fit anywhere."""
        self.add(job)
        self._returned.append(job)

    def take_returned(self) -> list[LeasedJob]:
        """Removes and returns the returned jobs that still wait."""
        returned, self._returned = self._returned, []
        return [job for job in returned if job in self]

    def discard(self, job: LeasedJob) -> None:
        """Removes a job if it is waiting."""
        if job in self:
            del self._jobs[job.key]
            self._sorted_at = math.nan

    def in_order(self, now: float) -> list[LeasedJob]:
        """Returns the waiting jobs, most urgent first."""
        if self._sorted_at != now:
            self._order = self._backlog.sort_by_urgency(self.values(), now)
            self._sorted_at = now
        return self._order

    def in_order_if_fitting(
        self, free: Resources, now: float
    ) -> list[LeasedJob]:
        """Returns the jobs that may fit into free resources, in order."""
        fitting = [job for job in self.values() if job.smallest_need.fits(free)]
        return self._backlog.sort_by_urgency(fitting, now)
