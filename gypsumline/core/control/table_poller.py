"""Reads of the control row at a steady rate, with a bound on open ones."""

from __future__ import annotations

import math

from gypsumline.core.control.control_settings import ControlSettings
from gypsumline.core.effects import ReadTable, TableReadResult

# Reads that may be open at once while the table is slow; together they cover
# one evidence_ttl at the normal poll interval.
_MAX_READS_IN_FLIGHT = 4


class TablePoller:
    """Decides when the table is read and what the last answers were.

    Args:
      settings: Settings of the control state.
    """

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._next_id = 1
        self._next_at = -math.inf
        self._in_flight: dict[int, float] = {}
        self.answered_at = -math.inf
        self.is_table_empty = False

    def schedule_read(self, now: float) -> None:
        """Makes the next read due at once."""
        self._next_at = min(self._next_at, now)

    def tick(self, now: float) -> list[ReadTable]:
        """Returns the reads that are due."""
        ttl = self._settings.evidence_ttl
        self._in_flight = {
            i: at for i, at in self._in_flight.items() if now - at < ttl
        }
        if now < self._next_at or len(self._in_flight) >= _MAX_READS_IN_FLIGHT:
            return []
        self._next_at = now + self._settings.table_poll_interval
        read_id = self._next_id
        self._next_id += 1
        self._in_flight[read_id] = now
        return [ReadTable(read_id=read_id)]

    def on_result(self, result: TableReadResult) -> bool:
        """Notes an answer; returns whether the table answered.

        `answered_at` becomes the time of the request, since the row may have
        changed at any later time.
        """
        self._in_flight.pop(result.read_id, None)
        if not result.ok:
            return False
        if result.asked_at >= self.answered_at:
            self.answered_at = result.asked_at
            self.is_table_empty = result.record is None
        return True
