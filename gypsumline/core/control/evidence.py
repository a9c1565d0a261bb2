"""All evidence of one process: table reads, relays and statement rounds."""

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

# First sequence and round numbers are random below this, so that a reply to an
# earlier incarnation does not match a request of this one.
_SEQUENCE_RANGE = 2**40


class Evidence:
    """Dates each piece of evidence by the time of its request.

    Args:
      me: This incarnation.
      settings: Settings of the control state.
      rng: Seeded random generator for the first sequence numbers.

    Attributes:
      voter: What this incarnation states and acknowledges.
    """

    def __init__(
        self, me: Member, settings: ControlSettings, rng: Random
    ) -> None:
        self._me = me
        self.voter = Voter(me)
        self._freshness = FreshnessTracker(settings.evidence_ttl)
        self._requests = RequestTimes(rng.randrange(_SEQUENCE_RANGE))
        self._rounds = StatementRounds(rng.randrange(_SEQUENCE_RANGE))

    def is_fresh(self, now: float) -> bool:
        """Returns whether the newest evidence is valid."""
        return self._freshness.is_fresh(now)

    def age(self, now: float) -> float:
        """Returns the age of the newest evidence, or -1 without any."""
        return self._freshness.age(now)

    def set_record(self, record: ControlRecord) -> None:
        """Takes over a newer record."""
        self.voter.set_record(record)
        self._freshness.set_revision(record.revision)

    def add_table_read(self, revision: int, asked_at: float) -> None:
        """Notes that the table showed a revision to a request."""
        self._freshness.add(revision, asked_at)

    def next_sequence(self, now: float) -> int:
        """Returns the sequence number of a heartbeat sent now."""
        return self._requests.send(now)

    def add_reply(
        self, reply: HeartbeatReply | PeerHeartbeatReply, now: float
    ) -> float | None:
        """Notes a relay; returns when its heartbeat was sent, if known."""
        asked_at = self._requests.sent_at(reply.sequence)
        if asked_at is not None and reply.evidence_age >= 0:
            as_of = asked_at - reply.evidence_age
            self._freshness.add(reply.revision, as_of)
        return asked_at

    def start_round(
        self, record: ControlRecord, now: float
    ) -> tuple[StatementRequest, list[str]]:
        """Returns a request and the ids of the voters that it goes to."""
        request = self._rounds.start(record, now)
        own = self.voter.make_statement(request)
        if own is not None:
            self.add_statement(self._me, own, now)
        others = [voter.member_id for voter in record.voters]
        return request, [m for m in others if m != self._me.member_id]

    def add_statement(
        self, sender: Member, statement: Statement, now: float
    ) -> None:
        """Counts a statement towards its round."""
        asked = self._rounds.add_statement(sender, statement)
        if asked is not None:
            self._freshness.add(asked.revision, asked.asked_at)
