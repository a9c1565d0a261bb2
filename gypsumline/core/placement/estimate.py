"""Run times per task kind and speeds per upstream, learned from results.

A run time is modelled as work / speed. Both are estimated in logarithms with
clipped residuals, so that a heavy tail or a declared run time that is wrong by
a factor of 10 changes them little. The work of a task of a known kind is a
linear regression on the declared run time: if declared and actual run times
are uncorrelated, the slope approaches 0 and the estimate approaches the kind's
mean.
"""

from __future__ import annotations

import dataclasses
import math

# Weight of the declared run time, in observations. Its influence decreases as
# results arrive.
PRIOR_WEIGHT = 2.0
# Number of results after which an older one has lost 1 - 1/e of its weight.
MEMORY_RESULTS = 400.0
# Variance of ln(run time) around the estimate before the first results.
PRIOR_VARIANCE = 0.5
# Residuals of ln(run time) are clipped to this magnitude.
RESIDUAL_MAX = 2.0
# Upper limit of the variance in the correction from median to mean.
VARIANCE_MAX = 1.5
SPEED_MEMORY_RESULTS = 60.0
# Weight of the prior speed 1 of a new upstream, in results.
SPEED_PRIOR_WEIGHT = 3.0
RUN_TIME_MIN_SECONDS = 1e-4
LOG_SPEED_MAX = math.log(16.0)


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
        """Regression slope of y on x, limited to 0 to 1."""
        return max(0.0, min(1.0, self.cov_xy / (self.var_x + 0.1)))

    def predict(self, x: float | None, prior: float) -> float:
        """Returns the expected ln work.

        Args:
          x: ln of the declared run time, or None if none is declared.
          prior: Estimate of ln work without any results.
        """
        learned = self.mean_y
        if x is not None:
            learned += self.slope * (x - self.mean_x)
        confidence = self.weight / (self.weight + PRIOR_WEIGHT)
        return confidence * learned + (1.0 - confidence) * prior

    def learn(self, x: float, y: float, residual: float) -> None:
        """Adds a result with its clipped residual."""
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
    """Estimated ln speed of an upstream."""

    log_speed: float = 0.0
    weight: float = SPEED_PRIOR_WEIGHT


class RunTimeEstimates:
    """Estimates of work per (service, kind) and of speed per upstream."""

    def __init__(self, default_run_time: float) -> None:
        self._default_log = math.log(default_run_time)
        self._kinds: dict[tuple[str, str], _KindModel] = {}
        self._speeds: dict[str, _SpeedModel] = {}

    def work(self, service: str, kind: str, declared: float) -> float:
        """Returns the expected run time at speed 1, in seconds.

        Args:
          service: Service of the job.
          kind: Kind of the task.
          declared: Run time that the client declares; 0 for none.
        """
        model = self._kinds.get((service, kind))
        x = math.log(declared) if declared > RUN_TIME_MIN_SECONDS else None
        prior = self._default_log if x is None else x
        if model is None:
            return math.exp(prior)
        correction = 0.5 * min(model.residual_variance, VARIANCE_MAX)
        return math.exp(model.predict(x, prior) + correction)

    def least_work(self, service: str, kind: str) -> float:
        """Returns the least observed work of a kind; 0 with too few results."""
        model = self._kinds.get((service, kind))
        if model is None or model.weight < 20.0:
            return 0.0
        return math.exp(model.lowest_y)

    def speed(self, upstream: str) -> float:
        """Returns the speed of an upstream; 1 without results."""
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
        x = math.log(declared) if declared > RUN_TIME_MIN_SECONDS else None
        y = math.log(max(run_time, RUN_TIME_MIN_SECONDS)) + speed.log_speed
        prior = self._default_log if x is None else x
        if model.weight == 0.0:
            model.learn(model.mean_x if x is None else x, y, 0.0)
            return
        residual = y - model.predict(x, prior)
        residual = max(-RESIDUAL_MAX, min(RESIDUAL_MAX, residual))
        self._learn_speed(speed, model, residual)
        model.learn(model.mean_x if x is None else x, y, residual)

    def _learn_speed(
        self, speed: _SpeedModel, model: _KindModel, residual: float
    ) -> None:
        confidence = model.weight / (model.weight + 5.0)
        speed.weight = min(speed.weight + confidence, SPEED_MEMORY_RESULTS)
        step = speed.log_speed - confidence * residual / speed.weight
        speed.log_speed = max(-LOG_SPEED_MAX, min(LOG_SPEED_MAX, step))
