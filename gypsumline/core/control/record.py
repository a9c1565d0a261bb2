"""The control record: configuration, members and owners under one revision."""

from __future__ import annotations

import dataclasses

import xxhash

from gypsumline.core.configuration import Configuration
from gypsumline.core.identity import Member
from gypsumline.core.submissions.submission_key import key_time


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RegisteredAgent:
    """An agent that may be given work.

    Attributes:
      agent_id: Member id of the agent, the same over restarts.
      availability_zone: Where the agent and its executor run.
    """

    agent_id: str
    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnerEpoch:
    """The owner set for keys whose time is at or after a given one.

    Attributes:
      begins_at_wall: UTC seconds.
      owners: Member ids and incarnations of the entries that own keys.
    """

    begins_at_wall: float
    owners: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationNote:
    """Who wrote one configuration version, and with which write token.

    Attributes:
      version: Configuration version.
      author: Who wrote it.
      note: Why.
      write_token: Unique token of the change.
      written_at_wall: UTC seconds.
    """

    version: int
    author: str
    note: str
    write_token: str
    written_at_wall: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlRecord:
    """All that the processes must agree on.

    Attributes:
      revision: Number of this record; each change has the next one.
      configuration_version: Version of the operators' text in force.
      configuration: That text, parsed.
      entries: Entries that are members now.
      agents: Agents that may be given work.
      voters: Members that state and acknowledge revisions.
      previous_voters: Voters of the revision before.
      epochs: Owner sets by the time of a key, oldest first.
      changes: Notes of the newest configuration versions, oldest first. They
        settle a write whose answer was lost even after later revisions.
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

        A join starts a new epoch and so moves no earlier key; only the loss or
        leave of a key's owner moves it.
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
        """Returns the note of a recent change, if it is in the record."""
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
