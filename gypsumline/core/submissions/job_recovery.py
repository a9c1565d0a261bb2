"""Takes over a job of an earlier owner from the agents' journals."""

from __future__ import annotations

import enum

from gypsumline.core.messages import JournalEntry
from gypsumline.core.slots.journal import TaskState
from gypsumline.core.submissions.job import Job
from gypsumline.core.submissions.journal_recovery import RecoveredTask
from gypsumline.core.task import Reason, TaskResult, TaskStatus


class RecoveryVerdict(enum.Enum):
    """What the journals make of a job."""

    RUNNING = enum.auto()
    COMPLETE = enum.auto()
    FAILED = enum.auto()
    NOT_STARTED = enum.auto()
    CONFLICT = enum.auto()
    INCOMPLETE = enum.auto()


def recover_job(
    job: Job, tasks: dict[int, RecoveredTask], complete: bool
) -> tuple[RecoveryVerdict, TaskResult | None]:
    """Puts journaled tasks into a new job.

    A job of which no agent holds a queued, started or finished task may have
    been refused as "not run" by its earlier owner, so it must never start.

    Args:
      job: A job without any placement yet.
      tasks: The journaled tasks by index.
      complete: Whether the journals miss nothing of this key.

    Returns:
      The verdict, and the result that failed the job if it did.
    """
    if any(_digest_differs(job, task.entry) for task in tasks.values()):
        return RecoveryVerdict.CONFLICT, None
    for index, task in tasks.items():
        failure = _recover_task(job, index, task)
        if failure is not None:
            return RecoveryVerdict.FAILED, failure
    if job.is_complete:
        return RecoveryVerdict.COMPLETE, None
    if not complete and job.placed_count + job.succeeded_count < len(
        job.attempts
    ):
        return RecoveryVerdict.INCOMPLETE, None
    if job.is_unstarted:
        return RecoveryVerdict.NOT_STARTED, None
    return RecoveryVerdict.RUNNING, None


def _digest_differs(job: Job, entry: JournalEntry) -> bool:
    return bool(entry.digest) and entry.digest != job.digest


def _recover_task(
    job: Job, index: int, task: RecoveredTask
) -> TaskResult | None:
    entry = task.entry
    job.attempts[index] = task.newest_attempt
    job.may_have_run = job.may_have_run or task.may_have_run
    if entry.state == TaskState.FINISHED.value:
        result = entry.result or _lost_result(entry)
        if result.status is TaskStatus.SUCCEEDED:
            job.record_success(index, result)
        elif result.status is TaskStatus.FAILED or not job.body.repeatable:
            return result
    elif entry.state != TaskState.WITHDRAWN.value:
        job.set_placement(index, task.agent, entry.attempt)
    return None


def _lost_result(entry: JournalEntry) -> TaskResult:
    return TaskResult(
        index=entry.index,
        status=TaskStatus.UNKNOWN,
        reason=Reason.UPSTREAM_LOST,
        attempt=entry.attempt,
    )
