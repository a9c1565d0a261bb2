"""Tests of an owner whose tasks crash their executors."""

import dataclasses

import pytest

from gypsumline.core.effects import Decision
from gypsumline.core.leases.effects import JobEnded, JobOutcome
from gypsumline.core.leases.messages import (
    CrashedRun,
    ExecutorCrash,
    RunEnd,
    RunReports,
    StartRuns,
)
from gypsumline.tests.core.leases.builders import (
    KEY,
    agent,
    join,
    load,
    owner,
    reports,
    request,
    sends,
)

TASK = f"{KEY}.0.0.0"


def crash(number, task=TASK):
    run = CrashedRun(
        task=task, attempt=number, queue="cards", age=0.01, is_started=True
    )
    return ExecutorCrash(
        executor=f"x-{number}", started_at=1, seconds_ago=0.0, runs=(run,)
    )


def report_crash(leased, number, now):
    """Reports a crash of an agent's executor and the lost run."""
    away = load(free=0, taking=False, executor=f"x-{number}")
    message = RunReports(reports=(), load=away, crashes=(crash(number),))
    effects = leased.on_reports(agent(number), message, now)
    lost = reports((TASK, number, RunEnd.LOST, 0.0), now_load=away)
    return effects + leased.on_reports(agent(number), lost, now)


def outcomes(effects):
    return [e.outcome for e in effects if isinstance(e, JobEnded)]


def owner_with_agents(count):
    leased = owner()
    for number in range(1, count + 1):
        join(leased, agent(number), executor=f"x-{number}")
    return leased


def test_job_is_given_up_after_two_crashes_under_a_task():
    """Guards against a task that is started on one executor after the other."""
    leased = owner_with_agents(4)
    started = sends(leased.submit(request(), 0.0), StartRuns)
    assert len(started) == 1
    first = int(started[0][0].removeprefix("agent-"))
    effects = report_crash(leased, first, 0.1)
    assert outcomes(effects) == []
    ((to, _),) = sends(effects, StartRuns)
    second = int(to.removeprefix("agent-"))
    effects = report_crash(leased, second, 0.2)
    assert outcomes(effects) == [JobOutcome.FAILED]
    assert sends(effects, StartRuns) == []
    ended = [e for e in effects if isinstance(e, JobEnded)]
    assert ended[0].reason == "executors crashed under a task"


def test_other_owner_does_not_start_a_job_that_was_given_up():
    """Guards against a count that starts at zero at the next entry."""
    leased = owner_with_agents(3)
    for number in (1, 2):
        message = RunReports(
            reports=(),
            load=load(executor=f"x-{number}"),
            crashes=(crash(number),),
        )
        leased.on_reports(agent(number), message, 0.0)
    effects = leased.submit(request(), 0.1)
    assert outcomes(effects) == [JobOutcome.FAILED]
    assert sends(effects, StartRuns) == []


def test_silence_of_an_agent_does_not_count():
    """Guards against a job given up for hosts that were only cut off."""
    leased = owner_with_agents(4)
    leased.submit(request(), 0.0)
    for now in (2.0, 4.0, 6.0):
        for number in range(1, 5):
            join(leased, agent(number), now, executor=f"x-{number}")
        effects = leased.tick(now)
        assert outcomes(effects) == []
    assert KEY in leased.jobs


def test_crash_line_names_the_suspects():
    """Guards against a failed job whose cause the logs do not show."""
    leased = owner_with_agents(2)
    effects = report_crash(leased, 1, 0.1)
    (line,) = [
        e
        for e in effects
        if isinstance(e, Decision) and e.event == "crash_blamed"
    ]
    ((key, share, detail),) = line.fields["suspects"]
    assert key == KEY
    assert 0.5 < share < 1.0
    assert detail["task"] == TASK
    assert detail["crashes"] == 1


def test_unknown_tasks_in_a_crash_do_no_harm():
    """Guards against a crash record that ends the process."""
    leased = owner_with_agents(1)
    odd = dataclasses.replace(crash(1, task=""), runs=())
    for record in (odd, crash(2, task=""), crash(3, task="no-such.9.9.9")):
        message = RunReports(reports=(), load=load(), crashes=(record,))
        assert outcomes(leased.on_reports(agent(1), message, 0.0)) == []


def test_restored_crashes_count_once_and_confine_no_queue_when_old():
    """Guards against stored crashes that count twice or confine a queue."""
    leased = owner_with_agents(2)
    old = [
        ("ordering", dataclasses.replace(crash(number), seconds_ago=20.0))
        for number in (1, 2)
    ]
    leased.restore_crashes(old[:1], 0.0)
    leased.restore_crashes(old[:1], 1.0)
    assert outcomes(leased.submit(request(), 1.0)) == []
    effects = leased.restore_crashes(old, 2.0)
    assert outcomes(effects) == [JobOutcome.FAILED]
    assert leased.suspected_queues == {}


def test_old_crash_does_not_prolong_a_suspicion():
    """Guards against a queue that is confined for crashes of long ago."""
    leased = owner_with_agents(2)
    for number in (1, 2):
        report_crash(leased, number, 0.1)
    ((name, until),) = leased.suspected_queues.items()
    old = dataclasses.replace(crash(3), seconds_ago=20.0)
    leased.restore_crashes([("ordering", old)], 3.0)
    assert leased.suspected_queues == {name: until}


@pytest.mark.parametrize(("joined_at", "is_confined"), [(1.0, 1), (9.0, 0)])
def test_restored_crash_confines_its_queue_once_executors_are_known(
    joined_at, is_confined
):
    """Guards against a restarted owner that confines no queue, or for long."""
    leased = owner()
    recent = [("ordering", crash(number)) for number in (1, 2)]
    leased.restore_crashes(recent, 0.0)
    leased.tick(0.5)
    assert leased.suspected_queues == {}
    join(leased, agent(3), joined_at, executor="x-3")
    leased.tick(joined_at)
    assert len(leased.suspected_queues) == is_confined
    leased.tick(joined_at + 6.0)
    assert leased.suspected_queues == {}


def test_crashes_under_an_open_job_count_however_long_ago():
    """Guards against a task that runs for a minute before each crash."""
    leased = owner_with_agents(3)
    long_request = dataclasses.replace(request(), timeout=600.0)
    ((to, _),) = sends(leased.submit(long_request, 0.0), StartRuns)
    effects = report_crash(leased, int(to.removeprefix("agent-")), 70.0)
    assert outcomes(effects) == []
    for now in range(71, 140):
        leased.tick(float(now))
    effects = report_crash(leased, 3, 140.0)
    assert outcomes(effects) == [JobOutcome.FAILED]
