"""Recovery of an earlier owner's job from the agents' journals."""

from __future__ import annotations

import enum

from gypsumline.core.messages import JournalEntry
from gypsumline.core.slots.journal import TaskState
from gypsumline.core.submissions.job import Job
from gypsumline.core.submissions.journal_recovery import RecoveredTask
from gypsumline.core.task import Reason, TaskResult, TaskStatus


class RecoveryVerdict(enum.Enum):
    """State of a job according to the journals."""

    RUNNING = enum.auto()
    COMPLETE = enum.auto()
    FAILED = enum.auto()
    NOT_STARTED = enum.auto()
    CONFLICT = enum.auto()
    INCOMPLETE = enum.auto()


def recover_job(
    job: Job, tasks: dict[int, RecoveredTask], complete: bool
) -> tuple[RecoveryVerdict, TaskResult | None]:
    """Restores the tasks of a job from the journals.

    If no agent holds a queued, started or finished task of a job, its earlier
    owner may have answered "not run". Such a job must never start.

    Args:
      job: A job without any placed task.
      tasks: The recovered tasks by index.
      complete: Whether the journals hold every start of this key.

    Returns:
      The verdict, and the result that failed the job if there is one.
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
