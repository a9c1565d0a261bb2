"""Keys that an entry owns, and since when it owns each of them."""

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
    """Consecutive records with the same owners that this entry has held.

    Attributes:
      record: The newest of the records.
      first_revision: Revision of the first of the records.
      ready_at: `CLOCK_BOOTTIME` seconds from which an earlier owner can no
        longer start tasks of the keys that the first record moved here.
      ready_at_wall: The same time in UTC seconds.
      agents: Ids of the agents that an earlier owner may have used.
    """

    record: ControlRecord
    first_revision: int
    ready_at: float
    ready_at_wall: float
    agents: frozenset[str]


class Ownership:
    """The records that this entry has held and the keys that they give it."""

    def __init__(self, local_member: Member) -> None:
        self._local_member = local_member
        self._terms: list[OwnershipTerm] = []

    @property
    def record(self) -> ControlRecord | None:
        """The newest record, or None before the first."""
        return self._terms[-1].record if self._terms else None

    @property
    def newest_term(self) -> OwnershipTerm | None:
        """The term of the newest record, or None before the first."""
        return self._terms[-1] if self._terms else None

    def set_record(
        self, record: ControlRecord, ready_at: float, now: float, wall: float
    ) -> bool:
        """Applies a newer record, or the final `ready_at` of the same record.

        Returns:
          Whether the owners have changed.
        """
        ready_at_wall = wall + (ready_at - now)
        newest = self.newest_term
        agents = frozenset(agent.agent_id for agent in record.agents)
        if newest is not None:
            if record.revision < newest.record.revision:
                return False
            if _has_same_owners(record, newest.record):
                newest.record = record
                if math.isinf(newest.ready_at):
                    newest.ready_at = ready_at
                    newest.ready_at_wall = ready_at_wall
                return False
            agents |= newest.agents
        self._terms.append(
            OwnershipTerm(
                record, record.revision, ready_at, ready_at_wall, agents
            )
        )
        del self._terms[:-_MAX_TERMS]
        return True

    def owns(self, key: str) -> bool:
        """Whether this entry owns a key according to the newest record."""
        return bool(self._terms) and self._owns(self._terms[-1], key)

    def term_of(self, key: str) -> OwnershipTerm:
        """Returns the first term of this entry's present ownership of a key.

        Consecutive terms count as one ownership only while the key stays in the
        same epoch: with another epoch, a revision that this entry has not seen
        may have given the key to another owner.
        """
        *_, first = self._owning_terms(key)
        return first

    def is_new_key(self, key: str, margin: float) -> bool:
        """Whether a key is so new that no earlier owner can have admitted it.

        Args:
          key: The key.
          margin: Seconds by which the key's time may exceed the time of its
            admission.
        """
        earliest_admission = key_time(key) - margin
        return any(
            term.ready_at_wall < earliest_admission
            for term in self._owning_terms(key)
        )

    def _owning_terms(self, key: str) -> Iterator[OwnershipTerm]:
        """Yields the consecutive terms of owning a key, newest first."""
        newest = self._terms[-1]
        yield newest
        if len(self._terms) == 1:
            return
        epoch = _epoch_of(newest.record, key)
        for term in reversed(self._terms[:-1]):
            has_same_epoch = _epoch_of(term.record, key) == epoch
            if not has_same_epoch or not self._owns(term, key):
                return
            yield term

    def _owns(self, term: OwnershipTerm, key: str) -> bool:
        owner = term.record.owner_of(key)
        return (
            owner is not None
            and owner.member_id == self._local_member.member_id
            and owner.incarnation == self._local_member.incarnation
        )


def _has_same_owners(first: ControlRecord, second: ControlRecord) -> bool:
    return first.entries == second.entries and first.epochs == second.epochs


def _epoch_of(record: ControlRecord, key: str) -> OwnerEpoch | None:
    created_at = key_time(key)
    key_epoch = record.epochs[0] if record.epochs else None
    for epoch in record.epochs:
        if epoch.begins_at_wall <= created_at:
            key_epoch = epoch
    return key_epoch
