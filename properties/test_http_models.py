"""Property tests of the request bodies of the entry's HTTP interface."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumline.core.configuration import Limits
from gypsumline.core.errors import InvalidInputError, InvalidInputGroup
from gypsumline.core.task import JobBody
from gypsumline.interface.http_models import (
    BodyTooLargeError,
    compute_job_digest,
    make_error_problem,
    parse_job,
)

LIMITS = Limits(tasks_per_job=4, payload_bytes=200)
WALL = 1.75e9
VALID = {
    "service": "ordering",
    "client": "attica-homes",
    "tasks": [{"kind": "card", "payload": None, "size": 1, "run_time": 0.5}],
    "timeout": 5,
    "repeatable": False,
}
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)
FIELDS = st.sampled_from([*VALID, "deadline", "tasks", "other"])


def parse_or_reject(raw):
    """Parses a body and checks the result or the typed errors.

    Any other error fails the test.
    """
    try:
        body = parse_job(raw, LIMITS, 60.0, WALL)
    except (InvalidInputGroup, BodyTooLargeError) as error:
        problem = make_error_problem(error)
        assert problem.status in (400, 413)
        assert json.loads(problem.body)["errors"]
        return None
    assert isinstance(body, JobBody)
    assert 0 < body.timeout <= 60
    assert 1 <= len(body.tasks) <= LIMITS.tasks_per_job
    return body


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_any_bytes_raise_only_typed_errors(raw):
    """Guards against bytes that cause a response with status 500."""
    parse_or_reject(raw)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    st.dictionaries(FIELDS, VALUES, max_size=4),
    st.dictionaries(st.sampled_from(["kind", "payload", "size"]), VALUES),
)
def test_random_fields_raise_only_typed_errors(fields, task):
    """Guards against unvalidated values that reach the decision logic."""
    tasks = [{**VALID["tasks"][0], **task}]
    parse_or_reject(json.dumps({**VALID, "tasks": tasks, **fields}).encode())


@settings(max_examples=200, deadline=None, derandomize=True)
@given(VALUES, st.integers(0, 4))
def test_formatting_of_the_body_does_not_change_the_digest(payload, indent):
    """Guards against a key conflict for a body that was only reformatted."""
    request = {**VALID, "tasks": [{"kind": "card", "payload": payload}]}
    first = parse_or_reject(json.dumps(request).encode())
    second = parse_or_reject(json.dumps(request, indent=indent).encode())
    if first is not None:
        assert second is not None
        assert compute_job_digest(first) == compute_job_digest(second)


def test_error_message_for_a_deeply_nested_value_is_short():
    """Guards against an error message as long as the invalid value."""
    nested = json.loads("[" * 500 + "]" * 500)
    assert len(str(InvalidInputError("a", nested, "b"))) < 200
