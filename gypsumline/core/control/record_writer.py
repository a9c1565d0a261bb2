"""One write of the control row at a time."""

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
    """A write that was sent.

    Attributes:
      write_id: Number of the write.
      record: The record to write.
      asked_at: Time at which it was sent.
      purpose: "membership" or "change".
    """

    write_id: int
    record: ControlRecord
    asked_at: float
    purpose: str


class RecordWriter:
    """Sends writes and matches their results.

    Args:
      me: The writing entry; part of each membership write's token.
      settings: Settings of the control state.
    """

    def __init__(self, me: Member, settings: ControlSettings) -> None:
        self._me = me
        self._settings = settings
        self._next_id = 1
        self.pending: PendingWrite | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no write waits for its result."""
        return self.pending is None

    def write(
        self,
        record: ControlRecord,
        now: float,
        *,
        token: str = "",
        row: ConfigurationRow | None = None,
    ) -> WriteTable:
        """Returns the write of a record; a change passes its token and row."""
        write_id = self._next_id
        self._next_id += 1
        self.pending = PendingWrite(
            write_id=write_id,
            record=record,
            asked_at=now,
            purpose="change" if row is not None else "membership",
        )
        own = f"{self._me.member_id}/{self._me.incarnation}/{write_id}"
        return WriteTable(
            write_id=write_id, record=record, write_token=token or own, row=row
        )

    def complete(self, result: TableWriteResult) -> PendingWrite | None:
        """Returns the write that a result belongs to, if it still waits."""
        pending = self.pending
        if pending is None or pending.write_id != result.write_id:
            return None
        self.pending = None
        return pending

    def expire(self, now: float) -> PendingWrite | None:
        """Returns a write whose result is overdue and stops waiting for it."""
        pending = self.pending
        if pending is None:
            return None
        if now - pending.asked_at < self._settings.write_timeout:
            return None
        self.pending = None
        return pending
