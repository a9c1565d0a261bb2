"""Regression tests of placement in virtual time.

The limits are the targets of section 1 of the design page.
"""

import pytest

from benchmarks.placement_model import (
    DELAY_SUFFIX,
    EKFRASI,
    HALLORAN,
    run_burst,
    run_failing,
    run_loads,
    run_overload,
    run_zone_change,
)

SEED = 1
POLICIES = ("earliest_finish", "earliest_finish" + DELAY_SUFFIX, "power_of_two")


@pytest.fixture(
    scope="module", params=[EKFRASI, HALLORAN], ids=lambda s: s.name
)
def at_80_percent(request):
    runs = run_loads(request.param, 0.8, POLICIES, SEED, 30.0)
    return {run.policy: run for run in runs}


@pytest.mark.parametrize("policy", POLICIES[:2])
def test_p99_response_is_near_the_ideal_at_80_percent(at_80_percent, policy):
    """Guards against idle fast slots and against assignment too early."""
    run = at_80_percent[policy]
    assert run.complete == run.jobs
    assert run.p99_ratio <= 1.3
    assert run.excess_ratio <= 0.5


def test_few_messages_are_wasted_at_80_percent(at_80_percent):
    """Guards against refusals, withdrawals and one answer per task."""
    assert (
        at_80_percent["earliest_finish" + DELAY_SUFFIX].wasted_per_start <= 0.05
    )


def test_goodput_holds_under_overload():
    """Guards against admitted jobs that miss their deadlines."""
    at_capacity = run_overload(1.0, SEED, 30.0, timeout=5.0)
    for offered in (2.0, 5.0):
        run = run_overload(offered, SEED, 30.0, timeout=5.0)
        assert run.goodput >= 0.97 * at_capacity.goodput
        assert run.refusal_p99 < 0.02


@pytest.mark.parametrize("seed", [1, 2])
def test_failing_executor_loses_few_jobs_after_5_seconds(seed):
    """Guards against a broken executor that gets many tasks or probes."""
    assert run_failing(seed, 40.0).lost_later < 0.01


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("policy", POLICIES[:2])
def test_remaining_slots_stay_busy_while_a_zone_leaves_and_returns(
    policy, seed
):
    """Guards against idle slots when the tasks move to other zones."""
    run = run_zone_change(seed, policy)
    assert run.worst_second >= 0.97
    assert run.late_starts == 0


def test_few_messages_are_wasted_during_a_zone_change():
    """Guards against many refused tasks when a zone leaves or returns."""
    run = run_zone_change(SEED, "earliest_finish" + DELAY_SUFFIX)
    assert run.wasted_per_start <= 0.10


def test_burst_of_one_client_refuses_no_job_of_the_others():
    """Guards against a burst that causes refusals for other clients."""
    assert run_burst(SEED).others_refused == 0
