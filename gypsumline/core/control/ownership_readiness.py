"""Times from which an entry may act as the owner of its keys.

A new owner waits until earlier owners can no longer act on the same keys.
"""

from __future__ import annotations

import dataclasses
import math

from gypsumline.core.control.control_settings import ControlSettings
from gypsumline.core.control.record import ControlRecord
from gypsumline.core.control.voter import is_listed, is_same_incarnation
from gypsumline.core.identity import Member


@dataclasses.dataclass(slots=True, kw_only=True)
class _HeldRecord:
    """A record that this entry has held, with the ready time of its keys."""

    record: ControlRecord
    held_since: float
    ready_at: float


class OwnershipReadiness:
    """Ready times of one entry under the records that it has held.

    When a record may assign this entry keys of another owner, the entry waits
    until the record is accepted and all evidence for older records has expired.

    Args:
      local_member: The entry.
      settings: Settings of the control state.
    """

    def __init__(self, local_member: Member, settings: ControlSettings) -> None:
        self._local_member = local_member
        self._settings = settings
        self._held: list[_HeldRecord] = []

    def ready_at(self) -> float:
        """Returns when this entry is ready for all keys that it owns."""
        if not self._held:
            return math.inf
        return self._held[-1].ready_at

    def key_ready_at(self, key: str) -> float:
        """Returns when this entry is ready for one key.

        A key that this entry owned under an earlier record keeps the ready time
        of that record. The loss of another owner thus delays only the keys of
        that owner.
        """
        ready = math.inf
        for held in reversed(self._held):
            owner = held.record.owner_of(key)
            if owner is None or not is_same_incarnation(
                owner, self._local_member
            ):
                break
            ready = min(ready, held.ready_at)
        return ready

    def set_record(self, record: ControlRecord, now: float) -> None:
        """Sets the newest known record.

        A record is written only after the previous one was accepted, so the
        previous record counts as accepted here.
        """
        self.on_accepted(now)
        if not is_listed(record.entries, self._local_member):
            self._held.clear()
            return
        previous = self._held[-1] if self._held else None
        if previous is None or _may_miss_owners(previous.record, record):
            self._held.clear()
            ready_at = math.inf
        elif _may_gain_keys(previous.record, record):
            ready_at = math.inf
        else:
            ready_at = previous.ready_at
        self._held.append(
            _HeldRecord(record=record, held_since=now, ready_at=ready_at)
        )
        self._prune(now)

    def on_accepted(self, now: float) -> None:
        """Handles the acceptance of the newest known record."""
        for held in self._held:
            if held.ready_at == math.inf:
                held.ready_at = now + self._ready_delay(held.record)

    def _ready_delay(self, record: ControlRecord) -> float:
        # Before revision 1 there is no record, so no earlier owner can hold
        # valid evidence.
        return 0.0 if record.revision == 1 else self._settings.evidence_wait

    def _prune(self, now: float) -> None:
        oldest = now - self._settings.agent_expiry_timeout
        while len(self._held) > 1 and self._held[1].held_since < oldest:
            self._held.pop(0)


def _may_miss_owners(old: ControlRecord, new: ControlRecord) -> bool:
    """Returns whether an unseen revision in between may name other owners."""
    if new.revision == old.revision + 1:
        return False
    return (old.entries, old.epochs) != (new.entries, new.epochs)


def _may_gain_keys(old: ControlRecord, new: ControlRecord) -> bool:
    """Returns whether an entry of both may own more keys under the new one."""
    if any(entry not in new.entries for entry in old.entries):
        return True
    old_owners = old.epochs[-1].owners if old.epochs else ()
    new_owners = new.epochs[-1].owners if new.epochs else ()
    return any(owner not in new_owners for owner in old_owners)
