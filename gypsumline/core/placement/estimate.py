"""Run times per task kind and speeds per upstream, learned from results.

A run time is modelled as work / speed. Both are learned in logarithms with
clipped residuals, so a heavy tail or a declared value that is wrong by 10
times moves them little. The work of a task of a known kind is a regression on
the declared run time whose slope is learned: where the declared values say
nothing, the slope goes to 0 and the kind's typical work remains.
"""

from __future__ import annotations

import dataclasses
import math

# Observations that the declared value counts for; it fades as results come.
PRIOR_WEIGHT = 2.0
# Results after which an older one has lost 1 - 1/e of its weight.
MEMORY_RESULTS = 400.0
# Spread of ln(run time) around the estimate until it was measured.
PRIOR_VARIANCE = 0.5
# Largest residual of ln(run time) that one result may bring in.
RESIDUAL_LIMIT = 2.0
# Upper bound of the variance that the mean is corrected by.
VARIANCE_LIMIT = 1.5
SPEED_MEMORY_RESULTS = 60.0
# Results at speed 1 that a new upstream is assumed to have had.
SPEED_PRIOR_WEIGHT = 3.0
SHORTEST_RUN_TIME = 1e-4
LOG_SPEED_LIMIT = math.log(16.0)


@dataclasses.dataclass(slots=True)
class _KindModel:
    """Exponentially weighted moments of x = ln declared and y = ln work."""

    weight: float = 0.0
    mean_x: float = 0.0
    mean_y: float = 0.0
    var_x: float = 0.0
    cov_xy: float = 0.0
    residual_variance: float = PRIOR_VARIANCE
    lowest_y: float = math.inf

    @property
    def slope(self) -> float:
        """Part of a deviation of the declared value that shows in the work."""
        return max(0.0, min(1.0, self.cov_xy / (self.var_x + 0.1)))

    def predict(self, x: float | None, prior: float) -> float:
        """Returns expected ln work."""
        learned = self.mean_y
        if x is not None:
            learned += self.slope * (x - self.mean_x)
        share = self.weight / (self.weight + PRIOR_WEIGHT)
        return share * learned + (1.0 - share) * prior

    def learn(self, x: float, y: float, residual: float) -> None:
        """Adds one result."""
        self.weight = min(self.weight + 1.0, MEMORY_RESULTS)
        rate = 1.0 / self.weight
        dx, dy = x - self.mean_x, y - self.mean_y
        self.mean_x += rate * dx
        self.mean_y += rate * dy
        self.var_x += rate * (dx * (x - self.mean_x) - self.var_x)
        self.cov_xy += rate * (dx * (y - self.mean_y) - self.cov_xy)
        rate = 1.0 / (self.weight + PRIOR_WEIGHT)
        self.residual_variance += rate * (
            residual * residual - self.residual_variance
        )
        self.lowest_y = min(self.lowest_y, y)


@dataclasses.dataclass(slots=True)
class _SpeedModel:
    """ln speed of one upstream."""

    log_speed: float = 0.0
    weight: float = SPEED_PRIOR_WEIGHT


class RunTimeEstimates:
    """Learned work per (service, kind) and speed per upstream."""

    def __init__(self, default_run_time: float) -> None:
        self._default_log = math.log(default_run_time)
        self._kinds: dict[tuple[str, str], _KindModel] = {}
        self._speeds: dict[str, _SpeedModel] = {}

    def work(self, service: str, kind: str, declared: float) -> float:
        """Returns the mean run time to expect at speed 1, in seconds.

        Args:
          service: Service of the job.
          kind: Kind of the task.
          declared: Run time that the client declares; 0 for none.
        """
        model = self._kinds.get((service, kind))
        x = math.log(declared) if declared > SHORTEST_RUN_TIME else None
        prior = self._default_log if x is None else x
        if model is None:
            return math.exp(prior)
        correction = 0.5 * min(model.residual_variance, VARIANCE_LIMIT)
        return math.exp(model.predict(x, prior) + correction)

    def fastest_run_time(self, service: str, kind: str) -> float:
        """Returns the least work seen of a kind; 0 if too little is known."""
        model = self._kinds.get((service, kind))
        if model is None or model.weight < 20.0:
            return 0.0
        return math.exp(model.lowest_y)

    def speed(self, upstream: str) -> float:
        """Returns the speed of an upstream; 1 until results came."""
        model = self._speeds.get(upstream)
        return math.exp(model.log_speed) if model else 1.0

    def learn(
        self,
        upstream: str,
        service: str,
        kind: str,
        declared: float,
        run_time: float,
    ) -> None:
        """Adds the run time of a task that succeeded."""
        speed = self._speeds.setdefault(upstream, _SpeedModel())
        model = self._kinds.setdefault((service, kind), _KindModel())
        x = math.log(declared) if declared > SHORTEST_RUN_TIME else None
        y = math.log(max(run_time, SHORTEST_RUN_TIME)) + speed.log_speed
        prior = self._default_log if x is None else x
        if model.weight == 0.0:
            model.learn(model.mean_x if x is None else x, y, 0.0)
            return
        residual = y - model.predict(x, prior)
        residual = max(-RESIDUAL_LIMIT, min(RESIDUAL_LIMIT, residual))
        self._learn_speed(speed, model, residual)
        model.learn(model.mean_x if x is None else x, y, residual)

    def _learn_speed(
        self, speed: _SpeedModel, model: _KindModel, residual: float
    ) -> None:
        certainty = model.weight / (model.weight + 5.0)
        speed.weight = min(speed.weight + certainty, SPEED_MEMORY_RESULTS)
        step = speed.log_speed - certainty * residual / speed.weight
        speed.log_speed = max(-LOG_SPEED_LIMIT, min(LOG_SPEED_LIMIT, step))
