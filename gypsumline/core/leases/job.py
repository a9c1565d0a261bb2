"""Leased jobs, their tasks and their runs, as tracked by the owner."""

from __future__ import annotations

import dataclasses
import enum
import functools
from collections.abc import Iterator

from gypsumline.core.identity import Member
from gypsumline.core.leases.effects import JobOutcome
from gypsumline.core.leases.fleet import AgentView
from gypsumline.core.leases.resources import Resources
from gypsumline.core.placement.estimate import RunTimeEstimates


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobStep:
    """A step of a job: tasks with the same requirements.

    Attributes:
      count: Number of tasks.
      resources: Resources that each task needs.
      run_time: Approximate run time declared by the caller, in seconds.
      after: Indexes of the steps whose tasks must all be done first.
      required_label: Label that the executor must have; "" for none.
      data_rack: Label of the rack that holds the data; "" for none.
      max_per_executor: Maximum number of tasks of the step on one executor; 0
        for no limit.
    """

    count: int
    resources: Resources
    run_time: float = 0.0
    after: tuple[int, ...] = ()
    required_label: str = ""
    data_rack: str = ""
    max_per_executor: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueueRules:
    """Operators' configuration of the jobs of one queue.

    Attributes:
      name: Name of the queue, for which run times are learned.
      service: Service that runs its tasks.
      priority: Lower values go first.
      attempts: Number of failed runs of one task at which the job fails.
      stretch: Allowed response time as a multiple of the run time of the job's
        critical path.
      latency: Seconds added to the allowed response time.
    """

    name: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    latency: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobRequest:
    """A submission whose tasks may be run again after earlier runs ended.

    Attributes:
      key: Submission key, opaque.
      spec: Specification that the executors run.
      queue: Rules of its queue.
      steps: Its steps.
      timeout: Seconds for which the caller waits.
      configuration: Version of the configuration that routed it.
    """

    key: str
    spec: str
    queue: QueueRules
    steps: tuple[JobStep, ...]
    timeout: float
    configuration: int = -1


class TaskPhase(enum.Enum):
    """Progress of a task as known to the owner."""

    WAITING = enum.auto()
    PLACED = enum.auto()
    DONE = enum.auto()


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """One task of a job.

    Attributes:
      name: Name, unique in the installation.
      job: Its job.
      step_index: Index of its step.
      phase: Its progress.
      attempt: Attempt number of the newest run; 0 before the first.
      failures: Number of runs that failed by their own fault.
      stalled_agent_id: ID of the agent at which a run was stopped as stalled.
    """

    name: str
    job: LeasedJob
    step_index: int
    phase: TaskPhase = TaskPhase.WAITING
    attempt: int = 0
    failures: int = 0
    stalled_agent_id: str = ""

    @property
    def step(self) -> JobStep:
        """Step that the task belongs to."""
        return self.job.request.steps[self.step_index]


@dataclasses.dataclass(slots=True, eq=False)
class PlacedRun:
    """A run that may still be active.

    Attributes:
      task: Its task.
      attempt: Attempt number.
      view: View of the agent that the run was ordered from.
      executor: Executor of that agent at the time of the order.
      resources: Resources that it holds.
      order_number: Number of the order on the stream to the agent.
      placed_at: Time of the order.
      overdue_at: Time after which it counts as stalled.
      is_stopping: Whether a stop was sent.
    """

    task: Task
    attempt: int
    view: AgentView
    executor: str
    resources: Resources
    order_number: int
    placed_at: float
    overdue_at: float
    is_stopping: bool = False

    @property
    def agent(self) -> Member:
        """Agent incarnation that the run was ordered from."""
        return self.view.member


class LeasedJob:
    """State of one job from its admission to its answer.

    Attributes:
      request: The submission.
      longest_work: Expected run time of its longest task at speed 1.
      received_at: Time of the submission.
      expires_at: Time until which its caller waits.
      objective: Response time that its queue allows, in seconds.
      started_runs: Number of ordered runs that have or may have started.
      may_have_run: Whether a run of an earlier job with this key may have
        started here.
      is_suspect: Whether one of its tasks may crash its executors.
      is_strong_suspect: Whether that is likely.
      smallest_need: Smallest amount of each resource that a step needs.
      tasks: All its tasks.
    """

    def __init__(
        self,
        request: JobRequest,
        now: float,
        objective: float,
        longest_work: float,
    ) -> None:
        self.request = request
        self.longest_work = longest_work
        self.received_at = now
        self.expires_at = now + request.timeout
        self.objective = objective
        self.smallest_need = functools.reduce(
            Resources.min, (step.resources for step in request.steps)
        )
        self.started_runs = 0
        self.may_have_run = False
        self.is_suspect = False
        self.is_strong_suspect = False
        self.tasks = [
            Task(
                name=f"{request.key}.0.{number}.{index}",
                job=self,
                step_index=number,
            )
            for number, step in enumerate(request.steps)
            for index in range(step.count)
        ]
        self._open_counts = [step.count for step in request.steps]
        self._waiting_counts = list(self._open_counts)

    @property
    def key(self) -> str:
        """Submission key."""
        return self.request.key

    @property
    def service(self) -> str:
        """Service of its queue at the time of submission."""
        return self.request.queue.service

    @property
    def has_started(self) -> bool:
        """Whether a run has or may have started."""
        return self.started_runs > 0

    @property
    def outcome_if_unfinished(self) -> JobOutcome:
        """Outcome for its caller if it ends before all tasks are done."""
        if self.has_started or self.may_have_run:
            return JobOutcome.EXPIRED
        return JobOutcome.NOT_RUN

    @property
    def due_at(self) -> float:
        """Time at which its response time objective ends."""
        return self.received_at + self.objective

    def sort_key(
        self, now: float, fastest_speed: float
    ) -> tuple[int, bool, float]:
        """Returns the key by which waiting jobs are sorted; lower goes first.

        Within a priority, jobs that can no longer meet their objective come
        last. Otherwise every job would be slightly late under overload.

        Args:
          now: Current time.
          fastest_speed: Highest speed of any executor.
        """
        misses_objective = now + self.longest_work / fastest_speed > self.due_at
        return self.request.queue.priority, misses_objective, self.due_at

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return not any(self._open_counts)

    def set_phase(self, task: Task, phase: TaskPhase) -> None:
        """Updates the phase of a task; DONE is final."""
        if task.phase is phase or task.phase is TaskPhase.DONE:
            return
        if task.phase is TaskPhase.WAITING:
            self._waiting_counts[task.step_index] -= 1
        if phase is TaskPhase.WAITING:
            self._waiting_counts[task.step_index] += 1
        if phase is TaskPhase.DONE:
            self._open_counts[task.step_index] -= 1
        task.phase = phase

    def is_step_done(self, number: int) -> bool:
        """Returns whether all tasks of a step are done."""
        return not self._open_counts[number]

    def waiting_steps(self) -> Iterator[tuple[JobStep, int]]:
        """Yields steps with waiting tasks and the number of these tasks."""
        for number, count in enumerate(self._waiting_counts):
            if count:
                yield self.request.steps[number], count

    def ready_steps(self) -> Iterator[tuple[JobStep, int]]:
        """Yields the waiting steps whose preceding steps are done."""
        for step, count in self.waiting_steps():
            if not any(self._open_counts[number] for number in step.after):
                yield step, count

    def ready_tasks(self) -> Iterator[Task]:
        """Yields the waiting tasks whose preceding steps are done."""
        for task in self.tasks:
            if task.phase is not TaskPhase.WAITING:
                continue
            if not any(self._open_counts[number] for number in task.step.after):
                yield task


def new_job(
    request: JobRequest, estimates: RunTimeEstimates, now: float
) -> LeasedJob:
    """Creates a job with the response time objective of its queue."""
    queue = request.queue
    ends: list[float] = []
    longest = 0.0
    for step in request.steps:
        start = max((ends[number] for number in step.after), default=0.0)
        work = estimates.work(queue.service, queue.name, step.run_time)
        longest = max(longest, work)
        ends.append(start + work)
    objective = queue.stretch * max(ends, default=0.0) + queue.latency
    return LeasedJob(request, now, objective, longest)
