"""Statements and acknowledgements of voters.

A voter that holds a revision never states a lower one. A process does not
persist which revision it held, so after a restart its new incarnation neither
states nor acknowledges a revision until a record lists that incarnation.
"""

from __future__ import annotations

from collections.abc import Iterable

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.identity import Member
from gypsumline.core.messages import ControlAck, Statement, StatementRequest


def majority(count: int) -> int:
    """Returns the smallest number above half of a count."""
    return count // 2 + 1


def is_same_incarnation(one: Member, other: Member) -> bool:
    """Returns whether two members are the same incarnation of a process."""
    return (one.member_id, one.incarnation) == (
        other.member_id,
        other.incarnation,
    )


def is_listed(members: Iterable[Member], member: Member) -> bool:
    """Returns whether the members contain an incarnation."""
    return any(is_same_incarnation(listed, member) for listed in members)


class Voter:
    """Creates the statements and acknowledgements of one incarnation."""

    def __init__(self, local_member: Member) -> None:
        self._local_member = local_member
        self._record = ControlRecord()
        self._was_listed = False

    @property
    def is_voter(self) -> bool:
        """Whether this incarnation is a voter of the newest known record."""
        return is_listed(self._record.voters, self._local_member)

    def set_record(self, record: ControlRecord) -> None:
        """Sets the newest known record."""
        self._record = record
        listed = record.voters + record.previous_voters
        self._was_listed = self._was_listed or is_listed(
            listed, self._local_member
        )

    def make_statement(self, request: StatementRequest) -> Statement | None:
        """Returns a statement, or None if this incarnation may not state."""
        if not self._was_listed:
            return None
        return Statement(
            round_id=request.round_id,
            revision=self._record.revision,
            incarnation=self._local_member.incarnation,
        )

    def make_acknowledgement(self) -> ControlAck | None:
        """Returns an acknowledgement, or None if it would not count."""
        if not self._was_listed:
            return None
        return ControlAck(
            revision=self._record.revision,
            incarnation=self._local_member.incarnation,
        )
