"""Tests of the request router."""

from gypsumline.core.control.record import ControlRecord, OwnerEpoch
from gypsumline.core.effects import Answer, Send
from gypsumline.core.identity import Member, Role
from gypsumline.core.messages import Inquire, SubmitReply
from gypsumline.core.submissions.router import (
    MAX_PENDING_REQUESTS,
    ROUTE_TIMEOUT_SECONDS,
    CallOwner,
    RequestRouter,
)
from gypsumline.core.submissions.submission_key import generate_key
from gypsumline.core.task import JobAnswer, Outcome, Reason

DEADLINE = 1000.0


def entry(name: str, incarnation: int = 1) -> Member:
    return Member(
        member_id=name,
        incarnation=incarnation,
        role=Role.ENTRY,
        availability_zone="piraeus",
    )


ME = entry("entry-1")
OTHER_ENTRY = entry("entry-2")


def record(revision: int, *owners: Member) -> ControlRecord:
    epoch = OwnerEpoch(begins_at_wall=0.0, owners=owners)
    return ControlRecord(revision=revision, entries=owners, epochs=(epoch,))


def inquiry(router: RequestRouter) -> Inquire:
    return Inquire(request_id=router.new_request_id(), key=generate_key())


def reply(request: Inquire, outcome: Outcome, reason=Reason.NONE):
    answer = JobAnswer(outcome=outcome, reason=reason)
    return SubmitReply(request_id=request.request_id, answer=answer, revision=1)


def answers(effects) -> list[Answer]:
    return [effect for effect in effects if isinstance(effect, Answer)]


def router_with(*owners: Member) -> RequestRouter:
    router = RequestRouter(ME)
    router.set_record(record(1, *owners), 0.0)
    router.on_connected(OTHER_ENTRY, 0.0)
    return router


def test_own_key_goes_to_the_local_owner():
    """Guards against a hop to another entry for a key of this entry."""
    router = router_with(ME)
    request = inquiry(router)
    assert router.add_request(request, DEADLINE, 0.0) == [
        CallOwner(request=request)
    ]


def test_request_follows_its_key_to_the_next_owner():
    """Guards against a request that waits for a lost owner."""
    router = router_with(OTHER_ENTRY)
    request = inquiry(router)
    sent = router.add_request(request, DEADLINE, 0.0)
    assert sent == [Send(to="entry-2", message=request)]
    router.on_disconnected(OTHER_ENTRY, 1.0)
    assert router.tick(1.5) == []
    moved = router.set_record(record(2, ME), 2.0)
    assert moved == [CallOwner(request=request)]


def test_second_answer_is_dropped():
    """Guards against an answer that a caller gets twice."""
    router = router_with(OTHER_ENTRY)
    request = inquiry(router)
    router.add_request(request, DEADLINE, 0.0)
    first = router.on_reply(reply(request, Outcome.COMPLETE), 1.0)
    assert len(answers(first)) == 1
    assert router.on_reply(reply(request, Outcome.COMPLETE), 1.0) == []


def test_not_owner_reply_is_retried():
    """Guards against an unknown outcome while the owners change."""
    router = router_with(OTHER_ENTRY)
    request = inquiry(router)
    router.add_request(request, DEADLINE, 0.0)
    refusal = reply(request, Outcome.UNKNOWN, Reason.NOT_OWNER)
    assert router.on_reply(refusal, 1.0) == []
    retried = router.tick(1.2)
    assert retried == [Send(to="entry-2", message=request)]


def test_request_without_owner_is_answered_unknown_with_retry_after():
    """Guards against a caller that waits for an owner until its deadline."""
    router = router_with()
    request = inquiry(router)
    router.add_request(request, DEADLINE, 0.0)
    assert router.tick(ROUTE_TIMEOUT_SECONDS - 0.1) == []
    answered = answers(router.tick(ROUTE_TIMEOUT_SECONDS + 0.1))
    assert answered[0].answer.outcome == Outcome.UNKNOWN
    assert answered[0].answer.retry_after > 0
    assert router.pending_count == 0


def test_new_incarnation_routes_its_own_requests_again():
    """Guards against callers that wait for this entry's old incarnation."""
    router = router_with(ME)
    request = inquiry(router)
    router.add_request(request, DEADLINE, 0.0)
    router.set_identity(entry("entry-1", 2), 1.0)
    moved = router.set_record(record(2, OTHER_ENTRY), 1.0)
    assert moved == [Send(to="entry-2", message=request)]


def test_requests_over_the_limit_are_answered_at_once():
    """Guards against an unbounded number of pending requests."""
    router = router_with()
    for _ in range(MAX_PENDING_REQUESTS):
        router.add_request(inquiry(router), DEADLINE, 0.0)
    answered = answers(router.add_request(inquiry(router), DEADLINE, 0.0))
    assert answered[0].answer.reason == Reason.OVERLOAD
    assert router.pending_count == MAX_PENDING_REQUESTS
