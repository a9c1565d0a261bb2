"""Short soaks of the programs, with seeds that have failed before."""

import pytest

from soak.run import (
    run_kills_between_crashes,
    run_pauses_while_callers_leave,
    run_soak,
)

SECONDS = 10.0


# 61010: a request to a store that did not respond hid changes for longer than
# the bounds allow.
@pytest.mark.parametrize("seed", [1, 61010])
async def test_short_soak_has_no_violations(seed):
    """Checks counts and violations, but no measured times."""
    result = await run_soak(seed, SECONDS)
    assert result.violations == []
    assert result.completed > 0
    assert result.checked_probes > 0


@pytest.mark.parametrize("seed", [7])
async def test_short_soak_with_crashes_has_no_violations(seed):
    """Guards against culprits, shrinking executors and logged errors."""
    result = await run_soak(seed, SECONDS, kinds=["crashes"])
    assert result.violations == []
    assert result.completed > 0


@pytest.mark.parametrize("seed", [3])
async def test_short_soak_with_misleading_faults_has_no_violations(seed):
    """Guards against false announcements, and entries without the store."""
    result = await run_soak(seed, 2.0 * SECONDS, kinds=["misleading"])
    assert result.violations == []
    assert result.completed > 0


async def test_count_of_crashes_outlives_all_processes():
    """Guards against a task whose crashes are forgotten with the processes."""
    result, violations = await run_kills_between_crashes(1)
    assert violations == []
    assert result == "failed"


async def test_entry_that_wakes_runs_no_job_that_another_entry_runs():
    """Guards against two runs after submissions that were read too late."""
    completed, violations = await run_pauses_while_callers_leave(1, rounds=4)
    assert violations == []
    assert completed > 0
