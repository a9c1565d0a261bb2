"""Admission of leased jobs by the expected wait behind the backlog."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from gypsumline.core.leases.effects import JobEnded, JobOutcome
from gypsumline.core.leases.fleet import AgentView, Fleet
from gypsumline.core.leases.job import LeasedJob
from gypsumline.core.leases.owner_settings import LeasedOwnerSettings
from gypsumline.core.leases.placement import Placement

NO_EXECUTOR = "no executor takes runs"
CONFINED_AWAY = "executors of a queue under suspicion are away"
ISOLATED_AWAY = "executors kept for likely causes of a crash are away"
OPEN_AWAY = "executors outside those of a queue under suspicion are away"


class Backlog:
    """Compares the waiting work with the capacity that the owner can use."""

    def __init__(
        self,
        settings: LeasedOwnerSettings,
        fleet: Fleet,
        placement: Placement,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._placement = placement
        self._fastest_speed = 1.0

    def refusal(
        self,
        job: LeasedJob,
        waiting: Iterable[LeasedJob],
        agents: list[AgentView],
        now: float,
    ) -> JobEnded | None:
        """Returns the refusal of a job that cannot be served, or None.

        Args:
          job: The job.
          waiting: Waiting jobs that may use the same agents.
          agents: Agents that can be given runs of the job.
          now: Current time.
        """
        queue = job.request.queue
        waiting = list(waiting)
        if len(waiting) >= self._settings.jobs_limit:
            return self._refuse(job, "too many open jobs", 1.0)
        if not agents:
            return dataclasses.replace(
                self.refuse_without_agents(job, NO_EXECUTOR),
                outcome=JobOutcome.ELSEWHERE,
            )
        fastest_speed = self._fastest_speed
        sort_key = job.sort_key(now, fastest_speed)
        ahead = [
            other
            for other in waiting
            if other.request.queue.service == queue.service
            and other.sort_key(now, fastest_speed) <= sort_key
        ]
        if not ahead:
            return None
        wait = sum(map(self.pending_work, ahead)) / self._expected_capacity(
            agents
        )
        # Jobs of other owners compete for the same executors without being in
        # this backlog; the time that its own jobs have waited reflects them.
        wait = max(wait, now - min(other.received_at for other in ahead))
        if wait + job.longest_work / fastest_speed <= job.objective:
            return None
        if self._fits_now(job, agents):
            return None
        return self._refuse(job, "backlog", wait)

    def refuse_without_agents(
        self,
        job: LeasedJob,
        reason: str,
        wait: float | None = None,
    ) -> JobEnded:
        """Returns the refusal of a job whose agents are all away.

        Args:
          job: The job.
          reason: Short reason.
          wait: Seconds until an agent is expected back; None if unknown.
        """
        return self._refuse(job, reason, self.retry_after(job, wait))

    def would_end_too_late(self, job: LeasedJob, now: float) -> bool:
        """Returns whether a job started now would end too late to be useful."""
        latest_useful_end = (
            job.received_at + self._settings.late_factor * job.objective
        )
        return now + job.longest_work / self._fastest_speed > latest_useful_end

    def update_fastest_speed(self) -> None:
        """Updates the highest learned speed of the known executors."""
        self._fastest_speed = max(
            map(self._placement.speed, self._fleet), default=1.0
        )

    def sort_by_urgency(
        self, jobs: Iterable[LeasedJob], now: float
    ) -> list[LeasedJob]:
        """Returns waiting jobs in the order in which they are placed."""
        fastest_speed = self._fastest_speed
        return sorted(jobs, key=lambda job: job.sort_key(now, fastest_speed))

    def retry_after(self, job: LeasedJob, wait: float | None = None) -> float:
        """Returns the seconds after which a retry may succeed.

        Args:
          job: The job.
          wait: Seconds until there is room again; None if unknown.
        """
        return self._clamp_retry_after(job.objective if wait is None else wait)

    def _refuse(self, job: LeasedJob, reason: str, wait: float) -> JobEnded:
        return JobEnded(
            key=job.key,
            outcome=job.outcome_if_unfinished,
            reason=reason,
            retry_after=self._clamp_retry_after(wait),
        )

    def _clamp_retry_after(self, wait: float) -> float:
        settings = self._settings
        return min(
            max(wait, settings.retry_after_min), settings.retry_after_max
        )

    def _fits_now(self, job: LeasedJob, agents: list[AgentView]) -> bool:
        """Returns whether all tasks that are ready fit at once."""
        steps = list(job.ready_steps())
        largest = max(1, *(step.resources.processor for step, _ in steps))
        task_limit = sum(
            max(0, agent.free.processor) // largest for agent in agents
        )
        return task_limit >= sum(count for _, count in steps)

    def pending_work(self, job: LeasedJob) -> float:
        """Returns a job's waiting work, in processor-seconds at speed 1."""
        queue = job.request.queue
        return sum(
            count * self._placement.work(queue, step) * step.resources.processor
            for step, count in job.waiting_steps()
        )

    def _expected_capacity(self, agents: list[AgentView]) -> float:
        """Returns the capacity this owner can expect, at speed 1.

        Other owners are assumed to keep their current use, but this owner gets
        at least an equal share.

        Returns:
          Processor-seconds per second, at least 1.
        """
        total = 0.0
        for agent in agents:
            load = agent.load
            capacity = load.capacity.processor
            used_by_others = capacity - load.free.processor - load.yours
            usable = max(
                capacity - used_by_others, capacity / max(1, load.owners)
            )
            total += self._placement.speed(agent) * usable
        return max(total, 1.0)
