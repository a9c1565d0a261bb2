"""Acceptance of a revision by the voters of the previous revision."""

from __future__ import annotations

import math

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.control.voter import is_same_incarnation, majority
from gypsumline.core.identity import Member


class Acceptance:
    """Tracks whether a revision is accepted.

    A revision is accepted when fewer than a majority of the voters of the
    previous revision can still state the previous revision. A voter no longer
    can once it holds the new revision, or once a newer incarnation proves that
    this incarnation of it has ended.

    Args:
      record: The record whose acceptance is tracked.

    Attributes:
      revision: Revision of that record.
      accepted_at: Time of acceptance, or infinity before it.
    """

    def __init__(self, record: ControlRecord) -> None:
        self.revision = record.revision
        self.accepted_at = math.inf
        self._pending_voters = {
            voter.member_id: voter for voter in record.previous_voters
        }
        self._majority = majority(len(record.previous_voters))

    @property
    def is_accepted(self) -> bool:
        """Whether the revision is accepted."""
        return self.accepted_at < math.inf

    @property
    def pending_voters(self) -> tuple[str, ...]:
        """Ids of the voters that can still state the previous revision."""
        return tuple(sorted(self._pending_voters))

    def observe_revision(self, holder: Member, revision: int) -> None:
        """Records that a process holds a revision."""
        self.observe_incarnation(holder)
        voter = self._pending_voters.get(holder.member_id)
        if voter is None or revision < self.revision:
            return
        if is_same_incarnation(voter, holder):
            del self._pending_voters[holder.member_id]

    def observe_incarnation(self, member: Member) -> None:
        """Records that an incarnation exists, so earlier ones have ended."""
        voter = self._pending_voters.get(member.member_id)
        if voter is not None and member.incarnation > voter.incarnation:
            del self._pending_voters[member.member_id]

    def update(self, now: float) -> bool:
        """Returns whether the revision becomes accepted with this call."""
        if self.is_accepted or len(self._pending_voters) >= self._majority:
            return False
        self.accepted_at = now
        return True
