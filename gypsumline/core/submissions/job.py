"""State of a job at its owner."""

from __future__ import annotations

import enum
from collections.abc import Iterator

from gypsumline.core.identity import Member
from gypsumline.core.task import (
    JOB_RESULTS_BYTES_MAX,
    RESULT_OVERHEAD_BYTES,
    JobAnswer,
    JobBody,
    Outcome,
    Reason,
    TaskResult,
)


class TaskPhase(enum.IntEnum):
    """Phase of one task, as its owner knows it."""

    UNPLACED = 0  # earlier attempts can start only if the job is repeatable
    PLACED = 1  # sent to an agent; may have started
    SUCCEEDED = 2


class Job:
    """State of one job's tasks, from its admission to its answer.

    A task is either unplaced, placed at one agent under its newest attempt, or
    succeeded. Any other end of a task ends the job, so an answer is never
    partial.

    Attributes:
      key: Submission key.
      digest: Digest of the body.
      body: The submission.
      deadline: `CLOCK_BOOTTIME` seconds.
      payload_bytes: Bytes of the payloads of all tasks.
      waiters: (origin, request id) of the callers that wait for the answer.
      attempts: Newest attempt of each task, 0 before the first.
      may_have_run: Whether some task is known to have started.
      cancelling: Whether a caller has cancelled the job.
      results_bytes: Bytes that the results take in an answer.
    """

    __slots__ = (
        "_agents",
        "_phases",
        "_placed_count",
        "_results",
        "_succeeded_count",
        "attempts",
        "body",
        "cancelling",
        "deadline",
        "digest",
        "key",
        "may_have_run",
        "payload_bytes",
        "results_bytes",
        "waiters",
    )

    def __init__(
        self, key: str, digest: bytes, body: JobBody, deadline: float
    ) -> None:
        count = len(body.tasks)
        self.key = key
        self.digest = digest
        self.body = body
        self.deadline = deadline
        self.payload_bytes = sum([len(task.payload) for task in body.tasks])
        self.waiters: list[tuple[str, int]] = []
        self.attempts = [0] * count
        self.may_have_run = False
        self.cancelling = False
        self.results_bytes = 0
        self._phases = [TaskPhase.UNPLACED] * count
        self._agents: list[Member | None] = [None] * count
        self._results: list[TaskResult | None] = [None] * count
        self._placed_count = 0
        self._succeeded_count = 0

    @property
    def is_complete(self) -> bool:
        """Whether every task has succeeded."""
        return self._succeeded_count == len(self._phases)

    @property
    def is_unstarted(self) -> bool:
        """Whether no task has started and no placed task can start."""
        return not (
            self._placed_count or self._succeeded_count or self.may_have_run
        )

    @property
    def unplaced_count(self) -> int:
        """Number of tasks that wait to be placed."""
        return len(self._phases) - self._placed_count - self._succeeded_count

    @property
    def placed_count(self) -> int:
        """Number of tasks that are placed at an agent."""
        return self._placed_count

    @property
    def succeeded_count(self) -> int:
        """Number of tasks that have succeeded."""
        return self._succeeded_count

    def add_waiter(self, origin: str, request_id: int) -> None:
        """Adds a caller that waits for the answer, at most once."""
        waiter = (origin, request_id)
        if waiter not in self.waiters:
            self.waiters.append(waiter)

    def is_unplaced(self, index: int) -> bool:
        """Whether a task waits to be placed."""
        return self._phases[index] is TaskPhase.UNPLACED

    def place(self, index: int, agent: Member) -> int:
        """Places an unplaced task and returns the number of the attempt."""
        attempt = self.attempts[index] + 1
        self.set_placement(index, agent, attempt)
        return attempt

    def set_placement(self, index: int, agent: Member, attempt: int) -> None:
        """Records that a task is placed at an agent under an attempt."""
        self.attempts[index] = attempt
        self._phases[index] = TaskPhase.PLACED
        self._agents[index] = agent
        self._placed_count += 1

    def is_placed_at(self, index: int, agent: Member, attempt: int) -> bool:
        """Whether a task is placed at this agent incarnation and attempt."""
        if not 0 <= index < len(self._phases):
            return False
        placed_at = self._agents[index]
        return (
            placed_at is not None
            and self.attempts[index] == attempt
            and placed_at.incarnation == agent.incarnation
            and placed_at.member_id == agent.member_id
        )

    def agent_of(self, index: int) -> Member | None:
        """Returns the agent that a task is placed at, or None."""
        return self._agents[index]

    def clear_placement(self, index: int) -> None:
        """Makes a placed task unplaced again.

        The caller has made sure that the attempt can no longer start or has
        recorded that it may have run.
        """
        self._phases[index] = TaskPhase.UNPLACED
        self._agents[index] = None
        self._placed_count -= 1

    def record_success(self, index: int, result: TaskResult) -> None:
        """Records the successful result of a task."""
        if self._agents[index] is not None:
            self._agents[index] = None
            self._placed_count -= 1
        self._phases[index] = TaskPhase.SUCCEEDED
        self._results[index] = result
        self._succeeded_count += 1
        self.results_bytes += result.size

    def placed_tasks(self) -> Iterator[tuple[int, Member]]:
        """Yields the index and the agent of each placed task."""
        if not self._placed_count:
            return
        for index, agent in enumerate(self._agents):
            if agent is not None:
                yield index, agent

    @property
    def exceeds_result_limit(self) -> bool:
        """Whether the results are too large for one answer."""
        return self.results_bytes > JOB_RESULTS_BYTES_MAX

    def final_answer(self) -> JobAnswer:
        """Returns the answer of a job whose results are complete or too large.

        A complete answer has all results in index order.
        """
        if self.exceeds_result_limit:
            detail = (
                f"results take {self.results_bytes} bytes, with "
                f"{RESULT_OVERHEAD_BYTES} for each task; allowed: up to "
                f"{JOB_RESULTS_BYTES_MAX}"
            )
            return JobAnswer(
                outcome=Outcome.FAILED_RAN,
                reason=Reason.RESULT_TOO_LARGE,
                detail=detail,
            )
        results = tuple(r for r in self._results if r is not None)
        return JobAnswer(outcome=Outcome.COMPLETE, results=results)
