"""An owner's runs whose ends are not yet proven."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from gypsumline.core.leases.fleet import AgentView
from gypsumline.core.leases.job import PlacedRun, Task


class PlacedRuns:
    """Runs by task, and how many each executor has."""

    def __init__(self) -> None:
        self._runs: dict[str, PlacedRun] = {}
        self._counts: collections.Counter[str] = collections.Counter()

    def __iter__(self) -> Iterator[PlacedRun]:
        return iter(list(self._runs.values()))

    def __contains__(self, task: str) -> bool:
        return task in self._runs

    def find(self, task: str) -> PlacedRun | None:
        """Returns the run of a task."""
        return self._runs.get(task)

    def count_at(self, executor: str) -> int:
        """Returns how many runs an executor has."""
        return self._counts[executor]

    def add(self, run: PlacedRun) -> None:
        """Adds a run; its task has no other one."""
        self._runs[run.task.name] = run
        self._counts[run.executor] += 1

    def remove(self, run: PlacedRun) -> None:
        """Removes a run that has ended."""
        del self._runs[run.task.name]
        self._counts[run.executor] -= 1
        if not self._counts[run.executor]:
            del self._counts[run.executor]

    def within_step_limit(
        self, task: Task, agents: list[AgentView]
    ) -> list[AgentView]:
        """Leaves out agents with as many runs of the step as it allows."""
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
