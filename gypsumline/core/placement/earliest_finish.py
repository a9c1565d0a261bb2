"""The policy in use: the longest task to the place that finishes it first."""

from __future__ import annotations

import math
import random

from gypsumline.core.placement.fleet import AgentView, Pool, SpeedClass
from gypsumline.core.placement.registry import placement_policy
from gypsumline.core.placement.settings import PlacementSettings

# Tasks of one pass that may be left waiting for a faster place. It bounds the
# work of a pass; the tasks after them are looked at in the next one.
WAITING_LIMIT = 32
# The wait for a faster place is taken to be longer than the slots' own rate
# says by this factor: other owners and later, shorter jobs take slots as well.
WAIT_FACTOR = 8.0


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
        self._waiting: dict[SpeedClass, int] = {}
        self._left = WAITING_LIMIT

    @property
    def is_exhausted(self) -> bool:
        """Whether too many tasks of this pass were left waiting."""
        return self._left <= 0

    def begin(self, pools: list[Pool]) -> None:
        """Begins a pass over the unplaced tasks, first job first."""
        self._waiting.clear()
        self._left = WAITING_LIMIT

    def choose(self, pools: list[Pool], work: float) -> AgentView | None:
        """Returns an agent for a task, or None if it should wait."""
        best: SpeedClass | None = None
        best_level = -1
        best_finish = math.inf
        for pool in pools:
            typical = pool.typical_work
            for index in pool.order:
                candidate = pool.classes[index]
                if not candidate.slots:
                    continue
                level = candidate.first_level()
                wait = self._wait(candidate, level, typical)
                finish = wait + work / candidate.speed
                if finish < best_finish:
                    best, best_level, best_finish = candidate, level, finish
        if best is None:
            return None
        if best_level < 0:
            self._waiting[best] = self._waiting.get(best, 0) + 1
            self._left -= 1
            return None
        return self._pick(best.levels[best_level])

    def _wait(self, candidate: SpeedClass, level: int, typical: float) -> float:
        run_time = typical / candidate.speed
        if level >= 0:
            return level * run_time * candidate.agents / candidate.slots
        queue_time = self._settings.queue_time + self._settings.round_trip
        ahead = (self._waiting.get(candidate, 0) + 1) * WAIT_FACTOR
        return queue_time + ahead * run_time / candidate.slots

    def _pick(self, agents: list[AgentView]) -> AgentView:
        if len(agents) == 1:
            return agents[0]
        first = self._rng.choice(agents)
        second = self._rng.choice(agents)
        return first if first.load <= second.load else second
