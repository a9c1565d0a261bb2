"""How an owner treats jobs and queues that crash executors."""

from __future__ import annotations

from collections.abc import Mapping

from gypsumline.core.effects import Decision
from gypsumline.core.leases.containment import Containment
from gypsumline.core.leases.crash_history import CrashHistory, Verdict
from gypsumline.core.leases.crash_settings import CrashSettings
from gypsumline.core.leases.fleet import Fleet
from gypsumline.core.leases.job import LeasedJob
from gypsumline.core.leases.messages import ExecutorCrash
from gypsumline.core.leases.owner_effects import crash_line, suspicion_line


class CrashResponse:
    """Judges jobs by the crashes under their tasks, and confines queues."""

    def __init__(self, settings: CrashSettings, fleet: Fleet) -> None:
        self._history = CrashHistory(settings)
        self._containment = Containment(settings, fleet)
        self._suspicion_time = settings.suspicion_time
        # Time, service and crash of those told before any executor was known.
        self._early_crashes: list[tuple[float, str, ExecutorCrash]] = []

    @property
    def containment(self) -> Containment:
        """Agents that jobs may use."""
        return self._containment

    def is_given_up(self, job: LeasedJob) -> bool:
        """Returns whether no task of a job may start any more.

        Also updates whether the job is a suspect.
        """
        verdict = Verdict.CLEAR
        if self._history:
            verdict = self._history.verdict(task.name for task in job.tasks)
        job.is_suspect = verdict is Verdict.SUSPECT
        return verdict is Verdict.GIVEN_UP

    def on_crash(
        self,
        crash: ExecutorCrash,
        service: str,
        jobs: Mapping[str, LeasedJob],
        now: float,
    ) -> tuple[list[Decision], list[LeasedJob]]:
        """Counts a crash, unless it is known already.

        Args:
          crash: The crash.
          service: Service of the executor.
          jobs: Open jobs by key.
          now: Current time.

        Returns:
          Log lines, and the open jobs to be given up.
        """
        blame = self._history.add(crash, now)
        if not blame:
            return [], []
        lines = [crash_line(crash, blame, self._history)]
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
        if now - crashed_at > self._suspicion_time:
            return []
        if not self._containment.has_executors(service):
            self._early_crashes.append((crashed_at, service, crash))
            return []
        lines = []
        for queue in sorted(self._history.causes(crash)):
            if self._containment.suspect(service, queue, self._history, now):
                lines.append(suspicion_line("queue_suspected", service, queue))
        return lines

    def on_run_lost(self, task: str) -> None:
        """Notes a run that was lost together with its agent."""
        self._history.add_lost_run(task)

    def update(
        self, jobs: Mapping[str, LeasedJob], now: float
    ) -> list[Decision]:
        """Forgets old crashes; returns the lines of queues whose state changed.

        Args:
          jobs: Open jobs by key.
          now: Current time.
        """
        self._history.expire(now, jobs)
        lines = []
        early, self._early_crashes = self._early_crashes, []
        for crashed_at, service, crash in early:
            lines += self._confine(crash, service, crashed_at, now)
        return lines + [
            suspicion_line("queue_cleared", service, queue)
            for service, queue in self._containment.update(now)
        ]
