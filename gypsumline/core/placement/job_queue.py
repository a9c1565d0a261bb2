"""Jobs with unplaced tasks, in the order in which they get places."""

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
      indexes: Positions in the job, in the order of works.
    """

    kind: str
    works: list[float] = dataclasses.field(default_factory=list)
    indexes: list[int] = dataclasses.field(default_factory=list)

    def add(self, index: int, work: float) -> None:
        """Adds one task."""
        position = bisect.bisect_right(self.works, work)
        self.works.insert(position, work)
        self.indexes.insert(position, index)

    def take(self, position: int) -> tuple[int, float]:
        """Removes one task and returns its index and work."""
        return self.indexes.pop(position), self.works.pop(position)


@dataclasses.dataclass(slots=True, eq=False)
class QueuedJob:
    """A job as the scheduler sees it.

    Attributes:
      key: Submission key.
      service: Service that runs it.
      client: Client that pays with its share.
      arrived_at: When it was added.
      deadline: When it is of no more use.
      declared: Kind and declared run time of its tasks, by index.
      queues: Unplaced tasks by kind.
      queued: Indexes of the unplaced tasks.
      work_left: Work of the tasks that have not finished, by index.
      unplaced_work: Work of the tasks in the queues.
      counted: Work that it counts for its client; see `ClientUse`.
      penalty: Seconds that it is put back for what its client has already.
      priority: Place in the order; lower is earlier.
      order_number: Number of its valid entry in the order.
    """

    key: str
    service: str
    client: str
    arrived_at: float
    deadline: float
    declared: dict[int, tuple[str, float]]
    queues: dict[str, QueuedTasks] = dataclasses.field(default_factory=dict)
    queued: set[int] = dataclasses.field(default_factory=set)
    work_left: dict[int, float] = dataclasses.field(default_factory=dict)
    unplaced_work: float = 0.0
    counted: float = 0.0
    penalty: float = 0.0
    priority: float = 0.0
    order_number: int = 0

    def add(self, index: int, work: float) -> None:
        """Adds an unplaced task; one that is queued already is kept once."""
        if index in self.queued:
            return
        self.queued.add(index)
        kind = self.declared[index][0]
        self.queues.setdefault(kind, QueuedTasks(kind)).add(index, work)
        self.unplaced_work += work

    def take(self, queue: QueuedTasks, position: int) -> tuple[int, float]:
        """Removes a task that was placed; returns its index and work."""
        index, work = queue.take(position)
        self.unplaced_work -= work
        self.queued.discard(index)
        if not queue.works:
            del self.queues[queue.kind]
        return index, work


class JobOrder:
    """Jobs of one service by priority; changes of priority are lazy.

    Attributes:
      new_jobs: Jobs that got unplaced tasks since the last pass.
      passed_at: When the last pass over the jobs was.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, QueuedJob]] = []
        self._numbers = itertools.count(1)
        self.new_jobs: list[QueuedJob] = []
        self.passed_at = -math.inf

    def push(self, job: QueuedJob) -> None:
        """Adds a job, or a job whose priority has changed."""
        job.order_number = next(self._numbers)
        heapq.heappush(self._heap, (job.priority, job.order_number, job))

    def pop(self) -> QueuedJob | None:
        """Removes and returns the first job with unplaced tasks."""
        while self._heap:
            _, number, job = heapq.heappop(self._heap)
            if job.queues and number == job.order_number:
                return job
        return None

    def __bool__(self) -> bool:
        return bool(self._heap)
