"""Highest run numbers of the jobs that an owner had."""

from __future__ import annotations

from gypsumline.core.leases.job import LeasedJob


class AttemptBook:
    """Lets a job that is submitted again go on behind its earlier runs.

    A late report about an earlier run would otherwise count for a new run with
    the same number.
    """

    def __init__(self, keep_time: float) -> None:
        """Makes an empty book.

        Args:
          keep_time: Seconds for which numbers are kept after a job's end.
        """
        self._keep_time = keep_time
        # In the order of their ends, so that old ones are in front.
        self._highest: dict[str, tuple[int, float]] = {}

    def close(self, job: LeasedJob, now: float) -> None:
        """Keeps the highest number of a job that is dropped."""
        highest = max(task.attempt for task in job.tasks)
        if highest:
            self._highest.pop(job.key, None)
            self._highest[job.key] = highest, now

    def resume(self, job: LeasedJob) -> None:
        """Lets a new job's runs begin above those that its key had here."""
        highest, _ = self._highest.get(job.key, (0, 0.0))
        for task in job.tasks:
            task.attempt = highest

    def forget(self, now: float) -> None:
        """Forgets the numbers of jobs that ended long ago."""
        expired = []
        for key, (_, ended_at) in self._highest.items():
            if now - ended_at <= self._keep_time:
                break
            expired.append(key)
        for key in expired:
            del self._highest[key]
