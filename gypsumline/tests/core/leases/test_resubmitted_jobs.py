"""Tests of jobs that are resubmitted to the same entry."""

import dataclasses

from gypsumline.core.leases.effects import JobOutcome
from gypsumline.core.leases.messages import ContactPing, RunEnd, StopRuns
from gypsumline.tests.core.leases.builders import (
    KEY,
    agent,
    handle_ping,
    join,
    load,
    owner,
    queue,
    reports,
    request,
    sends,
)
from gypsumline.tests.core.leases.test_owner import TASK, outcomes, placed


def test_resubmitted_job_that_may_have_started_is_never_answered_not_run():
    """Guards against a NOT_RUN answer although a run may still start.

    No run of the second submission starts, but an order of the first one was
    not answered, and a restarted executor may still carry it out.
    """
    leased = owner()
    join(leased, agent())
    leased.submit(request(), 0.0)
    leased.abandon(KEY, 0.1)
    lost = reports((TASK, 1, RunEnd.LOST, 0.0), now_load=load(free=0))
    leased.on_reports(agent(), lost, 0.2)
    ping = ContactPing(stamp=1.4, load=load(free=0, seen=1))
    handle_ping(leased, agent(), ping, 1.4)
    effects = leased.submit(request(), 1.5)
    for step in range(30):
        now = 1.5 + 0.1 * (step + 1)
        ping = ContactPing(stamp=now, load=load(free=0, seen=1))
        effects += handle_ping(leased, agent(), ping, now) + leased.tick(now)
    assert outcomes(effects) == [(KEY, JobOutcome.EXPIRED)]


def test_resubmitted_job_that_may_have_started_is_not_refused_as_not_run():
    """Guards against NOT_RUN when the backlog refuses the resubmission."""
    leased = owner(jobs_limit=1)
    join(leased, agent())
    leased.submit(request(), 0.0)
    leased.abandon(KEY, 0.1)
    lost = reports((TASK, 1, RunEnd.LOST, 0.0), now_load=load(free=0))
    leased.on_reports(agent(), lost, 0.2)
    leased.submit(request("0000000000000002"), 0.3)
    effects = leased.submit(request(), 0.4)
    assert outcomes(effects) == [(KEY, JobOutcome.EXPIRED)]


def test_job_of_a_moved_queue_is_run_by_the_new_service():
    """Guards against an answer under an outdated configuration.

    The queue was moved to another service while the job was open, and the
    caller resubmitted the job on another connection.
    """
    leased = owner()
    join(leased, agent())
    leased.submit(request(), 0.0)
    billing = dataclasses.replace(load(executor="x-2"), service="billing")
    leased.on_connected(agent(2), 2.9)
    handle_ping(leased, agent(2), ContactPing(stamp=2.9, load=billing), 2.9)
    moved = dataclasses.replace(queue(), service="billing")
    effects = leased.submit(request(rules=moved), 3.0)
    assert [to for to, _ in sends(effects, StopRuns)] == ["agent-1"]
    stopped = reports((TASK, 1, RunEnd.STOPPED, 0.1))
    effects = leased.on_reports(agent(), stopped, 3.1)
    assert placed(effects) == [("agent-2", TASK, 2)]
