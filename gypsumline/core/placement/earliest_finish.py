"""The default policy: a task goes where it should finish first."""

from __future__ import annotations

import dataclasses
import math
import random

from gypsumline.core.placement.fleet import AgentView, Pool, SpeedClass
from gypsumline.core.placement.registry import placement_policy
from gypsumline.core.placement.settings import PlacementSettings

# Number of tasks of one pass that may be left waiting for a faster slot. It
# limits the cost of a pass; the remaining tasks are considered in the next one.
# In the placement model, 2 raised the p99 response by two thirds, and values
# above 8 brought no improvement.
DEFERRALS_MAX = 8
# With more slots than this, each task left waiting represents several that the
# pass does not consider. Otherwise slow slots would stay idle during a backlog.
UNSCALED_SLOTS_MAX = 80
# The expected wait for a faster slot is the wait by the rate at which slots
# become free times this factor: other owners and later, shorter jobs also take
# slots.
WAIT_FACTOR = 8.0


@dataclasses.dataclass(slots=True, eq=False)
class _ClassOption:
    """A speed class as an option for the tasks of one pass.

    Attributes:
      speed_class: The class.
      seconds_per_work: Run time per second of work.
      run_time: Run time of a typical task, in seconds.
      scale: Number of tasks that each deferred task of the pass represents.
      wait: Expected wait for a slot, in seconds.
      deferred: Number of tasks of this pass that wait at the owner for the
        class.
    """

    speed_class: SpeedClass
    seconds_per_work: float
    run_time: float
    scale: float
    wait: float = 0.0
    deferred: int = 0


@placement_policy("earliest_finish")
class EarliestFinishPolicy:
    """Assigns a task to the agent where it is expected to finish first.

    An agent with a free slot starts the task immediately; at an agent with a
    short queue it waits for the next slot. If it would finish first at an
    agent whose queue is full, it waits at the owner, which increases the
    expected wait of the next task.
    """

    binds_at_arrival = False

    def __init__(self, settings: PlacementSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._options: dict[int, list[_ClassOption]] = {}
        self._deferrals_left = DEFERRALS_MAX

    @property
    def is_exhausted(self) -> bool:
        """Whether the limit of tasks left waiting in this pass is reached."""
        return self._deferrals_left <= 0

    def begin(self, pools: list[Pool]) -> None:
        """Begins a pass over the unplaced tasks in the order of their jobs."""
        self._deferrals_left = DEFERRALS_MAX
        # Options are created on demand, because many passes place no task.
        self._options.clear()

    def choose(self, pools: list[Pool], work: float) -> AgentView | None:
        """Returns an agent for a task, or None if it should wait."""
        best: _ClassOption | None = None
        best_finish = math.inf
        for pool in pools:
            options = self._options.get(id(pool))
            if options is None:
                options = self._options[id(pool)] = self._make_options(pool)
            for option in options:
                finish = option.wait + work * option.seconds_per_work
                if finish < best_finish:
                    best, best_finish = option, finish
        if best is None:
            return None
        level = best.speed_class.lowest_level()
        if level < 0:
            best.deferred += 1
            best.wait = self._expected_wait(best, level)
            self._deferrals_left -= 1
            return None
        return self._pick_less_loaded(best.speed_class.levels[level])

    def placed(self, pools: list[Pool], agent: AgentView) -> None:
        """Updates the expected wait at the agent that got the task."""
        for pool in pools:
            for option in self._options.get(id(pool), ()):
                if option.speed_class.index == agent.class_index:
                    level = option.speed_class.lowest_level()
                    option.wait = self._expected_wait(option, level)

    def _make_options(self, pool: Pool) -> list[_ClassOption]:
        options = []
        scale = max(1.0, pool.slots / UNSCALED_SLOTS_MAX)
        for index in pool.class_order:
            speed_class = pool.classes[index]
            if speed_class.slots:
                seconds = 1.0 / speed_class.speed
                run_time = pool.typical_work * seconds
                option = _ClassOption(speed_class, seconds, run_time, scale)
                option.wait = self._expected_wait(
                    option, speed_class.lowest_level()
                )
                options.append(option)
        return options

    def _expected_wait(self, option: _ClassOption, level: int) -> float:
        speed_class = option.speed_class
        if level >= 0:
            slots_per_agent = speed_class.slots / speed_class.usable_agents
            return level * option.run_time / slots_per_agent
        ahead = (option.deferred * option.scale + 1.0) * WAIT_FACTOR
        wait = ahead * option.run_time / speed_class.slots
        return wait + self._settings.queue_time + self._settings.round_trip

    def _pick_less_loaded(self, agents: list[AgentView]) -> AgentView:
        if len(agents) == 1:
            return agents[0]
        first = self._rng.choice(agents)
        second = self._rng.choice(agents)
        return first if first.load <= second.load else second
