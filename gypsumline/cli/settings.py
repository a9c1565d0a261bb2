"""Settings of the entry and the agent, and where each value comes from.

A flag wins over the environment variable `GYPSUMLINE_<NAME>`, which wins over
the default. All values are checked at start and all errors are reported
together.
"""

from __future__ import annotations

import dataclasses
import enum
import ipaddress
import os
import typing
import urllib.parse
from collections.abc import Callable, Mapping

import pydantic
import pydantic_settings
from pydantic_settings import NoDecode

from gypsumline.core.errors import InvalidInputError, InvalidInputGroup
from gypsumline.core.identity import Role
from gypsumline.core.validation import Name, invalid_inputs

ENVIRONMENT_PREFIX = "GYPSUMLINE_"
# Variables that the command line's clients read; see `cli/options.py`.
CLIENT_VARIABLES = frozenset({"GYPSUMLINE_ENTRY", "GYPSUMLINE_OUTPUT"})
# Requirement 9: an accepted configuration is in force within this time.
IN_FORCE_LIMIT_SECONDS = 4.0

_MEBIBYTE = 1024 * 1024


class PlacementPolicy(enum.StrEnum):
    """Names of the placement policies."""

    EARLIEST_FINISH = "earliest_finish"
    LEAST_LOADED = "least_loaded"
    POWER_OF_TWO = "power_of_two"
    RANDOM = "random"
    ROUND_ROBIN = "round_robin"


class LogLevel(enum.StrEnum):
    """Lowest level of the log lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Origin(enum.StrEnum):
    """Where the value of a setting comes from."""

    FLAG = "flag"
    ENVIRONMENT = "environment"
    DEFAULT = "default"
    NOT_SET = "not set"


class InvalidSettingError(InvalidInputError):
    """A setting has a value that is not allowed.

    Attributes:
      origin: Where the value comes from.
    """

    def __init__(
        self, field: str, given: object, allowed: str, origin: Origin
    ) -> None:
        self.origin = origin
        super().__init__(field, given, allowed)

    def __str__(self) -> str:
        if self.origin is Origin.NOT_SET:
            return f"{self.field} is not set; allowed: {self.allowed}"
        place = f"from {self.origin}"
        return (
            f"{self.field} is {self.given} ({place}); allowed: {self.allowed}"
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EffectiveSetting:
    """A setting as it applies.

    Attributes:
      name: Name of the setting.
      value: Its value as text; "" if it is required and not set.
      origin: Where the value comes from.
    """

    name: str
    value: str
    origin: Origin


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Relation:
    """A condition over several settings.

    Attributes:
      fields: Names of the settings; the first one is reported.
      text: The condition in words.
      holds: Tells whether the values, in the order of `fields`, fulfil it.
    """

    fields: tuple[str, ...]
    text: str
    holds: Callable[..., bool]


COMMON_RELATIONS = (
    Relation(
        fields=("evidence_ttl", "heartbeat_interval"),
        text="evidence_ttl + 2 x heartbeat_interval < 4 s",
        holds=lambda ttl, beat: ttl + 2 * beat < IN_FORCE_LIMIT_SECONDS,
    ),
    Relation(
        fields=("heartbeat_interval", "evidence_ttl"),
        text="2 x heartbeat_interval < evidence_ttl",
        holds=lambda beat, ttl: 2 * beat < ttl,
    ),
    Relation(
        fields=("deadline_max", "evidence_ttl", "resubmission_horizon"),
        text="deadline_max + evidence_ttl < resubmission_horizon",
        holds=lambda deadline, ttl, horizon: deadline + ttl < horizon,
    ),
    # A peer would count as silent between two heartbeats.
    Relation(
        fields=("silence_limit", "heartbeat_interval"),
        text="silence_limit > heartbeat_interval",
        holds=lambda silence, beat: silence > beat,
    ),
    Relation(
        fields=("suspect_after", "heartbeat_interval"),
        text="suspect_after > heartbeat_interval",
        holds=lambda suspect, beat: suspect > beat,
    ),
)

# Evidence from the table would lapse between two reads.
_ENTRY_RELATIONS = (
    Relation(
        fields=("table_poll_interval", "evidence_ttl"),
        text="table_poll_interval < evidence_ttl",
        holds=lambda poll, ttl: poll < ttl,
    ),
)


def _setting(
    group: str, unit: str, description: str, **arguments: typing.Any
) -> typing.Any:
    extra: typing.Any = {"group": group, "unit": unit}
    return pydantic.Field(
        description=description, json_schema_extra=extra, **arguments
    )


def _check_ip(text: str) -> str:
    address = ipaddress.ip_address(text)
    if address.is_unspecified:
        raise ValueError("an IP address that other processes can reach")
    return str(address)


def _check_host(text: str) -> str:
    try:
        return _check_ip(text)
    except ValueError:
        allowed = "an IP address that other processes can reach"
        raise ValueError(allowed) from None


def _check_address(text: str) -> str:
    allowed = "IP:PORT, several separated by commas, as in 10.0.0.1:7400"
    parts = urllib.parse.urlsplit(f"//{text}")
    try:
        host = _check_ip(parts.hostname or "")
        port = parts.port
    except ValueError:
        raise ValueError(allowed) from None
    if not port or parts.netloc != text or parts.username is not None:
        raise ValueError(allowed)
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _check_url(text: str) -> str:
    allowed = "http://IP:PORT, with an optional path"
    parts = urllib.parse.urlsplit(text)
    try:
        _check_ip(parts.hostname or "")
        _ = parts.port
    except ValueError:
        raise ValueError(allowed) from None
    if parts.scheme not in ("http", "https") or parts.query or parts.fragment:
        raise ValueError(allowed)
    return text.rstrip("/")


def _split(value: object) -> object:
    if isinstance(value, str):
        return tuple(part.strip() for part in value.split(",") if part.strip())
    return value


_Host = typing.Annotated[str, pydantic.AfterValidator(_check_host)]
_Address = typing.Annotated[str, pydantic.AfterValidator(_check_address)]
_Addresses = typing.Annotated[
    tuple[_Address, ...], NoDecode, pydantic.BeforeValidator(_split)
]
_Url = typing.Annotated[str, pydantic.AfterValidator(_check_url)]
_Seconds = typing.Annotated[float, pydantic.Field(gt=0, le=86400)]
_Count = typing.Annotated[int, pydantic.Field(ge=1, le=10**9)]
_Bytes = typing.Annotated[int, pydantic.Field(ge=65536, le=2**40)]
_Port = typing.Annotated[int, pydantic.Field(ge=0, le=65535)]


class CommonSettings(pydantic_settings.BaseSettings):
    """Settings that the entry and the agent share.

    Attributes:
      relations: Conditions over several settings.
    """

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=ENVIRONMENT_PREFIX,
        env_ignore_empty=True,
        extra="forbid",
        frozen=True,
        allow_inf_nan=False,
    )
    relations: typing.ClassVar[tuple[Relation, ...]] = COMMON_RELATIONS

    member_id: Name = _setting(
        "Identity", "NAME", "Name of this process, kept over restarts."
    )
    availability_zone: Name = _setting(
        "Identity", "NAME", "Availability zone that this host is in."
    )
    host: _Host = _setting(
        "Identity", "IP", "Address that this process listens on."
    )
    peers: _Addresses = _setting(
        "Identity",
        "IP:PORT,...",
        "Stream addresses of the entries to connect to.",
        default=(),
    )
    heartbeat_interval: _Seconds = _setting(
        "Timing", "SECONDS", "Time between two heartbeats.", default=0.5
    )
    evidence_ttl: _Seconds = _setting(
        "Timing",
        "SECONDS",
        "How long evidence of the newest revision is valid.",
        default=2.0,
    )
    suspect_after: _Seconds = _setting(
        "Timing",
        "SECONDS",
        "Silence after which an entry is removed.",
        default=2.0,
    )
    silence_limit: _Seconds = _setting(
        "Timing",
        "SECONDS",
        "Silence after which an agent gets no work.",
        default=1.0,
    )
    clock_skew: _Seconds = _setting(
        "Timing",
        "SECONDS",
        "Largest difference between the clocks of two hosts.",
        default=0.5,
    )
    client_clock_skew: _Seconds = _setting(
        "Timing",
        "SECONDS",
        "How far in the future the time of a submission key may be.",
        default=5.0,
    )
    resubmission_horizon: _Seconds = _setting(
        "Timing",
        "SECONDS",
        "Oldest submission key that is taken.",
        default=120.0,
    )
    deadline_max: _Seconds = _setting(
        "Timing", "SECONDS", "Longest timeout of a job.", default=60.0
    )
    stop_limit: _Seconds = _setting(
        "Timing", "SECONDS", "Longest time for a planned stop.", default=30.0
    )
    send_queue_limit: _Count = _setting(
        "Limits", "COUNT", "Messages waiting per connection.", default=10_000
    )
    mailbox_limit: _Count = _setting(
        "Limits",
        "COUNT",
        "Inputs waiting for the deciding task.",
        default=10_000,
    )
    log_level: LogLevel = _setting(
        "Logging",
        "LEVEL",
        "Lowest level written: debug, info, warning or error.",
        default=LogLevel.INFO,
    )
    decision_log_limit: int = _setting(
        "Logging",
        "LINES/S",
        "Most decision lines per second; more are dropped and counted.",
        default=1000,
        ge=0,
        le=10**6,
    )
    seed: int = _setting(
        "Logging",
        "NUMBER",
        "Seed of the random choices; 0 draws one at start and logs it.",
        default=0,
        ge=0,
        lt=2**63,
    )

    @pydantic.model_validator(mode="after")
    def _check_relations(self) -> typing.Self:
        values = {name: getattr(self, name) for name in type(self).model_fields}
        broken = [r.text for r in self.relations if not _holds(r, values)]
        if broken:
            raise ValueError("; ".join(broken))
        return self


class EntrySettings(CommonSettings):
    """Settings of an entry."""

    relations: typing.ClassVar[tuple[Relation, ...]] = (
        COMMON_RELATIONS + _ENTRY_RELATIONS
    )

    port: _Port = _setting(
        "Identity", "PORT", "Port of the stream server.", default=7400
    )
    http_port: _Port = _setting(
        "Identity", "PORT", "Port of HTTP for callers.", default=8080
    )
    table_url: _Url = _setting(
        "Identity", "URL", "Base URL of the platform's table service."
    )
    table_poll_interval: _Seconds = _setting(
        "Timing",
        "SECONDS",
        "Time between two reads of the control record.",
        default=0.5,
    )
    placement_policy: PlacementPolicy = _setting(
        "Placement",
        "NAME",
        "How tasks are placed: " + ", ".join(PlacementPolicy) + ".",
        default=PlacementPolicy.EARLIEST_FINISH,
    )
    waiting_tasks_limit: _Count = _setting(
        "Limits", "COUNT", "Unplaced tasks at this entry.", default=100_000
    )
    http_request_limit: _Count = _setting(
        "Limits", "COUNT", "Open requests of callers.", default=20_000
    )
    kept_answers_count: _Count = _setting(
        "Limits",
        "COUNT",
        "Answers kept until the horizon.",
        default=200_000,
    )
    kept_answers_bytes: _Bytes = _setting(
        "Limits",
        "BYTES",
        "Size of the answers kept until the horizon.",
        default=256 * _MEBIBYTE,
    )


class AgentSettings(CommonSettings):
    """Settings of an agent."""

    peers: _Addresses = _setting(
        "Identity",
        "IP:PORT,...",
        "Stream addresses of the entries to connect to.",
        min_length=1,
    )
    http_port: _Port = _setting(
        "Identity", "PORT", "Port of HTTP for the executor.", default=8090
    )
    journal_count: _Count = _setting(
        "Limits", "COUNT", "Entries of the journal.", default=100_000
    )
    journal_bytes: _Bytes = _setting(
        "Limits",
        "BYTES",
        "Size of the journal.",
        default=64 * _MEBIBYTE,
    )


SETTINGS_BY_ROLE: dict[Role, type[CommonSettings]] = {
    Role.ENTRY: EntrySettings,
    Role.AGENT: AgentSettings,
}

_SettingsType = typing.TypeVar("_SettingsType", bound=CommonSettings)


def load_settings(
    model: type[_SettingsType], flags: Mapping[str, object]
) -> _SettingsType:
    """Returns the checked settings from flags, environment and defaults.

    Args:
      model: Which settings.
      flags: Values given on the command line, by the name of the setting.

    Raises:
      InvalidInputGroup: All settings that are not allowed.
    """
    errors = setting_errors(model, flags)
    if errors:
        raise InvalidInputGroup("settings", errors)
    return model(**typing.cast(dict[str, typing.Any], dict(flags)))


def setting_errors(
    model: type[CommonSettings], flags: Mapping[str, object]
) -> list[InvalidInputError]:
    """Returns all errors in the settings, without raising."""
    errors: list[InvalidInputError] = []
    try:
        model(**typing.cast(dict[str, typing.Any], dict(flags)))
    except pydantic.ValidationError as error:
        for found in invalid_inputs(model, error):
            if found.field != "text":
                errors.append(_with_origin(found, flags))
    errors.extend(_relation_errors(model, flags, {e.field for e in errors}))
    errors.extend(_unknown_variables())
    return errors


def effective_settings(
    model: type[CommonSettings], flags: Mapping[str, object]
) -> list[EffectiveSetting]:
    """Returns each setting's value and where it comes from."""
    found = []
    for name in model.model_fields:
        value, origin = _raw_value(model, name, flags)
        if isinstance(value, tuple):
            value = ",".join(value)
        text = "" if value is None else str(value)
        found.append(EffectiveSetting(name=name, value=text, origin=origin))
    return found


def variable_name(name: str) -> str:
    """Returns the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + name.upper()


def _environment() -> dict[str, str]:
    return {
        name.upper(): value
        for name, value in os.environ.items()
        if value and name.upper().startswith(ENVIRONMENT_PREFIX)
    }


def _raw_value(
    model: type[CommonSettings], name: str, flags: Mapping[str, object]
) -> tuple[object, Origin]:
    if name in flags:
        return flags[name], Origin.FLAG
    variables = _environment()
    if variable_name(name) in variables:
        return variables[variable_name(name)], Origin.ENVIRONMENT
    field = model.model_fields[name]
    if field.is_required():
        return None, Origin.NOT_SET
    return field.default, Origin.DEFAULT


def _with_origin(
    error: InvalidInputError, flags: Mapping[str, object]
) -> InvalidSettingError:
    name = error.field.split(".", maxsplit=1)[0]
    origin = Origin.NOT_SET
    if name in flags:
        origin = Origin.FLAG
    elif variable_name(name) in _environment():
        origin = Origin.ENVIRONMENT
    found = InvalidSettingError(name, None, error.allowed, origin)
    found.given = error.given
    return found


def _relation_errors(
    model: type[CommonSettings],
    flags: Mapping[str, object],
    bad_fields: set[str],
) -> list[InvalidInputError]:
    errors: list[InvalidInputError] = []
    for relation in model.relations:
        if bad_fields.intersection(relation.fields):
            continue
        values: dict[str, float] = {}
        origins = []
        for name in relation.fields:
            value, origin = _raw_value(model, name, flags)
            values[name] = float(typing.cast(typing.Any, value))
            origins.append(origin)
        if not _holds(relation, values):
            given = ", ".join(f"{k} {v:g}" for k, v in values.items())
            origin = next((o for o in origins if o != Origin.DEFAULT), origin)
            name = relation.fields[0]
            errors.append(
                InvalidSettingError(name, given, relation.text, origin)
            )
    return errors


def _holds(relation: Relation, values: Mapping[str, float]) -> bool:
    return relation.holds(*(values[name] for name in relation.fields))


def _unknown_variables() -> list[InvalidInputError]:
    # A mistyped variable would otherwise leave the default in force unnoticed.
    known = set(CLIENT_VARIABLES)
    for model in SETTINGS_BY_ROLE.values():
        known.update(variable_name(name) for name in model.model_fields)
    allowed = "only variables of known settings"
    return [
        InvalidSettingError(name, value, allowed, Origin.ENVIRONMENT)
        for name, value in sorted(_environment().items())
        if name not in known
    ]
