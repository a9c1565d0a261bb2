"""Properties of the bodies of the entry's HTTP interface."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumline.core.configuration import Limits
from gypsumline.core.errors import InvalidInputError, InvalidInputGroup
from gypsumline.core.task import JobBody
from gypsumline.interface.http_models import (
    BodyTooLargeError,
    digest_of,
    parse_job,
    problem_of,
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


def check(raw):
    """Parses a body; any error other than the typed ones fails the test."""
    try:
        body = parse_job(raw, LIMITS, 60.0, WALL)
    except (InvalidInputGroup, BodyTooLargeError) as error:
        problem = problem_of(error)
        assert problem.status in (400, 413)
        assert json.loads(problem.body)["errors"]
        return None
    assert isinstance(body, JobBody)
    assert 0 < body.timeout <= 60
    assert 1 <= len(body.tasks) <= LIMITS.tasks_per_job
    return body


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_any_bytes_end_in_typed_errors(raw):
    """Guards against bytes that end a request with status 500."""
    check(raw)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    st.dictionaries(FIELDS, VALUES, max_size=4),
    st.dictionaries(st.sampled_from(["kind", "payload", "size"]), VALUES),
)
def test_changed_fields_end_in_typed_errors(fields, task):
    """Guards against a value of any type that reaches the core unchecked."""
    tasks = [{**VALID["tasks"][0], **task}]
    check(json.dumps({**VALID, "tasks": tasks, **fields}).encode())


@settings(max_examples=200, deadline=None, derandomize=True)
@given(VALUES, st.integers(0, 4))
def test_layout_of_the_body_does_not_change_the_digest(payload, indent):
    """Guards against a key conflict for a body that was only laid out anew."""
    request = {**VALID, "tasks": [{"kind": "card", "payload": payload}]}
    first = check(json.dumps(request).encode())
    second = check(json.dumps(request, indent=indent).encode())
    if first is not None:
        assert second is not None
        assert digest_of(first) == digest_of(second)


def test_error_of_a_nested_value_has_a_short_text():
    """Guards against an error text as long as the value."""
    nested = json.loads("[" * 500 + "]" * 500)
    assert len(str(InvalidInputError("a", nested, "b"))) < 200
