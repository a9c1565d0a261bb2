"""Tests of the bodies of the entry's HTTP interface."""

import json

import pytest

from gypsumline.core.configuration import Limits
from gypsumline.core.errors import InvalidInputError, InvalidInputGroup
from gypsumline.core.task import (
    JobAnswer,
    JobBody,
    Outcome,
    Reason,
    TaskResult,
    TaskSpec,
    TaskStatus,
)
from gypsumline.interface.http_models import (
    JOB_BYTES_MAX,
    answer_body,
    answer_headers,
    answer_status,
    compute_job_digest,
    make_error_problem,
    parse_job,
)
from gypsumline.runtime.request_body import BodyTooLargeError

WALL = 1_750_000_000.0  # 2025-06-15T15:06:40Z
LIMITS = Limits(tasks_per_job=3, payload_bytes=20)


def make_request(**changes):
    request = {
        "service": "ordering",
        "client": "attica-homes",
        "tasks": [{"kind": "card", "payload": {"a": [1, None]}}],
        "timeout": 5,
    }
    request.update(changes)
    kept = {k: v for k, v in request.items() if v is not ...}
    return json.dumps(kept).encode()


def parse(raw):
    return parse_job(raw, LIMITS, 60.0, WALL)


def test_request_is_converted_to_the_core_data_class():
    """Guards against fields lost in the conversion to the data class."""
    task = {"kind": "card", "payload": {"a": 1}, "size": 9, "run_time": 2}
    raw = make_request(tasks=[task], repeatable=True)
    assert parse(raw) == JobBody(
        service="ordering",
        client="attica-homes",
        tasks=(
            TaskSpec(
                index=0,
                kind="card",
                payload=b'{"a":1}',
                declared_size=9,
                declared_run_time=2.0,
            ),
        ),
        timeout=5.0,
        repeatable=True,
    )


@pytest.mark.parametrize(
    "deadline",
    ["2025-06-15T15:06:50Z", "2025-06-15t18:06:50.000000001+03:00"],
)
def test_deadline_is_converted_to_a_timeout(deadline):
    """Guards against a time zone offset with the wrong sign."""
    body = parse(make_request(timeout=..., deadline=deadline))
    assert body.timeout == pytest.approx(10.0)


@pytest.mark.parametrize(
    ("changes", "fields"),
    [
        ({"service": ...}, ["service"]),
        ({"service": "Ordering", "client": 3}, ["service", "client"]),
        ({"servce": "x"}, ["servce"]),
        ({"tasks": []}, ["tasks"]),
        ({"tasks": [{"kind": "card"}] * 4}, ["tasks"]),
        ({"tasks": [{"kind": "card"}] * 4, "a": 1}, ["tasks", "a"]),
        ({"tasks": [{"kind": "a", "payload": "x" * 20}]}, ["tasks.0.payload"]),
        ({"tasks": [{"kind": "a", "size": -1}]}, ["tasks.0.size"]),
        ({"tasks": [{"kind": "a", "run_time": "1"}]}, ["tasks.0.run_time"]),
        ({"tasks": [{"kind": "a", "size": 10**30}]}, ["tasks.0.size"]),
        ({"timeout": True}, ["timeout"]),
        ({"timeout": 0}, ["timeout"]),
        ({"timeout": 60.1}, ["timeout"]),
        ({"timeout": ...}, ["timeout"]),
        ({"deadline": "2025-06-15T15:06:50Z"}, ["timeout"]),
        ({"timeout": ..., "deadline": "2025-06-15T15:06:39Z"}, ["deadline"]),
        ({"timeout": ..., "deadline": "2025-06-15T15:08:40Z"}, ["deadline"]),
        ({"timeout": ..., "deadline": "2025-06-15T15:06:50"}, ["deadline"]),
        ({"timeout": ..., "deadline": "2025-W24-7T15:06:50Z"}, ["deadline"]),
        ({"timeout": ..., "deadline": "0001-01-01T00:00:00+23:59"}, None),
        (
            {"repeatable": True, "tasks": [{"kind": "a"}] * 2, "timeout": 61},
            ["timeout", "repeatable"],
        ),
    ],
)
def test_error_names_every_invalid_field(changes, fields):
    """Guards against accepting invalid fields or reporting only the first."""
    with pytest.raises(InvalidInputGroup) as caught:
        parse(make_request(**changes))
    found = [error.field for error in caught.value.exceptions]
    assert found == (fields or ["deadline"])


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"[]",
        b"{",
        b'{"timeout": NaN}',
        b'{"timeout": 1e999}',
        b'"\\ud800"',
        b"\xff",
        b"[" * 100_000,
        b'{"tasks":' + b"[" * 900 + b"]" * 900 + b"}",
        b"1" * 5000,
    ],
)
def test_malicious_body_raises_a_typed_error(raw):
    """Guards against a malicious body that causes a status 500."""
    with pytest.raises(InvalidInputGroup) as caught:
        parse(raw)
    problem = make_error_problem(caught.value)
    assert problem.status == 400
    assert json.loads(problem.body)["errors"]


def test_oversized_body_is_rejected_before_it_is_parsed():
    """Guards against memory use by the values of an oversized body."""
    with pytest.raises(BodyTooLargeError) as caught:
        parse(b"[" * (JOB_BYTES_MAX + 1))
    assert make_error_problem(caught.value).status == 413


@pytest.mark.parametrize(
    ("changes", "error_count_max"),
    [
        ({"tasks": [{}] * 5000}, 1 + LIMITS.tasks_per_job),
        ({"tasks": [1] * 5000}, 1 + LIMITS.tasks_per_job),
        ({f"x{i}": 1 for i in range(5000)}, 1),
        ({"tasks": [{f"x{i}": 1 for i in range(5000)}]}, 1),
    ],
)
def test_number_of_errors_is_limited(changes, error_count_max):
    """Guards against errors that take gigabytes for a body of megabytes."""
    with pytest.raises(InvalidInputGroup) as caught:
        parse(make_request(**changes))
    assert len(caught.value.exceptions) <= error_count_max


def test_digest_ignores_only_the_timeout():
    """Guards against resubmissions taken for key conflicts."""
    first = compute_job_digest(parse(make_request()))
    assert first == compute_job_digest(parse(make_request(timeout=4)))
    others = [
        make_request(client="other"),
        make_request(service="other"),
        make_request(repeatable=True),
        make_request(tasks=[{"kind": "proof", "payload": {"a": [1, None]}}]),
        make_request(tasks=[{"kind": "card", "payload": {"a": [1, 0]}}]),
    ]
    assert (
        len({compute_job_digest(parse(raw)) for raw in others} | {first}) == 6
    )


@pytest.mark.parametrize(
    ("outcome", "reason", "status"),
    [
        (Outcome.COMPLETE, Reason.NONE, 200),
        (Outcome.RUNNING, Reason.NONE, 202),
        (Outcome.FAILED_NOT_RUN, Reason.OVERLOAD, 429),
        (Outcome.FAILED_NOT_RUN, Reason.NO_UPSTREAM, 503),
        (Outcome.FAILED_NOT_RUN, Reason.NEVER_RUNNABLE, 422),
        (Outcome.UNKNOWN, Reason.KEY_CONFLICT, 422),
        (Outcome.UNKNOWN, Reason.UNKNOWN_KEY, 404),
        (Outcome.UNKNOWN, Reason.OVERLOAD, 504),
        (Outcome.FAILED_RAN, Reason.TASK_FAILED, 502),
    ],
)
def test_status_follows_from_outcome_and_reason(outcome, reason, status):
    """Guards against a status that makes a client retry a job that ran."""
    assert answer_status(JobAnswer(outcome=outcome, reason=reason)) == status


def test_answer_has_the_unchanged_values_of_the_executor():
    """Guards against re-encoding the values of results."""
    result = TaskResult(
        index=0, status=TaskStatus.SUCCEEDED, value=b'{"x": 1.0}', run_time=0.5
    )
    answer = JobAnswer(
        outcome=Outcome.COMPLETE, results=(result,), retry_after=0.2
    )
    body = answer_body("k", answer)
    assert b'{"x": 1.0}' in body
    assert json.loads(body) == {
        "key": "k",
        "outcome": "complete",
        "results": [{"index": 0, "value": {"x": 1.0}, "run_time": 0.5}],
        "reason": "",
        "detail": "",
        "retry_after": 0.2,
    }
    assert answer_headers(answer) == {"Retry-After": "1"}


def test_huge_value_is_shortened_in_an_error():
    """Guards against an error whose text is huge or cannot be formatted."""
    assert len(InvalidInputError("a", "x" * 10**7, "b").given) <= 100
    assert InvalidInputError("a", 1 << 100_000, "b").given
