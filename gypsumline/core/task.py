"""Jobs, tasks, task results and answers to callers."""

from __future__ import annotations

import dataclasses
import enum

# Size limits of one result at an agent and of all results of a job at its
# owner. The answer to a job must fit into one frame of 4 MiB; the difference is
# reserved for the other fields.
RESULT_BYTES_MAX = 1024 * 1024
JOB_RESULTS_BYTES_MAX = 3 * 1024 * 1024
RESULT_OVERHEAD_BYTES = 128


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskSpec:
    """One task of a job.

    Attributes:
      index: Position in the job, counted from 0.
      kind: Task kind; run times are estimated per kind.
      payload: JSON text that is passed to the executor.
      declared_size: Size declared by the client, in bytes.
      declared_run_time: Run time declared by the client, in seconds; 0 if
        undeclared.
    """

    index: int
    kind: str
    payload: bytes = b"null"
    declared_size: int = 0
    declared_run_time: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobBody:
    """Job that a caller submits under one key.

    Attributes:
      service: Name of the service in the configuration.
      client: Name of the client to whose share the job is charged.
      tasks: Tasks in index order.
      timeout: Seconds from receipt to deadline.
      repeatable: Whether the task may run again after an unknown outcome;
        allowed only for a job of exactly one task.
    """

    service: str
    client: str
    tasks: tuple[TaskSpec, ...]
    timeout: float
    repeatable: bool = False


class TaskStatus(enum.StrEnum):
    """Status of a task as reported by an agent."""

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
        """Maps an unknown reason from a newer peer to `OTHER`."""
        return cls.OTHER if isinstance(value, str) else None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskResult:
    """Result of one task.

    Attributes:
      index: Position in the job.
      status: Final status of the task.
      value: JSON text that the executor returned.
      reason: Reason if the task did not succeed.
      run_time: Run time at the executor, in seconds.
      attempt: Attempt number that this result belongs to.
    """

    index: int
    status: TaskStatus
    value: bytes = b"null"
    reason: Reason = Reason.NONE
    run_time: float = 0.0
    attempt: int = 1

    @property
    def size(self) -> int:
        """Upper bound of the encoded size in a frame, in bytes."""
        return len(self.value) + RESULT_OVERHEAD_BYTES


class Outcome(enum.StrEnum):
    """Outcome of a job as reported to its caller."""

    RUNNING = "running"
    COMPLETE = "complete"
    FAILED_NOT_RUN = "failed_not_run"
    FAILED_RAN = "failed_ran"
    UNKNOWN = "outcome_unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobAnswer:
    """Answer to one submission.

    Attributes:
      outcome: Outcome of the job.
      results: All results in index order if the job is complete, else empty;
        an answer never contains partial results.
      reason: Reason if the job did not complete.
      detail: Human-readable explanation in one sentence.
      retry_after: Seconds after which the client may retry with a new key; 0
        if a retry is not suggested.
    """

    outcome: Outcome
    results: tuple[TaskResult, ...] = ()
    reason: Reason = Reason.NONE
    detail: str = ""
    retry_after: float = 0.0
