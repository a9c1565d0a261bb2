"""Refusals and log lines of an agent's slot table."""

from __future__ import annotations

from gypsumline.core.effects import Decision
from gypsumline.core.messages import StartTasks
from gypsumline.core.slots.slot_queue import ActiveTask
from gypsumline.core.task import Reason, TaskResult, TaskStatus


def make_refused_result(index: int, attempt: int, reason: Reason) -> TaskResult:
    """Returns a result that guarantees that an attempt never starts."""
    return TaskResult(
        index=index, status=TaskStatus.REFUSED, reason=reason, attempt=attempt
    )


def refused_start_line(
    task: ActiveTask, reason: Reason, revision: int
) -> Decision:
    """Returns the log line of a task that is returned to its owner."""
    return Decision(
        event="start_refused",
        fields={
            "job": task.key,
            "task": task.spec.index,
            "attempt": task.attempt,
            "owner": task.owner.member_id,
            "revision": revision,
            "reason": reason.value,
        },
    )


def ignored_result_line(key: str, index: int) -> Decision:
    """Returns the log line of a result of a task that isn't running."""
    return Decision(
        event="result_ignored",
        fields={"job": key, "task": index, "reason": "not running here"},
    )


def ignored_start_line(message: StartTasks) -> Decision:
    """Returns the log line of a start for another incarnation."""
    return Decision(
        event="start_ignored",
        fields={
            "job": message.key,
            "reason": "meant for another incarnation",
            "agent_incarnation": message.agent_incarnation,
        },
    )
