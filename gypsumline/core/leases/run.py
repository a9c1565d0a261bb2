"""A run at an executor, as tracked by its agent."""

from __future__ import annotations

import dataclasses
import enum
import math

from gypsumline.core.identity import Member
from gypsumline.core.leases.effects import OrderAnswer
from gypsumline.core.leases.messages import RunEnd, RunOrder

# Outcomes named by executors; with any other word the result is unknown.
RUN_ENDS = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
}
START_REFUSALS = {
    OrderAnswer.OLD: RunEnd.OLD_ATTEMPT,
    OrderAnswer.LATE: RunEnd.NOT_TAKEN,
    OrderAnswer.REFUSED: RunEnd.REFUSED,
    OrderAnswer.NO_LISTENER: RunEnd.REFUSED,
    OrderAnswer.UNSENT: RunEnd.NO_ROOM,
    OrderAnswer.OTHER_EXECUTOR: RunEnd.NOT_TAKEN,
}


class RunState(enum.Enum):
    """Progress of a run at the executor."""

    STARTING = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()


@dataclasses.dataclass(slots=True)
class Run:
    """A run that holds resources.

    Attributes:
      owner: Entry that ordered it.
      order: The owner's order.
      spec: Specification that the executor runs.
      queue: Name of the queue, as its owner gave it.
      incarnation: Incarnation of the executor that the start is meant for.
      ordered_at: Time of the order.
      state: Progress at the executor.
      started_at: Time at which the executor confirmed the start or listed it.
      open_tries: Start orders without an answer, which may be carried out at
        any time, also by the next incarnation of the executor.
      unanswered_at: Time at which the call to start it ended without an answer.
      is_crash_reported: Whether a crash was reported with it.
      stopping_since: Time of the first stop order.
      stop_sent_at: Time of the newest stop order.
      stop_orders: Number of stop orders.
      stopped_at: Time at which the executor confirmed the stop.
      ignores_stops: Whether the executor listed it after a confirmed stop.
      is_revoked: Whether its owner ordered the stop or does not claim it, so
        that the task may be started elsewhere by the clock alone.
    """

    owner: Member
    order: RunOrder
    spec: str
    queue: str
    incarnation: tuple[str, int]
    ordered_at: float
    state: RunState = RunState.STARTING
    started_at: float = math.inf
    open_tries: int = 0
    unanswered_at: float = -math.inf
    is_crash_reported: bool = False
    stopping_since: float = math.inf
    stop_sent_at: float = -math.inf
    stop_orders: int = 0
    stopped_at: float = math.inf
    ignores_stops: bool = False
    is_revoked: bool = False

    @property
    def is_stop_confirmed(self) -> bool:
        """Whether the executor has confirmed that it stops the run."""
        return self.stopped_at < math.inf

    def on_listed(self, requested_at: float, now: float, limit: float) -> None:
        """Records that the executor lists it as running.

        Args:
          requested_at: Time of the request for the list.
          now: Current time.
          limit: Maximum time from a confirmed stop to the end, in seconds.
        """
        self.confirm_start(now)
        if self.stopped_at + limit < requested_at:
            self.ignores_stops = True
            self.stopped_at = math.inf

    def on_stop_confirmed(self, now: float) -> None:
        """Records the executor's confirmation, unless one came to nothing."""
        if not self.ignores_stops:
            self.stopped_at = min(self.stopped_at, now)

    def on_new_incarnation(self) -> None:
        """Drops the confirmed stop, which the next one knows nothing of."""
        self.stopped_at = math.inf
        self.ignores_stops = False

    def confirm_start(self, now: float) -> None:
        """Records that the executor has started the run."""
        self.started_at = min(self.started_at, now)
        if self.state is RunState.STARTING:
            self.state = RunState.RUNNING

    def may_have_run_since(self, time: float) -> bool:
        """Returns whether it may have run after the executor's latest answer.

        A start that has no answer yet has not been sent to a live executor, and
        one that lacks an answer for longer would be in that answer's list.

        Args:
          time: Time of the executor's latest answer.
        """
        if self.is_crash_reported:
            return False
        return self.started_at < math.inf or self.unanswered_at >= time

    @property
    def name(self) -> tuple[str, int]:
        """Task name and attempt number."""
        return self.order.task, self.order.attempt
