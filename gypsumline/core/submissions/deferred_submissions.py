"""Submissions deferred until their key's time or until journals are read."""

from __future__ import annotations

import dataclasses

from gypsumline.core.messages import Submit


@dataclasses.dataclass(slots=True)
class DeferredSubmission:
    """One deferred submission; times are `CLOCK_BOOTTIME` seconds.

    Attributes:
      origin: Member id of the entry that forwarded it; "" for a local caller.
      message: The submission.
      deadline: Deadline of the job.
      retry_at: When to handle the submission again, unless `make_all_due` moves
        the time forward.
    """

    origin: str
    message: Submit
    deadline: float
    retry_at: float = 0.0


class DeferredSubmissions:
    """Deferred submissions in the order of their arrival."""

    def __init__(self) -> None:
        self._items: list[DeferredSubmission] = []

    def __len__(self) -> int:
        return len(self._items)

    def add(self, item: DeferredSubmission, retry_at: float) -> None:
        """Defers a submission to a time, at most to its deadline."""
        item.retry_at = min(retry_at, item.deadline)
        self._items.append(item)

    def make_all_due(self, now: float) -> None:
        """Makes all submissions due, after new journals or a new record."""
        for item in self._items:
            item.retry_at = min(item.retry_at, now)

    def pop_due(self, fresh: bool, now: float) -> list[DeferredSubmission]:
        """Removes and returns the submissions to handle now.

        Without fresh evidence these are only the ones at their deadline.
        """
        due = [
            item
            for item in self._items
            if now >= item.retry_at and (fresh or now >= item.deadline)
        ]
        if due:
            due_ids = {id(item) for item in due}
            self._items = [i for i in self._items if id(i) not in due_ids]
        return due

    def has_key(self, key: str) -> bool:
        """Whether a submission of this key is deferred."""
        return any(item.message.key == key for item in self._items)
