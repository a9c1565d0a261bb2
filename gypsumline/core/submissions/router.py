"""Routing of callers' requests from an entry to the owners of their keys."""

from __future__ import annotations

import dataclasses
import math

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.effects import Answer, Decision, Effect, Send
from gypsumline.core.identity import Member
from gypsumline.core.messages import (
    CancelJob,
    Inquire,
    Message,
    Submit,
    SubmitReply,
)
from gypsumline.core.submissions.submission_key import generate_key
from gypsumline.core.task import JobAnswer, Outcome, Reason

RETRY_INTERVAL_SECONDS = 0.1
# A lost owner is replaced after suspicion, acceptance and the fence; a request
# waits for that long at most before its caller is told to come back.
ROUTE_TIMEOUT_SECONDS = 8.0
ANSWER_GRACE_SECONDS = 1.0
RETRY_AFTER_SECONDS = 2.0
MAX_PENDING_REQUESTS = 20_000
_KEY_ATTEMPTS = 32

OwnerRequest = Submit | Inquire | CancelJob
_TRANSIENT = frozenset({Reason.NOT_OWNER, Reason.NO_EVIDENCE, Reason.LEAVING})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallOwner(Effect):
    """Give a request to the owner state machine of this process."""

    request: OwnerRequest


@dataclasses.dataclass(slots=True, kw_only=True)
class PendingRequest:
    """A caller's request that has no answer yet.

    Attributes:
      request: The message for the owner.
      deadline: `CLOCK_BOOTTIME` seconds by which the caller needs an answer.
      owner: Owner that has the request now, if one does.
      unrouted_since: When the request last had no owner; `math.inf` while it
        has one.
      retry_at: Earliest time of the next try.
      last_reason: Why the last try gave no answer.
    """

    request: OwnerRequest
    deadline: float
    owner: Member | None = None
    unrouted_since: float = math.inf
    retry_at: float = 0.0
    last_reason: Reason = Reason.NO_OWNER


class RequestRouter:
    """Keeps each request with the owner of its key until it is answered.

    Sending a request again is safe: the owner attaches it by key.
    """

    def __init__(self, me: Member) -> None:
        self._me = me
        self._record = ControlRecord()
        self._connected: dict[str, Member] = {}
        self._pending: dict[int, PendingRequest] = {}
        # Replies to an earlier incarnation must not match a request of ours.
        self._next_id = me.incarnation

    @property
    def pending_count(self) -> int:
        """Requests without an answer."""
        return len(self._pending)

    @property
    def pending_keys(self) -> list[str]:
        """Keys of the requests without an answer."""
        return [p.request.key for p in self._pending.values()]

    def new_request_id(self) -> int:
        """Returns a number for the next request."""
        self._next_id += 1
        return self._next_id

    def new_key(self) -> str:
        """Returns a key that this entry owns itself, where it owns any."""
        key = generate_key()
        for _ in range(_KEY_ATTEMPTS):
            if self._record.owner_of(key) == self._me:
                return key
            key = generate_key()
        return key

    def set_identity(self, me: Member, now: float) -> list[Effect]:
        """Takes a new incarnation and routes the requests it owned again."""
        earlier = self._me
        self._me = me
        return self._unroute_requests_of(earlier, now)

    def set_record(self, record: ControlRecord, now: float) -> list[Effect]:
        """Takes a newer record and moves requests whose owner has changed."""
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
        """Routes requests that waited for this member."""
        self._connected[member.member_id] = member
        effects: list[Effect] = []
        for pending in list(self._pending.values()):
            if pending.owner is None:
                effects += self._route(pending, now)
        return effects

    def on_disconnected(self, member: Member, now: float) -> list[Effect]:
        """Releases the requests that this member had."""
        if self._connected.get(member.member_id) == member:
            del self._connected[member.member_id]
        return self._unroute_requests_of(member, now)

    def add_request(
        self, request: OwnerRequest, deadline: float, now: float
    ) -> list[Effect]:
        """Takes a caller's request."""
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
        """Forgets a request whose caller has gone."""
        self._pending.pop(request_id, None)

    def on_reply(self, reply: SubmitReply, now: float) -> list[Effect]:
        """Takes the owner's reply; an answer twice or too late is dropped."""
        pending = self._pending.get(reply.request_id)
        if pending is None:
            return []
        if _is_transient(reply.answer):
            pending.last_reason = reply.answer.reason
            return self._unroute(pending, now)
        return self._finish(pending, reply.answer)

    def tick(self, now: float) -> list[Effect]:
        """Tries again, and gives up where the limit has passed."""
        effects: list[Effect] = []
        for pending in list(self._pending.values()):
            if self._is_overdue(pending, now):
                effects += self._answer_unknown(pending)
            elif pending.owner is None and pending.retry_at <= now:
                effects += self._route(pending, now)
        return effects

    def _route(self, pending: PendingRequest, now: float) -> list[Effect]:
        owner = self._record.owner_of(pending.request.key)
        if owner == self._me:
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
        if pending.owner == self._me:
            # The owner has logged the answer already.
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
