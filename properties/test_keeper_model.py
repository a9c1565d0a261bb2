"""Walks of the model of the locks, and tests that each condition is needed."""

import itertools

import pytest

from properties import keeper_walk
from properties.keeper_model import VALIDITY, Rule

# Length of the walks and numbers of their seeds, by members of the first list.
SECONDS = 20.0
WALKS = {3: 100, 9: 60, 21: 16, 56: 8}
# Seeds in which a weakened rule must be found broken.
MAX_SEEDS = 60
SEEDS = range(1, 9)
# Delays in seconds of the store's feed to the majority of a lost list.
HARMLESS_DELAY = 1.0
BREAKING_DELAY = 8.0


def _finds(rule, members, *actions, seconds=SECONDS):
    """Returns whether one of the first walks has runs of two owners."""
    return any(
        keeper_walk.walk(seed, rule, members, actions, seconds).violations
        for seed in range(1, MAX_SEEDS + 1)
    )


# Guards against runs of one key by two owners.
@pytest.mark.parametrize("members", WALKS)
def test_rule_lets_one_owner_run_a_key(members):
    seeds = range(1, WALKS[members] + 1)
    walks = [keeper_walk.walk(s, None, members, (), SECONDS) for s in seeds]
    assert [w.violations for w in walks if w.violations] == []


# Guards against walks in which nothing can be broken, as no owner gets a key.
def test_walks_run_jobs_in_transitions_and_after_restarts():
    walks = [keeper_walk.walk(seed) for seed in SEEDS]
    counts = sum((w.counts for w in walks), start=type(walks[0].counts)())
    assert counts["jobs in a transition"] > 10
    assert counts["jobs after a transition"] > 10
    assert counts["grants after a restart"] > 0
    assert counts["unsure"] > 0


# Guards against a model that can't show the fault of decision 13: two owners
# that hear different agents choose keepers that have none in common.
@pytest.mark.parametrize("members", [9, 21, 56])
def test_keepers_chosen_among_the_heard_are_found(members):
    rule = Rule(needs_list=False)
    assert _finds(rule, members, "split", "cut", "pause_owner")


# Guards against a quorum that needn't intersect another one.
@pytest.mark.parametrize("members", [3, 9, 56])
def test_single_keeper_as_quorum_is_found(members):
    assert _finds(Rule(needs_quorum=False), members, "split", "cut")


# Guards against an owner that goes on with a list that was replaced long ago.
# With three members a quorum is a majority of the list.
@pytest.mark.parametrize("members", [9, 21])
def test_list_without_evidence_is_found(members):
    rule = Rule(needs_evidence=False)
    assert _finds(rule, members, "split", seconds=40.0)


# Guards against owners with the old and the new list at the same time.
def test_transition_without_both_quorums_is_found():
    assert _finds(Rule(needs_previous=False), 9, "change_list")


# Guards against the end of a transition while the evidence of others counts.
def test_transition_that_ends_at_once_is_found():
    assert _finds(Rule(settling=0.0), 9, "change_list", "cut")


# Guards against owners whose lists are two versions apart.
def test_change_within_a_transition_is_found():
    assert _finds(Rule(waits_to_change=False), 9, "change_list")


# Guards against grants while runs of the earlier owner may be left.
def test_expiry_without_the_time_of_runs_is_found():
    assert _finds(Rule(expiry=VALIDITY), 9, "pause_owner", "cut")


# Guards against a keeper that has forgotten to whom it granted a key.
@pytest.mark.parametrize("members", [3, 9])
def test_grant_right_after_a_restart_is_found(members):
    rule = Rule(waits_after_restart=False)
    assert _finds(rule, members, "restart_agents", "pause_owner", "cut")


# Guards against runs that go on after their owner has lost the key.
def test_runs_that_are_not_stopped_are_found():
    assert _finds(Rule(stops_runs=False), 9, "split", "cut")


# Guards against a lock that is returned while its runs are being stopped.
def test_return_while_runs_are_left_is_found():
    assert _finds(Rule(returns_late=False), 9, "reset_streams")


# Guards against a return on an earlier stream that drops a renewed lock.
def test_return_without_a_number_is_found():
    assert _finds(Rule(numbers_returns=False), 3, "repeat_jobs")


# Guards against an owner that counts a lock that it has returned.
def test_grant_of_a_request_before_the_return_is_found():
    assert _finds(Rule(withdraws_grants=False), 9, "repeat_jobs")


# Guards against a list without `previous` that breaks where its members learn
# of it in time.
@pytest.mark.parametrize("cuts_informed", [False, True])
def test_replaced_list_holds_while_all_agents_read_it_soon(cuts_informed):
    for seed in SEEDS:
        model = keeper_walk.lose_majority(HARMLESS_DELAY, seed, cuts_informed)
        assert model.violations == []
        assert model.counts["jobs after a transition"] == 1


# Guards against taking that list as safe: an owner may still reach a majority
# that the others have lost and that can't read the store.
@pytest.mark.parametrize("cuts_informed", [False, True])
def test_replaced_list_breaks_if_a_majority_reads_it_late(cuts_informed):
    model = keeper_walk.lose_majority(BREAKING_DELAY, 1, cuts_informed)
    assert model.violations


# Guards against keepers that depend on anything but the list and the key.
def test_keepers_are_in_different_zones():
    model = keeper_walk.Model(1, members=9)
    for key, size in itertools.product(keeper_walk.KEYS, (3, 6, 9)):
        chosen = model.keepers(key, model.row.members[:size])
        assert len({model.zones[name] for name in chosen}) == 3
