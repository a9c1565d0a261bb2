"""Submissions that wait for the clock or for the journals."""

from __future__ import annotations

import dataclasses

from gypsumline.core.messages import Submit


@dataclasses.dataclass(slots=True)
class DeferredSubmission:
    """One waiting submission; times are `CLOCK_BOOTTIME` seconds.

    Attributes:
      origin: Member id of the entry that forwarded it; "" for a local caller.
      message: The submission.
      deadline: Its deadline.
      retry_at: When to decide on it again; journals may come earlier.
    """

    origin: str
    message: Submit
    deadline: float
    retry_at: float = 0.0


class DeferredSubmissions:
    """Waiting submissions in the order of their arrival."""

    def __init__(self) -> None:
        self._items: list[DeferredSubmission] = []

    def __len__(self) -> int:
        return len(self._items)

    def add(self, item: DeferredSubmission, retry_at: float) -> None:
        """Parks a submission until a time, at most until its deadline."""
        item.retry_at = min(retry_at, item.deadline)
        self._items.append(item)

    def make_all_due(self, now: float) -> None:
        """Has all of them decided on again."""
        for item in self._items:
            item.retry_at = min(item.retry_at, now)

    def pop_due(self, fresh: bool, now: float) -> list[DeferredSubmission]:
        """Returns those to decide on now, and forgets them.

        Without fresh evidence only those at their deadline are decided on.
        """
        due = [
            item
            for item in self._items
            if now >= item.retry_at and (fresh or now >= item.deadline)
        ]
        if due:
            taken = {id(item) for item in due}
            self._items = [i for i in self._items if id(i) not in taken]
        return due

    def has_key(self, key: str) -> bool:
        """Whether a submission of this key waits."""
        return any(item.message.key == key for item in self._items)
