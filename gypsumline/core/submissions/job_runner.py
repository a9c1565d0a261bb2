"""Running jobs at their owner: placement, results and the end of each job."""

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
from gypsumline.core.submissions.retry_budget import RetryBudget
from gypsumline.core.submissions.task_scheduler import Assignment, TaskScheduler
from gypsumline.core.task import (
    JobAnswer,
    Outcome,
    Reason,
    TaskResult,
    TaskStatus,
)

_PRUNE_INTERVAL = 5.0  # seconds between scans for forgotten tasks


class JobRunner:
    """Runs admitted jobs; every ended job leaves exactly one kept answer."""

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
        self._disconnected_since: dict[str, float] = {}
        self._orphaned_tasks = OrphanedTasks()
        self._pruned_at = 0.0

    def __len__(self) -> int:
        return len(self._jobs)

    @property
    def payload_bytes(self) -> int:
        """Bytes of the payloads of running jobs."""
        return self._payload_bytes

    @property
    def connected(self) -> Iterable[str]:
        """Ids of the connected agents."""
        return self._connected.keys()

    def set_record(self, record: ControlRecord, now: float) -> None:
        """Takes over a newer control record."""
        self._record = record
        self._scheduler.set_record(record, now)

    def find_job(self, key: str) -> Job | None:
        """Returns a running job."""
        return self._jobs.get(key)

    def running_keys(self) -> list[str]:
        """Returns the keys of the running jobs."""
        return list(self._jobs)

    def add_job(self, job: Job, now: float) -> None:
        """Adds an admitted job; its waiting tasks go to the scheduler."""
        self._jobs[job.key] = job
        self._payload_bytes += job.payload_bytes
        self._retry_budget.record_request()
        heapq.heappush(self._deadlines, (job.deadline, job.key))
        self._unplaced_count += job.unplaced_count
        waiting = [i for i in range(len(job.attempts)) if job.is_unplaced(i)]
        self._scheduler.add_job(job.key, job.body, waiting, now)

    def resume(self, job: Job, now: float, wall: float) -> list[Effect]:
        """Takes up an adopted job at the agents that hold its tasks."""
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
        """Places what the scheduler assigns and takes back what it wants."""
        effects: list[Effect] = []
        assignments = self._scheduler.assign(now)
        assigned = sum([len(each.indexes) for each in assignments])
        backlog = self._scheduler.is_backlogged(self._unplaced_count - assigned)
        for assignment in assignments:
            effects += self._apply_assignment(assignment, backlog, now)
        for withdrawal in self._scheduler.withdrawals(now):
            agent = self._connected.get(withdrawal.agent_id)
            job = self._jobs.get(withdrawal.key)
            if job is None or agent is None:
                continue
            here = [i for i in withdrawal.indexes if job.agent_of(i) == agent]
            if here:
                effects.append(withdraw_tasks(job, agent, here, cancel=False))
        return effects

    def on_results(
        self, agent: Member, message: TaskResults, now: float, wall: float
    ) -> list[Effect]:
        """Takes in results and refusals of one key."""
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
        """Takes in which tasks never start and which have started."""
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
        """Sends open starts again, or gives up those of a gone incarnation."""
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
            here = [i for i, place in job.placed_tasks() if place == agent]
            if here:
                effects.append(start_tasks(job, agent, here, now))
                if job.cancelling:
                    effects.append(
                        withdraw_tasks(job, agent, here, cancel=True)
                    )
        return effects + self._withdraw_orphaned_tasks(agent)

    def on_agent_disconnected(self, agent: Member, now: float) -> None:
        """Places nothing more there; open tasks wait for a reconnect."""
        if self._connected.get(agent.member_id) != agent:
            return
        del self._connected[agent.member_id]
        self._disconnected_since[agent.member_id] = now
        self._scheduler.remove_agent(agent.member_id, now)

    def is_connected(self, agent: Member) -> bool:
        """Whether this incarnation of the agent is connected."""
        return self._connected.get(agent.member_id) == agent

    def cancel(self, job: Job, now: float) -> list[Effect]:
        """Places nothing more and takes back what has not started."""
        if job.cancelling:
            return []
        job.cancelling = True
        self._cancelling_keys.add(job.key)
        self._scheduler.remove_job(job.key, now)
        return self._withdraw_placed(job)

    def end_if_cancelled(
        self, job: Job, fresh: bool, now: float, wall: float
    ) -> list[Effect]:
        """Ends a cancelled job as soon as its outcome is proven."""
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
        """Ends jobs whose deadline has come, and settles cancelled ones."""
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
        if now - self._pruned_at >= _PRUNE_INTERVAL:
            self._pruned_at = now
            self._expire_orphaned_tasks(now)
        return effects

    def end_job(
        self, job: Job, answer: JobAnswer, now: float, wall: float
    ) -> list[Effect]:
        """Answers every waiter, keeps the answer, withdraws what is left."""
        effects = self.remove_job(job, answer, now)
        self._kept_answers.add(job.key, job.digest, answer, now, wall)
        if answer.outcome is not Outcome.COMPLETE:
            effects += self._withdraw_placed(job)
        return effects

    def remove_job(
        self, job: Job, answer: JobAnswer, now: float
    ) -> list[Effect]:
        """Answers every waiter and forgets the job."""
        del self._jobs[job.key]
        self._cancelling_keys.discard(job.key)
        self._payload_bytes -= job.payload_bytes
        self._unplaced_count -= job.unplaced_count
        self._scheduler.remove_job(job.key, now)
        until = now + self._settings.deadline_max
        for index, agent in job.placed_tasks():
            attempt = job.attempts[index]
            self._orphaned_tasks.add(
                job.key, index, OrphanedTask(agent, attempt, until)
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
        """Places a repeatable request again; any other job ends."""
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
        """Uses the result of an earlier attempt of a repeatable request."""
        index = result.index
        place = job.agent_of(index)
        if place is None:
            self._unplaced_count -= 1
        else:
            until = now + self._settings.deadline_max
            left = OrphanedTask(place, job.attempts[index], until)
            self._orphaned_tasks.add(job.key, index, left)
        job.record_success(index, result)
        effects = self.end_job(job, job.final_answer(), now, wall)
        if place is not None and self.is_connected(place):
            effects.append(withdraw_tasks(job, place, [index], cancel=True))
        return effects

    def _expire_orphaned_tasks(self, now: float) -> None:
        """Gives up tasks that no agent reports, so that no slot leaks."""
        for key, index, left in self._orphaned_tasks.pop_expired(now):
            result = lost_task_result(index, left.attempt)
            agent_id = left.agent.member_id
            self._scheduler.finish_task(agent_id, key, result, now)

    def _on_orphaned_result(
        self, agent: Member, key: str, result: TaskResult, now: float
    ) -> None:
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
        self, agent_id: str, alive: Member | None, now: float, wall: float
    ) -> list[Effect]:
        """Gives up the tasks at an agent, but not those of `alive`."""

        def is_lost(place: Member) -> bool:
            return place.member_id == agent_id and place != alive

        return self._give_up_tasks(is_lost, now, wall)

    def _give_up_tasks(
        self, is_lost: Callable[[Member], bool], now: float, wall: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        for job in list(self._jobs.values()):
            for index, place in list(job.placed_tasks()):
                if is_lost(place) and self._jobs.get(job.key) is job:
                    result = lost_task_result(index, job.attempts[index])
                    effects += self._on_unknown_result(
                        job, place, result, now, wall
                    )
        return effects

    def _retry_disconnected(self, now: float, wall: float) -> list[Effect]:
        """Gives up repeatable requests at agents that stay silent."""
        if not self._disconnected_since:
            return []
        limit = now - self._settings.repeat_after_silence
        lost = [
            a for a, since in self._disconnected_since.items() if since <= limit
        ]
        effects: list[Effect] = []
        for agent_id in lost:
            self._disconnected_since[agent_id] = math.inf
            for job in list(self._jobs.values()):
                place = job.agent_of(0) if job.body.repeatable else None
                if place is not None and place.member_id == agent_id:
                    result = lost_task_result(0, job.attempts[0])
                    effects += self._on_unknown_result(
                        job, place, result, now, wall
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
    """Whether an earlier attempt of a repeatable request has succeeded."""
    return (
        job.body.repeatable
        and result.index == 0
        and result.status is TaskStatus.SUCCEEDED
        and result.attempt <= job.attempts[0]
        and not job.is_complete
    )
