"""What a submission owner needs from a scheduler."""

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
    """Whether a job is admitted.

    Attributes:
      accepted: Whether the job runs.
      reason: Why it does not.
      detail: One sentence for people.
      retry_after: Seconds after which another try may succeed; 0 for never.
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
      candidates: Agents with a free place that were weighed.
    """

    agent_id: str
    key: str
    indexes: tuple[int, ...]
    reason: str = ""
    candidates: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Withdrawal:
    """Unstarted tasks of one job to take back from one agent.

    Attributes:
      agent_id: Member id of the agent.
      key: Submission key.
      indexes: Positions of the tasks in the job, in the order to start them.
      reason: Why they are taken back, for the log line.
    """

    agent_id: str
    key: str
    indexes: tuple[int, ...]
    reason: str = ""


class TaskScheduler(Protocol):
    """Decides on admission and on the agent of each task."""

    def set_record(self, record: ControlRecord, now: float) -> None:
        """Takes over a newer control record."""

    def observe_agent(
        self, agent: Member, state: UpstreamState, now: float
    ) -> None:
        """Takes in the state that an agent reports."""

    def remove_agent(self, agent_id: str, now: float) -> None:
        """Forgets an agent; it gets no work until it is observed again."""

    def admit(self, body: JobBody, now: float) -> Admission:
        """Decides on a whole job."""
        ...

    def add_job(
        self, key: str, body: JobBody, indexes: Sequence[int], now: float
    ) -> None:
        """Adds the unplaced tasks of an admitted job."""

    def remove_job(self, key: str, now: float) -> None:
        """Drops the unplaced tasks of a job that has ended."""

    def assign(self, now: float) -> list[Assignment]:
        """Returns the tasks to start now."""
        ...

    def is_backlogged(self, waiting: int) -> bool:
        """Returns whether waiting tasks need each slot as it gets free."""
        ...

    def withdrawals(self, now: float) -> list[Withdrawal]:
        """Returns the tasks to take back now."""
        ...

    def finish_task(
        self, agent_id: str, key: str, result: TaskResult, now: float
    ) -> None:
        """Takes in the result of a placed task."""

    def return_task(
        self, agent_id: str, key: str, index: int, reason: Reason, now: float
    ) -> None:
        """Takes back a placed task that has not started."""
