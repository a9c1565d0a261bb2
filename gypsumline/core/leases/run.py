"""One run at an executor, as its agent keeps it."""

from __future__ import annotations

import dataclasses
import enum
import math

from gypsumline.core.identity import Member
from gypsumline.core.leases.effects import OrderAnswer
from gypsumline.core.leases.messages import RunEnd, RunOrder

# Ends as executors name them; another word is an end without an outcome.
RUN_ENDS = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
}
START_REFUSALS = {
    OrderAnswer.OLD: RunEnd.OLD_ATTEMPT,
    OrderAnswer.LATE: RunEnd.NOT_TAKEN,
    OrderAnswer.REFUSED: RunEnd.REFUSED,
    OrderAnswer.OTHER_EXECUTOR: RunEnd.NOT_TAKEN,
}


class RunState(enum.Enum):
    """How far a run has come at the executor."""

    STARTING = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()


@dataclasses.dataclass(slots=True)
class Run:
    """One run that takes room.

    Attributes:
      owner: Entry that asked for it.
      order: What it asked for.
      spec: What the executor is to run.
      ordered_at: Time of the order.
      state: How far it has come.
      started_at: Time at which the executor confirmed the start.
      stop_sent_at: Time of the newest stop without an answer.
      stopped_at: Time at which the executor confirmed the stop.
    """

    owner: Member
    order: RunOrder
    spec: str
    ordered_at: float
    state: RunState = RunState.STARTING
    started_at: float = math.inf
    stop_sent_at: float = -math.inf
    stopped_at: float = math.inf

    @property
    def name(self) -> tuple[str, int]:
        """Task and attempt."""
        return self.order.task, self.order.attempt
