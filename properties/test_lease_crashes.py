"""Tests with tasks that crash the executors that start them."""

import pytest

from properties import lease_load, lease_walk

WALKS = 8


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_task_that_crashes_its_executors_is_given_up(seed):
    """Guards against a task that is started on one executor after the other."""
    world = lease_load.run_pattern(
        "jobs_that_crash_executors", seed, seconds=12.0
    )
    assert world.oracle.violations == []
    assert world.given_up > 0


@pytest.mark.parametrize("seed", range(1, WALKS + 1))
def test_walk_with_culprits_and_shrinking_executors(seed):
    """Guards against endless crashes, wrong blame and starts over capacity."""
    world = lease_walk.walk(seed, actions=lease_walk.CRASH_ACTIONS)
    assert world.oracle.violations == []
