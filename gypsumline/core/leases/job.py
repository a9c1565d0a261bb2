"""Leased jobs and their tasks, as the owner keeps them."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterator

from gypsumline.core.identity import Member
from gypsumline.core.leases.effects import JobOutcome
from gypsumline.core.leases.fleet import AgentView
from gypsumline.core.leases.resources import Resources
from gypsumline.core.placement.estimate import RunTimeEstimates


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobStep:
    """Tasks of one step.

    Attributes:
      count: Number of tasks.
      resources: What each takes.
      run_time: Rough run time that the caller declares, in seconds.
      after: Numbers of the steps whose tasks must all be done first.
      required_label: Label that the executor must have; "" for none.
      data_rack: Label of the rack where the data is; "" for none.
      max_per_executor: Most tasks of the step on one executor; 0 for no limit.
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
    """What the operators' configuration says of the jobs of one queue.

    Attributes:
      name: Name of the queue; run times are learned for it.
      service: Service that runs its tasks.
      priority: Lower values go first.
      attempts: Failed runs of one task after which the job has failed.
      stretch: Response time allowed, as a multiple of the job's longest chain
        of run times.
      latency: Seconds allowed on top of that.
    """

    name: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    latency: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobRequest:
    """A submission that may run again once its earlier runs have ended.

    Attributes:
      key: Submission key, opaque.
      spec: What the executors are to run.
      queue: Rules of its queue.
      steps: Its tasks.
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
    """What the owner knows of one task."""

    WAITING = enum.auto()
    PLACED = enum.auto()
    DONE = enum.auto()


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """One task of a job.

    Attributes:
      name: Name, unique in the installation.
      job: Its job.
      step_index: Number of its step.
      phase: What is known of it.
      attempt: Number of the newest run; 0 before the first.
      failures: Runs that failed by their own fault.
      stalled_agent_id: Agent at which a run was stopped for taking too long.
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
        """The step that it belongs to."""
        return self.job.request.steps[self.step_index]


@dataclasses.dataclass(slots=True, eq=False)
class PlacedRun:
    """A run whose end is not yet proven.

    Attributes:
      task: Its task.
      attempt: Number of the run.
      view: What is known of the agent that was asked for it.
      executor: Executor beside that agent at that time.
      resources: What it takes.
      order_number: Number of the order on the stream to the agent.
      placed_at: Time of the order.
      overdue_at: Time after which it is taken to stand still.
      is_stopping: Whether it was told to stop.
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
        """Incarnation of the agent that was asked for it."""
        return self.view.member


class LeasedJob:
    """State of one job from its admission to its answer.

    Attributes:
      request: The submission.
      longest_work: Expected run time of its longest task at speed 1.
      received_at: Time of the submission.
      expires_at: Time until which its caller waits.
      objective: Response time that its queue allows, in seconds.
      started_runs: Runs asked for that have begun or may have.
      may_have_run: Whether a run of an earlier job of its key here may have
        begun.
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
        self.started_runs = 0
        self.may_have_run = False
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
        """Service that its queue had when it was submitted."""
        return self.request.queue.service

    @property
    def has_started(self) -> bool:
        """Whether a run has begun or may have."""
        return self.started_runs > 0

    @property
    def outcome_if_unfinished(self) -> JobOutcome:
        """What its caller is told if it ends before it is done."""
        if self.has_started or self.may_have_run:
            return JobOutcome.EXPIRED
        return JobOutcome.NOT_RUN

    @property
    def due_at(self) -> float:
        """Time by which its answer is wanted."""
        return self.received_at + self.objective

    def sort_key(self, now: float, fastest: float) -> tuple[int, bool, float]:
        """Returns the place among the waiting jobs; lower goes first.

        Behind the jobs of its priority that can be in time come those that
        cannot, so that under overload not every job is a little late.

        Args:
          now: Present time.
          fastest: Highest speed of an executor.
        """
        is_late = now + self.longest_work / fastest > self.due_at
        return self.request.queue.priority, is_late, self.due_at

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return not any(self._open_counts)

    def set_phase(self, task: Task, phase: TaskPhase) -> None:
        """Takes what became of a task; one that is done stays so."""
        if task.phase is phase or task.phase is TaskPhase.DONE:
            return
        if task.phase is TaskPhase.WAITING:
            self._waiting_counts[task.step_index] -= 1
        if phase is TaskPhase.WAITING:
            self._waiting_counts[task.step_index] += 1
        if phase is TaskPhase.DONE:
            self._open_counts[task.step_index] -= 1
        task.phase = phase

    def waiting_steps(self) -> Iterator[tuple[JobStep, int]]:
        """Yields the steps of waiting tasks, and how many there are."""
        for number, count in enumerate(self._waiting_counts):
            if count:
                yield self.request.steps[number], count

    def ready_steps(self) -> Iterator[tuple[JobStep, int]]:
        """Yields the same for tasks whose earlier steps are done."""
        for step, count in self.waiting_steps():
            if not any(self._open_counts[number] for number in step.after):
                yield step, count

    def ready_tasks(self) -> Iterator[Task]:
        """Yields the waiting tasks whose earlier steps are done."""
        for task in self.tasks:
            if task.phase is not TaskPhase.WAITING:
                continue
            if not any(self._open_counts[number] for number in task.step.after):
                yield task


def new_job(
    request: JobRequest, estimates: RunTimeEstimates, now: float
) -> LeasedJob:
    """Returns a job with the response time that its queue allows."""
    queue = request.queue
    ends: list[float] = []
    longest = 0.0
    for step in request.steps:
        begin = max((ends[number] for number in step.after), default=0.0)
        work = estimates.work(queue.service, queue.name, step.run_time)
        longest = max(longest, work)
        ends.append(begin + work)
    objective = queue.stretch * max(ends, default=0.0) + queue.latency
    return LeasedJob(request, now, objective, longest)
