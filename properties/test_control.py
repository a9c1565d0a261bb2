"""Stateful, random and scenario tests of the control state's invariants."""

from random import Random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from gypsumline.core.control import (
    acceptance,
    control_machine,
    evidence,
    freshness,
    ownership_readiness,
    voter,
)
from properties.control_driver import ACTIONS, ControlDriver
from properties.control_oracle import OracleError
from properties.control_walk import walk


class ControlRules(RuleBasedStateMachine):
    """Any sequence of faults and changes, with each step checked."""

    def __init__(self):
        super().__init__()
        self.driver = ControlDriver(seed=1, entries=3, agents=3)

    @rule(
        name=st.sampled_from(sorted(ACTIONS)),
        seed=st.integers(0, 1000),
        seconds=st.sampled_from((0.03, 0.3, 1.0, 2.5)),
    )
    def act(self, name, seed, seconds):
        ACTIONS[name](self.driver, Random(seed))
        self.driver.run(seconds)

    def teardown(self):
        self.driver.check_recovery()


TestControlRules = ControlRules.TestCase
TestControlRules.settings = settings(
    derandomize=True,
    max_examples=20,
    stateful_step_count=15,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


@pytest.mark.parametrize("seed", range(1, 21))
def test_random_walk_keeps_invariants_and_recovers(seed):
    """Guards the invariants and the recovery under longer mixed faults."""
    assert walk(seed).violation == ""


def accept_without_majority(patch):
    def update(self, now):
        is_new = not self.is_accepted
        self.accepted_at = min(self.accepted_at, now)
        return is_new

    patch.setattr(acceptance.Acceptance, "update", update)


def date_evidence_by_reply(patch):
    def add_reply(self, reply, now):
        if reply.evidence_age >= 0:
            self._freshness.add_evidence(
                reply.revision, now - reply.evidence_age
            )
        return now

    patch.setattr(evidence.Evidence, "add_reply", add_reply)


def ignore_voter_incarnations(patch):
    def is_same(one, other):
        return one.member_id == other.member_id

    def is_listed(members, member):
        return any(is_same(listed, member) for listed in members)

    patch.setattr(freshness, "is_listed", is_listed)
    patch.setattr(voter, "is_listed", is_listed)
    patch.setattr(acceptance, "is_same_incarnation", is_same)


def own_without_delay(patch):
    patch.setattr(
        ownership_readiness.OwnershipReadiness,
        "_ready_delay",
        lambda self, record: 0.0,
    )


def skip_acceptance(patch):
    machine = control_machine.ControlMachine
    patch.setattr(machine, "_can_write_next", lambda self, now: True)


def change_with_one_way_links(driver):
    """Proposes a change at an entry whose messages do not reach voters."""
    unreachable = {"entry-1", "agent-1", "agent-2"}
    for other in sorted(unreachable):
        driver.cut("entry-0", other, both_ways=False)
        driver.cut("agent-0", other, both_ways=True)
    driver.world.faults.unreachable |= unreachable
    driver.run(1)
    driver.propose("entry-0")
    driver.run(6)


def change_past_slow_link(driver):
    """Delays replies to an agent until after a change is accepted."""
    driver.world.slow_links["entry-0", "agent-0"] = 3.5
    driver.cut("entry-1", "agent-0", both_ways=True)
    driver.run(1.2)
    driver.propose("entry-0")
    driver.run(5)


def change_then_restart_voter(driver):
    """Restarts a voter that acknowledged a change, in the other partition."""
    side = {"entry-1", "agent-2"}
    driver.split(side)
    driver.run(0.2)
    driver.propose("entry-0")
    driver.run(0.3)
    driver.world.cuts.clear()
    driver.world.restart("agent-1")
    driver.split(side | {"agent-1"})
    driver.run(6)


def remove_owner_with_evidence(driver):
    """Removes an owner that could read the table until shortly before."""
    driver.split({"entry-1"})
    driver.world.faults.unreachable.clear()
    driver.run(2)
    driver.world.faults.unreachable.add("entry-1")
    driver.run(6)


SCENARIOS = {
    change_with_one_way_links: accept_without_majority,
    change_past_slow_link: date_evidence_by_reply,
    change_then_restart_voter: ignore_voter_incarnations,
    remove_owner_with_evidence: own_without_delay,
}


def new_driver():
    driver = ControlDriver(seed=1, entries=2, agents=3)
    driver.run(8)
    return driver


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_scenario_holds(scenario):
    """Guards against scenarios that fail without a removed mechanism."""
    driver = new_driver()
    scenario(driver)
    driver.check_recovery()


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_oracle_detects_removed_mechanism(scenario, monkeypatch):
    """Guards against an oracle that misses a removed mechanism."""
    driver = new_driver()
    SCENARIOS[scenario](monkeypatch)
    with pytest.raises(OracleError, match=r"after a newer one|is owned by"):
        scenario(driver)


def test_oracle_detects_unaccepted_revisions(monkeypatch):
    """Guards against an oracle that misses N+1 before N is accepted."""
    skip_acceptance(monkeypatch)
    assert any(walk(s, recover=False).violation for s in range(1, 31))
