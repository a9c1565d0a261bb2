"""Configuration changes of operators, from proposal to outcome."""

from __future__ import annotations

import dataclasses
import math
from collections import deque

from gypsumline.core.chart import ChartInstance, load_chart
from gypsumline.core.control.control_settings import ControlSettings
from gypsumline.core.control.record import ConfigurationNote, ControlRecord
from gypsumline.core.control.record_writer import PendingWrite, RecordWriter
from gypsumline.core.effects import (
    ChangeOutcome,
    ConfigurationChange,
    ConfigurationRow,
    Decision,
    Effect,
)

# Notes of configuration versions kept in the record. At 11,000 changes per day
# they cover about four minutes, longer than a change can stay pending.
_MAX_NOTES = 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlView:
    """Snapshot of the control state that pending changes depend on.

    Attributes:
      record: The newest known record.
      is_accepted: Whether that record is accepted.
      can_write_next: Whether the next revision may be written.
      table_read_at: Request time of the newest answered table read.
    """

    record: ControlRecord
    is_accepted: bool
    can_write_next: bool
    table_read_at: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _Proposal:
    """A proposed change and its progress.

    Attributes:
      request_id: Number of the operator's request.
      change: The proposed change.
      proposed_at: Time of the proposal.
      wall: UTC of the proposal, in seconds.
      chart: State in the chart "change".
      attempted_record: The record of the newest write, if there was one.
      version: Configuration version of the written change.
      revision: Revision of a record that contains the written change.
      uncertain_since: Time from which the result of the write is unknown.
    """

    request_id: int
    change: ConfigurationChange
    proposed_at: float
    wall: float
    chart: ChartInstance
    attempted_record: ControlRecord | None = None
    version: int = 0
    revision: int = 0
    uncertain_since: float = math.inf


class ChangeQueue:
    """Pending changes of one entry, processed one at a time.

    Args:
      settings: Settings of the control state.
      writer: Writer of the control row, shared with membership changes.
    """

    def __init__(self, settings: ControlSettings, writer: RecordWriter) -> None:
        self._settings = settings
        self._writer = writer
        self._queue: deque[_Proposal] = deque()

    @property
    def is_empty(self) -> bool:
        """Whether no change is pending."""
        return not self._queue

    @property
    def has_uncertain_write(self) -> bool:
        """Whether a write of the first change has an unknown result."""
        return self._state == "settling"

    @property
    def _state(self) -> str:
        return self._queue[0].chart.state if self._queue else ""

    def propose(
        self,
        request_id: int,
        change: ConfigurationChange,
        now: float,
        wall: float,
    ) -> list[Effect]:
        """Adds a change to the queue."""
        proposal = _Proposal(
            request_id=request_id,
            change=change,
            proposed_at=now,
            wall=wall,
            chart=ChartInstance(load_chart("change")),
        )
        self._queue.append(proposal)
        return [_state_decision(proposal)]

    def states(self) -> dict[int, str]:
        """Returns the state of each pending change, by request id."""
        return {p.request_id: p.chart.state for p in self._queue}

    def abandon_all(self, view: ControlView) -> list[Effect]:
        """Ends all pending changes because this incarnation was removed."""
        effects: list[Effect] = []
        while self._queue:
            effects += self._abandon(
                self._queue.popleft(), view, "this process was removed"
            )
        return effects

    def on_write_result(
        self, pending: PendingWrite, kind: str, now: float
    ) -> list[Effect]:
        """Handles the result of a write of the first change."""
        if not self._queue or self._state != "writing":
            return []
        proposal = self._queue[0]
        if proposal.attempted_record is not pending.record:
            return []
        if kind == "written":
            return self._confirm(proposal, pending.record)
        proposal.uncertain_since = now
        return self._fire(proposal, "doubt")

    def advance(self, view: ControlView, now: float) -> list[Effect]:
        """Advances changes as far as the view allows; ends overdue ones."""
        effects: list[Effect] = []
        while self._queue:
            step_effects = self._advance_one(self._queue[0], view, now)
            effects += step_effects
            if self._queue and self._queue[0].chart.is_final:
                self._queue.popleft()
            elif not step_effects:
                break
        return effects + self._expire_queued(view, now)

    def _advance_one(
        self, proposal: _Proposal, view: ControlView, now: float
    ) -> list[Effect]:
        steps = {
            "proposed": self._on_proposed,
            "completing": self._on_completing,
            "settling": self._on_settling,
            "acknowledging": self._on_acknowledging,
        }
        step = steps.get(proposal.chart.state)
        effects = step(proposal, view, now) if step is not None else []
        if not effects and self._is_overdue(proposal, now):
            return self._abandon(proposal, view, self._overdue_reason)
        return effects

    def _on_proposed(
        self, proposal: _Proposal, view: ControlView, now: float
    ) -> list[Effect]:
        if view.table_read_at < proposal.proposed_at:
            return []
        return self._fire(proposal, "read")

    def _on_completing(
        self, proposal: _Proposal, view: ControlView, now: float
    ) -> list[Effect]:
        if _find_note(view.record, proposal) is not None:
            # The operator resent a change that was already written.
            return self._confirm(proposal, view.record)
        if proposal.change.base_version != view.record.configuration_version:
            detail = _describe_conflict(
                view.record, proposal.change.base_version
            )
            return self._refuse(proposal, view, detail)
        if not view.can_write_next or not self._writer.is_idle:
            return []
        proposal.attempted_record = _apply_change(view.record, proposal)
        return self._write(proposal, now)

    def _on_settling(
        self, proposal: _Proposal, view: ControlView, now: float
    ) -> list[Effect]:
        attempted_record = proposal.attempted_record
        if (
            attempted_record is None
            or view.table_read_at < proposal.uncertain_since
        ):
            return []
        if _find_note(view.record, proposal) is not None:
            return self._confirm(proposal, view.record)
        notes = view.record.changes
        if notes and notes[0].version > attempted_record.configuration_version:
            reason = "the notes of that version are no longer kept"
            return self._abandon(proposal, view, reason)
        if view.record.revision >= attempted_record.revision:
            # Another write created this revision, so the attempted write can no
            # longer take effect.
            return self._fire(proposal, "rebase")
        if not self._writer.is_idle:
            return []
        # The earlier write may still arrive. Both have the same content and
        # revision, so it does not matter which of them takes effect.
        return self._write(proposal, now)

    def _on_acknowledging(
        self, proposal: _Proposal, view: ControlView, now: float
    ) -> list[Effect]:
        # A later revision is written only after this revision was accepted.
        is_later = view.record.revision > proposal.revision
        if not is_later and not view.is_accepted:
            return []
        effects = self._fire(proposal, "accept")
        detail = f"accepted as version {proposal.version}"
        outcome = _outcome(proposal, "accepted", proposal.version, detail)
        return [*effects, outcome]

    def _confirm(
        self, proposal: _Proposal, record: ControlRecord
    ) -> list[Effect]:
        """Confirms a change by a record that contains it."""
        note = _find_note(record, proposal)
        assert note is not None
        proposal.version = note.version
        proposal.revision = record.revision
        return self._fire(proposal, "confirm")

    def _write(self, proposal: _Proposal, now: float) -> list[Effect]:
        assert proposal.attempted_record is not None
        change = proposal.change
        row = ConfigurationRow(
            version=proposal.attempted_record.configuration_version,
            text=change.text,
            author=change.author,
            note=change.note,
            written_at_wall=proposal.wall,
            write_token=change.write_token,
        )
        effects = self._fire(proposal, "write")
        write = self._writer.write(
            proposal.attempted_record, now, token=change.write_token, row=row
        )
        return effects + [write]

    def _is_overdue(self, proposal: _Proposal, now: float) -> bool:
        age = now - proposal.proposed_at
        return age > self._settings.change_timeout

    @property
    def _overdue_reason(self) -> str:
        limit = self._settings.change_timeout
        return (
            f"the table or a majority of the voters did not answer"
            f" within {limit:g} s"
        )

    def _abandon(
        self, proposal: _Proposal, view: ControlView, reason: str
    ) -> list[Effect]:
        # A change with the same token may have been written by another entry.
        is_written = _find_note(view.record, proposal) is not None
        if proposal.chart.can_fire("refuse") and not is_written:
            return self._refuse(proposal, view, f"not written: {reason}")
        if not proposal.chart.can_fire("give_up"):
            return []
        token = proposal.change.write_token
        effects = self._fire(proposal, "give_up")
        detail = f"{reason}; ask again with write token {token}"
        version = view.record.configuration_version
        return effects + [_outcome(proposal, "unknown", version, detail)]

    def _refuse(
        self, proposal: _Proposal, view: ControlView, detail: str
    ) -> list[Effect]:
        effects = self._fire(proposal, "refuse")
        version = view.record.configuration_version
        return effects + [_outcome(proposal, "refused", version, detail)]

    def _expire_queued(self, view: ControlView, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for proposal in list(self._queue)[1:]:
            if self._is_overdue(proposal, now):
                self._queue.remove(proposal)
                effects += self._abandon(proposal, view, self._overdue_reason)
        return effects

    def _fire(self, proposal: _Proposal, trigger: str) -> list[Effect]:
        proposal.chart.fire(trigger)
        return [_state_decision(proposal)]


def make_refusal(request_id: int, record: ControlRecord) -> ChangeOutcome:
    """Returns a refusal for a process that may not write changes."""
    return ChangeOutcome(
        request_id=request_id,
        kind="refused",
        version=record.configuration_version,
        detail="not written: this process leaves, was removed or is an agent",
    )


def _state_decision(proposal: _Proposal) -> Decision:
    fields: dict[str, object] = {
        "request_id": proposal.request_id,
        "state": proposal.chart.state,
        "write_token": proposal.change.write_token,
    }
    return Decision(event="change", fields=fields)


def _find_note(
    record: ControlRecord, proposal: _Proposal
) -> ConfigurationNote | None:
    return record.find_change(proposal.change.write_token)


def _apply_change(record: ControlRecord, proposal: _Proposal) -> ControlRecord:
    change = proposal.change
    version = record.configuration_version + 1
    note = ConfigurationNote(
        version=version,
        author=change.author,
        note=change.note,
        write_token=change.write_token,
        written_at_wall=proposal.wall,
    )
    return dataclasses.replace(
        record,
        revision=record.revision + 1,
        configuration_version=version,
        configuration=change.configuration,
        previous_voters=record.voters,
        changes=(*record.changes, note)[-_MAX_NOTES:],
    )


def _describe_conflict(record: ControlRecord, base_version: int) -> str:
    newest = record.configuration_version
    if base_version > newest:
        return f"base version {base_version} does not exist; newest: {newest}"
    notes = [note for note in record.changes if note.version > base_version]
    changes = "; ".join(
        f"version {note.version} by {note.author}: {note.note}"
        for note in notes
    )
    return f"not in force; changed since version {base_version}: {changes}"


def _outcome(
    proposal: _Proposal, kind: str, version: int, detail: str
) -> ChangeOutcome:
    return ChangeOutcome(
        request_id=proposal.request_id,
        kind=kind,
        version=version,
        detail=detail,
    )
