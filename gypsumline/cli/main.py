"""The `gypsumline` command."""

from __future__ import annotations

import asyncio
import importlib
import sys
import typing

import typer

import gypsumline
from gypsumline.cli import config_commands, job_commands, output
from gypsumline.cli.answers import (
    StatusAnswer,
    UnexpectedAnswerError,
    parse_answer,
)
from gypsumline.cli.client import (
    NotReachableError,
    ProblemError,
    Request,
    Response,
    open_client,
    parse_urls,
)
from gypsumline.cli.exit_status import ExitStatus, status_of_problem
from gypsumline.cli.options import (
    EntryOption,
    OutputFormat,
    OutputOption,
    setting_options,
)
from gypsumline.cli.settings import (
    SETTINGS_BY_ROLE,
    AgentSettings,
    EntrySettings,
    effective_settings,
    load_settings,
    setting_errors,
)
from gypsumline.core.errors import InvalidInputError, InvalidInputGroup
from gypsumline.core.identity import Role

app = typer.Typer(
    name="gypsumline",
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode="markdown",
    pretty_exceptions_enable=False,
)
app.add_typer(config_commands.app, name="config")
app.add_typer(job_commands.app, name="job")


def main() -> None:
    """Runs the command line and exits with the status of the command."""
    try:
        app(prog_name="gypsumline")
    except (InvalidInputError, InvalidInputGroup) as error:
        output.write_input_errors(error)
        sys.exit(ExitStatus.BAD_INPUT)
    except ProblemError as error:
        output.write_problem(error)
        sys.exit(status_of_problem(error.status))
    except UnexpectedAnswerError as error:
        output.write_error(str(error))
        sys.exit(ExitStatus.UNKNOWN)
    except NotReachableError as error:
        output.write_error(str(error))
        sys.exit(ExitStatus.NOT_REACHABLE)


def _show_version(wanted: bool) -> None:
    if wanted:
        typer.echo(f"gypsumline {gypsumline.__version__}")
        raise typer.Exit


@app.callback()
def _root(
    version: typing.Annotated[
        bool,
        typer.Option(
            "--version",
            help="Show the version and exit.",
            is_eager=True,
            callback=_show_version,
        ),
    ] = False,
) -> None:
    """Dispatch sub-second tasks to the executors of a service.

    A local system for a first look: `make run`. Then, with the entry at
    http://127.0.0.1:8080:

    - `gypsumline status`
    - `gypsumline job submit --service ordering --kind card`
    - `gypsumline config show`

    Each command explains itself: `gypsumline COMMAND --help`.
    """


@app.command()
@setting_options(EntrySettings)
def entry(flags: dict[str, str]) -> None:
    """Run an entry: HTTP for callers and operators, owner of submissions.

    Each option can also be given as the environment variable
    `GYPSUMLINE_` and its name, as in `GYPSUMLINE_TABLE_URL`. A flag wins over
    the variable.

    Example: `gypsumline entry --member-id entry-1 --availability-zone piraeus
    --host 127.0.0.1 --table-url http://127.0.0.1:9000`
    """
    settings = load_settings(EntrySettings, flags)
    _run_process("gypsumline.entry.process", "run_entry", settings)


@app.command()
@setting_options(AgentSettings)
def agent(flags: dict[str, str]) -> None:
    """Run an agent: the process beside each executor that starts its tasks.

    Each option can also be given as the environment variable
    `GYPSUMLINE_` and its name, as in `GYPSUMLINE_PEERS`. A flag wins over the
    variable.

    Example: `gypsumline agent --member-id agent-1 --availability-zone piraeus
    --host 127.0.0.1 --peers 127.0.0.1:7400`
    """
    settings = load_settings(AgentSettings, flags)
    _run_process("gypsumline.agent.process", "run_agent", settings)


@app.command()
@setting_options(EntrySettings, AgentSettings)
def settings(
    flags: dict[str, str],
    role: typing.Annotated[
        Role, typer.Option("--role", help="Whose settings: entry or agent.")
    ],
    output_format: OutputOption = OutputFormat.TEXT,
) -> None:
    """Show each setting, its value and where the value comes from.

    The values are checked as at the start of the process, and all errors are
    shown.

    Example: `gypsumline settings --role entry --evidence-ttl 1.5`
    """
    model = SETTINGS_BY_ROLE[role]
    role_flags = {k: v for k, v in flags.items() if k in model.model_fields}
    errors = setting_errors(model, role_flags)
    for name in flags.keys() - role_flags.keys():
        allowed = f"only the settings of the role {role}"
        errors.append(InvalidInputError(name, flags[name], allowed))
    output.write_settings(effective_settings(model, role_flags), output_format)
    if errors:
        raise InvalidInputGroup("settings", errors)


@app.command()
def status(
    entry: EntryOption = None, output_format: OutputOption = OutputFormat.TEXT
) -> None:
    """Show the entries, agents and availability zones as an entry sees them.

    Example: `gypsumline status --entry http://127.0.0.1:8080`
    """

    async def send() -> Response:
        async with open_client(parse_urls(entry or [])) as client:
            return await client.send(Request(method="GET", path="/v1/status"))

    answer = parse_answer(StatusAnswer, asyncio.run(send()))
    output.write_status(answer, output_format)


def _run_process(
    module_name: str, function_name: str, settings: object
) -> None:
    # Imported here and not at the top so that client commands start quickly.
    module = importlib.import_module(module_name)
    status = getattr(module, function_name)(settings)
    raise typer.Exit(status or 0)
