"""Tests of how queues whose jobs crash executors are kept apart.

Load pattern: a stream of culprits in one of several queues.
"""

import dataclasses
import math

import pytest

from gypsumline.core.effects import Decision
from gypsumline.core.errors import InvalidInputError
from gypsumline.core.leases.crash_settings import CrashSettings
from gypsumline.core.leases.effects import JobEnded, JobOutcome
from gypsumline.core.leases.messages import (
    CrashedRun,
    ExecutorCrash,
    RunEnd,
    RunReports,
    StartRuns,
)
from gypsumline.core.leases.work_rates import WorkRates
from gypsumline.tests.core.leases.builders import (
    agent,
    join,
    load,
    owner,
    queue,
    reports,
    request,
    sends,
)

AGENTS = range(1, 11)
CULPRIT = "c" * 16


def crash(number, task):
    run = CrashedRun(
        task=task, attempt=number, queue="cards", age=0.01, is_started=True
    )
    return ExecutorCrash(
        executor=f"x-{number}", started_at=1, seconds_ago=0.0, runs=(run,)
    )


def add_work(leased, now=0.0):
    """Submits jobs of two queues, a quarter of them of the first."""
    for number, name in enumerate(["cards", "labels", "labels", "labels"]):
        work = request(f"{number:016x}", rules=queue(name))
        leased.submit(work, now)
        leased.cancel(work.key, now)


def new_owner(south=(), **crashes):
    """Returns an owner that has been given work of two queues."""
    leased = owner(crashes=CrashSettings(**crashes))
    for number in AGENTS:
        zone = "south" if number in south else "north"
        join(leased, agent(number, zone=zone), executor=f"x-{number}")
    add_work(leased)
    return leased


def report_culprit(leased, task=f"{CULPRIT}.0.0.0", now=0.1, first=1):
    """Reports two crashes under a task, whose executors are back."""
    effects = []
    for number in (first, first + 1):
        message = RunReports(
            reports=(),
            load=load(executor=f"x-{number}"),
            crashes=(crash(number, task),),
        )
        effects += leased.on_reports(agent(number), message, now)
    return effects


def used_agents(leased, name, jobs, now=0.2):
    """Submits jobs of a queue and returns the agents that run them."""
    used = set()
    for number in range(jobs):
        key = f"{name}{number}".encode().hex().rjust(16, "0")[:16]
        effects = leased.submit(request(key, rules=queue(name)), now)
        used |= {to for to, _ in sends(effects, StartRuns)}
    return used


def test_queue_under_suspicion_and_the_others_share_no_executor():
    """Guards against crashes that take the runs of other queues with them."""
    leased = new_owner()
    report_culprit(leased)
    confined = used_agents(leased, "cards", 8)
    others = used_agents(leased, "labels", 20)
    assert confined
    assert others
    assert not confined & others


def test_queue_under_suspicion_gets_its_share_of_the_work():
    """Guards against a suspicion that stops a queue or starves the others."""
    leased = new_owner(isolation_share=0.0)
    report_culprit(leased)
    # A quarter of the work, on ten executors of one size.
    assert len(used_agents(leased, "cards", 30)) == 4
    assert len(used_agents(leased, "labels", 40)) == 6


def test_owners_confine_a_queue_to_the_same_executors():
    """Guards against owners that undo each other's containment."""
    confined = set()
    for joined in (AGENTS, reversed(AGENTS)):
        leased = owner()
        for number in joined:
            join(leased, agent(number), executor=f"x-{number}")
        add_work(leased)
        report_culprit(leased)
        confined.add(frozenset(used_agents(leased, "cards", 30)))
    assert len(confined) == 1


def test_one_crash_puts_no_queue_under_suspicion():
    """Guards against containment on days with ordinary crashes."""
    leased = new_owner(isolation_share=0.0)
    message = RunReports(
        reports=(),
        load=load(executor="x-1"),
        crashes=(crash(1, f"{CULPRIT}.0.0.0"),),
    )
    leased.on_reports(agent(1), message, 0.1)
    assert len(used_agents(leased, "cards", 40)) == len(AGENTS)


def report_crashes(leased, tasks, now):
    """Reports one crash under each task; each was there alone."""
    for number, task in enumerate(tasks, start=1):
        record = dataclasses.replace(
            crash(number, task), started_at=int(1000 * now)
        )
        message = RunReports(
            reports=(), load=load(executor=f"x-{number}"), crashes=(record,)
        )
        leased.on_reports(agent(number), message, now)


def test_likely_causes_count_once_a_job_of_their_queue_was_convicted():
    """Guards against a stream of culprits that confines its queue late.

    While likely causes wait for a kept executor, few of them are convicted.
    """
    leased = new_owner()
    report_culprit(leased)
    leased.tick(20.0)
    assert leased.suspected_queues == {}
    report_crashes(leased, [f"{n}" * 16 + ".0.0.0" for n in (1, 2)], 20.1)
    assert set(leased.suspected_queues) == {("ordering", "cards")}


def test_burst_of_likely_causes_confines_their_queue():
    """Guards against a burst of culprits none of which is convicted yet."""
    leased = new_owner()
    tasks = [f"{n}" * 16 + ".0.0.0" for n in (1, 2, 3)]
    report_crashes(leased, tasks, 0.1)
    assert leased.suspected_queues == {}
    report_crashes(leased, ["4" * 16 + ".0.0.0"], 0.2)
    assert set(leased.suspected_queues) == {("ordering", "cards")}


def test_crashes_that_no_job_caused_confine_no_queue():
    """Guards against queues that lose executors on a day of host failures.

    After each crash some job is the likeliest cause, but none is there twice.
    """
    leased = new_owner()
    for second in range(10):
        runs = tuple(
            CrashedRun(
                task=f"{second:015x}{number}.0.0.0",
                attempt=1,
                queue=name,
                age=0.01,
                is_started=True,
            )
            for number, name in enumerate(["cards", "labels"])
        )
        record = dataclasses.replace(
            crash(second + 1, ""), started_at=second, runs=runs
        )
        message = RunReports(
            reports=(), load=load(executor=f"x-{second + 1}"), crashes=(record,)
        )
        leased.on_reports(agent(second + 1), message, float(second))
    assert leased.suspected_queues == {}


def test_suspicion_ends_after_its_time():
    """Guards against a queue that stays confined after its last culprit."""
    leased = new_owner()
    report_culprit(leased)
    leased.tick(5.0)
    assert leased.suspected_queues
    for number in AGENTS:
        join(leased, agent(number), 5.2, executor=f"x-{number}")
    effects = leased.tick(5.2)
    events = [e.event for e in effects if isinstance(e, Decision)]
    assert events == ["queue_cleared"]
    assert len(used_agents(leased, "cards", 40, 5.2)) == len(AGENTS)


def test_only_queue_of_a_service_keeps_all_executors():
    """Guards against capacity that nobody may use."""
    leased = owner(crashes=CrashSettings(isolation_share=0.0))
    for number in AGENTS:
        join(leased, agent(number), executor=f"x-{number}")
    leased.submit(request("1" * 16), 0.0)
    report_culprit(leased)
    assert len(used_agents(leased, "cards", 60)) == len(AGENTS)


def test_suspects_run_apart_from_each_other():
    """Guards against two suspects whose next crash blames neither."""
    leased = new_owner(isolation_share=0.0)
    keys = ["a" * 16, "b" * 16]
    for number, key in enumerate(keys, start=1):
        message = RunReports(
            reports=(),
            load=load(executor=f"x-{number}"),
            crashes=(crash(number, f"{key}.0.0.0"),),
        )
        leased.on_reports(agent(number), message, 0.1)
    targets = [
        sends(leased.submit(request(key, count=2), 0.2), StartRuns)
        for key in keys
    ]
    agents = [{to for to, _ in sent} for sent in targets]
    assert all(agents)
    assert not agents[0] & agents[1]


def test_job_is_refused_at_once_while_its_executors_are_away():
    """Guards against jobs that wait for executors that crashed."""
    leased = new_owner()
    report_culprit(leased)
    confined = used_agents(leased, "cards", 30)
    for number in AGENTS:
        name = f"agent-{number}"
        if name in confined:
            away = load(free=0, taking=False, executor=f"x-{number}")
            leased.on_reports(agent(number), reports(now_load=away), 0.3)
    effects = leased.submit(request("d" * 16), 0.4)
    (ended,) = [e for e in effects if isinstance(e, JobEnded)]
    assert ended.outcome is JobOutcome.NOT_RUN
    assert ended.reason == "executors of a queue under suspicion are away"
    assert ended.retry_after > 0.0
    effects = leased.submit(request("e" * 16, rules=queue("labels")), 0.4)
    assert sends(effects, StartRuns)


@pytest.mark.parametrize("name", ["cards", "labels"])
def test_suspicion_of_several_queues_ends_for_each(name):
    """Guards against one suspicion that hides another."""
    leased = new_owner()
    report_culprit(leased, now=0.1)
    other = dataclasses.replace(crash(5, "e" * 16 + ".0.0.0").runs[0])
    for number in (5, 6):
        run = dataclasses.replace(other, queue="labels", attempt=number)
        record = dataclasses.replace(crash(number, ""), runs=(run,))
        message = RunReports(
            reports=(), load=load(executor=f"x-{number}"), crashes=(record,)
        )
        leased.on_reports(agent(number), message, 1.0)
    assert used_agents(leased, name, 3, 1.1)
    leased.tick(5.2)
    assert set(leased.suspected_queues) == {("ordering", "labels")}
    leased.tick(6.1)
    assert leased.suspected_queues == {}


def test_lost_runs_of_a_suspect_return_to_its_share():
    """Guards against a suspect that crashes an executor of another queue."""
    leased = new_owner(isolation_share=0.0)
    key = "f" * 16
    ((to, _),) = sends(leased.submit(request(key), 0.0), StartRuns)
    number = int(to.removeprefix("agent-"))
    task = f"{key}.0.0.0"
    message = RunReports(
        reports=(),
        load=load(free=0, taking=False, executor=f"x-{number}"),
        crashes=(crash(number, task),),
    )
    leased.on_reports(agent(number), message, 0.1)
    lost = reports((task, 1, RunEnd.LOST, 0.0), now_load=message.load)
    ((retried, _),) = sends(
        leased.on_reports(agent(number), lost, 0.1), StartRuns
    )
    report_culprit(leased, now=0.2, first=20)
    assert retried in used_agents(leased, "cards", 30, 0.3)


def test_few_crashes_confine_no_queue_of_a_large_service():
    """Guards against a queue that is confined for one of many executors."""
    leased = owner()
    for number in range(1, 31):
        join(leased, agent(number), executor=f"x-{number}")
    report_culprit(leased)
    assert leased.suspected_queues == {}
    report_culprit(leased, f"{'b' * 16}.0.0.0", 0.2, first=3)
    assert leased.suspected_queues == {}
    report_culprit(leased, f"{'a' * 16}.0.0.0", 0.3, first=5)
    assert set(leased.suspected_queues) == {("ordering", "cards")}


@pytest.mark.parametrize("capacity", [2000, 40_000])
def test_changed_capacity_moves_no_agent_between_the_parts(capacity):
    """Guards against a crash among the other queues after a resize."""
    leased = new_owner()
    report_culprit(leased)
    confined = used_agents(leased, "cards", 30)
    leased = new_owner()
    report_culprit(leased)
    leased.tick(0.1)
    used_agents(leased, "cards", 1)
    for name in (min(confined), max(confined)):
        number = int(name.removeprefix("agent-"))
        changed = load(
            executor=f"x-{number}", free=2000, seen=100, capacity=capacity
        )
        leased.on_reports(agent(number), reports(now_load=changed), 0.3)
    leased.tick(0.4)
    assert used_agents(leased, "cards", 40, 0.5) <= confined
    assert not used_agents(leased, "labels", 40, 0.5) & confined


def owner_after_a_scale_down(agents, gone, **crashes):
    """Returns an owner whose last agents left three seconds ago."""
    leased = owner(crashes=CrashSettings(**crashes))
    for number in range(1, agents + 1):
        join(leased, agent(number), executor=f"x-{number}")
    for number in range(agents - gone + 1, agents + 1):
        leased.on_disconnected(agent(number), 0.0)
    for number in range(1, agents - gone + 1):
        join(leased, agent(number), 3.0, executor=f"x-{number}")
    leased.tick(3.0)
    return leased


def test_agents_that_left_do_not_count_as_executors():
    """Guards against a queue that is never confined after a scale-down."""
    leased = owner_after_a_scale_down(30, 20)
    report_culprit(leased, now=3.1)
    assert set(leased.suspected_queues) == {("ordering", "cards")}


def test_queue_is_confined_to_agents_that_are_there():
    """Guards against a part of the executors that has left."""
    leased = owner_after_a_scale_down(30, 20, isolation_share=0.0)
    add_work(leased, 3.0)
    for number in range(1, 9):
        report_culprit(leased, f"{number:016x}.0.0.0", 3.1, first=number)
    assert len(used_agents(leased, "cards", 30, 3.2)) == 4
    assert len(used_agents(leased, "labels", 40, 3.2)) == 6


def test_rates_of_work_forget_old_work_and_old_queues():
    """Guards against a share of work long past, and state without a bound."""
    rates = WorkRates(memory=10.0)
    rates.add("ordering", "cards", 3.0, 0.0)
    rates.add("ordering", "labels", 1.0, 0.0)
    assert rates.share("ordering", ["cards"], 5.0) == pytest.approx(0.75)
    rates.add("ordering", "labels", 2.0, 10.0)
    cards = 3.0 / math.e
    assert rates.share("ordering", ["cards"], 10.0) == pytest.approx(
        cards / (cards + 1.0 / math.e + 2.0)
    )
    assert rates.share("ordering", ["cards"], 1000.0) == 1.0
    for number in range(1000):
        rates.add("ordering", f"queue-{number}", 1.0, 200.0 * number)
    assert len(rates._rates["ordering"]) < 5


@pytest.mark.parametrize("shares", [(), (0.5, 0.3, 1.0), (0.3, 0.5)])
def test_confined_shares_out_of_order_are_refused(shares):
    """Guards against settings that leave a queue without executors."""
    with pytest.raises(InvalidInputError, match="confined_shares"):
        CrashSettings(confined_shares=shares)
