"""Tests of the model of orders without an answer."""

import pytest

from benchmarks.lost_answers import POLICIES, measure


@pytest.mark.parametrize("share", [0.1, 0.5])
def test_no_policy_runs_a_task_twice(share):
    """Guards against a policy that gains by breaking the rule of one run."""
    figures = {
        name: measure(policy, [share] * 6, seed=3, seconds=4.0)
        for name, policy in POLICIES.items()
    }
    assert {f["second"] for f in figures.values()} == {0}
    assert figures["repeat_and_overlap"]["lost"] < 0.01
    assert figures["as_now"]["lost"] > 0.1
