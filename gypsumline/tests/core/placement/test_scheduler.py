"""Tests of the scheduler."""

import dataclasses
import random

import pytest

from gypsumline.core.configuration import Configuration, Service
from gypsumline.core.control.record import ControlRecord, RegisteredAgent
from gypsumline.core.identity import Member, Role
from gypsumline.core.messages import UpstreamState
from gypsumline.core.placement.scheduler import Scheduler
from gypsumline.core.placement.settings import PlacementSettings
from gypsumline.core.task import (
    JobBody,
    Reason,
    TaskResult,
    TaskSpec,
    TaskStatus,
)


def make_record(agents=("a", "b"), **configuration):
    services = configuration.pop("services", (Service(name="s"),))
    return ControlRecord(
        revision=1,
        configuration=Configuration(services=services, **configuration),
        agents=tuple(
            RegisteredAgent(agent_id=name, availability_zone=f"zone-{name}")
            for name in agents
        ),
    )


def make_scheduler(record=None, **settings):
    scheduler = Scheduler(PlacementSettings(**settings), random.Random(1))
    scheduler.set_record(record or make_record(), 0.0)
    return scheduler


def report(scheduler, name, now=0.0, slots=2, free=2, incarnation=1, **state):
    member = Member(
        member_id=name,
        incarnation=incarnation,
        role=Role.AGENT,
        availability_zone=f"zone-{name}",
    )
    values = {
        "upstream_id": f"up-{name}",
        "service": "s",
        "slots": slots,
        "free": free,
        "healthy": True,
    }
    state = UpstreamState(**(values | state))
    scheduler.observe_agent(member, state, now)


def make_body(run_times, service="s", client="c", timeout=60.0, kind="k"):
    return JobBody(
        service=service,
        client=client,
        tasks=tuple(
            TaskSpec(index=index, kind=kind, declared_run_time=run_time)
            for index, run_time in enumerate(run_times)
        ),
        timeout=timeout,
    )


def add(scheduler, key, run_times, now=0.0, **body):
    body = make_body(run_times, **body)
    scheduler.add_job(key, body, tuple(range(len(run_times))), now)


def placed(assignments):
    return sorted((a.agent_id, a.key, a.indexes) for a in assignments)


def finish(scheduler, agent, key, index, now, run_time=0.1, ok=True):
    status = TaskStatus.SUCCEEDED if ok else TaskStatus.FAILED
    result = TaskResult(index=index, status=status, run_time=run_time)
    scheduler.finish_task(agent, key, result, now)


@pytest.mark.parametrize(
    "policy",
    [
        "earliest_finish",
        "random",
        "round_robin",
        "least_loaded",
        "power_of_two",
    ],
)
def test_each_task_is_assigned_once(policy):
    """Guards against a task that is placed twice or never."""
    scheduler = make_scheduler(policy=policy)
    report(scheduler, "a")
    report(scheduler, "b")
    add(scheduler, "j", [0.1, 0.2, 0.3])
    indexes = [i for a in scheduler.assign(0.0) for i in a.indexes]
    assert sorted(indexes) == [0, 1, 2]
    assert scheduler.assign(0.0) == []


def test_tasks_wait_at_the_owner_until_a_slot_is_free():
    """Guards against long queues at agents, which assign tasks too early."""
    scheduler = make_scheduler()
    report(scheduler, "a", slots=1, free=1)
    add(scheduler, "j", [0.1, 0.3])
    assert placed(scheduler.assign(0.0)) == [("a", "j", (1,))]
    finish(scheduler, "a", "j", 1, 0.3)
    report(scheduler, "a", 0.3, slots=1, free=1)
    assert placed(scheduler.assign(0.3)) == [("a", "j", (0,))]


def test_agent_that_is_not_registered_gets_no_work():
    """Guards against starts at agents whose journals no later owner queries."""
    scheduler = make_scheduler(make_record(agents=("b",)))
    report(scheduler, "a")
    add(scheduler, "j", [0.1])
    assert scheduler.assign(0.0) == []


@pytest.mark.parametrize(
    "out",
    [
        {"availability_zones_out": ("zone-a",)},
        {"upstreams_out": ("up-a",)},
        {"services_out": ("s",)},
    ],
)
def test_nothing_is_placed_on_excluded_agents(out):
    """Guards against starts in an excluded zone, upstream or service."""
    scheduler = make_scheduler()
    report(scheduler, "a")
    scheduler.set_record(make_record(**out), 0.0)
    add(scheduler, "j", [0.1])
    assert scheduler.assign(0.0) == []
    scheduler.set_record(make_record(), 0.1)
    assert scheduler.assign(5.0) == []
    report(scheduler, "a", 5.0)
    assert placed(scheduler.assign(5.0)) == [("a", "j", (0,))]


@pytest.mark.parametrize("state", [{"leaving": True}, {"healthy": False}])
def test_agent_that_leaves_or_is_unhealthy_gets_no_work(state):
    """Guards against tasks for an agent that would refuse them."""
    scheduler = make_scheduler()
    report(scheduler, "a", **state)
    add(scheduler, "j", [0.1])
    assert scheduler.assign(0.0) == []


def test_silent_agent_gets_no_work_until_it_reports():
    """Guards against tasks for an agent that is paused or partitioned."""
    scheduler = make_scheduler()
    report(scheduler, "a")
    report(scheduler, "a", 0.9)
    add(scheduler, "j", [0.1])
    add(scheduler, "k", [0.1])
    assert len(scheduler.assign(1.8)) == 2
    add(scheduler, "l", [0.1])
    report(scheduler, "a", 1.85)
    finish(scheduler, "a", "j", 0, 1.9)
    assert scheduler.assign(2.9) == []
    report(scheduler, "a", 3.0)
    assert len(scheduler.assign(3.0)) == 1


@pytest.mark.parametrize("reason", [Reason.QUEUE_FULL, Reason.OUT])
def test_refused_task_goes_to_another_agent(reason):
    """Guards against an immediate retry at the agent that refused."""
    scheduler = make_scheduler()
    report(scheduler, "a", slots=1, free=1)
    add(scheduler, "j", [0.1])
    scheduler.assign(0.0)
    scheduler.return_task("a", "j", 0, reason, 0.001)
    assert scheduler.assign(0.002) == []
    report(scheduler, "b", 0.003)
    assert placed(scheduler.assign(0.003)) == [("b", "j", (0,))]


def test_slots_used_by_other_owners_count_as_busy():
    """Guards against counting another owner's busy slots as free."""
    scheduler = make_scheduler()
    report(scheduler, "a", slots=4, free=1)
    add(scheduler, "j", [0.1] * 4)
    assert [len(a.indexes) for a in scheduler.assign(0.0)] == [1]


def test_slot_whose_result_is_delayed_counts_as_free():
    """Guards against idle slots while an agent delays the results of a job.

    The report is sent after both tasks arrived; one of them has finished.
    """
    scheduler = make_scheduler()
    for now in (0.0, 0.9, 1.8):
        report(scheduler, "a", now, slots=2, free=2)
        scheduler.assign(now)
    add(scheduler, "j", [0.1, 0.3], 1.8)
    assert [len(a.indexes) for a in scheduler.assign(1.8)] == [2]
    report(scheduler, "a", 1.95, slots=2, free=1)
    add(scheduler, "k", [0.1, 0.1], 1.95)
    assert [len(a.indexes) for a in scheduler.assign(1.95)] == [1]


@pytest.mark.parametrize(("waiting", "expected"), [(1, False), (2, True)])
def test_backlog_starts_at_a_fraction_of_the_slots(waiting, expected):
    """Guards against one answer per task whenever a single task waits."""
    scheduler = make_scheduler(backlog_part=0.25)
    report(scheduler, "a", slots=3, free=0)
    report(scheduler, "b", slots=3, free=0)
    assert scheduler.is_backlogged(waiting) is expected


def test_restarted_agent_has_no_placed_tasks():
    """Guards against slots that count as busy with lost tasks."""
    scheduler = make_scheduler()
    report(scheduler, "a", slots=1, free=1)
    add(scheduler, "j", [0.1])
    add(scheduler, "k", [0.1])
    scheduler.assign(0.0)
    report(scheduler, "a", 0.5, slots=1, free=1, incarnation=2)
    assert len(scheduler.assign(0.5)) == 1


def test_removed_job_is_not_placed():
    """Guards against starts of a cancelled job."""
    scheduler = make_scheduler()
    add(scheduler, "j", [0.1])
    scheduler.remove_job("j", 0.0)
    report(scheduler, "a")
    assert scheduler.assign(0.0) == []


def test_failing_agent_is_ejected_and_probed_with_one_task():
    """Guards against more than one probe task for a broken executor."""
    names = ("a", "b", "c")
    scheduler = make_scheduler(make_record(agents=names))
    for name in names:
        report(scheduler, name, slots=1, free=1)
    for number in range(3):
        add(scheduler, f"j{number}", [0.1])
        for assignment in scheduler.assign(0.0):
            ok = assignment.agent_id != "a"
            finish(
                scheduler, assignment.agent_id, assignment.key, 0, 0.0, ok=ok
            )
    for number in range(20):
        for assignment in scheduler.assign(0.0):
            ok = assignment.agent_id != "a"
            finish(
                scheduler, assignment.agent_id, assignment.key, 0, 0.0, ok=ok
            )
        add(scheduler, f"k{number}", [0.1])
    for name in names:
        report(scheduler, name, 2.5)
    for number in range(20):
        add(scheduler, f"l{number}", [0.1], 2.5)
    to_a = [x for x in scheduler.assign(2.5) if x.agent_id == "a"]
    assert [(x.reason, len(x.indexes)) for x in to_a] == [("probe", 1)]
    finish(scheduler, "a", to_a[0].key, 0, 2.6)
    assert [x.reason for x in scheduler.assign(2.6)] == ["earliest_finish"]


def test_returning_agent_first_gets_only_this_owners_share():
    """Guards against all owners filling a returning agent together."""
    owners = tuple(
        Member(
            member_id=f"e{n}",
            incarnation=1,
            role=Role.ENTRY,
            availability_zone="z",
        )
        for n in range(4)
    )
    record = dataclasses.replace(make_record(agents=("a",)), entries=owners)
    scheduler = make_scheduler(record)
    report(scheduler, "a", slots=8, free=8)
    add(scheduler, "j", [0.1] * 20)
    assert sum(len(a.indexes) for a in scheduler.assign(0.0)) == 2
    report(scheduler, "a", 0.9, slots=8, free=6)
    assert sum(len(a.indexes) for a in scheduler.assign(1.1)) == 6


def place_two_tasks_with_one_queued(scheduler):
    """Places two tasks at agent a, which reports one of them as queued."""
    report(scheduler, "a", slots=2, free=2)
    add(scheduler, "j", [0.2, 0.1])
    scheduler.assign(0.0)
    report(scheduler, "a", 0.05, slots=2, free=1, queued=1)


def withdrawn(scheduler, now):
    return [(w.agent_id, w.key, w.indexes) for w in scheduler.withdrawals(now)]


def test_overdue_task_is_withdrawn_once_for_an_idle_agent():
    """Guards against a task that waits while another agent is idle."""
    scheduler = make_scheduler()
    place_two_tasks_with_one_queued(scheduler)
    report(scheduler, "a", 0.25, slots=2, free=0, queued=1)
    assert withdrawn(scheduler, 0.25) == []
    report(scheduler, "b", 0.25)
    assert withdrawn(scheduler, 0.25) == [("a", "j", (1,))]
    assert withdrawn(scheduler, 0.3) == []
    scheduler.return_task("a", "j", 1, Reason.WITHDRAWN, 0.31)
    assert placed(scheduler.assign(0.31)) == [("b", "j", (1,))]


def test_waiting_tasks_are_withdrawn_when_the_zone_is_excluded():
    """Guards against queued tasks that start in an excluded zone."""
    scheduler = make_scheduler()
    place_two_tasks_with_one_queued(scheduler)
    record = make_record(availability_zones_out=("zone-a",))
    scheduler.set_record(record, 0.06)
    assert withdrawn(scheduler, 0.06) == [("a", "j", (1,))]


def test_no_task_is_withdrawn_while_none_waits():
    """Guards against withdrawals that only cost messages."""
    scheduler = make_scheduler()
    report(scheduler, "a", slots=2, free=2)
    report(scheduler, "b")
    add(scheduler, "j", [0.1, 0.1])
    scheduler.assign(0.0)
    report(scheduler, "a", 1.5, slots=2, free=0)
    report(scheduler, "b", 1.5)
    assert withdrawn(scheduler, 1.5) == []


def test_task_returned_twice_is_placed_once():
    """Guards against a second start when a result arrives twice."""
    scheduler = make_scheduler()
    report(scheduler, "a", slots=1, free=1)
    add(scheduler, "j", [0.1])
    scheduler.assign(0.0)
    report(scheduler, "b")
    for _ in range(2):
        scheduler.return_task("a", "j", 0, Reason.WITHDRAWN, 0.1)
    assert sum(len(a.indexes) for a in scheduler.assign(0.1)) == 1
