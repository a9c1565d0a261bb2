"""Results of an agent's tasks, gathered per key."""

from __future__ import annotations

import dataclasses
from collections.abc import Set

from gypsumline.core.task import TaskResult

# Well below the frame limit of 4 MiB, even with one more result of 1 MiB.
MESSAGE_BYTES = 1024 * 1024


@dataclasses.dataclass(slots=True)
class Parcel:
    """Results of one key for one receiver.

    Attributes:
      since: `CLOCK_BOOTTIME` seconds of the oldest result.
      urgent: Whether it may not wait for further results.
      results: The results.
    """

    since: float
    urgent: bool = False
    results: list[TaskResult] = dataclasses.field(default_factory=list)


class Outbox:
    """Holds results until they are worth a message.

    A job needs all of its results, so those of one key are sent together when
    its last task here has ended. They are sent earlier if the receiver has
    tasks that wait for a slot, because they tell of the slots that are free,
    and those that were held for a while go with the next message.
    """

    def __init__(self, delay: float, join_age: float) -> None:
        """Makes an empty outbox.

        Args:
          delay: Longest time that a result waits, in seconds.
          join_age: Seconds after which a parcel joins the next message to its
            receiver.
        """
        self._delay = delay
        self._join_age = join_age
        self._parcels: dict[tuple[str, str], Parcel] = {}

    def __len__(self) -> int:
        return len(self._parcels)

    def add(
        self, to: str, key: str, result: TaskResult, urgent: bool, now: float
    ) -> None:
        """Adds a result for a receiver."""
        parcel = self._parcels.get((to, key))
        if parcel is None:
            parcel = self._parcels[to, key] = Parcel(now)
        parcel.results.append(result)
        parcel.urgent = parcel.urgent or urgent

    def take_due(
        self, waiting_for_slots: Set[str], now: float
    ) -> list[tuple[str, str, Parcel]]:
        """Returns (receiver, key, results) to send now, and forgets them.

        Args:
          waiting_for_slots: Receivers to tell at once, because a slot is free.
          now: `CLOCK_BOOTTIME` seconds.
        """
        if not self._parcels:
            return []
        told = waiting_for_slots | {
            to
            for (to, _), parcel in self._parcels.items()
            if parcel.urgent or now - parcel.since >= self._delay
        }
        due = [
            (to, key, parcel)
            for (to, key), parcel in self._parcels.items()
            if to in waiting_for_slots
            or parcel.urgent
            or (to in told and now - parcel.since >= self._join_age)
        ]
        for to, key, _ in due:
            del self._parcels[to, key]
        return [
            (to, key, part)
            for to, key, parcel in due
            for part in _split(parcel)
        ]


def _split(parcel: Parcel) -> list[Parcel]:
    """Returns parts of a parcel, each small enough for one message."""
    parts = [Parcel(parcel.since, parcel.urgent)]
    size = 0
    for result in parcel.results:
        if size and size + result.size > MESSAGE_BYTES:
            parts.append(Parcel(parcel.since, parcel.urgent))
            size = 0
        parts[-1].results.append(result)
        size += result.size
    return parts
