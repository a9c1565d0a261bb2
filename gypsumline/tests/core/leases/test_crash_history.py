"""Tests of the count of crashes and of the blame for them."""

import pytest

from gypsumline.core.errors import InvalidInputError
from gypsumline.core.leases.crash_history import (
    CrashHistory,
    Verdict,
    job_key,
)
from gypsumline.core.leases.crash_settings import CrashSettings
from gypsumline.core.leases.messages import CrashedRun, ExecutorCrash

TASK = "a.0.0.0"
NEIGHBOUR = "b.0.0.0"


def crash(number, *runs, seconds_ago=0.0):
    """Returns a crash with runs as (task, age in seconds[, is_started])."""
    return ExecutorCrash(
        executor=f"x-{number}",
        started_at=number,
        seconds_ago=seconds_ago,
        runs=tuple(
            CrashedRun(
                task=task,
                attempt=1,
                queue="cards",
                age=age,
                is_started=not rest,
            )
            for task, age, *rest in runs
        ),
    )


def history(**settings):
    return CrashHistory(CrashSettings(**settings))


def test_limits_out_of_order_are_refused():
    """Guards against settings that never confirm a cause."""
    with pytest.raises(InvalidInputError, match="confirming_crashes"):
        CrashSettings(confirming_crashes=4)


def test_task_that_twice_had_just_started_is_given_up():
    """Guards against a culprit that takes a third executor with it."""
    crashes = history()
    crashes.add(crash(1, (TASK, 0.01), (NEIGHBOUR, 0.5)), 0.0)
    assert crashes.verdict([TASK]) is Verdict.SUSPECT
    crashes.add(crash(2, (TASK, 0.01), ("c.0.0.0", 0.3)), 1.0)
    assert crashes.verdict([TASK]) is Verdict.GIVEN_UP
    assert crashes.verdict([NEIGHBOUR]) is Verdict.CLEAR


def test_neighbour_of_two_culprits_is_not_given_up():
    """Guards against an innocent job shown as failed."""
    crashes = history()
    for number, culprit in enumerate(("c.0.0.0", "d.0.0.0")):
        crashes.add(crash(number, (culprit, 0.01), (TASK, 0.4)), 1.0)
    assert crashes.verdict([TASK]) is Verdict.CLEAR


def test_one_crash_never_gives_a_job_up():
    """Guards against a job that is shown as failed without a second proof."""
    crashes = history()
    crashes.add(crash(1, (TASK, 0.0)), 0.0)
    crashes.add(crash(1, (TASK, 0.0), seconds_ago=0.5), 0.5)
    assert crashes.verdict([TASK]) is Verdict.SUSPECT
    assert crashes.find(TASK).count == 1


def test_three_crashes_give_a_job_up_whatever_the_ages():
    """Guards against a culprit that crashes its executors late in its run."""
    crashes = history()
    verdicts = []
    for number in range(3):
        crashes.add(crash(number, (TASK, 2.0), (NEIGHBOUR, 0.01)), 0.0)
        verdicts.append(crashes.verdict([TASK]))
    assert verdicts[1:] == [Verdict.CLEAR, Verdict.GIVEN_UP]


def test_starts_without_an_answer_count_less_than_confirmed_ones():
    """Guards against blame for orders that never reached the executor."""
    crashes = history()
    for number in range(4):
        assert crashes.verdict([TASK]) is not Verdict.GIVEN_UP
        others = [(f"{number}{name}.0.0.0", 0.0) for name in "abcdefgh"]
        crashes.add(crash(number, (TASK, 0.0, "unanswered"), *others), 0.0)
    assert crashes.find(TASK).blame < 2.0
    assert crashes.verdict([TASK]) is Verdict.GIVEN_UP


def test_culprit_whose_starts_are_never_answered_is_given_up_after_three():
    """Guards against a culprit that crashes executors before they answer."""
    crashes = history()
    for number in range(3):
        assert crashes.verdict([TASK]) is not Verdict.GIVEN_UP
        crashes.add(crash(number, (TASK, 0.0, "unanswered")), 0.0)
    assert crashes.verdict([TASK]) is Verdict.GIVEN_UP


def test_crashes_of_a_large_fleet_hide_none_of_a_task():
    """Guards against a count that is dropped while many executors crash."""
    crashes = history()
    crashes.add(crash(0, (TASK, 0.0)), 0.0)
    for number in range(1, 3000):
        others = (f"{number}.0.0.0", 0.0), (f"{number}.0.0.1", 0.0)
        crashes.add(crash(number, *others), number / 100)
    crashes.add(crash(9999, (TASK, 0.0)), 31.0)
    assert crashes.verdict([TASK]) is Verdict.GIVEN_UP


def test_blame_of_a_queue_covers_late_and_kept_records():
    """Guards against blame that depends on when a crash was learned of."""
    crashes = history()
    crashes.add(crash(1, (TASK, 0.0)), 0.0)
    crashes.add(crash(2, (TASK, 0.0)), 58.0)
    crashes.add(crash(3, (TASK, 0.0), seconds_ago=30.0), 58.5)
    crashes.expire(61.0, {job_key(TASK)})
    newest = crashes.add(crash(4, (TASK, 0.0)), 62.0)[job_key(TASK)]
    assert crashes.queue_blame("cards", 61.0) == pytest.approx(newest)
    blames = [crashes.queue_blame("cards", since) for since in (57, 28, -1)]
    assert [round(blame) for blame in blames] == [2, 3, 4]


def test_lost_run_counts_beside_two_known_crashes():
    """Guards against a crash that nobody saw, as its agent was lost too."""
    crashes = history()
    for number in range(2):
        neighbour = f"{number}.0.0.0", 0.01
        crashes.add(crash(number, (TASK, 0.05), neighbour), 0.0)
    assert crashes.verdict([TASK]) is Verdict.SUSPECT
    crashes.add_lost_run(TASK)
    assert crashes.verdict([TASK]) is Verdict.GIVEN_UP


def test_lost_run_does_not_count_for_a_task_that_is_hardly_blamed():
    """Guards against an innocent job whose run was near two crashes."""
    crashes = history()
    for number in range(2):
        crashes.add(crash(number, (TASK, 2.0), (NEIGHBOUR, 0.01)), 0.0)
    crashes.add_lost_run(TASK)
    assert crashes.verdict([TASK]) is Verdict.CLEAR


def test_lost_runs_alone_never_give_a_job_up():
    """Guards against a job given up for agents that were only lost."""
    crashes = history()
    crashes.add(crash(1, (TASK, 2.0), (NEIGHBOUR, 0.01)), 0.0)
    for _ in range(10):
        crashes.add_lost_run(TASK)
        crashes.add_lost_run("other.0.0.0")
    assert crashes.verdict([TASK, "other.0.0.0"]) is Verdict.CLEAR
    assert crashes.find("other.0.0.0") is None


def test_crashes_are_forgotten_and_bounded():
    """Guards against state that grows with each crash."""
    crashes = history(max_crashes=2)
    for number in range(3):
        crashes.add(crash(number, (f"{number}.0.0.0", 0.0)), float(number))
    assert crashes.find("0.0.0.0") is None
    crashes.expire(62.5)
    assert not crashes
    assert crashes.add(crash(9, (TASK, 0.0), seconds_ago=61.0), 70.0) == {}


def test_shares_of_blame_add_up_to_less_than_one():
    """Guards against a sum of blame that one crash alone can reach."""
    runs = [(f"{name}.0.0.0", 0.001) for name in "abcdef"]
    shares = history().add(crash(1, *runs), 0.0)
    assert sum(shares.values()) < 1.0
