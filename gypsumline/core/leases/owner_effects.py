"""Builds the messages and decision log lines of an owner."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from gypsumline.core.effects import Decision, DecisionKind, Effect, Send
from gypsumline.core.identity import Member
from gypsumline.core.leases.crash_history import (
    CrashHistory,
    TaskCrashes,
    job_key,
)
from gypsumline.core.leases.effects import JobEnded
from gypsumline.core.leases.job import LeasedJob, PlacedRun
from gypsumline.core.leases.messages import (
    CapacityRequest,
    ClaimRuns,
    ExecutorCrash,
    RunOrder,
    RunReport,
    StartRuns,
    StopRuns,
)
from gypsumline.core.leases.placement import Choice

# Jobs named in the log line of a crash, most blamed first.
_MAX_SUSPECTS = 5


def stop_runs(runs: Iterable[PlacedRun]) -> list[Effect]:
    """Marks runs as stopping; returns one stop message for each agent."""
    by_agent: dict[str, list[PlacedRun]] = {}
    for run in runs:
        if not run.is_stopping:
            run.is_stopping = True
            by_agent.setdefault(run.agent.member_id, []).append(run)
    return [stop_message(stopped) for stopped in by_agent.values()]


def stop_message(runs: list[PlacedRun]) -> Send:
    """Returns the message that stops runs at one agent."""
    return Send(
        to=runs[0].agent.member_id,
        message=StopRuns(
            tasks=tuple([run.task.name for run in runs]),
            attempts=tuple([run.attempt for run in runs]),
        ),
    )


def claims_message(runs: list[PlacedRun]) -> ClaimRuns:
    """Returns the message that claims an owner's runs at one agent."""
    return ClaimRuns(
        tasks=tuple([run.task.name for run in runs]),
        attempts=tuple([run.attempt for run in runs]),
    )


def start_message(
    runs: list[PlacedRun], request: CapacityRequest | None
) -> Send:
    """Returns the message that orders runs of one job from an agent."""
    view, job = runs[0].view, runs[0].task.job
    orders = [
        RunOrder(
            task=run.task.name, attempt=run.attempt, resources=run.resources
        )
        for run in runs
    ]
    message = StartRuns(
        key=job.key,
        stamp=view.stamp,
        spec=job.request.spec,
        orders=tuple(orders),
        wish=request,
        queue=job.request.queue.name,
    )
    return Send(to=view.member.member_id, message=message)


def has_start_for(effects: Iterable[Effect], agent: Member) -> bool:
    """Returns whether the effects order runs from an agent."""
    return any(
        isinstance(effect, Send)
        and effect.to == agent.member_id
        and isinstance(effect.message, StartRuns)
        for effect in effects
    )


def placed_line(run: PlacedRun, choice: Choice, now: float) -> Decision:
    """Returns the log line of a run that is ordered."""
    job = run.task.job
    return Decision(
        event="run_placed",
        fields={
            "task": run.task.name,
            "attempt": run.attempt,
            "agent": run.agent.member_id,
            "availability_zone": run.agent.availability_zone,
            "executor": run.executor,
            "candidates": choice.candidates,
            "in_time": choice.in_time,
            "expected": round(choice.run_time, 3),
            "slack": round(job.due_at - now, 3),
            "load_age": round(now - choice.agent.last_message_at, 3),
        },
    )


def run_ended_line(run: PlacedRun, report: RunReport, now: float) -> Decision:
    """Returns the log line of a run that ended without success."""
    return Decision(
        event="run_ended",
        fields={
            "task": report.task,
            "attempt": report.attempt,
            "agent": run.agent.member_id,
            "end": report.end.value,
            "age": round(now - run.placed_at, 3),
            # Over the rerun wait if the end was concluded, not reported.
            "contact_age": round(now - run.view.ping_answered_at, 3),
        },
    )


def crash_line(
    crash: ExecutorCrash, blame: dict[str, float], history: CrashHistory
) -> Decision:
    """Returns the log line of a crash with the jobs that are blamed for it."""
    return Decision(
        event="crash_blamed",
        fields={
            "executor": crash.executor,
            "seconds_ago": crash.seconds_ago,
            "runs": len(crash.runs),
            "suspects": [
                [key, round(share, 3), _describe(key, crash, history)]
                for key, share in itertools.islice(blame.items(), _MAX_SUSPECTS)
            ],
        },
    )


def _describe(
    key: str, crash: ExecutorCrash, history: CrashHistory
) -> dict[str, object]:
    """Returns the most blamed task of a job, its queue and its crashes."""
    tasks = [run.task for run in crash.runs if job_key(run.task) == key]
    known = {task: history.find(task) or TaskCrashes() for task in tasks}
    name, worst = max(known.items(), key=lambda item: item[1].blame)
    return {
        "task": name,
        "queue": worst.queue,
        "crashes": worst.count,
        "confirmed": worst.confirmed,
        "total": round(worst.blame, 3),
    }


def suspicion_line(event: str, service: str, queue: str) -> Decision:
    """Returns the log line of a queue that is suspected or cleared."""
    return Decision(event=event, fields={"service": service, "queue": queue})


def overdue_line(run: PlacedRun, now: float) -> Decision:
    """Returns the log line of a run that is overdue."""
    return Decision(
        event="run_overdue",
        fields={
            "task": run.task.name,
            "attempt": run.attempt,
            "agent": run.agent.member_id,
            "age": round(now - run.placed_at, 3),
        },
    )


def refused_line(refusal: JobEnded, job: LeasedJob, waiting: int) -> Decision:
    """Returns the log line of a job that is refused."""
    return Decision(
        event="job_refused",
        fields={
            "job": refusal.key,
            "queue": job.request.queue.name,
            "configuration": job.request.configuration,
            "reason": refusal.reason,
            "wait": round(refusal.retry_after, 3),
            "waiting_jobs": waiting,
            "longest_work": round(job.longest_work, 3),
            "objective": round(job.objective, 3),
        },
    )


def abandoned_line(job: LeasedJob, now: float) -> Decision:
    """Returns the log line of a job whose last caller has disconnected."""
    return Decision(
        event="job_abandoned",
        kind=DecisionKind.OUTCOME,
        fields={
            "job": job.key,
            "queue": job.request.queue.name,
            "configuration": job.request.configuration,
            "age": round(now - job.received_at, 3),
            "started": job.has_started,
        },
    )


def ended_line(ended: JobEnded, job: LeasedJob, now: float) -> Decision:
    """Returns the log line of the end of a job."""
    return Decision(
        event="job_ended",
        kind=DecisionKind.OUTCOME,
        fields={
            "job": ended.key,
            "queue": job.request.queue.name,
            "configuration": job.request.configuration,
            "outcome": ended.outcome.value,
            "reason": ended.reason,
            "age": round(now - job.received_at, 3),
            "objective": round(job.objective, 3),
            "tasks": len(job.tasks),
            "started": job.has_started,
            "failures": max(task.failures for task in job.tasks),
            "retry_after": round(ended.retry_after, 3),
        },
    )
