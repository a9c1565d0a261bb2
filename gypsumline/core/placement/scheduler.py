"""Placement of one owner's tasks on the agents."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Sequence

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.identity import Member
from gypsumline.core.messages import UpstreamState
from gypsumline.core.placement import earliest_finish, policies
from gypsumline.core.placement.admission import AdmissionControl, Backlog
from gypsumline.core.placement.ejection import EjectionControl
from gypsumline.core.placement.estimate import RunTimeEstimates
from gypsumline.core.placement.fleet import AgentView, Fleet, PlacedTask, Pool
from gypsumline.core.placement.job_queue import JobQueue, QueuedJob
from gypsumline.core.placement.registry import make_policy
from gypsumline.core.placement.settings import PlacementSettings
from gypsumline.core.placement.withdrawal import TaskId, WithdrawalRules
from gypsumline.core.submissions.task_scheduler import (
    Admission,
    Assignment,
    Withdrawal,
)
from gypsumline.core.task import JobBody, Reason, TaskResult, TaskStatus

# Importing these modules registers their policies.
POLICY_MODULES = (earliest_finish, policies)
# Reasons of results that are no evidence of a fault of the upstream.
NO_FAULT_REASONS = (Reason.CANCELLED, Reason.DEADLINE, Reason.WITHDRAWN)


@dataclasses.dataclass(slots=True)
class _AgentBatch:
    """Tasks of one job that a pass assigns to one agent."""

    candidates: int
    indexes: list[int] = dataclasses.field(default_factory=list)


class Scheduler:
    """Decides admission, placement and withdrawal of one owner's tasks.

    For a message of an agent, call `finish_task` and `return_task` for all of
    its results before `observe_agent` with the state that it reports.
    """

    def __init__(self, settings: PlacementSettings, rng: random.Random) -> None:
        self._settings = settings
        self._probe_patience = settings.probe_patience
        self._policy = make_policy(settings, rng)
        self._record = ControlRecord()
        self._registered: set[str] = set()
        self._fleet = Fleet(settings)
        self._estimates = RunTimeEstimates(settings.default_run_time)
        self._backlog = Backlog()
        self._ejection = EjectionControl(settings)
        self._probes: dict[str, float] = {}
        self._withdrawal_rules = WithdrawalRules(settings)
        self._withdrawal_candidates: set[str] = set()
        self._jobs: dict[str, QueuedJob] = {}
        self._queues: dict[str, JobQueue] = {}
        self._admission = AdmissionControl(
            settings, rng, self._fleet, self._estimates, self._backlog
        )

    def set_record(self, record: ControlRecord, now: float) -> None:
        """Applies a newer control record."""
        self._record = record
        self._registered = {agent.agent_id for agent in record.agents}
        self._admission.set_configuration(record.configuration)
        self._fleet.owner_count = max(1, len(record.entries))
        self._ejection.retain(self._registered | self._fleet.agents.keys())
        for agent in self._fleet.agents.values():
            self._update_exclusion(agent)
            if agent.is_excluded:
                self._withdrawal_candidates.add(agent.agent_id)
            self._fleet.refresh(agent, now)

    def observe_agent(
        self, agent: Member, state: UpstreamState, now: float
    ) -> None:
        """Applies the state that an agent reports."""
        view = self._fleet.agents.get(agent.member_id)
        if view is None or view.incarnation < agent.incarnation:
            view = self._new_agent(agent, now)
        elif view.incarnation > agent.incarnation:
            return
        upstream_changed = state.upstream_id != view.state.upstream_id
        silent = now - view.reported_at >= self._settings.silence_limit
        view.observe(state, now, self._jobs)
        view.task_limit = self._ejection.task_limit(view.agent_id, state.slots)
        view.speed = self._estimates.speed(_upstream_id(view))
        if silent:
            self._fleet.schedule_silence_check(view)
        if upstream_changed:
            self._update_exclusion(view)
        if state.queued or state.leaving or not state.healthy:
            self._withdrawal_candidates.add(view.agent_id)
        self._fleet.refresh(view, now)

    def remove_agent(self, agent_id: str, now: float) -> None:
        """Removes an agent that is gone or silent."""
        agent = self._fleet.agents.pop(agent_id, None)
        self._probes.pop(agent_id, None)
        if agent is not None:
            self._fleet.remove(agent)

    def admit(self, body: JobBody, now: float) -> Admission:
        """Returns whether a job is admitted, without adding it."""
        self._fleet.run_due_timers(now)
        return self._admission.admit(body, self._record)

    def add_job(
        self, key: str, body: JobBody, indexes: Sequence[int], now: float
    ) -> None:
        """Adds the tasks of an admitted job that are to be placed."""
        job = QueuedJob(
            key=key,
            service=body.service,
            client=body.client,
            arrived_at=now,
            deadline=now + body.timeout,
            declared={
                task.index: (task.kind, task.declared_run_time)
                for task in body.tasks
            },
        )
        for index in indexes:
            kind, declared = job.declared[index]
            work = self._estimates.work(job.service, kind, declared)
            job.remaining_work[index] = work
            job.add(index, work)
        job.fairness_penalty = self._fairness_penalty(body)
        self._jobs[key] = job
        total = sum(job.remaining_work.values())
        self._backlog.add(job.service, job.client, len(indexes), total)
        limit = self._settings.counted_time_max * self._capacity(job.service)
        job.counted_work = min(total, limit)
        self._backlog.add_counted_work(
            job.service, job.client, job.counted_work
        )
        self._enqueue(job)

    def remove_job(self, key: str, now: float) -> None:
        """Removes a job and its unplaced tasks."""
        job = self._jobs.pop(key, None)
        if job is None:
            return
        job.queues.clear()
        self._backlog.add_counted_work(
            job.service, job.client, -job.counted_work
        )
        total = sum(job.remaining_work.values())
        self._backlog.add(
            job.service, job.client, -len(job.remaining_work), -total
        )

    def assign(self, now: float) -> list[Assignment]:
        """Returns the assignments of all tasks that can be placed now."""
        self._fleet.run_due_timers(now)
        assignments: list[Assignment] = []
        for service, queue in self._queues.items():
            pools = self._fleet.pools(service)
            if self._is_service_excluded(service):
                continue
            self._assign_service(queue, pools, now, assignments)
        return assignments

    def withdrawals(self, now: float) -> list[Withdrawal]:
        """Returns the tasks to withdraw from their agents."""
        self._fleet.run_due_timers(now)
        withdrawn: list[Withdrawal] = []
        for agent_id in sorted(self._withdrawal_candidates):
            agent = self._fleet.agents.get(agent_id)
            if agent is None or not agent.placed:
                self._withdrawal_candidates.discard(agent_id)
            elif self._fleet.is_usable(agent, now):
                if self._policy.binds_at_arrival:
                    continue
                idle_agents = self._count_idle_agents(agent)
                task_ids = self._withdrawal_rules.select_overdue(
                    agent, idle_agents, now
                )
                withdrawn.extend(_make_withdrawals(agent, task_ids, "overdue"))
                if not agent.state.queued:
                    self._withdrawal_candidates.discard(agent_id)
            else:
                task_ids = self._withdrawal_rules.select_unstarted(agent, now)
                withdrawn.extend(
                    _make_withdrawals(agent, task_ids, "agent takes no starts")
                )
                self._withdrawal_candidates.discard(agent_id)
        return withdrawn

    def _count_idle_agents(self, agent: AgentView) -> int:
        return sum(
            pool.idle_agent_count()
            for pool in self._fleet.pools(agent.state.service)
        )

    def finish_task(
        self, agent_id: str, key: str, result: TaskResult, now: float
    ) -> None:
        """Records the result of a task that ran."""
        agent = self._fleet.agents.get(agent_id)
        placed = None
        if agent is not None:
            placed = agent.placed.pop((key, result.index), None)
        job = self._jobs.get(key)
        if job is not None and result.index in job.remaining_work:
            work = job.remaining_work.pop(result.index)
            if not job.remaining_work:
                del self._jobs[key]
                self._backlog.add_counted_work(
                    job.service, job.client, -job.counted_work
                )
            self._backlog.add(job.service, job.client, -1, -work)
        if agent is None or placed is None:
            return
        if result.status is TaskStatus.SUCCEEDED:
            self._update_estimates(agent, placed, result)
        self._record_health(agent, key, result, now)
        self._fleet.refresh(agent, now)

    def return_task(
        self, agent_id: str, key: str, index: int, reason: Reason, now: float
    ) -> None:
        """Queues a task again that an agent refused or returned unstarted."""
        agent = self._fleet.agents.get(agent_id)
        if agent is not None:
            agent.placed.pop((key, index), None)
            backoff = self._backoff_after(reason)
            if backoff and agent.blocked_until < now + backoff:
                agent.blocked_until = now + backoff
                self._fleet.schedule_refresh(agent, agent.blocked_until)
            self._fleet.refresh(agent, now)
        job = self._jobs.get(key)
        if job is not None and index in job.remaining_work:
            job.add(index, job.remaining_work[index])
            self._enqueue(job)

    def _backoff_after(self, reason: Reason) -> float:
        if reason is Reason.QUEUE_FULL:
            return self._settings.queue_full_backoff
        if reason in NO_FAULT_REASONS:
            return 0.0
        return self._settings.refusal_backoff

    def _new_agent(self, member: Member, now: float) -> AgentView:
        self.remove_agent(member.member_id, now)
        view = AgentView(member.member_id, member.availability_zone)
        view.incarnation = member.incarnation
        self._update_exclusion(view)
        view.round_trip = self._settings.round_trip
        self._fleet.agents[member.member_id] = view
        self._ejection.add(member.member_id)
        if self._ejection.state(member.member_id) == "ejected":
            probe_at = self._ejection.next_probe_at(member.member_id)
            self._probes[member.member_id] = probe_at
        return view

    def _update_exclusion(self, agent: AgentView) -> None:
        configuration = self._record.configuration
        agent.is_excluded = (
            agent.agent_id not in self._registered
            or agent.availability_zone in configuration.availability_zones_out
            or agent.state.upstream_id in configuration.upstreams_out
        )

    def _is_service_excluded(self, service: str) -> bool:
        return service in self._record.configuration.services_out

    def _update_estimates(
        self,
        agent: AgentView,
        placed: PlacedTask,
        result: TaskResult,
    ) -> None:
        upstream = _upstream_id(agent)
        self._fleet.update_typical_work(agent, result.run_time)
        self._estimates.learn(
            upstream,
            agent.state.service,
            placed.kind,
            placed.declared,
            result.run_time,
        )
        agent.speed = self._estimates.speed(upstream)

    def _fairness_penalty(self, body: JobBody) -> float:
        excess = self._admission.excess_work(body.service, body.client)
        settings = self._settings
        excess_time = excess / self._capacity(body.service)
        excess_time = max(0.0, excess_time - settings.client_burst_time)
        return settings.fairness_weight * excess_time

    def _record_health(
        self, agent: AgentView, key: str, result: TaskResult, now: float
    ) -> None:
        """Updates the health of the agent's upstream by a result."""
        agent_id = agent.agent_id
        before = self._ejection.state(agent_id)
        if result.status is TaskStatus.SUCCEEDED:
            self._ejection.record_success(agent_id, agent.state.slots, now)
        elif result.reason not in NO_FAULT_REASONS:
            self._ejection.record_failure(agent_id, key, now)
        state = self._ejection.state(agent_id)
        agent.task_limit = self._ejection.task_limit(
            agent_id, agent.state.slots
        )
        if state == "ejected" and before != state:
            self._probes[agent_id] = self._ejection.next_probe_at(agent_id)

    def _assign_probe(self, job: QueuedJob, now: float) -> list[Assignment]:
        """Assigns a task of a job to an ejected upstream whose probe is due.

        The longest task of one of the job's kinds is chosen.
        """
        for agent_id, due_at in self._probes.items():
            agent = self._fleet.agents[agent_id]
            patience = 0.0 if len(job.declared) == 1 else self._probe_patience
            if now < due_at + patience or not self._is_probe_possible(
                agent, job, now
            ):
                continue
            del self._probes[agent_id]
            self._ejection.begin_probe(agent_id)
            queue = next(iter(job.queues.values()))
            index, work = job.remove_task(queue, len(queue.works) - 1)
            self._place_task(agent, job, index, work, now)
            return [
                Assignment(
                    agent_id=agent_id,
                    key=job.key,
                    indexes=(index,),
                    reason="probe",
                    candidates=1,
                )
            ]
        return []

    def _is_probe_possible(
        self, agent: AgentView, job: QueuedJob, now: float
    ) -> bool:
        state = agent.state
        if state.service != job.service or not state.free:
            return False
        if state.kinds and not set(job.queues) <= set(state.kinds):
            return False
        return self._fleet.is_reachable(agent, now)

    def is_backlogged(self, waiting: int) -> bool:
        """Returns whether agents should report each free slot immediately."""
        return waiting > self._settings.backlog_part * self._fleet.slots()

    def _capacity(self, service: str) -> float:
        """Returns the work per second that is available to this owner."""
        pools = self._fleet.pools(service)
        return max(sum(pool.available for pool in pools), 1e-3)

    def _enqueue(self, job: QueuedJob) -> None:
        own_time = job.unplaced_work / self._capacity(job.service)
        settings = self._settings
        size_delay = min(
            settings.age_weight * own_time, settings.size_delay_max
        )
        job.priority = job.arrived_at + job.fairness_penalty + size_delay
        queue = self._queues.setdefault(job.service, JobQueue())
        queue.new_jobs.append(job)
        queue.push(job)

    def _assign_service(
        self,
        queue: JobQueue,
        pools: list[Pool],
        now: float,
        assignments: list[Assignment],
    ) -> None:
        if not queue or not self._has_candidates(pools):
            return
        self._policy.begin(pools)
        if self._is_full_pass_due(queue, pools, now):
            self._run_full_pass(queue, pools, now, assignments)
        elif queue.new_jobs:
            self._run_new_jobs_pass(queue, pools, now, assignments)

    def _run_full_pass(
        self,
        queue: JobQueue,
        pools: list[Pool],
        now: float,
        assignments: list[Assignment],
    ) -> None:
        """Tries to place all unplaced tasks in the order of their jobs."""
        waiting: list[QueuedJob] = []
        while not self._policy.is_exhausted and self._has_candidates(pools):
            job = queue.pop()
            if job is None:
                break
            if self._probes:
                assignments.extend(self._assign_probe(job, now))
            assigned = self._assign_job(job, pools, now)
            if assigned:
                assignments.extend(assigned)
                self._requeue(job)
            elif job.queues:
                waiting.append(job)
        for job in waiting:
            queue.push(job)
        queue.new_jobs.clear()
        queue.last_pass_at = now
        for pool in pools:
            pool.has_earlier_start = False

    def _run_new_jobs_pass(
        self,
        queue: JobQueue,
        pools: list[Pool],
        now: float,
        assignments: list[Assignment],
    ) -> None:
        """Tries to place new tasks only.

        Tasks that an earlier pass left unplaced keep waiting, as no agent can
        start them earlier than before.
        """
        jobs = sorted(queue.new_jobs, key=lambda job: job.priority)
        queue.new_jobs.clear()
        for job in jobs:
            if not job.queues:
                continue
            if self._policy.is_exhausted or not self._has_candidates(pools):
                break
            assigned = self._assign_job(job, pools, now)
            if assigned:
                assignments.extend(assigned)
                self._requeue(job)
        queue.new_jobs.clear()

    def _is_full_pass_due(
        self, queue: JobQueue, pools: list[Pool], now: float
    ) -> bool:
        """Returns whether a pass may place tasks that the last one left."""
        if self._probes:
            return True
        if now - queue.last_pass_at >= self._settings.pass_interval:
            return True
        return any(pool.has_earlier_start for pool in pools)

    def _requeue(self, job: QueuedJob) -> None:
        if job.queues:
            self._enqueue(job)

    def _has_candidates(self, pools: list[Pool]) -> bool:
        for pool in pools:
            if pool.candidate_count:
                return True
            if self._policy.binds_at_arrival and pool.members:
                return True
        return False

    def _assign_job(
        self, job: QueuedJob, pools: list[Pool], now: float
    ) -> list[Assignment]:
        batches: dict[str, _AgentBatch] = {}
        for queue in tuple(job.queues.values()):
            eligible = [pool for pool in pools if pool.accepts(queue.kind)]
            position = len(queue.works)
            while position and not self._policy.is_exhausted:
                position -= 1
                agent = self._policy.choose(eligible, queue.works[position])
                if agent is not None:
                    if agent.agent_id not in batches:
                        count = sum(pool.candidate_count for pool in eligible)
                        batches[agent.agent_id] = _AgentBatch(count)
                    index, work = job.remove_task(queue, position)
                    batches[agent.agent_id].indexes.append(index)
                    self._place_task(agent, job, index, work, now)
                    if not self._has_candidates(eligible):
                        break
        return [
            Assignment(
                agent_id=agent_id,
                key=job.key,
                indexes=tuple(batch.indexes),
                reason=self._settings.policy,
                candidates=batch.candidates,
            )
            for agent_id, batch in batches.items()
        ]

    def _place_task(
        self,
        agent: AgentView,
        job: QueuedJob,
        index: int,
        work: float,
        now: float,
    ) -> None:
        kind, declared = job.declared[index]
        agent.placed[job.key, index] = PlacedTask(now, work, kind, declared)
        self._fleet.refresh(agent, now)
        self._policy.placed(self._fleet.pools(job.service), agent)


def _make_withdrawals(
    agent: AgentView, task_ids: list[TaskId], reason: str
) -> list[Withdrawal]:
    """Marks tasks as being withdrawn; returns one withdrawal per job."""
    jobs: dict[str, list[int]] = {}
    for key, index in task_ids:
        agent.placed[key, index].withdrawing = True
        jobs.setdefault(key, []).append(index)
    return [
        Withdrawal(
            agent_id=agent.agent_id,
            key=key,
            indexes=tuple(sorted(indexes)),
            reason=reason,
        )
        for key, indexes in jobs.items()
    ]


def _upstream_id(agent: AgentView) -> str:
    return agent.state.upstream_id or agent.agent_id
