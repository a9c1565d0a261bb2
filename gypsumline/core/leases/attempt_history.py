"""What an owner remembers of the runs of the jobs that it had."""

from __future__ import annotations

from typing import NamedTuple

from gypsumline.core.leases.job import LeasedJob


class _EndedJob(NamedTuple):
    """What is left of a job that was dropped."""

    highest_attempt: int
    may_have_run: bool
    ended_at: float


class AttemptHistory:
    """Lets a job that is submitted again go on behind its earlier runs.

    A late report about an earlier run would otherwise count for a new run with
    the same number, and a late order of an earlier run may still be carried out
    when nothing of the new job has begun.
    """

    def __init__(self, retention: float) -> None:
        """Makes an empty book.

        Args:
          retention: Seconds for which a job is remembered after its end.
        """
        self._retention = retention
        # In the order of their ends, so that old ones are in front.
        self._jobs: dict[str, _EndedJob] = {}

    def record(self, job: LeasedJob, now: float) -> None:
        """Keeps what a later job of the key needs to know of this one."""
        highest_attempt = max(task.attempt for task in job.tasks)
        if highest_attempt:
            self._jobs.pop(job.key, None)
            may_have_run = job.has_started or job.may_have_run
            self._jobs[job.key] = _EndedJob(highest_attempt, may_have_run, now)

    def restore(self, job: LeasedJob) -> None:
        """Tells a new job of the runs that its key had here."""
        earlier = self._jobs.get(job.key)
        if earlier is None:
            return
        job.may_have_run = earlier.may_have_run
        for task in job.tasks:
            task.attempt = earlier.highest_attempt

    def expire(self, now: float) -> None:
        """Forgets jobs that ended long ago."""
        expired = []
        for key, earlier in self._jobs.items():
            if now - earlier.ended_at <= self._retention:
                break
            expired.append(key)
        for key in expired:
            del self._jobs[key]
