"""Confines queues whose jobs crash executors to a part of the executors."""

from __future__ import annotations

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


@dataclasses.dataclass(slots=True)
class _Rate:
    """A rate at the time of its latest change."""

    value: float = 0.0
    at: float = 0.0


class WorkRates:
    """Rates at which work is submitted, by service and queue.

    A rate loses its weight when it is read, so that queues without new work
    cost nothing.

    Args:
      memory: Time after which earlier work has lost 1 - 1/e of its weight, in
        seconds.
    """

    def __init__(self, memory: float) -> None:
        self._memory = memory
        self._rates: dict[str, dict[str, _Rate]] = {}

    def add(self, service: str, queue: str, work: float, now: float) -> None:
        """Adds submitted work, in processor-seconds."""
        rates = self._rates.setdefault(service, {})
        rate = rates.get(queue)
        if rate is None:
            self._drop_old(rates, now)
            rate = rates[queue] = _Rate()
        rate.value = self._current(rate, now) + work / self._memory
        rate.at = now

    def share(self, service: str, queues: Iterable[str], now: float) -> float:
        """Returns the share of some queues, from 0 to 1; 1 if unknown."""
        rates = {
            queue: self._current(rate, now)
            for queue, rate in self._rates.get(service, {}).items()
        }
        total = sum(rates.values())
        if total < _LEAST_RATE:
            return 1.0
        return sum(rates.get(queue, 0.0) for queue in queues) / total

    def _current(self, rate: _Rate, now: float) -> float:
        return rate.value * math.exp((rate.at - now) / self._memory)

    def _drop_old(self, rates: dict[str, _Rate], now: float) -> None:
        """Drops rates without weight, each time that their number doubles."""
        if (len(rates) & (len(rates) - 1)) == 0:
            for queue, rate in list(rates.items()):
                if self._current(rate, now) < _LEAST_RATE:
                    del rates[queue]


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
        # Processor capacity by agent and service, as first seen in a suspicion.
        self._capacities: dict[str, dict[str, int]] = {}
        self._open_pools: dict[str, Pool] = {}
        self._other_pools: dict[tuple[str, Part, str], Pool] = {}
        self._members: dict[Pool, frozenset[str]] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._updated_at = -math.inf

    @property
    def suspected_queues(self) -> dict[tuple[str, str], float]:
        """End of the suspicion by service and queue."""
        return self._suspected

    def add_work(self, job: LeasedJob, work: float, now: float) -> None:
        """Records the work of a submitted job, in processor-seconds."""
        self._rates.add(job.service, job.request.queue.name, work, now)

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
        executors = len(self._fleet.present(service, now))
        if is_new and blame < self._settings.suspicion_share * executors:
            return False
        self._suspected[name] = now + self._settings.suspicion_time
        if is_new:
            self._set_confined_share(service, now)
        return is_new

    def update(self, now: float) -> list[tuple[str, str]]:
        """Updates the members; returns the queues that are cleared."""
        self._updated_at = now
        self._members.clear()
        cleared = [n for n, until in self._suspected.items() if until <= now]
        for name in cleared:
            del self._suspected[name]
        for service, _ in cleared:
            self._set_confined_share(service, now)
        return cleared

    def set_zones_out(self, zones: Iterable[str]) -> None:
        """Sets the excluded zones, whose executors belong to no part.

        Otherwise a queue could be confined to executors that take no runs.
        """
        self._zones_out = frozenset(zones)
        self._members.clear()

    def _set_confined_share(self, service: str, now: float) -> None:
        """Sets the share that the suspected queues of a service are left.

        It changes with these queues alone: an executor that changed sides would
        bring the crashes to the other queues.
        """
        self._members.clear()
        queues = [q for s, q in self._suspected if s == service]
        if queues:
            share = self._rates.share(service, queues, now)
            shares = self._settings.confined_shares
            self._confined_shares[service] = next(
                (s for s in shares if s >= share), 1.0
            )
        else:
            self._confined_shares.pop(service, None)
            self._capacities.pop(service, None)

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

    def is_part(self, pool: Pool) -> bool:
        """Returns whether a suspicion keeps a pool from the other executors."""
        if pool.part is Part.OPEN:
            return any(s == pool.service for s, _ in self._suspected)
        return pool.part is Part.CONFINED

    def has(self, pool: Pool, agent: AgentView) -> bool:
        """Returns whether an agent belongs to a pool."""
        if agent.service != pool.service:
            return False
        return bool(self.filter(pool, [agent]))

    def _members_of(self, pool: Pool) -> frozenset[str]:
        """Returns the ids of the agents that a pool has, or lacks if OPEN."""
        found = self._members.get(pool)
        if found is None:
            if pool.part is Part.TRIAL:
                share = self._rates.share(
                    pool.service, [pool.queue], self._updated_at
                )
            else:
                share = self._confined_shares.get(pool.service, 0.0)
            found = self._choose(pool.service, share) if share else frozenset()
            self._members[pool] = found
        return found

    def _choose(self, service: str, share: float) -> frozenset[str]:
        """Returns the agents that hold a share of the capacity.

        At least one, and not all as long as other queues have work. A capacity
        that changes during a suspicion moves no agent to the other part.
        """
        agents = [
            view
            for view in self._fleet.present(service, self._updated_at)
            if view.member.availability_zone not in self._zones_out
        ]
        agents.sort(key=lambda view: _rank(view.member.member_id))
        known = {
            view.member.member_id: view.load.capacity.processor
            for view in agents
        }
        if service in self._confined_shares:
            known |= self._capacities.get(service, {})
            self._capacities[service] = known
        total = sum(known[view.member.member_id] for view in agents)
        limit = len(agents) if share >= 1.0 else max(1, len(agents) - 1)
        chosen: list[str] = []
        held = 0
        for view in agents[:limit]:
            chosen.append(view.member.member_id)
            held += known[view.member.member_id]
            if held >= share * total:
                break
        return frozenset(chosen)


@functools.lru_cache(maxsize=4096)
def _rank(member_id: str) -> int:
    """Returns the place of an agent in the order that all owners use."""
    return xxhash.xxh3_64_intdigest(member_id.encode())
