"""Builds the decision log lines of a run table."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Sequence

from gypsumline.core.effects import Decision, DecisionKind
from gypsumline.core.identity import Member
from gypsumline.core.leases.effects import Announcement, CrashDetected
from gypsumline.core.leases.lock_messages import (
    LockAnswers,
    LockKeys,
    LockState,
)
from gypsumline.core.leases.messages import (
    RunEnd,
    RunOrder,
    ZonesOut,
)
from gypsumline.core.leases.resources import Resources
from gypsumline.core.leases.run import Run


def executor_line(event: str, announcement: Announcement) -> Decision:
    """Returns the log line of an event of an executor."""
    return Decision(
        event=event,
        fields={
            "executor": announcement.executor,
            "started_at": announcement.started_at,
            "sequence": announcement.sequence,
            "leaving": announcement.leaving,
        },
    )


def lock_conflict_lines(
    owner: Member, message: LockKeys, answers: LockAnswers
) -> list[Decision]:
    """Returns the log lines of locks that an owner has, and another one too."""
    return [
        Decision(
            event="job_lock_conflict",
            kind=DecisionKind.OUTCOME,
            fields={"job": key, "owner": owner.member_id, "holder": holder},
        )
        for key, state, holder in zip(
            answers.keys, answers.states, answers.holders, strict=True
        )
        if state is LockState.HELD and key in message.held
    ]


def refusal_line(
    owner: Member,
    order: RunOrder,
    end: RunEnd,
    free: Resources,
    present: Run | None = None,
) -> Decision:
    """Returns the log line of a run that is not started.

    Args:
      owner: Owner that ordered it.
      order: The order.
      end: Why it is not started.
      free: Free resources of the executor.
      present: Run of the same task that is there.
    """
    return Decision(
        event="run_refused",
        fields={
            "task": order.task,
            "attempt": order.attempt,
            "owner": owner.member_id,
            "reason": end.value,
            "free_processor": free.processor,
            "needs_processor": order.resources.processor,
            "owner_present": present.owner.member_id if present else "",
        },
    )


def stopping_line(run: Run, reason: str, contact_age: float) -> Decision:
    """Returns the log line of a run that is being stopped."""
    return Decision(
        event="run_stopping",
        fields={
            "task": run.order.task,
            "attempt": run.order.attempt,
            "owner": run.owner.member_id,
            "reason": reason,
            "contact_age": round(contact_age, 3),
        },
    )


def opened_line(executor: str, token: int) -> Decision:
    """Returns the log line of an executor that begins to accept starts."""
    return Decision(
        event="executor_opened", fields={"executor": executor, "token": token}
    )


def resized_line(
    announcement: Announcement, earlier: Resources, used: Resources
) -> Decision:
    """Returns the log line of an executor whose capacity has changed."""
    return Decision(
        event="executor_resized",
        fields={
            "executor": announcement.executor,
            "sequence": announcement.sequence,
            "earlier": dataclasses.astuple(earlier),
            "capacity": dataclasses.astuple(announcement.capacity),
            "used": dataclasses.astuple(used),
        },
    )


def lost_line(runs: Sequence[Run], reason: str) -> Decision:
    """Returns the log line of runs whose end is concluded, not listed."""
    return Decision(
        event="runs_lost",
        fields={
            "runs": len(runs),
            "reason": reason,
            "tasks": [[*run.name, run.state.name.lower()] for run in runs],
        },
    )


def unowned_line(executor: str, names: Iterable[tuple[str, int]]) -> Decision:
    """Returns the log line of listed runs that the agent does not hold."""
    return Decision(
        event="runs_unowned",
        fields={"executor": executor, "tasks": [[*name] for name in names]},
    )


def unconfirmed_stop_line(run: Run, now: float) -> Decision:
    """Returns the log line of a stop that the executor has not confirmed."""
    return Decision(
        event="stop_unconfirmed",
        fields={
            "task": run.order.task,
            "attempt": run.order.attempt,
            "owner": run.owner.member_id,
            "age": round(now - run.stopping_since, 3),
            "orders": run.stop_orders,
        },
    )


def unanswered_line(executor: str, is_above: bool, share: float) -> Decision:
    """Returns the log line of an unanswered share that passed a bound."""
    event = "orders_unanswered" if is_above else "orders_answered_again"
    return Decision(
        event=event, fields={"executor": executor, "share": round(share, 3)}
    )


def crash_line(detected: CrashDetected) -> Decision:
    """Returns the log line of a crash, with the runs that were there."""
    crash = detected.crash
    return Decision(
        event="executor_crashed",
        fields={
            "executor": crash.executor,
            "started_at": crash.started_at,
            "evidence": detected.evidence,
            "runs": [
                [run.task, run.attempt, run.queue, run.age, run.is_started]
                for run in crash.runs
            ],
        },
    )


def token_line(refused: int, token: int) -> Decision:
    """Returns the log line of a fencing token that was too low."""
    return Decision(
        event="token_raised", fields={"refused": refused, "next": token}
    )


def zones_line(message: ZonesOut) -> Decision:
    """Returns the log line of a newer list of excluded zones."""
    return Decision(
        event="zones_out",
        fields={"version": message.version, "zones": message.zones},
    )
