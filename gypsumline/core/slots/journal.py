"""An agent's journal of task starts, limited in entries and bytes."""

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
    """State of a task in the journal."""

    QUEUED = "queued"
    STARTED = "started"
    FINISHED = "finished"
    WITHDRAWN = "withdrawn"


_UNFINISHED_STATES = (TaskState.QUEUED, TaskState.STARTED)


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """The newest known attempt of a task.

    Attributes:
      index: Position of the task in the job.
      state: State of that attempt.
      attempt: Number of that attempt.
      result: Result of that attempt, if it has finished.
      ran: Whether an earlier attempt has run.
    """

    index: int
    state: TaskState
    attempt: int
    result: TaskResult | None = None
    ran: bool = False


@dataclasses.dataclass(slots=True)
class KeyRecord:
    """The journal's tasks of one submission key.

    Attributes:
      key: Submission key.
      digest: Digest of the job's body.
      changed_at: `CLOCK_BOOTTIME` seconds of the last change.
      unfinished: Number of tasks that are queued or started.
      tasks: The tasks by index.
    """

    key: str
    digest: bytes
    changed_at: float
    unfinished: int = 0
    tasks: dict[int, TaskRecord] = dataclasses.field(default_factory=dict)


class Journal:
    """State of each (key, index) that reached this incarnation of the agent.

    No entry is evicted before its retention time has passed, because a task
    without an entry could start a second time. A full journal refuses new
    starts instead.
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
        """Start of this process in UTC seconds; no later entry is missing.

        Expired entries don't count as missing, because their keys may no
        longer be submitted.
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
    def can_add_tombstone(self) -> bool:
        """Whether a refusal of an unknown task can be recorded."""
        limit = self._settings.journal_entries
        return self._entries < limit + self._settings.tombstone_entries

    def find_key(self, key: str) -> KeyRecord | None:
        """Returns the record of a key, or None."""
        return self._keys.get(key)

    def find(self, key: str, index: int) -> TaskRecord | None:
        """Returns the record of a task, or None."""
        record = self._keys.get(key)
        return None if record is None else record.tasks.get(index)

    def queue(
        self, key: str, digest: bytes, index: int, attempt: int, now: float
    ) -> None:
        """Records that a task waits for a slot."""
        record = self._update_key(key, digest, now)
        self._set_state(record, index, TaskState.QUEUED, attempt)

    def start(self, key: str, index: int, now: float) -> None:
        """Records that a queued task is sent to the executor."""
        record = self._update_key(key, b"", now)
        record.tasks[index].state = TaskState.STARTED

    def finish(self, key: str, result: TaskResult, now: float) -> TaskResult:
        """Records a result; returns it with the newest attempt number."""
        record = self._update_key(key, b"", now)
        task = record.tasks[result.index]
        if task.attempt != result.attempt:
            result = dataclasses.replace(result, attempt=task.attempt)
        self._set_state(record, result.index, TaskState.FINISHED, task.attempt)
        task.result = result
        self._bytes += len(result.value)
        return result

    def withdraw(self, key: str, index: int, attempt: int, now: float) -> bool:
        """Records that no attempt up to this one will start.

        Returns:
          False if the limit of the journal does not allow the record.
        """
        known = self.find(key, index)
        if known is None and not self.can_add_tombstone:
            return False
        record = self._update_key(key, b"", now)
        newest = attempt if known is None else max(attempt, known.attempt)
        self._set_state(record, index, TaskState.WITHDRAWN, newest)
        return True

    def prune(self, now: float) -> None:
        """Removes finished keys whose retention time has passed."""
        while self._expiries and self._expiries[0][0] <= now:
            _, key = self._expiries.popleft()
            record = self._keys[key]
            expires_at = record.changed_at + self._settings.retention_time
            if record.unfinished or expires_at > now:
                next_check_at = max(
                    expires_at, now + self._settings.retention_time / 2
                )
                self._expiries.append((next_check_at, key))
                continue
            self._remove(record)

    def entries(self) -> Iterator[tuple[KeyRecord, Iterator[JournalEntry]]]:
        """Yields each key with its tasks as entries of a journal report."""
        for record in self._keys.values():
            yield record, _to_entries(record)

    def _update_key(self, key: str, digest: bytes, now: float) -> KeyRecord:
        record = self._keys.get(key)
        if record is None:
            record = KeyRecord(key, digest, now)
            self._keys[key] = record
            expires_at = now + self._settings.retention_time
            self._expiries.append((expires_at, key))
        record.changed_at = now
        if digest:
            record.digest = digest
        return record

    def _set_state(
        self, record: KeyRecord, index: int, state: TaskState, attempt: int
    ) -> None:
        task = record.tasks.get(index)
        if task is None:
            record.tasks[index] = TaskRecord(index, state, attempt)
            self._entries += 1
            record.unfinished += state in _UNFINISHED_STATES
            return
        record.unfinished += (state in _UNFINISHED_STATES) - (
            task.state in _UNFINISHED_STATES
        )
        if task.result is not None:
            self._bytes -= len(task.result.value)
            task.result = None
        if task.state is TaskState.FINISHED:
            task.ran = True
        task.state = state
        task.attempt = attempt

    def _remove(self, record: KeyRecord) -> None:
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
