"""The control record: configuration, members and owners of one revision."""

from __future__ import annotations

import dataclasses

import xxhash

from gypsumline.core.configuration import Configuration
from gypsumline.core.identity import Member
from gypsumline.core.submissions.submission_key import key_time


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RegisteredAgent:
    """An agent that is eligible for tasks.

    Attributes:
      agent_id: Member id of the agent, which restarts keep.
      availability_zone: Availability zone of the agent and its executor.
    """

    agent_id: str
    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnerEpoch:
    """The set of owners for keys from a given time on.

    Attributes:
      begins_at_wall: Earliest time of a key in this epoch, in UTC seconds.
      owners: Incarnations of the entries that own keys.
    """

    begins_at_wall: float
    owners: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationNote:
    """Metadata of one configuration version.

    Attributes:
      version: Configuration version.
      author: Operator who wrote the version.
      note: The operator's reason for the change.
      write_token: Unique token of the change.
      written_at_wall: Time of the proposal, in UTC seconds.
    """

    version: int
    author: str
    note: str
    write_token: str
    written_at_wall: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlRecord:
    """The replicated state that all processes must agree on.

    Attributes:
      revision: Number of this record; each change increments it.
      configuration_version: Version of the operators' configuration text.
      configuration: The parsed configuration text.
      entries: Entries that are members.
      agents: Agents that are eligible for tasks.
      voters: Members that state and acknowledge revisions.
      previous_voters: Voters of the previous revision.
      epochs: Owner sets by the time of a key, oldest first.
      changes: Notes of the newest configuration versions, oldest first. If the
        answer to a write was lost, they show whether it took effect, even
        after later revisions.
    """

    revision: int = 0
    configuration_version: int = 0
    configuration: Configuration = dataclasses.field(
        default_factory=Configuration
    )
    entries: tuple[Member, ...] = ()
    agents: tuple[RegisteredAgent, ...] = ()
    voters: tuple[Member, ...] = ()
    previous_voters: tuple[Member, ...] = ()
    epochs: tuple[OwnerEpoch, ...] = ()
    changes: tuple[ConfigurationNote, ...] = ()

    def owner_of(self, key: str) -> Member | None:
        """Returns the entry that owns a key, or None if no owner is left.

        Owners are chosen by rendezvous hashing among the remaining owners of
        the key's epoch, or of the first later epoch that has any. A join starts
        a new epoch, so an existing key moves only when its owner leaves or is
        removed.
        """
        current = set(self.entries)
        for epoch in self._epochs_for(key_time(key)):
            alive = [owner for owner in epoch.owners if owner in current]
            if alive:
                return max(
                    alive, key=lambda owner: _rendezvous_weight(key, owner)
                )
        return None

    def find_change(self, write_token: str) -> ConfigurationNote | None:
        """Returns the note with a write token, or None if it is not kept."""
        for note in self.changes:
            if note.write_token == write_token:
                return note
        return None

    def _epochs_for(self, wall: float) -> tuple[OwnerEpoch, ...]:
        first = 0
        for position, epoch in enumerate(self.epochs):
            if epoch.begins_at_wall <= wall:
                first = position
        return self.epochs[first:]


def _rendezvous_weight(key: str, owner: Member) -> tuple[int, str]:
    digest = xxhash.xxh3_64_intdigest(f"{owner.member_id}/{key}".encode())
    return digest, owner.member_id
