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
from gypsumline.core.leases.work_rates import WorkRates


class Part(enum.Enum):
    """Which of a service's executors a job may use."""

    # All that no queue under suspicion is confined to.
    OPEN = enum.auto()
    # Those that the queues under suspicion are confined to.
    CONFINED = enum.auto()
    # The share of its own queue, which other jobs use too.
    TRIAL = enum.auto()
    # Those that are kept for strong suspects.
    ISOLATED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Pool:
    """A part of a service's executors; the queue is set for TRIAL only.

    There is one object for each, so that passes over many jobs look it up by
    its identity.
    """

    service: str
    part: Part
    queue: str = ""


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
        # End and start of the suspicion by service and queue.
        self._suspected: dict[tuple[str, str], float] = {}
        self._suspected_since: dict[tuple[str, str], float] = {}
        self._confined_shares: dict[str, float] = {}
        # Processor capacity by agent and service, as first seen in a suspicion.
        self._capacities: dict[str, dict[str, int]] = {}
        self._open_pools: dict[str, Pool] = {}
        self._other_pools: dict[tuple[str, Part, str], Pool] = {}
        self._members: dict[Pool, frozenset[str]] = {}
        # End of the isolation of strong suspects by service.
        self._isolated_until: dict[str, float] = {}
        self._isolated_agents: dict[str, list[AgentView]] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._updated_at = -math.inf

    @property
    def suspected_queues(self) -> dict[tuple[str, str], float]:
        """End of the suspicion by service and queue."""
        return self._suspected

    @property
    def suspected_since(self) -> dict[tuple[str, str], float]:
        """Start of the suspicion by service and queue."""
        return self._suspected_since

    def agents_of(self, pool: Pool) -> list[str]:
        """Returns the ids of all agents of a pool, present or away."""
        agents = self._fleet.present(pool.service, self._updated_at)
        return [view.member.member_id for view in self.filter(pool, agents)]

    def add_work(self, job: LeasedJob, work: float, now: float) -> None:
        """Records the work of a submitted job, in processor-seconds."""
        self._rates.add(job.service, job.request.queue.name, work, now)

    def has_executors(self, service: str, now: float) -> bool:
        """Returns whether any executor of a service is known."""
        return bool(self._fleet.present(service, now))

    def suspect(
        self, service: str, queue: str, history: CrashHistory, now: float
    ) -> bool:
        """Confines a queue of which a job is a likely cause, if needed.

        After a crash that no job caused some job is still the likeliest cause.
        So a queue needs more blame as long as no job of it is known to crash
        executors.

        Returns:
          Whether it is confined now and was not before.
        """
        name = service, queue
        is_new = name not in self._suspected
        blame = history.queue_blame(queue, now - self._settings.suspicion_time)
        settings = self._settings
        limit = settings.suspicion_share
        if is_new and not history.has_cause(queue):
            limit *= settings.unconfirmed_factor
        executors = len(self._fleet.present(service, now))
        if is_new and blame < limit * executors:
            return False
        self._suspected[name] = now + self._settings.suspicion_time
        if is_new:
            self._suspected_since[name] = now
            self._set_confined_share(service, now)
        return is_new

    def isolate(self, service: str, now: float) -> None:
        """Keeps executors for strong suspects after a crash.

        Owners do this on the same crash, so each of them starts the suspects
        that it holds there. While these executors are away the suspects wait,
        and start together once they are back.
        """
        if service not in self._isolated_until:
            self._forget_members()
        self._isolated_until[service] = now + self._settings.isolation_time

    def update(self, now: float) -> list[tuple[str, str]]:
        """Updates the members; returns the queues that are cleared."""
        for service, until in list(self._isolated_until.items()):
            if until <= now:
                del self._isolated_until[service]
        self._updated_at = now
        self._forget_members()
        cleared = [n for n, until in self._suspected.items() if until <= now]
        for name in cleared:
            del self._suspected[name]
            del self._suspected_since[name]
        for service, _ in cleared:
            self._set_confined_share(service, now)
        return cleared

    def set_zones_out(self, zones: Iterable[str]) -> None:
        """Sets the excluded zones, whose executors belong to no part.

        Otherwise a queue could be confined to executors that take no runs.
        """
        self._zones_out = frozenset(zones)
        self._forget_members()

    def _set_confined_share(self, service: str, now: float) -> None:
        """Sets the share that the suspected queues of a service are left.

        It changes with these queues alone: an executor that changed sides would
        bring the crashes to the other queues.
        """
        self._forget_members()
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
        if job.is_strong_suspect and self._can_isolate(job):
            return self._other_pool(job.service, Part.ISOLATED, "")
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
        if pool.part is Part.OPEN and not self._is_divided(pool.service):
            return agents
        members = self._members_of(pool)
        if pool.part is Part.OPEN:
            return [a for a in agents if a.member.member_id not in members]
        return [a for a in agents if a.member.member_id in members]

    def is_part(self, pool: Pool) -> bool:
        """Returns whether a suspicion keeps a pool from the other executors."""
        if pool.part is Part.OPEN:
            return self._is_divided(pool.service)
        return pool.part is not Part.TRIAL

    def _is_divided(self, service: str) -> bool:
        return service in self._confined_shares or (
            service in self._isolated_until
        )

    def _can_isolate(self, job: LeasedJob) -> bool:
        """Returns whether a job can run on the executors that are kept."""
        if job.service not in self._isolated_until:
            return False
        isolated = self._find_isolated(job.service)
        return all(
            any(
                step.resources.fits(view.load.capacity)
                and step.required_label in ("", *view.load.labels)
                for view in isolated
            )
            for step in job.request.steps
        )

    def has(self, pool: Pool, agent: AgentView) -> bool:
        """Returns whether an agent belongs to a pool."""
        if agent.service != pool.service:
            return False
        return bool(self.filter(pool, [agent]))

    def _forget_members(self) -> None:
        self._members.clear()
        self._isolated_agents.clear()

    def _members_of(self, pool: Pool) -> frozenset[str]:
        """Returns the ids of the agents that a pool has, or lacks if OPEN."""
        found = self._members.get(pool)
        if found is None:
            found = self._members[pool] = self._find_members(pool)
        return found

    def _find_members(self, pool: Pool) -> frozenset[str]:
        service = pool.service
        isolated = frozenset(
            view.member.member_id for view in self._find_isolated(service)
        )
        if pool.part is Part.ISOLATED:
            return isolated
        if pool.part is Part.TRIAL:
            share = self._rates.share(service, [pool.queue], self._updated_at)
        else:
            share = self._confined_shares.get(service, 0.0)
        chosen = self._choose(service, share) if share else frozenset()
        if pool.part is Part.OPEN:
            return chosen | isolated
        # The executors that are kept come first, so most of the other queues
        # keep theirs.
        return chosen - isolated or chosen

    def _find_isolated(self, service: str) -> list[AgentView]:
        """Returns the agents that are kept for strong suspects."""
        if service not in self._isolated_until:
            return []
        found = self._isolated_agents.get(service)
        if found is None:
            agents = self._ranked_agents(service)
            count = math.ceil(self._settings.isolation_share * len(agents))
            found = agents[: min(count, len(agents) // 4)]
            self._isolated_agents[service] = found
        return found

    def _ranked_agents(self, service: str) -> list[AgentView]:
        """Returns the agents of a service in the order of all owners."""
        agents = [
            view
            for view in self._fleet.present(service, self._updated_at)
            if view.member.availability_zone not in self._zones_out
        ]
        agents.sort(key=lambda view: _rank(view.member.member_id))
        return agents

    def _choose(self, service: str, share: float) -> frozenset[str]:
        """Returns the agents that hold a share of the capacity.

        At least one, and not all as long as other queues have work. A capacity
        that changes during a suspicion moves no agent to the other part.
        """
        agents = self._ranked_agents(service)
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
