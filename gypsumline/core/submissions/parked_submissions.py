"""Submissions that wait for the clock or for the journals."""

from __future__ import annotations

import dataclasses

from gypsumline.core.messages import Submit


@dataclasses.dataclass(slots=True)
class Parked:
    """One waiting submission; times are `CLOCK_BOOTTIME` seconds.

    Attributes:
      origin: Member id of the entry that forwarded it; "" for a local caller.
      message: The submission.
      give_up_at: Its deadline.
      wake_at: When to decide on it again; journals may come earlier.
    """

    origin: str
    message: Submit
    give_up_at: float
    wake_at: float = 0.0


class ParkedSubmissions:
    """Waiting submissions in the order of their arrival."""

    def __init__(self) -> None:
        self._items: list[Parked] = []

    def __len__(self) -> int:
        return len(self._items)

    def add(self, item: Parked, wake_at: float) -> None:
        """Parks a submission until a time, at most until its deadline."""
        item.wake_at = min(wake_at, item.give_up_at)
        self._items.append(item)

    def wake_all(self, now: float) -> None:
        """Has all of them decided on again."""
        for item in self._items:
            item.wake_at = min(item.wake_at, now)

    def take_due(self, fresh: bool, now: float) -> list[Parked]:
        """Returns those to decide on now, and forgets them.

        Without fresh evidence only those at their deadline are decided on.
        """
        due = [
            item
            for item in self._items
            if now >= item.wake_at and (fresh or now >= item.give_up_at)
        ]
        if due:
            taken = {id(item) for item in due}
            self._items = [i for i in self._items if id(i) not in taken]
        return due

    def has_key(self, key: str) -> bool:
        """Whether a submission of this key waits."""
        return any(item.message.key == key for item in self._items)
