"""Tasks that are still at agents after their job was answered."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from gypsumline.core.identity import Member


@dataclasses.dataclass(slots=True)
class OrphanedTask:
    """A task whose result no caller waits for.

    Attributes:
      agent: The agent that it was placed at.
      attempt: Number of the placement.
      expires_at: `CLOCK_BOOTTIME` seconds after which it is forgotten.
    """

    agent: Member
    attempt: int
    expires_at: float


class OrphanedTasks:
    """Keeps the scheduler's count of used slots right after a job has ended."""

    def __init__(self) -> None:
        self._tasks: dict[str, dict[int, OrphanedTask]] = {}

    def __contains__(self, key: str) -> bool:
        return key in self._tasks

    def add(self, key: str, index: int, orphaned_task: OrphanedTask) -> None:
        """Adds a task that was placed when its job ended."""
        self._tasks.setdefault(key, {})[index] = orphaned_task

    def remove(self, key: str, index: int, agent: Member, attempt: int) -> bool:
        """Forgets a task that the agent has reported."""
        tasks = self._tasks.get(key, {})
        found = tasks.get(index)
        if found is None or found.attempt != attempt:
            return False
        if found.agent.member_id != agent.member_id:
            return False
        if found.agent.incarnation != agent.incarnation:
            return False
        del tasks[index]
        if not tasks:
            del self._tasks[key]
        return True

    def attempts_at(self, agent: Member) -> dict[str, dict[int, int]]:
        """Returns the attempts of an agent's tasks by key and index."""
        found: dict[str, dict[int, int]] = {}
        for key, tasks in self._tasks.items():
            for index, orphaned_task in tasks.items():
                if orphaned_task.agent == agent:
                    found.setdefault(key, {})[index] = orphaned_task.attempt
        return found

    def remove_older_incarnations(self, agent: Member) -> None:
        """Forgets the tasks of earlier incarnations of an agent."""
        self._pop_matching(
            lambda left: (
                left.agent.member_id == agent.member_id
                and left.agent.incarnation < agent.incarnation
            )
        )

    def pop_expired(self, now: float) -> list[tuple[str, int, OrphanedTask]]:
        """Returns and forgets tasks that no agent has reported in time."""
        return self._pop_matching(lambda left: left.expires_at <= now)

    def _pop_matching(
        self, matches: Callable[[OrphanedTask], bool]
    ) -> list[tuple[str, int, OrphanedTask]]:
        taken = [
            (key, index, left)
            for key, tasks in self._tasks.items()
            for index, left in tasks.items()
            if matches(left)
        ]
        for key, index, _ in taken:
            del self._tasks[key][index]
            if not self._tasks[key]:
                del self._tasks[key]
        return taken
