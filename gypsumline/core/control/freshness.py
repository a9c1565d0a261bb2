"""Evidence that a process knows the newest accepted revision.

One piece of evidence says: at a given time no revision newer than r was
accepted. It serves a process that holds r or a newer revision, and it is valid
for `evidence_ttl` from the time at which it was requested.
"""

from __future__ import annotations

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.control.voter import is_listed, majority
from gypsumline.core.identity import Member
from gypsumline.core.messages import Statement, StatementRequest

_MAX_REQUESTS = 64
_MAX_ROUNDS = 4


class FreshnessTracker:
    """The newest evidence of one process.

    Args:
      ttl: Seconds for which evidence is valid.
    """

    def __init__(self, ttl: float) -> None:
        self._ttl = ttl
        self._revision = 0
        self._as_of: float | None = None
        self._newer: dict[int, float] = {}

    def add(self, revision: int, as_of: float) -> None:
        """Notes that nothing newer than a revision was accepted at a as_of."""
        if revision > self._revision:
            self._newer[revision] = max(as_of, self._newer.get(revision, as_of))
        elif self._as_of is None or as_of > self._as_of:
            self._as_of = as_of

    def set_revision(self, revision: int) -> None:
        """Moves to a newer revision; evidence noted for it counts now."""
        self._revision = revision
        due = [ahead for ahead in self._newer if ahead <= revision]
        for ahead in due:
            self.add(ahead, self._newer.pop(ahead))

    def age(self, now: float) -> float:
        """Returns the age of the newest evidence, or -1 without any."""
        if self._as_of is None or self._revision == 0:
            return -1.0
        return max(0.0, now - self._as_of)

    def is_fresh(self, now: float) -> bool:
        """Returns whether the evidence is still valid."""
        return 0.0 <= self.age(now) <= self._ttl


class RequestTimes:
    """When requests were sent, by their sequence number."""

    def __init__(self, first: int) -> None:
        self._next = first
        self._sent: dict[int, float] = {}

    def send(self, now: float) -> int:
        """Returns the number of a new request."""
        sequence = self._next
        self._next += 1
        self._sent[sequence] = now
        self._sent.pop(sequence - _MAX_REQUESTS, None)
        return sequence

    def sent_at(self, sequence: int) -> float | None:
        """Returns when a request was sent, or None if it is not known."""
        return self._sent.get(sequence)


class StatementRound:
    """One question to the voters of a revision, all asked after one time.

    Args:
      revision: Revision of the asking process.
      voters: Voters of that revision.
      asked_at: Time before the first request was sent.
    """

    def __init__(
        self, revision: int, voters: tuple[Member, ...], asked_at: float
    ) -> None:
        self.revision = revision
        self.asked_at = asked_at
        self._voters = voters
        self._stated: set[str] = set()

    def add_statement(self, sender: Member, statement: Statement) -> bool:
        """Counts a statement; returns whether a majority has stated."""
        if statement.incarnation != sender.incarnation:
            return False
        if statement.revision > self.revision:
            return False
        if is_listed(self._voters, sender):
            self._stated.add(sender.member_id)
        return len(self._stated) >= majority(len(self._voters))


class StatementRounds:
    """The newest rounds of one process.

    Args:
      first: Number of the first round.
    """

    def __init__(self, first: int) -> None:
        self._round_id = first
        self._rounds: dict[int, StatementRound] = {}

    def start(self, record: ControlRecord, now: float) -> StatementRequest:
        """Returns the request of a new round to the voters of a record."""
        self._round_id += 1
        asked = StatementRound(record.revision, record.voters, now)
        self._rounds[self._round_id] = asked
        self._rounds.pop(self._round_id - _MAX_ROUNDS, None)
        return StatementRequest(round_id=self._round_id)

    def add_statement(
        self, sender: Member, statement: Statement
    ) -> StatementRound | None:
        """Counts a statement; returns its round if a majority has stated."""
        asked = self._rounds.get(statement.round_id)
        if asked is not None and asked.add_statement(sender, statement):
            return asked
        return None
