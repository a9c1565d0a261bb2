"""Effects: what a decision asks the asyncio shell to do."""

from __future__ import annotations

import dataclasses

from gypsumline.core.configuration import Configuration
from gypsumline.core.messages import Message
from gypsumline.core.task import JobAnswer, TaskSpec


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Effect:
    """Base of all effects."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Send(Effect):
    """Send a message to a member; dropped while it is not connected."""

    to: str
    message: Message


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer(Effect):
    """Answer a request of a caller.

    Attributes:
      origin: Member id of the entry that forwarded it; "" for a local caller.
      request_id: Number that the origin gave the request.
      answer: The answer.
    """

    origin: str
    request_id: int
    answer: JobAnswer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartTask(Effect):
    """Hand one task to the executor; the shell checks the gate once more.

    Attributes:
      key: Submission key.
      task: The task.
      attempt: Number of this placement.
      deadline: `CLOCK_BOOTTIME` seconds.
    """

    key: str
    task: TaskSpec
    attempt: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadTable(Effect):
    """Read the newest control record; answered by `TableReadResult`."""

    read_id: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationRow:
    """One version of the operators' text as it is kept.

    Attributes:
      version: Number of the version, from 1.
      text: The operators' text, as written.
      author: Who wrote it.
      note: Why.
      written_at_wall: UTC seconds.
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
    """Write a control record, and a configuration row with it if given.

    Both rows are written in one transaction by compare-and-set on the control
    row's version; answered by `TableWriteResult`.

    Attributes:
      write_id: Number of this write.
      record: The control record; its revision is the row's next version.
      write_token: Unique token that the row keeps.
      row: Configuration row to write in the same transaction.
    """

    write_id: int
    record: object
    write_token: str
    row: ConfigurationRow | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableReadResult:
    """Result of a read; the record is None if the row does not exist.

    Attributes:
      read_id: Number of the read.
      ok: Whether the table answered.
      asked_at: `CLOCK_BOOTTIME` seconds at which the read was sent.
      record: The control record.
      write_token: Token of the write that made it.
    """

    read_id: int
    ok: bool
    asked_at: float
    record: object = None
    write_token: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableWriteResult:
    """Result of a write.

    Attributes:
      write_id: Number of the write.
      kind: "written", "conflict" or "unknown".
    """

    write_id: int
    kind: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChange:
    """A change that an operator asks for.

    Attributes:
      base_version: Version that the operator edited from.
      text: The new text; it has been validated.
      configuration: The new text, parsed.
      author: Who asks.
      note: Why.
      write_token: Unique token to ask by when the outcome is unknown.
    """

    base_version: int
    text: str
    configuration: Configuration
    author: str
    note: str
    write_token: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeOutcome(Effect):
    """End of a proposed change.

    Attributes:
      request_id: Number that the shell gave the proposal.
      kind: "accepted", "refused" or "unknown".
      version: Configuration version accepted, or the newest one if refused.
      detail: One sentence for people.
    """

    request_id: int
    kind: str
    version: int
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision(Effect):
    """One log line for a routing or placement decision.

    Attributes:
      event: Name of the decision.
      fields: Values for the log line, by name.
    """

    event: str
    fields: dict[str, object]
