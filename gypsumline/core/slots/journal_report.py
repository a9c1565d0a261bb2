"""Answers to journal queries, split to stay below the frame limit."""

from __future__ import annotations

from gypsumline.core.effects import Effect, Send
from gypsumline.core.identity import Member
from gypsumline.core.messages import JournalEntry, JournalReport
from gypsumline.core.slots.journal import Journal
from gypsumline.core.slots.slot_settings import SlotSettings
from gypsumline.core.slots.start_rules import StartRules


def build_reports(
    receiver: Member,
    journal: Journal,
    rules: StartRules,
    settings: SlotSettings,
) -> list[Effect]:
    """Returns journal reports with the entries of the receiver's keys."""
    parts: list[list[JournalEntry]] = [[]]
    size = 0
    for record, entries in journal.entries():
        if not rules.is_owner(receiver, record.key):
            continue
        for entry in entries:
            length = 0 if entry.result is None else len(entry.result.value)
            is_full = len(parts[-1]) >= settings.report_entries
            if parts[-1] and (is_full or size + length > settings.report_bytes):
                parts.append([])
                size = 0
            parts[-1].append(entry)
            size += length
    return [
        Send(
            to=receiver.member_id,
            message=JournalReport(
                revision=rules.revision,
                entries=tuple(part),
                complete_since=journal.complete_since,
                last=number == len(parts) - 1,
                part=number,
                owner_incarnation=receiver.incarnation,
            ),
        )
        for number, part in enumerate(parts)
    ]
