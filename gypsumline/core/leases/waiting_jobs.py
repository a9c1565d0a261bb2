"""The jobs of an owner that have tasks to place, in placement order."""

from __future__ import annotations

from collections.abc import ValuesView

from gypsumline.core.leases.backlog import Backlog
from gypsumline.core.leases.job import LeasedJob


class WaitingJobs:
    """Keeps waiting jobs sorted by urgency.

    Urgency changes with time, but sorting costs more than placing a few runs.
    All jobs are therefore sorted in `sort` only; a job that is added in between
    takes its place in the latest order.
    """

    def __init__(self, backlog: Backlog) -> None:
        self._backlog = backlog
        self._jobs: dict[str, LeasedJob] = {}
        # Also holds jobs that were removed since the latest sort.
        self._order: list[LeasedJob] = []

    def __contains__(self, job: LeasedJob) -> bool:
        return self._jobs.get(job.key) is job

    def __len__(self) -> int:
        return len(self._jobs)

    def values(self) -> ValuesView[LeasedJob]:
        """Returns the waiting jobs in any order."""
        return self._jobs.values()

    def add(self, job: LeasedJob, now: float) -> None:
        """Adds a job, unless it is waiting already."""
        if job not in self:
            self._jobs[job.key] = job
            self._backlog.insert(self._order, job, now)

    def discard(self, job: LeasedJob) -> None:
        """Removes a job if it is waiting."""
        if job in self:
            del self._jobs[job.key]

    def sort(self, now: float) -> None:
        """Sorts the jobs by their urgency at this time."""
        self._order = self._backlog.sort_by_urgency(self._jobs.values(), now)

    def in_order(self) -> list[LeasedJob]:
        """Returns the waiting jobs, most urgent first."""
        return [job for job in self._order if job in self]
