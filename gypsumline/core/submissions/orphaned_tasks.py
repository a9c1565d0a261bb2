"""Tasks that are still at agents after their job was answered."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from gypsumline.core.identity import Member


@dataclasses.dataclass(slots=True)
class OrphanedTask:
    """A task whose job has ended while it was placed at an agent.

    Attributes:
      agent: The agent that it was placed at.
      attempt: Number of the attempt.
      expires_at: `CLOCK_BOOTTIME` seconds after which it counts as lost.
    """

    agent: Member
    attempt: int
    expires_at: float


class OrphanedTasks:
    """Tasks that still use a slot of an agent after their job has ended.

    The scheduler counts their slots as used until an agent reports them or they
    expire.
    """

    def __init__(self) -> None:
        self._tasks: dict[str, dict[int, OrphanedTask]] = {}

    def __contains__(self, key: str) -> bool:
        return key in self._tasks

    def add(self, key: str, index: int, orphaned_task: OrphanedTask) -> None:
        """Adds a task that was placed when its job ended."""
        self._tasks.setdefault(key, {})[index] = orphaned_task

    def remove(self, key: str, index: int, agent: Member, attempt: int) -> bool:
        """Removes a task that its agent has reported.

        Returns:
          Whether the task was known under this agent incarnation and attempt.
        """
        tasks = self._tasks.get(key, {})
        task = tasks.get(index)
        if task is None or task.attempt != attempt:
            return False
        if task.agent.member_id != agent.member_id:
            return False
        if task.agent.incarnation != agent.incarnation:
            return False
        del tasks[index]
        if not tasks:
            del self._tasks[key]
        return True

    def attempts_at(self, agent: Member) -> dict[str, dict[int, int]]:
        """Returns the attempts of an agent's tasks by key and index."""
        attempts: dict[str, dict[int, int]] = {}
        for key, tasks in self._tasks.items():
            for index, orphaned_task in tasks.items():
                if orphaned_task.agent == agent:
                    attempts.setdefault(key, {})[index] = orphaned_task.attempt
        return attempts

    def remove_older_incarnations(self, agent: Member) -> None:
        """Removes the tasks at earlier incarnations of an agent."""
        self._pop_matching(
            lambda task: (
                task.agent.member_id == agent.member_id
                and task.agent.incarnation < agent.incarnation
            )
        )

    def pop_expired(self, now: float) -> list[tuple[str, int, OrphanedTask]]:
        """Removes and returns the tasks that no agent has reported in time."""
        return self._pop_matching(lambda task: task.expires_at <= now)

    def _pop_matching(
        self, matches: Callable[[OrphanedTask], bool]
    ) -> list[tuple[str, int, OrphanedTask]]:
        removed = [
            (key, index, task)
            for key, tasks in self._tasks.items()
            for index, task in tasks.items()
            if matches(task)
        ]
        for key, index, _ in removed:
            del self._tasks[key][index]
            if not self._tasks[key]:
                del self._tasks[key]
        return removed
