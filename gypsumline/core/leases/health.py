"""Which executors get runs: ejection, probes and ramps of one owner."""

from __future__ import annotations

from collections.abc import Iterable

from gypsumline.core.placement.ejection import EjectionControl
from gypsumline.core.placement.settings import PlacementSettings

# Runs at once from which an executor that came back counts as healthy.
RAMP_RUN_LIMIT = 8


class ExecutorHealth:
    """Health of the executors, by the ends of this owner's runs.

    An executor whose failures stand out gets no runs; after a while it gets a
    single one, and after that one succeeded one more with each success.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self._ejection = EjectionControl(settings)
        self._known: set[str] = set()

    def set_executors(self, executors: Iterable[str]) -> None:
        """Knows just these executors; new ones start healthy."""
        current = {name for name in executors if name}
        if current == self._known:
            return
        self._ejection.retain(current)
        for name in current - self._known:
            self._ejection.add(name)
        self._known = current

    def may_start_run(self, executor: str, runs: int, now: float) -> bool:
        """Returns whether an executor may get one more run.

        Args:
          executor: Name of the executor.
          runs: Runs of this owner that it has.
          now: Present time.
        """
        if executor not in self._known:
            return False
        state = self._ejection.state(executor)
        if state == "ejected":
            return runs == 0 and now >= self._ejection.next_probe_at(executor)
        if state == "healthy":
            return True
        return runs < self._ejection.task_limit(executor, RAMP_RUN_LIMIT)

    def on_run_placed(self, executor: str) -> None:
        """Takes note of a run; an ejected executor is probed by it."""
        if executor not in self._known:
            return
        if self._ejection.state(executor) == "ejected":
            self._ejection.begin_probe(executor)

    def record_success(self, executor: str, now: float) -> None:
        """Takes a run that was done."""
        if executor in self._known:
            self._ejection.record_success(executor, RAMP_RUN_LIMIT, now)

    def record_failure(self, executor: str, key: str, now: float) -> None:
        """Takes a run that failed or stood still."""
        if executor in self._known:
            self._ejection.record_failure(executor, key, now)

    def record_unknown(self, executor: str, key: str, now: float) -> None:
        """Takes a run that ended without a verdict; a probe is repeated."""
        if executor not in self._known:
            return
        if self._ejection.state(executor) == "probing":
            self._ejection.record_failure(executor, key, now)
