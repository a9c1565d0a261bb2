"""Commands of `gypsumline job`."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import time
import typing

import typer

from gypsumline.cli import output
from gypsumline.cli.answers import JobAnswer, parse_answer
from gypsumline.cli.client import (
    Body,
    EntryClient,
    NotReachableError,
    Request,
    open_client,
    parse_urls,
)
from gypsumline.cli.exit_status import status_of_outcome
from gypsumline.cli.files import read_text
from gypsumline.cli.options import EntryOption, OutputFormat, OutputOption
from gypsumline.cli.progress import show_progress
from gypsumline.core.errors import InvalidInputError
from gypsumline.core.submissions.submission_key import generate_key, parse_key

DEFAULT_TIMEOUT_SECONDS = 30.0
# Longest time that one request asks the entry to wait for the end of the job.
LONG_POLL_TIMEOUT_SECONDS = 20.0
RETRY_DELAY_SECONDS = 0.5

app = typer.Typer(no_args_is_help=True, rich_markup_mode="markdown")

KeyArgument = typing.Annotated[
    str, typer.Argument(metavar="KEY", help="Key that the job was given.")
]
WaitOption = typing.Annotated[
    float,
    typer.Option(
        "--wait",
        min=0,
        max=3600,
        metavar="SECONDS",
        help="How long to wait for the end of the job.",
    ),
]


@app.callback()
def _job() -> None:
    """Submit jobs, ask for their answers and cancel them."""


@app.command()
def submit(  # noqa: PLR0913 - one parameter per option
    file: typing.Annotated[
        str | None,
        typer.Argument(
            metavar="FILE",
            help="JSON body of the job; - reads the standard input.",
        ),
    ] = None,
    service: typing.Annotated[
        str | None, typer.Option(help="Service that runs the tasks.")
    ] = None,
    client: typing.Annotated[
        str, typer.Option(help="Client whose share is used.")
    ] = "default",
    kind: typing.Annotated[
        str | None, typer.Option(help="Kind of the tasks.")
    ] = None,
    payload: typing.Annotated[
        str, typer.Option(metavar="JSON", help="Payload of each task.")
    ] = "null",
    count: typing.Annotated[
        int, typer.Option(min=1, max=10_000, help="Number of tasks.")
    ] = 1,
    run_time: typing.Annotated[
        float,
        typer.Option(min=0, metavar="SECONDS", help="Declared run time."),
    ] = 0.0,
    size: typing.Annotated[
        int, typer.Option(min=0, metavar="BYTES", help="Declared size.")
    ] = 0,
    timeout: typing.Annotated[
        float, typer.Option(metavar="SECONDS", help="Time for the job.")
    ] = DEFAULT_TIMEOUT_SECONDS,
    repeatable: typing.Annotated[
        bool,
        typer.Option(
            "--repeatable",
            help="A job of one task may run again after an unknown outcome.",
        ),
    ] = False,
    key: typing.Annotated[
        str | None,
        typer.Option(help="Key of an earlier submission, to submit it again."),
    ] = None,
    no_wait: typing.Annotated[
        bool,
        typer.Option("--no-wait", help="Do not wait for the end of the job."),
    ] = False,
    entry: EntryOption = None,
    output_format: OutputOption = OutputFormat.TEXT,
) -> None:
    """Submit a job, given as options or as a JSON file, and wait for it.

    If the answer is lost, submit the job again with the same `--key`: it then
    attaches to the job that runs, and no task starts twice.

    For example:

    - `gypsumline job submit --service ordering --kind card --count 8`
    - `gypsumline job submit job.json --output json`
    """
    if file is None:
        task = {
            "kind": _require_option("kind", kind),
            "payload": _parse_json("payload", payload),
            "size": size,
            "run_time": run_time,
        }
        body: Body = {
            "service": _require_option("service", service),
            "client": client,
            "tasks": [task] * count,
            "timeout": timeout,
            "repeatable": repeatable,
        }
    elif service is not None or kind is not None:
        allowed = "either a file or the options --service and --kind"
        raise InvalidInputError("file", file, allowed)
    else:
        body = _read_body(file)
    parsed_key = parse_key(key) if key else generate_key()
    request = Request(
        method="POST",
        path="/v1/jobs",
        headers={"Idempotency-Key": parsed_key},
        body=body,
    )
    wait = 0.0 if no_wait else _wait_seconds(body)
    _report_answer(entry, request, parsed_key, wait, output_format)


@app.command()
def show(
    key: KeyArgument,
    wait: WaitOption = 0.0,
    entry: EntryOption = None,
    output_format: OutputOption = OutputFormat.TEXT,
) -> None:
    """Show the answer of a job.

    Example: `gypsumline job show 0198c5a2-7b1e-7c3a-9f00-2f6d0c1b5a77`
    """
    parsed_key = parse_key(key)
    request = Request(method="GET", path=f"/v1/jobs/{parsed_key}")
    _report_answer(entry, request, parsed_key, wait, output_format)


@app.command()
def cancel(
    key: KeyArgument,
    entry: EntryOption = None,
    output_format: OutputOption = OutputFormat.TEXT,
) -> None:
    """Cancel a job. Tasks that have started run to their end.

    Example: `gypsumline job cancel 0198c5a2-7b1e-7c3a-9f00-2f6d0c1b5a77`
    """
    parsed_key = parse_key(key)
    request = Request(method="DELETE", path=f"/v1/jobs/{parsed_key}")
    answer = asyncio.run(_fetch_answer(entry, request, parsed_key, 0.0))
    output.write_answer(answer, output_format)
    if answer.reason != "cancelled":
        raise typer.Exit(status_of_outcome(answer.outcome))


def _report_answer(
    entry: list[str] | None,
    request: Request,
    key: str,
    wait: float,
    output_format: OutputFormat,
) -> None:
    try:
        answer = asyncio.run(_fetch_answer(entry, request, key, wait))
    except KeyboardInterrupt:
        answer = _unknown_answer(key, "interrupted")
    output.write_answer(answer, output_format)
    raise typer.Exit(status_of_outcome(answer.outcome))


async def _fetch_answer(
    entry: list[str] | None, request: Request, key: str, wait: float
) -> JobAnswer:
    deadline = time.monotonic() + wait
    poll_request = Request(method="GET", path=f"/v1/jobs/{key}")
    async with open_client(parse_urls(entry or [])) as client:
        with show_progress(f"job {key}"):
            answer = await _send_with_retries(client, request, deadline)
            while _is_running(answer) and time.monotonic() < deadline:
                answer = await _send_with_retries(
                    client, poll_request, deadline, maybe_received=True
                )
    return answer


async def _send_with_retries(
    client: EntryClient,
    request: Request,
    deadline: float,
    maybe_received: bool = False,
) -> JobAnswer:
    # Retries are safe, also at another entry: the key makes the request
    # idempotent.
    while True:
        remaining = max(0.0, deadline - time.monotonic())
        wait = min(remaining, LONG_POLL_TIMEOUT_SECONDS)
        query = {} if request.method == "DELETE" else {"wait": f"{wait:.3f}"}
        sent = dataclasses.replace(request, query=query, wait=wait)
        try:
            return parse_answer(JobAnswer, await client.send(sent))
        except NotReachableError as error:
            maybe_received = maybe_received or error.maybe_received
            if not maybe_received:
                raise
            if remaining <= RETRY_DELAY_SECONDS:
                return _unknown_answer(_submission_key(request), str(error))
        await asyncio.sleep(RETRY_DELAY_SECONDS)


def _submission_key(request: Request) -> str:
    return request.headers.get("Idempotency-Key") or request.path.split("/")[-1]


def _unknown_answer(key: str, cause: str) -> JobAnswer:
    detail = f"{cause}; ask with: gypsumline job show {key}"
    return JobAnswer(key=key, outcome="outcome_unknown", detail=detail)


def _is_running(answer: JobAnswer) -> bool:
    return answer.outcome == "running"


def _require_option(name: str, value: str | None) -> str:
    if value is None:
        allowed = f"a value for --{name}, or a file with the whole job"
        raise InvalidInputError(name, None, allowed)
    return value


def _parse_json(name: str, text: str) -> typing.Any:
    try:
        return json.loads(text, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        allowed = "valid JSON"
        raise InvalidInputError(name, text, allowed) from error


def _reject_constant(name: str) -> typing.Any:
    raise ValueError(name)


def _read_body(file: str) -> Body:
    body = _parse_json("file", read_text(file))
    if not isinstance(body, dict):
        raise InvalidInputError("file", body, "a JSON object")
    return body


def _wait_seconds(body: Body) -> float:
    timeout = body.get("timeout")
    if isinstance(timeout, int | float) and 0 < timeout <= 3600:
        return float(timeout)
    return DEFAULT_TIMEOUT_SECONDS
