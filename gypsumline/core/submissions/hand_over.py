"""Hand-over of kept answers from a leaving entry to the next owners."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Container

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.effects import Decision, Effect, Send
from gypsumline.core.identity import Member
from gypsumline.core.messages import HandOver, HandOverAck, KeptAnswer
from gypsumline.core.submissions.kept_answers import KeptAnswers
from gypsumline.core.submissions.owner_settings import OwnerSettings

_RESEND_INTERVAL_SECONDS = 1.0  # without an acknowledgement
_ANSWERS_PER_MESSAGE = 4096
_ANSWER_OVERHEAD_BYTES = 512
# Finding the next owner of a key takes about 10 us; checking all kept answers
# in one call would block the event loop.
_KEYS_PER_CALL = 256


class HandOverSender:
    """Sends each kept answer to the next owner of its key.

    At most one message to each receiver is in flight; it is sent again until
    the receiver acknowledges it.
    """

    def __init__(self, local_member: Member, settings: OwnerSettings) -> None:
        self._local_member = local_member
        self._settings = settings
        self._assigned_keys: set[str] = set()
        self._unchecked_keys: collections.deque[str] = collections.deque()
        self._checked_version: tuple[int, int] | None = None
        self._unsent: dict[str, list[KeptAnswer]] = {}
        self._in_flight: dict[str, tuple[float, list[KeptAnswer]]] = {}

    def is_done(self, kept: KeptAnswers, record: ControlRecord) -> bool:
        """Whether every answer with a next owner was acknowledged by it."""
        return (
            self._checked_version == _version_of(kept, record)
            and not self._unchecked_keys
            and not self._unsent
            and not self._in_flight
        )

    def send(
        self, kept: KeptAnswers, record: ControlRecord, now: float
    ) -> list[Effect]:
        """Returns the messages that are due: new ones and those to resend."""
        self._collect(kept, record)
        effects: list[Effect] = []
        for receiver_id, (sent_at, answers) in list(self._in_flight.items()):
            if all(entry.member_id != receiver_id for entry in record.entries):
                del self._in_flight[receiver_id]
                self._assigned_keys.difference_update(
                    item.key for item in answers
                )
                self._checked_version = None
            elif now - sent_at >= _RESEND_INTERVAL_SECONDS:
                self._in_flight[receiver_id] = (now, answers)
                effects.append(_hand_over_message(receiver_id, answers))
        for receiver_id in [
            receiver_id
            for receiver_id in self._unsent
            if receiver_id not in self._in_flight
        ]:
            answers = self._pop_batch(receiver_id)
            self._in_flight[receiver_id] = (now, answers)
            effects.append(_hand_over_message(receiver_id, answers))
        return effects

    def on_ack(self, sender: Member, message: HandOverAck) -> None:
        """Handles an acknowledgement.

        A message counts as acknowledged only when the receiver keeps all its
        answers; otherwise it is sent again.
        """
        sent = self._in_flight.get(sender.member_id)
        if sent is not None and message.count == len(sent[1]):
            del self._in_flight[sender.member_id]

    def _collect(self, kept: KeptAnswers, record: ControlRecord) -> None:
        """Queues some of the answers that were not assigned to a next owner.

        A new record or a new kept answer makes all unassigned keys due for
        another check.
        """
        version = _version_of(kept, record)
        if self._checked_version != version:
            self._checked_version = version
            self._unchecked_keys.clear()
            self._unchecked_keys.extend(
                k for k in kept.stored_keys() if k not in self._assigned_keys
            )
        others = tuple(e for e in record.entries if e != self._local_member)
        next_record = dataclasses.replace(record, entries=others)
        for _ in range(min(len(self._unchecked_keys), _KEYS_PER_CALL)):
            self._queue_answer(
                self._unchecked_keys.popleft(), kept, next_record
            )

    def _queue_answer(
        self, key: str, kept: KeptAnswers, next_record: ControlRecord
    ) -> None:
        next_owner = next_record.owner_of(key)
        found = kept.find(key)
        if next_owner is None or found is None:
            return
        digest, answer = found
        self._assigned_keys.add(key)
        item = KeptAnswer(key=key, digest=digest, answer=answer)
        self._unsent.setdefault(next_owner.member_id, []).append(item)

    def _pop_batch(self, receiver_id: str) -> list[KeptAnswer]:
        """Removes and returns the unsent answers that fit into one message."""
        unsent = self._unsent.pop(receiver_id)
        size = 0
        count = 0
        for item in unsent[:_ANSWERS_PER_MESSAGE]:
            size += _ANSWER_OVERHEAD_BYTES
            size += sum(result.size for result in item.answer.results)
            if count and size > self._settings.hand_over_bytes:
                break
            count += 1
        if unsent[count:]:
            self._unsent[receiver_id] = unsent[count:]
        return unsent[:count]


def _hand_over_message(receiver_id: str, answers: list[KeptAnswer]) -> Send:
    return Send(to=receiver_id, message=HandOver(answers=tuple(answers)))


def _version_of(kept: KeptAnswers, record: ControlRecord) -> tuple[int, int]:
    """Returns a value that changes with the record and the kept answers."""
    return record.revision, kept.added_count


def accept_hand_over(
    sender: Member,
    message: HandOver,
    kept: KeptAnswers,
    running: Container[str],
    now: float,
    wall: float,
) -> list[Effect]:
    """Keeps the answers of a leaving owner and acknowledges them.

    When the store is full, fewer answers than received are acknowledged, so
    that the sender keeps them and sends them again. Keys of running jobs get
    their answer from the job.
    """
    count = 0
    for item in message.answers:
        if not kept.can_add_refusal:
            break
        count += 1
        if item.key not in running:
            kept.add(item.key, item.digest, item.answer, now, wall)
    line = Decision(
        event="answers_taken_over",
        fields={"from": sender.member_id, "count": count},
    )
    ack = HandOverAck(count=count)
    return [Send(to=sender.member_id, message=ack), line]
