"""Periodic reads of the control row, with a limit on reads in flight."""

from __future__ import annotations

import math

from gypsumline.core.control.control_settings import ControlSettings
from gypsumline.core.effects import ReadTable, TableReadResult

# Limits reads in flight while the table is slow. At the default poll interval
# this many reads cover one evidence_ttl.
_MAX_READS_IN_FLIGHT = 4


class TablePoller:
    """Schedules table reads and tracks their newest answer.

    Args:
      settings: Settings of the control state.

    Attributes:
      answered_at: Request time of the newest answered read.
      is_table_empty: Whether that read found no record.
    """

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._next_id = 1
        self._next_at = -math.inf
        self._in_flight: dict[int, float] = {}
        self.answered_at = -math.inf
        self.is_table_empty = False

    def schedule_read(self, now: float) -> None:
        """Makes the next read due immediately."""
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
        """Handles the result of a read; returns whether it succeeded.

        `answered_at` is the time of the request rather than of the answer,
        because the row may have changed at any time after the request.
        """
        self._in_flight.pop(result.read_id, None)
        if not result.ok:
            return False
        if result.asked_at >= self.answered_at:
            self.answered_at = result.asked_at
            self.is_table_empty = result.record is None
        return True
