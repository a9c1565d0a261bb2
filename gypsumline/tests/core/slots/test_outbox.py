"""Tests of the outbox, which batches an agent's results."""

from gypsumline.core.slots.outbox import Outbox
from gypsumline.core.task import TaskResult, TaskStatus


def add(outbox, to, key, now, urgent=False):
    result = TaskResult(index=0, status=TaskStatus.SUCCEEDED)
    outbox.add(to, key, result, urgent, now)


def sent(outbox, now, waiting_for_slots=frozenset()):
    due = outbox.take_due(waiting_for_slots, now)
    return sorted((to, key) for to, key, _ in due)


def test_delayed_results_join_the_next_message_to_their_owner():
    """Guards against delayed results whose slots an owner counts as busy."""
    outbox = Outbox(1.0, 0.1)
    add(outbox, "e1", "old", 0.0)
    add(outbox, "e2", "old", 0.0)
    add(outbox, "e1", "new", 0.15)
    add(outbox, "e1", "ended", 0.2, urgent=True)
    assert sent(outbox, 0.2) == [("e1", "ended"), ("e1", "old")]
    assert sent(outbox, 0.2) == []


def test_single_result_waits_for_the_full_delay():
    """Guards against a message per task where one per agent is enough."""
    outbox = Outbox(1.0, 0.1)
    add(outbox, "e1", "old", 0.0)
    assert sent(outbox, 0.9) == []
    assert sent(outbox, 1.0) == [("e1", "old")]


def test_backlogged_owner_receives_every_result_immediately():
    """Guards against a free slot that stays idle during a backlog."""
    outbox = Outbox(1.0, 0.1)
    add(outbox, "e1", "a", 0.0)
    add(outbox, "e2", "b", 0.0)
    assert sent(outbox, 0.0, frozenset({"e1"})) == [("e1", "a")]
