"""Task results of an agent, batched per owner and key."""

from __future__ import annotations

import dataclasses
from collections.abc import Set

from gypsumline.core.task import TaskResult

# Well below the frame limit of 4 MiB, even with one more result of 1 MiB.
MESSAGE_BYTES_MAX = 1024 * 1024


@dataclasses.dataclass(slots=True)
class ResultBatch:
    """Results of one key that wait to be sent to one receiver.

    Attributes:
      since: `CLOCK_BOOTTIME` seconds at which the oldest result was added.
      urgent: Whether it must be sent without waiting for further results.
      results: The results.
    """

    since: float
    urgent: bool = False
    results: list[TaskResult] = dataclasses.field(default_factory=list)


class Outbox:
    """Batches results to reduce the number of messages.

    A job needs all of its results, so those of one key are sent together when
    its last task at this agent has ended. They are sent earlier if the
    receiver has tasks that wait for a slot, because each results message also
    reports the free slots. Results older than the join age are sent along with
    the next message to the same receiver.
    """

    def __init__(self, delay: float, join_age: float) -> None:
        """Initializes an empty outbox.

        Args:
          delay: Maximum time that a result waits, in seconds.
          join_age: Age, in seconds, from which a batch is sent along with the
            next message to its receiver.
        """
        self._delay = delay
        self._join_age = join_age
        self._batches: dict[tuple[str, str], ResultBatch] = {}

    def __len__(self) -> int:
        return len(self._batches)

    def add(
        self, to: str, key: str, result: TaskResult, urgent: bool, now: float
    ) -> None:
        """Adds a result of a key for a receiver."""
        batch = self._batches.get((to, key))
        if batch is None:
            batch = self._batches[to, key] = ResultBatch(now)
        batch.results.append(result)
        batch.urgent = batch.urgent or urgent

    def take_due(
        self, waiting_for_slots: Set[str], now: float
    ) -> list[tuple[str, str, ResultBatch]]:
        """Removes and returns the batches to send now.

        Args:
          waiting_for_slots: Receivers whose results are sent immediately,
            because they have waiting tasks and a slot is free.
          now: `CLOCK_BOOTTIME` seconds.

        Returns:
          Tuples of receiver, key and batch; a batch too large for one message
          is split.
        """
        if not self._batches:
            return []
        flushed = waiting_for_slots | {
            to
            for (to, _), batch in self._batches.items()
            if batch.urgent or now - batch.since >= self._delay
        }
        due_batches = [
            (to, key, batch)
            for (to, key), batch in self._batches.items()
            if to in waiting_for_slots
            or batch.urgent
            or (to in flushed and now - batch.since >= self._join_age)
        ]
        for to, key, _ in due_batches:
            del self._batches[to, key]
        return [
            (to, key, part)
            for to, key, batch in due_batches
            for part in _split(batch)
        ]


def _split(batch: ResultBatch) -> list[ResultBatch]:
    """Splits a batch into parts that each fit into one message."""
    parts = [ResultBatch(batch.since, batch.urgent)]
    size = 0
    for result in batch.results:
        if size and size + result.size > MESSAGE_BYTES_MAX:
            parts.append(ResultBatch(batch.since, batch.urgent))
            size = 0
        parts[-1].results.append(result)
        size += result.size
    return parts
