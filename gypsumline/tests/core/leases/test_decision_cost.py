"""Tests of the cost of placement in a large fleet, counted in agents checked.

Load pattern: all agents are busy, many jobs wait, and each agent reports an
unchanged load several times a second.
"""

import dataclasses
import sys

import pytest

from gypsumline.core.leases import fleet, job, placement
from gypsumline.core.leases.job import JobStep
from gypsumline.core.leases.messages import (
    ContactPing,
    ContactPong,
    RunEnd,
    StartRuns,
)
from gypsumline.core.leases.resources import Resources
from gypsumline.tests.core.leases.builders import (
    agent,
    cores,
    done,
    join,
    load,
    owner,
    queue,
    reports,
    request,
    sends,
)

# Jobs of this queue are admitted behind a long backlog.
PATIENT = dataclasses.replace(queue(), latency=600.0)


@pytest.fixture(name="checked_agents")
def fixture_checked_agents(monkeypatch):
    """Counts the checks whether an agent is usable."""
    counted = []
    is_usable = fleet.Fleet.is_usable

    def count(self, view, now):
        counted.append(view)
        return is_usable(self, view, now)

    monkeypatch.setattr(fleet.Fleet, "is_usable", count)
    return counted


def busy_owner(agents, jobs):
    """Returns an owner whose jobs wait because all agents are full."""
    leased = owner()
    for number in range(agents):
        join(leased, agent(number), executor=f"x-{number}", free=8000)
    for number in range(jobs):
        leased.submit(request(f"{number:016x}", count=8, rules=PATIENT), 0.0)
    for number in range(agents):
        leased.on_ping(agent(number), ping(number, 0.01), 0.01)
    assert sum(not job.has_started for job in leased.jobs.values()) > jobs / 2
    return leased


def failed(task, end=RunEnd.FAILED):
    return task, 1, end, 0.1


def ping(number, now):
    full = load(executor=f"x-{number}", free=0, seen=100)
    return ContactPing(stamp=now, load=full)


@pytest.mark.parametrize("agents", [14, 65, 300])
def test_unchanged_ping_checks_no_other_agents(checked_agents, agents):
    """Guards against a placement pass for every ping."""
    leased = busy_owner(agents, 2 * agents)
    checked_agents.clear()
    leased.on_ping(agent(1), ping(1, 0.02), 0.02)
    assert len(checked_agents) <= 1


def test_pass_checks_each_agent_once_for_any_backlog(checked_agents):
    """Guards against a scan of the fleet for each job of the backlog."""
    leased = busy_owner(65, 2 * 65)
    checked_agents.clear()
    leased.place_waiting(0.02)
    assert len(checked_agents) == 65


@pytest.fixture(name="ranked_tasks")
def fixture_ranked_tasks(monkeypatch):
    """Counts the tasks for which the agents are ranked."""
    ranked = []
    choose = placement.Placement.choose

    def count(self, task, agents, now):
        ranked.append(task)
        return choose(self, task, agents, now)

    monkeypatch.setattr(placement.Placement, "choose", count)
    return ranked


def test_pass_tries_a_step_that_fits_nowhere_once(ranked_tasks):
    """Guards against ranking all agents for each task of the backlog.

    Enough of each resource is free, but not at the same agent.
    """
    leased = busy_owner(65, 2 * 65)
    without_memory = dataclasses.replace(
        load(executor="x-0", seen=100), free=Resources(processor=8000)
    )
    leased._fleet.find(agent(0)).update_load(without_memory, 0.02)
    ranked_tasks.clear()
    leased.place_waiting(0.02)
    assert len(ranked_tasks) == 1


def test_pass_without_room_ranks_no_agents(ranked_tasks):
    """Guards against a cost of each pass that grows with the backlog."""
    leased = busy_owner(65, 2 * 65)
    ranked_tasks.clear()
    leased.place_waiting(0.02)
    assert ranked_tasks == []


@pytest.mark.parametrize("agents", [65, 300])
def test_end_of_a_run_looks_at_its_agent_only(checked_agents, agents):
    """Guards against a scan of the fleet for each run that ends."""
    leased = busy_owner(agents, 2 * agents)
    run = next(run for run in leased._runs if run.agent == agent(3))
    checked_agents.clear()
    room = dataclasses.replace(
        load(executor="x-3", free=2000, seen=100), labels=("a",)
    )
    effects = leased.on_reports(
        agent(3), reports(done(run.task.name), now_load=room), 0.03
    )
    assert [to for to, _ in sends(effects, StartRuns)] == ["agent-3"]
    assert {view.member for view in checked_agents} == {agent(3)}


def test_task_that_failed_at_a_full_agent_is_placed_elsewhere():
    """Guards against a retry that waits for its own agent."""
    leased = owner()
    for number in range(2):
        join(leased, agent(number), executor=f"x-{number}")
    leased.submit(request(), 0.0)
    (run,) = leased._runs
    full = load(executor=run.executor, free=0, seen=1)
    effects = leased.on_reports(
        run.agent, reports(failed(run.task.name), now_load=full), 0.03
    )
    (other,) = {"agent-0", "agent-1"} - {run.agent.member_id}
    assert [to for to, _ in sends(effects, StartRuns)] == [other]


def test_job_that_ends_in_a_report_gets_no_further_runs():
    """Guards against runs of a job that was answered as failed.

    One task of the job may be tried again, another one has failed too often.
    """
    leased = owner()
    join(leased, agent())
    rules = queue(attempts=1)
    leased.submit(request(count=2, rules=rules), 0.0)
    first, second = leased._runs
    effects = leased.on_reports(
        agent(),
        reports(
            failed(first.task.name, RunEnd.LOST),
            failed(second.task.name),
        ),
        0.03,
    )
    assert sends(effects, StartRuns) == []
    assert leased.jobs == {}


def test_candidates_of_a_task_are_limited_in_a_large_fleet(monkeypatch):
    """Guards against a placement cost that grows with the fleet."""
    leased = owner(candidates_limit=20)
    for number in range(300):
        join(leased, agent(number), executor=f"x-{number}")
    ranked = []
    run_time = leased._placement.run_time

    def count(task, view, work):
        ranked.append(view.member.member_id)
        return run_time(task, view, work)

    monkeypatch.setattr(leased._placement, "run_time", count)
    for number in range(15):
        leased.submit(request(f"{number:016x}"), 0.0)
    assert len(ranked) == 15 * 20
    assert len(set(ranked)) == 300


def test_free_agent_is_found_anywhere_in_a_large_fleet():
    """Guards against a task that waits because part of the fleet is full."""
    leased = owner(candidates_limit=20)
    for number in range(300):
        free = 8000 if number == 250 else 0
        join(leased, agent(number), executor=f"x-{number}", free=free)
    leased.submit(request(), 0.0)
    assert [job.has_started for job in leased.jobs.values()] == [True]


def test_pass_works_out_the_capacity_request_once(monkeypatch):
    """Guards against a cost of each pass that grows with its agents."""
    counts = []
    ready_steps = job.LeasedJob.ready_steps
    for agents in (5, 65):
        leased = owner()
        for number in range(agents):
            join(leased, agent(number), executor=f"x-{number}", free=0)
        for name in "ab":
            wide = request(name * 16, count=4 * agents, rules=PATIENT)
            leased.submit(wide, 0.0)
        for number in range(agents):
            room = load(executor=f"x-{number}")
            leased._fleet.find(agent(number)).update_load(room, 0.01)
        calls = []
        with monkeypatch.context() as patch:
            patch.setattr(
                job.LeasedJob,
                "ready_steps",
                lambda self, calls=calls: (
                    calls.append(self) or ready_steps(self)
                ),
            )
            effects = leased.place_waiting(0.02)
        assert len(sends(effects, StartRuns)) == agents
        counts.append(len(calls))
    assert counts[0] == counts[1]


def test_agent_gets_the_request_of_its_own_service():
    """Guards against capacity offered to a job that can't use it."""
    leased = owner()
    rules = dataclasses.replace(PATIENT, service="billing", priority=3)
    for number, service in ((1, "ordering"), (2, "billing")):
        full = dataclasses.replace(
            load(executor=f"x-{number}", free=1000), service=service
        )
        leased.on_connected(agent(number), 0.0)
        leased.on_ping(agent(number), ContactPing(stamp=0.0, load=full), 0.0)
    leased.submit(request("a" * 16, rules=PATIENT), 0.1)
    leased.submit(request("b" * 16, rules=rules), 0.1)
    effects = leased.on_ping(agent(2), ContactPing(stamp=0.2, load=full), 0.2)
    ((_, pong),) = sends(effects, ContactPong)
    assert pong.wish.priority == 3


def count_lines(function, *arguments):
    """Calls a function and returns the number of lines that it executes."""
    lines = 0

    def trace(frame, event, argument):
        nonlocal lines
        lines += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        function(*arguments)
    finally:
        sys.settrace(before)
    return lines


def test_tick_does_not_look_at_queues_without_new_work():
    """Guards against a check whose cost grows with the queues."""
    counts = []
    for queues in (4, 300):
        leased = owner()
        join(leased, agent())
        for number in range(queues):
            work = request(f"{number:016x}", rules=queue(f"queue-{number}"))
            leased.submit(work, 0.0)
            leased.cancel(work.key, 0.0)
        leased.on_ping(agent(), ping(1, 0.01), 0.01)
        # The first check forgets what the cancelled jobs left behind.
        leased.tick(0.03)
        counts.append(count_lines(leased.tick, 0.06))
    assert counts[0] == counts[1]


def test_unchanged_ping_tries_no_task(ranked_tasks):
    """Guards against a pass for each ping while a job waits for a label."""
    leased = owner()
    join(leased, agent())
    step = JobStep(count=1, resources=cores(2), required_label="gpu")
    leased.submit(request(steps=(step,)), 0.0)
    ranked_tasks.clear()
    leased.on_ping(agent(), ContactPing(stamp=0.1, load=load()), 0.1)
    assert ranked_tasks == []
