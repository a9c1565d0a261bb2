"""Voters: what one incarnation of a process has promised.

A voter that holds a revision never states a lower one. A restarted process has
forgotten what it held, so its new incarnation neither states nor acknowledges
until a revision lists it.
"""

from __future__ import annotations

from collections.abc import Iterable

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.identity import Member
from gypsumline.core.messages import ControlAck, Statement, StatementRequest


def majority(count: int) -> int:
    """Returns the smallest number that is more than half of a count."""
    return count // 2 + 1


def is_same_incarnation(one: Member, other: Member) -> bool:
    """Returns whether two members are the same incarnation of a process."""
    return (one.member_id, one.incarnation) == (
        other.member_id,
        other.incarnation,
    )


def is_listed(members: Iterable[Member], member: Member) -> bool:
    """Returns whether this incarnation is among the members."""
    return any(is_same_incarnation(listed, member) for listed in members)


class Voter:
    """Statements and acknowledgements of one incarnation."""

    def __init__(self, me: Member) -> None:
        self._me = me
        self._record = ControlRecord()
        self._was_listed = False

    @property
    def is_voter(self) -> bool:
        """Whether the newest known revision lists this incarnation."""
        return is_listed(self._record.voters, self._me)

    def set_record(self, record: ControlRecord) -> None:
        """Takes over a newer record."""
        self._record = record
        listed = record.voters + record.previous_voters
        self._was_listed = self._was_listed or is_listed(listed, self._me)

    def make_statement(self, request: StatementRequest) -> Statement | None:
        """Returns a statement, or None if this incarnation may not state."""
        if not self._was_listed:
            return None
        return Statement(
            round_id=request.round_id,
            revision=self._record.revision,
            incarnation=self._me.incarnation,
        )

    def make_acknowledgement(self) -> ControlAck | None:
        """Returns an acknowledgement, or None if it would not count."""
        if not self._was_listed:
            return None
        return ControlAck(
            revision=self._record.revision, incarnation=self._me.incarnation
        )
