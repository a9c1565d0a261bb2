"""Tests of the size limits of results: each answer fits into one frame."""

import pytest

from gypsumline.core.control.record import OwnerEpoch
from gypsumline.core.messages import HandOverAck, SubmitReply, TaskResults
from gypsumline.core.slots.outbox import Outbox
from gypsumline.core.submissions.hand_over import HandOverSender
from gypsumline.core.submissions.kept_answers import KeptAnswers
from gypsumline.core.submissions.owner_settings import OwnerSettings
from gypsumline.core.task import (
    JOB_RESULTS_BYTES_MAX,
    RESULT_BYTES_MAX,
    RESULT_OVERHEAD_BYTES,
    JobAnswer,
    Outcome,
    Reason,
    TaskResult,
    TaskStatus,
)
from gypsumline.tests.core.builders import (
    ENTRY,
    OTHER_ENTRY,
    WALL,
    key_at,
    make_record,
    make_submit,
)
from gypsumline.tests.core.submissions.test_owner import KEY, NOW, Harness
from gypsumline.wire.codec import decode_body, encode_frame

COUNT = 720
LARGEST = JOB_RESULTS_BYTES_MAX // COUNT - RESULT_OVERHEAD_BYTES


def make_success(index, size, attempt=1):
    return TaskResult(
        index=index,
        status=TaskStatus.SUCCEEDED,
        value=b"1" * size,
        run_time=0.123456789,
        attempt=attempt,
    )


@pytest.mark.parametrize(
    ("size", "outcome", "reason"),
    [
        (LARGEST, Outcome.COMPLETE, Reason.NONE),
        (LARGEST + 1, Outcome.FAILED_RAN, Reason.RESULT_TOO_LARGE),
    ],
)
def test_results_of_a_job_fit_into_one_frame(size, outcome, reason):
    """Guards against an answer that exceeds the frame limit."""
    harness = Harness()
    harness.submit(make_submit(KEY, COUNT))
    answers = []
    attempts = dict.fromkeys(range(COUNT), 1)
    for index in range(COUNT):
        for effect in harness.report(
            make_success(index, size, attempts[index])
        ):
            if hasattr(effect, "answer"):
                answers.append(effect.answer)
    assert [(a.outcome, a.reason) for a in answers] == [(outcome, reason)]
    assert len(answers[0].results) in (0, COUNT)
    reply = SubmitReply(request_id=2**62, answer=answers[0], revision=2**40)
    assert decode_body(encode_frame(reply)[4:]) == reply


def test_results_of_an_agent_are_split_by_message_size():
    """Guards against results that together exceed the frame limit."""
    outbox = Outbox(0.0, 0.0)
    for index in range(8):
        outbox.add("e1", KEY, make_success(index, RESULT_BYTES_MAX), True, NOW)
    for index in range(8, 8 + COUNT):
        outbox.add("e1", KEY, make_success(index, LARGEST), True, NOW)
    parts = outbox.take_due(frozenset(), NOW)
    for _, key, batch in parts:
        results = tuple(batch.results)
        encode_frame(TaskResults(key=key, results=results, free=1, queued=0))
    indexes = [r.index for _, _, batch in parts for r in batch.results]
    assert indexes == list(range(8 + COUNT))
    assert len(parts) <= 12
    assert not outbox


def make_kept_answers(count, results=1):
    kept = KeptAnswers(OwnerSettings())
    for number in range(count):
        answer = JobAnswer(
            outcome=Outcome.COMPLETE,
            results=tuple(make_success(i, 1) for i in range(results)),
        )
        kept.add(key_at(WALL, number + 1), b"d" * 32, answer, 0.0, WALL)
    return kept


def hand_over_all(sender, kept, record, now=0.0):
    """Sends and acknowledges all answers; returns the count per message."""
    sizes = []
    for step in range(1000):
        for effect in sender.send(kept, record, now + step):
            sizes.append(len(effect.message.answers))
            encode_frame(effect.message)
            sender.on_ack(OTHER_ENTRY, HandOverAck(count=sizes[-1]))
        if sender.is_done(kept, record):
            return sizes
    raise AssertionError("the hand-over does not end")


RECORD = make_record(entries=(ENTRY, OTHER_ENTRY))


def test_hand_over_of_many_small_results_fits_into_frames():
    """Guards against a stop that never ends because a frame is too long."""
    kept = make_kept_answers(100, results=COUNT)
    sizes = hand_over_all(HandOverSender(ENTRY, OwnerSettings()), kept, RECORD)
    assert sum(sizes) == 100


def test_hand_over_is_not_done_before_it_has_checked_all_answers():
    """Guards against a stop before the newest answer is handed over."""
    sender = HandOverSender(ENTRY, OwnerSettings())
    kept = make_kept_answers(1)
    assert not sender.is_done(kept, RECORD)
    hand_over_all(sender, kept, RECORD)
    answer = JobAnswer(outcome=Outcome.FAILED_RAN)
    kept.add(key_at(WALL, 99), b"d", answer, 0.0, WALL)
    assert not sender.is_done(kept, RECORD)
    assert hand_over_all(sender, kept, RECORD) == [1]


def test_hand_over_checks_a_bounded_number_of_keys_per_call(monkeypatch):
    """Guards against a tick that blocks the event loop for 36 ms."""
    checked = []
    record_type = type(RECORD)
    owner_of = record_type.owner_of
    monkeypatch.setattr(
        record_type,
        "owner_of",
        lambda self, key: checked.append(1) or owner_of(self, key),
    )
    sender = HandOverSender(ENTRY, OwnerSettings())
    kept = make_kept_answers(2000)
    sender.send(kept, RECORD, 0.0)
    assert len(checked) <= 256
    hand_over_all(sender, kept, RECORD, 1.0)
    checked.clear()
    sender.send(kept, RECORD, 2000.0)
    assert not checked


def test_answers_go_to_the_next_entry_when_their_receiver_leaves():
    """Guards against answers that are lost when their receiver leaves."""
    third = ENTRY.__class__(
        member_id="e3", incarnation=1, role=ENTRY.role, availability_zone="c"
    )
    epoch = OwnerEpoch(begins_at_wall=0.0, owners=(ENTRY, OTHER_ENTRY, third))
    both = RECORD.__class__(
        revision=1, entries=(ENTRY, OTHER_ENTRY, third), epochs=(epoch,)
    )
    rest = RECORD.__class__(
        revision=2, entries=(ENTRY, OTHER_ENTRY), epochs=(epoch,)
    )
    sender = HandOverSender(ENTRY, OwnerSettings())
    kept = make_kept_answers(20)
    first = sender.send(kept, both, 0.0)
    assert {effect.to for effect in first} == {"e2", "e3"}
    lost = next(e for e in first if e.to == "e3").message.answers
    held = next(e for e in first if e.to == "e2").message.answers
    sender.on_ack(OTHER_ENTRY, HandOverAck(count=len(held)))
    assert sum(hand_over_all(sender, kept, rest, 0.1)) == len(lost)


def test_reason_of_a_newer_peer_is_readable():
    """Guards against a new reason that closes an older peer's connection."""
    frame = encode_frame(
        TaskResults(
            key=KEY,
            results=(make_success(0, 1),),
            free=0,
            queued=0,
        )
    )
    body = frame[4:].replace(b"\xa6reason\xa0", b"\xa6reason\xa5newer")
    assert decode_body(body).results[0].reason is Reason.OTHER
