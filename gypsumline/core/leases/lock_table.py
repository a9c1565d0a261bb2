"""Locks on submission keys that an agent keeps for the owners."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Mapping

from gypsumline.core.identity import Member
from gypsumline.core.leases.lock_messages import (
    LockAnswers,
    LockKeys,
    LockState,
)
from gypsumline.core.leases.settings import LeaseSettings


@dataclasses.dataclass(slots=True)
class _Lock:
    """A granted lock.

    Attributes:
      owner: Its owner.
      number: Number of the owner's newest request for it.
      expires_at: Time from which another owner may be granted the lock.
    """

    owner: Member
    number: int
    expires_at: float


class LockTable:
    """Grants the lock on each submission key to one owner at a time.

    Locks are kept in memory only, so an agent that has started cannot know
    those of its earlier incarnation. Until they have expired, or all entries
    have listed theirs, it grants only what their owners still have.

    Args:
      settings: Times of the locks.
      started_at: Start of the agent.
    """

    def __init__(self, settings: LeaseSettings, started_at: float) -> None:
        self._settings = settings
        self._certain_at = started_at + settings.lock_expiry
        # Incarnations of the entries that may have had locks before the start,
        # by member id; None until they are known.
        self._expected: dict[str, int] | None = None
        # Incarnations of the entries that have listed their locks, and when no
        # run of an earlier incarnation is left.
        self._listed: dict[str, tuple[int, float]] = {}
        self._locks: dict[str, _Lock] = {}

    def __len__(self) -> int:
        return len(self._locks)

    def expect(self, entries: Mapping[str, int]) -> None:
        """Sets which entries may have locks that this agent does not know.

        Args:
          entries: Incarnations of all entries by member id, as of a time after
            the start of this agent. Later ones had no contact to an earlier
            incarnation of it. That there is none proves nothing.
        """
        if self._expected is None and entries:
            self._expected = dict(entries)
            self._update_certainty()

    def on_connected(self, owner: Member, now: float) -> None:
        """Shortens the locks of earlier incarnations of an owner.

        These have ended, and their runs will have before long.
        """
        end = now + self._settings.rerun_wait
        for lock in self._locks.values():
            is_same_entry = lock.owner.member_id == owner.member_id
            if is_same_entry and lock.owner.incarnation < owner.incarnation:
                lock.expires_at = min(lock.expires_at, end)

    def request(
        self, owner: Member, message: LockKeys, now: float
    ) -> LockAnswers:
        """Grants or renews the locks that no other owner has."""
        if message.is_complete:
            safe_at = now + max(0.0, self._settings.rerun_wait - message.uptime)
            self._listed[owner.member_id] = (owner.incarnation, safe_at)
            kept = set(message.keys)
            left = [key for key in self._keys_of(owner) if key not in kept]
            self.release(owner, left, message.number)
        held = set(message.held)
        states, holders = [], []
        for key in message.keys:
            state = self._grant(owner, message.number, key, key in held, now)
            states.append(state)
            lock = self._locks.get(key)
            holders.append("" if lock is None else lock.owner.member_id)
        if message.is_complete:
            self._update_certainty()
        return LockAnswers(
            number=message.number,
            keys=message.keys,
            states=tuple(states),
            holders=tuple(holders),
        )

    def release(self, owner: Member, keys: Iterable[str], number: int) -> None:
        """Removes locks of an owner, as of its request of some number."""
        for key in keys:
            lock = self._locks.get(key)
            if lock is None or lock.owner != owner:
                continue
            if lock.number <= number:
                del self._locks[key]

    def expire(self, now: float) -> None:
        """Removes the locks that have expired."""
        locks = self._locks.items()
        for key in [key for key, lock in locks if lock.expires_at <= now]:
            del self._locks[key]

    def _grant(
        self, owner: Member, number: int, key: str, is_held: bool, now: float
    ) -> LockState:
        lock = self._locks.get(key)
        if lock is not None and lock.owner == owner:
            is_held = True
            number = max(number, lock.number)
        elif lock is not None and now < lock.expires_at:
            return LockState.HELD
        if not is_held and now < self._certain_at:
            return LockState.UNSURE
        expires_at = now + self._settings.lock_expiry
        self._locks[key] = _Lock(owner, number, expires_at)
        return LockState.GRANTED

    def _update_certainty(self) -> None:
        """Ends the uncertainty once all entries have listed their locks."""
        if self._expected is None:
            return
        certain_at = -math.inf
        for member_id, incarnation in self._expected.items():
            listed, safe_at = self._listed.get(member_id, (-1, math.inf))
            if listed < incarnation:
                return
            certain_at = max(certain_at, safe_at)
        self._certain_at = min(self._certain_at, certain_at)

    def _keys_of(self, owner: Member) -> list[str]:
        return [key for key, lock in self._locks.items() if lock.owner == owner]
