"""Locks on submission keys that an agent keeps for the owners."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from gypsumline.core.identity import Member
from gypsumline.core.leases.contacts import OwnerContacts
from gypsumline.core.leases.lock_messages import (
    LockAnswers,
    LockKeys,
    LockState,
)
from gypsumline.core.leases.settings import LeaseSettings


class _Lock(NamedTuple):
    """The owner of a key, and when it was granted the lock."""

    owner: Member
    granted_at: float


class LockTable:
    """Grants the lock on each submission key to one owner at a time.

    Locks are kept in memory only. An owner that is lost keeps its locks until
    the runs that it has ordered have ended.

    Args:
      settings: Times of the locks.
      contacts: Contacts with the owners.
    """

    def __init__(
        self, settings: LeaseSettings, contacts: OwnerContacts
    ) -> None:
        self._settings = settings
        self._contacts = contacts
        # An agent that starts dials all owners, which list their locks first.
        self._certain_at = math.inf
        self._locks: dict[str, _Lock] = {}
        # Ends of the streams to owners that may have locks.
        self._lost_at: dict[Member, float] = {}

    def __len__(self) -> int:
        return len(self._locks)

    def on_connected(self, owner: Member, now: float) -> None:
        """Records a new stream to an owner."""
        self._lost_at.pop(owner, None)
        self._certain_at = min(
            self._certain_at, now + self._settings.lock_warmup
        )

    def on_disconnected(self, owner: Member, now: float) -> None:
        """Records the end of the stream to an owner."""
        self._lost_at[owner] = now

    def request(
        self, owner: Member, message: LockKeys, now: float
    ) -> LockAnswers:
        """Grants the locks that no other owner has."""
        if message.is_complete:
            kept = set(message.keys)
            self.release(
                owner, [key for key in self._keys_of(owner) if key not in kept]
            )
        states, holders = [], []
        for key in message.keys:
            lock = self._locks.get(key)
            if lock is not None and self._is_held(lock, now):
                is_granted = lock.owner == owner
                state = LockState.GRANTED if is_granted else LockState.HELD
            elif now < self._certain_at and not message.is_complete:
                state = LockState.UNSURE
            else:
                state = LockState.GRANTED
                lock = self._locks[key] = _Lock(owner, now)
            states.append(state)
            holders.append("" if lock is None else lock.owner.member_id)
        return LockAnswers(
            number=message.number,
            keys=message.keys,
            states=tuple(states),
            holders=tuple(holders),
        )

    def release(self, owner: Member, keys: Iterable[str]) -> None:
        """Removes locks of an owner."""
        for key in keys:
            lock = self._locks.get(key)
            if lock is not None and lock.owner == owner:
                del self._locks[key]

    def expire(self, now: float) -> None:
        """Removes the locks of owners that were lost long ago."""
        limit = now - self._settings.lock_expiry
        expired = [o for o, at in self._lost_at.items() if at < limit]
        for owner in expired:
            del self._lost_at[owner]
            self.release(owner, self._keys_of(owner))

    def _keys_of(self, owner: Member) -> list[str]:
        return [key for key, lock in self._locks.items() if lock.owner == owner]

    def _is_held(self, lock: _Lock, now: float) -> bool:
        """Returns whether the owner of a lock may still start or have runs."""
        settings = self._settings
        lost_at = self._lost_at.get(lock.owner)
        if lost_at is not None:
            return now < lost_at + settings.max_run_time_after_contact
        contact_age = self._contacts.contact_age(lock.owner, now)
        return min(contact_age, now - lock.granted_at) <= settings.lock_expiry
