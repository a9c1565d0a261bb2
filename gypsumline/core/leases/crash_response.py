"""How an owner treats jobs and queues that crash executors."""

from __future__ import annotations

from collections.abc import Mapping

from gypsumline.core.effects import Decision, Effect
from gypsumline.core.leases.containment import Containment, Pool
from gypsumline.core.leases.crash_history import CrashHistory, Verdict
from gypsumline.core.leases.crash_settings import CrashSettings
from gypsumline.core.leases.crash_status import (
    GivenUpJob,
    GivenUpJobs,
    SuspectedQueue,
)
from gypsumline.core.leases.downtime import ExecutorDowntime
from gypsumline.core.leases.effects import QueueBlamed
from gypsumline.core.leases.fleet import AgentView, Fleet
from gypsumline.core.leases.job import LeasedJob
from gypsumline.core.leases.messages import ExecutorCrash
from gypsumline.core.leases.owner_effects import crash_line, suspicion_line


class CrashResponse:
    """Judges jobs by the crashes under their tasks, and confines queues."""

    def __init__(self, settings: CrashSettings, fleet: Fleet) -> None:
        self._settings = settings
        self._history = CrashHistory(settings)
        self._containment = Containment(settings, fleet)
        # Time, service and crash of those told before any executor was known.
        self._early_crashes: list[tuple[float, str, ExecutorCrash]] = []
        self._downtime = ExecutorDowntime(settings.return_limit)
        self._given_up = GivenUpJobs(
            settings.max_given_up, settings.given_up_memory
        )

    @property
    def containment(self) -> Containment:
        """Agents that jobs may use."""
        return self._containment

    def is_given_up(self, job: LeasedJob) -> bool:
        """Returns whether no task of a job may start any more.

        Also updates whether the job is a suspect, and a strong one.
        """
        verdict = Verdict.CLEAR
        blame = 0.0
        if self._history:
            verdict = self._history.verdict(task.name for task in job.tasks)
            blame = self._history.blame(task.name for task in job.tasks)
        job.is_strong_suspect = blame >= self._settings.strong_blame
        job.is_suspect = verdict is Verdict.SUSPECT
        return verdict is Verdict.GIVEN_UP

    def on_crash(
        self,
        crash: ExecutorCrash,
        service: str,
        jobs: Mapping[str, LeasedJob],
        now: float,
        view: AgentView | None = None,
    ) -> tuple[list[Effect], list[LeasedJob]]:
        """Counts a crash, unless it is known already.

        Args:
          crash: The crash.
          service: Service of the executor.
          jobs: Open jobs by key.
          now: Current time.
          view: The agent beside the executor, if it told the crash.

        Returns:
          Log lines and counts, and the open jobs to be given up.
        """
        blame = self._history.add(crash, now)
        if not blame:
            return [], []
        is_isolating = crash.seconds_ago <= self._settings.isolation_time
        if is_isolating and max(blame.values()) >= self._settings.strong_blame:
            self._containment.isolate(service, now)
        if view is not None and not view.load.taking:
            at = now - crash.seconds_ago
            self._downtime.on_crash(view.member.member_id, at)
        lines: list[Effect] = [crash_line(crash, blame, self._history)]
        for queue in sorted(self._history.causes(crash)):
            lines.append(
                QueueBlamed(service=service, queue=queue, is_given_up=False)
            )
        lines += self._confine(crash, service, now - crash.seconds_ago, now)
        found = [jobs[key] for key in blame if key in jobs]
        return lines, [job for job in found if self.is_given_up(job)]

    def _confine(
        self, crash: ExecutorCrash, service: str, crashed_at: float, now: float
    ) -> list[Decision]:
        """Confines the queues whose jobs caused a recent crash.

        What share of the executors has crashed is not known to an owner that
        has just started, so it confines them once it knows some.
        """
        if now - crashed_at > self._settings.suspicion_time:
            return []
        if not self._containment.has_executors(service, now):
            self._early_crashes.append((crashed_at, service, crash))
            return []
        lines: list[Decision] = []
        for queue in sorted(self._history.causes(crash)):
            if self._containment.suspect(service, queue, self._history, now):
                lines.append(suspicion_line("queue_suspected", service, queue))
        return lines

    def on_run_lost(self, task: str) -> None:
        """Notes a run that was lost together with its agent."""
        self._history.add_lost_run(task)

    def on_load(self, view: AgentView, now: float) -> None:
        """Learns from an agent whose executor is back after a crash."""
        if view.load.taking:
            self._downtime.on_return(view.member.member_id, now)

    def return_in(self, pool: Pool, now: float) -> float | None:
        """Returns the seconds until an agent of a pool is back, if known."""
        agents = self._containment.agents_of(pool)
        return self._downtime.return_in(agents, now)

    def on_given_up(self, job: LeasedJob, now: float) -> QueueBlamed:
        """Lists a job as given up and returns its count."""
        queue = job.request.queue.name
        self._given_up.add(
            GivenUpJob(
                job=job.key,
                service=job.service,
                queue=queue,
                since=now,
                crashes=self._history.crashes(t.name for t in job.tasks),
            )
        )
        return QueueBlamed(service=job.service, queue=queue, is_given_up=True)

    def given_up_jobs(self, now: float) -> list[GivenUpJob]:
        """Returns the jobs that were given up, oldest first."""
        return self._given_up.recent(now)

    def suspected_queues(self, now: float) -> list[SuspectedQueue]:
        """Returns the queues under suspicion."""
        since = self._containment.suspected_since
        start = now - self._settings.suspicion_time
        return [
            SuspectedQueue(
                service=service,
                queue=queue,
                since=since[service, queue],
                until=until,
                blame=self._history.queue_blame(queue, start),
            )
            for (service, queue), until in sorted(
                self._containment.suspected_queues.items()
            )
        ]

    def update(
        self, jobs: Mapping[str, LeasedJob], now: float
    ) -> list[Decision]:
        """Forgets old crashes; returns the lines of queues whose state changed.

        Args:
          jobs: Open jobs by key.
          now: Current time.
        """
        self._history.expire(now, jobs)
        self._downtime.expire(now)
        lines: list[Decision] = []
        early, self._early_crashes = self._early_crashes, []
        for crashed_at, service, crash in early:
            lines += self._confine(crash, service, crashed_at, now)
        return lines + [
            suspicion_line("queue_cleared", service, queue)
            for service, queue in self._containment.update(now)
        ]
