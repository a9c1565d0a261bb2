"""Tests of callers' requests."""

import math

import msgspec
import pytest

from gypsumline.core.leases.effects import JobEnded, JobOutcome
from gypsumline.platform.ingress import Ingress
from gypsumline.platform.routes import Routes
from gypsumline.runtime.http_messages import HttpRequest
from gypsumline.runtime.logs import DecisionLog
from gypsumline.tests.platform.test_routes import configuration, row, rows

KEY = "5c0e7a21d94b36f8"
JOB = {
    "spec": "s",
    "steps": [{"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 75}],
    "best_effort": True,
}


class FakeOwner:
    """Knows no jobs."""

    def __init__(self):
        self.jobs = {}

    def pending_jobs(self, queue):
        return 3


class FakeNode:
    """Keeps what was submitted; the test ends it."""

    def __init__(self):
        self.owner = FakeOwner()
        self.submitted = []
        self.left = []

    def submit(self, request, on_ended):
        self.submitted.append((request, on_ended))

    def leave(self, key, on_ended):
        self.left.append(key)

    def cancel(self, key):
        return False


class FakeExchange:
    """Keeps the answers."""

    def __init__(self, method, target, body=b"", **headers):
        self.request = HttpRequest(
            method=method,
            target=target,
            headers={"host": "h.example", **headers},
            body=body,
        )
        self.answers = []
        self.on_closed = None

    def respond(self, response):
        self.answers.append(response)


@pytest.fixture
def node():
    return FakeNode()


@pytest.fixture
def ingress(node):
    routes = Routes()
    content = configuration(1, ("r1", "h.example", "/q/"))
    routes.replace(rows(row("config", content)))
    return new_ingress(node, routes)


def new_ingress(node, routes, silence=0.5):
    return Ingress(node, routes, DecisionLog(100), lambda: silence)


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
    assert exchange.answers == []
    on_ended(JobEnded(key=KEY, outcome=JobOutcome.COMPLETED))
    (answer,) = exchange.answers
    assert (answer.status, answer.body) == (200, b'{"state":"completed"}')


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        (JobOutcome.FAILED, 200),
        (JobOutcome.NOT_RUN, 503),
        (JobOutcome.ELSEWHERE, 502),
        (JobOutcome.EXPIRED, 504),
    ],
)
def test_only_a_job_that_never_ran_is_refused(ingress, node, outcome, status):
    """Guards against a refusal that is not true."""
    exchange = post(ingress, JOB)
    ended = JobEnded(key=KEY, outcome=outcome, retry_after=1.2)
    node.submitted[0][1](ended)
    assert exchange.answers[0].status == status
    if outcome is not JobOutcome.FAILED:
        assert exchange.answers[0].headers["Retry-After"] == "2"


def test_job_at_the_end_of_a_planned_stop_goes_elsewhere(ingress, node):
    """Guards against losing a job that another entry would serve."""
    ingress.refuse_jobs()
    assert post(ingress, JOB).answers[0].status == 502
    assert node.submitted == []


def test_caller_that_leaves_gives_its_job_up(ingress, node):
    post(ingress, JOB).on_closed()
    assert node.left == [KEY]


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
    ],
)
def test_invalid_job_is_rejected_with_what_is_allowed(ingress, node, job):
    exchange = post(ingress, job)
    assert exchange.answers[0].status == 400
    assert exchange.answers[0].body
    assert node.submitted == []


@pytest.mark.parametrize(
    "job",
    [
        {**JOB, "best_effort": False},
        {**JOB, "repeat_count": 3},
        {**JOB, "steps": [{"count": 2, "gang": True}]},
    ],
)
def test_kind_that_is_not_served_is_refused_as_not_run(ingress, node, job):
    """Guards against accepting what would have to be stored."""
    assert post(ingress, job).answers[0].status == 503
    assert node.submitted == []


def test_unknown_queue_job_and_configuration(ingress, node):
    exchange = FakeExchange("GET", "/other/")
    ingress(exchange)
    assert exchange.answers[0].status == 404
    exchange = FakeExchange("GET", f"/q/{KEY}")
    ingress(exchange)
    assert exchange.answers[0].status == 410
    exchange = FakeExchange("GET", "/q/")
    ingress(exchange)
    assert exchange.answers[0].body == b'{"pending":3}'
    exchange = FakeExchange("POST", f"/q/{KEY}")
    new_ingress(node, Routes())(exchange)
    assert exchange.answers[0].status == 503


def test_request_without_a_route_is_logged_with_what_was_known(ingress, caplog):
    """Guards against a 404 that the log cannot explain."""
    with caplog.at_level("INFO"):
        ingress(FakeExchange("GET", "/other/"))
    line = caplog.records[-1]
    assert line.message == "queue_unknown"
    assert (line.host, line.path) == ("h.example", "/other/")
    assert (line.configuration, line.store_silence) == (1, 0.5)


def test_request_before_the_first_configuration_is_logged(node, caplog):
    """Guards against a 503 that the log cannot explain."""
    with caplog.at_level("INFO"):
        ingress = new_ingress(node, Routes(), silence=math.inf)
        ingress(FakeExchange("GET", "/q/"))
    line = caplog.records[-1]
    assert line.message == "no_configuration"
    assert line.store_silence is None
