"""An agent's journal of task starts, bounded in count and bytes."""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Iterator

from gypsumline.core.messages import JournalEntry
from gypsumline.core.slots.slot_settings import SlotSettings
from gypsumline.core.task import TaskResult

_NANOSECONDS_PER_SECOND = 1_000_000_000


class TaskState(enum.StrEnum):
    """What the journal says about one task."""

    QUEUED = "queued"
    STARTED = "started"
    FINISHED = "finished"
    WITHDRAWN = "withdrawn"


_OPEN = (TaskState.QUEUED, TaskState.STARTED)


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """One task in the journal, with the newest attempt that it has seen.

    Attributes:
      index: Position in the job.
      state: State of the newest attempt.
      attempt: Newest attempt.
      result: The result, if it has finished.
      ran: Whether an earlier attempt has run.
    """

    index: int
    state: TaskState
    attempt: int
    result: TaskResult | None = None
    ran: bool = False


@dataclasses.dataclass(slots=True)
class KeyRecord:
    """The tasks of one key.

    Attributes:
      key: Submission key.
      digest: Digest of the job's body.
      touched_at: `CLOCK_BOOTTIME` seconds of the last change.
      unfinished: Number of tasks that are queued or started.
      tasks: The tasks by index.
    """

    key: str
    digest: bytes
    touched_at: float
    unfinished: int = 0
    tasks: dict[int, TaskRecord] = dataclasses.field(default_factory=dict)


class Journal:
    """Keeps what happened to each (key, index) of this incarnation.

    Nothing is dropped before its time: a dropped entry could let a task start
    a second time. When the journal is full, new starts are refused.
    """

    def __init__(self, incarnation: int, settings: SlotSettings) -> None:
        self._settings = settings
        self._complete_since = incarnation / _NANOSECONDS_PER_SECOND
        self._keys: dict[str, KeyRecord] = {}
        self._expiries: collections.deque[tuple[float, str]] = (
            collections.deque()
        )
        self._entries = 0
        self._bytes = 0

    @property
    def complete_since(self) -> float:
        """UTC seconds since which nothing is missing: this process's start.

        Entries that have expired belong to keys that may no longer be
        submitted, so they are not counted as missing.
        """
        return self._complete_since

    @property
    def is_full(self) -> bool:
        """Whether new starts must be refused."""
        return (
            self._entries >= self._settings.journal_entries
            or self._bytes >= self._settings.journal_bytes
        )

    @property
    def has_tombstone_room(self) -> bool:
        """Whether one more refusal can be recorded."""
        limit = self._settings.journal_entries
        return self._entries < limit + self._settings.tombstone_entries

    def find_key(self, key: str) -> KeyRecord | None:
        """Returns the tasks of a key."""
        return self._keys.get(key)

    def find(self, key: str, index: int) -> TaskRecord | None:
        """Returns one task."""
        record = self._keys.get(key)
        return None if record is None else record.tasks.get(index)

    def queue(
        self, key: str, digest: bytes, index: int, attempt: int, now: float
    ) -> None:
        """Records that a task waits for a slot."""
        record = self._touch(key, digest, now)
        self._set(record, index, TaskState.QUEUED, attempt)

    def start(self, key: str, index: int, now: float) -> None:
        """Records that a queued task is handed to the executor."""
        record = self._touch(key, b"", now)
        record.tasks[index].state = TaskState.STARTED

    def finish(self, key: str, result: TaskResult, now: float) -> TaskResult:
        """Records a result and returns it with the newest attempt."""
        record = self._touch(key, b"", now)
        task = record.tasks[result.index]
        if task.attempt != result.attempt:
            result = dataclasses.replace(result, attempt=task.attempt)
        self._set(record, result.index, TaskState.FINISHED, task.attempt)
        task.result = result
        self._bytes += len(result.value)
        return result

    def withdraw(self, key: str, index: int, attempt: int, now: float) -> bool:
        """Records that no attempt up to this one starts.

        Returns:
          False if there is no room to record it.
        """
        known = self.find(key, index)
        if known is None and not self.has_tombstone_room:
            return False
        record = self._touch(key, b"", now)
        newest = attempt if known is None else max(attempt, known.attempt)
        self._set(record, index, TaskState.WITHDRAWN, newest)
        return True

    def prune(self, now: float) -> None:
        """Drops keys that changed longer ago than they are kept."""
        while self._expiries and self._expiries[0][0] <= now:
            _, key = self._expiries.popleft()
            record = self._keys[key]
            expires_at = record.touched_at + self._settings.keep_time
            if record.unfinished or expires_at > now:
                again = max(expires_at, now + self._settings.keep_time / 2)
                self._expiries.append((again, key))
                continue
            self._drop(record)

    def entries(self) -> Iterator[tuple[KeyRecord, Iterator[JournalEntry]]]:
        """Yields each key with its tasks as they are sent to an owner."""
        for record in self._keys.values():
            yield record, _to_entries(record)

    def _touch(self, key: str, digest: bytes, now: float) -> KeyRecord:
        record = self._keys.get(key)
        if record is None:
            record = KeyRecord(key, digest, now)
            self._keys[key] = record
            expires_at = now + self._settings.keep_time
            self._expiries.append((expires_at, key))
        record.touched_at = now
        if digest:
            record.digest = digest
        return record

    def _set(
        self, record: KeyRecord, index: int, state: TaskState, attempt: int
    ) -> None:
        task = record.tasks.get(index)
        if task is None:
            record.tasks[index] = TaskRecord(index, state, attempt)
            self._entries += 1
            record.unfinished += state in _OPEN
            return
        record.unfinished += (state in _OPEN) - (task.state in _OPEN)
        if task.result is not None:
            self._bytes -= len(task.result.value)
            task.result = None
        if task.state is TaskState.FINISHED:
            task.ran = True
        task.state = state
        task.attempt = attempt

    def _drop(self, record: KeyRecord) -> None:
        del self._keys[record.key]
        self._entries -= len(record.tasks)
        for task in record.tasks.values():
            if task.result is not None:
                self._bytes -= len(task.result.value)


def _to_entries(record: KeyRecord) -> Iterator[JournalEntry]:
    for task in record.tasks.values():
        yield JournalEntry(
            key=record.key,
            index=task.index,
            state=task.state.value,
            attempt=task.attempt,
            result=task.result,
            digest=record.digest,
            ran=task.ran,
        )
