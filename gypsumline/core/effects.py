"""Effects: requests of the state machines to the node that runs them."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumline.core.configuration import Configuration
    from gypsumline.core.message import Message
    from gypsumline.core.task import JobAnswer, TaskSpec


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Effect:
    """Base class of all effects."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Send(Effect):
    """Sends a message to a member; drops it if the member is not connected."""

    to: str
    message: Message


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer(Effect):
    """Answers a request of a caller.

    Attributes:
      origin: Member id of the entry that forwarded the request; "" for a
        local caller.
      request_id: Request number that the origin assigned.
      answer: Answer to send.
    """

    origin: str
    request_id: int
    answer: JobAnswer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartTask(Effect):
    """Hands one task to the executor.

    The node checks again that the start is allowed before it hands the task
    over.

    Attributes:
      key: Submission key.
      task: Task to start.
      attempt: Attempt number of this placement.
      deadline: Deadline of the job in `CLOCK_BOOTTIME` seconds.
    """

    key: str
    task: TaskSpec
    attempt: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadTable(Effect):
    """Reads the newest control record; `TableReadResult` reports the result."""

    read_id: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationRow:
    """A stored version of the operators' configuration text.

    Attributes:
      version: Version number, counted from 1.
      text: Configuration text as the operator wrote it.
      author: Name of the author.
      note: Reason for the change.
      written_at_wall: Time of the write in UTC seconds.
      write_token: Unique token of the write.
    """

    version: int
    text: str
    author: str
    note: str
    written_at_wall: float
    write_token: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteTable(Effect):
    """Writes a control record and, if given, a configuration row.

    Both rows are written in one transaction by compare-and-set on the version
    of the control row. `TableWriteResult` reports the result.

    Attributes:
      write_id: Number of this write.
      record: Control record; its revision is the next version of the row.
      write_token: Unique token that is stored in the row.
      row: Configuration row to write in the same transaction.
    """

    write_id: int
    record: object
    write_token: str
    row: ConfigurationRow | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableReadResult:
    """Result of a `ReadTable` effect.

    Attributes:
      read_id: Number of the read.
      ok: Whether the table answered.
      asked_at: Time at which the read was sent, in `CLOCK_BOOTTIME` seconds.
      record: Control record, or None if the row does not exist.
      write_token: Token of the write that created the record.
    """

    read_id: int
    ok: bool
    asked_at: float
    record: object = None
    write_token: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableWriteResult:
    """Result of a `WriteTable` effect.

    Attributes:
      write_id: Number of the write.
      kind: "written", "conflict" or "unknown".
    """

    write_id: int
    kind: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChange:
    """A configuration change that an operator proposes.

    Attributes:
      base_version: Version that the operator edited.
      text: New configuration text, already validated.
      configuration: New configuration, parsed from `text`.
      author: Name of the operator.
      note: Reason for the change.
      write_token: Unique token by which the operator can query the change if
        its outcome is unknown.
    """

    base_version: int
    text: str
    configuration: Configuration
    author: str
    note: str
    write_token: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeOutcome(Effect):
    """Reports the outcome of a proposed configuration change.

    Attributes:
      request_id: Request number that the node assigned to the proposal.
      kind: "accepted", "refused" or "unknown".
      version: Accepted configuration version, or the newest version if the
        change was refused.
      detail: Human-readable explanation in one sentence.
    """

    request_id: int
    kind: str
    version: int
    detail: str = ""


class DecisionKind(enum.Enum):
    """What a decision is about; its log lines are limited by kind."""

    STEP = enum.auto()
    OUTCOME = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision(Effect):
    """Logs a routing or placement decision.

    Attributes:
      event: Event name of the log line.
      fields: Fields of the log line by name.
      kind: What it is about.
    """

    event: str
    fields: dict[str, object]
    kind: DecisionKind = DecisionKind.STEP
