"""Runs of an owner that may still be active."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from gypsumline.core.leases.fleet import AgentView
from gypsumline.core.leases.job import LeasedJob, PlacedRun, Task


class PlacedRuns:
    """Indexes runs by task and counts them by executor."""

    def __init__(self) -> None:
        self._runs: dict[str, PlacedRun] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        # Number of runs by submission key.
        self._job_counts: collections.Counter[str] = collections.Counter()

    def __iter__(self) -> Iterator[PlacedRun]:
        return iter(list(self._runs.values()))

    def __len__(self) -> int:
        return len(self._runs)

    def __contains__(self, task: str) -> bool:
        return task in self._runs

    def find(self, task: str) -> PlacedRun | None:
        """Returns the run of a task, or None."""
        return self._runs.get(task)

    def count_at(self, executor: str) -> int:
        """Returns the number of runs at an executor."""
        return self._counts[executor]

    def has_any_of(self, key: str) -> bool:
        """Returns whether any run of a submission may be active."""
        return key in self._job_counts

    def add(self, run: PlacedRun) -> None:
        """Adds a run; its task must not have another one."""
        self._runs[run.task.name] = run
        self._counts[run.executor] += 1
        self._job_counts[run.task.job.key] += 1

    def remove(self, run: PlacedRun) -> None:
        """Removes a run that has ended."""
        del self._runs[run.task.name]
        self._counts[run.executor] -= 1
        if not self._counts[run.executor]:
            del self._counts[run.executor]
        key = run.task.job.key
        self._job_counts[key] -= 1
        if not self._job_counts[key]:
            del self._job_counts[key]

    def without_other_suspects(
        self, job: LeasedJob, agents: list[AgentView]
    ) -> list[AgentView]:
        """Returns the agents without runs of another job that is suspect.

        A crash then shows which of them causes it.
        """
        taken = {
            run.agent.member_id
            for run in self._runs.values()
            if run.task.job.is_suspect and run.task.job is not job
        }
        return [view for view in agents if view.member.member_id not in taken]

    def for_isolated(
        self, job: LeasedJob, agents: list[AgentView], limit: int
    ) -> list[AgentView]:
        """Returns the agents for a strong suspect.

        Agents that have others, up to the limit, are used first: one crash
        then clears or convicts several jobs.
        """
        jobs: dict[str, set[str]] = collections.defaultdict(set)
        for run in self._runs.values():
            other = run.task.job
            if other.is_strong_suspect and other is not job:
                jobs[run.agent.member_id].add(other.key)
        counts = {view: len(jobs[view.member.member_id]) for view in agents}
        allowed = [view for view in agents if counts[view] < limit]
        return [view for view in allowed if counts[view]] or allowed

    def within_step_limit(
        self, task: Task, agents: list[AgentView]
    ) -> list[AgentView]:
        """Returns the agents below the task's limit of runs per executor."""
        limit = task.step.max_per_executor
        if not limit:
            return agents
        counts: collections.Counter[str] = collections.Counter(
            run.agent.member_id
            for run in self._runs.values()
            if run.task.job is task.job
            and run.task.step_index == task.step_index
        )
        return [
            view for view in agents if counts[view.member.member_id] < limit
        ]
