"""Rendering of results and errors."""

from __future__ import annotations

import json
import typing

import typer

from gypsumline.cli.options import OutputFormat
from gypsumline.cli.settings import EffectiveSetting
from gypsumline.core.errors import InvalidInputGroup


def write_json(value: object) -> None:
    """Writes a value as one JSON text to the standard output."""
    typer.echo(json.dumps(value, indent=2, ensure_ascii=False))


def write_error(text: str) -> None:
    """Writes one line to the standard error."""
    typer.echo(f"error: {text}", err=True)


def write_errors(group: InvalidInputGroup) -> None:
    """Writes each error of a group on a line of its own."""
    for error in group.exceptions:
        write_error(str(error))


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


def write_table(
    header: typing.Sequence[str], rows: typing.Sequence[typing.Sequence[object]]
) -> None:
    """Writes rows in columns that are as wide as their widest cell."""
    cells = [[str(cell) for cell in row] for row in [header, *rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    for row in cells:
        padded = [c.ljust(w) for c, w in zip(row, widths, strict=True)]
        typer.echo("  ".join(padded).rstrip())
