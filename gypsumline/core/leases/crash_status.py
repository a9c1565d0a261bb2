"""What an owner tells operators about jobs that crash executors."""

from __future__ import annotations

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SuspectedQueue:
    """A queue under suspicion.

    Attributes:
      service: Its service.
      queue: Its name.
      since: Time at which the suspicion began.
      until: Time at which it ends if no further crash follows.
      blame: Its blame for the crashes within the time of a suspicion.
    """

    service: str
    queue: str
    since: float
    until: float
    blame: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GivenUpJob:
    """A job that was given up.

    Attributes:
      job: Submission key.
      service: Service of its queue.
      queue: Name of its queue.
      since: Time at which it was first given up.
      crashes: Highest number of crashes under one of its tasks.
    """

    job: str
    service: str
    queue: str
    since: float
    crashes: int


class GivenUpJobs:
    """The latest jobs that were given up.

    Args:
      limit: Maximum number of jobs.
      memory: Time after which a job is forgotten, in seconds.
    """

    def __init__(self, limit: int, memory: float) -> None:
        self._limit = limit
        self._memory = memory
        # Oldest first.
        self._jobs: collections.OrderedDict[str, GivenUpJob]
        self._jobs = collections.OrderedDict()

    def add(self, job: GivenUpJob) -> None:
        """Adds a job; one that was submitted again keeps its time."""
        earlier = self._jobs.get(job.job)
        if earlier is not None:
            job = dataclasses.replace(job, since=earlier.since)
        self._jobs[job.job] = job
        while len(self._jobs) > self._limit:
            self._jobs.popitem(last=False)

    def recent(self, now: float) -> list[GivenUpJob]:
        """Returns the jobs, oldest first."""
        return [j for j in self._jobs.values() if now - j.since < self._memory]
