"""Bodies of the entry's HTTP interface, validated at the process boundary.

Requests are parsed from bytes into pydantic models and then converted to the
core's data classes. Every invalid input raises a typed error, which
`make_error_problem` converts to problem details (RFC 9457).
"""

from __future__ import annotations

import dataclasses
import datetime
import hashlib
import math
import re
import typing

import msgspec
import pydantic

from gypsumline.core.configuration import Limits
from gypsumline.core.errors import (
    GypsumlineError,
    InvalidInputError,
    InvalidInputGroup,
)
from gypsumline.core.task import JobAnswer, JobBody, Outcome, Reason, TaskSpec
from gypsumline.core.validation import (
    Name,
    StrictModel,
    invalid_inputs,
    raise_invalid_inputs,
)
from gypsumline.runtime.request_body import BodyTooLargeError

# A job is sent to its owner in one frame of at most 4 MiB. The difference
# covers the names of the fields around each task.
JOB_BYTES_MAX = 3 * 1024 * 1024
# A text of at most 1 MiB takes up to three times as many bytes with JSON
# escapes.
CONFIGURATION_BYTES_MAX = 4 * 1024 * 1024
_TASK_OVERHEAD_BYTES = 128
# Validation reports each invalid item and field. Without limits on both, a body
# of 2.8 MB with 1.4 million invalid tasks took 10 s and 1.9 GB of memory.
_FIELDS_MAX = 50
_DECLARED_SIZE_MAX = 2**53
_PROBLEM_TYPE_PREFIX = "urn:gypsumline:problem:"
_RFC_3339 = re.compile(
    r"\d{4}-\d\d-\d\d[Tt]\d\d:\d\d:\d\d(\.\d{1,9})?([Zz]|[+-]\d\d:\d\d)"
)
PROBLEM_MEDIA_TYPE = "application/problem+json"

_ModelType = typing.TypeVar("_ModelType", bound=pydantic.BaseModel)
_NoteText = typing.Annotated[str, pydantic.Field(max_length=2000)]
_Seconds = typing.Annotated[float, pydantic.Field(gt=0)]


class TaskRequest(StrictModel):
    """One task of a job request.

    Attributes:
      kind: Name of the kind, for which run times are estimated.
      payload: Any JSON value, passed to the executor.
      size: Declared size in bytes.
      run_time: Declared run time in seconds; 0 if none is declared.
    """

    kind: Name
    payload: typing.Any = None
    size: int = pydantic.Field(default=0, ge=0, le=_DECLARED_SIZE_MAX)
    run_time: float = pydantic.Field(default=0.0, ge=0)


class JobRequest(StrictModel):
    """Body of `POST /v1/jobs`.

    Attributes:
      service: Name of the service.
      client: Name of the client whose share the job uses.
      tasks: Tasks of the job, at least one.
      timeout: Seconds until the deadline; not allowed with `deadline`.
      deadline: RFC 3339 time; not allowed with `timeout`.
      repeatable: Whether the job, of exactly one task, may run again.
    """

    service: Name
    client: Name
    tasks: list[TaskRequest] = pydantic.Field(min_length=1)
    timeout: _Seconds | None = None
    deadline: str | None = None
    repeatable: bool = False


class ConfigurationCheck(StrictModel):
    """Body of `POST /v1/configuration/check`."""

    text: str


class ConfigurationPut(StrictModel):
    """Body of `PUT /v1/configuration`.

    Attributes:
      base_version: Version that the text was edited from; 0 for none.
      text: The new text.
      author: Name of the operator.
      note: Reason for the change.
      write_token: Unique token that finds the change if its outcome is unknown.
    """

    base_version: int = pydantic.Field(ge=0, le=2**53)
    text: str
    author: str = pydantic.Field(min_length=1, max_length=100)
    note: _NoteText
    write_token: str = pydantic.Field(min_length=1, max_length=100)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """An error response.

    Attributes:
      status: HTTP status.
      body: Problem details as JSON text, of type `PROBLEM_MEDIA_TYPE`.
    """

    status: int
    body: bytes


def parse_job(
    raw: bytes, limits: Limits, deadline_max: float, wall: float
) -> JobBody:
    """Returns the job in the body of a `POST /v1/jobs`.

    Args:
      raw: The request body.
      limits: Limits of the current configuration.
      deadline_max: Maximum timeout in seconds.
      wall: Wall-clock time of receipt, in UTC seconds.

    Raises:
      BodyTooLargeError: The body or the sum of its payloads is too long.
      InvalidInputGroup: All other invalid inputs, reported together.
    """
    errors: list[InvalidInputError] = []
    value = _parse_object(raw, JOB_BYTES_MAX)
    _truncate_tasks(value, limits, errors)
    request = _validate(JobRequest, value, errors)
    timeout = _resolve_timeout(request, deadline_max, wall, errors)
    if request.repeatable and len(request.tasks) != 1:
        allowed = "false; only a job of exactly one task may be repeatable"
        errors.append(InvalidInputError("repeatable", True, allowed))
    tasks = _encode_tasks(request, limits, errors)
    raise_invalid_inputs("job request", errors)
    size = sum(len(task.payload) + _TASK_OVERHEAD_BYTES for task in tasks)
    if size > JOB_BYTES_MAX:
        raise BodyTooLargeError(size, JOB_BYTES_MAX)
    return JobBody(
        service=request.service,
        client=request.client,
        tasks=tuple(tasks),
        timeout=timeout,
        repeatable=request.repeatable,
    )


def parse_body(
    model: type[_ModelType], raw: bytes, bytes_max: int
) -> _ModelType:
    """Parses a JSON body into a model.

    Raises:
      BodyTooLargeError: The body is longer than `bytes_max`.
      InvalidInputGroup: The body is not JSON or does not fit the model.
    """
    return _validate(model, _parse_object(raw, bytes_max), [])


def parse_json(raw: bytes) -> typing.Any:
    """Parses a JSON text.

    Rejects NaN, infinities, numbers out of range, invalid UTF-8, lone
    surrogates and nesting beyond Python's recursion limit.

    Raises:
      InvalidInputGroup: The text is not valid JSON (RFC 8259).
    """
    try:
        return msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError, UnicodeError) as error:
        start = bytes(raw[:40]).decode("utf-8", "replace")
        found = InvalidInputError("body", start, f"valid JSON ({error})")
        raise InvalidInputGroup("request body", [found]) from error


def compute_job_digest(body: JobBody) -> bytes:
    """Returns the SHA-256 digest that identifies a resubmitted job.

    The timeout is excluded, because it differs if a client resubmits the job
    with a deadline or with its remaining time.
    """
    fields = [
        body.service,
        body.client,
        body.repeatable,
        [
            [task.kind, task.payload, task.declared_size, _run_time(task)]
            for task in body.tasks
        ],
    ]
    return hashlib.sha256(msgspec.msgpack.encode(fields)).digest()


def answer_body(key: str, answer: JobAnswer) -> bytes:
    """Returns the JSON text of an answer.

    The values of the results are embedded unchanged, because the agent has
    validated that they are JSON.
    """
    results = [
        {
            "index": result.index,
            "value": msgspec.Raw(result.value),
            "run_time": result.run_time,
        }
        for result in answer.results
    ]
    return msgspec.json.encode(
        {
            "key": key,
            "outcome": answer.outcome,
            "results": results,
            "reason": answer.reason,
            "detail": answer.detail,
            "retry_after": answer.retry_after,
        }
    )


def answer_headers(answer: JobAnswer) -> dict[str, str]:
    """Returns the headers of an answer: `Retry-After` in whole seconds."""
    if answer.retry_after <= 0:
        return {}
    return {"Retry-After": str(math.ceil(answer.retry_after))}


_STATUS_BY_REASON = {
    Reason.UNKNOWN_KEY: 404,
    Reason.CANCELLED: 422,
    Reason.KEY_CONFLICT: 422,
    Reason.KEY_EXPIRED: 422,
    Reason.NEVER_RUNNABLE: 422,
    Reason.UNKNOWN_SERVICE: 422,
    Reason.CLIENT_LIMIT: 429,
    Reason.DEADLINE_INFEASIBLE: 429,
    Reason.OVERLOAD: 429,
    Reason.QUEUE_FULL: 429,
}

_STATUS_BY_OUTCOME = {
    Outcome.COMPLETE: 200,
    Outcome.RUNNING: 202,
    Outcome.FAILED_NOT_RUN: 503,
    Outcome.FAILED_RAN: 502,
    Outcome.UNKNOWN: 504,
}


def answer_status(answer: JobAnswer) -> int:
    """Returns the HTTP status of an answer."""
    status = _STATUS_BY_OUTCOME[answer.outcome]
    if answer.outcome in (Outcome.FAILED_NOT_RUN, Outcome.UNKNOWN):
        specific = _STATUS_BY_REASON.get(answer.reason, status)
        is_general = answer.outcome is Outcome.UNKNOWN and specific == 429
        return status if is_general else specific
    return status


def make_error_problem(error: GypsumlineError | InvalidInputGroup) -> Problem:
    """Converts an error to problem details (RFC 9457)."""
    match error:
        case BodyTooLargeError():
            return make_problem(
                413, "body-too-large", "Request body too large", [error]
            )
        case InvalidInputError():
            return make_problem(400, "invalid-input", "Invalid input", [error])
        case InvalidInputGroup():
            found = [e for e in error.exceptions if not _is_group(e)]
            return make_problem(
                400,
                "invalid-input",
                "Invalid input",
                typing.cast(list[InvalidInputError], found),
            )
    return make_problem(500, "internal", "Internal error", [], str(error))


def make_problem(
    status: int,
    name: str,
    title: str,
    errors: list[InvalidInputError] | None = None,
    detail: str = "",
) -> Problem:
    """Returns problem details of the type `urn:gypsumline:problem:<name>`."""
    found = errors or []
    items = []
    for error in found:
        item: dict[str, object] = {
            "field": error.field,
            "given": error.given,
            "allowed": error.allowed,
        }
        if error.line is not None:
            item["line"] = error.line
        items.append(item)
    body = {
        "type": _PROBLEM_TYPE_PREFIX + name,
        "title": title,
        "status": status,
        "detail": detail or "; ".join(str(error) for error in found[:3]),
        "errors": items,
    }
    return Problem(status=status, body=msgspec.json.encode(body))


def _parse_object(raw: bytes, bytes_max: int) -> dict[str, typing.Any]:
    if len(raw) > bytes_max:
        raise BodyTooLargeError(len(raw), bytes_max)
    value = parse_json(raw)
    if not isinstance(value, dict):
        found = InvalidInputError("body", value, "a JSON object")
        raise InvalidInputGroup("request body", [found])
    _check_field_count("body", value)
    return value


def _validate(
    model: type[_ModelType],
    value: dict[str, typing.Any],
    errors: list[InvalidInputError],
) -> _ModelType:
    try:
        return model.model_validate(value)
    except pydantic.ValidationError as error:
        found = [*errors, *invalid_inputs(model, error)]
        raise InvalidInputGroup("request body", found) from error


def _is_group(error: BaseException) -> bool:
    return isinstance(error, BaseExceptionGroup)


def _run_time(task: TaskSpec) -> float:
    return float(task.declared_run_time)


def _resolve_timeout(
    request: JobRequest,
    deadline_max: float,
    wall: float,
    errors: list[InvalidInputError],
) -> float:
    if (request.timeout is None) == (request.deadline is None):
        given = "both" if request.timeout is not None else "neither"
        allowed = "exactly one of timeout and deadline"
        errors.append(InvalidInputError("timeout", given, allowed))
        return 0.0
    if request.timeout is not None:
        allowed = f"more than 0 and at most {deadline_max:g} s"
        if request.timeout > deadline_max:
            errors.append(
                InvalidInputError("timeout", request.timeout, allowed)
            )
        return request.timeout
    return _deadline_to_timeout(
        str(request.deadline), deadline_max, wall, errors
    )


def _deadline_to_timeout(
    deadline: str,
    deadline_max: float,
    wall: float,
    errors: list[InvalidInputError],
) -> float:
    allowed = f"an RFC 3339 time up to {deadline_max:g} s in the future"
    try:
        timeout = _parse_time(deadline) - wall
    except ValueError:
        errors.append(InvalidInputError("deadline", deadline, allowed))
        return 0.0
    if not 0 < timeout <= deadline_max:
        errors.append(InvalidInputError("deadline", deadline, allowed))
    return timeout


def _parse_time(text: str) -> float:
    # `fromisoformat` alone also accepts formats that are not in RFC 3339.
    if not _RFC_3339.fullmatch(text) or not text.isascii():
        raise ValueError(text[:40])
    return datetime.datetime.fromisoformat(text.upper()).timestamp()


def _truncate_tasks(
    value: dict[str, typing.Any],
    limits: Limits,
    errors: list[InvalidInputError],
) -> None:
    tasks = value.get("tasks")
    if not isinstance(tasks, list):
        return
    if len(tasks) > limits.tasks_per_job:
        allowed = f"at most {limits.tasks_per_job} tasks"
        errors.append(InvalidInputError("tasks", len(tasks), allowed))
        value["tasks"] = tasks = tasks[: limits.tasks_per_job]
    for index, task in enumerate(tasks):
        if isinstance(task, dict):
            _check_field_count(f"tasks.{index}", task)


def _check_field_count(field: str, value: dict[str, typing.Any]) -> None:
    if len(value) > _FIELDS_MAX:
        given, allowed = f"{len(value)} fields", f"up to {_FIELDS_MAX} fields"
        raise_invalid_inputs(
            "request", [InvalidInputError(field, given, allowed)]
        )


def _encode_tasks(
    request: JobRequest, limits: Limits, errors: list[InvalidInputError]
) -> list[TaskSpec]:
    tasks = []
    for index, task in enumerate(request.tasks):
        payload = msgspec.json.encode(task.payload)
        if len(payload) > limits.payload_bytes:
            field = f"tasks.{index}.payload"
            given = f"{len(payload)} bytes"
            allowed = f"up to {limits.payload_bytes} bytes"
            errors.append(InvalidInputError(field, given, allowed))
        tasks.append(
            TaskSpec(
                index=index,
                kind=task.kind,
                payload=payload,
                declared_size=task.size,
                declared_run_time=task.run_time,
            )
        )
    return tasks
