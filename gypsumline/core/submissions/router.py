"""Routing of callers' requests to the entries that own their keys."""

from __future__ import annotations

import dataclasses
import math

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.effects import Answer, Decision, Effect, Send
from gypsumline.core.identity import Member
from gypsumline.core.message import Message
from gypsumline.core.messages import CancelJob, Inquire, Submit, SubmitReply
from gypsumline.core.submissions.submission_key import generate_key
from gypsumline.core.task import JobAnswer, Outcome, Reason

RETRY_INTERVAL_SECONDS = 0.1
# Replacing a lost owner takes the time to suspect it, to accept a new record
# and to wait for the fence. A request waits at most that long for an owner
# before it is answered as unknown, with a time after which to retry.
ROUTE_TIMEOUT_SECONDS = 8.0
ANSWER_GRACE_SECONDS = 1.0
RETRY_AFTER_SECONDS = 2.0
MAX_PENDING_REQUESTS = 20_000
_KEY_ATTEMPTS = 32

OwnerRequest = Submit | Inquire | CancelJob
_TRANSIENT = frozenset({Reason.NOT_OWNER, Reason.NO_EVIDENCE, Reason.LEAVING})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallOwner(Effect):
    """Pass a request to the owner state machine of this process."""

    request: OwnerRequest


@dataclasses.dataclass(slots=True, kw_only=True)
class PendingRequest:
    """A caller's request that has no answer yet.

    Attributes:
      request: The message for the owner.
      deadline: `CLOCK_BOOTTIME` seconds by which the caller needs an answer.
      owner: Owner that the request was sent to, or None.
      unrouted_since: Time since which the request has had no owner; `math.inf`
        while it has one.
      retry_at: Earliest time of the next attempt.
      last_reason: Why the last attempt gave no answer.
    """

    request: OwnerRequest
    deadline: float
    owner: Member | None = None
    unrouted_since: float = math.inf
    retry_at: float = 0.0
    last_reason: Reason = Reason.NO_OWNER


class RequestRouter:
    """Routes each request to the owner of its key until it is answered.

    Sending a request again is idempotent, because the owner attaches it to the
    job of its key.
    """

    def __init__(self, local_member: Member) -> None:
        self._local_member = local_member
        self._record = ControlRecord()
        self._connected: dict[str, Member] = {}
        self._pending: dict[int, PendingRequest] = {}
        # Replies to an earlier incarnation must not match a new request.
        self._next_id = local_member.incarnation

    @property
    def pending_count(self) -> int:
        """Number of requests without an answer."""
        return len(self._pending)

    @property
    def pending_keys(self) -> list[str]:
        """Keys of the requests without an answer."""
        return [pending.request.key for pending in self._pending.values()]

    def new_request_id(self) -> int:
        """Returns an id for the next request."""
        self._next_id += 1
        return self._next_id

    def new_key(self) -> str:
        """Returns a new key, preferably one that this entry owns.

        Requests for such keys need no hop to another entry.
        """
        key = generate_key()
        for _ in range(_KEY_ATTEMPTS):
            if self._record.owner_of(key) == self._local_member:
                return key
            key = generate_key()
        return key

    def set_identity(self, local_member: Member, now: float) -> list[Effect]:
        """Sets a new incarnation and reroutes the requests of the old one."""
        previous = self._local_member
        self._local_member = local_member
        return self._unroute_requests_of(previous, now)

    def set_record(self, record: ControlRecord, now: float) -> list[Effect]:
        """Applies a newer record and reroutes requests with a new owner."""
        if record.revision <= self._record.revision:
            return []
        self._record = record
        effects: list[Effect] = []
        for pending in list(self._pending.values()):
            owner = record.owner_of(pending.request.key)
            if pending.owner is None or pending.owner != owner:
                effects += self._route(pending, now)
        return effects

    def on_connected(self, member: Member, now: float) -> list[Effect]:
        """Routes the requests that wait for an owner."""
        self._connected[member.member_id] = member
        effects: list[Effect] = []
        for pending in list(self._pending.values()):
            if pending.owner is None:
                effects += self._route(pending, now)
        return effects

    def on_disconnected(self, member: Member, now: float) -> list[Effect]:
        """Reroutes the requests that were sent to this member."""
        if self._connected.get(member.member_id) == member:
            del self._connected[member.member_id]
        return self._unroute_requests_of(member, now)

    def add_request(
        self, request: OwnerRequest, deadline: float, now: float
    ) -> list[Effect]:
        """Routes a caller's request.

        Args:
          request: The message for the owner.
          deadline: `CLOCK_BOOTTIME` seconds by which the caller needs the
            answer.
          now: `CLOCK_BOOTTIME` seconds.
        """
        pending = PendingRequest(
            request=request, deadline=deadline, unrouted_since=now
        )
        if len(self._pending) >= MAX_PENDING_REQUESTS:
            pending.last_reason = Reason.OVERLOAD
            self._pending[request.request_id] = pending
            return self._answer_unknown(pending)
        self._pending[request.request_id] = pending
        return self._route(pending, now)

    def drop_request(self, request_id: int) -> None:
        """Drops a request whose caller has disconnected."""
        self._pending.pop(request_id, None)

    def on_reply(self, reply: SubmitReply, now: float) -> list[Effect]:
        """Handles an owner's reply and ignores duplicate or overdue ones."""
        pending = self._pending.get(reply.request_id)
        if pending is None:
            return []
        if _is_transient(reply.answer):
            pending.last_reason = reply.answer.reason
            return self._unroute(pending, now)
        return self._finish(pending, reply.answer)

    def tick(self, now: float) -> list[Effect]:
        """Retries unrouted requests and answers the overdue ones as unknown."""
        effects: list[Effect] = []
        for pending in list(self._pending.values()):
            if self._is_overdue(pending, now):
                effects += self._answer_unknown(pending)
            elif pending.owner is None and pending.retry_at <= now:
                effects += self._route(pending, now)
        return effects

    def _route(self, pending: PendingRequest, now: float) -> list[Effect]:
        owner = self._record.owner_of(pending.request.key)
        if owner == self._local_member:
            pending.owner = owner
            pending.unrouted_since = math.inf
            return [CallOwner(request=pending.request)]
        if owner is None or self._connected.get(owner.member_id) != owner:
            pending.last_reason = Reason.NO_OWNER
            return self._unroute(pending, now)
        pending.owner = owner
        pending.unrouted_since = math.inf
        message: Message = pending.request
        return [Send(to=owner.member_id, message=message)]

    def _unroute(self, pending: PendingRequest, now: float) -> list[Effect]:
        pending.owner = None
        pending.unrouted_since = min(pending.unrouted_since, now)
        pending.retry_at = now + RETRY_INTERVAL_SECONDS
        return []

    def _unroute_requests_of(self, member: Member, now: float) -> list[Effect]:
        for pending in self._pending.values():
            if pending.owner == member:
                pending.last_reason = Reason.NO_OWNER
                self._unroute(pending, now)
                pending.retry_at = now
        return []

    def _is_overdue(self, pending: PendingRequest, now: float) -> bool:
        if now > pending.deadline + ANSWER_GRACE_SECONDS:
            return True
        waited = now - pending.unrouted_since
        return pending.owner is None and (
            waited > ROUTE_TIMEOUT_SECONDS or now > pending.deadline
        )

    def _answer_unknown(self, pending: PendingRequest) -> list[Effect]:
        answer = JobAnswer(
            outcome=Outcome.UNKNOWN,
            reason=pending.last_reason,
            detail="the owner of this key gave no answer in time",
            retry_after=RETRY_AFTER_SECONDS,
        )
        return self._finish(pending, answer)

    def _finish(
        self, pending: PendingRequest, answer: JobAnswer
    ) -> list[Effect]:
        del self._pending[pending.request.request_id]
        reply = Answer(
            origin="", request_id=pending.request.request_id, answer=answer
        )
        if pending.owner == self._local_member:
            # The owner of this process logs the answer itself.
            return [reply]
        decision = Decision(
            event="request answered",
            fields={
                "job": pending.request.key,
                "owner": pending.owner.member_id if pending.owner else "",
                "outcome": answer.outcome.value,
                "reason": answer.reason.value,
                "revision": self._record.revision,
            },
        )
        return [decision, reply]


def _is_transient(answer: JobAnswer) -> bool:
    return answer.outcome == Outcome.UNKNOWN and answer.reason in _TRANSIENT
