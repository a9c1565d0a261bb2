"""Starts that an agent refused because the sender didn't own the key."""

from __future__ import annotations

import collections

from gypsumline.core.identity import Member
from gypsumline.core.slots.slot_settings import SlotSettings


class ForeignRefusals:
    """Remembers refusals by sender, apart from the journal.

    A refused start goes back to its sender, which may place it elsewhere. Its
    delayed duplicate must not start here once a newer record makes the sender
    the owner. A sender that owns nothing must not write the journal, as its
    attempts could block those of the owner.
    """

    def __init__(self, settings: SlotSettings) -> None:
        self._settings = settings
        self._attempts: dict[tuple[str, int, str, int], int] = {}
        self._expiries: collections.deque[
            tuple[float, tuple[str, int, str, int]]
        ] = collections.deque()

    def add(
        self, sender: Member, key: str, index: int, attempt: int, now: float
    ) -> bool:
        """Records a refusal; returns False if there is no room for it."""
        item = (sender.member_id, sender.incarnation, key, index)
        known = self._attempts.get(item)
        if known is None:
            if len(self._attempts) >= self._settings.tombstone_entries:
                return False
            expires_at = now + self._settings.keep_time
            self._expiries.append((expires_at, item))
        self._attempts[item] = max(attempt, known or 0)
        return True

    def covers(
        self, sender: Member, key: str, index: int, attempt: int
    ) -> bool:
        """Whether this attempt of the sender has been refused."""
        if not self._attempts:
            return False
        item = (sender.member_id, sender.incarnation, key, index)
        return self._attempts.get(item, 0) >= attempt

    def prune(self, now: float) -> None:
        """Forgets refusals of keys that are too old."""
        while self._expiries and self._expiries[0][0] <= now:
            _, item = self._expiries.popleft()
            del self._attempts[item]
