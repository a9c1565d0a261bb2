"""Writes results and errors of the commands."""

from __future__ import annotations

import datetime
import json
from collections.abc import Iterable, Sequence

import typer

from gypsumline.cli.answers import (
    AgentAnswer,
    AnswerModel,
    ChangeAnswer,
    ConfigurationAnswer,
    EntryAnswer,
    HistoryAnswer,
    JobAnswer,
    StatusAnswer,
    VersionAnswer,
    ZoneAnswer,
)
from gypsumline.cli.client import Body, ProblemError
from gypsumline.cli.options import OutputFormat
from gypsumline.cli.setting_values import EffectiveSetting
from gypsumline.core.configuration_text import with_base_version
from gypsumline.core.errors import InvalidInputError, InvalidInputGroup

_SHOWN_VALUE_CHARACTERS = 60


def write_json(value: object) -> None:
    """Writes a value as one JSON text to the standard output."""
    typer.echo(json.dumps(value, indent=2, ensure_ascii=False))


def write_error(text: str) -> None:
    """Writes one error as a line to the standard error."""
    typer.echo(f"error: {text}", err=True)


def write_errors(errors: Iterable[Exception]) -> None:
    """Writes each error as a separate line to the standard error."""
    for error in errors:
        write_error(str(error))


def write_problem(error: ProblemError) -> None:
    """Writes the errors that a problem response lists, or its title."""
    items = error.problem.get("errors")
    if not isinstance(items, list) or not items:
        write_error(str(error))
        return
    for item in items:
        line = item.get("line")
        location = f"line {line}: " if line is not None else ""
        write_error(
            f"{location}{item.get('field')} is {item.get('given')}; "
            f"allowed: {item.get('allowed')}"
        )


def write_warnings(warnings: Iterable[str]) -> None:
    """Writes each warning as a line to the standard error."""
    for warning in warnings:
        typer.echo(f"warning: {warning}", err=True)


def write_result(text: str, value: Body, output_format: OutputFormat) -> None:
    """Writes one result as text or as JSON."""
    if output_format is OutputFormat.JSON:
        write_json(value)
    else:
        typer.echo(text)


def write_settings(
    settings: list[EffectiveSetting], output_format: OutputFormat
) -> None:
    """Writes the settings with their values and where those come from."""
    if output_format is OutputFormat.JSON:
        write_json(
            {s.name: {"value": s.value, "origin": s.origin} for s in settings}
        )
        return
    rows = [(s.name, s.value or "-", s.origin.value) for s in settings]
    write_table(("setting", "value", "from"), rows)


def write_answer(answer: JobAnswer, output_format: OutputFormat) -> None:
    """Writes the answer to a job."""
    if output_format is OutputFormat.JSON:
        write_json(answer.model_dump())
        return
    typer.echo(f"key      {answer.key}")
    typer.echo(f"outcome  {answer.outcome}")
    if answer.reason:
        typer.echo(f"reason   {answer.reason}")
    if answer.detail:
        typer.echo(f"detail   {answer.detail}")
    if answer.retry_after > 0:
        typer.echo(f"retry    with a new key after {answer.retry_after:.1f} s")
    if answer.results:
        rows = [
            (result.index, f"{result.run_time:.3f}", _abbreviate(result.value))
            for result in answer.results
        ]
        write_table(("task", "run time (s)", "value"), rows)


def write_change(outcome: ChangeAnswer, output_format: OutputFormat) -> None:
    """Writes the outcome of a change of the configuration."""
    if output_format is OutputFormat.JSON:
        write_json(outcome.model_dump())
        return
    match outcome.kind:
        case "accepted":
            typer.echo(f"accepted as version {outcome.version}")
        case "refused":
            _write_refusal(outcome)
        case "unknown":
            typer.echo(f"outcome unknown: {outcome.detail or 'no answer'}")
            typer.echo(
                "ask with: gypsumline config show --token "
                f"{outcome.write_token}"
            )


def write_rollout(
    version: int, missing: list[str], output_format: OutputFormat
) -> None:
    """Writes whether a version is in force everywhere."""
    if output_format is OutputFormat.JSON:
        write_json({"version": version, "missing": missing})
    elif not missing:
        typer.echo(f"version {version} is in force everywhere")
    else:
        typer.echo(f"version {version} is not known to be in force at:")
        for name in missing:
            typer.echo(f"  {name}")


def write_configuration(
    configuration: ConfigurationAnswer, output_format: OutputFormat
) -> None:
    """Writes a configuration.

    In text format its metadata goes to the standard error, so that the standard
    output holds only the configuration text.
    """
    if output_format is OutputFormat.JSON:
        write_json(configuration.model_dump())
        return
    typer.echo(
        f"version {configuration.version}, "
        f"{_format_time(configuration.written_at)}, "
        f"{_format_cell(configuration.author)}: "
        f"{_format_cell(configuration.note)}",
        err=True,
    )
    text = with_base_version(configuration.text, configuration.version)
    typer.echo(text, nl=not text.endswith("\n"))


def write_history(body: HistoryAnswer, output_format: OutputFormat) -> None:
    """Writes the versions, newest first."""
    if output_format is OutputFormat.JSON:
        write_json(body.model_dump())
        return
    _write_versions(body.versions)


def write_status(body: StatusAnswer, output_format: OutputFormat) -> None:
    """Writes the state of the system as seen by one entry."""
    if output_format is OutputFormat.JSON:
        write_json(body.model_dump())
        return
    fresh = "fresh" if body.fresh else "NOT FRESH: starts nothing new"
    typer.echo(
        f"entry {body.entry}: revision {body.revision}, "
        f"configuration version {body.configuration_version}, "
        f"evidence {fresh}"
    )
    typer.echo(f"voters: {', '.join(body.voters) or '-'}")
    _write_items("availability zones", ZoneAnswer, body.availability_zones)
    _write_items("entries", EntryAnswer, body.entries)
    _write_items("agents", AgentAnswer, body.agents)


def write_table(
    header: Sequence[str], rows: Sequence[Sequence[object]]
) -> None:
    """Writes a table; each column is as wide as its widest cell."""
    cells = [[_format_cell(cell) for cell in row] for row in [header, *rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    for row in cells:
        padded = [c.ljust(w) for c, w in zip(row, widths, strict=True)]
        typer.echo("  ".join(padded).rstrip())


def _write_refusal(outcome: ChangeAnswer) -> None:
    typer.echo(
        "refused, not in force; the newest version is "
        f"{outcome.version}: {outcome.detail or 'it changed'}"
    )
    if outcome.between:
        typer.echo("accepted in between:")
        _write_versions(outcome.between)
    if outcome.diff:
        typer.echo(outcome.diff.rstrip("\n"))


def _write_versions(versions: list[VersionAnswer]) -> None:
    rows = [
        (v.version, _format_time(v.written_at), v.author, v.note)
        for v in versions
    ]
    write_table(("version", "written at", "author", "note"), rows)


def _write_items(
    title: str, model: type[AnswerModel], items: Sequence[AnswerModel]
) -> None:
    typer.echo(f"\n{title}: {len(items)}")
    if items:
        columns = list(model.model_fields)
        rows = [[getattr(item, name) for name in columns] for item in items]
        write_table([name.replace("_", " ") for name in columns], rows)


def _format_cell(value: object) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    # Control characters in a note or name could send escape sequences to the
    # terminal.
    return "".join(c if c.isprintable() else "?" for c in str(value))


def _abbreviate(value: object) -> str:
    text = json.dumps(value, ensure_ascii=False)
    if len(text) > _SHOWN_VALUE_CHARACTERS:
        return text[:_SHOWN_VALUE_CHARACTERS] + "..."
    return text


def _format_time(seconds: float) -> str:
    try:
        time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return str(seconds)
    return time.strftime("%Y-%m-%d %H:%M:%SZ")


def write_input_errors(error: InvalidInputError | InvalidInputGroup) -> None:
    """Writes one invalid input error or each error of a group."""
    if isinstance(error, InvalidInputGroup):
        write_errors(error.exceptions)
    else:
        write_error(str(error))
