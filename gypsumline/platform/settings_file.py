"""The settings file that the platform writes for each process.

Lines have the form `a.b=value`; lists are joined by commas. Fields that this
program does not know are ignored.
"""

from __future__ import annotations

import dataclasses
import os
import pathlib
from collections.abc import Mapping

from gypsumline.core.errors import InvalidInputError, InvalidInputGroup
from gypsumline.core.leases.settings import LeaseSettings
from gypsumline.table.follow_settings import (
    FollowSettings,
    derive_follow_settings,
)

PATH_VARIABLE = "GYPSUMLINE_NODE_FILE"
DEFAULT_PATH = "/etc/gypsumline/boot.conf"

# Shares of the time between the loss of a connection and the next submission
# that the contact limit and the lease may take; the rest is margin for the
# executor's stop and for late timers.
_CONTACT_SHARE = 0.32
_LEASE_SHARE = 0.48
# Used where the file gives no bound; the platform's usual values.
_RESUBMIT_MS = 1300.0
_HOLD_MAX_MS = 1000.0
_STOP_MS = 50.0
_GRACE_S = 6.0
_REMOTE_FACTOR = 1.5
_CONTACT_MS = 3000.0
_CONFIG_APPLY_MS = 2000.0
# There are many agents, each request of theirs is paid, and an entry that one
# of them does not know yet is served by the others.
_ENTRIES_CONTACTS = 4.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSettings:
    """What one process needs to know; times are seconds.

    Attributes:
      member_id: Name of the host's process.
      availability_zone: Zone of the host.
      address: IP address of the host.
      stream_port: Port for streams between our processes.
      caller_address: Where callers connect; "" if they do not.
      readiness_address: Where the balancer asks for readiness; "" if it
        does not.
      heartbeat_address: Where the executor reports; "" if none does.
      executor_address: Where the executor takes orders; "" if there is none.
      service: Service of the executor beside this host; "" if unknown.
      store_address: The platform's store.
      stop_limit: Time from the stop signal to the kill.
      remote_factor: Multiple of a run time away from its data's rack.
      lease: Times of leased runs.
      operator_feed: Times of an entry that follows the operator's table.
      entries_feed: Times of an agent that follows the table of entries.
    """

    member_id: str
    availability_zone: str
    address: str
    stream_port: int
    caller_address: str
    readiness_address: str
    heartbeat_address: str
    executor_address: str
    service: str
    store_address: str
    stop_limit: float
    remote_factor: float
    lease: LeaseSettings
    operator_feed: FollowSettings
    entries_feed: FollowSettings


def settings_path() -> pathlib.Path:
    """Returns where the platform put the settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def read_settings(path: pathlib.Path) -> ProcessSettings:
    """Returns the settings in a file.

    Raises:
      InvalidInputGroup: Fields are missing or invalid.
      OSError: The file cannot be read.
    """
    return parse_settings(path.read_text(encoding="utf-8"))


def parse_settings(text: str) -> ProcessSettings:
    """Returns the settings in the text of a file.

    Raises:
      InvalidInputGroup: Fields are missing or invalid.
    """
    fields = _Fields(dict(_split(text)))
    first_port = fields.list("port_range")
    settings = {
        "member_id": fields.required("node"),
        "availability_zone": fields.required("zone"),
        "address": fields.required("ip"),
        "stream_port": fields.port(first_port[0] if first_port else ""),
        "caller_address": fields.optional("listen.front"),
        "readiness_address": fields.optional("listen.ready"),
        "heartbeat_address": fields.optional("listen.control"),
        "executor_address": fields.optional("app"),
        "service": fields.optional("service"),
        "store_address": fields.required("platform.address"),
        "stop_limit": fields.number("bounds.grace_s", _GRACE_S),
        "remote_factor": fields.number("bounds.remote_factor", _REMOTE_FACTOR),
        "lease": _lease_settings(fields),
        "operator_feed": _follow_settings(fields, 1.0),
        "entries_feed": _follow_settings(fields, _ENTRIES_CONTACTS),
    }
    if fields.errors:
        raise InvalidInputGroup("settings file is invalid", fields.errors)
    return ProcessSettings(**settings)  # type: ignore[arg-type]


def _lease_settings(fields: _Fields) -> LeaseSettings:
    resubmit = fields.number("bounds.retransmit_ms", _RESUBMIT_MS) / 1000.0
    hold_max = fields.number("bounds.hold_max_ms", _HOLD_MAX_MS) / 1000.0
    stop = fields.number("bounds.stop_ms", _STOP_MS) / 1000.0
    left = resubmit - stop
    lease = min(_LEASE_SHARE * left, hold_max)
    try:
        return LeaseSettings(
            contact_limit=_CONTACT_SHARE * left,
            lease=lease,
            stop_time=stop,
            resubmit_delay=resubmit,
            busy_ping_interval=0.3 * _CONTACT_SHARE * left,
            hold_wait=lease / 3.0,
            order_timeout=0.4 * lease,
        )
    except InvalidInputError as error:
        fields.errors.append(error)
        return LeaseSettings()


def _follow_settings(fields: _Fields, contacts: float) -> FollowSettings:
    """Returns the times of a reader that may take so many contact limits."""
    contact = fields.number("bounds.contact_ms", _CONTACT_MS) / 1000.0
    apply = fields.number("bounds.config_apply_ms", _CONFIG_APPLY_MS) / 1000.0
    try:
        return derive_follow_settings(contact, apply, contacts * contact)
    except InvalidInputError as error:
        fields.errors.append(error)
        return FollowSettings()


def _split(text: str) -> list[tuple[str, str]]:
    lines = [line.strip() for line in text.splitlines()]
    pairs = [line.partition("=") for line in lines if line and "=" in line]
    return [(name.strip(), value.strip()) for name, _, value in pairs]


class _Fields:
    """Reads fields and collects what is wrong with them."""

    def __init__(self, fields: Mapping[str, str]) -> None:
        self._fields = fields
        self.errors: list[InvalidInputError] = []

    def required(self, name: str) -> str:
        value = self._fields.get(name, "")
        if not value:
            self.errors.append(InvalidInputError(name, value, "a value"))
        return value

    def optional(self, name: str) -> str:
        return self._fields.get(name, "")

    def list(self, name: str) -> list[str]:
        value = self._fields.get(name, "")
        return [item for item in value.split(",") if item]

    def number(self, name: str, default: float) -> float:
        text = self._fields.get(name, "")
        if not text:
            return default
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if value <= 0.0:
            error = InvalidInputError(name, text, "a number above 0")
            self.errors.append(error)
            return default
        return value

    def port(self, text: str) -> int:
        if text.isascii() and text.isdigit() and 0 < int(text) < 65536:
            return int(text)
        allowed = "ports from 1 to 65535"
        self.errors.append(InvalidInputError("port_range", text, allowed))
        return 1
