"""Tests of requests of callers."""

import json
import math

import msgspec
import pytest

from gypsumline.core.leases.effects import JobEnded, JobOutcome
from gypsumline.core.leases.messages import CapacityRequest, ContactPong
from gypsumline.platform.ingress import Ingress
from gypsumline.platform.routes import OperatorConfiguration
from gypsumline.runtime.http_messages import HttpRequest
from gypsumline.runtime.logs import DecisionLog
from gypsumline.tests.platform.test_routes import (
    make_configuration,
    make_row,
    make_row_set,
)
from gypsumline.wire.codec import encode_frame

KEY = "5c0e7a21d94b36f8"
JOB = {
    "spec": "s",
    "steps": [{"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 75}],
    "best_effort": True,
}


class FakeOwner:
    """An owner without jobs."""

    def __init__(self):
        self.jobs = {}

    def pending_jobs(self, queue):
        return 3


class FakeNode:
    """Records submitted jobs; the test calls their callbacks."""

    def __init__(self):
        self.owner = FakeOwner()
        self.submitted = []
        self.removed_callers = []

    def submit(self, request, on_ended):
        self.submitted.append((request, on_ended))

    def remove_caller(self, key, on_ended):
        self.removed_callers.append(key)

    def cancel(self, key):
        return False


class FakeExchange:
    """Records the responses."""

    def __init__(self, method, target, body=b"", **headers):
        self.request = HttpRequest(
            method=method,
            target=target,
            headers={"host": "h.example", **headers},
            body=body,
        )
        self.responses = []
        self.on_closed = None

    def respond(self, response):
        self.responses.append(response)


@pytest.fixture
def node():
    return FakeNode()


@pytest.fixture
def ingress(node):
    operator_configuration = OperatorConfiguration()
    content = make_configuration(1, ("r1", "h.example", "/q/"))
    operator_configuration.replace(make_row_set(make_row("config", content)))
    return make_ingress(node, operator_configuration)


def make_ingress(node, operator_configuration, silence=0.5):
    return Ingress(
        node, operator_configuration, DecisionLog(100), lambda: silence
    )


def post(ingress, job, key=KEY, **headers):
    body = job if isinstance(job, bytes) else msgspec.json.encode(job)
    exchange = FakeExchange("POST", f"/q/{key}", body, **headers)
    ingress(exchange)
    return exchange


def test_job_is_answered_at_its_end(ingress, node):
    name = "x-gypsumline-timeout-remaining"
    exchange = post(ingress, JOB, **{name: "2500"})
    ((request, on_ended),) = node.submitted
    assert (request.key, request.timeout) == (KEY, 2.5)
    assert request.steps[0].resources.processor == 500
    assert request.steps[0].run_time == 0.075
    assert exchange.responses == []
    on_ended(JobEnded(key=KEY, outcome=JobOutcome.COMPLETED))
    (response,) = exchange.responses
    assert (response.status, response.body) == (200, b'{"state":"completed"}')


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        (JobOutcome.FAILED, 200),
        (JobOutcome.NOT_RUN, 503),
        (JobOutcome.ELSEWHERE, 502),
        (JobOutcome.EXPIRED, 504),
    ],
)
def test_status_503_is_sent_only_for_a_job_that_never_ran(
    ingress, node, outcome, status
):
    """Guards against a 503 for a job that has run.

    The status means that the job has not run and will not run.
    """
    exchange = post(ingress, JOB)
    ended = JobEnded(key=KEY, outcome=outcome, retry_after=1.2)
    node.submitted[0][1](ended)
    assert exchange.responses[0].status == status
    if outcome is not JobOutcome.FAILED:
        assert exchange.responses[0].headers["Retry-After"] == "2"


def test_job_during_a_planned_stop_is_sent_to_another_entry(ingress, node):
    """Guards against a job that is lost though another entry could run it."""
    ingress.stop_accepting_jobs()
    assert post(ingress, JOB).responses[0].status == 502
    assert node.submitted == []


def test_disconnected_caller_abandons_its_job(ingress, node):
    post(ingress, JOB).on_closed()
    assert node.removed_callers == [KEY]


@pytest.mark.parametrize(
    "job",
    [
        b"{",
        b"[]",
        {**JOB, "steps": []},
        {**JOB, "steps": [{"count": 0}]},
        {**JOB, "steps": [{"count": 1, "cpu": -1}]},
        {**JOB, "steps": [{"count": 1, "after": [0]}]},
        {**JOB, "steps": [{"count": 10_001}]},
        {**JOB, "spec": "x" * 4001},
        b"\xff",
        b'{"spec":"\xff"}',
        b"[" * 100_000,
        *(
            json.dumps({**JOB, "steps": [{"count": 1, **fields}]}).encode()
            for fields in (
                {"count": -(10**400)},
                {"count": 10**400},
                {"cpu": 10**400},
                {"cpu": 2**62},
                {"mem_mb": 10**30},
                {"gpu": 10**30},
                {"gpu": -1},
                {"anti_affinity": 10**30},
                {"estimate_ms": -1},
                {"estimate_ms": 1e300},
                {"after": [10**400]},
            )
        ),
    ],
)
def test_invalid_job_is_rejected_with_a_message(ingress, node, job):
    exchange = post(ingress, job)
    assert exchange.responses[0].status == 400
    assert exchange.responses[0].body
    assert node.submitted == []


@pytest.mark.parametrize(
    "job",
    [
        {**JOB, "best_effort": False},
        {**JOB, "repeat_count": 3},
        {**JOB, "steps": [{"count": 2, "gang": True}]},
    ],
)
def test_unsupported_kind_of_job_is_refused_as_not_run(ingress, node, job):
    """Guards against accepting a job that must be stored first."""
    assert post(ingress, job).responses[0].status == 503
    assert node.submitted == []


def test_unknown_queue_job_or_configuration(ingress, node):
    exchange = FakeExchange("GET", "/other/")
    ingress(exchange)
    assert exchange.responses[0].status == 404
    exchange = FakeExchange("GET", f"/q/{KEY}")
    ingress(exchange)
    assert exchange.responses[0].status == 410
    exchange = FakeExchange("GET", "/q/")
    ingress(exchange)
    assert exchange.responses[0].body == b'{"pending":3}'
    exchange = FakeExchange("POST", f"/q/{KEY}")
    make_ingress(node, OperatorConfiguration())(exchange)
    assert exchange.responses[0].status == 503


def test_request_without_a_route_is_logged_with_the_known_state(
    ingress, caplog
):
    """Guards against a 404 without its reason in the log."""
    with caplog.at_level("INFO"):
        ingress(FakeExchange("GET", "/other/"))
    line = caplog.records[-1]
    assert line.message == "queue_unknown"
    assert (line.host, line.path) == ("h.example", "/other/")
    assert (line.configuration, line.store_silence) == (1, 0.5)


def test_request_before_the_first_configuration_is_logged(node, caplog):
    """Guards against a 503 without its reason in the log."""
    with caplog.at_level("INFO"):
        ingress = make_ingress(node, OperatorConfiguration(), silence=math.inf)
        ingress(FakeExchange("GET", "/q/"))
    line = caplog.records[-1]
    assert line.message == "no_configuration"
    assert line.store_silence is None


def test_failed_job_names_its_cause(ingress, node):
    """Guards against a caller that cannot tell why its job failed."""
    exchange = post(ingress, JOB)
    ((_, on_ended),) = node.submitted
    reason = "executors crashed under a task"
    on_ended(JobEnded(key=KEY, outcome=JobOutcome.FAILED, reason=reason))
    (response,) = exchange.responses
    assert msgspec.json.decode(response.body) == {
        "state": "failed",
        "detail": reason,
    }


def test_need_of_any_valid_job_can_be_told_to_agents(ingress, node):
    """Guards against a job whose need ends the streams to all agents."""
    post(ingress, {**JOB, "steps": [{"count": 10_000, "cpu": 2**40}]})
    ((request, _),) = node.submitted
    (step,) = request.steps
    need = step.count * step.resources.processor
    wish = CapacityRequest(priority=0, slack=0.0, processor=need)
    assert encode_frame(ContactPong(stamp=0.0, wish=wish))


def test_target_that_cannot_be_parsed_gets_a_response(ingress):
    """Guards against a request that is never answered."""
    exchange = FakeExchange("GET", "//[")
    ingress(exchange)
    assert exchange.responses[0].status == 404
