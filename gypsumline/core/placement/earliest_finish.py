"""The policy in use: the longest task to the place that finishes it first."""

from __future__ import annotations

import dataclasses
import math
import random

from gypsumline.core.placement.fleet import AgentView, Pool, SpeedClass
from gypsumline.core.placement.registry import placement_policy
from gypsumline.core.placement.settings import PlacementSettings

# Tasks of one pass that may be left waiting for a faster place. It bounds the
# work of a pass; the tasks after them are looked at in the next one. At 2 the
# p99 response rose by two thirds in the model, above 8 nothing was gained.
WAITING_LIMIT = 8
# With more slots than this, each task left waiting stands for several that the
# pass does not look at; slow slots would otherwise stay idle during a backlog.
SLOTS_PER_WAITING_LIMIT = 80
# The wait for a faster place is taken to be longer than the slots' own rate
# says by this factor: other owners and later, shorter jobs take slots as well.
WAIT_FACTOR = 8.0


@dataclasses.dataclass(slots=True, eq=False)
class _Option:
    """A speed class in one pass.

    Attributes:
      speed_class: The class.
      seconds_per_work: Run time of one second of work.
      run_time: Run time of a typical task, in seconds.
      scale: Tasks that one waiting task of the pass stands for.
      wait: Expected wait for a place, in seconds.
      waiting: Tasks of this pass that wait at the owner for the class.
    """

    speed_class: SpeedClass
    seconds_per_work: float
    run_time: float
    scale: float
    wait: float = 0.0
    waiting: int = 0


@placement_policy("earliest_finish")
class EarliestFinishPolicy:
    """Gives a task to the agent where it is expected to finish first.

    An agent with a free slot starts it at once; in a short queue it waits for
    the next slot. If it would finish first at an agent whose queue is full, it
    waits at the owner, and the wait there is longer for the next task.
    """

    binds_at_arrival = False

    def __init__(self, settings: PlacementSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._options: dict[int, list[_Option]] = {}
        self._left = WAITING_LIMIT

    @property
    def is_exhausted(self) -> bool:
        """Whether too many tasks of this pass were left waiting."""
        return self._left <= 0

    def begin(self, pools: list[Pool]) -> None:
        """Begins a pass over the unplaced tasks, first job first."""
        self._left = WAITING_LIMIT
        # Made when a task is weighed: many passes place none.
        self._options.clear()

    def choose(self, pools: list[Pool], work: float) -> AgentView | None:
        """Returns an agent for a task, or None if it should wait."""
        best: _Option | None = None
        best_finish = math.inf
        for pool in pools:
            options = self._options.get(id(pool))
            if options is None:
                options = self._options[id(pool)] = self._options_in(pool)
            for option in options:
                finish = option.wait + work * option.seconds_per_work
                if finish < best_finish:
                    best, best_finish = option, finish
        if best is None:
            return None
        level = best.speed_class.first_level()
        if level < 0:
            best.waiting += 1
            best.wait = self._wait(best, level)
            self._left -= 1
            return None
        return self._pick(best.speed_class.levels[level])

    def placed(self, pools: list[Pool], agent: AgentView) -> None:
        """Takes note that the agent got the task."""
        for pool in pools:
            for option in self._options.get(id(pool), ()):
                if option.speed_class.index == agent.class_index:
                    level = option.speed_class.first_level()
                    option.wait = self._wait(option, level)

    def _options_in(self, pool: Pool) -> list[_Option]:
        options = []
        scale = max(1.0, pool.slots / SLOTS_PER_WAITING_LIMIT)
        for index in pool.order:
            speed_class = pool.classes[index]
            if speed_class.slots:
                seconds = 1.0 / speed_class.speed
                run_time = pool.typical_work * seconds
                option = _Option(speed_class, seconds, run_time, scale)
                option.wait = self._wait(option, speed_class.first_level())
                options.append(option)
        return options

    def _wait(self, option: _Option, level: int) -> float:
        speed_class = option.speed_class
        if level >= 0:
            slots_per_agent = speed_class.slots / speed_class.agents
            return level * option.run_time / slots_per_agent
        ahead = (option.waiting * option.scale + 1.0) * WAIT_FACTOR
        wait = ahead * option.run_time / speed_class.slots
        return wait + self._settings.queue_time + self._settings.round_trip

    def _pick(self, agents: list[AgentView]) -> AgentView:
        if len(agents) == 1:
            return agents[0]
        first = self._rng.choice(agents)
        second = self._rng.choice(agents)
        return first if first.load <= second.load else second
