"""Placement of one owner's tasks on the agents."""

from __future__ import annotations

import random
from collections.abc import Sequence

from gypsumline.core.admission import AdmissionControl, Backlog
from gypsumline.core.control import ControlRecord
from gypsumline.core.estimate import RunTimeEstimates
from gypsumline.core.identity import Member
from gypsumline.core.messages import UpstreamState
from gypsumline.core.placement import earliest_finish, policies
from gypsumline.core.placement.fleet import AgentView, Fleet, PlacedTask, Pool
from gypsumline.core.placement.job_queue import JobOrder, QueuedJob
from gypsumline.core.placement.registry import make_policy
from gypsumline.core.placement.settings import PlacementSettings
from gypsumline.core.task import JobBody, Reason, TaskResult, TaskStatus
from gypsumline.core.task_scheduler import Admission, Assignment, Withdrawal

# Importing the modules registers their policies.
POLICY_MODULES = (earliest_finish, policies)

_UNAVAILABLE = frozenset(
    {Reason.LEAVING, Reason.NO_UPSTREAM, Reason.EXECUTOR_LOST}
)


class Scheduler:
    """Decides admission, placement and withdrawal of one owner's tasks.

    Call `finish_task` and `return_task` for all parts of a message before
    `observe_agent` with the state that came with it.
    """

    def __init__(self, settings: PlacementSettings, rng: random.Random) -> None:
        self._settings = settings
        self._policy = make_policy(settings, rng)
        self._record = ControlRecord()
        self._registered: set[str] = set()
        self._fleet = Fleet(settings.silence_limit)
        self._estimates = RunTimeEstimates(settings.default_run_time)
        self._backlog = Backlog()
        self._jobs: dict[str, QueuedJob] = {}
        self._orders: dict[str, JobOrder] = {}
        self._admission = AdmissionControl(
            settings, rng, self._fleet, self._estimates, self._backlog
        )

    def set_record(self, record: ControlRecord, now: float) -> None:
        """Takes a newer control record into force."""
        self._record = record
        self._registered = {agent.agent_id for agent in record.agents}
        for agent in self._fleet.agents.values():
            self._set_out(agent)
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
        view.speed = self._estimates.speed(_upstream(view))
        if silent:
            self._fleet.watch_silence(view)
        if new_upstream:
            self._set_out(view)
        self._fleet.refresh(view, now)

    def lose_agent(self, agent_id: str, now: float) -> None:
        """Forgets an agent that is gone or silent."""
        agent = self._fleet.agents.pop(agent_id, None)
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
        self._jobs[key] = job
        total = sum(job.work_left.values())
        self._backlog.add(job.service, job.client, len(indexes), total)
        self._queue(job)

    def remove_job(self, key: str, now: float) -> None:
        """Drops the tasks of a job that are not placed."""
        job = self._jobs.pop(key, None)
        if job is None:
            return
        job.queues.clear()
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
        return []

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
            self._backlog.add(job.service, job.client, -1, -work)
        if agent is None or placed is None:
            return
        if result.status is TaskStatus.SUCCEEDED:
            self._learn(agent, placed, result, now)
        self._fleet.refresh(agent, now)

    def return_task(
        self, agent_id: str, key: str, index: int, reason: Reason, now: float
    ) -> None:
        """Takes back a task that an agent refused or gave up unstarted."""
        agent = self._fleet.agents.get(agent_id)
        if agent is not None:
            agent.placed.pop((key, index), None)
            pause = self._pause_after(reason)
            if pause:
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
        # Until its next report; otherwise the same task is sent there and
        # refused again: 80 times in the 0.3 s of one planned stop.
        if reason in _UNAVAILABLE:
            return self._settings.unavailable_backoff
        return 0.0

    def _new_agent(self, member: Member, now: float) -> AgentView:
        self.lose_agent(member.member_id, now)
        view = AgentView(member.member_id, member.availability_zone)
        view.incarnation = member.incarnation
        self._set_out(view)
        view.round_trip = self._settings.round_trip
        self._fleet.agents[member.member_id] = view
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
        now: float,
    ) -> None:
        upstream = _upstream(agent)
        self._estimates.learn(
            upstream,
            agent.state.service,
            placed.kind,
            placed.declared,
            result.run_time,
        )
        agent.speed = self._estimates.speed(upstream)

    def _queue(self, job: QueuedJob) -> None:
        pools = self._fleet.pools(job.service)
        capacity = max(sum(pool.capacity for pool in pools), 1e-3)
        own_time = job.unplaced_work / capacity
        job.priority = job.arrived_at + self._settings.age_weight * own_time
        order = self._orders.setdefault(job.service, JobOrder())
        order.push(job)

    def _assign_service(
        self,
        order: JobOrder,
        pools: list[Pool],
        now: float,
        made: list[Assignment],
    ) -> None:
        waiting = 0
        left: list[QueuedJob] = []
        while self._has_room(pools):
            job = order.pop()
            if job is None:
                break
            made.extend(self._assign_job(job, pools, waiting, now))
            if job.queues:
                left.append(job)
                waiting += sum(len(q.works) for q in job.queues.values())
        for job in left:
            self._queue(job)

    def _has_room(self, pools: list[Pool]) -> bool:
        if self._policy.binds_at_arrival:
            return any(pool.members for pool in pools)
        return any(pool.ready_count for pool in pools)

    def _assign_job(
        self, job: QueuedJob, pools: list[Pool], waiting: int, now: float
    ) -> list[Assignment]:
        chosen: dict[str, list[int]] = {}
        candidates: dict[str, int] = {}
        for kind in list(job.queues):
            fitting = [pool for pool in pools if pool.takes(kind)]
            while fitting and kind in job.queues:
                queue = job.queues[kind]
                count = sum(pool.ready_count for pool in fitting)
                found = self._policy.choose(fitting, queue.works, waiting)
                if found is None:
                    break
                agent, position = found
                index, work = job.take(queue, position)
                self._place(agent, job, index, work, now)
                chosen.setdefault(agent.agent_id, []).append(index)
                candidates.setdefault(agent.agent_id, count)
        return [
            Assignment(
                agent_id=agent_id,
                key=job.key,
                indexes=tuple(sorted(indexes)),
                reason=self._settings.policy,
                candidates=candidates[agent_id],
            )
            for agent_id, indexes in chosen.items()
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


def _upstream(agent: AgentView) -> str:
    return agent.state.upstream_id or agent.agent_id
