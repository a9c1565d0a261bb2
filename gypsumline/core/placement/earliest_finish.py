"""The policy in use: the longest task to the place that finishes it first."""

from __future__ import annotations

import bisect
import math
import random

from gypsumline.core.placement.fleet import AgentView, Pool, SpeedClass
from gypsumline.core.placement.registry import placement_policy
from gypsumline.core.placement.settings import PlacementSettings


@placement_policy("earliest_finish")
class EarliestFinishPolicy:
    """Gives a free place to the longest task that gains by taking it now.

    A task waits for a faster place if it is expected to finish earlier there
    even after the wait.
    """

    binds_at_arrival = False

    def __init__(self, settings: PlacementSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng

    def choose(
        self, pools: list[Pool], works: list[float], waiting: int
    ) -> tuple[AgentView, int] | None:
        """Returns an agent and the position of the task that it gets."""
        for pool in pools:
            if not pool.ready_count:
                continue
            found = self._choose_in(pool, works, waiting)
            if found is not None:
                return found
        return None

    def _choose_in(
        self, pool: Pool, works: list[float], waiting: int
    ) -> tuple[AgentView, int] | None:
        faster: list[SpeedClass] = []
        for index in pool.order:
            candidate = pool.classes[index]
            if not candidate.ready:
                faster.append(candidate)
                continue
            limit = self._longest_work(pool, candidate, faster, waiting)
            position = bisect.bisect_right(works, limit) - 1
            if position >= 0:
                return self._pick(candidate), position
        return None

    def _longest_work(
        self,
        pool: Pool,
        candidate: SpeedClass,
        faster: list[SpeedClass],
        waiting: int,
    ) -> float:
        """Returns the work above which waiting for a faster place is better."""
        limit = math.inf
        for other in faster:
            if not other.slots:
                continue
            gain = 1.0 / candidate.speed - 1.0 / other.speed
            run_time = pool.typical_work / other.speed
            wait = run_time * (waiting + 1) / other.slots
            limit = min(limit, (wait + self._settings.round_trip) / gain)
        return limit

    def _pick(self, candidate: SpeedClass) -> AgentView:
        ready = candidate.ready
        if len(ready) == 1:
            return ready[0]
        first = self._rng.choice(ready)
        second = self._rng.choice(ready)
        return first if first.free >= second.free else second
