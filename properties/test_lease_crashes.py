"""Tests with tasks that crash the executors that start them."""

import dataclasses

import pytest

from gypsumline.core.leases.crash_history import CrashHistory, Verdict
from gypsumline.core.leases.crash_log import CrashLog
from gypsumline.core.leases.crash_response import CrashResponse
from gypsumline.core.leases.executor_state import ExecutorState
from gypsumline.core.leases.messages import CrashedRun, ExecutorCrash
from gypsumline.core.leases.owner import LeasedOwner
from properties import lease_load, lease_walk

WALKS = 8
# None of these walks fails on the unchanged code.
MUTANT_SEEDS = range(1, 61)
# Culprits whose owners are killed one after the other.
LOST_OWNER_ACTIONS = (
    lease_walk.submit_culprit,
    lease_walk.submit_culprit,
    lease_walk.kill_entry,
    lease_walk.kill_entry,
)


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


# 38, 230: a run counted that had been stopped before the crash. 236: one that
# had ended at an executor which no longer responded.
@pytest.mark.parametrize("seed", [38, 230, 236])
def test_walks_that_gave_up_a_job_after_one_crash(seed):
    """Guards against runs counted at a crash for which they were not there."""
    world = lease_walk.walk(seed, actions=lease_walk.CRASH_ACTIONS)
    assert world.oracle.violations == []


# 233: an executor crashed while its agent was killed, so that nobody saw it.
@pytest.mark.parametrize("seed", [*range(1, WALKS + 1), 233])
def test_walk_with_culprits_whose_jobs_move_between_owners(seed):
    """Guards against a count that a job leaves behind with its owner."""
    world = lease_walk.walk(seed, actions=lease_walk.MOVING_ACTIONS)
    assert world.oracle.violations == []


# 3, 75: two crashes that nobody saw, and three where starts were unanswered.
@pytest.mark.parametrize("seed", [*range(1, WALKS + 1), 75])
def test_walk_with_culprits_that_crash_before_they_answer(seed):
    """Guards against a culprit whose starts are never confirmed."""
    world = lease_walk.walk(seed, actions=lease_walk.FAST_CRASH_ACTIONS)
    assert world.oracle.violations == []


@pytest.mark.parametrize("seed", range(1, WALKS + 1))
def test_count_of_crashes_outlives_all_processes(seed):
    """Guards against a count that is lost when all processes are killed."""
    world = lease_walk.walk_killed_between_crashes(seed)
    assert world.oracle.violations == []


def ignore_count(monkeypatch):
    """Starts a task again however many executors crashed under it."""
    monkeypatch.setattr(
        CrashHistory, "verdict", lambda self, tasks: Verdict.CLEAR
    )


def lose_stored_crashes(monkeypatch):
    """Counts no crashes that were stored, as while the store is away."""
    monkeypatch.setattr(
        LeasedOwner, "restore_crashes", lambda self, crashes, now: []
    )


def lose_count_with_owner(monkeypatch):
    """Tells crashes only to the owners that are connected at that time."""
    lose_stored_crashes(monkeypatch)
    monkeypatch.setattr(CrashLog, "recent", lambda self, now: ())


def count_silence(monkeypatch):
    """Takes an agent that was out of contact for an executor that crashed."""
    lose_run = LeasedOwner._on_run_lost

    def lose_and_count(self, run, report, now):
        silent = CrashedRun(
            task=run.task.name,
            attempt=run.attempt,
            queue="",
            age=0.0,
            is_started=True,
        )
        crash = ExecutorCrash(
            executor=run.executor,
            started_at=int(1000 * now),
            seconds_ago=0.0,
            runs=(silent,),
        )
        effects = self._on_crash(crash, run.view.service, now, run.view)
        return effects + lose_run(self, run, report, now)

    monkeypatch.setattr(LeasedOwner, "_on_run_lost", lose_and_count)


def ignore_reduced_capacity(monkeypatch):
    """Keeps the capacity of the first heartbeat of an executor."""
    update = ExecutorState.update

    def keep_capacity(self, announcement, now):
        known = getattr(self, "announcement", announcement)
        kept = dataclasses.replace(announcement, capacity=known.capacity)
        update(self, kept, now)

    monkeypatch.setattr(ExecutorState, "update", keep_capacity)


def give_up_after_one_crash(monkeypatch):
    """Gives up each job that ran on an executor that crashed."""
    monkeypatch.setattr(
        CrashResponse,
        "is_given_up",
        lambda self, job: any(
            self._history.find(task.name) for task in job.tasks
        ),
    )


def walk_with_crashes(seed):
    return lease_walk.walk(seed, actions=lease_walk.CRASH_ACTIONS)


def walk_with_lost_owners(seed):
    return lease_walk.walk(seed, actions=LOST_OWNER_ACTIONS)


@pytest.mark.parametrize("seed", MUTANT_SEEDS)
def test_agents_tell_crashes_while_the_store_is_away(monkeypatch, seed):
    """Guards against a count that depends on the store alone."""
    lose_stored_crashes(monkeypatch)
    assert walk_with_lost_owners(seed).oracle.violations == []


@pytest.mark.parametrize(
    ("disable", "walk"),
    [
        (ignore_count, walk_with_crashes),
        (lose_count_with_owner, walk_with_lost_owners),
        (lose_stored_crashes, lease_walk.walk_killed_between_crashes),
        (count_silence, walk_with_crashes),
        (ignore_reduced_capacity, walk_with_crashes),
        (give_up_after_one_crash, walk_with_crashes),
    ],
)
def test_oracle_detects_a_disabled_mechanism(disable, walk, monkeypatch):
    """Guards against walks that cannot detect a violation."""
    disable(monkeypatch)
    for seed in MUTANT_SEEDS:
        world = walk(seed)
        if world.oracle.violations:
            return
    pytest.fail(f"no walk of the seeds {MUTANT_SEEDS} found a violation")
