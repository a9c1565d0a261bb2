"""Hand-over of kept answers by an entry that leaves."""

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

_RESEND_INTERVAL = 1.0  # seconds without an acknowledgement
_ANSWERS_PER_MESSAGE = 4096
_ANSWER_OVERHEAD_BYTES = 512
# Finding the successor of a key takes about 10 us; a whole set of kept answers
# at once would stop the event loop.
_KEYS_PER_CALL = 256


class HandOverSender:
    """Sends each kept answer to the entry that owns its key next."""

    def __init__(self, me: Member, settings: OwnerSettings) -> None:
        self._me = me
        self._settings = settings
        self._assigned_keys: set[str] = set()
        self._unchecked_keys: collections.deque[str] = collections.deque()
        self._checked_version: tuple[int, int] | None = None
        self._unsent: dict[str, list[KeptAnswer]] = {}
        self._in_flight: dict[str, tuple[float, list[KeptAnswer]]] = {}

    def is_done(self, kept: KeptAnswers, record: ControlRecord) -> bool:
        """Whether the successors hold every answer that can be given on."""
        return (
            self._checked_version == _version_of(kept, record)
            and not self._unchecked_keys
            and not self._unsent
            and not self._in_flight
        )

    def send(
        self, kept: KeptAnswers, record: ControlRecord, now: float
    ) -> list[Effect]:
        """Returns the next message to each successor, or one again."""
        self._collect(kept, record)
        effects: list[Effect] = []
        for to, (sent_at, answers) in list(self._in_flight.items()):
            if all(entry.member_id != to for entry in record.entries):
                del self._in_flight[to]
                self._assigned_keys.difference_update(
                    item.key for item in answers
                )
                self._checked_version = None
            elif now - sent_at >= _RESEND_INTERVAL:
                self._in_flight[to] = (now, answers)
                effects.append(_hand_over_message(to, answers))
        for to in [to for to in self._unsent if to not in self._in_flight]:
            answers = self._pop_batch(to)
            self._in_flight[to] = (now, answers)
            effects.append(_hand_over_message(to, answers))
        return effects

    def on_ack(self, sender: Member, message: HandOverAck) -> None:
        """Takes in how many answers of the last message are held."""
        sent = self._in_flight.get(sender.member_id)
        if sent is not None and message.count == len(sent[1]):
            del self._in_flight[sender.member_id]

    def _collect(self, kept: KeptAnswers, record: ControlRecord) -> None:
        """Looks at some of the answers that no successor has been given."""
        state = _version_of(kept, record)
        if self._checked_version != state:
            self._checked_version = state
            self._unchecked_keys.clear()
            self._unchecked_keys.extend(
                k for k in kept.stored_keys() if k not in self._assigned_keys
            )
        rest = tuple(e for e in record.entries if e != self._me)
        after = dataclasses.replace(record, entries=rest)
        for _ in range(min(len(self._unchecked_keys), _KEYS_PER_CALL)):
            self._queue_answer(self._unchecked_keys.popleft(), kept, after)

    def _queue_answer(
        self, key: str, kept: KeptAnswers, after: ControlRecord
    ) -> None:
        successor = after.owner_of(key)
        found = kept.find(key)
        if successor is None or found is None:
            return
        digest, answer = found
        self._assigned_keys.add(key)
        item = KeptAnswer(key=key, digest=digest, answer=answer)
        self._unsent.setdefault(successor.member_id, []).append(item)

    def _pop_batch(self, to: str) -> list[KeptAnswer]:
        waiting = self._unsent.pop(to)
        size = 0
        count = 0
        for item in waiting[:_ANSWERS_PER_MESSAGE]:
            size += _ANSWER_OVERHEAD_BYTES
            size += sum(result.size for result in item.answer.results)
            if count and size > self._settings.hand_over_bytes:
                break
            count += 1
        if waiting[count:]:
            self._unsent[to] = waiting[count:]
        return waiting[:count]


def _hand_over_message(to: str, answers: list[KeptAnswer]) -> Send:
    return Send(to=to, message=HandOver(answers=tuple(answers)))


def _version_of(kept: KeptAnswers, record: ControlRecord) -> tuple[int, int]:
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

    Answers for which there is no room are not acknowledged, so that the sender
    keeps them meanwhile.
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
