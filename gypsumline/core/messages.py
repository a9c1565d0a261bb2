"""Messages between the system's processes.

Each message is a data class that `message` registers under its name on the
wire. Fields may be added with defaults; a peer ignores those that it does not
know, so a newer and an older binary work side by side.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Annotated, ClassVar, TypeVar, cast, dataclass_transform

import msgspec

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.identity import Member
from gypsumline.core.submissions.submission_key import KEY_PATTERN
from gypsumline.core.task import JobAnswer, JobBody, TaskResult, TaskSpec

Key = Annotated[str, msgspec.Meta(pattern=KEY_PATTERN)]

PROTOCOL_VERSION = 1
LOWEST_PROTOCOL_VERSION = 1

MESSAGE_TYPES: dict[str, type[Message]] = {}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """Base of all messages.

    Attributes:
      wire_name: Name of the message type on the wire.
    """

    wire_name: ClassVar[str] = ""


_MessageType = TypeVar("_MessageType", bound=type[Message])


@dataclass_transform(frozen_default=True, kw_only_default=True)
def register_message(name: str) -> Callable[[_MessageType], _MessageType]:
    """Registers a message type under its name on the wire."""

    def register(cls: _MessageType) -> _MessageType:
        make = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
        data_class = cast(_MessageType, make(cls))
        data_class.wire_name = name
        MESSAGE_TYPES[name] = data_class
        return data_class

    return register


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamState:
    """What an agent tells about its upstream.

    Attributes:
      upstream_id: Name that the executor announced; "" if there is none.
      service: Service that it runs.
      kinds: Kinds of task that it takes; empty for any.
      slots: Tasks that it runs at once.
      free: Slots that run nothing.
      queued: Tasks that wait at the agent.
      leaving: Whether it takes no new work.
      healthy: Whether the executor answers.
    """

    upstream_id: str = ""
    service: str = ""
    kinds: tuple[str, ...] = ()
    slots: int = 0
    free: int = 0
    queued: int = 0
    leaving: bool = False
    healthy: bool = False


@register_message("hello")
class Hello(Message):
    """First message on each connection, from both sides."""

    member: Member
    lowest_version: int = LOWEST_PROTOCOL_VERSION
    highest_version: int = PROTOCOL_VERSION


@register_message("goodbye")
class Goodbye(Message):
    """Last message before a planned close."""

    reason: str


@register_message("heartbeat")
class Heartbeat(Message):
    """State of an agent; the reply renews its evidence."""

    sequence: int
    revision: int
    upstream: UpstreamState


@register_message("heartbeat_reply")
class HeartbeatReply(Message):
    """Evidence of the replying entry; age is -1 if it has none."""

    sequence: int
    revision: int
    evidence_age: float


@register_message("peer_heartbeat")
class PeerHeartbeat(Message):
    """State of an entry, sent to the other entries.

    `joining` is set by an incarnation that was never a member. A removed one
    does not set it, so that it is not admitted again.
    """

    sequence: int
    revision: int
    leaving: bool = False
    joining: bool = False


@register_message("peer_heartbeat_reply")
class PeerHeartbeatReply(Message):
    """Evidence of the replying entry; age is -1 if it has none."""

    sequence: int
    revision: int
    evidence_age: float


@register_message("control_request")
class ControlRequest(Message):
    """Asks for the peer's control record."""


@register_message("control_push")
class ControlPush(Message):
    """The sender's control record."""

    record: ControlRecord


@register_message("control_ack")
class ControlAck(Message):
    """The receiver holds this revision."""

    revision: int
    incarnation: int


@register_message("statement_request")
class StatementRequest(Message):
    """Asks a voter for the newest revision that it knows."""

    round_id: int


@register_message("statement")
class Statement(Message):
    """The voter knows nothing newer than this revision."""

    round_id: int
    revision: int
    incarnation: int


@register_message("submit")
class Submit(Message):
    """A job for the owner of its key."""

    request_id: int
    key: Key
    digest: bytes
    body: JobBody


@register_message("inquire")
class Inquire(Message):
    """Asks the owner for the answer of a key."""

    request_id: int
    key: Key
    wait: bool = True


@register_message("cancel_job")
class CancelJob(Message):
    """Asks the owner to cancel a job."""

    request_id: int
    key: Key


@register_message("submit_reply")
class SubmitReply(Message):
    """Answer to a submit, inquire or cancel message."""

    request_id: int
    answer: JobAnswer
    revision: int


@register_message("start_tasks")
class StartTasks(Message):
    """Tasks of one job for an agent.

    Sending the same attempt again is safe: the agent answers from its journal.

    Attributes:
      key: Submission key.
      agent_incarnation: Incarnation of the agent that is to start them.
      service: Service of the job.
      tasks: The tasks.
      attempts: Number of this placement, for each task.
      deadline_left: Seconds until the job's deadline.
      priority: Tasks with a higher one start first.
      digest: Digest of the job's body; the journal keeps it, so that a later
        owner can tell another body under the same key.
      repeatable: Whether a higher attempt may start after an unknown outcome.
      backlog: Whether the owner has further tasks that wait for a slot; the
        agent then reports a free slot at once instead of with the last result
        of the key.
    """

    key: Key
    agent_incarnation: int
    service: str
    tasks: tuple[TaskSpec, ...]
    attempts: tuple[int, ...]
    deadline_left: float
    priority: float = 0.0
    digest: bytes = b""
    repeatable: bool = False
    backlog: bool = False


@register_message("task_results")
class TaskResults(Message):
    """Results and refusals of one job, with the state after them."""

    key: Key
    results: tuple[TaskResult, ...]
    free: int
    queued: int


@register_message("withdraw_tasks")
class WithdrawTasks(Message):
    """Takes back tasks that have not started; each gets a result."""

    key: Key
    indexes: tuple[int, ...]
    attempts: tuple[int, ...]
    cancel: bool = False


@register_message("tasks_withdrawn")
class TasksWithdrawn(Message):
    """Which tasks never start, and which had started already.

    Attributes:
      key: Submission key.
      withdrawn: Indexes of the tasks that never start.
      started: Indexes of the tasks that had started.
      attempts: Newest attempt that is withdrawn, for each withdrawn index.
    """

    key: Key
    withdrawn: tuple[int, ...]
    started: tuple[int, ...]
    attempts: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JournalEntry:
    """What an agent knows of one task.

    Attributes:
      key: Submission key.
      index: Position in the job.
      state: "queued", "started", "finished" or "withdrawn".
      attempt: Newest attempt that the agent has seen.
      result: The result, if it has finished.
      digest: Digest of the job's body; empty for a withdrawal of a task that
        the agent has never been sent.
      ran: Whether an earlier attempt of a repeatable request has run here.
    """

    key: Key
    index: int
    state: str
    attempt: int
    result: TaskResult | None = None
    digest: bytes = b""
    ran: bool = False


@register_message("journal_query")
class JournalQuery(Message):
    """Asks an agent for the entries of the keys that the sender owns."""

    revision: int


@register_message("journal_report")
class JournalReport(Message):
    """One part of the answer.

    Attributes:
      revision: Revision that the agent holds.
      entries: Tasks of the keys that the receiver owns.
      complete_since: UTC seconds since which the journal misses nothing.
      last: Whether this is the last part.
      part: Number of the part, from 0; a gap makes the answer incomplete.
      owner_incarnation: Incarnation of the entry that asked; a report for an
        earlier one holds other keys.
    """

    revision: int
    entries: tuple[JournalEntry, ...]
    complete_since: float
    last: bool
    part: int = 0
    owner_incarnation: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeptAnswer:
    """An answer that an owner keeps until the horizon."""

    key: Key
    digest: bytes
    answer: JobAnswer


@register_message("hand_over")
class HandOver(Message):
    """Kept answers of a leaving owner for the successor of their keys."""

    answers: tuple[KeptAnswer, ...]


@register_message("hand_over_ack")
class HandOverAck(Message):
    """The successor holds this many answers of the last hand-over."""

    count: int
