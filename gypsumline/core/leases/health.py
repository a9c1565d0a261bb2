"""Health of executors as seen by one owner: ejection, probing, ramp-up."""

from __future__ import annotations

from collections.abc import Iterable

from gypsumline.core.placement.ejection import EjectionControl
from gypsumline.core.placement.settings import PlacementSettings

# Concurrent runs at which a recovering executor counts as healthy.
RAMP_RUN_LIMIT = 8


class ExecutorHealth:
    """Tracks the health of executors by the ends of this owner's runs.

    An executor with an outlying failure rate is ejected and gets no runs. After
    a delay it is probed with a single run. If the probe succeeds, its limit of
    concurrent runs grows by one with each success.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self._ejection = EjectionControl(settings)
        self._known: set[str] = set()

    def set_executors(self, executors: Iterable[str]) -> None:
        """Sets the known executors; new ones start healthy."""
        current = {name for name in executors if name}
        if current == self._known:
            return
        self._ejection.retain(current)
        for name in current - self._known:
            self._ejection.add(name)
        self._known = current

    def may_start_run(self, executor: str, runs: int, now: float) -> bool:
        """Returns whether an executor may get another run.

        Args:
          executor: Name of the executor.
          runs: Number of this owner's runs at the executor.
          now: Current time.
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
        """Records a placed run, which probes an ejected executor."""
        if executor not in self._known:
            return
        if self._ejection.state(executor) == "ejected":
            self._ejection.begin_probe(executor)

    def record_success(self, executor: str, now: float) -> None:
        """Records a run that succeeded."""
        if executor in self._known:
            self._ejection.record_success(executor, RAMP_RUN_LIMIT, now)

    def record_failure(self, executor: str, key: str, now: float) -> None:
        """Records a run that failed or stalled."""
        if executor in self._known:
            self._ejection.record_failure(executor, key, now)

    def record_unknown(self, executor: str, key: str, now: float) -> None:
        """Records a run with unknown result; a probe is repeated later."""
        if executor not in self._known:
            return
        if self._ejection.state(executor) == "probing":
            self._ejection.record_failure(executor, key, now)
