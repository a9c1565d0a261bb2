"""Discrete-event simulation of a cluster with the real placement scheduler.

It models slots with speeds, network delays, stale reports and several owners
that do not communicate with each other. Nothing else is modelled: messages are
not lost, processes do not stop, and there are no journals or evidence.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from benchmarks.cluster_records import (
    ClusterSettings,
    JobRecord,
    MessageCount,
)
from benchmarks.job_stream import SERVICE, Executor, StreamJob
from gypsumline.core.configuration import Configuration, Service
from gypsumline.core.control.record import ControlRecord, RegisteredAgent
from gypsumline.core.identity import Member, Role
from gypsumline.core.messages import UpstreamState
from gypsumline.core.placement.scheduler import Scheduler
from gypsumline.core.slots.outbox import Outbox
from gypsumline.core.submissions.task_scheduler import Assignment
from gypsumline.core.task import Reason, TaskResult, TaskStatus

# Run time of a task on an executor that fails all tasks.
FAILED_RUN_SECONDS = 0.005


@dataclasses.dataclass(slots=True, eq=False)
class _Task:
    key: str
    index: int
    work: float
    owner: _Owner
    message: int
    deadline: float


class VirtualCluster:
    """Executors with agents, owners and clients in virtual time.

    Attributes:
      settings: Delays and sizes.
      rng: Source of all random choices.
      now: Virtual time in seconds.
      messages: Counts of messages between owners and agents.
      records: Outcome of each job by its key.
      executors: Simulated executors.
      work_done: Work done by zone and whole second of virtual time.
      agents: Agent of each executor, by the name of the executor.
      owners: Entries that own jobs.
    """

    def __init__(
        self,
        settings: ClusterSettings,
        executors: list[Executor],
        seed: int,
    ) -> None:
        self.settings = settings
        self.rng = random.Random(f"cluster-{seed}")
        self.now = 0.0
        self.messages = MessageCount()
        self.records: dict[str, JobRecord] = {}
        self.executors = executors
        self.work_done: dict[tuple[str, int], float] = {}
        self._starts: dict[str, list[float]] = {}
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._sequence = itertools.count()
        self._started_messages: set[int] = set()
        self._started_pairs: set[tuple[str, str]] = set()
        self.agents = {e.name: _Agent(self, e) for e in executors}
        self.owners = [
            _Owner(self, number) for number in range(settings.owners)
        ]
        self.set_excluded_zones((), at_once=True)
        for agent in self.agents.values():
            agent.start()
        for owner in self.owners:
            self.schedule_after(0.0, owner.tick)

    def schedule_at(
        self, when: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedules a call at a virtual time."""
        heapq.heappush(
            self._events, (when, next(self._sequence), action, arguments)
        )

    def schedule_after(
        self, delay: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedules a call after a delay."""
        self.schedule_at(self.now + delay, action, *arguments)

    def run(self, until: float) -> None:
        """Runs all events up to a virtual time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = until

    def submit(self, jobs: list[StreamJob]) -> None:
        """Schedules the submission of jobs by clients.

        Each job goes to a random entry, which forwards it to a random owner.
        """
        for job in jobs:
            self.records[job.key] = JobRecord(job)
            owner = self.rng.choice(self.owners)
            entry = self.rng.choice(self.owners)
            delay = self.settings.client_delay + self.delay(
                owner.zone, entry.zone, same=owner is entry
            )
            self.schedule_at(job.arrives_at + delay, owner.submit, job, delay)

    def set_excluded_zones(
        self, zones: tuple[str, ...], at_once: bool = False
    ) -> None:
        """Sends all processes a record in which the zones are excluded."""
        record = ControlRecord(
            revision=1,
            configuration=Configuration(
                services=(Service(name=SERVICE),),
                availability_zones_out=zones,
            ),
            entries=tuple(owner.member for owner in self.owners),
            agents=tuple(
                RegisteredAgent(agent_id=e.name, availability_zone=e.zone)
                for e in self.executors
            ),
        )
        for process in [*self.owners, *self.agents.values()]:
            delay = self.rng.uniform(0.0, self.settings.record_delay)
            if at_once:
                process.set_record(record)
            else:
                self.schedule_after(delay, process.set_record, record)

    def delay(self, first: str, second: str, same: bool = False) -> float:
        """Returns the one-way delay between two zones, 0 within a process."""
        if same:
            return 0.0
        if first == second:
            return self.settings.local_delay
        return self.settings.zone_delay

    def send(
        self,
        first: str,
        second: str,
        action: Callable[..., None],
        *arguments: Any,
    ) -> None:
        """Sends a counted message between an owner and an agent."""
        self.messages.total += 1
        self.schedule_after(self.delay(first, second), action, *arguments)

    def record_start(self, task: _Task, agent: _Agent) -> None:
        """Records the start of a task, with its message and job-agent pair."""
        self._starts.setdefault(agent.executor.zone, []).append(self.now)
        if task.message not in self._started_messages:
            self._started_messages.add(task.message)
            self.messages.starts += 1
        if (task.key, agent.executor.name) not in self._started_pairs:
            self._started_pairs.add((task.key, agent.executor.name))
            self.messages.pairs += 1

    def find_owner(self, member_id: str) -> _Owner:
        """Returns the owner with a member id."""
        return next(o for o in self.owners if o.member.member_id == member_id)

    def starts_in(self, zone: str) -> list[float]:
        """Returns the times at which tasks were started in a zone."""
        return self._starts.get(zone, [])

    def next_message_number(self) -> int:
        """Returns a unique number for a `StartTasks` message."""
        return next(self._sequence)


class _Agent:
    """Agent of one executor, with its slots and its task queue."""

    def __init__(self, cluster: VirtualCluster, executor: Executor) -> None:
        self.cluster = cluster
        self.executor = executor
        self.free = executor.slots
        self.queue: collections.deque[_Task] = collections.deque()
        self.is_excluded = False
        self.fails = False
        self.slowdown = 1.0
        self._outbox = Outbox(
            cluster.settings.results_delay, cluster.settings.results_join_age
        )
        self._backlogged: set[str] = set()
        self._active_by_key: collections.Counter[str] = collections.Counter()
        self.busy: list[tuple[float, float]] = []
        self.member = Member(
            member_id=executor.name,
            incarnation=1,
            role=Role.AGENT,
            availability_zone=executor.zone,
        )

    def start(self) -> None:
        for owner in self.cluster.owners:
            owner.observe(self, self.state())
            interval = self.cluster.settings.heartbeat_interval
            phase = self.cluster.rng.uniform(0.0, interval)
            self.cluster.schedule_after(phase, self._heartbeat, owner)

    def set_failing(self, fails: bool) -> None:
        self.fails = fails

    def state(self) -> UpstreamState:
        return UpstreamState(
            upstream_id=self.executor.name,
            service=SERVICE,
            slots=self.executor.slots,
            free=self.free,
            queued=len(self.queue),
            healthy=True,
        )

    def set_record(self, record: ControlRecord) -> None:
        out = record.configuration.availability_zones_out
        self.is_excluded = self.executor.zone in out
        if self.is_excluded:
            refused = list(self.queue)
            self.queue.clear()
            self._refuse(refused, Reason.OUT)

    def receive(self, owner: _Owner, tasks: list[_Task], backlog: bool) -> None:
        if backlog:
            self._backlogged.add(owner.member.member_id)
        else:
            self._backlogged.discard(owner.member.member_id)
        if self.is_excluded:
            self._refuse(tasks, Reason.OUT)
            return
        full: list[_Task] = []
        queue_limit = self.executor.slots
        for task in tasks:
            if self.free:
                self._run(task)
            elif (
                self.cluster.settings.bounded_queue
                and len(self.queue) >= queue_limit
            ):
                full.append(task)
            else:
                self.queue.append(task)
        self._refuse(full, Reason.QUEUE_FULL)

    def withdraw(
        self, owner: _Owner, key: str, indexes: tuple[int, ...]
    ) -> None:
        removed = [
            task
            for task in self.queue
            if task.key == key and task.index in indexes
        ]
        for task in removed:
            self.queue.remove(task)
        self.cluster.messages.withdrawn += len(removed)
        withdrawn = tuple(task.index for task in removed)
        self._send_reply(owner, owner.on_withdrawn, key, withdrawn)

    def _refuse(self, tasks: list[_Task], reason: Reason) -> None:
        self.cluster.messages.refused += len(tasks)
        groups: dict[tuple[int, str], list[_Task]] = {}
        for task in tasks:
            groups.setdefault((task.owner.number, task.key), []).append(task)
        for (number, key), group in groups.items():
            owner = self.cluster.owners[number]
            indexes = tuple(task.index for task in group)
            self._send_reply(owner, owner.on_refused, key, indexes, reason)

    def _send_reply(
        self, owner: _Owner, action: Callable[..., None], *arguments: Any
    ) -> None:
        state = self.state()
        self.cluster.send(
            self.executor.zone, owner.zone, action, self, state, *arguments
        )

    def _run(self, task: _Task) -> None:
        self.free -= 1
        self._active_by_key[task.key] += 1
        self.cluster.record_start(task, self)
        seconds = task.work / self.executor.speed * self.slowdown
        if self.fails:
            seconds = FAILED_RUN_SECONDS
        self.cluster.schedule_after(seconds, self._on_run_ended, task, seconds)

    def _on_run_ended(self, task: _Task, seconds: float) -> None:
        self.free += 1
        if not self.fails:
            self._count_work(seconds)
        while self.queue and self.free:
            queued = self.queue.popleft()
            if queued.deadline > self.cluster.now:
                self._run(queued)
        status = TaskStatus.FAILED if self.fails else TaskStatus.SUCCEEDED
        result = TaskResult(index=task.index, status=status, run_time=seconds)
        self._active_by_key[task.key] -= 1
        urgent = self.fails or not self._active_by_key[task.key]
        to = task.owner.member.member_id
        self._outbox.add(to, task.key, result, urgent, self.cluster.now)
        self._send_results()
        self.cluster.schedule_after(
            self.cluster.settings.results_delay, self._send_results
        )

    def _send_results(self) -> None:
        idle = self.free > 0 and not self.queue
        flushed_owners = self._backlogged if idle else frozenset[str]()
        for to, key, batch in self._outbox.take_due(
            flushed_owners, self.cluster.now
        ):
            owner = self.cluster.find_owner(to)
            self._send_reply(
                owner, owner.on_finished, key, tuple(batch.results)
            )

    def _count_work(self, seconds: float) -> None:
        """Adds the work of a run to each second in which it was done."""
        end = self.cluster.now
        start = end - seconds
        speed = self.executor.speed / self.slowdown
        while start < end:
            stop = min(end, float(int(start) + 1))
            name = (self.executor.zone, int(start))
            done = self.cluster.work_done.get(name, 0.0)
            self.cluster.work_done[name] = done + (stop - start) * speed
            start = stop

    def _heartbeat(self, owner: _Owner) -> None:
        cluster = self.cluster
        delay = cluster.delay(self.executor.zone, owner.zone)
        cluster.schedule_after(delay, owner.on_heartbeat, self, self.state())
        cluster.schedule_after(
            cluster.settings.heartbeat_interval, self._heartbeat, owner
        )


class _Owner:
    """Entry that owns jobs and places their tasks with its own scheduler."""

    def __init__(self, cluster: VirtualCluster, number: int) -> None:
        self.cluster = cluster
        self.number = number
        self.zone = f"zone-{number % cluster.settings.zones}"
        self.member = Member(
            member_id=f"entry-{number}",
            incarnation=1,
            role=Role.ENTRY,
            availability_zone=self.zone,
        )
        rng = random.Random(cluster.rng.random())
        self.scheduler = Scheduler(cluster.settings.placement, rng)
        self.remaining: dict[str, int] = {}
        self._unplaced: dict[str, int] = {}
        self.reply_delays: dict[str, float] = {}

    def set_record(self, record: ControlRecord) -> None:
        self.scheduler.set_record(record, self.cluster.now)
        self.place_tasks()

    def observe(self, agent: _Agent, state: UpstreamState) -> None:
        self.scheduler.observe_agent(agent.member, state, self.cluster.now)

    def on_heartbeat(self, agent: _Agent, state: UpstreamState) -> None:
        self.observe(agent, state)
        self.place_tasks()

    def tick(self) -> None:
        self.place_tasks()
        self.cluster.schedule_after(
            self.cluster.settings.tick_interval, self.tick
        )

    def submit(self, job: StreamJob, delay: float) -> None:
        now = self.cluster.now
        record = self.cluster.records[job.key]
        self.reply_delays[job.key] = delay
        admission = self.scheduler.admit(job.body, now)
        if not admission.accepted:
            record.reason = admission.reason
            record.retry_after = admission.retry_after
            self._answer(job.key, "refused")
            return
        self.remaining[job.key] = self._unplaced[job.key] = len(job.works)
        indexes = tuple(range(len(job.works)))
        self.scheduler.add_job(job.key, job.body, indexes, now)
        deadline = job.arrives_at + job.body.timeout
        self.cluster.schedule_at(deadline, self._expire, job.key)
        self.place_tasks()

    def on_finished(
        self,
        agent: _Agent,
        state: UpstreamState,
        key: str,
        results: tuple[TaskResult, ...],
    ) -> None:
        now = self.cluster.now
        for result in results:
            self.scheduler.finish_task(agent.executor.name, key, result, now)
        self.observe(agent, state)
        for result in results:
            if key not in self.remaining:
                break
            self.remaining[key] -= 1
            if result.status is not TaskStatus.SUCCEEDED:
                self._end(key, "failed")
            elif not self.remaining[key]:
                self._end(key, "complete")
        self.place_tasks()

    def on_refused(
        self,
        agent: _Agent,
        state: UpstreamState,
        key: str,
        indexes: tuple[int, ...],
        reason: Reason,
    ) -> None:
        now = self.cluster.now
        if key in self._unplaced:
            self._unplaced[key] += len(indexes)
        for index in indexes:
            self.scheduler.return_task(
                agent.executor.name, key, index, reason, now
            )
        self.observe(agent, state)
        self.place_tasks()

    def on_withdrawn(
        self,
        agent: _Agent,
        state: UpstreamState,
        key: str,
        indexes: tuple[int, ...],
    ) -> None:
        self.on_refused(agent, state, key, indexes, Reason.WITHDRAWN)

    def place_tasks(self) -> None:
        now = self.cluster.now
        assignments = self.scheduler.assign(now)
        for assignment in assignments:
            self._unplaced[assignment.key] -= len(assignment.indexes)
        unplaced = sum(self._unplaced.values())
        backlog = self.scheduler.is_backlogged(unplaced)
        for assignment in assignments:
            self._start(assignment, backlog)
        for withdrawal in self.scheduler.withdrawals(now):
            agent = self.cluster.agents[withdrawal.agent_id]
            self.cluster.send(
                self.zone,
                agent.executor.zone,
                agent.withdraw,
                self,
                withdrawal.key,
                withdrawal.indexes,
            )

    def _start(self, assignment: Assignment, backlog: bool) -> None:
        agent = self.cluster.agents[assignment.agent_id]
        key = assignment.key
        job = self.cluster.records[key].job
        deadline = job.arrives_at + job.body.timeout
        message = self.cluster.next_message_number()
        tasks = [
            _Task(key, index, job.works[index], self, message, deadline)
            for index in assignment.indexes
        ]
        self.cluster.send(
            self.zone, agent.executor.zone, agent.receive, self, tasks, backlog
        )

    def _expire(self, key: str) -> None:
        if key in self.remaining:
            self._end(key, "late")

    def _end(self, key: str, outcome: str) -> None:
        self.scheduler.remove_job(key, self.cluster.now)
        del self.remaining[key], self._unplaced[key]
        self._answer(key, outcome)

    def _answer(self, key: str, outcome: str) -> None:
        record = self.cluster.records[key]
        record.outcome = outcome
        record.answered_at = self.cluster.now + self.reply_delays.pop(key)
