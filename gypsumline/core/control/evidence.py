"""Evidence from table reads, heartbeat replies and statement rounds."""

from __future__ import annotations

from random import Random

from gypsumline.core.control.control_settings import ControlSettings
from gypsumline.core.control.freshness import (
    FreshnessTracker,
    RequestTimes,
    StatementRounds,
)
from gypsumline.core.control.record import ControlRecord
from gypsumline.core.control.voter import Voter
from gypsumline.core.identity import Member
from gypsumline.core.messages import (
    HeartbeatReply,
    PeerHeartbeatReply,
    Statement,
    StatementRequest,
)

# First sequence numbers and round ids are random below this limit, so that a
# reply to an earlier incarnation does not match a request of this one.
_SEQUENCE_RANGE = 2**40


class Evidence:
    """Evidence that a process has for its newest record.

    Each piece of evidence counts from the time at which it was requested.

    Args:
      local_member: This incarnation.
      settings: Settings of the control state.
      rng: Seeded random generator for first sequence numbers and round ids.

    Attributes:
      voter: Creates this incarnation's statements and acknowledgements.
    """

    def __init__(
        self, local_member: Member, settings: ControlSettings, rng: Random
    ) -> None:
        self._local_member = local_member
        self.voter = Voter(local_member)
        self._freshness = FreshnessTracker(settings.evidence_ttl)
        self._requests = RequestTimes(rng.randrange(_SEQUENCE_RANGE))
        self._rounds = StatementRounds(rng.randrange(_SEQUENCE_RANGE))

    def is_fresh(self, now: float) -> bool:
        """Returns whether the newest evidence has not expired."""
        return self._freshness.is_fresh(now)

    def age(self, now: float) -> float:
        """Returns the age of the newest evidence in seconds, or -1."""
        return self._freshness.age(now)

    def set_record(self, record: ControlRecord) -> None:
        """Sets the newest known record."""
        self.voter.set_record(record)
        self._freshness.set_revision(record.revision)

    def add_table_read(self, revision: int, asked_at: float) -> None:
        """Adds evidence from a table read that returned a revision."""
        self._freshness.add_evidence(revision, asked_at)

    def next_sequence(self, now: float) -> int:
        """Returns the sequence number of a heartbeat that is sent now."""
        return self._requests.add(now)

    def add_reply(
        self, reply: HeartbeatReply | PeerHeartbeatReply, now: float
    ) -> float | None:
        """Adds a peer's evidence; returns when its heartbeat was sent."""
        asked_at = self._requests.sent_at(reply.sequence)
        if asked_at is not None and reply.evidence_age >= 0:
            as_of = asked_at - reply.evidence_age
            self._freshness.add_evidence(reply.revision, as_of)
        return asked_at

    def start_round(
        self, record: ControlRecord, now: float
    ) -> tuple[StatementRequest, list[str]]:
        """Returns a statement request and the ids of its recipients."""
        request = self._rounds.start(record, now)
        own = self.voter.make_statement(request)
        if own is not None:
            self.add_statement(self._local_member, own, now)
        others = [voter.member_id for voter in record.voters]
        return request, [m for m in others if m != self._local_member.member_id]

    def add_statement(
        self, sender: Member, statement: Statement, now: float
    ) -> None:
        """Adds a statement; a majority in a round becomes evidence."""
        completed = self._rounds.add_statement(sender, statement)
        if completed is not None:
            self._freshness.add_evidence(completed.revision, completed.asked_at)
