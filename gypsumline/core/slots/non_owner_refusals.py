"""Starts that an agent refused because the sender didn't own the key."""

from __future__ import annotations

import collections

from gypsumline.core.identity import Member
from gypsumline.core.slots.slot_settings import SlotSettings


class NonOwnerRefusals:
    """Refused attempts by sender, stored apart from the journal.

    A sender may place a refused start elsewhere, so a delayed duplicate of it
    must not start here after a newer record makes the sender the owner. These
    refusals are kept out of the journal because the attempt numbers of a
    sender that doesn't own the key could block those of the owner.
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
        """Records a refusal; returns False if the limit is reached."""
        item = (sender.member_id, sender.incarnation, key, index)
        known = self._attempts.get(item)
        if known is None:
            if len(self._attempts) >= self._settings.tombstone_entries:
                return False
            expires_at = now + self._settings.retention_time
            self._expiries.append((expires_at, item))
        self._attempts[item] = max(attempt, known or 0)
        return True

    def is_refused(
        self, sender: Member, key: str, index: int, attempt: int
    ) -> bool:
        """Whether this attempt, or a later one, of the sender was refused."""
        if not self._attempts:
            return False
        item = (sender.member_id, sender.incarnation, key, index)
        return self._attempts.get(item, 0) >= attempt

    def prune(self, now: float) -> None:
        """Drops refusals whose retention time has passed."""
        while self._expiries and self._expiries[0][0] <= now:
            _, item = self._expiries.popleft()
            del self._attempts[item]
