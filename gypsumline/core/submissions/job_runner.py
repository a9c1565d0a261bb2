"""Placement, results and completion of the running jobs of an owner."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.effects import Answer, Effect, Send
from gypsumline.core.identity import Member
from gypsumline.core.messages import (
    TaskResults,
    TasksWithdrawn,
    WithdrawTasks,
)
from gypsumline.core.retry_budget import RetryBudget
from gypsumline.core.submissions.job import Job
from gypsumline.core.submissions.job_effects import (
    answer_decision,
    failure_answer,
    group_by_agent,
    lost_task_result,
    placement_decision,
    start_tasks,
    withdraw_tasks,
    withdrawn_task_result,
)
from gypsumline.core.submissions.kept_answers import KeptAnswers
from gypsumline.core.submissions.orphaned_tasks import (
    OrphanedTask,
    OrphanedTasks,
)
from gypsumline.core.submissions.owner_settings import OwnerSettings
from gypsumline.core.submissions.task_scheduler import Assignment, TaskScheduler
from gypsumline.core.task import (
    JobAnswer,
    Outcome,
    Reason,
    TaskResult,
    TaskStatus,
)

_PRUNE_INTERVAL_SECONDS = 5.0  # between scans for expired orphaned tasks


class JobRunner:
    """Runs admitted jobs and keeps exactly one answer of each ended job."""

    def __init__(
        self,
        settings: OwnerSettings,
        scheduler: TaskScheduler,
        kept: KeptAnswers,
    ) -> None:
        self._settings = settings
        self._scheduler = scheduler
        self._kept_answers = kept
        self._record = ControlRecord()
        self._retry_budget = RetryBudget(
            ratio=settings.retry_share, capacity=settings.retry_burst
        )
        self._jobs: dict[str, Job] = {}
        self._payload_bytes = 0
        self._unplaced_count = 0
        self._cancelling_keys: set[str] = set()
        self._deadlines: list[tuple[float, str]] = []
        self._connected: dict[str, Member] = {}
        self._newest_incarnations: dict[str, Member] = {}
        # Time by agent id; inf once the requests of the agent were retried.
        self._disconnected_since: dict[str, float] = {}
        self._orphaned_tasks = OrphanedTasks()
        self._pruned_at = 0.0

    def __len__(self) -> int:
        return len(self._jobs)

    @property
    def payload_bytes(self) -> int:
        """Bytes of the payloads of all running jobs."""
        return self._payload_bytes

    @property
    def connected(self) -> Iterable[str]:
        """Member ids of the connected agents."""
        return self._connected.keys()

    def set_record(self, record: ControlRecord, now: float) -> None:
        """Applies a newer control record."""
        self._record = record
        self._scheduler.set_record(record, now)

    def find_job(self, key: str) -> Job | None:
        """Returns the running job of a key, or None."""
        return self._jobs.get(key)

    def running_keys(self) -> list[str]:
        """Returns the keys of the running jobs."""
        return list(self._jobs)

    def add_job(self, job: Job, now: float) -> None:
        """Adds an admitted job and its unplaced tasks to the scheduler."""
        self._jobs[job.key] = job
        self._payload_bytes += job.payload_bytes
        self._retry_budget.record_request()
        heapq.heappush(self._deadlines, (job.deadline, job.key))
        self._unplaced_count += job.unplaced_count
        unplaced = [i for i in range(len(job.attempts)) if job.is_unplaced(i)]
        self._scheduler.add_job(job.key, job.body, unplaced, now)

    def resume(self, job: Job, now: float, wall: float) -> list[Effect]:
        """Resumes a recovered job at the agents that hold its tasks.

        The starts are sent again, so that the agents report to this owner.
        Tasks at an earlier incarnation of an agent count as lost.
        """
        effects: list[Effect] = []
        for index, agent in list(job.placed_tasks()):
            newest = self._newest_incarnations.get(agent.member_id)
            if newest is not None and newest.incarnation > agent.incarnation:
                result = lost_task_result(index, job.attempts[index])
                effects += self._on_unknown_result(
                    job, agent, result, now, wall
                )
            if self._jobs.get(job.key) is not job:
                return effects
        by_agent = group_by_agent(job.placed_tasks())
        for agent in by_agent:
            if self._connected.get(agent.member_id) == agent:
                effects.append(start_tasks(job, agent, by_agent[agent], now))
        return effects

    def place_tasks(self, now: float) -> list[Effect]:
        """Starts the tasks that the scheduler assigns and withdraws others.

        Placed tasks are withdrawn where the scheduler asks for it.
        """
        effects: list[Effect] = []
        assignments = self._scheduler.assign(now)
        assigned = sum([len(assignment.indexes) for assignment in assignments])
        backlog = self._scheduler.is_backlogged(self._unplaced_count - assigned)
        for assignment in assignments:
            effects += self._apply_assignment(assignment, backlog, now)
        for withdrawal in self._scheduler.withdrawals(now):
            agent = self._connected.get(withdrawal.agent_id)
            job = self._jobs.get(withdrawal.key)
            if job is None or agent is None:
                continue
            indexes = [
                i for i in withdrawal.indexes if job.agent_of(i) == agent
            ]
            if indexes:
                effects.append(
                    withdraw_tasks(job, agent, indexes, cancel=False)
                )
        return effects

    def on_results(
        self, agent: Member, message: TaskResults, now: float, wall: float
    ) -> list[Effect]:
        """Handles results and refusals of tasks of one job."""
        effects: list[Effect] = []
        for result in message.results:
            job = self._jobs.get(message.key)
            if job is None:
                self._on_orphaned_result(agent, message.key, result, now)
            elif job.is_placed_at(result.index, agent, result.attempt):
                effects += self._on_result(job, agent, result, now, wall)
            elif _is_superseded_success(job, result):
                effects += self._on_superseded_success(job, result, now, wall)
        return effects

    def on_withdrawn(
        self, agent: Member, message: TasksWithdrawn, now: float
    ) -> None:
        """Handles an agent's reply to a withdrawal.

        The reply lists the tasks that will never start and those that have
        started.
        """
        job = self._jobs.get(message.key)
        for index, attempt in zip(
            message.withdrawn, message.attempts, strict=False
        ):
            if job is None:
                result = withdrawn_task_result(index, attempt)
                self._on_orphaned_result(agent, message.key, result, now)
            elif job.is_placed_at(index, agent, attempt):
                self._clear_placement(job, index)
                self._scheduler.return_task(
                    agent.member_id, job.key, index, Reason.WITHDRAWN, now
                )
        if job is not None and any(
            job.agent_of(index) == agent for index in message.started
        ):
            job.may_have_run = True

    def on_agent_connected(
        self, agent: Member, now: float, wall: float
    ) -> list[Effect]:
        """Resends unanswered starts to an agent.

        Tasks placed at an earlier incarnation of the agent count as lost.
        """
        newest = self._newest_incarnations.get(agent.member_id)
        if newest is not None and newest.incarnation > agent.incarnation:
            return []
        self._newest_incarnations[agent.member_id] = agent
        self._connected[agent.member_id] = agent
        self._disconnected_since.pop(agent.member_id, None)
        effects: list[Effect] = []
        if newest is not None and newest.incarnation < agent.incarnation:
            self._scheduler.remove_agent(agent.member_id, now)
            self._orphaned_tasks.remove_older_incarnations(agent)
            effects += self._give_up_earlier_incarnations(
                agent.member_id, agent, now, wall
            )
        for job in list(self._jobs.values()):
            indexes = [
                i for i, placed_at in job.placed_tasks() if placed_at == agent
            ]
            if indexes:
                effects.append(start_tasks(job, agent, indexes, now))
                if job.cancelling:
                    effects.append(
                        withdraw_tasks(job, agent, indexes, cancel=True)
                    )
        return effects + self._withdraw_orphaned_tasks(agent)

    def on_agent_disconnected(self, agent: Member, now: float) -> None:
        """Places no further tasks at an agent until it reconnects.

        Tasks that are placed there stay placed.
        """
        if self._connected.get(agent.member_id) != agent:
            return
        del self._connected[agent.member_id]
        self._disconnected_since[agent.member_id] = now
        self._scheduler.remove_agent(agent.member_id, now)

    def is_connected(self, agent: Member) -> bool:
        """Whether this incarnation of the agent is connected."""
        return self._connected.get(agent.member_id) == agent

    def cancel(self, job: Job, now: float) -> list[Effect]:
        """Stops placing tasks of a job and withdraws those not started."""
        if job.cancelling:
            return []
        job.cancelling = True
        self._cancelling_keys.add(job.key)
        self._scheduler.remove_job(job.key, now)
        return self._withdraw_placed(job)

    def end_if_cancelled(
        self, job: Job, fresh: bool, now: float, wall: float
    ) -> list[Effect]:
        """Ends a cancelled job once it is known whether any task started."""
        if not job.cancelling or self._jobs.get(job.key) is not job:
            return []
        if job.is_unstarted and fresh:
            detail = "the job was cancelled before any of its tasks started"
            answer = failure_answer(
                Outcome.FAILED_NOT_RUN, Reason.CANCELLED, detail
            )
        elif job.may_have_run or job.succeeded_count:
            detail = "the job was cancelled after some of its tasks started"
            answer = failure_answer(
                Outcome.FAILED_RAN, Reason.CANCELLED, detail
            )
        else:
            return []
        return self.end_job(job, answer, now, wall)

    def tick(self, fresh: bool, now: float, wall: float) -> list[Effect]:
        """Ends overdue and cancelled jobs and retries lost requests."""
        effects: list[Effect] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            deadline, key = heapq.heappop(self._deadlines)
            job = self._jobs.get(key)
            if job is not None and job.deadline == deadline:
                answer = self._deadline_answer(job, fresh)
                effects += self.end_job(job, answer, now, wall)
        for key in list(self._cancelling_keys):
            effects += self.end_if_cancelled(self._jobs[key], fresh, now, wall)
        effects += self._retry_disconnected(now, wall)
        if now - self._pruned_at >= _PRUNE_INTERVAL_SECONDS:
            self._pruned_at = now
            self._expire_orphaned_tasks(now)
        return effects

    def end_job(
        self, job: Job, answer: JobAnswer, now: float, wall: float
    ) -> list[Effect]:
        """Answers all waiters, keeps the answer and withdraws placed tasks."""
        effects = self.remove_job(job, answer, now)
        self._kept_answers.add(job.key, job.digest, answer, now, wall)
        if answer.outcome is not Outcome.COMPLETE:
            effects += self._withdraw_placed(job)
        return effects

    def remove_job(
        self, job: Job, answer: JobAnswer, now: float
    ) -> list[Effect]:
        """Answers all waiters and removes the job.

        Its placed tasks become orphaned tasks until their agents report them.
        """
        del self._jobs[job.key]
        self._cancelling_keys.discard(job.key)
        self._payload_bytes -= job.payload_bytes
        self._unplaced_count -= job.unplaced_count
        self._scheduler.remove_job(job.key, now)
        expires_at = now + self._settings.deadline_max
        for index, agent in job.placed_tasks():
            attempt = job.attempts[index]
            self._orphaned_tasks.add(
                job.key, index, OrphanedTask(agent, attempt, expires_at)
            )
        effects: list[Effect] = [
            Answer(origin=origin, request_id=request_id, answer=answer)
            for origin, request_id in job.waiters
        ]
        effects.append(answer_decision(job.key, answer))
        return effects

    def _apply_assignment(
        self, assignment: Assignment, backlog: bool, now: float
    ) -> list[Effect]:
        job = self._jobs.get(assignment.key)
        agent = self._connected.get(assignment.agent_id)
        indexes = [
            index
            for index in assignment.indexes
            if job is not None and job.is_unplaced(index)
        ]
        if job is None or agent is None or not indexes:
            for index in assignment.indexes:
                self._scheduler.return_task(
                    assignment.agent_id,
                    assignment.key,
                    index,
                    Reason.UPSTREAM_LOST,
                    now,
                )
            return []
        for index in indexes:
            job.place(index, agent)
        self._unplaced_count -= len(indexes)
        return [
            start_tasks(job, agent, indexes, now, backlog),
            placement_decision(job, assignment, agent, self._record),
        ]

    def _on_result(
        self,
        job: Job,
        agent: Member,
        result: TaskResult,
        now: float,
        wall: float,
    ) -> list[Effect]:
        if result.status is TaskStatus.REFUSED:
            self._clear_placement(job, result.index)
            self._scheduler.return_task(
                agent.member_id, job.key, result.index, result.reason, now
            )
            return []
        if result.status is TaskStatus.UNKNOWN:
            return self._on_unknown_result(job, agent, result, now, wall)
        job.may_have_run = True
        self._scheduler.finish_task(agent.member_id, job.key, result, now)
        if result.status is TaskStatus.SUCCEEDED:
            job.record_success(result.index, result)
            if job.is_complete or job.exceeds_result_limit:
                return self.end_job(job, job.final_answer(), now, wall)
            return []
        self._clear_placement(job, result.index)
        detail = f"task {result.index} failed at {agent.member_id}"
        reason = result.reason or Reason.TASK_FAILED
        answer = failure_answer(Outcome.FAILED_RAN, reason, detail)
        return self.end_job(job, answer, now, wall)

    def _clear_placement(self, job: Job, index: int) -> None:
        job.clear_placement(index)
        self._unplaced_count += 1

    def _on_unknown_result(
        self,
        job: Job,
        agent: Member,
        result: TaskResult,
        now: float,
        wall: float,
    ) -> list[Effect]:
        """Places a repeatable request again, or ends the job.

        The task may have run, so only a repeatable request may be retried, and
        only within the retry budget.
        """
        job.may_have_run = True
        self._scheduler.finish_task(agent.member_id, job.key, result, now)
        self._clear_placement(job, result.index)
        may_repeat = job.body.repeatable and not job.cancelling
        if may_repeat and self._retry_budget.try_spend():
            self._scheduler.add_job(job.key, job.body, [result.index], now)
            return []
        detail = (
            f"task {result.index} was at {agent.member_id}, which was lost; "
            "it may have run"
        )
        reason = result.reason or Reason.UPSTREAM_LOST
        answer = failure_answer(
            Outcome.FAILED_RAN, reason, detail, self._settings.retry_after
        )
        return self.end_job(job, answer, now, wall)

    def _on_superseded_success(
        self, job: Job, result: TaskResult, now: float, wall: float
    ) -> list[Effect]:
        """Completes a repeatable request with the result of an earlier attempt.

        The newer attempt is withdrawn.
        """
        index = result.index
        agent = job.agent_of(index)
        if agent is None:
            self._unplaced_count -= 1
        else:
            expires_at = now + self._settings.deadline_max
            orphaned = OrphanedTask(agent, job.attempts[index], expires_at)
            self._orphaned_tasks.add(job.key, index, orphaned)
        job.record_success(index, result)
        effects = self.end_job(job, job.final_answer(), now, wall)
        if agent is not None and self.is_connected(agent):
            effects.append(withdraw_tasks(job, agent, [index], cancel=True))
        return effects

    def _expire_orphaned_tasks(self, now: float) -> None:
        """Gives up tasks that no agent has reported in time.

        Otherwise the scheduler would count their slots as used forever.
        """
        for key, index, orphaned in self._orphaned_tasks.pop_expired(now):
            result = lost_task_result(index, orphaned.attempt)
            agent_id = orphaned.agent.member_id
            self._scheduler.finish_task(agent_id, key, result, now)

    def _on_orphaned_result(
        self, agent: Member, key: str, result: TaskResult, now: float
    ) -> None:
        """Frees the slot of a task whose job has ended."""
        if not self._orphaned_tasks.remove(
            key, result.index, agent, result.attempt
        ):
            return
        if result.status is TaskStatus.REFUSED:
            self._scheduler.return_task(
                agent.member_id, key, result.index, result.reason, now
            )
            return
        self._scheduler.finish_task(agent.member_id, key, result, now)

    def _give_up_earlier_incarnations(
        self, agent_id: str, current: Member | None, now: float, wall: float
    ) -> list[Effect]:
        """Gives up the tasks at an agent, except at its current incarnation."""

        def is_lost(agent: Member) -> bool:
            return agent.member_id == agent_id and agent != current

        return self._give_up_tasks(is_lost, now, wall)

    def _give_up_tasks(
        self, is_lost: Callable[[Member], bool], now: float, wall: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        for job in list(self._jobs.values()):
            for index, agent in list(job.placed_tasks()):
                if is_lost(agent) and self._jobs.get(job.key) is job:
                    result = lost_task_result(index, job.attempts[index])
                    effects += self._on_unknown_result(
                        job, agent, result, now, wall
                    )
        return effects

    def _retry_disconnected(self, now: float, wall: float) -> list[Effect]:
        """Retries repeatable requests whose agents stay disconnected."""
        if not self._disconnected_since:
            return []
        limit = now - self._settings.repeat_after_silence
        lost_ids = [
            agent_id
            for agent_id, since in self._disconnected_since.items()
            if since <= limit
        ]
        effects: list[Effect] = []
        for agent_id in lost_ids:
            self._disconnected_since[agent_id] = math.inf
            for job in list(self._jobs.values()):
                agent = job.agent_of(0) if job.body.repeatable else None
                if agent is not None and agent.member_id == agent_id:
                    result = lost_task_result(0, job.attempts[0])
                    effects += self._on_unknown_result(
                        job, agent, result, now, wall
                    )
        return effects

    def _deadline_answer(self, job: Job, fresh: bool) -> JobAnswer:
        retry_after = self._settings.retry_after
        if not job.is_unstarted:
            detail = (
                f"{job.succeeded_count} of {len(job.attempts)} tasks were "
                f"done at the deadline and {job.placed_count} were at agents"
            )
            return failure_answer(
                Outcome.FAILED_RAN, Reason.DEADLINE, detail, retry_after
            )
        if not fresh:
            detail = "this owner has no fresh evidence that it still owns it"
            return failure_answer(
                Outcome.UNKNOWN, Reason.NO_EVIDENCE, detail, retry_after
            )
        detail = "the deadline came before any task started"
        return failure_answer(
            Outcome.FAILED_NOT_RUN, Reason.DEADLINE, detail, retry_after
        )

    def _withdraw_placed(self, job: Job) -> list[Effect]:
        return [
            withdraw_tasks(job, agent, indexes, cancel=True)
            for agent, indexes in group_by_agent(job.placed_tasks()).items()
            if self.is_connected(agent)
        ]

    def _withdraw_orphaned_tasks(self, agent: Member) -> list[Effect]:
        return [
            Send(
                to=agent.member_id,
                message=WithdrawTasks(
                    key=key,
                    indexes=tuple(attempts),
                    attempts=tuple(attempts.values()),
                    cancel=True,
                ),
            )
            for key, attempts in self._orphaned_tasks.attempts_at(agent).items()
        ]


def _is_superseded_success(job: Job, result: TaskResult) -> bool:
    """Whether a result is the success of a superseded repeatable attempt."""
    return (
        job.body.repeatable
        and result.index == 0
        and result.status is TaskStatus.SUCCEEDED
        and result.attempt <= job.attempts[0]
        and not job.is_complete
    )
