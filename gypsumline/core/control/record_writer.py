"""Writes of the control row, one at a time."""

from __future__ import annotations

import dataclasses

from gypsumline.core.control.control_settings import ControlSettings
from gypsumline.core.control.record import ControlRecord
from gypsumline.core.effects import (
    ConfigurationRow,
    TableWriteResult,
    WriteTable,
)
from gypsumline.core.identity import Member


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PendingWrite:
    """A write that was sent and has no result yet.

    Attributes:
      write_id: Number of the write.
      record: The record to write.
      asked_at: Time at which the write was sent.
      purpose: "membership" or "change".
    """

    write_id: int
    record: ControlRecord
    asked_at: float
    purpose: str


class RecordWriter:
    """Creates writes of the control row and matches their results.

    Args:
      local_member: The writing entry; its id is part of membership write
        tokens.
      settings: Settings of the control state.

    Attributes:
      pending: The write in flight, or None.
    """

    def __init__(self, local_member: Member, settings: ControlSettings) -> None:
        self._local_member = local_member
        self._settings = settings
        self._next_id = 1
        self.pending: PendingWrite | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no write is in flight."""
        return self.pending is None

    def write(
        self,
        record: ControlRecord,
        now: float,
        *,
        token: str = "",
        row: ConfigurationRow | None = None,
    ) -> WriteTable:
        """Starts the write of a record.

        Args:
          record: The record to write.
          now: Current time.
          token: Write token of a configuration change, or "" to generate one.
          row: Row of a configuration change, or None for a membership change.
        """
        write_id = self._next_id
        self._next_id += 1
        self.pending = PendingWrite(
            write_id=write_id,
            record=record,
            asked_at=now,
            purpose="change" if row is not None else "membership",
        )
        generated = (
            f"{self._local_member.member_id}/{self._local_member.incarnation}"
            f"/{write_id}"
        )
        return WriteTable(
            write_id=write_id,
            record=record,
            write_token=token or generated,
            row=row,
        )

    def complete(self, result: TableWriteResult) -> PendingWrite | None:
        """Ends and returns the write of a result, or None if it expired."""
        pending = self.pending
        if pending is None or pending.write_id != result.write_id:
            return None
        self.pending = None
        return pending

    def expire(self, now: float) -> PendingWrite | None:
        """Ends and returns the write if its result is overdue, or None."""
        pending = self.pending
        if pending is None:
            return None
        if now - pending.asked_at < self._settings.write_timeout:
            return None
        self.pending = None
        return pending
