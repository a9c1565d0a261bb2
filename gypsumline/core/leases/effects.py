"""Effects that the state machines of leased runs request, and their inputs."""

from __future__ import annotations

import dataclasses
import enum

from gypsumline.core.effects import Effect
from gypsumline.core.leases.keepers import KeeperList
from gypsumline.core.leases.messages import ExecutorCrash
from gypsumline.core.leases.resources import Resources


class JobOutcome(enum.StrEnum):
    """How a leased job ended for its caller.

    A caller may resubmit a job after ELSEWHERE and EXPIRED. ELSEWHERE means
    that this entry reaches no executor, while another entry may.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    ELSEWHERE = "elsewhere"
    EXPIRED = "expired"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobEnded(Effect):
    """Answers the callers of a job.

    Attributes:
      key: Submission key.
      outcome: How the job ended; NOT_RUN only if no task ever started.
      reason: Short reason for logs and callers.
      retry_after: Seconds after which a retry may succeed.
    """

    key: str
    outcome: JobOutcome
    reason: str = ""
    retry_after: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueueBlamed(Effect):
    """Counts a crash that a job of a queue likely caused, or one given up.

    Attributes:
      service: Service of the queue.
      queue: Name of the queue.
      is_given_up: Whether a job was given up, and not a crash caused.
    """

    service: str
    queue: str
    is_given_up: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProposeKeepers(Effect):
    """Stores a list of keepers unless another one of its version is there."""

    keepers: KeeperList


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderStart(Effect):
    """Orders the executor to start a run.

    Attributes:
      executor: Name of the target executor.
      task: Name of the task.
      attempt: Attempt number.
      spec: Specification that the executor runs.
      token: Fencing token.
      lease_until: End of the lease, in milliseconds on the executor's clock.
    """

    executor: str
    task: str
    attempt: int
    spec: str
    token: int
    lease_until: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderStop(Effect):
    """Orders the executor to stop a run."""

    executor: str
    task: str
    attempt: int
    token: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HoldRequest(Effect):
    """Asks the executor for its runs and ends, and renews its lease.

    Attributes:
      number: Number among the requests of the agent.
      sent_at: Time of the request.
      executor: Name of the target executor.
      token: Fencing token.
      acknowledged_end: Number of the newest end that the agent has processed.
      lease_until: New end of the lease in milliseconds on the executor's clock;
        None to leave the lease as it is.
      wait: Seconds for which the executor may wait for an end.
    """

    number: int
    sent_at: float
    executor: str
    token: int
    acknowledged_end: int
    lease_until: int | None
    wait: float


class OrderAnswer(enum.Enum):
    """Result of an order to the executor.

    The names of the members are labels of a metric.
    """

    DONE = enum.auto()
    FENCED = enum.auto()
    OLD = enum.auto()
    LATE = enum.auto()
    REFUSED = enum.auto()
    OTHER_EXECUTOR = enum.auto()
    # No process listens at the executor's address.
    NO_LISTENER = enum.auto()
    # No connection was free or could be opened in time, so nothing was sent.
    UNSENT = enum.auto()
    UNANSWERED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndedRun:
    """The end of a run as listed by an executor.

    Attributes:
      number: Sequence number within the incarnation of the executor.
      task: Name of the task.
      attempt: Attempt number.
      outcome: "done", "failed", or another word if the result is unknown.
    """

    number: int
    task: str
    attempt: int
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HoldReply:
    """An executor's reply to a hold request.

    Attributes:
      started_at: Start of the incarnation, in UTC milliseconds.
      clock: Milliseconds on its monotonic clock.
      running: (task, attempt) of all current runs.
      ended: Ends that are not yet acknowledged.
    """

    started_at: int
    clock: int
    running: frozenset[tuple[str, int]]
    ended: tuple[EndedRun, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashDetected(Effect):
    """Logs and counts a crash of the executor.

    Attributes:
      service: Service of the executor.
      crash: The crash and the runs that were there.
      evidence: What proves it.
    """

    service: str
    crash: ExecutorCrash
    evidence: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announcement:
    """A heartbeat of an executor.

    Attributes:
      executor: Name of the executor.
      started_at: Start of the incarnation, in UTC milliseconds.
      sequence: Number of the announcement within the incarnation.
      service: Service that it runs.
      availability_zone: Zone of its host.
      capacity: Total resources of the executor.
      labels: Labels for its kind and its rack.
      leaving: Whether it accepts no new runs.
      leaving_in: Minimum number of seconds until it leaves.
      clock: Milliseconds on its monotonic clock.
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
