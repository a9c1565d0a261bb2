"""Messages between the entries and agents of the product's installation.

`gypsumline.core.leases.messages` has those of leased jobs.
"""

from __future__ import annotations

import dataclasses
from typing import Annotated

import msgspec

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.message import Message, register_message
from gypsumline.core.submissions.submission_key import KEY_PATTERN
from gypsumline.core.task import JobAnswer, JobBody, TaskResult, TaskSpec

Key = Annotated[str, msgspec.Meta(pattern=KEY_PATTERN)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamState:
    """State of an upstream as reported by its agent.

    Attributes:
      upstream_id: Name that the executor announced; "" if no executor has
        announced itself.
      service: Service that the upstream provides.
      kinds: Task kinds that it accepts; empty for any.
      slots: Number of tasks that it runs concurrently.
      free: Number of free slots.
      queued: Number of tasks queued at the agent.
      leaving: Whether it is leaving and accepts no new tasks.
      healthy: Whether the executor responds.
    """

    upstream_id: str = ""
    service: str = ""
    kinds: tuple[str, ...] = ()
    slots: int = 0
    free: int = 0
    queued: int = 0
    leaving: bool = False
    healthy: bool = False


@register_message("heartbeat")
class Heartbeat(Message):
    """Reports the state of an agent; the reply renews the agent's evidence."""

    sequence: int
    revision: int
    upstream: UpstreamState


@register_message("heartbeat_reply")
class HeartbeatReply(Message):
    """Reports the evidence of the replying entry.

    `evidence_age` is in seconds, and -1 if the entry has no evidence.
    """

    sequence: int
    revision: int
    evidence_age: float


@register_message("peer_heartbeat")
class PeerHeartbeat(Message):
    """Reports the state of an entry to the other entries.

    `joining` is set by an incarnation that has never been a member. A removed
    incarnation does not set it, so that it is not admitted again.
    """

    sequence: int
    revision: int
    leaving: bool = False
    joining: bool = False


@register_message("peer_heartbeat_reply")
class PeerHeartbeatReply(Message):
    """Reports the evidence of the replying entry.

    `evidence_age` is in seconds, and -1 if the entry has no evidence.
    """

    sequence: int
    revision: int
    evidence_age: float


@register_message("control_request")
class ControlRequest(Message):
    """Requests the peer's control record."""


@register_message("control_push")
class ControlPush(Message):
    """Sends the sender's control record."""

    record: ControlRecord


@register_message("control_ack")
class ControlAck(Message):
    """Acknowledges that the receiver holds a revision."""

    revision: int
    incarnation: int


@register_message("statement_request")
class StatementRequest(Message):
    """Requests the newest revision that a voter knows."""

    round_id: int


@register_message("statement")
class Statement(Message):
    """States that the voter knows of no newer revision than this one."""

    round_id: int
    revision: int
    incarnation: int


@register_message("submit")
class Submit(Message):
    """Submits a job to the owner of its key."""

    request_id: int
    key: Key
    digest: bytes
    body: JobBody


@register_message("inquire")
class Inquire(Message):
    """Requests the answer for a key from its owner."""

    request_id: int
    key: Key
    wait: bool = True


@register_message("cancel_job")
class CancelJob(Message):
    """Requests that the owner cancel a job."""

    request_id: int
    key: Key


@register_message("submit_reply")
class SubmitReply(Message):
    """Answers a submit, inquire or cancel message."""

    request_id: int
    answer: JobAnswer
    revision: int


@register_message("start_tasks")
class StartTasks(Message):
    """Requests that an agent start tasks of one job.

    The message is idempotent: for an attempt that it has already seen, the
    agent answers from its journal.

    Attributes:
      key: Submission key.
      agent_incarnation: Incarnation of the agent that the message is for.
      service: Service of the job.
      tasks: Tasks to start.
      attempts: Attempt number of each task.
      deadline_left: Seconds until the job's deadline.
      priority: Priority of the tasks; the highest starts first.
      digest: Digest of the job's body. The journal stores it, so that a later
        owner can detect another body under the same key.
      repeatable: Whether a higher attempt may start after an unknown outcome.
      backlog: Whether more tasks wait for a slot at the owner. If so, the
        agent reports a free slot at once instead of with the last result of
        the key.
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
    """Reports results and refusals of tasks of one job.

    `free` and `queued` are the agent's free slots and queued tasks after them.
    """

    key: Key
    results: tuple[TaskResult, ...]
    free: int
    queued: int


@register_message("withdraw_tasks")
class WithdrawTasks(Message):
    """Withdraws tasks that have not started; each of them gets a result."""

    key: Key
    indexes: tuple[int, ...]
    attempts: tuple[int, ...]
    cancel: bool = False


@register_message("tasks_withdrawn")
class TasksWithdrawn(Message):
    """Reports which tasks were withdrawn and which had already started.

    Attributes:
      key: Submission key.
      withdrawn: Indexes of the withdrawn tasks, which will never start.
      started: Indexes of the tasks that had already started.
      attempts: Newest withdrawn attempt for each index in `withdrawn`.
    """

    key: Key
    withdrawn: tuple[int, ...]
    started: tuple[int, ...]
    attempts: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JournalEntry:
    """Journal entry of an agent for one task.

    Attributes:
      key: Submission key.
      index: Position in the job.
      state: "queued", "started", "finished" or "withdrawn".
      attempt: Newest attempt that the agent has seen.
      result: Result of the task, or None if it has not finished.
      digest: Digest of the job's body; empty if the task was withdrawn before
        the agent received it.
      ran: Whether an earlier attempt of a repeatable request ran here.
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
    """Requests an agent's journal entries for the keys that the sender owns."""

    revision: int


@register_message("journal_report")
class JournalReport(Message):
    """One part of the answer to a journal query.

    Attributes:
      revision: Revision that the agent holds.
      entries: Journal entries for the keys that the receiver owns.
      complete_since: Time in UTC seconds since which the journal is complete.
      last: Whether this is the last part.
      part: Number of the part, counted from 0; a gap makes the answer
        incomplete.
      owner_incarnation: Incarnation of the entry that sent the query. A report
        for an earlier incarnation covers a different set of keys.
    """

    revision: int
    entries: tuple[JournalEntry, ...]
    complete_since: float
    last: bool
    part: int = 0
    owner_incarnation: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeptAnswer:
    """An answer that its owner retains until the resubmission horizon."""

    key: Key
    digest: bytes
    answer: JobAnswer


@register_message("hand_over")
class HandOver(Message):
    """Transfers the kept answers of a leaving owner to the new owner."""

    answers: tuple[KeptAnswer, ...]


@register_message("hand_over_ack")
class HandOverAck(Message):
    """Acknowledges how many answers of the last hand-over were stored."""

    count: int
