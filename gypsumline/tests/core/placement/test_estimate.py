"""Tests of the estimated run times and speeds."""

import random

import pytest

from gypsumline.core.placement.estimate import RunTimeEstimates


def make_estimates(results, speed=None, error=lambda rng: 1.0, sigma=0.3):
    rng = random.Random(1)
    estimates = RunTimeEstimates(0.3)
    speed = speed or {"a": 1.0, "b": 4.0}
    for number in range(results):
        upstream = rng.choice(sorted(speed))
        work = 0.4 * rng.lognormvariate(0.0, sigma)
        declared = work * error(rng)
        run_time = work / speed[upstream]
        if number % 50 == 49:
            run_time *= 30.0
        estimates.learn(upstream, "s", "k", declared, run_time)
    return estimates


def test_declared_run_time_is_used_until_results_arrive():
    """Guards against ignoring the only estimate for a new kind."""
    estimates = RunTimeEstimates(0.3)
    assert estimates.work("s", "k", 2.0) == pytest.approx(2.0)
    assert estimates.work("s", "k", 0.0) == pytest.approx(0.3)


@pytest.mark.parametrize("factor", [0.1, 10.0])
def test_declared_run_times_wrong_by_ten_times_are_corrected(factor):
    """Guards against decisions by wrong declared run times."""
    estimates = make_estimates(200, {"a": 1.0}, lambda rng: factor)
    assert 0.25 < estimates.work("s", "k", 0.4 * factor) < 0.8


def test_random_declared_run_times_lose_their_weight():
    """Guards against trusting declared run times that are uncorrelated."""
    estimates = make_estimates(
        400, {"a": 1.0}, lambda rng: 10.0 ** rng.uniform(-1.0, 1.0)
    )
    ratio = estimates.work("s", "k", 4.0) / estimates.work("s", "k", 0.04)
    assert ratio < 4.0


def test_speeds_are_learned_despite_heavy_tails():
    """Guards against a few slow runs that lower a fast upstream's speed."""
    estimates = make_estimates(400)
    assert 2.5 < estimates.speed("b") / estimates.speed("a") < 6.0


def test_least_work_is_unknown_until_enough_results_arrived():
    """Guards against refusing jobs permanently by a few results."""
    assert make_estimates(5).least_work("s", "k") == 0.0
    assert make_estimates(100).least_work("s", "k") > 0.0
