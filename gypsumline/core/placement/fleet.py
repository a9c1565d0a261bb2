"""The agents as one owner sees them, kept ready for fast placement.

Several owners use the same agents without talking to each other. What the
others have placed on an agent is known only from the agent's reports: its
load at the report minus the owner's own tasks there.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
from collections.abc import Container

from gypsumline.core.messages import UpstreamState
from gypsumline.core.placement.settings import PlacementSettings

# Speed classes per factor of two; agents of one class count as equally fast.
CLASSES_PER_OCTAVE = 3
# Weight of the newest run time in the typical work of a pool.
TYPICAL_RATE = 0.01


@dataclasses.dataclass(slots=True)
class PlacedTask:
    """A task at an agent.

    Attributes:
      placed_at: When it was assigned.
      work: Expected run time at speed 1, in seconds.
      kind: Kind of the task.
      declared: Declared run time, in seconds.
      withdrawing: Whether it has been asked back.
    """

    placed_at: float
    work: float
    kind: str
    declared: float
    withdrawing: bool = False


class AgentView:
    """What this owner knows of one agent."""

    def __init__(self, agent_id: str, availability_zone: str) -> None:
        self.agent_id = agent_id
        self.availability_zone = availability_zone
        self.incarnation = 0
        self.state = UpstreamState()
        self.placed: dict[tuple[str, int], PlacedTask] = {}
        self.others = 0
        self.seen_at = -math.inf
        self.round_trip = 0.0
        self.speed = 1.0
        self.blocked_until = -math.inf
        self.ramp_until = -math.inf
        self.was_usable = False
        self.is_out = False
        self.place_limit = 0
        self.speed_class: SpeedClass | None = None
        self.class_index = 0
        self.level = -1
        self.position = -1

    @property
    def load(self) -> int:
        """Tasks that run or wait at the agent, as far as known."""
        return self.others + len(self.placed)

    def observe(
        self, state: UpstreamState, now: float, jobs: Container[str]
    ) -> None:
        """Takes a report; tasks still on their way are not in it.

        Args:
          state: The report.
          now: When it arrived.
          jobs: Keys of the jobs that the owner still has; tasks of others may
            have ended without a result.
        """
        self.state = state
        self.seen_at = now
        reported = state.slots - state.free + state.queued
        horizon = now - self.round_trip
        arrived = sum(
            1 for task in self.placed.values() if task.placed_at <= horizon
        )
        # Below zero if the agent holds results of tasks that have ended here.
        self.others = reported - arrived
        if arrived > reported:
            self._forget(arrived - reported, jobs)

    def _forget(self, count: int, jobs: Container[str]) -> None:
        ended = [name for name in self.placed if name[0] not in jobs]
        for name in ended[:count]:
            del self.placed[name]


class SpeedClass:
    """Agents of about one speed in a pool, in levels by what waits there.

    Level 0 holds the agents with a free slot; level n those where a new task
    would be the n-th to wait.

    Attributes:
      index: Logarithm of the speed in steps of one class.
      speed: Middle speed of the class.
      levels: Agents that may get a task, in no order.
      ready: Number of agents in all levels.
      slots: Slots of all usable agents of the class.
      agents: Number of usable agents of the class.
    """

    __slots__ = ("agents", "index", "levels", "ready", "slots", "speed")

    def __init__(self, index: int) -> None:
        self.index = index
        self.speed = math.exp2(index / CLASSES_PER_OCTAVE)
        self.levels: list[list[AgentView]] = []
        self.ready = 0
        self.slots = 0
        self.agents = 0

    def first_level(self) -> int:
        """Returns the lowest level that has an agent; -1 if none has."""
        if self.ready:
            for level, agents in enumerate(self.levels):
                if agents:
                    return level
        return -1

    def add(self, agent: AgentView, level: int) -> None:
        """Adds an agent to a level."""
        while len(self.levels) <= level:
            self.levels.append([])
        agent.level = level
        agent.position = len(self.levels[level])
        self.levels[level].append(agent)
        self.ready += 1

    def remove(self, agent: AgentView) -> None:
        """Removes an agent from its level."""
        agents = self.levels[agent.level]
        last = agents.pop()
        if last is not agent:
            agents[agent.position] = last
            last.position = agent.position
        self.ready -= 1


@dataclasses.dataclass(frozen=True, slots=True)
class _Share:
    """What one agent adds to the sums of its pool."""

    total: float
    available: float
    slots: int
    placed: int
    speed_class: SpeedClass


@dataclasses.dataclass(slots=True, eq=False)
class Pool:
    """Agents that take the same service and kinds.

    Attributes:
      service: Service that they run.
      kinds: Kinds that they take; empty for any.
      classes: Speed classes by index.
      order: Indexes of the classes, fastest first.
      ready_count: Agents with a free place.
      usable: Shares in the sums of the agents that may get work, by id.
      members: The same agents.
      capacity: Sum of slots x speed of the usable agents.
      available: Part of the capacity that other owners do not use, at least
        this owner's part if all use the same.
      slots: Slots of the usable agents.
      placed: This owner's tasks at the usable agents.
      has_news: Whether a speed class got a place that starts a task earlier
        than all that it had; without it, tasks that wait keep waiting.
      typical_work: Mean run time at speed 1 of the latest tasks, in seconds.
    """

    service: str
    kinds: tuple[str, ...]
    classes: dict[int, SpeedClass] = dataclasses.field(default_factory=dict)
    order: list[int] = dataclasses.field(default_factory=list)
    ready_count: int = 0
    usable: dict[str, _Share] = dataclasses.field(default_factory=dict)
    members: list[AgentView] = dataclasses.field(default_factory=list)
    capacity: float = 0.0
    available: float = 0.0
    typical_work: float = 0.3
    slots: int = 0
    placed: int = 0
    has_news: bool = False

    def takes(self, kind: str) -> bool:
        """Returns whether the agents take a kind."""
        return not self.kinds or kind in self.kinds

    def idle_agents(self) -> int:
        """Returns the number of agents with a free slot."""
        return sum(
            len(speed_class.levels[0])
            for speed_class in self.classes.values()
            if speed_class.levels
        )

    def class_for(self, index: int) -> SpeedClass:
        """Returns the speed class of an index, made if it is new."""
        found = self.classes.get(index)
        if found is None:
            found = self.classes[index] = SpeedClass(index)
            self.order = sorted(self.classes, reverse=True)
        return found


_Wakes = list[tuple[float, int, AgentView]]


class Fleet:
    """All agents, in pools by service and kinds and in classes by speed."""

    def __init__(self, settings: PlacementSettings) -> None:
        self.agents: dict[str, AgentView] = {}
        self.owners = 1
        self._silence_limit = settings.silence_limit
        self._queue_time = settings.queue_time
        self._guaranteed_part = settings.guaranteed_part
        self._ramp_time = settings.ramp_time
        self._pools: dict[tuple[str, tuple[str, ...]], Pool] = {}
        self._by_service: dict[str, list[Pool]] = {}
        self._pool_of: dict[str, Pool] = {}
        self._numbers = itertools.count()
        self._wake: _Wakes = []
        self._silence: _Wakes = []

    def pools(self, service: str) -> list[Pool]:
        """Returns the pools of a service."""
        return self._by_service.get(service, [])

    def slots(self) -> int:
        """Returns the slots of all usable agents."""
        return sum(pool.slots for pool in self._pools.values())

    def wake_at(self, agent: AgentView, when: float) -> None:
        """Has an agent looked at again at a time."""
        heapq.heappush(self._wake, (when, next(self._numbers), agent))

    def watch_silence(self, agent: AgentView) -> None:
        """Has an agent looked at again when it may have become silent."""
        when = agent.seen_at + self._silence_limit
        heapq.heappush(self._silence, (when, next(self._numbers), agent))

    def drop(self, agent: AgentView) -> None:
        """Takes an agent that is gone out of its class and pool."""
        self._leave_class(agent)
        pool = self._pool_of.get(agent.agent_id)
        if pool is not None:
            self._leave_pool(agent, pool)

    def learn_typical(self, agent: AgentView, run_time: float) -> None:
        """Adds a run time to the typical work of the agent's pool."""
        pool = self._pool_of.get(agent.agent_id)
        if pool is not None:
            work = min(run_time * agent.speed, 10.0 * pool.typical_work)
            pool.typical_work += TYPICAL_RATE * (work - pool.typical_work)

    def advance(self, now: float) -> None:
        """Looks again at the agents whose time has come."""
        for agent in self._due(self._wake, now):
            self.refresh(agent, now)
        for agent in self._due(self._silence, now):
            if now - agent.seen_at < self._silence_limit:
                self.watch_silence(agent)
            else:
                self.refresh(agent, now)

    def _due(self, heap: _Wakes, now: float) -> list[AgentView]:
        due = []
        while heap and heap[0][0] <= now:
            agent = heapq.heappop(heap)[2]
            if self.agents.get(agent.agent_id) is agent:
                due.append(agent)
        return due

    def is_usable(self, agent: AgentView, now: float) -> bool:
        """Returns whether an agent may get new work."""
        return agent.place_limit > 0 and self.is_reachable(agent, now)

    def is_reachable(self, agent: AgentView, now: float) -> bool:
        """Returns whether an agent would take work, were it not ejected."""
        state = agent.state
        if agent.is_out or state.leaving or not state.healthy:
            return False
        return now - agent.seen_at < self._silence_limit

    def refresh(self, agent: AgentView, now: float) -> None:
        """Puts an agent where its present state belongs."""
        usable = self.is_usable(agent, now)
        if usable and not agent.was_usable:
            agent.ramp_until = now + self._ramp_time
            self.wake_at(agent, agent.ramp_until)
        agent.was_usable = usable
        pool = self._pool(agent) if usable else None
        old_level = self._leave_class(agent)
        old = self._pool_of.get(agent.agent_id)
        if old is not None and old is not pool:
            self._leave_pool(agent, old)
        if pool is None:
            return
        speed_class = self._account(agent, pool)
        if now < agent.blocked_until:
            return
        level = max(0, agent.load - agent.state.slots + 1)
        if len(agent.placed) >= self._own_limit(agent, now):
            return
        deepest = self._deepest_level(agent, pool)
        if level <= deepest or self._is_short(agent, pool):
            self._enter_class(agent, speed_class, level, old_level)
            pool.ready_count += 1

    def _own_limit(self, agent: AgentView, now: float) -> float:
        slots = agent.state.slots
        if agent.place_limit < slots:
            return agent.place_limit
        if now < agent.ramp_until:
            return math.ceil(slots / self.owners)
        return math.inf

    def _is_short(self, agent: AgentView, pool: Pool) -> bool:
        """Returns whether this owner has far less than its part.

        Owners that already use the slots see each of them become free; one
        that uses none would learn of it only from heartbeats, and too late.
        """
        if self.owners == 1:
            return False
        part = self._guaranteed_part / self.owners
        if pool.placed >= part * pool.slots:
            return False
        return len(agent.placed) < part * agent.state.slots

    def _deepest_level(self, agent: AgentView, pool: Pool) -> int:
        slots = agent.state.slots
        run_time = pool.typical_work / agent.speed
        return min(slots, int(self._queue_time * slots / run_time))

    def _pool(self, agent: AgentView) -> Pool:
        name = (agent.state.service, agent.state.kinds)
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = Pool(*name)
            self._by_service.setdefault(name[0], []).append(pool)
        return pool

    def _enter_class(
        self,
        agent: AgentView,
        speed_class: SpeedClass,
        level: int,
        old_level: tuple[SpeedClass | None, int],
    ) -> None:
        first = speed_class.first_level()
        if first < 0 or level < first:
            old_class, before = old_level
            if old_class is not speed_class or level < before:
                self._pool_of[agent.agent_id].has_news = True
        agent.speed_class = speed_class
        speed_class.add(agent, level)

    def _leave_class(self, agent: AgentView) -> tuple[SpeedClass | None, int]:
        """Takes an agent out of its class; returns where it was."""
        speed_class = agent.speed_class
        if speed_class is not None:
            speed_class.remove(agent)
            agent.speed_class = None
            self._pool_of[agent.agent_id].ready_count -= 1
        return speed_class, agent.level

    def _leave_pool(self, agent: AgentView, pool: Pool) -> None:
        self._subtract(pool, pool.usable.pop(agent.agent_id))
        pool.members.remove(agent)
        del self._pool_of[agent.agent_id]

    def _subtract(self, pool: Pool, share: _Share) -> None:
        pool.capacity -= share.total
        pool.available -= share.available
        pool.slots -= share.slots
        pool.placed -= share.placed
        share.speed_class.slots -= share.slots
        share.speed_class.agents -= 1

    def _account(self, agent: AgentView, pool: Pool) -> SpeedClass:
        old = pool.usable.get(agent.agent_id)
        if old is not None:
            self._subtract(pool, old)
        else:
            pool.members.append(agent)
            self._pool_of[agent.agent_id] = pool
        slots = agent.state.slots
        index = round(math.log2(agent.speed) * CLASSES_PER_OCTAVE)
        agent.class_index = index
        share = _Share(
            slots * agent.speed,
            max(slots - max(0, agent.others), slots / self.owners)
            * agent.speed,
            slots,
            len(agent.placed),
            pool.class_for(index),
        )
        pool.capacity += share.total
        pool.available += share.available
        pool.slots += slots
        pool.placed += share.placed
        share.speed_class.slots += slots
        share.speed_class.agents += 1
        pool.usable[agent.agent_id] = share
        return share.speed_class
