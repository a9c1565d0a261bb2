"""What a submission owner asks of the part that places its tasks."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from gypsumline.core.control import ControlRecord
from gypsumline.core.identity import Member
from gypsumline.core.messages import UpstreamState
from gypsumline.core.task import JobBody, Reason, TaskResult


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admission:
    """Whether a job may enter.

    Attributes:
      accepted: Whether all of its tasks may be placed.
      reason: Why not; NONE when accepted.
      detail: One sentence for people.
      retry_after: Seconds after which a new key may be admitted; 0 for never.
    """

    accepted: bool
    reason: Reason = Reason.NONE
    detail: str = ""
    retry_after: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """Tasks of one job that go to one agent now.

    Attributes:
      agent_id: Member id of the agent.
      key: Submission key.
      indexes: Positions of the tasks in the job, in the order to start them.
      reason: Policy or rule that chose the agent.
      candidates: Agents with a free place that were weighed.
    """

    agent_id: str
    key: str
    indexes: tuple[int, ...]
    reason: str
    candidates: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Withdrawal:
    """Tasks of one job to take back from one agent if they have not started.

    Attributes:
      agent_id: Member id of the agent.
      key: Submission key.
      indexes: Positions of the tasks in the job.
      reason: Rule that asks for it.
    """

    agent_id: str
    key: str
    indexes: tuple[int, ...]
    reason: str


class TaskScheduler(Protocol):
    """Decides admission, placement and withdrawal of one owner's tasks.

    All times are seconds of `CLOCK_BOOTTIME`.
    """

    def set_record(self, record: ControlRecord, now: float) -> None:
        """Takes a newer control record into force."""

    def observe_agent(
        self, agent: Member, state: UpstreamState, now: float
    ) -> None:
        """Takes a report of an agent, after the results sent with it."""

    def lose_agent(self, agent_id: str, now: float) -> None:
        """Forgets an agent that is gone or silent."""

    def admit(self, body: JobBody, now: float) -> Admission:
        """Returns whether a job may enter, without adding it."""

    def add_job(
        self, key: str, body: JobBody, indexes: tuple[int, ...], now: float
    ) -> None:
        """Adds the tasks of an admitted job that are to be placed."""

    def remove_job(self, key: str, now: float) -> None:
        """Drops the tasks of a job that are not placed."""

    def assign(self, now: float) -> list[Assignment]:
        """Places what can be placed now."""

    def withdrawals(self, now: float) -> list[Withdrawal]:
        """Returns the tasks to take back from their agents."""

    def finish_task(
        self, agent_id: str, key: str, result: TaskResult, now: float
    ) -> None:
        """Takes the result of a task that ran."""

    def return_task(
        self, agent_id: str, key: str, index: int, reason: Reason, now: float
    ) -> None:
        """Takes back a task that an agent refused or gave up unstarted."""
