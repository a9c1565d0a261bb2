"""Acceptance of a revision by the voters of the revision before it."""

from __future__ import annotations

import math

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.control.voter import is_same_incarnation, majority
from gypsumline.core.identity import Member


class Acceptance:
    """Tells when a revision counts as accepted.

    It is accepted when fewer than a majority of the voters of the revision
    before it could still state that older revision. A voter cannot if it holds
    the newer revision or if a newer incarnation proves that it is gone.

    Args:
      record: The record whose acceptance is followed.
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
        """Ids of the voters that could still state the older revision."""
        return tuple(sorted(self._pending_voters))

    def observe_revision(self, holder: Member, revision: int) -> None:
        """Notes that a process holds a revision."""
        self.observe_incarnation(holder)
        voter = self._pending_voters.get(holder.member_id)
        if voter is None or revision < self.revision:
            return
        if is_same_incarnation(voter, holder):
            del self._pending_voters[holder.member_id]

    def observe_incarnation(self, seen: Member) -> None:
        """Notes an incarnation that exists; an earlier one is gone."""
        voter = self._pending_voters.get(seen.member_id)
        if voter is not None and seen.incarnation > voter.incarnation:
            del self._pending_voters[seen.member_id]

    def update(self, now: float) -> bool:
        """Returns whether the revision has become accepted at this check."""
        if self.is_accepted or len(self._pending_voters) >= self._majority:
            return False
        self.accepted_at = now
        return True
