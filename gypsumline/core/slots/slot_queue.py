"""Unfinished tasks of an agent and the slots that they occupy."""

from __future__ import annotations

import dataclasses
import enum

from gypsumline.core.identity import Member
from gypsumline.core.task import TaskSpec


class TaskPhase(enum.Enum):
    """Phase of an unfinished task at the agent."""

    QUEUED = enum.auto()  # waits for a free slot
    HELD = enum.auto()  # its sender does not own the key; waits for the owner
    RESERVED = enum.auto()  # occupies a slot; the final check is pending
    RUNNING = enum.auto()


@dataclasses.dataclass(slots=True)
class ActiveTask:
    """A task that is queued, held, reserved or running.

    Attributes:
      key: Submission key.
      spec: The task.
      service: Service of its job.
      attempt: Newest attempt that was sent.
      deadline: Time until which it may start, in `CLOCK_BOOTTIME` seconds.
      priority: Tasks with a higher priority start first.
      owner: Entry that sent the newest start of it.
      phase: Current phase.
    """

    key: str
    spec: TaskSpec
    service: str
    attempt: int
    deadline: float
    priority: float
    owner: Member
    phase: TaskPhase = TaskPhase.QUEUED


class SlotQueue:
    """Unfinished tasks by key and index, with a priority queue for slots."""

    def __init__(self) -> None:
        self._tasks: dict[tuple[str, int], ActiveTask] = {}
        self._queue: list[ActiveTask] = []
        self._occupied = 0

    def __len__(self) -> int:
        return len(self._tasks)

    @property
    def occupied(self) -> int:
        """Number of slots that are reserved or in use."""
        return self._occupied

    @property
    def queued(self) -> int:
        """Number of tasks that wait for a slot."""
        return len(self._queue)

    def find(self, key: str, index: int) -> ActiveTask | None:
        """Returns a task, or None if it is unknown or has finished."""
        return self._tasks.get((key, index))

    def all(self) -> list[ActiveTask]:
        """Returns all tasks."""
        return list(self._tasks.values())

    def add(self, task: ActiveTask) -> None:
        """Adds a new task to the queue."""
        self._tasks[task.key, task.spec.index] = task
        self.enqueue(task)

    def enqueue(self, task: ActiveTask) -> None:
        """Puts a task into the queue behind all of the same priority."""
        task.phase = TaskPhase.QUEUED
        position = len(self._queue)
        while position and self._queue[position - 1].priority < task.priority:
            position -= 1
        self._queue.insert(position, task)

    def reserve_next(self) -> ActiveTask:
        """Reserves a slot for the first task of the queue."""
        task = self._queue.pop(0)
        task.phase = TaskPhase.RESERVED
        self._occupied += 1
        return task

    def hold(self, task: ActiveTask) -> None:
        """Moves a queued or reserved task out of the queue or its slot."""
        self._leave_phase(task)
        task.phase = TaskPhase.HELD

    def remove(self, task: ActiveTask) -> None:
        """Removes a task and frees its slot."""
        self._leave_phase(task)
        del self._tasks[task.key, task.spec.index]

    def _leave_phase(self, task: ActiveTask) -> None:
        if task.phase is TaskPhase.QUEUED:
            self._queue.remove(task)
        elif task.phase is not TaskPhase.HELD:
            self._occupied -= 1
