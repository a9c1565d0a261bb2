"""Requests of an owner for the capacity that its waiting jobs need."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from gypsumline.core.leases.containment import Containment, Pool
from gypsumline.core.leases.fleet import AgentView
from gypsumline.core.leases.job import LeasedJob
from gypsumline.core.leases.messages import CapacityRequest


class CapacityRequests:
    """The request of the most urgent waiting job for each agent, at one time.

    Agents of the same pools share a request, which is worked out once.

    Args:
      jobs: Waiting jobs, most urgent first.
      containment: Pools of the jobs.
      now: Current time.
    """

    def __init__(
        self, jobs: Iterable[LeasedJob], containment: Containment, now: float
    ) -> None:
        self._containment = containment
        self._now = now
        # The first request of each pool, most urgent first, as far as known.
        self._known: dict[Pool, CapacityRequest] = {}
        self._remaining = iter(jobs)

    def find(self, view: AgentView) -> CapacityRequest | None:
        """Returns the request for an agent, or None if no job waits for it."""
        for pool, request in self._known.items():
            if self._containment.has(pool, view):
                return request
        for pool, request in self._further():
            if self._containment.has(pool, view):
                return request
        return None

    def _further(self) -> Iterator[tuple[Pool, CapacityRequest]]:
        """Yields the first requests of pools that are not known yet."""
        for job in self._remaining:
            pool = self._containment.pool(job)
            if pool in self._known:
                continue
            request = _request(job, self._now)
            if request is not None:
                self._known[pool] = request
                yield pool, request


def _request(job: LeasedJob, now: float) -> CapacityRequest | None:
    """Returns the request of a job, or None if no task of it is ready."""
    processor = sum(
        count * step.resources.processor for step, count in job.ready_steps()
    )
    if not processor:
        return None
    return CapacityRequest(
        priority=job.request.queue.priority,
        slack=job.due_at - now - job.longest_work,
        processor=processor,
    )
