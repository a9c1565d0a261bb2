"""The operators' text: from YAML to `Configuration`, and differences.

The format is described in `docs/configuration.md`. Parsing a text of the
longest allowed size takes seconds, so a process with timers runs it in a
thread.
"""

from __future__ import annotations

import difflib
import re
import typing
from collections.abc import Iterator

import pydantic

from gypsumline.core.configuration import (
    Client,
    Configuration,
    Limits,
    Service,
)
from gypsumline.core.errors import InvalidInputError, InvalidInputGroup
from gypsumline.core.plain_yaml import PlainDocument, parse_yaml
from gypsumline.core.validation import (
    Location,
    Name,
    StrictModel,
    field_name,
    invalid_inputs,
    raise_invalid_inputs,
)

TEXT_BYTES_MAX = 1024 * 1024
# A control record travels in one frame of at most 4 MiB, where each service
# and client takes up to about 110 bytes more than in the text.
SERVICES_MAX = 2000
CLIENTS_MAX = 10_000
TASKS_PER_JOB_MAX = 10_000
PAYLOAD_BYTES_MAX = 1024 * 1024
_SHARE_MAX = 1_000_000
_MAX_RUNNING_MAX = 1_000_000_000
# `difflib` takes time that grows with the product of the lines.
_COMPARED_LINES_MAX = 2000

_BASE_VERSION = re.compile(r"# gypsumline: base version (\d{1,15})\s*")

_Item = typing.TypeVar("_Item")


def _empty_for_null(value: object) -> object:
    # "services:" with nothing after it means that there are none.
    return {} if value is None else value


def _no_items_for_null(value: object) -> object:
    return [] if value is None else value


_Names = typing.Annotated[
    list[Name], pydantic.BeforeValidator(_no_items_for_null)
]
_Empty = pydantic.BeforeValidator(_empty_for_null)


class ServiceModel(StrictModel):
    """One entry under `services`."""

    kinds: _Names = []
    depends_on: _Names = []


class ClientModel(StrictModel):
    """One entry under `clients`."""

    share: float = pydantic.Field(default=1.0, gt=0, le=_SHARE_MAX)
    max_running: int = pydantic.Field(default=0, ge=0, le=_MAX_RUNNING_MAX)


class LimitsModel(StrictModel):
    """The values under `limits`."""

    tasks_per_job: int = pydantic.Field(
        default=Limits().tasks_per_job, ge=1, le=TASKS_PER_JOB_MAX
    )
    payload_bytes: int = pydantic.Field(
        default=Limits().payload_bytes, ge=1, le=PAYLOAD_BYTES_MAX
    )


class OutModel(StrictModel):
    """The values under `out`."""

    availability_zones: _Names = []
    upstreams: _Names = []
    services: _Names = []


class ConfigurationModel(StrictModel):
    """The whole text."""

    services: typing.Annotated[
        dict[Name, typing.Annotated[ServiceModel, _Empty]],
        _Empty,
        pydantic.Field(max_length=SERVICES_MAX),
    ] = {}
    clients: typing.Annotated[
        dict[Name, typing.Annotated[ClientModel, _Empty]],
        _Empty,
        pydantic.Field(max_length=CLIENTS_MAX),
    ] = {}
    limits: typing.Annotated[LimitsModel, _Empty] = LimitsModel()
    out: typing.Annotated[OutModel, _Empty] = OutModel()


def parse_configuration(text: str) -> Configuration:
    """Returns the configuration in the operators' text.

    Raises:
      InvalidInputGroup: All errors in the text, each with its line and field.
    """
    _check_size(text)
    document = parse_yaml(text)
    if document.value is None:
        document.value = {}
    errors = list(document.errors)
    parsed = _validate(document, errors)
    errors.extend(_reference_errors(document))
    raise_invalid_inputs(
        "configuration text", sorted(errors, key=_line_of_error)
    )
    return _convert(typing.cast(ConfigurationModel, parsed))


def base_version_of(text: str) -> int | None:
    """Returns the version that a saved text was fetched at, if it names one.

    The first line of such a text is `# gypsumline: base version N`.
    """
    match = _BASE_VERSION.fullmatch(text.split("\n", maxsplit=1)[0])
    return int(match.group(1)) if match else None


def with_base_version(text: str, version: int) -> str:
    """Returns the text with the version in its first line."""
    return f"# gypsumline: base version {version}\n{without_base_version(text)}"


def without_base_version(text: str) -> str:
    """Returns the text without the line that names its base version."""
    if base_version_of(text) is None:
        return text
    return text.partition("\n")[2]


def diff_texts(
    old: str, new: str, old_name: str = "old", new_name: str = "new"
) -> str:
    """Returns the unified difference of two texts; "" if they are equal.

    Texts that differ over more than a few thousand lines are shown as
    replaced in whole, because finding a shorter difference takes too long.
    """
    before, after = old.splitlines(), new.splitlines()
    if _differing_lines(before, after) > _COMPARED_LINES_MAX:
        head = [
            f"--- {old_name}",
            f"+++ {new_name}",
            f"@@ -1,{len(before)} +1,{len(after)} @@",
        ]
        lines = [f"-{line}" for line in before] + [f"+{line}" for line in after]
        return "\n".join(head + lines) + "\n"
    difference = difflib.unified_diff(
        before, after, old_name, new_name, lineterm=""
    )
    return "".join(f"{line}\n" for line in difference)


def _check_size(text: str) -> None:
    try:
        size = len(text.encode())
    except UnicodeEncodeError as error:
        line = text.count("\n", 0, error.start) + 1
        found = InvalidInputError("text", "a lone surrogate", "UTF-8", line)
        raise InvalidInputGroup("configuration text", [found]) from error
    if size > TEXT_BYTES_MAX:
        allowed = f"up to {TEXT_BYTES_MAX} bytes"
        found = InvalidInputError("text", f"{size} bytes", allowed)
        raise InvalidInputGroup("configuration text", [found])


def _validate(
    document: PlainDocument, errors: list[InvalidInputError]
) -> ConfigurationModel | None:
    try:
        return ConfigurationModel.model_validate(document.value)
    except pydantic.ValidationError as error:
        errors.extend(
            invalid_inputs(ConfigurationModel, error, document.line_of)
        )
        return None


def _line_of_error(error: InvalidInputError) -> int:
    return error.line or 0


def _convert(parsed: ConfigurationModel) -> Configuration:
    services = tuple(
        Service(
            name=name,
            kinds=tuple(service.kinds),
            depends_on=tuple(service.depends_on),
        )
        for name, service in parsed.services.items()
    )
    clients = tuple(
        Client(name=name, share=client.share, max_running=client.max_running)
        for name, client in parsed.clients.items()
    )
    return Configuration(
        services=services,
        clients=clients,
        limits=Limits(
            tasks_per_job=parsed.limits.tasks_per_job,
            payload_bytes=parsed.limits.payload_bytes,
        ),
        availability_zones_out=tuple(parsed.out.availability_zones),
        upstreams_out=tuple(parsed.out.upstreams),
        services_out=tuple(parsed.out.services),
    )


def _reference_errors(document: PlainDocument) -> Iterator[InvalidInputError]:
    # Works on the unchecked value, so that wrong types elsewhere do not hide
    # these errors.
    top = _mapping(document.value)
    services = _mapping(top.get("services"))
    needs: dict[str, list[str]] = {}
    for name, service in services.items():
        place: Location = ("services", name)
        yield from _repeated(document, place + ("kinds",), service, "kinds")
        needs[name] = _names(service, "depends_on")
        place += ("depends_on",)
        yield from _repeated(document, place, service, "depends_on")
        yield from _unknown(document, place, needs[name], services)
    yield from _cycle_errors(document, needs)
    out = top.get("out")
    yield from _unknown(
        document, ("out", "services"), _names(out, "services"), services
    )
    for kind in ("availability_zones", "upstreams", "services"):
        yield from _repeated(document, ("out", kind), out, kind)


def _mapping(value: object) -> dict[str, typing.Any]:
    return value if isinstance(value, dict) else {}


def _names(value: object, key: str) -> list[str]:
    items = _mapping(value).get(key)
    if not isinstance(items, list):
        return []
    return [item if isinstance(item, str) else "" for item in items]


def _repeated(
    document: PlainDocument, place: Location, value: object, key: str
) -> Iterator[InvalidInputError]:
    seen: set[str] = set()
    for index, name in enumerate(_names(value, key)):
        if name and name in seen:
            item = (*place, index)
            line = document.line_of(item)
            allowed = "each name once"
            yield InvalidInputError(field_name(item), name, allowed, line)
        seen.add(name)


def _unknown(
    document: PlainDocument,
    place: Location,
    names: list[str],
    services: dict[str, typing.Any],
) -> Iterator[InvalidInputError]:
    for index, name in enumerate(names):
        if name and name not in services:
            item = (*place, index)
            line = document.line_of(item)
            allowed = "a service that the text defines under services"
            yield InvalidInputError(field_name(item), name, allowed, line)


def _cycle_errors(
    document: PlainDocument, needs: dict[str, list[str]]
) -> Iterator[InvalidInputError]:
    done: set[str] = set()
    for start in needs:
        path: dict[str, Iterator[str]] = {}
        if start not in done:
            path[start] = iter(needs[start])
        while path:
            current = next(reversed(path))
            following = next(path[current], None)
            if following is None:
                del path[current]
                done.add(current)
            elif following in path:
                yield _cycle_error(document, list(path), following)
            elif following in needs and following not in done:
                path[following] = iter(needs[following])


def _cycle_error(
    document: PlainDocument, path: list[str], repeated: str
) -> InvalidInputError:
    cycle = [*path[path.index(repeated) :], repeated]
    place: Location = ("services", cycle[-2], "depends_on")
    shown = " -> ".join(cycle)
    return InvalidInputError(
        field_name(place),
        shown,
        "services that do not depend on themselves",
        document.line_of(place),
    )


def _differing_lines(before: list[str], after: list[str]) -> int:
    shortest = min(len(before), len(after))
    same = _same_lines(before, after)
    rest = shortest - same
    ends = _same_lines(before[::-1][:rest], after[::-1][:rest])
    return max(len(before), len(after)) - same - ends


def _same_lines(first: list[str], second: list[str]) -> int:
    for count, (one, other) in enumerate(zip(first, second, strict=False)):
        if one != other:
            return count
    return min(len(first), len(second))
