"""Freshness of the evidence that a process holds the newest revision.

A piece of evidence for revision r shows that no revision newer than r was
accepted at a given time. A process that holds r or a newer revision can use it
for `evidence_ttl` from the time at which the evidence was requested.
"""

from __future__ import annotations

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.control.voter import is_listed, majority
from gypsumline.core.identity import Member
from gypsumline.core.messages import Statement, StatementRequest

_MAX_REQUESTS = 64
_MAX_ROUNDS = 4


class FreshnessTracker:
    """Tracks the newest evidence for the revision that a process holds.

    Args:
      ttl: Seconds for which evidence is valid.
    """

    def __init__(self, ttl: float) -> None:
        self._ttl = ttl
        self._revision = 0
        self._as_of: float | None = None
        self._newer_evidence: dict[int, float] = {}

    def add_evidence(self, revision: int, as_of: float) -> None:
        """Adds evidence for a revision.

        Args:
          revision: Revision than which no newer one was accepted.
          as_of: Time for which this holds.
        """
        if revision > self._revision:
            self._newer_evidence[revision] = max(
                as_of, self._newer_evidence.get(revision, as_of)
            )
        elif self._as_of is None or as_of > self._as_of:
            self._as_of = as_of

    def set_revision(self, revision: int) -> None:
        """Sets the held revision; earlier evidence for it becomes usable."""
        self._revision = revision
        usable = [newer for newer in self._newer_evidence if newer <= revision]
        for newer in usable:
            self.add_evidence(newer, self._newer_evidence.pop(newer))

    def age(self, now: float) -> float:
        """Returns the age of the newest evidence in seconds, or -1."""
        if self._as_of is None or self._revision == 0:
            return -1.0
        return max(0.0, now - self._as_of)

    def is_fresh(self, now: float) -> bool:
        """Returns whether the newest evidence has not expired."""
        return 0.0 <= self.age(now) <= self._ttl


class RequestTimes:
    """Send times of the newest requests, by sequence number.

    Args:
      first: First sequence number.
    """

    def __init__(self, first: int) -> None:
        self._next = first
        self._sent: dict[int, float] = {}

    def add(self, now: float) -> int:
        """Records a request; returns its sequence number."""
        sequence = self._next
        self._next += 1
        self._sent[sequence] = now
        self._sent.pop(sequence - _MAX_REQUESTS, None)
        return sequence

    def sent_at(self, sequence: int) -> float | None:
        """Returns when a request was sent, or None if it is unknown."""
        return self._sent.get(sequence)


class StatementRound:
    """One round of statement requests to the voters of a revision.

    Args:
      revision: Revision that the requesting process holds.
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
        """Adds a statement; returns whether a majority has stated."""
        if statement.incarnation != sender.incarnation:
            return False
        if statement.revision > self.revision:
            return False
        if is_listed(self._voters, sender):
            self._stated.add(sender.member_id)
        return len(self._stated) >= majority(len(self._voters))


class StatementRounds:
    """The newest statement rounds of one process.

    Args:
      first: Number before the id of the first round.
    """

    def __init__(self, first: int) -> None:
        self._round_id = first
        self._rounds: dict[int, StatementRound] = {}

    def start(self, record: ControlRecord, now: float) -> StatementRequest:
        """Returns the request of a new round to the voters of a record."""
        self._round_id += 1
        statement_round = StatementRound(record.revision, record.voters, now)
        self._rounds[self._round_id] = statement_round
        self._rounds.pop(self._round_id - _MAX_ROUNDS, None)
        return StatementRequest(round_id=self._round_id)

    def add_statement(
        self, sender: Member, statement: Statement
    ) -> StatementRound | None:
        """Adds a statement; returns its round if a majority has stated."""
        statement_round = self._rounds.get(statement.round_id)
        if statement_round is not None and statement_round.add_statement(
            sender, statement
        ):
            return statement_round
        return None
