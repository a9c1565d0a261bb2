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
from gypsumline.core.placement.job_queue import JobOrder, QueuedJob
from gypsumline.core.placement.registry import make_policy
from gypsumline.core.placement.settings import PlacementSettings
from gypsumline.core.placement.withdrawal import TaskName, WithdrawalRules
from gypsumline.core.submissions.task_scheduler import (
    Admission,
    Assignment,
    Withdrawal,
)
from gypsumline.core.task import JobBody, Reason, TaskResult, TaskStatus

# Importing the modules registers their policies.
POLICY_MODULES = (earliest_finish, policies)
# Reasons of results that say nothing about the upstream.
NO_FAULT_REASONS = (Reason.CANCELLED, Reason.DEADLINE, Reason.WITHDRAWN)


@dataclasses.dataclass(slots=True)
class _Chosen:
    """Tasks of one job for one agent."""

    candidates: int
    indexes: list[int] = dataclasses.field(default_factory=list)


class Scheduler:
    """Decides admission, placement and withdrawal of one owner's tasks.

    Call `finish_task` and `return_task` for all parts of a message before
    `observe_agent` with the state that came with it.
    """

    def __init__(self, settings: PlacementSettings, rng: random.Random) -> None:
        self._settings = settings
        self._patience = settings.probe_patience
        self._policy = make_policy(settings, rng)
        self._record = ControlRecord()
        self._registered: set[str] = set()
        self._fleet = Fleet(settings)
        self._estimates = RunTimeEstimates(settings.default_run_time)
        self._backlog = Backlog()
        self._ejection = EjectionControl(settings)
        self._probes: dict[str, float] = {}
        self._rules = WithdrawalRules(settings)
        self._crowded: set[str] = set()
        self._jobs: dict[str, QueuedJob] = {}
        self._orders: dict[str, JobOrder] = {}
        self._admission = AdmissionControl(
            settings, rng, self._fleet, self._estimates, self._backlog
        )

    def set_record(self, record: ControlRecord, now: float) -> None:
        """Takes a newer control record into force."""
        self._record = record
        self._registered = {agent.agent_id for agent in record.agents}
        self._admission.set_configuration(record.configuration)
        self._fleet.owners = max(1, len(record.entries))
        self._ejection.retain(self._registered | self._fleet.agents.keys())
        for agent in self._fleet.agents.values():
            self._set_out(agent)
            if agent.is_out:
                self._crowded.add(agent.agent_id)
            self._fleet.refresh(agent, now)

    def observe_agent(
        self, agent: Member, state: UpstreamState, now: float
    ) -> None:
        """Takes a report of an agent."""
        view = self._fleet.agents.get(agent.member_id)
        if view is None or view.incarnation < agent.incarnation:
            view = self._new_agent(agent, now)
        elif view.incarnation > agent.incarnation:
            return
        new_upstream = state.upstream_id != view.state.upstream_id
        silent = now - view.seen_at >= self._settings.silence_limit
        view.observe(state, now, self._jobs)
        view.place_limit = self._ejection.task_limit(view.agent_id, state.slots)
        view.speed = self._estimates.speed(_upstream(view))
        if silent:
            self._fleet.watch_silence(view)
        if new_upstream:
            self._set_out(view)
        if state.queued or state.leaving or not state.healthy:
            self._crowded.add(view.agent_id)
        self._fleet.refresh(view, now)

    def remove_agent(self, agent_id: str, now: float) -> None:
        """Forgets an agent that is gone or silent."""
        agent = self._fleet.agents.pop(agent_id, None)
        self._probes.pop(agent_id, None)
        if agent is not None:
            self._fleet.drop(agent)

    def admit(self, body: JobBody, now: float) -> Admission:
        """Returns whether a job may enter, without adding it."""
        self._fleet.advance(now)
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
            job.work_left[index] = work
            job.add(index, work)
        job.penalty = self._penalty(body)
        self._jobs[key] = job
        total = sum(job.work_left.values())
        self._backlog.add(job.service, job.client, len(indexes), total)
        limit = self._settings.counted_time_max * self._capacity(job.service)
        job.counted = min(total, limit)
        self._backlog.count(job.service, job.client, job.counted)
        self._queue(job)

    def remove_job(self, key: str, now: float) -> None:
        """Drops the tasks of a job that are not placed."""
        job = self._jobs.pop(key, None)
        if job is None:
            return
        job.queues.clear()
        self._backlog.count(job.service, job.client, -job.counted)
        total = sum(job.work_left.values())
        self._backlog.add(job.service, job.client, -len(job.work_left), -total)

    def assign(self, now: float) -> list[Assignment]:
        """Places what can be placed now."""
        self._fleet.advance(now)
        made: list[Assignment] = []
        for service, order in self._orders.items():
            pools = self._fleet.pools(service)
            if self._is_out(service):
                continue
            self._assign_service(order, pools, now, made)
        return made

    def withdrawals(self, now: float) -> list[Withdrawal]:
        """Returns the tasks to take back from their agents."""
        self._fleet.advance(now)
        asked: list[Withdrawal] = []
        for name in sorted(self._crowded):
            agent = self._fleet.agents.get(name)
            if agent is None or not agent.placed:
                self._crowded.discard(name)
            elif self._fleet.is_usable(agent, now):
                if self._policy.binds_at_arrival:
                    continue
                idle = self._idle_places(agent)
                names = self._rules.overdue(agent, idle, now)
                asked.extend(_withdraw(agent, names, "overdue"))
                if not agent.state.queued:
                    self._crowded.discard(name)
            else:
                names = self._rules.blocked(agent, now)
                asked.extend(_withdraw(agent, names, "agent takes no starts"))
                self._crowded.discard(name)
        return asked

    def _idle_places(self, agent: AgentView) -> int:
        return sum(
            pool.idle_agents()
            for pool in self._fleet.pools(agent.state.service)
        )

    def finish_task(
        self, agent_id: str, key: str, result: TaskResult, now: float
    ) -> None:
        """Takes the result of a task that ran."""
        agent = self._fleet.agents.get(agent_id)
        placed = None
        if agent is not None:
            placed = agent.placed.pop((key, result.index), None)
        job = self._jobs.get(key)
        if job is not None and result.index in job.work_left:
            work = job.work_left.pop(result.index)
            if not job.work_left:
                del self._jobs[key]
                self._backlog.count(job.service, job.client, -job.counted)
            self._backlog.add(job.service, job.client, -1, -work)
        if agent is None or placed is None:
            return
        if result.status is TaskStatus.SUCCEEDED:
            self._learn(agent, placed, result)
        self._judge(agent, key, result, now)
        self._fleet.refresh(agent, now)

    def return_task(
        self, agent_id: str, key: str, index: int, reason: Reason, now: float
    ) -> None:
        """Takes back a task that an agent refused or gave up unstarted."""
        agent = self._fleet.agents.get(agent_id)
        if agent is not None:
            agent.placed.pop((key, index), None)
            pause = self._pause_after(reason)
            if pause and agent.blocked_until < now + pause:
                agent.blocked_until = now + pause
                self._fleet.wake_at(agent, agent.blocked_until)
            self._fleet.refresh(agent, now)
        job = self._jobs.get(key)
        if job is not None and index in job.work_left:
            job.add(index, job.work_left[index])
            self._queue(job)

    def _pause_after(self, reason: Reason) -> float:
        if reason is Reason.QUEUE_FULL:
            return self._settings.queue_full_backoff
        if reason in NO_FAULT_REASONS:
            return 0.0
        return self._settings.refusal_backoff

    def _new_agent(self, member: Member, now: float) -> AgentView:
        self.remove_agent(member.member_id, now)
        view = AgentView(member.member_id, member.availability_zone)
        view.incarnation = member.incarnation
        self._set_out(view)
        view.round_trip = self._settings.round_trip
        self._fleet.agents[member.member_id] = view
        self._ejection.add(member.member_id)
        if self._ejection.state(member.member_id) == "ejected":
            probe_at = self._ejection.next_probe_at(member.member_id)
            self._probes[member.member_id] = probe_at
        return view

    def _set_out(self, agent: AgentView) -> None:
        configuration = self._record.configuration
        agent.is_out = (
            agent.agent_id not in self._registered
            or agent.availability_zone in configuration.availability_zones_out
            or agent.state.upstream_id in configuration.upstreams_out
        )

    def _is_out(self, service: str) -> bool:
        return service in self._record.configuration.services_out

    def _learn(
        self,
        agent: AgentView,
        placed: PlacedTask,
        result: TaskResult,
    ) -> None:
        upstream = _upstream(agent)
        self._fleet.learn_typical(agent, result.run_time)
        self._estimates.learn(
            upstream,
            agent.state.service,
            placed.kind,
            placed.declared,
            result.run_time,
        )
        agent.speed = self._estimates.speed(upstream)

    def _penalty(self, body: JobBody) -> float:
        excess = self._admission.excess_work(body.service, body.client)
        settings = self._settings
        excess_time = excess / self._capacity(body.service)
        excess_time = max(0.0, excess_time - settings.client_burst_time)
        return settings.fairness_weight * excess_time

    def _judge(
        self, agent: AgentView, key: str, result: TaskResult, now: float
    ) -> None:
        """Adds a result to the health of the agent's upstream."""
        name = agent.agent_id
        before = self._ejection.state(name)
        if result.status is TaskStatus.SUCCEEDED:
            self._ejection.record_success(name, agent.state.slots, now)
        elif result.reason not in NO_FAULT_REASONS:
            self._ejection.record_failure(name, key, now)
        state = self._ejection.state(name)
        agent.place_limit = self._ejection.task_limit(name, agent.state.slots)
        if state == "ejected" and before != state:
            self._probes[name] = self._ejection.next_probe_at(name)

    def _probe(self, job: QueuedJob, now: float) -> list[Assignment]:
        """Sends the longest task of a job to an upstream that is due."""
        for name, due in self._probes.items():
            agent = self._fleet.agents[name]
            patience = 0.0 if len(job.declared) == 1 else self._patience
            if now < due + patience or not self._can_probe(agent, job, now):
                continue
            del self._probes[name]
            self._ejection.begin_probe(name)
            queue = next(iter(job.queues.values()))
            index, work = job.take(queue, len(queue.works) - 1)
            self._place(agent, job, index, work, now)
            return [
                Assignment(
                    agent_id=name,
                    key=job.key,
                    indexes=(index,),
                    reason="probe",
                    candidates=1,
                )
            ]
        return []

    def _can_probe(self, agent: AgentView, job: QueuedJob, now: float) -> bool:
        state = agent.state
        if state.service != job.service or not state.free:
            return False
        if state.kinds and not set(job.queues) <= set(state.kinds):
            return False
        return self._fleet.is_reachable(agent, now)

    def is_backlogged(self, waiting: int) -> bool:
        """Returns whether waiting tasks need each slot as it gets free."""
        return waiting > self._settings.backlog_part * self._fleet.slots()

    def _capacity(self, service: str) -> float:
        """Returns the work per second that this owner can count on."""
        pools = self._fleet.pools(service)
        return max(sum(pool.available for pool in pools), 1e-3)

    def _queue(self, job: QueuedJob) -> None:
        own_time = job.unplaced_work / self._capacity(job.service)
        settings = self._settings
        size = min(settings.age_weight * own_time, settings.size_delay_max)
        job.priority = job.arrived_at + job.penalty + size
        order = self._orders.setdefault(job.service, JobOrder())
        order.new_jobs.append(job)
        order.push(job)

    def _assign_service(
        self,
        order: JobOrder,
        pools: list[Pool],
        now: float,
        made: list[Assignment],
    ) -> None:
        if not order or not self._has_room(pools):
            return
        self._policy.begin(pools)
        if self._is_full_pass_due(order, pools, now):
            self._full_pass(order, pools, now, made)
        elif order.new_jobs:
            self._pass_new(order, pools, now, made)

    def _full_pass(
        self,
        order: JobOrder,
        pools: list[Pool],
        now: float,
        made: list[Assignment],
    ) -> None:
        """Weighs all unplaced tasks in the order of their jobs."""
        waiting: list[QueuedJob] = []
        while not self._policy.is_exhausted and self._has_room(pools):
            job = order.pop()
            if job is None:
                break
            if self._probes:
                made.extend(self._probe(job, now))
            given = self._assign_job(job, pools, now)
            if given:
                made.extend(given)
                self._requeue(job)
            elif job.queues:
                waiting.append(job)
        for job in waiting:
            order.push(job)
        order.new_jobs.clear()
        order.passed_at = now
        for pool in pools:
            pool.has_news = False

    def _pass_new(
        self,
        order: JobOrder,
        pools: list[Pool],
        now: float,
        made: list[Assignment],
    ) -> None:
        """Weighs only new tasks; no place came up that others wait for."""
        jobs = sorted(order.new_jobs, key=lambda job: job.priority)
        order.new_jobs.clear()
        for job in jobs:
            if not job.queues:
                continue
            if self._policy.is_exhausted or not self._has_room(pools):
                break
            given = self._assign_job(job, pools, now)
            if given:
                made.extend(given)
                self._requeue(job)
        order.new_jobs.clear()

    def _is_full_pass_due(
        self, order: JobOrder, pools: list[Pool], now: float
    ) -> bool:
        """Returns whether a pass could place what the last one left."""
        if self._probes:
            return True
        if now - order.passed_at >= self._settings.pass_interval:
            return True
        return any(pool.has_news for pool in pools)

    def _requeue(self, job: QueuedJob) -> None:
        if job.queues:
            self._queue(job)

    def _has_room(self, pools: list[Pool]) -> bool:
        for pool in pools:
            if pool.ready_count:
                return True
            if self._policy.binds_at_arrival and pool.members:
                return True
        return False

    def _assign_job(
        self, job: QueuedJob, pools: list[Pool], now: float
    ) -> list[Assignment]:
        chosen: dict[str, _Chosen] = {}
        for queue in tuple(job.queues.values()):
            fitting = [pool for pool in pools if pool.takes(queue.kind)]
            position = len(queue.works)
            while position and not self._policy.is_exhausted:
                position -= 1
                agent = self._policy.choose(fitting, queue.works[position])
                if agent is not None:
                    if agent.agent_id not in chosen:
                        count = sum(pool.ready_count for pool in fitting)
                        chosen[agent.agent_id] = _Chosen(count)
                    index, work = job.take(queue, position)
                    chosen[agent.agent_id].indexes.append(index)
                    self._place(agent, job, index, work, now)
                    if not self._has_room(fitting):
                        break
        return [
            Assignment(
                agent_id=agent_id,
                key=job.key,
                indexes=tuple(part.indexes),
                reason=self._settings.policy,
                candidates=part.candidates,
            )
            for agent_id, part in chosen.items()
        ]

    def _place(
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


def _withdraw(
    agent: AgentView, names: list[TaskName], reason: str
) -> list[Withdrawal]:
    """Marks tasks as asked back and returns one withdrawal per job."""
    jobs: dict[str, list[int]] = {}
    for key, index in names:
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


def _upstream(agent: AgentView) -> str:
    return agent.state.upstream_id or agent.agent_id
