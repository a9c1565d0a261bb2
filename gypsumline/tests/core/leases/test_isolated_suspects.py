"""Tests of likely causes of crashes, which run on executors kept for them.

Load pattern: several culprits, each of which has crashed one executor.
"""

import dataclasses

from gypsumline.core.leases.effects import JobEnded, JobOutcome
from gypsumline.core.leases.job import JobStep
from gypsumline.core.leases.messages import RunEnd, RunReports, StartRuns
from gypsumline.tests.core.leases.builders import (
    agent,
    cores,
    join,
    load,
    queue,
    reports,
    request,
    sends,
)
from gypsumline.tests.core.leases.test_containment import (
    AGENTS,
    crash,
    new_owner,
    owner_after_a_scale_down,
    used_agents,
)

# Jobs of this queue may wait for a while.
PATIENT = dataclasses.replace(queue(), latency=5.0)


def suspect(number):
    return f"{number:x}" * 16


def report_crash(leased, number, *keys, now=0.1):
    """Reports one crash under the first tasks of some jobs."""
    record = crash(number, f"{keys[0]}.0.0.0")
    runs = tuple(
        dataclasses.replace(record.runs[0], task=f"{key}.0.0.0") for key in keys
    )
    record = dataclasses.replace(record, runs=runs, started_at=int(1000 * now))
    message = RunReports(
        reports=(),
        load=load(executor=f"x-{number}", seen=100),
        crashes=(record,),
    )
    return leased.on_reports(agent(number), message, now)


def isolated_owner(**crashes):
    """Returns an owner after one crash, and the agent that is kept."""
    leased = new_owner(**crashes)
    report_crash(leased, 1, suspect(10))
    ((kept, _),) = sends(leased.submit(request(suspect(10)), 0.1), StartRuns)
    return leased, int(kept.removeprefix("agent-"))


def take_away(leased, number, now):
    away = load(free=0, taking=False, executor=f"x-{number}", seen=100)
    return leased.on_reports(agent(number), reports(now_load=away), now)


def lose(leased, number, key, now):
    """Reports that a run was lost with an executor that is still away."""
    away = load(free=0, taking=False, executor=f"x-{number}", seen=100)
    end = (f"{key}.0.0.0", 1, RunEnd.LOST, 0.0)
    return leased.on_reports(agent(number), reports(end, now_load=away), now)


def test_strong_suspects_have_an_executor_to_themselves():
    """Guards against innocent runs that are lost with a suspect's crash."""
    leased, kept = isolated_owner()
    others = used_agents(leased, "cards", 30) | used_agents(
        leased, "labels", 30
    )
    assert len(others) == len(AGENTS) - 1
    assert f"agent-{kept}" not in others


def test_strong_suspects_wait_and_start_together():
    """Guards against one crash for each suspect of a stream."""
    leased, kept = isolated_owner()
    take_away(leased, kept, 0.2)
    keys = [suspect(number) for number in (11, 12, 13, 14)]
    for key in keys:
        sent = sends(leased.submit(request(key, rules=PATIENT), 0.2), StartRuns)
        ((to, _),) = sent
        first = int(to.removeprefix("agent-"))
        report_crash(leased, first, key, now=0.3)
        effects = lose(leased, first, key, 0.3)
        assert sends(effects, StartRuns) == []
    room = load(executor=f"x-{kept}", seen=100)
    leased.cancel(suspect(10), 0.3)
    leased.on_reports(
        agent(kept),
        reports(
            (f"{suspect(10)}.0.0.0", 1, RunEnd.STOPPED, 0.0), now_load=room
        ),
        0.4,
    )
    started = {run.task.job.key for run in leased._runs}
    assert started & set(keys) == set(keys[:3])


def test_one_crash_convicts_several_suspects():
    """Guards against suspects that share the blame and go on for ever."""
    leased = new_owner()
    keys = [suspect(number) for number in (11, 12)]
    for number, key in enumerate(keys, start=1):
        report_crash(leased, number, key)
    report_crash(leased, 3, *keys, now=0.2)
    for key in keys:
        effects = leased.submit(request(key), 0.3)
        (ended,) = [e for e in effects if isinstance(e, JobEnded)]
        assert ended.outcome is JobOutcome.FAILED


def test_suspect_that_no_kept_executor_can_run_goes_elsewhere():
    """Guards against a suspect that waits for a label in vain."""
    leased, kept = isolated_owner(suspicion_share=1.0)
    other = next(n for n in AGENTS if n != kept)
    labelled = load(executor=f"x-{other}", seen=100, labels=("gpu",))
    leased.on_reports(agent(other), reports(now_load=labelled), 0.2)
    report_crash(leased, other, suspect(11), now=0.2)
    leased.on_reports(agent(other), reports(now_load=labelled), 0.2)
    step = JobStep(count=1, resources=cores(2), required_label="gpu")
    effects = leased.submit(request(suspect(11), steps=(step,)), 0.3)
    assert [to for to, _ in sends(effects, StartRuns)] == [f"agent-{other}"]


def test_small_service_keeps_no_executor():
    """Guards against a service that loses most of itself to one crash."""
    leased = owner_after_a_scale_down(3, 0)
    report_crash(leased, 1, suspect(10), now=3.1)
    assert len(used_agents(leased, "cards", 12, 3.2)) == 3


def test_isolation_ends_after_its_time():
    """Guards against an executor that stays unused."""
    leased, kept = isolated_owner()
    leased.cancel(suspect(10), 0.2)
    for number in AGENTS:
        join(leased, agent(number), 3.7, executor=f"x-{number}")
    leased.tick(3.7)
    assert f"agent-{kept}" in used_agents(leased, "labels", 40, 3.8)


def test_suspect_is_answered_once_its_result_is_useless():
    """Guards against callers that wait for an executor that is away."""
    leased, kept = isolated_owner()
    take_away(leased, kept, 0.2)
    effects = lose(leased, kept, suspect(10), 0.2)
    effects += leased.tick(0.3)
    assert [e for e in effects if isinstance(e, JobEnded)] == []
    effects = leased.tick(1.6)
    (ended,) = [e for e in effects if isinstance(e, JobEnded)]
    assert ended.outcome is JobOutcome.EXPIRED
    assert (
        ended.reason == "executors kept for likely causes of a crash are away"
    )
