"""Decodes the operator's rows: queues, HTTP limits and excluded zones."""

from __future__ import annotations

import dataclasses
import logging
from typing import Annotated, TypeVar

import msgspec

from gypsumline.core.leases.job import QueueRules
from gypsumline.core.leases.messages import ZonesOut
from gypsumline.platform.rejections import RejectionLog
from gypsumline.platform.store import RowSet, StoredRow
from gypsumline.platform.wire_types import Milliseconds, Name, Sequence
from gypsumline.platform.zone_rows import ExcludedZoneRows
from gypsumline.runtime import metrics
from gypsumline.runtime.light_http_server import HttpLimits
from gypsumline.runtime.logs import rounded_seconds

_CONFIGURATION_KEY = "config"

_Part = TypeVar("_Part")

_LOGGER = logging.getLogger(__name__)


_Number = Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31)]
_Factor = Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
# With a limit of 0 every request would be refused.
_Bytes = Annotated[int, msgspec.Meta(ge=1, le=2**53)]
_Timeout = Annotated[float, msgspec.Meta(gt=0.0, le=2.0**53)]


class _WireRoute(msgspec.Struct):
    name: Name
    host: str
    path_prefix: str
    service: Name
    priority: _Number = 0
    max_attempts: _Number = 1
    stretch: _Factor = 1.0
    # Latency objective in addition to the stretched run time.
    target_latency_ms: Milliseconds = 0.0


class _WireLimits(msgspec.Struct):
    max_header_bytes: _Bytes = 16384
    max_body_bytes: _Bytes = 262144
    header_timeout_ms: _Timeout = 3000.0
    idle_timeout_ms: _Timeout = 15000.0


class _WireConfiguration(msgspec.Struct):
    version: Sequence
    # Decoded one by one, so that an invalid part does not block the others.
    routes: list[object] | None = None
    limits: object = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Maps a path prefix of a host to a queue.

    Attributes:
      prefix: Path prefix of the requests for the queue.
      queue: Rules of the queue.
    """

    prefix: str
    queue: QueueRules


class OperatorConfiguration:
    """Holds the newest configuration that the operator wrote.

    If a whole row, a single route or the limits cannot be decoded, their last
    valid value stays in force.

    Attributes:
      limits: Limits of the HTTP server for callers, updated in place.
    """

    def __init__(self) -> None:
        self._version = -1
        self._routes_by_name: dict[str, _WireRoute] = {}
        self._wire_limits = _WireLimits()
        self._routes_by_host: dict[str, list[Route]] = {}
        self._zones = ExcludedZoneRows()
        self.limits = HttpLimits()
        self._rejections = RejectionLog(
            "configuration",
            "configuration cannot be decoded; the last one stays in force",
            _LOGGER,
            logging.ERROR,
        )

    @property
    def version(self) -> int:
        """Version of the configuration; -1 before the first one."""
        return self._version

    @property
    def zones_out(self) -> ZonesOut:
        """Availability zones that are taken out of service."""
        return self._zones.zones_out

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the matching route with the longest path prefix."""
        name = host.partition(":")[0].lower()
        for route in self._routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def replace(self, rows: RowSet) -> None:
        """Applies a read of all rows of the operator's table.

        Zones without a row are in service again. A read that is older than the
        known version of the table is ignored.
        """
        if rows.version < self._zones.version:
            _LOGGER.warning(
                "stale read of the table ignored",
                extra={
                    "row_version": rows.version,
                    "known_row_version": self._zones.version,
                    "silence": rounded_seconds(rows.silence),
                },
            )
            return
        self._zones.replace(rows)
        self._apply_configurations(rows)

    def apply(self, rows: RowSet) -> None:
        """Applies changed rows of the operator's table."""
        self._zones.apply(rows)
        self._apply_configurations(rows)

    def _apply_configurations(self, rows: RowSet) -> None:
        for row in rows.rows:
            if row.key == _CONFIGURATION_KEY:
                self._apply_configuration(row, rows)

    def _apply_configuration(self, row: StoredRow, rows: RowSet) -> None:
        try:
            wire = msgspec.json.decode(
                row.value or b"", type=_WireConfiguration, strict=False
            )
        except (msgspec.DecodeError, RecursionError) as error:
            self._rejections.record(
                row.value, str(error), row_version=row.version
            )
            return
        if wire.version <= self._version:
            _LOGGER.info(
                "configuration is not newer",
                extra={"version": wire.version, "in_force": self._version},
            )
            return
        self._version = wire.version
        values = wire.routes or []
        routes = [r for value in values if (r := self._decode_route(value))]
        self._routes_by_name = {route.name: route for route in routes}
        self._routes_by_host = _group_by_host(routes)
        self._apply_limits(wire.limits)
        metrics.CONFIGURATION_VERSION.set(wire.version)
        _LOGGER.info(
            "configuration in force",
            extra={
                "version": wire.version,
                "row_version": row.version,
                "queues": len(routes),
                "source": rows.source.value,
                "waited": rounded_seconds(rows.waited),
                "silence": rounded_seconds(rows.silence),
            },
        )

    def _decode_route(self, value: object) -> _WireRoute | None:
        """Returns a route, or its last valid version if it is invalid."""
        try:
            return _decode_part(value, _WireRoute)
        except (msgspec.ValidationError, RecursionError) as error:
            name = value.get("name", "") if isinstance(value, dict) else ""
            if not isinstance(name, str):
                name = ""
            _log_invalid_part(f"route {name[:80]}".strip(), error)
            return self._routes_by_name.get(name)

    def _apply_limits(self, value: object) -> None:
        try:
            self._wire_limits = _decode_part(value or {}, _WireLimits)
        except (msgspec.ValidationError, RecursionError) as error:
            _log_invalid_part("limits", error)
        limits = self._wire_limits
        self.limits.header_bytes = limits.max_header_bytes
        self.limits.body_bytes = limits.max_body_bytes
        self.limits.header_timeout = limits.header_timeout_ms / 1000.0
        self.limits.idle_timeout = limits.idle_timeout_ms / 1000.0


def _decode_part(value: object, part_type: type[_Part]) -> _Part:
    """Decodes a part of the configuration.

    A null counts as a missing field, and 4.0 as the integer 4.

    Raises:
      msgspec.ValidationError: The part is invalid.
      RecursionError: The part is nested too deeply.
    """
    if isinstance(value, dict):
        value = {name: v for name, v in value.items() if v is not None}
    return msgspec.convert(value, part_type, strict=False)


def _log_invalid_part(part: str, error: Exception) -> None:
    metrics.REJECTED_INPUTS.labels("configuration").inc()
    _LOGGER.error(
        "part of the configuration cannot be read",
        extra={"part": part, "detail": str(error)},
    )


def _group_by_host(routes: list[_WireRoute]) -> dict[str, list[Route]]:
    """Returns the routes of each host, sorted from long to short prefixes."""
    by_host: dict[str, list[Route]] = {}
    for wire in routes:
        queue = QueueRules(
            name=wire.name,
            service=wire.service,
            priority=wire.priority,
            attempts=max(1, wire.max_attempts),
            stretch=wire.stretch,
            latency=wire.target_latency_ms / 1000.0,
        )
        route = Route(prefix=wire.path_prefix, queue=queue)
        by_host.setdefault(wire.host.lower(), []).append(route)
    for host_routes in by_host.values():
        host_routes.sort(key=lambda route: -len(route.prefix))
    return by_host
