"""One job at its owner."""

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
    """What the owner knows of one task."""

    UNPLACED = 0  # not placed; every earlier attempt provably never starts
    PLACED = 1  # at an agent; may have started
    SUCCEEDED = 2  # succeeded


class Job:
    """State of one job's tasks, from its admission to its answer.

    A task is either waiting, placed at one agent under its newest attempt, or
    done. Any other end of a task ends the job, so an answer is never partial.

    Attributes:
      key: Submission key.
      digest: Digest of the body.
      body: The submission.
      deadline: `CLOCK_BOOTTIME` seconds.
      payload_bytes: Bytes of the payloads.
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
        """Whether no task has started and none can start."""
        return not (
            self._placed_count or self._succeeded_count or self.may_have_run
        )

    @property
    def unplaced_count(self) -> int:
        """Number of tasks that may be placed."""
        return len(self._phases) - self._placed_count - self._succeeded_count

    @property
    def placed_count(self) -> int:
        """Number of tasks that are at an agent."""
        return self._placed_count

    @property
    def succeeded_count(self) -> int:
        """Number of tasks that have succeeded."""
        return self._succeeded_count

    def add_waiter(self, origin: str, request_id: int) -> None:
        """Adds a caller that waits for the answer, once."""
        waiter = (origin, request_id)
        if waiter not in self.waiters:
            self.waiters.append(waiter)

    def is_unplaced(self, index: int) -> bool:
        """Whether a task may be placed."""
        return self._phases[index] is TaskPhase.UNPLACED

    def place(self, index: int, agent: Member) -> int:
        """Places a waiting task and returns the number of the attempt."""
        attempt = self.attempts[index] + 1
        self.set_placement(index, agent, attempt)
        return attempt

    def set_placement(self, index: int, agent: Member, attempt: int) -> None:
        """Takes over a task that is at an agent under an earlier owner."""
        self.attempts[index] = attempt
        self._phases[index] = TaskPhase.PLACED
        self._agents[index] = agent
        self._placed_count += 1

    def is_placed_at(self, index: int, agent: Member, attempt: int) -> bool:
        """Whether a task is at this incarnation under this attempt."""
        if not 0 <= index < len(self._phases):
            return False
        place = self._agents[index]
        return (
            place is not None
            and self.attempts[index] == attempt
            and place.incarnation == agent.incarnation
            and place.member_id == agent.member_id
        )

    def agent_of(self, index: int) -> Member | None:
        """Returns the agent that a task is at."""
        return self._agents[index]

    def clear_placement(self, index: int) -> None:
        """Takes back a placed task whose attempt never starts."""
        self._phases[index] = TaskPhase.UNPLACED
        self._agents[index] = None
        self._placed_count -= 1

    def record_success(self, index: int, result: TaskResult) -> None:
        """Keeps the successful result of a task."""
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
        for index, place in enumerate(self._agents):
            if place is not None:
                yield index, place

    @property
    def exceeds_result_limit(self) -> bool:
        """Whether the results don't fit into one answer."""
        return self.results_bytes > JOB_RESULTS_BYTES_MAX

    def final_answer(self) -> JobAnswer:
        """Returns the answer of a job whose results are complete or too large.

        A complete one has all results in index order.
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
