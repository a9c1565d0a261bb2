"""Ejection of upstreams whose failures stand out, and their return.

Each result moves a cumulative sum of the logarithm of how much likelier it is
from an upstream that fails almost everything than from one that fails as the
others do. An upstream is ejected when the sum passes a threshold. Further
failures of the same job do not count, so that a job whose tasks all fail
cannot eject the upstreams that run it.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Container

from gypsumline.core.chart import load_chart
from gypsumline.core.placement.settings import PlacementSettings

# Part of the tasks that a broken upstream is taken to fail.
BROKEN_FAILURE_PART = 0.9
# Lowest failure part of the others that is reckoned with. At this value two
# failures in a row, of two jobs, pass the threshold.
LOWEST_FAILURE_PART = 0.02
# ln of the odds at which an upstream is ejected.
EJECTION_THRESHOLD = math.log(1000.0)
# Weight of the newest result in the failure part of an upstream.
FAILURE_PART_RATE = 0.05
# At most one in this many upstreams is out at a time.
EJECTED_ONE_IN = 3


@dataclasses.dataclass(slots=True)
class _Health:
    state: str
    evidence: float = 0.0
    failure_part: float = 0.0
    last_failed_job: str = ""
    ejections: int = 0
    next_probe_at: float = math.inf
    healthy_since: float = 0.0
    places: int = 1


class EjectionControl:
    """Health of the upstreams as one owner sees it."""

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings
        self._chart = load_chart("upstream")
        self._health: dict[str, _Health] = {}
        self._failure_parts = 0.0
        self._out = 0

    def add(self, upstream: str) -> None:
        """Makes an upstream known; it starts healthy."""
        if upstream not in self._health:
            self._health[upstream] = _Health(self._chart.initial)

    def retain(self, upstreams: Container[str]) -> None:
        """Forgets all upstreams but these."""
        gone = [name for name in self._health if name not in upstreams]
        for name in gone:
            health = self._health.pop(name)
            self._failure_parts -= health.failure_part
            self._out -= health.state in ("ejected", "probing")

    def state(self, upstream: str) -> str:
        """Returns the state of an upstream, by the chart."""
        return self._health[upstream].state

    def task_limit(self, upstream: str, slots: int) -> int:
        """Returns how many tasks an upstream may have at once."""
        health = self._health[upstream]
        limits = {"healthy": slots, "ejected": 0, "probing": 1}
        return limits.get(health.state, min(slots, health.places))

    def next_probe_at(self, upstream: str) -> float:
        """Returns when an ejected upstream is probed next."""
        return self._health[upstream].next_probe_at

    def record_success(self, upstream: str, slots: int, now: float) -> None:
        """Takes a success."""
        health = self._health[upstream]
        self._update_failure_rate(health, failed=False)
        health.evidence = max(0.0, health.evidence + self._step(health, False))
        if health.state == "probing":
            self._move(health, "probe_succeeded")
            health.places = 1
            health.evidence = 0.0
        elif health.state == "ramping":
            health.places += 1
            if health.places >= slots:
                self._move(health, "ramped_up")
                health.healthy_since = now
        elif now - health.healthy_since > self._settings.flapping_memory:
            health.ejections = 0

    def record_failure(self, upstream: str, key: str, now: float) -> None:
        """Takes a failure of a task of a job."""
        health = self._health[upstream]
        if health.state == "probing":
            self._move(health, "probe_failed")
            self._schedule_probe(health, now)
            return
        if health.state == "ejected" or key == health.last_failed_job:
            return
        health.last_failed_job = key
        health.evidence += self._step(health, True)
        self._update_failure_rate(health, failed=True)
        if health.evidence < EJECTION_THRESHOLD:
            return
        if (self._out + 1) * EJECTED_ONE_IN > len(self._health):
            return
        self._move(health, "stood_out")
        self._schedule_probe(health, now)

    def begin_probe(self, upstream: str) -> None:
        """Marks that an ejected upstream gets a task as a probe."""
        self._move(self._health[upstream], "probe_due")

    def _schedule_probe(self, health: _Health, now: float) -> None:
        settings = self._settings
        wait = settings.probe_interval * 2.0 ** min(health.ejections, 16)
        health.next_probe_at = now + min(wait, settings.probe_interval_max)
        health.ejections += 1
        health.evidence = 0.0

    def _move(self, health: _Health, trigger: str) -> None:
        was_out = health.state in ("ejected", "probing")
        health.state = self._chart.next_state(health.state, trigger)
        self._out += (health.state in ("ejected", "probing")) - was_out

    def _update_failure_rate(self, health: _Health, failed: bool) -> None:
        change = FAILURE_PART_RATE * (failed - health.failure_part)
        health.failure_part += change
        self._failure_parts += change

    def _step(self, health: _Health, failed: bool) -> float:
        others = max(1, len(self._health) - 1)
        usual = (self._failure_parts - health.failure_part) / others
        usual = min(max(usual, LOWEST_FAILURE_PART), BROKEN_FAILURE_PART)
        if failed:
            return math.log(BROKEN_FAILURE_PART / usual)
        return math.log((1.0 - BROKEN_FAILURE_PART) / (1.0 - usual))
