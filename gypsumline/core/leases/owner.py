"""Admission, placement and completion of the leased jobs of one entry."""

from __future__ import annotations

import functools
import math
from collections.abc import Callable, Iterable

from gypsumline.core.effects import Decision, Effect, Send
from gypsumline.core.identity import Member
from gypsumline.core.leases.attempt_history import AttemptHistory
from gypsumline.core.leases.backlog import (
    CONFINED_AWAY,
    ISOLATED_AWAY,
    NO_EXECUTOR,
    OPEN_AWAY,
    Backlog,
)
from gypsumline.core.leases.capacity_requests import CapacityRequests
from gypsumline.core.leases.containment import Part, Pool
from gypsumline.core.leases.crash_history import job_key
from gypsumline.core.leases.crash_response import CrashResponse
from gypsumline.core.leases.effects import JobEnded, JobOutcome
from gypsumline.core.leases.fleet import AgentView, Fleet
from gypsumline.core.leases.health import ExecutorHealth
from gypsumline.core.leases.isolation import IsolationDetector
from gypsumline.core.leases.job import (
    JobRequest,
    LeasedJob,
    PlacedRun,
    Task,
    TaskPhase,
    new_job,
)
from gypsumline.core.leases.keeper_changes import KeeperChanges
from gypsumline.core.leases.keepers import KeeperList, RequestKeeperList
from gypsumline.core.leases.key_locks import KeyLocks
from gypsumline.core.leases.lock_messages import LockAnswers
from gypsumline.core.leases.messages import (
    ContactPing,
    ContactPong,
    ExecutorCrash,
    RunEnd,
    RunReport,
    RunReports,
    ZonesOut,
)
from gypsumline.core.leases.owner_effects import (
    abandoned_line,
    claims_message,
    ended_line,
    has_start_for,
    overdue_line,
    placed_line,
    refused_line,
    run_ended_line,
    start_message,
    stop_message,
    stop_runs,
)
from gypsumline.core.leases.owner_settings import LeasedOwnerSettings
from gypsumline.core.leases.placed_runs import PlacedRuns
from gypsumline.core.leases.placement import Choice, Placement
from gypsumline.core.leases.placement_pass import PlacementPass
from gypsumline.core.leases.settings import LeaseSettings
from gypsumline.core.leases.waiting_jobs import WaitingJobs
from gypsumline.core.placement.estimate import RunTimeEstimates
from gypsumline.core.placement.settings import PlacementSettings

# Added to the attempt number of a task when an executor rejects it as too low:
# an earlier owner of the same submission may have used several numbers.
ATTEMPT_STEP = 8
# Reason of a job that is refused while no lock can be had.
NO_KEEPERS = "too few agents in touch"
# Time for an agent to answer the request for the list of keepers.
KEEPERS_REQUEST_SECONDS = 0.3
# Reason of a job that is given up for the crashes under its tasks.
CRASHED_EXECUTORS = "executors crashed under a task"
_AWAY_REASONS = {
    Part.OPEN: OPEN_AWAY,
    Part.CONFINED: CONFINED_AWAY,
    Part.ISOLATED: ISOLATED_AWAY,
}
# Outcomes whose answers tell the caller when to retry.
_RETRYABLE_OUTCOMES = (
    JobOutcome.NOT_RUN,
    JobOutcome.ELSEWHERE,
    JobOutcome.EXPIRED,
)


class LeasedOwner:
    """Places the tasks of leased jobs and answers their callers.

    A task never has two runs at a time. It is placed again only after the end
    of its previous run was reported, or once the lease guarantees that the
    previous run has ended (`LeaseSettings.rerun_wait`).
    """

    def __init__(
        self,
        lease: LeaseSettings,
        settings: LeasedOwnerSettings,
        started_at: float = math.inf,
    ) -> None:
        self._lease = lease
        self._settings = settings
        self._estimates = RunTimeEstimates(settings.default_run_time)
        self._placement = Placement(settings, self._estimates)
        self._health = ExecutorHealth(PlacementSettings())
        self._fleet = Fleet(settings)
        self._jobs: dict[str, LeasedJob] = {}
        self._isolation = IsolationDetector(settings.isolation_limit)
        self._runs = PlacedRuns()
        self._locks = KeyLocks(
            lease, self._fleet, self._runs.has_any_of, started_at
        )
        self._keeper_changes = KeeperChanges(self._fleet, self._locks.views)
        self._keepers_asked_at = -math.inf
        self._attempts = AttemptHistory(settings.forget_after)
        self._crashes = CrashResponse(settings.crashes, self._fleet)
        self._containment = self._crashes.containment
        self._backlog = Backlog(settings, self._fleet, self._placement)
        self._waiting = WaitingJobs(self._backlog)
        self._zones_out = ZonesOut(version=-1, zones=())
        # Time at which that list was the newest one.
        self._zones_current_at = -math.inf

    @property
    def jobs(self) -> dict[str, LeasedJob]:
        """Open jobs by key."""
        return self._jobs

    @property
    def suspected_queues(self) -> dict[tuple[str, str], float]:
        """End of the suspicion by service and queue, for crashes."""
        return self._containment.suspected_queues

    @property
    def crashes(self) -> CrashResponse:
        """How jobs and queues that crash executors are treated."""
        return self._crashes

    @property
    def next_tick_in(self) -> float:
        """Seconds after which `tick` must be called again."""
        settings = self._settings
        is_at_rest = not self._jobs and not self._runs
        return (
            settings.rest_tick_interval
            if is_at_rest
            else settings.tick_interval
        )

    @property
    def has_runs(self) -> bool:
        """Whether any run may be active, also one of a job that has ended."""
        return len(self._runs) > 0

    def find_agent(self, agent: Member) -> AgentView | None:
        """Returns the view of an agent, or None if it is unknown."""
        return self._fleet.find(agent)

    def usable_agents(self, now: float) -> int:
        """Returns the number of agents that can be given runs."""
        return sum(self._fleet.is_usable(view, now) for view in self._fleet)

    def has_keepers(self, now: float) -> bool:
        """Returns whether the locks of new jobs can be had."""
        return self._locks.can_be_had(now)

    def pending_jobs(self, queue: str) -> int:
        """Returns the number of jobs of a queue that have not started."""
        return sum(
            not job.has_started and job.request.queue.name == queue
            for job in self._jobs.values()
        )

    # Requests of callers and operators.

    def submit(self, request: JobRequest, now: float) -> list[Effect]:
        """Admits or refuses a job, or joins it to the open job of its key."""
        earlier = self._jobs.get(request.key)
        if earlier is not None and earlier.service == request.queue.service:
            return []
        # An open job whose queue was moved restarts at the other service.
        effects = [] if earlier is None else self._remove_job(earlier, now)
        job = new_job(request, self._estimates, now)
        self._attempts.restore(job)
        if self._crashes.is_given_up(job):
            return effects + self._give_up(job, now)
        work = self._backlog.pending_work(job)
        self._containment.add_work(job, work, now)
        pool = self._containment.pool(job)
        refusal = self._refusal(job, pool, now)
        if refusal is not None:
            line = refused_line(refusal, job, len(self._waiting))
            return [*effects, refusal, line]
        self._jobs[job.key] = job
        self._waiting.add(job)
        effects += self._locks.request(job.key, now)
        # Only the new job is placed: the jobs ahead of it did not fit in the
        # latest pass.
        return effects + self._place_jobs([job], now)

    def _refusal(
        self, job: LeasedJob, pool: Pool, now: float
    ) -> JobEnded | None:
        reason = self._away_reason(pool, now)
        if reason:
            wait = self._crashes.return_in(pool, now)
            return self._backlog.refuse_without_agents(job, reason, wait)
        # Excluded zones and ejected executors may leave none just now.
        if self._locks.is_cut_off(now):
            return self._backlog.refuse_without_agents(job, NO_KEEPERS)
        agents = self._usable(pool, now, None) or self._containment.filter(
            pool, self._fleet.usable(pool.service, now)
        )
        return self._backlog.refusal(job, self._rivals(pool), agents, now)

    def _away_reason(self, pool: Pool, now: float) -> str:
        """Returns why the jobs of a pool are not to wait; "" if they are.

        All owners confine a queue to the same executors, so no other entry can
        serve a job whose part is away. An agent that is only paused takes runs
        again soon.
        """
        if not self._containment.is_part(pool):
            return ""
        reachable = self._fleet.reachable(pool.service, now)
        if not reachable or self._containment.filter(pool, reachable):
            return ""
        return _AWAY_REASONS[pool.part]

    def abandon(self, key: str, now: float) -> list[Effect]:
        """Drops a job whose last caller has disconnected and stops its runs."""
        job = self._jobs.get(key)
        if job is None:
            return []
        return [abandoned_line(job, now), *self._remove_job(job, now)]

    def cancel(self, key: str, now: float) -> list[Effect]:
        """Cancels a job and stops its runs."""
        job = self._jobs.get(key)
        if job is None:
            return []
        return self._end_job(job, JobOutcome.CANCELLED, "cancelled", now)

    def expire_all(self, reason: str, now: float) -> list[Effect]:
        """Ends all open jobs at the end of a planned stop."""
        effects: list[Effect] = []
        for job in list(self._jobs.values()):
            effects += self._end_unfinished(job, reason, now)
        return effects

    def set_zones_out(self, message: ZonesOut, now: float) -> list[Effect]:
        """Applies the list of excluded availability zones, unless stale."""
        if message.version <= self._zones_out.version:
            return []
        self._zones_out = message
        self._containment.set_zones_out(message.zones)
        sends: list[Effect] = [
            Send(to=view.member.member_id, message=message)
            for view in self._fleet
            if view.is_connected
        ]
        return sends + self.place_waiting(now)

    def record_zones_read(self, current_at: float) -> None:
        """Records that the newest list of excluded zones has been applied.

        Args:
          current_at: Time at which it was the newest one.
        """
        self._zones_current_at = max(self._zones_current_at, current_at)

    # Events and messages from agents.

    def on_connected(self, agent: Member, now: float) -> list[Effect]:
        """Handles a new stream: sends claimed runs and excluded zones."""
        view = self._fleet.connect(agent, now)
        claimed = [run for run in self._runs if run.agent == agent]
        name = view.member.member_id
        effects: list[Effect] = [
            Send(to=name, message=claims_message(claimed)),
            Send(to=name, message=self._zones_out),
        ]
        # Stops may have been lost with the previous stream.
        stopping = [run for run in claimed if run.is_stopping]
        return [*effects, stop_message(stopping)] if stopping else effects

    def on_disconnected(self, agent: Member, now: float) -> list[Effect]:
        """Handles the end of a stream; runs at the agent may continue."""
        view = self._fleet.find(agent)
        if view is None:
            return []
        view.is_connected = False
        view.changed_at = now
        self._locks.on_disconnected(view)
        return []

    def on_keepers(self, message: KeeperList, now: float) -> list[Effect]:
        """Applies a list of the agents that keep locks, unless it is stale."""
        return self._locks.apply_keepers(message, now)

    def on_lock_answers(
        self, agent: Member, message: LockAnswers, now: float
    ) -> list[Effect]:
        """Places the jobs whose locks were granted."""
        news = self._locks.on_answers(agent, message, now)
        for key in news.held:
            if key in self._jobs:
                self._jobs[key].may_have_run = True
        granted = [self._jobs[key] for key in news.granted if key in self._jobs]
        return news.effects + self._place_jobs(granted, now)

    def on_ping(
        self, agent: Member, message: ContactPing, now: float
    ) -> list[Effect]:
        """Applies the load of a ping; `answer_ping` follows later."""
        view = self._fleet.find(agent)
        if view is None:
            return []
        has_changed = self._update_load(view, message, now)
        view.record_version(message.keepers_version, message.answered)
        effects = self._locks.on_ping(view, message.keeps_locks, now)
        effects += self._request_keepers(view, now)
        # A placement pass for each ping would be too costly: all agents ping,
        # and most pings carry no change.
        return effects + self._place_at(view, now) if has_changed else effects

    def answer_ping(
        self, agent: Member, stamp: float, now: float
    ) -> list[Effect]:
        """Answers a ping, upon which the agent lets the owner's runs go on.

        All callers that had left when the ping was read must have been handled
        before: they may have sent their jobs to other entries since.
        """
        view = self._fleet.find(agent)
        if view is None or not view.is_connected:
            return []
        effects = self._stop_lapsed(now)
        view.record_answer(stamp, now)
        return [*effects, self._pong(view, now)]

    def on_reports(
        self, agent: Member, message: RunReports, now: float
    ) -> list[Effect]:
        """Handles ends of runs and places waiting tasks."""
        view = self._fleet.find(agent)
        if view is None:
            return []
        self._update_load(view, message, now)
        effects: list[Effect] = []
        for crash in message.crashes:
            effects += self._on_crash(crash, view.service, now, view)
        for report in message.reports:
            run = self._runs.find(report.task)
            is_known = run is not None and run.attempt == report.attempt
            if run is None or not is_known or run.agent != agent:
                continue
            self._runs.remove(run)
            effects += self._on_run_end(run, view, report, now)
        effects += self._place_at(view, now)
        if message.load.offered and not has_start_for(effects, agent):
            # Declines the offer, so that the agent asks another owner.
            effects.append(self._pong(view, now))
        return effects

    def restore_crashes(
        self, crashes: Iterable[tuple[str, ExecutorCrash]], now: float
    ) -> list[Effect]:
        """Counts crashes that may have been seen before this owner started.

        Args:
          crashes: Service and crash; known ones are counted once.
          now: Current time.
        """
        effects: list[Effect] = []
        for service, crash in crashes:
            effects += self._on_crash(crash, service, now)
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Ends overdue jobs, stops overdue runs and gives up lost ones."""
        effects: list[Effect] = [*self._crashes.update(self._jobs, now)]
        for run in self._runs:
            effects += self._check_run(run, now)
        is_isolated = self._isolation.check(self.usable_agents(now), now)
        away_reason = functools.cache(lambda pool: self._away_reason(pool, now))
        for job in list(self._jobs.values()):
            effects += self._check_job(job, is_isolated, away_reason, now)
        self._fleet.prune_silent(now, self._settings.forget_after)
        self._sync_health()
        self._attempts.expire(now)
        self._backlog.update_fastest_speed()
        effects += self._stop_lapsed(now)
        effects += self._locks.check(now)
        effects += self._keeper_changes.propose(now)
        return effects + self.place_waiting(now)

    def _stop_lapsed(self, now: float) -> list[Effect]:
        """Stops the runs of jobs whose lock another owner may be granted."""
        effects: list[Effect] = []
        for key in self._locks.take_lapsed(now):
            job = self._jobs.get(key)
            if job is not None:
                effects.append(self._locks.lapsed_line(key))
                effects += self._stop_runs_of(job)
        return effects

    def _request_keepers(self, view: AgentView, now: float) -> list[Effect]:
        """Requests the list of keepers from an agent that knows a newer one."""
        if view.keepers_version <= self._locks.views.newest_version:
            return []
        if now - self._keepers_asked_at < KEEPERS_REQUEST_SECONDS:
            return []
        self._keepers_asked_at = now
        name = view.member.member_id
        return [Send(to=name, message=RequestKeeperList())]

    def place_waiting(self, now: float) -> list[Effect]:
        """Places the waiting tasks that fit on some agent."""
        self._waiting.take_returned()
        return self._place_jobs(self._waiting.in_order(now), now)

    # Placement.

    def _place_at(self, view: AgentView, now: float) -> list[Effect]:
        """Places waiting tasks after a change at one agent.

        What did not fit elsewhere in the latest pass still does not, except for
        the tasks that have returned since.
        """
        fitting = self._waiting.in_order_if_fitting(view.free, now)
        effects = self._place_jobs(fitting, now, view)
        return effects + self._place_jobs(self._waiting.take_returned(), now)

    def _place_jobs(
        self, jobs: list[LeasedJob], now: float, view: AgentView | None = None
    ) -> list[Effect]:
        """Places the ready tasks of jobs, at one agent or at any."""
        if not jobs:
            return []
        this_pass = PlacementPass(lambda pool: self._usable(pool, now, view))
        effects: list[Effect] = []
        for job in jobs:
            pool = self._containment.pool(job)
            if this_pass.may_fit(pool, job.smallest_need):
                effects += self._place_job(job, pool, this_pass, now)
        if not this_pass.runs:
            return effects
        requests = self._capacity_requests(now)
        return effects + [
            start_message(runs, requests.find(runs[0].view))
            for runs in this_pass.runs
        ]

    def _place_job(
        self,
        job: LeasedJob,
        pool: Pool,
        this_pass: PlacementPass,
        now: float,
    ) -> list[Effect]:
        """Places the ready tasks of one job that fit."""
        if not self._locks.may_start(job.key, now):
            return []
        steps = [step for step, _ in job.ready_steps()]
        if not steps:
            self._waiting.discard(job)
            return []
        if all(this_pass.lacks_capacity(pool, s.resources) for s in steps):
            return []
        effects: list[Effect] = []
        is_pending = False
        for task in job.ready_tasks():
            line = self._place_ready(task, pool, this_pass, now)
            if line is None:
                is_pending = True
            else:
                effects.append(line)
        if not is_pending:
            self._waiting.discard(job)
        return effects

    def _place_ready(
        self, task: Task, pool: Pool, this_pass: PlacementPass, now: float
    ) -> Decision | None:
        """Places a task if an agent can run it."""
        step = task.step
        if task.name in self._runs:
            return None
        if this_pass.lacks_capacity(pool, step.resources):
            return None
        agents = self._runs.within_step_limit(task, this_pass.agents(pool))
        if pool.part is Part.ISOLATED:
            limit = self._settings.crashes.isolated_jobs
            agents = self._runs.for_isolated(task.job, agents, limit)
        elif task.job.is_suspect:
            agents = self._runs.without_other_suspects(task.job, agents)
        choice = self._placement.choose(task, agents, now)
        if choice is None:
            # A shortage found under placement constraints does not apply to
            # other tasks of this size.
            if (
                not step.required_label
                and not step.max_per_executor
                and not task.stalled_agent_id
                and not task.job.is_suspect
            ):
                this_pass.record_shortage(pool, step.resources)
            return None
        run = self._place_task(task, choice, now)
        if not self._may_start_run(choice.agent, now):
            this_pass.exclude(pool, choice.agent)
        this_pass.add(run)
        return placed_line(run, choice, now)

    def _rivals(self, pool: Pool) -> list[LeasedJob]:
        """Returns the waiting jobs that may use the agents of a pool."""
        waiting = self._waiting.values()
        return [job for job in waiting if self._containment.pool(job) is pool]

    def _usable(
        self, pool: Pool, now: float, only: AgentView | None
    ) -> list[AgentView]:
        """Returns the agents, or the given one, that can be given runs."""
        zones = self._zones_out.zones
        usable = [
            view
            for view in self._fleet.usable(pool.service, now, only)
            if view.member.availability_zone not in zones
            and self._may_start_run(view, now)
        ]
        return self._containment.filter(pool, usable)

    def _update_load(
        self,
        view: AgentView,
        message: ContactPing | RunReports,
        now: float,
    ) -> bool:
        """Applies a load; returns whether runs may fit that did not before."""
        was_unusable = not self._fleet.is_usable(view, now)
        is_new = view.load.executor != message.load.executor
        may_fit_more = view.update_load(message.load, now)
        self._crashes.on_load(view, now)
        if is_new:
            self._sync_health()
        return may_fit_more or was_unusable

    def _sync_health(self) -> None:
        self._health.set_executors(view.load.executor for view in self._fleet)

    def _may_start_run(self, view: AgentView, now: float) -> bool:
        name = view.load.executor
        return self._health.may_start_run(name, self._runs.count_at(name), now)

    def _place_task(self, task: Task, choice: Choice, now: float) -> PlacedRun:
        settings = self._settings
        task.attempt += 1
        task.job.set_phase(task, TaskPhase.PLACED)
        task.job.started_runs += 1
        limit = settings.overdue_factor * choice.run_time
        run = PlacedRun(
            task=task,
            attempt=task.attempt,
            view=choice.agent,
            executor=choice.agent.load.executor,
            resources=task.step.resources,
            order_number=choice.agent.add_order(task.step.resources, now),
            placed_at=now,
            overdue_at=now + limit + settings.overdue_extra,
        )
        self._runs.add(run)
        self._health.on_run_placed(run.executor)
        return run

    def _pong(self, view: AgentView, now: float) -> Send:
        request = self._capacity_requests(now).find(view)
        zones_age = max(0.0, now - self._zones_current_at)
        pong = ContactPong(
            stamp=view.stamp,
            wish=request,
            zones_age=zones_age if zones_age < math.inf else None,
            unlocked=self._locks.take_returned(view),
            unlocked_number=self._locks.number,
        )
        return Send(to=view.member.member_id, message=pong)

    def _capacity_requests(self, now: float) -> CapacityRequests:
        jobs = self._waiting.in_order(now)
        return CapacityRequests(jobs, self._containment, now)

    # Ends of runs.

    def _on_run_end(
        self, run: PlacedRun, view: AgentView, report: RunReport, now: float
    ) -> list[Effect]:
        task, job = run.task, run.task.job
        if report.end.rules_out_start:
            job.started_runs -= 1
        self._record_health(run, view, report, now)
        if report.end is RunEnd.DONE:
            self._estimates.learn(
                run.executor,
                job.request.queue.service,
                job.request.queue.name,
                task.step.run_time,
                report.run_time,
            )
        if self._jobs.get(job.key) is not job:
            self._requeue(task.name)
            return self._release_lock(job.key)
        if report.end is RunEnd.DONE:
            job.set_phase(task, TaskPhase.DONE)
            if job.is_done:
                return self._end_job(job, JobOutcome.COMPLETED, "", now)
            if job.is_step_done(task.step_index):
                self._waiting.add_returned(job)
            return []
        if report.end is RunEnd.FAILED:
            task.failures += 1
            if task.failures >= job.request.queue.attempts:
                reason = "a task failed as often as it may"
                line = run_ended_line(run, report, now)
                return [
                    line,
                    *self._end_job(job, JobOutcome.FAILED, reason, now),
                ]
        if report.end is RunEnd.OLD_ATTEMPT:
            task.attempt += ATTEMPT_STEP
        job.set_phase(task, TaskPhase.WAITING)
        self._waiting.add_returned(job)
        return [run_ended_line(run, report, now)]

    def _requeue(self, name: str) -> None:
        """Requeues the open job whose task waited for an earlier run."""
        job = self._jobs.get(job_key(name))
        if job is not None:
            self._waiting.add_returned(job)

    def _record_health(
        self, run: PlacedRun, view: AgentView, report: RunReport, now: float
    ) -> None:
        key = run.task.job.key
        if report.end is RunEnd.DONE:
            self._health.record_success(run.executor, now)
        elif report.end is RunEnd.FAILED:
            self._health.record_failure(run.executor, key, now)
        else:
            self._health.record_unknown(run.executor, key, now)
        if report.end is RunEnd.REFUSED:
            pause = self._settings.refusal_pause
            view.paused_until = max(view.paused_until, now + pause)

    def _check_run(self, run: PlacedRun, now: float) -> list[Effect]:
        last_contact = max(run.view.ping_answered_at, run.placed_at)
        if now > last_contact + self._lease.rerun_wait:
            self._runs.remove(run)
            report = RunReport(
                task=run.task.name, attempt=run.attempt, end=RunEnd.LOST
            )
            # The start may still be delivered after a network partition.
            return [stop_message([run]), *self._on_run_lost(run, report, now)]
        if now < run.overdue_at or run.is_stopping:
            return []
        run.task.stalled_agent_id = run.agent.member_id
        self._health.record_failure(run.executor, run.task.job.key, now)
        return [overdue_line(run, now), *stop_runs([run])]

    def _on_run_lost(
        self, run: PlacedRun, report: RunReport, now: float
    ) -> list[Effect]:
        job = run.task.job
        self._crashes.on_run_lost(run.task.name)
        if self._jobs.get(job.key) is job:
            job.set_phase(run.task, TaskPhase.WAITING)
            self._waiting.add_returned(job)
        else:
            self._requeue(run.task.name)
        line = run_ended_line(run, report, now)
        return [line, *self._release_lock(job.key)]

    def _on_crash(
        self,
        crash: ExecutorCrash,
        service: str,
        now: float,
        view: AgentView | None = None,
    ) -> list[Effect]:
        """Blames the jobs that were there and gives up those that caused it."""
        lines, given_up = self._crashes.on_crash(
            crash, service, self._jobs, now, view
        )
        effects: list[Effect] = [*lines]
        for job in given_up:
            effects += self._give_up(job, now)
        return effects

    def _give_up(self, job: LeasedJob, now: float) -> list[Effect]:
        return [
            self._crashes.on_given_up(job, now),
            *self._end_job(job, JobOutcome.FAILED, CRASHED_EXECUTORS, now),
        ]

    # Ends of jobs.

    def _check_job(
        self,
        job: LeasedJob,
        is_isolated: bool,
        away_reason: Callable[[Pool], str],
        now: float,
    ) -> list[Effect]:
        if is_isolated:
            return self._end_job(job, JobOutcome.ELSEWHERE, NO_EXECUTOR, now)
        if now >= job.expires_at:
            return self._end_unfinished(job, "time limit reached", now)
        if job not in self._waiting:
            return []
        pool = self._containment.pool(job)
        if job.has_started:
            return self._check_isolated(job, pool, now)
        reason = away_reason(pool)
        if reason:
            wait = self._crashes.return_in(pool, now)
            outcome = job.outcome_if_unfinished
            return self._end_job(job, outcome, reason, now, wait)
        if not self._backlog.would_end_too_late(job, now):
            return []
        return self._end_unfinished(job, "no room in time", now)

    def _check_isolated(
        self, job: LeasedJob, pool: Pool, now: float
    ) -> list[Effect]:
        """Ends a strong suspect whose result is no longer useful."""
        is_useless = self._backlog.would_end_too_late(job, now)
        if pool.part is not Part.ISOLATED or not is_useless:
            return []
        return self._end_unfinished(job, ISOLATED_AWAY, now)

    def _end_unfinished(
        self, job: LeasedJob, reason: str, now: float
    ) -> list[Effect]:
        return self._end_job(job, job.outcome_if_unfinished, reason, now)

    def _end_job(
        self,
        job: LeasedJob,
        outcome: JobOutcome,
        reason: str,
        now: float,
        wait: float | None = None,
    ) -> list[Effect]:
        retry_after = 0.0
        if outcome in _RETRYABLE_OUTCOMES:
            retry_after = self._backlog.retry_after(job, wait)
        ended = JobEnded(
            key=job.key,
            outcome=outcome,
            reason=reason,
            retry_after=retry_after,
        )
        line = ended_line(ended, job, now)
        is_completed = outcome is JobOutcome.COMPLETED
        return [ended, line, *self._remove_job(job, now, is_completed)]

    def _remove_job(
        self, job: LeasedJob, now: float, is_completed: bool = False
    ) -> list[Effect]:
        self._attempts.record(job, now)
        self._jobs.pop(job.key, None)
        self._waiting.discard(job)
        stops = self._stop_runs_of(job)
        return stops + self._release_lock(job.key, at_once=not is_completed)

    def _stop_runs_of(self, job: LeasedJob) -> list[Effect]:
        latest_runs = [self._runs.find(task.name) for task in job.tasks]
        return stop_runs(
            [r for r in latest_runs if r is not None and r.task.job is job]
        )

    def _release_lock(self, key: str, at_once: bool = True) -> list[Effect]:
        """Returns the lock on a key once nothing of its job is left."""
        if key in self._jobs or self._runs.has_any_of(key):
            return []
        return self._locks.release(key, at_once)
