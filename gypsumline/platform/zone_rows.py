"""Rows of the operator's table that take availability zones out of service."""

from __future__ import annotations

import logging

from gypsumline.core.leases.messages import ZonesOut
from gypsumline.platform.store import RowSet, StoredRow

OPERATOR_TABLE = "op"
_EXCLUDED_ZONE_PREFIX = "evacuate/"

_LOGGER = logging.getLogger(__name__)


class ExcludedZoneRows:
    """Tracks the excluded zones by the rows of the operator's table."""

    def __init__(self) -> None:
        self._zones: set[str] = set()
        self._version = -1

    @property
    def version(self) -> int:
        """Newest version of the table whose rows were applied."""
        return self._version

    @property
    def zones_out(self) -> ZonesOut:
        """Availability zones that are taken out of service."""
        return ZonesOut(version=self._version, zones=tuple(sorted(self._zones)))

    def replace(self, rows: RowSet) -> None:
        """Applies a read of all rows; zones without one are in service again.

        A read that is older than the known version of the table is ignored.
        """
        if rows.version >= self._version:
            self._zones = set()
            self.apply(rows)

    def apply(self, rows: RowSet) -> None:
        """Applies changed rows."""
        for row in rows.rows:
            if row.key.startswith(_EXCLUDED_ZONE_PREFIX):
                self._apply_row(row)
        self._version = max(self._version, rows.version)

    def _apply_row(self, row: StoredRow) -> None:
        zone = row.key.removeprefix(_EXCLUDED_ZONE_PREFIX)
        if row.is_removed:
            self._zones.discard(zone)
        else:
            self._zones.add(zone)
        _LOGGER.info(
            "availability zone changed",
            extra={
                "zone": zone,
                "out": not row.is_removed,
                "row_version": row.version,
            },
        )
