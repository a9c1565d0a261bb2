"""Jobs, tasks, their results and the answers to callers."""

from __future__ import annotations

import dataclasses
import enum

# One result at an agent, and all results of a job at its owner. A job's answer
# travels in one frame of at most 4 MiB; the rest is room for the fields.
RESULT_BYTES_MAX = 1024 * 1024
JOB_RESULTS_BYTES_MAX = 3 * 1024 * 1024
RESULT_OVERHEAD_BYTES = 128


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskSpec:
    """One task of a job.

    Attributes:
      index: Position in the job, counted from 0.
      kind: Name that run times are learned for.
      payload: JSON text for the executor.
      declared_size: Size that the client declares, in bytes.
      declared_run_time: Run time that the client declares, in seconds; 0 if
        it declares none.
    """

    index: int
    kind: str
    payload: bytes = b"null"
    declared_size: int = 0
    declared_run_time: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobBody:
    """What a caller submits under one key.

    Attributes:
      service: Name of the service in the operators' text.
      client: Name of the client that pays with its share.
      tasks: The tasks, in the order of their indexes.
      timeout: Seconds from the receipt until the deadline.
      repeatable: Whether a request may run again after an unknown outcome;
        only a job of exactly one task may be marked so.
    """

    service: str
    client: str
    tasks: tuple[TaskSpec, ...]
    timeout: float
    repeatable: bool = False


class TaskStatus(enum.StrEnum):
    """What an agent tells about one task."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a task or a job did not complete."""

    NONE = ""
    CANCELLED = "cancelled"
    CLIENT_LIMIT = "client_limit"
    DEADLINE = "deadline"
    DEADLINE_INFEASIBLE = "deadline_infeasible"
    DEPENDENCY_OUT = "dependency_out"
    EXECUTOR_LOST = "executor_lost"
    JOURNAL_FULL = "journal_full"
    KEY_CONFLICT = "key_conflict"
    KEY_EXPIRED = "key_expired"
    LEAVING = "leaving"
    NEVER_RUNNABLE = "never_runnable"
    NO_EVIDENCE = "no_evidence"
    NO_OWNER = "no_owner"
    NOT_OWNER = "not_owner"
    NO_UPSTREAM = "no_upstream"
    OUT = "out"
    OVERLOAD = "overload"
    QUEUE_FULL = "queue_full"
    RESULT_TOO_LARGE = "result_too_large"
    SERVICE_OUT = "service_out"
    SUPERSEDED = "superseded"
    TASK_FAILED = "task_failed"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_SERVICE = "unknown_service"
    UPSTREAM_LOST = "upstream_lost"
    WITHDRAWN = "withdrawn"
    OTHER = "other"

    @classmethod
    def _missing_(cls, value: object) -> Reason | None:
        """Reads a reason that a newer peer has, so that it ends nothing."""
        return cls.OTHER if isinstance(value, str) else None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskResult:
    """Result of one task.

    Attributes:
      index: Position in the job.
      status: How the task ended.
      value: JSON text that the executor returned.
      reason: Why it did not succeed.
      run_time: Seconds at the executor.
      attempt: Number of the placement that this result belongs to.
    """

    index: int
    status: TaskStatus
    value: bytes = b"null"
    reason: Reason = Reason.NONE
    run_time: float = 0.0
    attempt: int = 1

    @property
    def size(self) -> int:
        """Bytes that it takes at most in a frame."""
        return len(self.value) + RESULT_OVERHEAD_BYTES


class Outcome(enum.StrEnum):
    """What a caller is told about a job."""

    RUNNING = "running"
    COMPLETE = "complete"
    FAILED_NOT_RUN = "failed_not_run"
    FAILED_RAN = "failed_ran"
    UNKNOWN = "outcome_unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobAnswer:
    """The answer to one submission.

    Attributes:
      outcome: Typed outcome.
      results: All results in index order when complete, else empty: an answer
        is never partial.
      reason: Why the job did not complete.
      detail: One sentence for people.
      retry_after: Seconds after which the client may come back with a new key;
        0 if there is no reason to.
    """

    outcome: Outcome
    results: tuple[TaskResult, ...] = ()
    reason: Reason = Reason.NONE
    detail: str = ""
    retry_after: float = 0.0
