"""Value types of the settings, their errors and their origins."""

from __future__ import annotations

import dataclasses
import enum
import ipaddress
import typing
import urllib.parse
from collections.abc import Callable

import pydantic
from pydantic_settings import NoDecode

from gypsumline.core.errors import InvalidInputError


class PlacementPolicy(enum.StrEnum):
    """Names of the placement policies."""

    EARLIEST_FINISH = "earliest_finish"
    LEAST_LOADED = "least_loaded"
    POWER_OF_TWO = "power_of_two"
    RANDOM = "random"
    ROUND_ROBIN = "round_robin"


class LogLevel(enum.StrEnum):
    """Lowest severity of the log lines that are written."""

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
        source = f"from {self.origin}"
        return (
            f"{self.field} is {self.given} ({source}); allowed: {self.allowed}"
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EffectiveSetting:
    """A setting with the value that is in effect.

    Attributes:
      name: Name of the setting.
      value: Value as text; "" if the setting is required and not set.
      origin: Where the value comes from.
    """

    name: str
    value: str
    origin: Origin


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Relation:
    """A constraint on the values of several settings.

    Attributes:
      fields: Names of the settings; errors are reported for the first one.
      text: The constraint as shown in error messages.
      holds: Returns whether the values, in the order of `fields`, satisfy the
        constraint.
    """

    fields: tuple[str, ...]
    text: str
    holds: Callable[..., bool]


def _validate_ip(text: str) -> str:
    address = ipaddress.ip_address(text)
    if address.is_unspecified:
        raise ValueError("an IP address that other processes can reach")
    return str(address)


def _validate_host(text: str) -> str:
    try:
        return _validate_ip(text)
    except ValueError:
        allowed = "an IP address that other processes can reach"
        raise ValueError(allowed) from None


def _validate_address(text: str) -> str:
    allowed = "IP:PORT, several separated by commas, as in 10.0.0.1:7400"
    try:
        parts = urllib.parse.urlsplit(f"//{text}")
        host = _validate_ip(parts.hostname or "")
        port = parts.port
    except ValueError:
        raise ValueError(allowed) from None
    if not port or parts.netloc != text or parts.username is not None:
        raise ValueError(allowed)
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _validate_url(text: str) -> str:
    allowed = "http://IP:PORT, with an optional path"
    try:
        parts = urllib.parse.urlsplit(text)
        _validate_ip(parts.hostname or "")
        _ = parts.port
    except ValueError:
        raise ValueError(allowed) from None
    if parts.scheme not in ("http", "https") or parts.query or parts.fragment:
        raise ValueError(allowed)
    return text.rstrip("/")


def _split_list(value: object) -> object:
    if isinstance(value, str):
        return tuple(part.strip() for part in value.split(",") if part.strip())
    return value


HostIp = typing.Annotated[str, pydantic.AfterValidator(_validate_host)]
StreamAddress = typing.Annotated[
    str, pydantic.AfterValidator(_validate_address)
]
StreamAddresses = typing.Annotated[
    tuple[StreamAddress, ...], NoDecode, pydantic.BeforeValidator(_split_list)
]
BaseUrl = typing.Annotated[str, pydantic.AfterValidator(_validate_url)]
Seconds = typing.Annotated[float, pydantic.Field(gt=0, le=86400)]
Count = typing.Annotated[int, pydantic.Field(ge=1, le=10**9)]
ByteCount = typing.Annotated[int, pydantic.Field(ge=65536, le=2**40)]
Port = typing.Annotated[int, pydantic.Field(ge=0, le=65535)]
