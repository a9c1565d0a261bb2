"""Walks of leased submissions with the numbers of agents that sites have."""

import pytest

from properties import lease_walk


@pytest.mark.parametrize(
    ("faults", "agents", "seed"),
    [
        ("cuts", 9, 104),
        ("cuts", 9, 105),
        ("cuts", 21, 102),
        ("partial-reads", 9, 103),
        ("partial-reads", 9, 105),
        ("partial-reads", 21, 107),
        ("paused-agents", 21, 117),
        ("slow-streams", 9, 103),
        ("resets", 9, 122),
    ],
)
def test_entries_that_hear_different_agents_never_run_one_job(
    faults, agents, seed
):
    """Guards against two entries with locks of agents that differ."""
    actions = lease_walk.fleet_actions(faults)
    world = lease_walk.walk(seed, actions=actions, agents=agents)
    assert world.oracle.violations == []


# 4 and 7 fail if pings are answered before runs of lapsed locks are stopped.
@pytest.mark.parametrize("seed", [6, 12, 18, 57, 4, 7])
def test_starts_deferred_by_an_agent_end_with_the_locks_of_their_owner(seed):
    """Guards against runs of an owner that answers a ping without its locks."""
    assert lease_walk.walk_deferred_starts(seed).oracle.violations == []
