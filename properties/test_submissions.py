"""Property tests of submissions, and tests that the oracle detects faults."""

import random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from gypsumline.core.slots.journal import Journal, TaskState
from gypsumline.core.slots.slot_table import SlotTable
from gypsumline.core.slots.start_rules import StartRules
from gypsumline.core.submissions.job import Job
from gypsumline.core.submissions.job_recovery import RecoveryVerdict
from gypsumline.core.submissions.journal_recovery import (
    Completeness,
    JournalRecovery,
)
from gypsumline.core.submissions.ownership import Ownership
from gypsumline.core.task import TaskStatus
from properties import submission_walk
from properties.submission_nodes import AgentNode, EntryNode
from properties.submission_world import World

WALKS = 50
MUTANT_WALKS = 400
STEPS = 300

CHOICES = st.integers(min_value=0, max_value=2**32)


class SubmissionMachine(RuleBasedStateMachine):
    """Runs callers' requests and faults in any order."""

    @initialize(seed=CHOICES, entries=st.integers(2, 3))
    def begin(self, seed, entries):
        self.world = World(seed, entries=entries)

    @rule(
        action=st.sampled_from(
            sorted(submission_walk.ACTIONS, key=lambda a: a.__name__)
        ),
        choice=CHOICES,
    )
    def act(self, action, choice):
        action(self.world, random.Random(choice))
        assert self.world.oracle.violations == []

    @rule(choice=CHOICES)
    def run_without_faults(self, choice):
        submission_walk.run_without_faults(self.world, random.Random(choice))
        assert self.world.oracle.violations == []

    def teardown(self):
        if hasattr(self, "world"):
            assert submission_walk.heal(self.world) == []
            assert self.world.oracle.violations == []


TestSubmissionMachine = SubmissionMachine.TestCase
TestSubmissionMachine.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=50,
    stateful_step_count=80,
    suppress_health_check=list(HealthCheck),
)


def test_walks_violate_no_guarantee():
    """Guards the guarantees of submissions under any mix of faults."""
    violations, counts = submission_walk.run_walks(1, WALKS, STEPS)
    assert violations == []
    assert counts["complete"] > WALKS


def without_owner_check(monkeypatch):
    monkeypatch.setattr(StartRules, "is_owner", lambda *_: True)


def without_attempts(monkeypatch):
    """Has the owner accept a result of any attempt."""

    def is_placed_at(job, index, agent, attempt):
        return index < len(job.attempts) and job.agent_of(index) is not None

    monkeypatch.setattr(Job, "is_placed_at", is_placed_at)


def without_waiting_until_ready(monkeypatch):
    original = Ownership.set_record

    def set_record(self, record, ready_at, now, wall):
        return original(self, record, now - 1000.0, now, wall)

    monkeypatch.setattr(Ownership, "set_record", set_record)


def without_journals_in_recovery(monkeypatch):
    monkeypatch.setattr(Ownership, "is_new_key", lambda *_: True)


def without_journals_of_all_agents(monkeypatch):
    monkeypatch.setattr(
        JournalRecovery, "completeness", lambda *_: Completeness.COMPLETE
    )


def without_freshness_at_agents(monkeypatch):
    monkeypatch.setattr(AgentNode, "is_fresh", lambda *_: True)


def without_freshness_at_owners(monkeypatch):
    monkeypatch.setattr(EntryNode, "is_fresh", lambda *_: True)


def without_tombstones(monkeypatch):
    """Has the journal drop a withdrawn or refused task."""

    def withdraw(self, key, index, attempt, now):
        record = self._keys.get(key)
        task = None if record is None else record.tasks.pop(index, None)
        if task is not None:
            record.unfinished -= task.state is TaskState.QUEUED
            record.unfinished -= task.state is TaskState.STARTED
            self._entries -= 1
        return True

    monkeypatch.setattr(Journal, "withdraw", withdraw)


def without_journal_at_starts(monkeypatch):
    """Has the agent take a resent start for a new one."""
    monkeypatch.setattr(SlotTable, "_may_start_again", lambda *_: True)


def with_restart_of_unstarted_jobs(monkeypatch):
    """Has a new owner place jobs that the earlier one may have refused."""
    from gypsumline.core.submissions import owner

    original = owner.recover_job

    def recover_job(job, tasks, complete):
        verdict, failure = original(job, tasks, complete)
        if verdict is RecoveryVerdict.NOT_STARTED:
            return RecoveryVerdict.RUNNING, None
        return verdict, failure

    monkeypatch.setattr(owner, "recover_job", recover_job)


@pytest.mark.parametrize(
    "mutant",
    [
        without_owner_check,
        without_attempts,
        without_waiting_until_ready,
        without_journals_in_recovery,
        without_journals_of_all_agents,
        without_freshness_at_agents,
        without_freshness_at_owners,
        without_tombstones,
        without_journal_at_starts,
        with_restart_of_unstarted_jobs,
    ],
)
def test_walks_detect_a_missing_mechanism(mutant, monkeypatch):
    """Guards against an oracle that misses the absence of a mechanism."""
    mutant(monkeypatch)
    for seed in range(1, MUTANT_WALKS):
        try:
            world = submission_walk.walk(seed, STEPS)
        except (KeyError, ValueError):
            # The mutant has left a state machine in an inconsistent state.
            continue
        if world.oracle.violations:
            return
    pytest.fail(f"no violation in {MUTANT_WALKS} walks")


def test_job_costs_one_start_and_one_result_message_per_agent(monkeypatch):
    """Guards against messages beyond one start and result per agent."""
    world = World(1, entries=1, agents=3)
    # Connects the processes and delivers the journal queries and their answers.
    for _ in range(4):
        for link, receiver in world.deliverable():
            world.deliver(link, receiver)
        world.advance(0.5)
    sent = []
    send = world.send
    monkeypatch.setattr(
        world, "send", lambda *args: (sent.append(args[2]), send(*args))
    )
    entry = world.entries()[0]
    submission = world.new_submission(10, False, 10.0, 0.0)
    world.submit(entry, submission)
    for _ in range(10):
        for link, receiver in world.deliverable():
            world.deliver(link, receiver)
        for agent in world.agents():
            world.execute(agent, 0)
            world.finish(agent, 0, TaskStatus.SUCCEEDED)
    names = sorted(message.wire_name for message in sent)
    assert names == ["start_tasks"] * 3 + ["task_results"] * 3
    assert world.oracle.counts["complete"] == 1
