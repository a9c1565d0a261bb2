"""Attempt numbers of ended jobs, kept for resubmissions."""

from __future__ import annotations

from typing import NamedTuple

from gypsumline.core.leases.job import LeasedJob


class _EndedJob(NamedTuple):
    """Retained state of a job that has ended."""

    highest_attempt: int
    may_have_run: bool
    ended_at: float


class AttemptHistory:
    """Keeps resubmitted jobs apart from their earlier runs.

    Without it, a delayed report of an earlier run would be attributed to a new
    run with the same attempt number. A delayed order of an earlier run may also
    be executed although no run of the new job has started, so the new job
    must not be answered as not run.
    """

    def __init__(self, keep_time: float) -> None:
        """Creates an empty history.

        Args:
          keep_time: Seconds for which a job is retained after its end.
        """
        self._keep_time = keep_time
        # Ordered by end time, oldest first.
        self._jobs: dict[str, _EndedJob] = {}

    def record(self, job: LeasedJob, now: float) -> None:
        """Records what a later job of the same key needs."""
        highest = max(task.attempt for task in job.tasks)
        if highest:
            self._jobs.pop(job.key, None)
            may_have_run = job.has_started or job.may_have_run
            self._jobs[job.key] = _EndedJob(highest, may_have_run, now)

    def restore(self, job: LeasedJob) -> None:
        """Applies the runs of an earlier job of the same key to a new job."""
        earlier = self._jobs.get(job.key)
        if earlier is None:
            return
        job.may_have_run = earlier.may_have_run
        for task in job.tasks:
            task.attempt = earlier.highest_attempt

    def expire(self, now: float) -> None:
        """Removes jobs whose keep time has passed."""
        expired = []
        for key, earlier in self._jobs.items():
            if now - earlier.ended_at <= self._keep_time:
                break
            expired.append(key)
        for key in expired:
            del self._jobs[key]
