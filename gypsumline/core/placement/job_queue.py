"""Jobs with unplaced tasks, in the order in which they are placed."""

from __future__ import annotations

import bisect
import dataclasses
import heapq
import itertools
import math


@dataclasses.dataclass(slots=True, eq=False)
class QueuedTasks:
    """Unplaced tasks of one kind of a job, shortest first.

    Attributes:
      kind: Kind of the tasks.
      works: Expected run times at speed 1, in seconds.
      indexes: Positions of the tasks in the job, in the order of `works`.
    """

    kind: str
    works: list[float] = dataclasses.field(default_factory=list)
    indexes: list[int] = dataclasses.field(default_factory=list)

    def add(self, index: int, work: float) -> None:
        """Adds a task."""
        position = bisect.bisect_right(self.works, work)
        self.works.insert(position, work)
        self.indexes.insert(position, index)

    def pop(self, position: int) -> tuple[int, float]:
        """Removes a task and returns its index and work."""
        return self.indexes.pop(position), self.works.pop(position)


@dataclasses.dataclass(slots=True, eq=False)
class QueuedJob:
    """An unfinished job of the scheduler.

    Attributes:
      key: Submission key.
      service: Service that runs it.
      client: Client whose share it uses.
      arrived_at: Time at which it was added.
      deadline: Time at which its results are of no more use.
      declared: Kind and declared run time of its tasks, by index.
      queues: Unplaced tasks by kind.
      queued: Indexes of the unplaced tasks.
      remaining_work: Work of the tasks that have not finished, by index.
      unplaced_work: Work of the tasks in the queues.
      counted_work: Its part of the client's counted work; see `ClientUsage`.
      fairness_penalty: Seconds by which it is delayed for the work that its
        client has in the backlog beyond its share.
      priority: Sort key in the queue; lower is earlier.
      queue_entry: Number of its valid entry in the queue.
    """

    key: str
    service: str
    client: str
    arrived_at: float
    deadline: float
    declared: dict[int, tuple[str, float]]
    queues: dict[str, QueuedTasks] = dataclasses.field(default_factory=dict)
    queued: set[int] = dataclasses.field(default_factory=set)
    remaining_work: dict[int, float] = dataclasses.field(default_factory=dict)
    unplaced_work: float = 0.0
    counted_work: float = 0.0
    fairness_penalty: float = 0.0
    priority: float = 0.0
    queue_entry: int = 0

    def add(self, index: int, work: float) -> None:
        """Adds an unplaced task; has no effect if it is queued already."""
        if index in self.queued:
            return
        self.queued.add(index)
        kind = self.declared[index][0]
        self.queues.setdefault(kind, QueuedTasks(kind)).add(index, work)
        self.unplaced_work += work

    def remove_task(
        self, queue: QueuedTasks, position: int
    ) -> tuple[int, float]:
        """Removes a task that is being placed; returns its index and work."""
        index, work = queue.pop(position)
        self.unplaced_work -= work
        self.queued.discard(index)
        if not queue.works:
            del self.queues[queue.kind]
        return index, work


class JobQueue:
    """Priority queue of the jobs of one service.

    A job whose priority changes gets a new entry; its old entry is skipped
    when it is popped.

    Attributes:
      new_jobs: Jobs that got unplaced tasks since the last pass.
      last_pass_at: Time of the last full pass over the jobs.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, QueuedJob]] = []
        self._numbers = itertools.count(1)
        self.new_jobs: list[QueuedJob] = []
        self.last_pass_at = -math.inf

    def push(self, job: QueuedJob) -> None:
        """Adds a job, or updates its priority."""
        job.queue_entry = next(self._numbers)
        heapq.heappush(self._heap, (job.priority, job.queue_entry, job))

    def pop(self) -> QueuedJob | None:
        """Removes and returns the first job with unplaced tasks."""
        while self._heap:
            _, number, job = heapq.heappop(self._heap)
            if job.queues and number == job.queue_entry:
                return job
        return None

    def __bool__(self) -> bool:
        return bool(self._heap)
