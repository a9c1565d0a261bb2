"""Parses the operators' configuration text (YAML) and compares versions.

The format is described in `docs/configuration.md`. Parsing a text of the
maximum size takes seconds, so processes with timers do it in a separate
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
from gypsumline.core.validation import (
    Location,
    Name,
    StrictModel,
    field_path,
    invalid_inputs,
    raise_invalid_inputs,
)
from gypsumline.core.yaml_parser import YamlDocument, parse_yaml

TEXT_BYTES_MAX = 1024 * 1024
# A control record must fit into one frame of 4 MiB, in which each service and
# client takes up to about 110 bytes more than in the text.
SERVICES_MAX = 2000
CLIENTS_MAX = 10_000
TASKS_PER_JOB_MAX = 10_000
PAYLOAD_BYTES_MAX = 1024 * 1024
_SHARE_MAX = 1_000_000
_MAX_RUNNING_MAX = 1_000_000_000
# The run time of `difflib` grows with the product of both line counts.
_COMPARED_LINES_MAX = 2000

_BASE_VERSION = re.compile(r"# gypsumline: base version (\d{1,15})\s*")

_Item = typing.TypeVar("_Item")


def _null_to_mapping(value: object) -> object:
    # In YAML, "services:" without a value is null; it means no services.
    return {} if value is None else value


def _null_to_list(value: object) -> object:
    return [] if value is None else value


_Names = typing.Annotated[list[Name], pydantic.BeforeValidator(_null_to_list)]
_NullableMapping = pydantic.BeforeValidator(_null_to_mapping)


class ServiceModel(StrictModel):
    """Schema of one entry under `services`."""

    kinds: _Names = []
    depends_on: _Names = []


class ClientModel(StrictModel):
    """Schema of one entry under `clients`."""

    share: float = pydantic.Field(default=1.0, gt=0, le=_SHARE_MAX)
    max_running: int = pydantic.Field(default=0, ge=0, le=_MAX_RUNNING_MAX)


class LimitsModel(StrictModel):
    """Schema of the section `limits`."""

    tasks_per_job: int = pydantic.Field(
        default=Limits().tasks_per_job, ge=1, le=TASKS_PER_JOB_MAX
    )
    payload_bytes: int = pydantic.Field(
        default=Limits().payload_bytes, ge=1, le=PAYLOAD_BYTES_MAX
    )


class OutModel(StrictModel):
    """Schema of the section `out`, where no tasks are started."""

    availability_zones: _Names = []
    upstreams: _Names = []
    services: _Names = []


class ConfigurationModel(StrictModel):
    """Schema of the whole configuration text."""

    services: typing.Annotated[
        dict[Name, typing.Annotated[ServiceModel, _NullableMapping]],
        _NullableMapping,
        pydantic.Field(max_length=SERVICES_MAX),
    ] = {}
    clients: typing.Annotated[
        dict[Name, typing.Annotated[ClientModel, _NullableMapping]],
        _NullableMapping,
        pydantic.Field(max_length=CLIENTS_MAX),
    ] = {}
    limits: typing.Annotated[LimitsModel, _NullableMapping] = LimitsModel()
    out: typing.Annotated[OutModel, _NullableMapping] = OutModel()


def parse_configuration(text: str) -> Configuration:
    """Parses and validates the operators' configuration text.

    Raises:
      InvalidInputGroup: The text is invalid; holds an error with line and
        field for each problem found.
    """
    _check_size(text)
    document = parse_yaml(text)
    if document.value is None:
        document.value = {}
    errors = list(document.errors)
    model = _validate(document, errors)
    errors.extend(_reference_errors(document))
    raise_invalid_inputs("configuration text", sorted(errors, key=_error_line))
    return _to_configuration(typing.cast(ConfigurationModel, model))


def base_version_of(text: str) -> int | None:
    """Returns the base version of a saved text, or None if it names none.

    The first line of a saved text is `# gypsumline: base version N`.
    """
    match = _BASE_VERSION.fullmatch(text.split("\n", maxsplit=1)[0])
    return int(match.group(1)) if match else None


def with_base_version(text: str, version: int) -> str:
    """Returns the text with a first line that names its base version."""
    return f"# gypsumline: base version {version}\n{without_base_version(text)}"


def without_base_version(text: str) -> str:
    """Returns the text without the line that names its base version."""
    if base_version_of(text) is None:
        return text
    return text.partition("\n")[2]


def diff_texts(
    old: str, new: str, old_name: str = "old", new_name: str = "new"
) -> str:
    """Returns the unified diff of two texts; "" if they are equal.

    If the differing part spans more than `_COMPARED_LINES_MAX` lines, the diff
    replaces the whole text, because computing a shorter one takes too long.
    """
    old_lines, new_lines = old.splitlines(), new.splitlines()
    if _differing_line_count(old_lines, new_lines) > _COMPARED_LINES_MAX:
        header = [
            f"--- {old_name}",
            f"+++ {new_name}",
            f"@@ -1,{len(old_lines)} +1,{len(new_lines)} @@",
        ]
        lines = [f"-{line}" for line in old_lines] + [
            f"+{line}" for line in new_lines
        ]
        return "\n".join(header + lines) + "\n"
    difference = difflib.unified_diff(
        old_lines, new_lines, old_name, new_name, lineterm=""
    )
    return "".join(f"{line}\n" for line in difference)


def _check_size(text: str) -> None:
    try:
        size = len(text.encode())
    except UnicodeEncodeError as error:
        line = text.count("\n", 0, error.start) + 1
        invalid = InvalidInputError("text", "a lone surrogate", "UTF-8", line)
        raise InvalidInputGroup("configuration text", [invalid]) from error
    if size > TEXT_BYTES_MAX:
        allowed = f"up to {TEXT_BYTES_MAX} bytes"
        invalid = InvalidInputError("text", f"{size} bytes", allowed)
        raise InvalidInputGroup("configuration text", [invalid])


def _validate(
    document: YamlDocument, errors: list[InvalidInputError]
) -> ConfigurationModel | None:
    try:
        return ConfigurationModel.model_validate(document.value)
    except pydantic.ValidationError as error:
        errors.extend(
            invalid_inputs(ConfigurationModel, error, document.line_of)
        )
        return None


def _error_line(error: InvalidInputError) -> int:
    return error.line or 0


def _to_configuration(model: ConfigurationModel) -> Configuration:
    services = tuple(
        Service(
            name=name,
            kinds=tuple(service.kinds),
            depends_on=tuple(service.depends_on),
        )
        for name, service in model.services.items()
    )
    clients = tuple(
        Client(name=name, share=client.share, max_running=client.max_running)
        for name, client in model.clients.items()
    )
    return Configuration(
        services=services,
        clients=clients,
        limits=Limits(
            tasks_per_job=model.limits.tasks_per_job,
            payload_bytes=model.limits.payload_bytes,
        ),
        availability_zones_out=tuple(model.out.availability_zones),
        upstreams_out=tuple(model.out.upstreams),
        services_out=tuple(model.out.services),
    )


def _reference_errors(document: YamlDocument) -> Iterator[InvalidInputError]:
    # Checks the raw value instead of the validated model, so that type errors
    # elsewhere do not hide these errors.
    root = _as_mapping(document.value)
    services = _as_mapping(root.get("services"))
    dependencies: dict[str, list[str]] = {}
    for name, service in services.items():
        location: Location = ("services", name)
        yield from _duplicate_errors(
            document, location + ("kinds",), service, "kinds"
        )
        dependencies[name] = _names(service, "depends_on")
        location += ("depends_on",)
        yield from _duplicate_errors(document, location, service, "depends_on")
        yield from _unknown_service_errors(
            document, location, dependencies[name], services
        )
    yield from _cycle_errors(document, dependencies)
    out = root.get("out")
    yield from _unknown_service_errors(
        document, ("out", "services"), _names(out, "services"), services
    )
    for kind in ("availability_zones", "upstreams", "services"):
        yield from _duplicate_errors(document, ("out", kind), out, kind)


def _as_mapping(value: object) -> dict[str, typing.Any]:
    return value if isinstance(value, dict) else {}


def _names(value: object, key: str) -> list[str]:
    items = _as_mapping(value).get(key)
    if not isinstance(items, list):
        return []
    return [item if isinstance(item, str) else "" for item in items]


def _duplicate_errors(
    document: YamlDocument, location: Location, value: object, key: str
) -> Iterator[InvalidInputError]:
    seen: set[str] = set()
    for index, name in enumerate(_names(value, key)):
        if name and name in seen:
            item = (*location, index)
            line = document.line_of(item)
            allowed = "each name once"
            yield InvalidInputError(field_path(item), name, allowed, line)
        seen.add(name)


def _unknown_service_errors(
    document: YamlDocument,
    location: Location,
    names: list[str],
    services: dict[str, typing.Any],
) -> Iterator[InvalidInputError]:
    for index, name in enumerate(names):
        if name and name not in services:
            item = (*location, index)
            line = document.line_of(item)
            allowed = "a service that the text defines under services"
            yield InvalidInputError(field_path(item), name, allowed, line)


def _cycle_errors(
    document: YamlDocument, dependencies: dict[str, list[str]]
) -> Iterator[InvalidInputError]:
    done: set[str] = set()
    for start in dependencies:
        path: dict[str, Iterator[str]] = {}
        if start not in done:
            path[start] = iter(dependencies[start])
        while path:
            current = next(reversed(path))
            following = next(path[current], None)
            if following is None:
                del path[current]
                done.add(current)
            elif following in path:
                yield _cycle_error(document, list(path), following)
            elif following in dependencies and following not in done:
                path[following] = iter(dependencies[following])


def _cycle_error(
    document: YamlDocument, path: list[str], repeated: str
) -> InvalidInputError:
    cycle = [*path[path.index(repeated) :], repeated]
    location: Location = ("services", cycle[-2], "depends_on")
    shown = " -> ".join(cycle)
    return InvalidInputError(
        field_path(location),
        shown,
        "services that do not depend on themselves",
        document.line_of(location),
    )


def _differing_line_count(old: list[str], new: list[str]) -> int:
    shortest = min(len(old), len(new))
    prefix = _common_prefix_length(old, new)
    rest = shortest - prefix
    suffix = _common_prefix_length(old[::-1][:rest], new[::-1][:rest])
    return max(len(old), len(new)) - prefix - suffix


def _common_prefix_length(first: list[str], second: list[str]) -> int:
    for count, (one, other) in enumerate(zip(first, second, strict=False)):
        if one != other:
            return count
    return min(len(first), len(second))
