"""Commands of `gypsumline config`."""

from __future__ import annotations

import asyncio
import getpass
import typing
import uuid
from pathlib import Path

import typer

from gypsumline.cli import output
from gypsumline.cli.answers import (
    ChangeAnswer,
    ConfigurationAnswer,
    HistoryAnswer,
    UnexpectedAnswerError,
    parse_answer,
)
from gypsumline.cli.client import (
    Body,
    NotReachableError,
    ProblemError,
    Request,
    Response,
    open_client,
    parse_urls,
)
from gypsumline.cli.exit_status import ExitStatus
from gypsumline.cli.files import read_text
from gypsumline.cli.options import EntryOption, OutputFormat, OutputOption
from gypsumline.cli.rollout import (
    wait_until_in_force,
    warnings_for_unknown_names,
)
from gypsumline.core.configuration_text import (
    base_version_of,
    diff_texts,
    parse_configuration,
    with_base_version,
    without_base_version,
)
from gypsumline.core.errors import InvalidInputError

CONFIGURATION_PATH = "/v1/configuration"
# The entry responds to a change only after a majority of the voters has
# accepted it; see `stop_limit`.
CHANGE_TIMEOUT_SECONDS = 30.0
_NOT_FOUND = 404
_SERVER_ERROR_MIN = 500

app = typer.Typer(no_args_is_help=True, rich_markup_mode="markdown")

FileArgument = typing.Annotated[
    str,
    typer.Argument(
        metavar="FILE",
        help="The operators' text; - reads the standard input.",
    ),
]


@app.callback()
def _config() -> None:
    """Check, apply and look at the operators' configuration."""


@app.command()
def check(
    file: FileArgument,
    offline: typing.Annotated[
        bool,
        typer.Option("--offline", help="Check here, without asking an entry."),
    ] = False,
    entry: EntryOption = None,
    output_format: OutputOption = OutputFormat.TEXT,
) -> None:
    """Check a text and show all its errors, without applying it.

    Example: `gypsumline config check configuration.yaml`
    """
    text = read_text(file)
    parsed = parse_configuration(text)
    warnings: list[str] = []
    if not offline:
        request = Request(
            method="POST",
            path=f"{CONFIGURATION_PATH}/check",
            body={"text": text},
        )
        _send(entry, request)
        warnings = asyncio.run(
            warnings_for_unknown_names(_entry_urls(entry), parsed)
        )
    output.write_warnings(warnings)
    output.write_result("valid", {"valid": True}, output_format)


@app.command()
def apply(  # noqa: PLR0913 - one parameter per option
    file: FileArgument,
    note: typing.Annotated[
        str, typer.Option(help="Why; other operators see it.")
    ],
    author: typing.Annotated[
        str | None, typer.Option(help="Who asks. Default: the login name.")
    ] = None,
    base: typing.Annotated[
        int | None,
        typer.Option(
            min=0,
            metavar="N",
            help="Version that the text was edited from; 0 for the first. "
            "Default: what config show --save wrote in the first line.",
        ),
    ] = None,
    wait: typing.Annotated[
        bool,
        typer.Option("--wait", help="Wait until it is in force everywhere."),
    ] = False,
    wait_limit: typing.Annotated[
        float,
        typer.Option(min=0, metavar="SECONDS", help="Longest time to wait."),
    ] = 30.0,
    entry: EntryOption = None,
    output_format: OutputOption = OutputFormat.TEXT,
) -> None:
    """Apply a text as the next version.

    It is accepted as a version; or refused, with what came between and by
    whom, if another version was accepted since the text was fetched; or its
    outcome is unknown, with the token to ask by.

    For example:

    - `gypsumline config show --save configuration.yaml`
    - edit the file
    - `gypsumline config apply configuration.yaml --note "marousi is back"
      --wait`
    """
    given = read_text(file)
    # The whole file is parsed, base version line included, so that line numbers
    # in errors match the file.
    parsed = parse_configuration(given)
    text = without_base_version(given)
    body: Body = {
        "base_version": _resolve_base_version(given, base),
        "text": text,
        "author": author or _login_name(),
        "note": note,
        "write_token": uuid.uuid4().hex,
    }
    output.write_warnings(
        asyncio.run(warnings_for_unknown_names(_entry_urls(entry), parsed))
    )
    outcome = _send_change(entry, body)
    output.write_change(outcome, output_format)
    if outcome.kind == "refused":
        raise typer.Exit(ExitStatus.REFUSED)
    if outcome.kind != "accepted":
        raise typer.Exit(ExitStatus.UNKNOWN)
    if wait:
        version = outcome.version
        missing = asyncio.run(
            wait_until_in_force(_entry_urls(entry), version, wait_limit)
        )
        output.write_rollout(version, missing, output_format)
        if missing:
            raise typer.Exit(ExitStatus.UNKNOWN)


@app.command()
def show(
    version: typing.Annotated[
        int | None,
        typer.Option(
            "--version", min=0, metavar="N", help="Default: the newest."
        ),
    ] = None,
    token: typing.Annotated[
        str | None,
        typer.Option(help="Find the version by the token of its write."),
    ] = None,
    save: typing.Annotated[
        str | None,
        typer.Option(
            metavar="FILE", help="Write the text there, ready to be edited."
        ),
    ] = None,
    entry: EntryOption = None,
    output_format: OutputOption = OutputFormat.TEXT,
) -> None:
    """Show the configuration in force, or another version.

    The text starts with the line `# gypsumline: base version N`, which
    `config apply` reads.

    For example:

    - `gypsumline config show --save configuration.yaml`
    - `gypsumline config show --version 12`
    """
    configuration = _fetch_configuration(entry, version, token)
    if configuration is None:
        output.write_error(
            f"no version has the write token {token} so far; ask again in a "
            "few seconds"
        )
        raise typer.Exit(ExitStatus.UNKNOWN)
    if save is not None:
        _write_file(
            save, with_base_version(configuration.text, configuration.version)
        )
        output.write_result(
            f"version {configuration.version} saved in {save}",
            {"version": configuration.version, "file": save},
            output_format,
        )
        return
    output.write_configuration(configuration, output_format)


@app.command()
def history(
    entry: EntryOption = None, output_format: OutputOption = OutputFormat.TEXT
) -> None:
    """Show the versions with their time, author and note, newest first."""
    request = Request(method="GET", path=f"{CONFIGURATION_PATH}/history")
    versions = parse_answer(HistoryAnswer, _send(entry, request))
    output.write_history(versions, output_format)


@app.command()
def diff(
    file: typing.Annotated[
        str | None,
        typer.Argument(
            metavar="FILE", help="Text to compare; default: the newest."
        ),
    ] = None,
    old: typing.Annotated[
        int | None,
        typer.Option(
            "--from",
            min=0,
            metavar="N",
            help="Version to compare with. Default: the newest, or the one "
            "before it if there is no file.",
        ),
    ] = None,
    new: typing.Annotated[
        int | None,
        typer.Option("--to", min=0, metavar="N", help="Version to compare."),
    ] = None,
    entry: EntryOption = None,
    output_format: OutputOption = OutputFormat.TEXT,
) -> None:
    """Show the difference between two versions, or of a file to a version.

    For example:

    - `gypsumline config diff configuration.yaml`
    - `gypsumline config diff --from 11 --to 12`
    """
    if file is not None and new is not None:
        raise InvalidInputError("to", new, "no --to together with a file")
    if file is not None:
        after, after_name = without_base_version(read_text(file)), file
        before, before_name = _text_and_label(_fetch_configuration(entry, old))
    else:
        newest = _fetch_configuration(entry, new)
        after, after_name = _text_and_label(newest)
        previous = newest.version - 1 if newest else 0
        base = _fetch_configuration(entry, previous if old is None else old)
        before, before_name = _text_and_label(base)
    difference = diff_texts(before, after, before_name, after_name)
    output.write_result(
        difference.rstrip("\n") or "no difference",
        {"diff": difference},
        output_format,
    )


def _entry_urls(entry: list[str] | None) -> list[str]:
    return parse_urls(entry or [])


def _send(entry: list[str] | None, request: Request) -> Response:
    async def send() -> Response:
        async with open_client(_entry_urls(entry)) as client:
            return await client.send(request)

    return asyncio.run(send())


def _send_change(entry: list[str] | None, body: Body) -> ChangeAnswer:
    request = Request(
        method="PUT",
        path=CONFIGURATION_PATH,
        body=body,
        wait=CHANGE_TIMEOUT_SECONDS,
        # If the response is lost after the change was accepted, a retry would
        # be refused because the base version is outdated.
        is_retryable=False,
    )
    try:
        response = _send(entry, request)
        answer = parse_answer(ChangeAnswer, response)
    except NotReachableError as error:
        if not error.maybe_received:
            raise
        return _unknown_outcome(body, str(error))
    except ProblemError as error:
        if error.status < _SERVER_ERROR_MIN:
            raise
        return _unknown_outcome(body, str(error))
    except UnexpectedAnswerError as error:
        return _unknown_outcome(body, str(error))
    except KeyboardInterrupt:
        return _unknown_outcome(body, "interrupted")
    if answer.kind == "unknown":
        return _unknown_outcome(body, answer.detail)
    if answer.kind == "refused":
        return _find_accepted_change(entry, body) or answer
    return answer


def _find_accepted_change(
    entry: list[str] | None, body: Body
) -> ChangeAnswer | None:
    # A load balancer may send a PUT twice. The second one is refused if the
    # first one was accepted.
    token = str(body["write_token"])
    try:
        configuration = _fetch_configuration(entry, None, token)
    except (NotReachableError, ProblemError, UnexpectedAnswerError):
        return None
    if configuration is None or configuration.write_token != token:
        return None
    return ChangeAnswer(kind="accepted", version=configuration.version)


def _unknown_outcome(body: Body, detail: str) -> ChangeAnswer:
    token = str(body["write_token"])
    return ChangeAnswer(kind="unknown", write_token=token, detail=detail)


def _fetch_configuration(
    entry: list[str] | None, version: int | None, token: str | None = None
) -> ConfigurationAnswer | None:
    if version is not None and token is not None:
        raise InvalidInputError("token", token, "either a version or a token")
    query = {}
    if version is not None:
        query["version"] = str(version)
    if token is not None:
        query["token"] = token
    request = Request(method="GET", path=CONFIGURATION_PATH, query=query)
    try:
        response = _send(entry, request)
    except ProblemError as error:
        if error.status == _NOT_FOUND and token is not None:
            return None
        raise
    return parse_answer(ConfigurationAnswer, response)


def _text_and_label(
    configuration: ConfigurationAnswer | None,
) -> tuple[str, str]:
    if configuration is None:
        return "", "nothing"
    return configuration.text, f"version {configuration.version}"


def _resolve_base_version(text: str, base: int | None) -> int:
    found = base if base is not None else base_version_of(text)
    if found is None:
        allowed = (
            "a version number; give --base N, or edit a text that "
            "config show --save has written"
        )
        raise InvalidInputError("base", None, allowed)
    return found


def _login_name() -> str:
    # Without a login name `getuser` raises KeyError, or OSError from Python
    # 3.13.
    try:
        return getpass.getuser()
    except (KeyError, OSError, ImportError) as error:
        allowed = "a name; the login name is not known, give --author"
        raise InvalidInputError("author", None, allowed) from error


def _write_file(file: str, text: str) -> None:
    try:
        Path(file).write_bytes(text.encode())
    except OSError as error:
        allowed = f"a file that can be written ({error})"
        raise InvalidInputError("save", file, allowed) from error
