"""Tests of the cost of placement in a large fleet, counted in agents checked.

Load pattern: all agents are busy, many jobs wait, and each agent reports an
unchanged load several times a second.
"""

import dataclasses

import pytest

from gypsumline.core.leases import fleet
from gypsumline.core.leases.messages import ContactPing
from gypsumline.tests.core.leases.builders import (
    agent,
    join,
    load,
    owner,
    queue,
    request,
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


def test_pass_tries_a_step_that_fits_nowhere_once(monkeypatch):
    """Guards against ranking all agents for each task of the backlog."""
    leased = busy_owner(65, 2 * 65)
    ranked = []
    choose = leased._placement.choose

    def count(task, agents, now):
        ranked.append(task)
        return choose(task, agents, now)

    monkeypatch.setattr(leased._placement, "choose", count)
    leased.place_waiting(0.02)
    assert len(ranked) == 1


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
