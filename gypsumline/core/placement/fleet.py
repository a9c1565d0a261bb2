"""The agents as one owner sees them, indexed for fast placement.

Several owners use the same agents without coordination. The tasks that other
owners have placed on an agent are known only from its reports: its load at the
report minus the owner's own tasks there.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
from collections.abc import Container

from gypsumline.core.messages import UpstreamState
from gypsumline.core.placement.settings import PlacementSettings

# Speed classes per factor of two. Agents of one class count as equally fast.
CLASSES_PER_OCTAVE = 3
# Weight of the newest run time in the moving average `Pool.typical_work`.
TYPICAL_WORK_WEIGHT = 0.01


@dataclasses.dataclass(slots=True)
class PlacedTask:
    """A task that this owner has assigned to an agent.

    Attributes:
      placed_at: Time of the assignment.
      work: Expected run time at speed 1, in seconds.
      kind: Kind of the task.
      declared: Declared run time, in seconds.
      withdrawing: Whether its withdrawal has been requested.
    """

    placed_at: float
    work: float
    kind: str
    declared: float
    withdrawing: bool = False


class AgentView:
    """State of an agent as this owner knows it.

    Attributes:
      agent_id: Member id of the agent.
      availability_zone: Availability zone of the agent.
      incarnation: Incarnation of the agent.
      state: Last reported state.
      placed: This owner's tasks at the agent by key and index.
      other_tasks: Estimated number of tasks of other owners.
      reported_at: Time of the last report.
      round_trip: Assumed round-trip time, in seconds.
      speed: Estimated speed of its upstream.
      blocked_until: End of the back-off after a refusal.
      ramp_until: End of the ramp after it became usable.
      was_usable: Whether it was usable at the last refresh.
      is_excluded: Whether it is unregistered or taken out of service.
      task_limit: Maximum number of this owner's tasks, by its health.
      speed_class: Speed class that lists it as a candidate, if any.
      class_index: Index of the speed class that fits its speed.
      level: Level in the speed class, as of when it was last a candidate.
      position: Position in the list of that level.
    """

    def __init__(self, agent_id: str, availability_zone: str) -> None:
        self.agent_id = agent_id
        self.availability_zone = availability_zone
        self.incarnation = 0
        self.state = UpstreamState()
        self.placed: dict[tuple[str, int], PlacedTask] = {}
        self.other_tasks = 0
        self.reported_at = -math.inf
        self.round_trip = 0.0
        self.speed = 1.0
        self.blocked_until = -math.inf
        self.ramp_until = -math.inf
        self.was_usable = False
        self.is_excluded = False
        self.task_limit = 0
        self.speed_class: SpeedClass | None = None
        self.class_index = 0
        self.level = -1
        self.position = -1

    @property
    def load(self) -> int:
        """Estimated number of tasks that run or wait at the agent."""
        return self.other_tasks + len(self.placed)

    def observe(
        self, state: UpstreamState, now: float, jobs: Container[str]
    ) -> None:
        """Applies a report; tasks still in flight are not part of it.

        Args:
          state: The reported state.
          now: Time of arrival.
          jobs: Keys of the jobs that the owner still has; tasks of other jobs
            may have ended without a result.
        """
        self.state = state
        self.reported_at = now
        reported = state.slots - state.free + state.queued
        horizon = now - self.round_trip
        arrived = sum(
            1 for task in self.placed.values() if task.placed_at <= horizon
        )
        # Negative if tasks have ended whose results the agent still delays.
        self.other_tasks = reported - arrived
        if arrived > reported:
            self._drop_ended_tasks(arrived - reported, jobs)

    def _drop_ended_tasks(self, count: int, jobs: Container[str]) -> None:
        ended = [task_id for task_id in self.placed if task_id[0] not in jobs]
        for task_id in ended[:count]:
            del self.placed[task_id]


class SpeedClass:
    """Agents of similar speed in a pool, in levels by queue length.

    Level 0 holds the agents with a free slot; level n those where a new task
    would be the n-th to wait.

    Attributes:
      index: Logarithm of the speed in units of one class width.
      speed: Speed at the centre of the class.
      levels: Agents that may get a task, by level and otherwise unordered.
      candidate_count: Number of agents in all levels.
      slots: Number of slots of all usable agents of the class.
      usable_agents: Number of usable agents of the class.
    """

    __slots__ = (
        "candidate_count",
        "index",
        "levels",
        "slots",
        "speed",
        "usable_agents",
    )

    def __init__(self, index: int) -> None:
        self.index = index
        self.speed = math.exp2(index / CLASSES_PER_OCTAVE)
        self.levels: list[list[AgentView]] = []
        self.candidate_count = 0
        self.slots = 0
        self.usable_agents = 0

    def lowest_level(self) -> int:
        """Returns the lowest level with an agent, or -1 if all are empty."""
        if self.candidate_count:
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
        self.candidate_count += 1

    def remove(self, agent: AgentView) -> None:
        """Removes an agent from its level."""
        agents = self.levels[agent.level]
        last = agents.pop()
        if last is not agent:
            agents[agent.position] = last
            last.position = agent.position
        self.candidate_count -= 1


@dataclasses.dataclass(frozen=True, slots=True)
class _Contribution:
    """Contribution of one agent to the totals of its pool."""

    total: float
    available: float
    slots: int
    placed: int
    speed_class: SpeedClass


@dataclasses.dataclass(slots=True, eq=False)
class Pool:
    """Agents that run the same service and accept the same kinds.

    Attributes:
      service: Service that they run.
      kinds: Kinds that they accept; empty for any.
      classes: Speed classes by index.
      class_order: Indexes of the classes, fastest first.
      candidate_count: Number of agents that may get a task.
      contributions: Contributions of the usable agents to the totals, by id.
      members: The usable agents.
      capacity: Sum of slots x speed of the usable agents.
      available: Capacity that other owners do not use, and at least this
        owner's equal share of each agent.
      slots: Number of slots of the usable agents.
      placed: Number of this owner's tasks at the usable agents.
      has_earlier_start: Whether, since the last full pass, an agent became a
        candidate that can start a task earlier than all others of its speed
        class; otherwise that pass would leave the same tasks waiting.
      typical_work: Moving average of the run time at speed 1, in seconds.
    """

    service: str
    kinds: tuple[str, ...]
    classes: dict[int, SpeedClass] = dataclasses.field(default_factory=dict)
    class_order: list[int] = dataclasses.field(default_factory=list)
    candidate_count: int = 0
    contributions: dict[str, _Contribution] = dataclasses.field(
        default_factory=dict
    )
    members: list[AgentView] = dataclasses.field(default_factory=list)
    capacity: float = 0.0
    available: float = 0.0
    typical_work: float = 0.3
    slots: int = 0
    placed: int = 0
    has_earlier_start: bool = False

    def accepts(self, kind: str) -> bool:
        """Returns whether the agents accept a kind."""
        return not self.kinds or kind in self.kinds

    def idle_agent_count(self) -> int:
        """Returns the number of agents with a free slot."""
        return sum(
            len(speed_class.levels[0])
            for speed_class in self.classes.values()
            if speed_class.levels
        )

    def get_or_create_class(self, index: int) -> SpeedClass:
        """Returns the speed class of an index; creates it if it is new."""
        speed_class = self.classes.get(index)
        if speed_class is None:
            speed_class = self.classes[index] = SpeedClass(index)
            self.class_order = sorted(self.classes, reverse=True)
        return speed_class


_AgentTimers = list[tuple[float, int, AgentView]]


class Fleet:
    """All agents, in pools by service and kinds and in classes by speed."""

    def __init__(self, settings: PlacementSettings) -> None:
        self.agents: dict[str, AgentView] = {}
        self.owner_count = 1
        self._silence_limit = settings.silence_limit
        self._queue_time = settings.queue_time
        self._guaranteed_share = settings.guaranteed_part
        self._ramp_time = settings.ramp_time
        self._pools: dict[tuple[str, tuple[str, ...]], Pool] = {}
        self._pools_by_service: dict[str, list[Pool]] = {}
        self._pool_by_agent: dict[str, Pool] = {}
        self._sequence = itertools.count()
        self._refresh_timers: _AgentTimers = []
        self._silence_timers: _AgentTimers = []

    def pools(self, service: str) -> list[Pool]:
        """Returns the pools of a service."""
        return self._pools_by_service.get(service, [])

    def slots(self) -> int:
        """Returns the number of slots of all usable agents."""
        return sum(pool.slots for pool in self._pools.values())

    def schedule_refresh(self, agent: AgentView, when: float) -> None:
        """Schedules a refresh of an agent."""
        heapq.heappush(
            self._refresh_timers, (when, next(self._sequence), agent)
        )

    def schedule_silence_check(self, agent: AgentView) -> None:
        """Schedules a refresh of an agent for the end of the silence limit."""
        when = agent.reported_at + self._silence_limit
        heapq.heappush(
            self._silence_timers, (when, next(self._sequence), agent)
        )

    def remove(self, agent: AgentView) -> None:
        """Removes an agent that is gone from its class and pool."""
        self._remove_from_class(agent)
        pool = self._pool_by_agent.get(agent.agent_id)
        if pool is not None:
            self._remove_from_pool(agent, pool)

    def update_typical_work(self, agent: AgentView, run_time: float) -> None:
        """Updates the typical work of the agent's pool by a run time."""
        pool = self._pool_by_agent.get(agent.agent_id)
        if pool is not None:
            work = min(run_time * agent.speed, 10.0 * pool.typical_work)
            pool.typical_work += TYPICAL_WORK_WEIGHT * (
                work - pool.typical_work
            )

    def run_due_timers(self, now: float) -> None:
        """Refreshes the agents whose timers are due."""
        for agent in self._pop_due(self._refresh_timers, now):
            self.refresh(agent, now)
        for agent in self._pop_due(self._silence_timers, now):
            if now - agent.reported_at < self._silence_limit:
                self.schedule_silence_check(agent)
            else:
                self.refresh(agent, now)

    def _pop_due(self, heap: _AgentTimers, now: float) -> list[AgentView]:
        due = []
        while heap and heap[0][0] <= now:
            agent = heapq.heappop(heap)[2]
            if self.agents.get(agent.agent_id) is agent:
                due.append(agent)
        return due

    def is_usable(self, agent: AgentView, now: float) -> bool:
        """Returns whether an agent may get new work."""
        return agent.task_limit > 0 and self.is_reachable(agent, now)

    def is_reachable(self, agent: AgentView, now: float) -> bool:
        """Returns whether an agent could get work if it is not ejected."""
        state = agent.state
        if agent.is_excluded or state.leaving or not state.healthy:
            return False
        return now - agent.reported_at < self._silence_limit

    def refresh(self, agent: AgentView, now: float) -> None:
        """Moves an agent to the pool, class and level of its current state."""
        usable = self.is_usable(agent, now)
        if usable and not agent.was_usable:
            agent.ramp_until = now + self._ramp_time
            self.schedule_refresh(agent, agent.ramp_until)
        agent.was_usable = usable
        pool = self._get_or_create_pool(agent) if usable else None
        old_level = self._remove_from_class(agent)
        old_pool = self._pool_by_agent.get(agent.agent_id)
        if old_pool is not None and old_pool is not pool:
            self._remove_from_pool(agent, old_pool)
        if pool is None:
            return
        speed_class = self._update_totals(agent, pool)
        if now < agent.blocked_until:
            return
        level = max(0, agent.load - agent.state.slots + 1)
        if len(agent.placed) >= self._own_task_limit(agent, now):
            return
        max_level = self._max_level(agent, pool)
        if level <= max_level or self._is_below_guaranteed_share(agent, pool):
            self._add_to_class(agent, speed_class, level, old_level)
            pool.candidate_count += 1

    def _own_task_limit(self, agent: AgentView, now: float) -> float:
        slots = agent.state.slots
        if agent.task_limit < slots:
            return agent.task_limit
        if now < agent.ramp_until:
            return math.ceil(slots / self.owner_count)
        return math.inf

    def _is_below_guaranteed_share(self, agent: AgentView, pool: Pool) -> bool:
        """Returns whether this owner has less than its guaranteed share.

        Owners that already use an agent's slots are notified of each one that
        becomes free. An owner that uses none learns of it only by heartbeats,
        when others have taken the slot, so it may exceed the queue limit.
        """
        if self.owner_count == 1:
            return False
        share = self._guaranteed_share / self.owner_count
        if pool.placed >= share * pool.slots:
            return False
        return len(agent.placed) < share * agent.state.slots

    def _max_level(self, agent: AgentView, pool: Pool) -> int:
        slots = agent.state.slots
        run_time = pool.typical_work / agent.speed
        return min(slots, int(self._queue_time * slots / run_time))

    def _get_or_create_pool(self, agent: AgentView) -> Pool:
        pool_key = (agent.state.service, agent.state.kinds)
        pool = self._pools.get(pool_key)
        if pool is None:
            pool = self._pools[pool_key] = Pool(*pool_key)
            self._pools_by_service.setdefault(pool_key[0], []).append(pool)
        return pool

    def _add_to_class(
        self,
        agent: AgentView,
        speed_class: SpeedClass,
        level: int,
        old_level: tuple[SpeedClass | None, int],
    ) -> None:
        first = speed_class.lowest_level()
        if first < 0 or level < first:
            old_class, before = old_level
            if old_class is not speed_class or level < before:
                self._pool_by_agent[agent.agent_id].has_earlier_start = True
        agent.speed_class = speed_class
        speed_class.add(agent, level)

    def _remove_from_class(
        self, agent: AgentView
    ) -> tuple[SpeedClass | None, int]:
        """Removes an agent from its class; returns its class and level."""
        speed_class = agent.speed_class
        if speed_class is not None:
            speed_class.remove(agent)
            agent.speed_class = None
            self._pool_by_agent[agent.agent_id].candidate_count -= 1
        return speed_class, agent.level

    def _remove_from_pool(self, agent: AgentView, pool: Pool) -> None:
        self._subtract(pool, pool.contributions.pop(agent.agent_id))
        pool.members.remove(agent)
        del self._pool_by_agent[agent.agent_id]

    def _subtract(self, pool: Pool, contribution: _Contribution) -> None:
        pool.capacity -= contribution.total
        pool.available -= contribution.available
        pool.slots -= contribution.slots
        pool.placed -= contribution.placed
        contribution.speed_class.slots -= contribution.slots
        contribution.speed_class.usable_agents -= 1

    def _update_totals(self, agent: AgentView, pool: Pool) -> SpeedClass:
        previous = pool.contributions.get(agent.agent_id)
        if previous is not None:
            self._subtract(pool, previous)
        else:
            pool.members.append(agent)
            self._pool_by_agent[agent.agent_id] = pool
        slots = agent.state.slots
        index = round(math.log2(agent.speed) * CLASSES_PER_OCTAVE)
        agent.class_index = index
        contribution = _Contribution(
            slots * agent.speed,
            max(slots - max(0, agent.other_tasks), slots / self.owner_count)
            * agent.speed,
            slots,
            len(agent.placed),
            pool.get_or_create_class(index),
        )
        pool.capacity += contribution.total
        pool.available += contribution.available
        pool.slots += slots
        pool.placed += contribution.placed
        contribution.speed_class.slots += slots
        contribution.speed_class.usable_agents += 1
        pool.contributions[agent.agent_id] = contribution
        return contribution.speed_class
