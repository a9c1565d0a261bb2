"""Outlier ejection of upstreams, and their return by probes.

Each result adds a log-likelihood ratio to the cumulative sum of its upstream:
how much likelier the result is from an upstream that fails almost everything
than from one that fails like the others. An upstream is ejected when the sum
reaches a threshold. A failure of the same job as the previous failure does not
count, so that a job whose tasks all fail cannot eject the upstreams that run
it.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Container

from gypsumline.core.chart import load_chart
from gypsumline.core.placement.settings import PlacementSettings

# Assumed failure rate of a broken upstream.
BROKEN_FAILURE_RATE = 0.9
# Lower bound of the assumed failure rate of the other upstreams. At this value
# two consecutive failures, of two jobs, reach the threshold.
FAILURE_RATE_MIN = 0.02
# Natural logarithm of the odds at which an upstream is ejected.
EJECTION_LOG_ODDS = math.log(1000.0)
# Weight of the newest result in the failure rate of an upstream.
FAILURE_RATE_WEIGHT = 0.05
# At most one in this many upstreams is ejected or probing at a time.
UPSTREAMS_PER_EJECTION = 3


@dataclasses.dataclass(slots=True)
class _Health:
    state: str
    log_odds: float = 0.0
    failure_rate: float = 0.0
    last_failed_job: str = ""
    ejections: int = 0
    next_probe_at: float = math.inf
    healthy_since: float = 0.0
    ramp_limit: int = 1


class EjectionControl:
    """Health of the upstreams as one owner sees it."""

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings
        self._chart = load_chart("upstream")
        self._health: dict[str, _Health] = {}
        self._failure_rate_sum = 0.0
        self._ejected_count = 0

    def add(self, upstream: str) -> None:
        """Adds an upstream in the state healthy; a known one is unchanged."""
        if upstream not in self._health:
            self._health[upstream] = _Health(self._chart.initial)

    def retain(self, upstreams: Container[str]) -> None:
        """Removes all upstreams except these."""
        removed = [name for name in self._health if name not in upstreams]
        for name in removed:
            health = self._health.pop(name)
            self._failure_rate_sum -= health.failure_rate
            self._ejected_count -= health.state in ("ejected", "probing")

    def state(self, upstream: str) -> str:
        """Returns the state of an upstream in the chart `upstream`."""
        return self._health[upstream].state

    def task_limit(self, upstream: str, slots: int) -> int:
        """Returns how many tasks an upstream may have concurrently."""
        health = self._health[upstream]
        limits = {"healthy": slots, "ejected": 0, "probing": 1}
        return limits.get(health.state, min(slots, health.ramp_limit))

    def next_probe_at(self, upstream: str) -> float:
        """Returns the time of the next probe of an ejected upstream."""
        return self._health[upstream].next_probe_at

    def record_success(self, upstream: str, slots: int, now: float) -> None:
        """Records a task that succeeded."""
        health = self._health[upstream]
        self._update_failure_rate(health, failed=False)
        health.log_odds = max(
            0.0, health.log_odds + self._log_likelihood_ratio(health, False)
        )
        if health.state == "probing":
            self._transition(health, "probe_succeeded")
            health.ramp_limit = 1
            health.log_odds = 0.0
        elif health.state == "ramping":
            health.ramp_limit += 1
            if health.ramp_limit >= slots:
                self._transition(health, "ramped_up")
                health.healthy_since = now
        elif now - health.healthy_since > self._settings.flapping_memory:
            health.ejections = 0

    def record_failure(self, upstream: str, key: str, now: float) -> None:
        """Records a task of a job that failed."""
        health = self._health[upstream]
        if health.state == "probing":
            self._transition(health, "probe_failed")
            self._schedule_probe(health, now)
            return
        if health.state == "ejected" or key == health.last_failed_job:
            return
        health.last_failed_job = key
        health.log_odds += self._log_likelihood_ratio(health, True)
        self._update_failure_rate(health, failed=True)
        if health.log_odds < EJECTION_LOG_ODDS:
            return
        if (self._ejected_count + 1) * UPSTREAMS_PER_EJECTION > len(
            self._health
        ):
            return
        self._transition(health, "stood_out")
        self._schedule_probe(health, now)

    def begin_probe(self, upstream: str) -> None:
        """Records that an ejected upstream gets a task as a probe."""
        self._transition(self._health[upstream], "probe_due")

    def _schedule_probe(self, health: _Health, now: float) -> None:
        settings = self._settings
        delay = settings.probe_interval * 2.0 ** min(health.ejections, 16)
        health.next_probe_at = now + min(delay, settings.probe_interval_max)
        health.ejections += 1
        health.log_odds = 0.0

    def _transition(self, health: _Health, trigger: str) -> None:
        was_ejected = health.state in ("ejected", "probing")
        health.state = self._chart.next_state(health.state, trigger)
        self._ejected_count += (
            health.state in ("ejected", "probing")
        ) - was_ejected

    def _update_failure_rate(self, health: _Health, failed: bool) -> None:
        change = FAILURE_RATE_WEIGHT * (failed - health.failure_rate)
        health.failure_rate += change
        self._failure_rate_sum += change

    def _log_likelihood_ratio(self, health: _Health, failed: bool) -> float:
        other_count = max(1, len(self._health) - 1)
        baseline = (self._failure_rate_sum - health.failure_rate) / other_count
        baseline = min(max(baseline, FAILURE_RATE_MIN), BROKEN_FAILURE_RATE)
        if failed:
            return math.log(BROKEN_FAILURE_RATE / baseline)
        return math.log((1.0 - BROKEN_FAILURE_RATE) / (1.0 - baseline))
