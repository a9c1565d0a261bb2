"""Interface of the scheduler that a submission owner uses."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from typing import Protocol

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.identity import Member
from gypsumline.core.messages import UpstreamState
from gypsumline.core.task import JobBody, Reason, TaskResult


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admission:
    """Decision on the admission of a job.

    Attributes:
      accepted: Whether the job is admitted.
      reason: Reason of a refusal.
      detail: Description of a refusal for the caller.
      retry_after: Seconds after which a retry may succeed; 0 for never.
    """

    accepted: bool
    reason: Reason = Reason.NONE
    detail: str = ""
    retry_after: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """Tasks of one job that go to one agent.

    Attributes:
      agent_id: Member id of the agent.
      key: Submission key.
      indexes: Positions of the tasks in the job, in the order to start them.
      reason: Why this agent was chosen, for the log line.
      candidates: Number of agents with a free slot that were considered.
    """

    agent_id: str
    key: str
    indexes: tuple[int, ...]
    reason: str = ""
    candidates: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Withdrawal:
    """Unstarted tasks of one job to withdraw from one agent.

    Attributes:
      agent_id: Member id of the agent.
      key: Submission key.
      indexes: Positions of the tasks in the job, in the order to start them.
      reason: Why they are withdrawn, for the log line.
    """

    agent_id: str
    key: str
    indexes: tuple[int, ...]
    reason: str = ""


class TaskScheduler(Protocol):
    """Decides on the admission of jobs and on the agent of each task."""

    def set_record(self, record: ControlRecord, now: float) -> None:
        """Applies a newer control record."""

    def observe_agent(
        self, agent: Member, state: UpstreamState, now: float
    ) -> None:
        """Records the state that an agent reports."""

    def remove_agent(self, agent_id: str, now: float) -> None:
        """Removes an agent, which gets no tasks until it is observed again."""

    def admit(self, body: JobBody, now: float) -> Admission:
        """Admits or refuses a whole job."""
        ...

    def add_job(
        self, key: str, body: JobBody, indexes: Sequence[int], now: float
    ) -> None:
        """Adds the unplaced tasks of an admitted job."""

    def remove_job(self, key: str, now: float) -> None:
        """Removes the unplaced tasks of a job that has ended."""

    def assign(self, now: float) -> list[Assignment]:
        """Returns the tasks to start now."""
        ...

    def is_backlogged(self, waiting: int) -> bool:
        """Returns whether each slot is needed as soon as it becomes free.

        Args:
          waiting: Number of tasks that wait to be placed.
        """
        ...

    def withdrawals(self, now: float) -> list[Withdrawal]:
        """Returns the placed tasks to withdraw now."""
        ...

    def finish_task(
        self, agent_id: str, key: str, result: TaskResult, now: float
    ) -> None:
        """Records the result of a placed task."""

    def return_task(
        self, agent_id: str, key: str, index: int, reason: Reason, now: float
    ) -> None:
        """Makes a placed task that has not started unplaced again."""
