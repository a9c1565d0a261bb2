"""Tests of jobs that wait while their executors take no runs.

Load pattern: refusals of starts, excluded zones and crashes, alone or beside a
queue under suspicion.
"""

import dataclasses

import pytest

from gypsumline.core.leases.effects import JobEnded, JobOutcome
from gypsumline.core.leases.messages import RunEnd, StartRuns, ZonesOut
from gypsumline.tests.core.leases.builders import (
    KEY,
    agent,
    join,
    load,
    owner,
    queue,
    reports,
    request,
    sends,
)
from gypsumline.tests.core.leases.test_containment import (
    AGENTS,
    new_owner,
    report_culprit,
    used_agents,
)

# Jobs of this queue may wait for a while.
PATIENT = dataclasses.replace(queue(), latency=5.0)


def answers(effects):
    return [(e.outcome, e.reason) for e in effects if isinstance(e, JobEnded)]


def refuse(leased, number, now, key=KEY):
    """Reports that an executor refused the start of a job's run."""
    end = (f"{key}.0.0.0", 1, RunEnd.REFUSED, 0.0)
    room = load(executor=f"x-{number}")
    return leased.on_reports(agent(number), reports(end, now_load=room), now)


def test_job_waits_while_all_agents_are_paused():
    """Guards against a wrong refusal in a short pause after refused starts."""
    leased = owner()
    join(leased, agent(), executor="x-1")
    leased.submit(request(rules=PATIENT), 0.0)
    effects = refuse(leased, 1, 0.1)
    effects += leased.tick(0.15)
    assert answers(effects) == []
    assert sends(leased.tick(0.45), StartRuns)


def test_job_of_a_confined_queue_waits_while_its_agents_are_paused():
    """Guards against a refusal for a pause where the executors are there."""
    leased = new_owner()
    report_culprit(leased)
    confined = used_agents(leased, "cards", 30)
    for number in AGENTS:
        if f"agent-{number}" in confined:
            view = leased._fleet.find(agent(number))
            view.paused_until = 0.5
    leased.submit(request("b" * 16, rules=PATIENT), 0.3)
    assert answers(leased.tick(0.3)) == []


def test_job_waits_while_all_zones_are_excluded():
    """Guards against a refusal that names a suspicion which does not exist."""
    leased = owner()
    join(leased, agent(), executor="x-1")
    leased.set_zones_out(ZonesOut(version=1, zones=("north",)), 0.0)
    effects = leased.submit(request(rules=PATIENT), 0.1)
    effects += leased.tick(0.15)
    assert answers(effects) == []
    effects = leased.set_zones_out(ZonesOut(version=2, zones=()), 0.2)
    assert sends(effects, StartRuns)


@pytest.mark.parametrize("is_excluded_first", [True, False])
def test_confined_queue_uses_other_zones_than_the_excluded(is_excluded_first):
    """Guards against a queue refused for executors that take no runs."""
    leased = new_owner()
    report_culprit(leased)
    confined = used_agents(leased, "cards", 30)
    south = {n for n in AGENTS if f"agent-{n}" in confined}
    leased = new_owner(south)
    zones_out = ZonesOut(version=1, zones=("south",))
    if is_excluded_first:
        leased.set_zones_out(zones_out, 0.0)
    north = (n for n in AGENTS if not {n, n + 1} & south)
    report_culprit(leased, first=next(north))
    leased.set_zones_out(zones_out, 0.1)
    confined = used_agents(leased, "cards", 30)
    others = used_agents(leased, "labels", 30)
    assert confined
    assert others
    assert not confined & others


@pytest.mark.parametrize(
    ("name", "reason"),
    [
        ("cards", "executors of a queue under suspicion are away"),
        (
            "labels",
            "executors outside those of a queue under suspicion are away",
        ),
    ],
)
def test_refusal_names_the_part_that_is_away(name, reason):
    """Guards against a reason that sends operators to the wrong queue."""
    leased = new_owner()
    report_culprit(leased)
    part = used_agents(leased, name, 60)
    for number in AGENTS:
        if f"agent-{number}" in part:
            away = load(free=0, taking=False, executor=f"x-{number}")
            leased.on_reports(agent(number), reports(now_load=away), 0.3)
    effects = leased.submit(request("d" * 16, rules=queue(name)), 0.4)
    assert answers(effects) == [(JobOutcome.NOT_RUN, reason)]
