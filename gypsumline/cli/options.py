"""Options of the commands, some of them generated from the settings."""

from __future__ import annotations

import enum
import functools
import inspect
import typing
from collections.abc import Callable

import typer
from pydantic.fields import FieldInfo

from gypsumline.cli.settings import CommonSettings

DEFAULT_ENTRY_URL = "http://127.0.0.1:8080"


class OutputFormat(enum.StrEnum):
    """How results are written to the standard output."""

    TEXT = "text"
    JSON = "json"


OutputOption = typing.Annotated[
    OutputFormat,
    typer.Option(
        "--output",
        envvar="GYPSUMLINE_OUTPUT",
        help="Write results as text for people or as JSON for programs.",
    ),
]

EntryOption = typing.Annotated[
    list[str] | None,
    typer.Option(
        "--entry",
        envvar="GYPSUMLINE_ENTRY",
        metavar="URL",
        help="Base URL of an entry; give several to have the next one tried. "
        f"Default: {DEFAULT_ENTRY_URL}.",
    ),
]


def setting_options(
    *models: type[CommonSettings],
) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Returns a decorator that adds an option for each setting of the models.

    The decorated function receives, as its first argument, a dictionary of the
    options that were given, by setting name. Its own options follow as keyword
    arguments. Values stay text and are validated by the settings, so that all
    errors are reported together.
    """
    fields: dict[str, FieldInfo] = {}
    for model in models:
        fields.update(model.model_fields)

    def decorate(function: Callable[..., None]) -> Callable[..., None]:
        own_parameters = list(
            inspect.signature(function, eval_str=True).parameters.values()
        )
        parameters = own_parameters[1:] + [
            _option(n, f) for n, f in fields.items()
        ]

        @functools.wraps(function)
        def command(**arguments: typing.Any) -> None:
            given = {name: arguments.pop(name) for name in fields}
            flags = {k: v for k, v in given.items() if v is not None}
            function(flags, **arguments)

        signature = inspect.Signature(
            [p.replace(kind=inspect.Parameter.KEYWORD_ONLY) for p in parameters]
        )
        command.__signature__ = signature  # type: ignore[attr-defined]
        command.__annotations__ = {p.name: p.annotation for p in parameters}
        del command.__wrapped__
        return command

    return decorate


def _option(name: str, field: FieldInfo) -> inspect.Parameter:
    extra = typing.cast(dict[str, str], field.json_schema_extra)
    option = typer.Option(
        "--" + name.replace("_", "-"),
        help=f"{field.description} {_default_text(field)}",
        metavar=extra["unit"],
        rich_help_panel=extra["group"],
        show_default=False,
    )
    annotation = typing.Annotated[str | None, option]
    kind = inspect.Parameter.KEYWORD_ONLY
    return inspect.Parameter(name, kind, default=None, annotation=annotation)


def _default_text(field: FieldInfo) -> str:
    if field.is_required():
        return "Required."
    if field.default == ():
        return "Default: none."
    return f"Default: {field.default}."
