"""Since when this entry owns a key."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterator

from gypsumline.core.control.record import ControlRecord, OwnerEpoch
from gypsumline.core.identity import Member
from gypsumline.core.submissions.submission_key import key_time

_MAX_TERMS = 64


@dataclasses.dataclass(slots=True)
class OwnershipTerm:
    """A run of records with the same owners that this entry has held.

    Attributes:
      record: The newest of them.
      ready_at: `CLOCK_BOOTTIME` seconds from which no earlier owner of a key
        that the first of them moved here can start anything.
      ready_wall: The same moment in UTC seconds.
      first_revision: Revision of the first of them.
      agents: Ids of the agents that an earlier owner may have used.
    """

    record: ControlRecord
    first_revision: int
    ready_at: float
    ready_wall: float
    agents: frozenset[str]


class Ownership:
    """The records that this entry has held, and the keys it owns by them."""

    def __init__(self, me: Member) -> None:
        self._me = me
        self._terms: list[OwnershipTerm] = []

    @property
    def record(self) -> ControlRecord | None:
        """The newest record."""
        return self._terms[-1].record if self._terms else None

    @property
    def newest_term(self) -> OwnershipTerm | None:
        """The term of the newest record."""
        return self._terms[-1] if self._terms else None

    def set_record(
        self, record: ControlRecord, ready_at: float, now: float, wall: float
    ) -> bool:
        """Takes over a record, or a later `ready_at` of the same record.

        Returns:
          Whether the owners have changed.
        """
        ready_wall = wall + (ready_at - now)
        newest = self.newest_term
        agents = frozenset(agent.agent_id for agent in record.agents)
        if newest is not None:
            if record.revision < newest.record.revision:
                return False
            if _has_same_owners(record, newest.record):
                newest.record = record
                if math.isinf(newest.ready_at):
                    newest.ready_at = ready_at
                    newest.ready_wall = ready_wall
                return False
            agents |= newest.agents
        self._terms.append(
            OwnershipTerm(record, record.revision, ready_at, ready_wall, agents)
        )
        del self._terms[:-_MAX_TERMS]
        return True

    def owns(self, key: str) -> bool:
        """Whether the newest record makes this entry the owner."""
        return bool(self._terms) and self._owns(self._terms[-1], key)

    def term_of(self, key: str) -> OwnershipTerm:
        """Returns the term from which on this entry has owned the key.

        Terms count as one tenure only while the epoch of the key stays the
        same: another epoch could have given the key to another owner in a
        revision that this entry has not seen.
        """
        *_, found = self._owning_terms(key)
        return found

    def is_new_key(self, key: str, margin: float) -> bool:
        """Whether a key is too young for an earlier owner to have seen it."""
        wall = key_time(key) - margin
        return any(term.ready_wall < wall for term in self._owning_terms(key))

    def _owning_terms(self, key: str) -> Iterator[OwnershipTerm]:
        """Yields the terms in which this entry owns a key, newest first."""
        newest = self._terms[-1]
        yield newest
        if len(self._terms) == 1:
            return
        epoch = _epoch_of(newest.record, key)
        for term in reversed(self._terms[:-1]):
            same = _epoch_of(term.record, key) == epoch
            if not same or not self._owns(term, key):
                return
            yield term

    def _owns(self, term: OwnershipTerm, key: str) -> bool:
        owner = term.record.owner_of(key)
        return (
            owner is not None
            and owner.member_id == self._me.member_id
            and owner.incarnation == self._me.incarnation
        )


def _has_same_owners(one: ControlRecord, other: ControlRecord) -> bool:
    return one.entries == other.entries and one.epochs == other.epochs


def _epoch_of(record: ControlRecord, key: str) -> OwnerEpoch | None:
    wall = key_time(key)
    found = record.epochs[0] if record.epochs else None
    for epoch in record.epochs:
        if epoch.begins_at_wall <= wall:
            found = epoch
    return found
