"""Builders of the messages, answers and log lines of an owner's jobs."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.effects import Answer, Decision, Send
from gypsumline.core.identity import Member
from gypsumline.core.messages import StartTasks, WithdrawTasks
from gypsumline.core.submissions.job import Job
from gypsumline.core.submissions.task_scheduler import Assignment
from gypsumline.core.task import (
    JobAnswer,
    Outcome,
    Reason,
    TaskResult,
    TaskStatus,
)


def start_tasks(
    job: Job,
    agent: Member,
    indexes: list[int],
    now: float,
    backlog: bool = False,
) -> Send:
    """Returns the message that starts placed tasks at their agent.

    Args:
      job: The job.
      agent: The agent that the tasks are placed at.
      indexes: Positions of the tasks; each is sent with its newest attempt.
      now: `CLOCK_BOOTTIME` seconds.
      backlog: Whether further tasks wait for each slot as it becomes free.
    """
    message = StartTasks(
        key=job.key,
        agent_incarnation=agent.incarnation,
        service=job.body.service,
        tasks=tuple([job.body.tasks[index] for index in indexes]),
        attempts=tuple([job.attempts[index] for index in indexes]),
        deadline_left=job.deadline - now,
        digest=job.digest,
        repeatable=job.body.repeatable,
        backlog=backlog,
    )
    return Send(to=agent.member_id, message=message)


def withdraw_tasks(
    job: Job, agent: Member, indexes: list[int], cancel: bool
) -> Send:
    """Returns the message that withdraws placed tasks from their agent.

    Args:
      job: The job.
      agent: The agent that the tasks are placed at.
      indexes: Positions of the tasks; the newest attempt of each is withdrawn.
      cancel: Whether the job was cancelled or has ended; otherwise the tasks
        are to be placed elsewhere.
    """
    message = WithdrawTasks(
        key=job.key,
        indexes=tuple(indexes),
        attempts=tuple([job.attempts[index] for index in indexes]),
        cancel=cancel,
    )
    return Send(to=agent.member_id, message=message)


def group_by_agent(
    tasks: Iterable[tuple[int, Member]],
) -> dict[Member, list[int]]:
    """Returns the indexes of placed tasks by their agent."""
    indexes: dict[Member, list[int]] = {}
    for index, agent in tasks:
        indexes.setdefault(agent, []).append(index)
    return indexes


def failure_answer(
    outcome: Outcome, reason: Reason, detail: str, retry_after: float = 0.0
) -> JobAnswer:
    """Returns the answer of a job that is not complete, without results."""
    return JobAnswer(
        outcome=outcome, reason=reason, detail=detail, retry_after=retry_after
    )


def lost_task_result(index: int, attempt: int) -> TaskResult:
    """Returns the result of a task whose agent was lost; it may have run."""
    return TaskResult(
        index=index,
        status=TaskStatus.UNKNOWN,
        reason=Reason.UPSTREAM_LOST,
        attempt=attempt,
    )


def withdrawn_task_result(index: int, attempt: int) -> TaskResult:
    """Returns the result of a withdrawn task, which counts as refused."""
    return TaskResult(
        index=index,
        status=TaskStatus.REFUSED,
        reason=Reason.WITHDRAWN,
        attempt=attempt,
    )


def placement_decision(
    job: Job, assignment: Assignment, agent: Member, record: ControlRecord
) -> Decision:
    """Returns the log line of an assignment of tasks to an agent."""
    return Decision(
        event="placed",
        fields={
            "job": job.key,
            "tasks": assignment.indexes,
            "agent": agent.member_id,
            "availability_zone": agent.availability_zone,
            "revision": record.revision,
            "configuration_version": record.configuration_version,
            "reason": assignment.reason,
            "candidates": assignment.candidates,
        },
    )


def answer_decision(key: str, answer: JobAnswer) -> Decision:
    """Returns the log line of a job's answer."""
    return Decision(
        event="answered",
        fields={
            "job": key,
            "outcome": answer.outcome.value,
            "reason": answer.reason.value,
            "detail": answer.detail,
        },
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyTarget:
    """The requester that an answer is sent to.

    Attributes:
      origin: Member id of the entry that forwarded the request; "" for a local
        caller.
      request_id: Id that the origin gave the request.
    """

    origin: str
    request_id: int

    def make_answer(self, answer: JobAnswer) -> Answer:
        """Returns the effect that answers the request."""
        return Answer(
            origin=self.origin, request_id=self.request_id, answer=answer
        )


def conflict_answer() -> JobAnswer:
    """Returns the answer to a key that was submitted with another body."""
    detail = "the key was used for another body; that body decides"
    return failure_answer(Outcome.FAILED_NOT_RUN, Reason.KEY_CONFLICT, detail)


def recovery_pending_answer(retry_after: float) -> JobAnswer:
    """Returns the answer to a cancellation during journal recovery."""
    detail = "an earlier owner's journals are still being read; try again"
    return failure_answer(Outcome.UNKNOWN, Reason.NO_OWNER, detail, retry_after)


def unknown_key_answer() -> JobAnswer:
    """Returns the answer to a request for a key without a submission."""
    detail = "this owner knows no submission with this key"
    return failure_answer(Outcome.UNKNOWN, Reason.UNKNOWN_KEY, detail)
