"""Collects the names that leave a process, from the code.

`python -m gypsumline.tests.outside_names --write` writes them to the file that
`test_outside_names.py` compares them with. `--words` prints them one a line.
"""

from __future__ import annotations

import ast
import dataclasses
import enum
import importlib
import pathlib
import pkgutil
import re
import sys
import tomllib
import typing
from collections.abc import Iterator

import click
import msgspec
import prometheus_client
import pydantic
import pydantic.fields
import typer.main

import gypsumline
from gypsumline.core.leases.effects import OrderAnswer
from gypsumline.core.message import MESSAGE_TYPES

ROOT = pathlib.Path(__file__).parents[2]
KEPT_NAMES = pathlib.Path(__file__).parent / "data" / "outside_names.txt"

_PACKAGE = ROOT / "gypsumline"
# Pages whose readers search the logs for what the pages quote.
_PAGES = ("docs/OPERATIONS.md", "docs/platform.md")
# Text without spaces: a key, a value, a path, a header or a file name.
_WORD = re.compile(r"[\w.\-/:{}]*[A-Za-z][\w.\-/:{}]*")


def collect() -> list[str]:
    """Returns one line for each name, its kind first, in order."""
    for module in pkgutil.walk_packages([str(_PACKAGE)], "gypsumline."):
        is_script = module.name.endswith("__main__")
        if _is_product_module(module.name) and not is_script:
            importlib.import_module(module.name)
    found = {
        *_messages(),
        *_models(),
        *_enums(),
        *_exceptions(),
        *_settings_classes(),
        *_metrics(),
        *_options(),
        *_charts(),
        *_deploy_file(),
        *_source_names(),
        *(f"public name: {name}" for name in gypsumline.__all__),
    }
    return sorted(found)


def words(lines: list[str]) -> list[str]:
    """Returns the single names in lines of `collect`, without their kind."""
    found: set[str] = set()
    for line in lines:
        kind, _, text = line.partition(": ")
        whole = kind.endswith("text")
        found.update([text] if whole else text.split())
    return sorted(found)


def _is_product_module(name: str) -> bool:
    is_test = name.startswith("gypsumline.tests")
    return name.startswith("gypsumline.") and not is_test


def _messages() -> Iterator[str]:
    for name, message_type in MESSAGE_TYPES.items():
        yield f"message: {name}"
        yield from _fields_of(name, message_type)


def _fields_of(path: str, data_class: type) -> Iterator[str]:
    """Yields the fields of a data class and of those that it holds."""
    hints = typing.get_type_hints(data_class)
    for field in dataclasses.fields(data_class):
        yield f"message field: {path}.{field.name}"
        for held in _types_in(hints[field.name]):
            if dataclasses.is_dataclass(held):
                yield from _fields_of(f"{path}.{field.name}", held)


def _types_in(hint: object) -> Iterator[type]:
    if isinstance(hint, type):
        yield hint
    for argument in typing.get_args(hint):
        yield from _types_in(argument)


def _models() -> Iterator[str]:
    """Yields the fields of each validated model; class names stay inside."""
    for model in _subclasses(pydantic.BaseModel):
        fields = typing.cast(type[pydantic.BaseModel], model).model_fields
        names = [field.alias or name for name, field in fields.items()]
        if names:
            yield f"model fields: {' '.join(names)}"
        for name, field in fields.items():
            yield from _setting_texts(name, field)
    for model in _subclasses(msgspec.Struct):
        encoded = [field.encode_name for field in msgspec.structs.fields(model)]
        if encoded:
            yield f"model fields: {' '.join(encoded)}"


def _setting_texts(
    name: str, field: pydantic.fields.FieldInfo
) -> Iterator[str]:
    if field.description:
        yield f"setting text: {field.description}"
    if isinstance(field.json_schema_extra, dict):
        for value in field.json_schema_extra.values():
            yield f"setting text: {value}"
        yield f"environment variable: GYPSUMLINE_{name.upper()}"


def _enums() -> Iterator[str]:
    for kind in (enum.StrEnum, enum.IntEnum):
        for members in _subclasses(kind):
            values = [str(member.value) for member in members]
            yield f"enum values: {' '.join(values)}"
    # A label of a metric takes the names of its members.
    names = [member.name for member in OrderAnswer]
    yield f"enum names: {' '.join(names)}"


def _exceptions() -> Iterator[str]:
    """Yields the error types, which labels and log lines name."""
    for cls in _subclasses(Exception):
        yield f"error type: {cls.__name__}"


def _settings_classes() -> Iterator[str]:
    """Yields the fields of settings, which errors and log lines name."""
    for module in list(sys.modules.values()):
        if not _is_product_module(module.__name__):
            continue
        for cls in vars(module).values():
            is_class = isinstance(cls, type) and dataclasses.is_dataclass(cls)
            if is_class and cls.__name__.endswith(("Settings", "Bounds")):
                names = [field.name for field in dataclasses.fields(cls)]
                yield f"settings fields: {' '.join(names)}"


def _subclasses(base: type) -> Iterator[typing.Any]:
    for cls in base.__subclasses__():
        if _is_product_module(cls.__module__):
            yield cls
        yield from _subclasses(cls)


def _metrics() -> Iterator[str]:
    metrics = importlib.import_module("gypsumline.runtime.metrics")
    for metric in vars(metrics).values():
        if not isinstance(metric, prometheus_client.metrics.MetricWrapperBase):
            continue
        for family in metric.describe():
            yield f"metric: {family.name}"
            yield f"metric text: {family.documentation}"
            for label in metric._labelnames:
                yield f"metric label: {family.name} {label}"


def _options() -> Iterator[str]:
    """Yields the commands and the flags of the command line."""
    main = importlib.import_module("gypsumline.cli.main")
    yield from _options_of("gypsumline", typer.main.get_command(main.app))


def _options_of(path: str, command: click.Command) -> Iterator[str]:
    yield f"command: {path}"
    for parameter in command.params:
        names = [*parameter.opts, *parameter.secondary_opts]
        yield f"option: {path} {' '.join(names)}"
        if parameter.envvar:
            yield f"environment variable: {parameter.envvar}"
    for name, inner in getattr(command, "commands", {}).items():
        yield from _options_of(f"{path} {name}", inner)


def _charts() -> Iterator[str]:
    for file in sorted((_PACKAGE / "core" / "charts").glob("*.toml")):
        chart = tomllib.loads(file.read_text(encoding="utf-8"))
        triggers = {move["trigger"] for move in chart["transitions"]}
        yield f"chart file: {file.name}"
        yield f"chart states: {' '.join(chart['states'])}"
        yield f"chart triggers: {' '.join(sorted(triggers))}"


def _deploy_file() -> Iterator[str]:
    text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    for role, fields in tomllib.loads(text)["roles"].items():
        yield f"role: {role}"
        yield f"deploy fields: {' '.join(fields)}"
        yield f"deploy command: {fields['run']}"


def _source_names() -> Iterator[str]:
    """Yields words, sent texts, log lines and loggers in the source."""
    quoted = "".join((ROOT / page).read_text("utf-8") for page in _PAGES)
    for file in sorted(_PACKAGE.rglob("*.py")):
        inside = file.relative_to(_PACKAGE)
        if "tests" in inside.parts:
            continue
        tree = ast.parse(file.read_text(encoding="utf-8"))
        yield from _words_of(tree)
        for node in ast.walk(tree):
            if isinstance(node, ast.Call):
                yield from _log_names(node, inside, quoted)


def _words_of(tree: ast.Module) -> Iterator[str]:
    inner = {id(constant) for constant in _inner_constants(tree)}
    for node in ast.walk(tree):
        if not isinstance(node, ast.Constant) or id(node) in inner:
            continue
        if not isinstance(node.value, str):
            continue
        if _WORD.fullmatch(node.value):
            yield f"word: {node.value}"
        elif " " in node.value.strip():
            yield f"text: {' '.join(node.value.split())}"


def _inner_constants(tree: ast.Module) -> Iterator[ast.AST]:
    """Yields constants that are no part of what a process sends.

    These are doc comments, the texts of raised errors and of free log lines,
    and names that only the interpreter reads.
    """
    for node in ast.walk(tree):
        if isinstance(node, ast.Expr):
            yield node.value
        elif isinstance(node, ast.Raise):
            yield from (c for c in ast.walk(node) if _is_sentence(c))
        elif isinstance(node, ast.Assign) and isinstance(
            node.targets[0], ast.Name
        ):
            if node.targets[0].id in ("__all__", "__slots__"):
                yield from ast.walk(node.value)
        elif isinstance(node, ast.Call) and node.args:
            called = ast.unparse(node.func).rpartition(".")[2]
            if called in ("TypeVar", "cast", "__setattr__"):
                yield from node.args
            if called in ("debug", "info", "warning", "error", "exception"):
                yield node.args[0]


def _is_sentence(node: ast.AST) -> bool:
    return isinstance(node, ast.Constant) and " " in str(node.value)


def _log_names(
    call: ast.Call, inside: pathlib.Path, quoted: str
) -> Iterator[str]:
    called = ast.unparse(call.func)
    if ast.unparse(call) == "logging.getLogger(__name__)":
        module = ".".join(("gypsumline", *inside.with_suffix("").parts))
        yield f"logger: {module}"
    if called.startswith(("_LOGGER.", "self._logger.")) and call.args:
        text = call.args[0]
        if isinstance(text, ast.Constant) and f"`{text.value}`" in quoted:
            yield f"log text: {text.value}"
    if called == "Decision":
        for keyword in call.keywords:
            if isinstance(keyword.value, ast.Constant):
                yield f"log text: {keyword.value.value}"


def _main() -> None:
    lines = collect()
    if "--write" in sys.argv:
        text = "\n".join(lines) + "\n"
        KEPT_NAMES.write_text(text, encoding="utf-8")
    else:
        chosen = words(lines) if "--words" in sys.argv else lines
        sys.stdout.write("\n".join(chosen) + "\n")


if __name__ == "__main__":
    _main()
