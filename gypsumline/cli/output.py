"""Rendering of results and errors."""

from __future__ import annotations

import datetime
import json
import typing
from collections.abc import Iterable, Sequence

import typer

from gypsumline.cli.client import Body, ProblemError
from gypsumline.cli.options import OutputFormat
from gypsumline.cli.settings import EffectiveSetting
from gypsumline.core.configuration_text import with_base_version
from gypsumline.core.errors import InvalidInputError, InvalidInputGroup

_SHOWN_VALUE_CHARACTERS = 60


def write_json(value: object) -> None:
    """Writes a value as one JSON text to the standard output."""
    typer.echo(json.dumps(value, indent=2, ensure_ascii=False))


def write_error(text: str) -> None:
    """Writes one line to the standard error."""
    typer.echo(f"error: {text}", err=True)


def write_errors(errors: Iterable[Exception]) -> None:
    """Writes each error on a line of its own."""
    for error in errors:
        write_error(str(error))


def write_problem(error: ProblemError) -> None:
    """Writes each error in a problem of an entry, or its title."""
    items = error.problem.get("errors")
    if not isinstance(items, list) or not items:
        write_error(str(error))
        return
    for item in items:
        line = item.get("line")
        place = f"line {line}: " if line is not None else ""
        write_error(
            f"{place}{item.get('field')} is {item.get('given')}; "
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
    """Writes the settings with their values and origins."""
    if output_format is OutputFormat.JSON:
        write_json(
            {s.name: {"value": s.value, "origin": s.origin} for s in settings}
        )
        return
    rows = [(s.name, s.value or "-", s.origin.value) for s in settings]
    write_table(("setting", "value", "from"), rows)


def write_answer(answer: Body, output_format: OutputFormat) -> None:
    """Writes the answer to a job."""
    if output_format is OutputFormat.JSON:
        write_json(answer)
        return
    typer.echo(f"key      {answer.get('key')}")
    typer.echo(f"outcome  {answer.get('outcome')}")
    for name in ("reason", "detail"):
        if answer.get(name):
            typer.echo(f"{name.ljust(7)}  {answer[name]}")
    if answer.get("retry_after"):
        typer.echo(
            f"retry    with a new key after {answer['retry_after']:.1f} s"
        )
    results = answer.get("results") or []
    if results:
        rows = [
            (r.get("index"), f"{r.get('run_time', 0):.3f}", _short(r))
            for r in results
        ]
        write_table(("task", "run time (s)", "value"), rows)


def write_change(outcome: Body, output_format: OutputFormat) -> None:
    """Writes the outcome of a change of the configuration."""
    if output_format is OutputFormat.JSON:
        write_json(outcome)
        return
    match outcome["kind"]:
        case "accepted":
            typer.echo(f"accepted as version {outcome['version']}")
        case "refused":
            _write_refusal(outcome)
        case _:
            token = outcome["write_token"]
            typer.echo(
                f"outcome unknown: {outcome.get('detail') or 'no answer'}"
            )
            typer.echo(f"ask with: gypsumline config show --token {token}")


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


def write_configuration(row: Body, output_format: OutputFormat) -> None:
    """Writes a configuration: its text alone goes to the standard output."""
    if output_format is OutputFormat.JSON:
        write_json(row)
        return
    typer.echo(
        f"version {row['version']}, {_time(row.get('written_at'))}, "
        f"{row.get('author')}: {row.get('note')}",
        err=True,
    )
    text = with_base_version(row["text"], int(row["version"]))
    typer.echo(text, nl=not text.endswith("\n"))


def write_history(body: Body, output_format: OutputFormat) -> None:
    """Writes the versions, newest first."""
    if output_format is OutputFormat.JSON:
        write_json(body)
        return
    _write_versions(body.get("versions") or [])


def write_status(body: Body, output_format: OutputFormat) -> None:
    """Writes the state of the system as one entry knows it."""
    if output_format is OutputFormat.JSON:
        write_json(body)
        return
    fresh = "fresh" if body.get("fresh") else "NOT FRESH: starts nothing new"
    typer.echo(
        f"entry {body.get('entry')}: revision {body.get('revision')}, "
        f"configuration version {body.get('configuration_version')}, "
        f"evidence {fresh}"
    )
    typer.echo(f"voters: {', '.join(body.get('voters') or []) or '-'}")
    _write_items(body, "availability_zones", ("name", "out", "slots", "agents"))
    _write_items(
        body,
        "entries",
        ("member_id", "availability_zone", "revision", "alive", "leaving"),
    )
    _write_items(
        body,
        "agents",
        ("agent_id", "availability_zone", "upstream_id", "service", "slots")
        + ("free", "queued", "revision", "state", "out"),
    )


def write_table(
    header: Sequence[str], rows: Sequence[Sequence[object]]
) -> None:
    """Writes rows in columns that are as wide as their widest cell."""
    cells = [[_cell(cell) for cell in row] for row in [header, *rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    for row in cells:
        padded = [c.ljust(w) for c, w in zip(row, widths, strict=True)]
        typer.echo("  ".join(padded).rstrip())


def _write_refusal(outcome: Body) -> None:
    typer.echo(
        "refused, not in force; the newest version is "
        f"{outcome['version']}: {outcome.get('detail') or 'it changed'}"
    )
    if outcome.get("between"):
        typer.echo("accepted in between:")
        _write_versions(outcome["between"])
    if outcome.get("diff"):
        typer.echo(str(outcome["diff"]).rstrip("\n"))


def _write_versions(versions: list[Body]) -> None:
    rows = [
        (
            version.get("version"),
            _time(version.get("written_at")),
            version.get("author"),
            version.get("note"),
        )
        for version in versions
    ]
    write_table(("version", "written at", "author", "note"), rows)


def _write_items(body: Body, name: str, columns: Sequence[str]) -> None:
    items: typing.Any = body.get(name) or []
    typer.echo(f"\n{name.replace('_', ' ')}: {len(items)}")
    if items:
        rows = [[item.get(column) for column in columns] for item in items]
        write_table([c.replace("_", " ") for c in columns], rows)


def _cell(value: object) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    # Control characters in a note or name could rewrite the terminal.
    return "".join(c if c.isprintable() else "?" for c in str(value))


def _short(result: Body) -> str:
    text = json.dumps(result.get("value"), ensure_ascii=False)
    if len(text) > _SHOWN_VALUE_CHARACTERS:
        return text[:_SHOWN_VALUE_CHARACTERS] + "..."
    return text


def _time(seconds: object) -> str:
    if not isinstance(seconds, int | float):
        return "-"
    time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return time.strftime("%Y-%m-%d %H:%M:%SZ")


def write_input_errors(error: InvalidInputError | InvalidInputGroup) -> None:
    """Writes one invalid input or a group of them."""
    if isinstance(error, InvalidInputGroup):
        write_errors(error.exceptions)
    else:
        write_error(str(error))
