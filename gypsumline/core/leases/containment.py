"""Confines queues whose jobs crash executors to a part of the executors."""

from __future__ import annotations

import collections
import dataclasses
import enum
import functools
import math
from collections.abc import Iterable

import xxhash

from gypsumline.core.leases.crash_history import CrashHistory
from gypsumline.core.leases.crash_settings import CrashSettings
from gypsumline.core.leases.fleet import AgentView, Fleet
from gypsumline.core.leases.job import LeasedJob

# Rates below this, in thousandths of a core, are dropped.
_LEAST_RATE = 1e-3


class Part(enum.Enum):
    """Which of a service's executors a job may use."""

    # All that no queue under suspicion is confined to.
    OPEN = enum.auto()
    # Those that the queues under suspicion are confined to.
    CONFINED = enum.auto()
    # The share of its own queue, which other jobs use too.
    TRIAL = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Pool:
    """A part of a service's executors; the queue is set for TRIAL only.

    There is one object for each, so that passes over many jobs look it up by
    its identity.
    """

    service: str
    part: Part
    queue: str = ""


class WorkRates:
    """Rates at which work is submitted, by service and queue.

    Args:
      memory: Time after which earlier work has lost 1 - 1/e of its weight, in
        seconds.
    """

    def __init__(self, memory: float) -> None:
        self._memory = memory
        self._rates: dict[str, dict[str, float]] = {}
        self._updated_at = 0.0

    def add(self, service: str, queue: str, work: float) -> None:
        """Adds submitted work, in processor-seconds."""
        rates = self._rates.setdefault(service, collections.defaultdict(float))
        rates[queue] += work / self._memory

    def update(self, now: float) -> None:
        """Reduces the weight of earlier work."""
        factor = math.exp((self._updated_at - now) / self._memory)
        self._updated_at = now
        for service, rates in self._rates.items():
            kept = {q: r * factor for q, r in rates.items() if r > _LEAST_RATE}
            self._rates[service] = collections.defaultdict(float, kept)

    def share(self, service: str, queues: Iterable[str]) -> float:
        """Returns the share of some queues, from 0 to 1; 1 if unknown."""
        rates = self._rates.get(service, {})
        total = sum(rates.values())
        if not total:
            return 1.0
        return sum(rates.get(queue, 0.0) for queue in queues) / total


class Containment:
    """Keeps queues under suspicion away from the executors of the others.

    A queue is under suspicion from the moment when its jobs have caused enough
    crashes until no other has followed for some time. Meanwhile its jobs use a
    part of the executors that holds their usual share of the work, and the
    other queues use the rest, so that the crashes reach none of their runs. All
    owners order the executors alike, so they confine a queue to the same ones
    without an agreement.
    """

    def __init__(self, settings: CrashSettings, fleet: Fleet) -> None:
        self._settings = settings
        self._fleet = fleet
        self._rates = WorkRates(settings.rate_memory)
        # End of the suspicion by service and queue.
        self._suspected: dict[tuple[str, str], float] = {}
        self._confined_shares: dict[str, float] = {}
        self._open_pools: dict[str, Pool] = {}
        self._other_pools: dict[tuple[str, Part, str], Pool] = {}
        self._members: dict[Pool, frozenset[str]] = {}

    @property
    def suspected_queues(self) -> dict[tuple[str, str], float]:
        """End of the suspicion by service and queue."""
        return self._suspected

    def add_work(self, job: LeasedJob, work: float) -> None:
        """Records the work of a submitted job, in processor-seconds."""
        self._rates.add(job.service, job.request.queue.name, work)

    def has_executors(self, service: str) -> bool:
        """Returns whether any executor of a service is known."""
        return any(view.service == service for view in self._fleet)

    def suspect(
        self, service: str, queue: str, history: CrashHistory, now: float
    ) -> bool:
        """Confines a queue of which a job caused a crash, if it needs to be.

        Returns:
          Whether it is confined now and was not before.
        """
        name = service, queue
        is_new = name not in self._suspected
        blame = history.queue_blame(queue, now - self._settings.suspicion_time)
        executors = sum(view.service == service for view in self._fleet)
        limit = self._settings.suspicion_share * executors
        if is_new and blame < limit:
            return False
        self._suspected[name] = now + self._settings.suspicion_time
        if is_new:
            self._set_confined_share(service)
        return is_new

    def update(self, now: float) -> list[tuple[str, str]]:
        """Updates rates and members; returns the queues that are cleared."""
        self._rates.update(now)
        self._members.clear()
        cleared = [n for n, until in self._suspected.items() if until <= now]
        for name in cleared:
            del self._suspected[name]
        for service, _ in cleared:
            self._set_confined_share(service)
        return cleared

    def _set_confined_share(self, service: str) -> None:
        """Sets the share that the suspected queues of a service are left.

        It changes with these queues alone: an executor that changed sides would
        bring the crashes to the other queues.
        """
        self._members.clear()
        queues = [q for s, q in self._suspected if s == service]
        if queues:
            share = self._rates.share(service, queues)
            shares = self._settings.confined_shares
            self._confined_shares[service] = next(
                (s for s in shares if s >= share), 1.0
            )
        else:
            self._confined_shares.pop(service, None)

    def pool(self, job: LeasedJob) -> Pool:
        """Returns the pool of the agents that a job may use."""
        queue = job.request.queue.name
        if self._suspected and (job.service, queue) in self._suspected:
            return self._other_pool(job.service, Part.CONFINED, "")
        if job.is_suspect:
            return self._other_pool(job.service, Part.TRIAL, queue)
        found = self._open_pools.get(job.service)
        if found is None:
            found = Pool(job.service, Part.OPEN)
            self._open_pools[job.service] = found
        return found

    def _other_pool(self, service: str, part: Part, queue: str) -> Pool:
        name = service, part, queue
        found = self._other_pools.get(name)
        if found is None:
            found = self._other_pools[name] = Pool(*name)
        return found

    def filter(self, pool: Pool, agents: list[AgentView]) -> list[AgentView]:
        """Returns the agents of a service that belong to a pool."""
        if pool.part is Part.OPEN and not self._suspected:
            return agents
        members = self._members_of(pool)
        if pool.part is Part.OPEN:
            return [a for a in agents if a.member.member_id not in members]
        return [a for a in agents if a.member.member_id in members]

    def may_use(self, job: LeasedJob, agent: AgentView) -> bool:
        """Returns whether an agent belongs to the pool of a job."""
        if not self._suspected and not job.is_suspect:
            return True
        return bool(self.filter(self.pool(job), [agent]))

    def _members_of(self, pool: Pool) -> frozenset[str]:
        """Returns the ids of the agents that a pool has, or lacks if OPEN."""
        found = self._members.get(pool)
        if found is None:
            if pool.part is Part.TRIAL:
                share = self._rates.share(pool.service, [pool.queue])
            else:
                share = self._confined_shares.get(pool.service, 0.0)
            found = self._choose(pool.service, share) if share else frozenset()
            self._members[pool] = found
        return found

    def _choose(self, service: str, share: float) -> frozenset[str]:
        """Returns the agents that hold a share of the capacity.

        At least one, and not all as long as other queues have work.
        """
        agents = [view for view in self._fleet if view.service == service]
        agents.sort(key=lambda view: _rank(view.member.member_id))
        capacity = sum(view.load.capacity.processor for view in agents)
        limit = len(agents) if share >= 1.0 else max(1, len(agents) - 1)
        chosen: list[str] = []
        held = 0
        for view in agents[:limit]:
            chosen.append(view.member.member_id)
            held += view.load.capacity.processor
            if held >= share * capacity:
                break
        return frozenset(chosen)


@functools.lru_cache(maxsize=4096)
def _rank(member_id: str) -> int:
    """Returns the place of an agent in the order that all owners use."""
    return xxhash.xxh3_64_intdigest(member_id.encode())
