"""Tests of the admission of jobs."""

import dataclasses

import pytest

from gypsumline.core.configuration import Client, Limits, Service
from gypsumline.core.task import Reason
from gypsumline.tests.core.placement.test_scheduler import (
    add,
    finish,
    make_body,
    make_record,
    make_scheduler,
    report,
)


def admit(record=None, run_times=(0.1,), **body):
    scheduler = make_scheduler(record)
    report(scheduler, "a")
    return scheduler.admit(make_body(run_times, **body), 0.0)


def test_feasible_job_is_admitted():
    """Guards against refusing a job that can finish in time."""
    assert admit().accepted


@pytest.mark.parametrize(
    ("configuration", "body", "reason"),
    [
        ({}, {"service": "other"}, Reason.UNKNOWN_SERVICE),
        ({}, {"run_times": ()}, Reason.NEVER_RUNNABLE),
        (
            {"limits": Limits(tasks_per_job=2)},
            {"run_times": (0.1,) * 3},
            Reason.NEVER_RUNNABLE,
        ),
        (
            {"services": (Service(name="s", kinds=("x",)),)},
            {},
            Reason.NEVER_RUNNABLE,
        ),
    ],
)
def test_job_that_can_never_run_is_refused_without_retry_time(
    configuration, body, reason
):
    """Guards against clients that retry a job that is never admitted."""
    admission = admit(make_record(**configuration), **body)
    assert (admission.accepted, admission.reason) == (False, reason)
    assert admission.retry_after == 0.0


@pytest.mark.parametrize(
    ("services", "configuration", "reason", "named"),
    [
        (("s",), {"services_out": ("s",)}, Reason.SERVICE_OUT, "'s'"),
        (("s", "d"), {}, Reason.DEPENDENCY_OUT, "'d'"),
        (
            ("s",),
            {"availability_zones_out": ("zone-a",)},
            Reason.NO_UPSTREAM,
            "'k'",
        ),
    ],
)
def test_refusal_names_the_unavailable_service_or_kind(
    services, configuration, reason, named
):
    """Guards against queuing jobs whose service or dependency is gone."""
    made = (Service(name="s", depends_on=services[1:]),)
    made += tuple(Service(name=name) for name in services[1:])
    admission = admit(make_record(services=made, **configuration))
    assert admission.reason is reason
    assert named in admission.detail
    assert admission.retry_after > 0.0


def test_infeasible_deadline_is_refused_with_spread_retry_times():
    """Guards against overdue jobs and against simultaneous retries."""
    scheduler = make_scheduler()
    report(scheduler, "a")
    add(scheduler, "j", [1.0] * 20)
    answers = [
        scheduler.admit(make_body([0.1], timeout=2.0), 0.0) for _ in range(20)
    ]
    assert {a.reason for a in answers} == {Reason.DEADLINE_INFEASIBLE}
    assert len({a.retry_after for a in answers}) > 10


def test_client_limit_counts_running_tasks():
    """Guards against a client that exceeds its configured limit."""
    record = make_record()
    clients = (Client(name="c", max_running=3),)
    configuration = dataclasses.replace(record.configuration, clients=clients)
    record = dataclasses.replace(record, configuration=configuration)
    scheduler = make_scheduler(record)
    report(scheduler, "a")
    add(scheduler, "j", [0.1, 0.1])
    body = make_body([0.1, 0.1])
    assert scheduler.admit(body, 0.0).reason is Reason.CLIENT_LIMIT
    scheduler.assign(0.0)
    finish(scheduler, "a", "j", 0, 0.1)
    assert scheduler.admit(body, 0.1).accepted


def test_burst_of_one_client_leaves_capacity_for_the_others():
    """Guards against a burst after which other clients miss the deadline."""
    scheduler = make_scheduler()
    report(scheduler, "a", slots=8, free=8)
    add(scheduler, "other", [1.0], client="other")
    admitted = 0
    for number in range(100):
        body = make_body([1.0] * 8, client="burst", timeout=20.0)
        if scheduler.admit(body, 0.0).accepted:
            scheduler.add_job(f"j{number}", body, tuple(range(8)), 0.0)
            admitted += 1
    assert 1 <= admitted <= 9
    other = make_body([1.0], client="other", timeout=20.0)
    assert scheduler.admit(other, 0.0).accepted


def test_removed_jobs_leave_no_backlog():
    """Guards against refusals for the work of removed jobs."""
    scheduler = make_scheduler()
    report(scheduler, "a")
    add(scheduler, "j", [1.0] * 50)
    body = make_body([0.1], timeout=5.0)
    assert not scheduler.admit(body, 0.0).accepted
    scheduler.remove_job("j", 0.0)
    assert scheduler.admit(body, 0.0).accepted
