"""What the decisions about leased runs ask the shells to do."""

from __future__ import annotations

import dataclasses
import enum

from gypsumline.core.effects import Effect
from gypsumline.core.leases.resources import Resources


class JobOutcome(enum.StrEnum):
    """How a leased job ended for its caller.

    After ELSEWHERE and EXPIRED a caller may send the job again; ELSEWHERE says
    that this entry reaches no executor and another one may.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    ELSEWHERE = "elsewhere"
    EXPIRED = "expired"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobEnded(Effect):
    """Answer the callers of a job.

    Attributes:
      key: Submission key.
      outcome: How it ended; NOT_RUN only if no task ever started.
      reason: Why, in a word for logs and callers.
      retry_after: Seconds after which another try may succeed.
    """

    key: str
    outcome: JobOutcome
    reason: str = ""
    retry_after: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderStart(Effect):
    """Tell the executor to start a run.

    Attributes:
      executor: Name of the executor that is meant.
      task: Name of the task.
      attempt: Number of the run.
      spec: What to run.
      token: Fencing token.
      lease_until: Milliseconds on the executor's clock.
    """

    executor: str
    task: str
    attempt: int
    spec: str
    token: int
    lease_until: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderStop(Effect):
    """Tell the executor to stop a run."""

    executor: str
    task: str
    attempt: int
    token: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HoldRequest(Effect):
    """Ask the executor for its runs and ends, and renew its lease.

    Attributes:
      executor: Name of the executor that is meant.
      token: Fencing token.
      acknowledged_end: Number of the newest end that is taken note of.
      lease_until: Milliseconds on the executor's clock; None to renew nothing.
      wait: Seconds to wait for an end.
    """

    executor: str
    token: int
    acknowledged_end: int
    lease_until: int | None
    wait: float


class OrderAnswer(enum.Enum):
    """What the executor said to a start or a stop."""

    DONE = enum.auto()
    FENCED = enum.auto()
    OLD = enum.auto()
    LATE = enum.auto()
    REFUSED = enum.auto()
    OTHER_EXECUTOR = enum.auto()
    UNANSWERED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndedRun:
    """One end that an executor lists.

    Attributes:
      number: Number of the end in this life of the executor.
      task: Name of the task.
      attempt: Number of the run.
      outcome: "done", "failed", or another word for an end without an outcome.
    """

    number: int
    task: str
    attempt: int
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HoldReply:
    """An executor's list of runs and ends.

    Attributes:
      started_at: Start of this life of the executor, UTC milliseconds.
      clock: Milliseconds on its steady clock.
      running: (task, attempt) of all that runs.
      ended: Ends that are not yet taken note of.
    """

    started_at: int
    clock: int
    running: frozenset[tuple[str, int]]
    ended: tuple[EndedRun, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announcement:
    """What an executor tells about itself.

    Attributes:
      executor: Its name.
      started_at: Start of this life, UTC milliseconds.
      sequence: Number of the announcement in this life.
      service: Service that it runs.
      availability_zone: Where it runs.
      capacity: Its resources.
      labels: Its kind and its rack.
      leaving: Whether it takes no new runs.
      leaving_in: Seconds until it leaves at the earliest.
      clock: Milliseconds on its steady clock.
    """

    executor: str
    started_at: int
    sequence: int
    service: str
    availability_zone: str
    capacity: Resources
    labels: tuple[str, ...]
    leaving: bool
    leaving_in: float
    clock: int
