"""Named distributions of task run times."""

from __future__ import annotations

import random
from collections.abc import Callable

from gypsumline.core.errors import InvalidInputError

_EXPONENTIAL_MAX_SECONDS = 10.0
_SHORT_RANGE_SECONDS = (0.05, 1.0)
_LONG_RANGE_SECONDS = (2.0, 6.0)
_LONG_SHARE = 0.02

Distribution = Callable[[random.Random, float], float]
_DISTRIBUTIONS: dict[str, Distribution] = {}


def run_time_distribution(
    name: str,
) -> Callable[[Distribution], Distribution]:
    """Returns a decorator that registers a distribution under a name.

    A distribution takes a random generator and the mean run time in seconds,
    and returns a run time in seconds.
    """

    def register(distribution: Distribution) -> Distribution:
        _DISTRIBUTIONS[name] = distribution
        return distribution

    return register


def find_distribution(name: str) -> Distribution:
    """Returns the distribution registered under a name.

    Raises:
      InvalidInputError: No distribution has this name.
    """
    if name not in _DISTRIBUTIONS:
        allowed = ", ".join(sorted(_DISTRIBUTIONS))
        raise InvalidInputError("distribution", name, allowed)
    return _DISTRIBUTIONS[name]


@run_time_distribution("fixed")
def _fixed(rng: random.Random, mean: float) -> float:
    return mean


@run_time_distribution("uniform")
def _uniform(rng: random.Random, mean: float) -> float:
    return rng.uniform(0.5 * mean, 1.5 * mean)


@run_time_distribution("exponential")
def _exponential(rng: random.Random, mean: float) -> float:
    if mean == 0:
        return 0.0
    return min(rng.expovariate(1 / mean), _EXPONENTIAL_MAX_SECONDS)


@run_time_distribution("workload")
def _workload(rng: random.Random, mean: float) -> float:
    """Returns run times of the specified workload, which ignore the mean.

    They are 50 ms to 1 s for 98% of the tasks and 2 s to 6 s for the others.
    """
    is_long = rng.random() < _LONG_SHARE
    minimum, maximum = _LONG_RANGE_SECONDS if is_long else _SHORT_RANGE_SECONDS
    return rng.uniform(minimum, maximum)
