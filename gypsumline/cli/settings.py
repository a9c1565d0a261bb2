"""Settings of the entry and the agent, and where each value comes from.

A flag takes precedence over the environment variable `GYPSUMLINE_<NAME>`, which
takes precedence over the default. All values are validated at start and all
errors are reported together.
"""

from __future__ import annotations

import os
import typing
from collections.abc import Mapping

import pydantic
import pydantic_settings

from gypsumline.cli.setting_values import (
    BaseUrl,
    ByteCount,
    Count,
    EffectiveSetting,
    HostIp,
    InvalidSettingError,
    LogLevel,
    Origin,
    PlacementPolicy,
    Port,
    Relation,
    Seconds,
    StreamAddresses,
)
from gypsumline.core.errors import InvalidInputError, InvalidInputGroup
from gypsumline.core.identity import Role
from gypsumline.core.validation import Name, invalid_inputs

ENVIRONMENT_PREFIX = "GYPSUMLINE_"
# Variables of the client commands, defined in `cli/options.py`.
CLIENT_VARIABLES = frozenset({"GYPSUMLINE_ENTRY", "GYPSUMLINE_OUTPUT"})
# An accepted configuration must be in force within this time.
IN_FORCE_LIMIT_SECONDS = 4.0

_MEBIBYTE = 1024 * 1024

COMMON_RELATIONS = (
    Relation(
        fields=("evidence_ttl", "heartbeat_interval"),
        text="evidence_ttl + 2 x heartbeat_interval < 4 s",
        holds=lambda ttl, heartbeat: (
            ttl + 2 * heartbeat < IN_FORCE_LIMIT_SECONDS
        ),
    ),
    Relation(
        fields=("heartbeat_interval", "evidence_ttl"),
        text="2 x heartbeat_interval < evidence_ttl",
        holds=lambda heartbeat, ttl: 2 * heartbeat < ttl,
    ),
    Relation(
        fields=("deadline_max", "evidence_ttl", "resubmission_horizon"),
        text="deadline_max + evidence_ttl < resubmission_horizon",
        holds=lambda deadline, ttl, horizon: deadline + ttl < horizon,
    ),
    # With a shorter limit a peer would be considered silent between two
    # heartbeats.
    Relation(
        fields=("silence_limit", "heartbeat_interval"),
        text="silence_limit > heartbeat_interval",
        holds=lambda silence, heartbeat: silence > heartbeat,
    ),
    Relation(
        fields=("suspect_after", "heartbeat_interval"),
        text="suspect_after > heartbeat_interval",
        holds=lambda suspect, heartbeat: suspect > heartbeat,
    ),
)

# With a longer interval the evidence from the table would expire between two
# reads.
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


class CommonSettings(pydantic_settings.BaseSettings):
    """Settings that the entry and the agent share.

    Attributes:
      relations: Constraints on the values of several settings.
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
    host: HostIp = _setting(
        "Identity", "IP", "Address that this process listens on."
    )
    peers: StreamAddresses = _setting(
        "Identity",
        "IP:PORT,...",
        "Stream addresses of the entries to connect to.",
        default=(),
    )
    heartbeat_interval: Seconds = _setting(
        "Timing", "SECONDS", "Time between two heartbeats.", default=0.5
    )
    evidence_ttl: Seconds = _setting(
        "Timing",
        "SECONDS",
        "How long evidence of the newest revision is valid.",
        default=2.0,
    )
    suspect_after: Seconds = _setting(
        "Timing",
        "SECONDS",
        "Silence after which an entry is removed.",
        default=2.0,
    )
    silence_limit: Seconds = _setting(
        "Timing",
        "SECONDS",
        "Silence after which an agent gets no work.",
        default=1.0,
    )
    clock_skew: Seconds = _setting(
        "Timing",
        "SECONDS",
        "Largest difference between the clocks of two hosts.",
        default=0.5,
    )
    client_clock_skew: Seconds = _setting(
        "Timing",
        "SECONDS",
        "How far in the future the time of a submission key may be.",
        default=5.0,
    )
    resubmission_horizon: Seconds = _setting(
        "Timing",
        "SECONDS",
        "Oldest submission key that is taken.",
        default=120.0,
    )
    deadline_max: Seconds = _setting(
        "Timing", "SECONDS", "Longest timeout of a job.", default=60.0
    )
    stop_limit: Seconds = _setting(
        "Timing", "SECONDS", "Longest time for a planned stop.", default=30.0
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

    port: Port = _setting(
        "Identity", "PORT", "Port of the stream server.", default=7400
    )
    http_port: Port = _setting(
        "Identity", "PORT", "Port of HTTP for callers.", default=8080
    )
    table_url: BaseUrl = _setting(
        "Identity", "URL", "Base URL of the platform's table service."
    )
    table_poll_interval: Seconds = _setting(
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
    http_request_limit: Count = _setting(
        "Limits", "COUNT", "Open requests of callers.", default=20_000
    )
    kept_answers_count: Count = _setting(
        "Limits",
        "COUNT",
        "Answers kept until the horizon.",
        default=200_000,
    )
    kept_answers_bytes: ByteCount = _setting(
        "Limits",
        "BYTES",
        "Size of the answers kept until the horizon.",
        default=256 * _MEBIBYTE,
    )


class AgentSettings(CommonSettings):
    """Settings of an agent."""

    peers: StreamAddresses = _setting(
        "Identity",
        "IP:PORT,...",
        "Stream addresses of the entries to connect to.",
        min_length=1,
    )
    http_port: Port = _setting(
        "Identity", "PORT", "Port of HTTP for the executor.", default=8090
    )
    journal_count: Count = _setting(
        "Limits", "COUNT", "Entries of the journal.", default=100_000
    )
    journal_bytes: ByteCount = _setting(
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
    """Returns validated settings from flags, environment and defaults.

    Args:
      model: Settings class of the process.
      flags: Values given on the command line, by the name of the setting.

    Raises:
      InvalidInputGroup: One or more settings are invalid; holds all errors.
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
    """Returns the name of the environment variable of a setting."""
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
    invalid_fields: set[str],
) -> list[InvalidInputError]:
    errors: list[InvalidInputError] = []
    for relation in model.relations:
        if invalid_fields.intersection(relation.fields):
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
    # A mistyped variable would otherwise go unnoticed and leave the default in
    # effect.
    known = set(CLIENT_VARIABLES)
    for model in SETTINGS_BY_ROLE.values():
        known.update(variable_name(name) for name in model.model_fields)
    allowed = "only variables of known settings"
    return [
        InvalidSettingError(name, value, allowed, Origin.ENVIRONMENT)
        for name, value in sorted(_environment().items())
        if name not in known
    ]
