"""The tasks at an agent that are not finished, and the slots they hold."""

from __future__ import annotations

import dataclasses
import enum

from gypsumline.core.identity import Member
from gypsumline.core.task import TaskSpec


class Place(enum.Enum):
    """Where an unfinished task is."""

    QUEUE = enum.auto()  # waits for a slot
    HELD = enum.auto()  # of a former owner; starts only for the new one
    RESERVED = enum.auto()  # holds a slot; the last check is to come
    RUNNING = enum.auto()


@dataclasses.dataclass(slots=True)
class LiveTask:
    """One unfinished task.

    Attributes:
      key: Submission key.
      spec: The task.
      service: Service of its job.
      attempt: Newest attempt that was sent.
      deadline: `CLOCK_BOOTTIME` seconds.
      priority: Tasks with a higher one start first.
      owner: The entry that sent it last.
      place: Where it is.
    """

    key: str
    spec: TaskSpec
    service: str
    attempt: int
    deadline: float
    priority: float
    owner: Member
    place: Place = Place.QUEUE


class SlotQueue:
    """Unfinished tasks by key and index, in the order of their start."""

    def __init__(self) -> None:
        self._tasks: dict[tuple[str, int], LiveTask] = {}
        self._queue: list[LiveTask] = []
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

    def find(self, key: str, index: int) -> LiveTask | None:
        """Returns one task."""
        return self._tasks.get((key, index))

    def all(self) -> list[LiveTask]:
        """Returns all tasks."""
        return list(self._tasks.values())

    def add(self, task: LiveTask) -> None:
        """Adds a task at the end of its priority."""
        self._tasks[task.key, task.spec.index] = task
        self.enqueue(task)

    def enqueue(self, task: LiveTask) -> None:
        """Puts a held task back into the queue."""
        task.place = Place.QUEUE
        position = len(self._queue)
        while position and self._queue[position - 1].priority < task.priority:
            position -= 1
        self._queue.insert(position, task)

    def reserve_next(self) -> LiveTask:
        """Gives a slot to the first task of the queue."""
        task = self._queue.pop(0)
        task.place = Place.RESERVED
        self._occupied += 1
        return task

    def hold(self, task: LiveTask) -> None:
        """Takes a queued or reserved task out of turn."""
        self._vacate(task)
        task.place = Place.HELD

    def remove(self, task: LiveTask) -> None:
        """Forgets a task and frees its slot."""
        self._vacate(task)
        del self._tasks[task.key, task.spec.index]

    def _vacate(self, task: LiveTask) -> None:
        if task.place is Place.QUEUE:
            self._queue.remove(task)
        elif task.place is not Place.HELD:
            self._occupied -= 1
