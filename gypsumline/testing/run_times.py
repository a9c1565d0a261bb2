"""Distributions of task run times, chosen by name."""

from __future__ import annotations

import random
from collections.abc import Callable

from gypsumline.core.errors import InvalidInputError

_LONGEST_SECONDS = 10.0
_SHORT_SECONDS = (0.05, 1.0)
_LONG_SECONDS = (2.0, 6.0)
_LONG_SHARE = 0.02

Distribution = Callable[[random.Random, float], float]
_DISTRIBUTIONS: dict[str, Distribution] = {}


def run_time_distribution(
    name: str,
) -> Callable[[Distribution], Distribution]:
    """Registers a distribution: it takes a generator and the mean."""

    def register(distribution: Distribution) -> Distribution:
        _DISTRIBUTIONS[name] = distribution
        return distribution

    return register


def find_distribution(name: str) -> Distribution:
    """Returns the distribution of that name.

    Raises:
      InvalidInputError: There is none.
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
    return min(rng.expovariate(1 / mean), _LONGEST_SECONDS)


@run_time_distribution("workload")
def _workload(rng: random.Random, mean: float) -> float:
    """The described workload: 50 ms to 1 s, few of seconds; no mean."""
    is_long = rng.random() < _LONG_SHARE
    lowest, highest = _LONG_SECONDS if is_long else _SHORT_SECONDS
    return rng.uniform(lowest, highest)
