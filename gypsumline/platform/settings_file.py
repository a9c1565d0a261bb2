"""The settings file that the platform writes for each process.

Lines have the form `a.b=value`; items of lists are separated by commas. Unknown
fields are ignored.
"""

from __future__ import annotations

import dataclasses
import math
import os
import pathlib
from collections.abc import Mapping

from gypsumline.core.errors import InvalidInputError, InvalidInputGroup
from gypsumline.core.leases.settings import LeaseSettings
from gypsumline.runtime.addresses import PORT_MAX, parse_address
from gypsumline.table.follow_settings import (
    FollowSettings,
    derive_follow_settings,
)

PATH_VARIABLE = "GYPSUMLINE_NODE_FILE"
DEFAULT_PATH = "/etc/gypsumline/boot.conf"

# Fractions for the contact limit and the lease of the time from the loss of a
# connection to the resubmission of the job, less the executor's stop time. The
# rest is a margin for overdue timers.
_CONTACT_LIMIT_FRACTION = 0.4
_LEASE_FRACTION = 0.48
# Fraction of the time from an evacuation to the last start there. The rest is
# for an agent's own read of the zones.
_ZONES_AGE_FRACTION = 0.6
# Defaults for bounds that the file omits: the usual values of the platform.
_DEFAULT_RESUBMIT_MS = 1300.0
_DEFAULT_HOLD_MAX_MS = 1000.0
_DEFAULT_STOP_MS = 50.0
_DEFAULT_GRACE_S = 6.0
_DEFAULT_REMOTE_FACTOR = 1.5
_DEFAULT_CONTACT_MS = 3000.0
_DEFAULT_CONFIG_APPLY_MS = 2000.0
_DEFAULT_EVACUATE_MS = 5000.0
# Upper limit of all bounds, whatever their unit; timers take no longer times.
_NUMBER_MAX = 1e9
# Time limit of the agents' feed of entries, in contact limits. It is long since
# there are many agents, each of their requests costs money, and an entry that
# one agent does not know yet is served by the other agents.
_ENTRIES_FEED_CONTACT_LIMITS = 4.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSettings:
    """Settings of one process; times are in seconds.

    Attributes:
      member_id: Name of the process.
      availability_zone: Availability zone of the host.
      address: IP address of the host.
      stream_port: Port for streams between entries and agents.
      caller_address: Address for callers; "" if there are none.
      readiness_address: Address of the load balancer's readiness checks; "" if
        there are none.
      heartbeat_address: Address for the executor's heartbeats; "" if there is
        no executor.
      executor_address: Address of the executor; "" if there is none.
      service: Service of the executor beside the agent; "" if unknown.
      store_address: Address of the platform's store.
      stop_limit: Time from the stop signal to the kill.
      remote_factor: Factor of the run time outside the rack of the data.
      lease: Settings of leased runs.
      operator_feed: Settings of the feed of the operator's table.
      entries_feed: Settings of an agent's feed of the table of entries.
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
    """Returns the path of the settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def read_settings(path: pathlib.Path) -> ProcessSettings:
    """Returns the settings in a file.

    Raises:
      InvalidInputGroup: Fields are missing or invalid.
      OSError: The file cannot be read.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        invalid = InvalidInputError("text", error.object[:80], "UTF-8")
        raise InvalidInputGroup(
            "settings file is invalid", [invalid]
        ) from error
    return parse_settings(text)


def parse_settings(text: str) -> ProcessSettings:
    """Returns the settings in the text of a file.

    Raises:
      InvalidInputGroup: Fields are missing or invalid.
    """
    fields = _FieldReader(dict(_parse_lines(text)))
    ports = fields.list("port_range")
    settings = {
        "member_id": fields.required("node"),
        "availability_zone": fields.required("zone"),
        "address": fields.required("ip"),
        "stream_port": fields.port(ports[0] if ports else ""),
        "caller_address": fields.address("listen.front"),
        "readiness_address": fields.address("listen.ready"),
        "heartbeat_address": fields.address("listen.control"),
        "executor_address": fields.address("app"),
        "service": fields.optional("service"),
        "store_address": fields.address("platform.address", is_required=True),
        "stop_limit": fields.number("bounds.grace_s", _DEFAULT_GRACE_S),
        "remote_factor": fields.number(
            "bounds.remote_factor", _DEFAULT_REMOTE_FACTOR
        ),
        "lease": _lease_settings(fields),
        "operator_feed": _follow_settings(fields, 1.0),
        "entries_feed": _follow_settings(fields, _ENTRIES_FEED_CONTACT_LIMITS),
    }
    if fields.errors:
        raise InvalidInputGroup("settings file is invalid", fields.errors)
    return ProcessSettings(**settings)  # type: ignore[arg-type]


def _lease_settings(fields: _FieldReader) -> LeaseSettings:
    resubmit = (
        fields.number("bounds.retransmit_ms", _DEFAULT_RESUBMIT_MS) / 1000.0
    )
    hold_max = (
        fields.number("bounds.hold_max_ms", _DEFAULT_HOLD_MAX_MS) / 1000.0
    )
    stop = fields.number("bounds.stop_ms", _DEFAULT_STOP_MS) / 1000.0
    evacuate = (
        fields.number("bounds.evacuate_ms", _DEFAULT_EVACUATE_MS) / 1000.0
    )
    available = resubmit - stop
    lease = min(_LEASE_FRACTION * available, hold_max)
    try:
        return LeaseSettings(
            contact_limit=_CONTACT_LIMIT_FRACTION * available,
            lease=lease,
            stop_time=stop,
            resubmit_delay=resubmit,
            ping_answer_time=0.2 * _CONTACT_LIMIT_FRACTION * available,
            busy_ping_interval=0.4 * _CONTACT_LIMIT_FRACTION * available,
            hold_wait=lease / 3.0,
            order_timeout=0.4 * lease,
            order_timeout_min=0.01 * lease,
            start_repeat_limit=0.8 * lease,
            lossy_hold_interval=0.05 * lease,
            zones_age_limit=_ZONES_AGE_FRACTION * evacuate,
        )
    except InvalidInputError as error:
        fields.errors.append(error)
        return LeaseSettings()


def _follow_settings(
    fields: _FieldReader, contact_limits: float
) -> FollowSettings:
    """Returns the settings of a feed.

    Args:
      fields: Fields of the settings file.
      contact_limits: Time within which the reader must catch up after a fault,
        in contact limits.
    """
    contact = fields.number("bounds.contact_ms", _DEFAULT_CONTACT_MS) / 1000.0
    apply = (
        fields.number("bounds.config_apply_ms", _DEFAULT_CONFIG_APPLY_MS)
        / 1000.0
    )
    try:
        return derive_follow_settings(contact, apply, contact_limits * contact)
    except InvalidInputError as error:
        fields.errors.append(error)
        return FollowSettings()


def _parse_lines(text: str) -> list[tuple[str, str]]:
    lines = [line.strip() for line in text.splitlines()]
    pairs = [line.partition("=") for line in lines if line and "=" in line]
    return [(name.strip(), value.strip()) for name, _, value in pairs]


class _FieldReader:
    """Reads fields and collects the errors in them."""

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
        if not (math.isfinite(value) and 0.0 < value <= _NUMBER_MAX):
            allowed = f"a number above 0, up to {_NUMBER_MAX:.0f}"
            error = InvalidInputError(name, text, allowed)
            self.errors.append(error)
            return default
        return value

    def address(self, name: str, *, is_required: bool = False) -> str:
        """Returns an address; "" if the field is missing or invalid."""
        text = self.required(name) if is_required else self.optional(name)
        if not text:
            return ""
        try:
            parse_address(text, name)
        except InvalidInputError as error:
            self.errors.append(error)
            return ""
        return text

    def port(self, text: str) -> int:
        is_number = text.isascii() and text.isdigit() and len(text) <= 5
        if is_number and 0 < int(text) <= PORT_MAX:
            return int(text)
        allowed = "ports from 1 to 65535"
        self.errors.append(InvalidInputError("port_range", text, allowed))
        return 1
