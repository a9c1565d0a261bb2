"""Tests of the slot table."""

import dataclasses

import pytest

from gypsumline.core.control.record import OwnerEpoch
from gypsumline.core.effects import StartTask
from gypsumline.core.messages import (
    JournalQuery,
    TaskResults,
    TasksWithdrawn,
    WithdrawTasks,
)
from gypsumline.core.slots.slot_settings import Announcement, SlotSettings
from gypsumline.core.slots.slot_table import SlotTable
from gypsumline.core.task import Reason, TaskResult, TaskStatus
from gypsumline.tests.core.builders import (
    AGENT,
    ENTRY,
    OTHER_ENTRY,
    WALL,
    key_at,
    make_record,
    make_start,
    sent,
)
from gypsumline.wire.codec import FRAME_LIMIT_BYTES, encode_frame

KEY = key_at(WALL)
RESTARTED = dataclasses.replace(ENTRY, incarnation=2)


def make_table(slots=2, **settings):
    table = SlotTable(AGENT, SlotSettings(**settings))
    table.set_record(make_record(), 0.0)
    table.announce(Announcement(upstream_id="x", service="s", slots=slots), 0.0)
    return table


def receive(table, message, now=1.0, sender=ENTRY, fresh=True):
    return table.on_message(sender, message, fresh, now, WALL + now)


def starts(effects):
    return [e.task.index for e in effects if isinstance(e, StartTask)]


def refusals(effects):
    return [
        (result.index, result.reason, result.attempt)
        for message in sent(effects, TaskResults)
        for result in message.results
        if result.status is TaskStatus.REFUSED
    ]


def make_success(index, value=b"1"):
    return TaskResult(index=index, status=TaskStatus.SUCCEEDED, value=value)


def test_tasks_of_one_key_are_started_and_reported_together():
    """Guards against more than one message per key and agent."""
    table = make_table()
    effects = receive(table, make_start(KEY, count=2))
    assert starts(effects) == [0, 1]
    assert table.may_start(KEY, 0, True, 1.0) is Reason.NONE
    assert table.may_start(KEY, 1, True, 1.0) is Reason.NONE
    receive(table, make_start(key_at(WALL, 2), count=2), 1.0)
    assert table.on_finished(KEY, make_success(0), 1.001)
    effects = table.on_finished(KEY, make_success(1), 1.002)
    (results,) = sent(effects, TaskResults)
    assert [r.index for r in results.results] == [0, 1]


@pytest.mark.parametrize(("backlog", "messages"), [(True, 1), (False, 0)])
def test_free_slot_is_reported_at_once_only_to_a_backlogged_owner(
    backlog, messages
):
    """Guards against an idle slot while the owner has waiting tasks."""
    table = make_table()
    receive(table, make_start(KEY, count=2, backlog=backlog))
    table.may_start(KEY, 0, True, 1.0)
    table.may_start(KEY, 1, True, 1.0)
    effects = table.on_finished(KEY, make_success(0), 1.1)
    assert len(sent(effects, TaskResults)) == messages
    effects += table.tick(True, 1.2) + table.tick(True, 2.2)
    assert len(sent(effects, TaskResults)) == 1


def test_repeated_start_is_answered_from_the_journal():
    """Guards against a second run when a start is resent on reconnect."""
    table = make_table()
    receive(table, make_start(KEY))
    assert table.may_start(KEY, 0, True, 1.0) is Reason.NONE
    assert receive(table, make_start(KEY)) == []
    table.on_finished(KEY, make_success(0), 2.0)
    effects = receive(table, make_start(KEY), 3.0)
    assert starts(effects) == []
    assert sent(effects, TaskResults)[0].results == (make_success(0),)
    assert table.may_start(KEY, 0, True, 3.0) is Reason.SUPERSEDED


def test_refuses_a_sender_that_is_not_the_owner():
    """Guards against starts by a fenced owner beside its successor."""
    table = make_table()
    effects = receive(table, make_start(KEY), sender=OTHER_ENTRY)
    assert refusals(effects) == [(0, Reason.NOT_OWNER, 1)]
    assert starts(effects) == []


def test_refused_start_stays_refused_for_the_same_attempt():
    """Guards against a delayed duplicate that runs beside the next attempt."""
    table = make_table()
    effects = receive(table, make_start(KEY), fresh=False)
    assert refusals(effects) == [(0, Reason.NO_EVIDENCE, 1)]
    effects = receive(table, make_start(KEY))
    assert refusals(effects) == [(0, Reason.WITHDRAWN, 1)]
    assert starts(receive(table, make_start(KEY, attempt=2))) == [0]


def test_former_owner_gets_no_refusal_for_a_task_it_started():
    """Guards against the answer "not run" for a task that has run."""
    table = make_table()
    receive(table, make_start(KEY))
    table.may_start(KEY, 0, True, 1.0)
    table.set_record(make_record(revision=2, entries=(OTHER_ENTRY,)), 2.0)
    assert refusals(receive(table, make_start(KEY), 3.0)) == []


def test_journal_records_an_earlier_run_of_a_repeatable_task():
    """Guards against the answer "not run" for a task that has run.

    The first attempt ran with an unknown outcome; the second is withdrawn.
    """
    table = make_table()
    receive(table, make_start(KEY, repeatable=True))
    table.may_start(KEY, 0, True, 1.0)
    lost = TaskResult(index=0, status=TaskStatus.UNKNOWN)
    table.on_finished(KEY, lost, 2.0)
    receive(table, make_start(KEY, attempt=2, repeatable=True))
    withdraw = WithdrawTasks(key=KEY, indexes=(0,), attempts=(2,))
    receive(table, withdraw, 3.0)
    (part,) = receive(table, JournalQuery(revision=1))
    (entry,) = part.message.entries
    assert (entry.state, entry.attempt, entry.ran) == ("withdrawn", 2, True)


def test_withdrawal_before_the_start_leaves_a_tombstone():
    """Guards against a start that arrives after its withdrawal.

    A withdrawal on another connection may overtake the start.
    """
    table = make_table()
    withdraw = WithdrawTasks(key=KEY, indexes=(0,), attempts=(1,))
    (reply,) = sent(receive(table, withdraw), TasksWithdrawn)
    assert (reply.withdrawn, reply.attempts) == ((0,), (1,))
    assert starts(receive(table, make_start(KEY))) == []


def test_withdrawal_reports_tasks_that_have_started():
    """Guards against a started task that is placed a second time."""
    table = make_table()
    receive(table, make_start(KEY, count=2))
    table.may_start(KEY, 0, True, 1.0)
    withdraw = WithdrawTasks(key=KEY, indexes=(0, 1), attempts=(1, 1))
    (reply,) = sent(receive(table, withdraw), TasksWithdrawn)
    assert (reply.withdrawn, reply.started) == ((1,), (0,))
    assert table.may_start(KEY, 1, True, 1.0) is Reason.WITHDRAWN


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"availability_zones_out": ("a",)}, Reason.OUT),
        ({"upstreams_out": ("x",)}, Reason.OUT),
        ({"services_out": ("s",)}, Reason.SERVICE_OUT),
    ],
)
def test_queued_tasks_are_refused_when_taken_out_of_service(changes, reason):
    """Guards against a queued task that starts in an excluded zone."""
    table = make_table(slots=1)
    receive(table, make_start(KEY, count=2))
    effects = table.set_record(make_record(revision=2, **changes), 2.0)
    assert refusals(effects) == [(0, reason, 1), (1, reason, 1)]
    assert table.may_start(KEY, 0, True, 2.0) is Reason.WITHDRAWN


def test_stale_evidence_stops_a_reserved_start():
    """Guards against a start after a pause of the process.

    The evidence may have expired between the reservation and the start.
    """
    table = make_table()
    assert starts(receive(table, make_start(KEY))) == [0]
    assert table.may_start(KEY, 0, False, 1.0) is Reason.NO_EVIDENCE
    assert starts(table.tick(True, 1.5)) == [0]


def test_full_journal_refuses_starts_and_keeps_its_entries():
    """Guards against eviction of entries, which allows a second start."""
    table = make_table(slots=8, journal_entries=1)
    effects = receive(table, make_start(KEY, count=2))
    assert starts(effects) == [0]
    assert refusals(effects) == [(1, Reason.JOURNAL_FULL, 1)]


def test_journal_query_waits_for_the_revision():
    """Guards against a report while the old owner can still start tasks."""
    table = make_table()
    receive(table, make_start(KEY))
    assert receive(table, JournalQuery(revision=2)) == []
    (part,) = table.set_record(make_record(revision=2), 2.0)
    assert [entry.state for entry in part.message.entries] == ["queued"]
    assert part.message.last


def test_leaving_agent_refuses_queued_tasks_and_finishes_running_ones():
    """Guards against a planned stop that interrupts a running task."""
    table = make_table(slots=1)
    receive(table, make_start(KEY, count=2))
    table.may_start(KEY, 0, True, 1.0)
    assert refusals(table.leave(2.0)) == [(1, Reason.LEAVING, 1)]
    assert not table.is_drained()
    assert table.on_finished(KEY, make_success(0), 3.0)
    assert table.is_drained()


def test_large_journal_is_reported_in_frames_below_the_limit():
    """Guards against a report whose size closes the connection."""
    table = make_table(slots=8, report_bytes=1024 * 1024)
    keys = [key_at(WALL, number) for number in range(8)]
    for key in keys:
        receive(table, make_start(key))
        table.may_start(key, 0, True, 1.0)
        table.on_finished(key, make_success(0, b"x" * 900_000), 2.0)
    effects = receive(table, JournalQuery(revision=1))
    parts = [effect.message for effect in effects]
    assert all(len(encode_frame(part)) < FRAME_LIMIT_BYTES for part in parts)
    assert [part.part for part in parts] == list(range(len(parts)))
    assert [part.last for part in parts][-1:] == [True]
    assert [e.key for part in parts for e in part.entries] == keys


def test_journal_expires_only_finished_keys_after_the_retention_time():
    """Guards against a second run of a key that is submitted again."""
    table = make_table(slots=1, resubmission_horizon=10.0, deadline_max=5.0)
    running, done = key_at(WALL, 1), key_at(WALL, 2)
    receive(table, make_start(done))
    table.may_start(done, 0, True, 1.0)
    table.on_finished(done, make_success(0), 1.0)
    receive(table, make_start(running, deadline_left=90.0))
    table.may_start(running, 0, True, 1.0)
    table.tick(True, 15.9)
    assert table.journal.find(done, 0) is not None
    table.tick(True, 16.1)
    assert table.journal.find(done, 0) is None
    table.tick(True, 80.0)
    assert table.journal.find(running, 0) is not None


def test_earlier_incarnation_of_the_owner_is_refused():
    """Guards against starts by a process that a restart has replaced.

    The restarted process does not know what the replaced one started.
    """
    table = make_table()
    first = OwnerEpoch(begins_at_wall=0.0, owners=(RESTARTED,))
    record = make_record(revision=2, entries=(RESTARTED,), epochs=(first,))
    table.set_record(record, 2.0)
    effects = receive(table, make_start(KEY), 3.0)
    assert refusals(effects) == [(0, Reason.NOT_OWNER, 1)]


def test_failed_task_runs_again_only_if_repeatable():
    """Guards against a second run of a request that is not repeatable."""
    table = make_table()
    for key, repeatable in ((KEY, False), (key_at(WALL, 2), True)):
        receive(table, make_start(key, repeatable=repeatable))
        table.may_start(key, 0, True, 1.0)
        lost = TaskResult(index=0, status=TaskStatus.UNKNOWN)
        table.on_finished(key, lost, 2.0)
        again = make_start(key, attempt=2, repeatable=repeatable)
        assert bool(starts(receive(table, again, 3.0))) is repeatable


def test_reserved_task_does_not_start_after_its_deadline():
    """Guards against a start after the caller received the final answer."""
    table = make_table()
    assert starts(receive(table, make_start(KEY, deadline_left=5.0))) == [0]
    assert table.may_start(KEY, 0, True, 6.0) is Reason.DEADLINE


def test_leaving_upstream_gets_no_further_starts():
    """Guards against new tasks for an executor that stops."""
    table = make_table()
    receive(table, make_start(KEY))
    leaving = Announcement(upstream_id="x", service="s", slots=2, leaving=True)
    effects = table.announce(leaving, 2.0)
    assert refusals(effects) == [(0, Reason.LEAVING, 1)]
    effects = receive(table, make_start(KEY, attempt=2), 3.0)
    assert refusals(effects) == [(0, Reason.LEAVING, 2)]


def test_older_record_does_not_undo_an_exclusion_of_a_zone():
    """Guards against a delayed push of an older record."""
    table = make_table()
    out = make_record(revision=3, availability_zones_out=("a",))
    table.set_record(out, 1.0)
    table.set_record(make_record(revision=2), 2.0)
    effects = receive(table, make_start(KEY), 3.0)
    assert refusals(effects) == [(0, Reason.OUT, 1)]


def test_agent_with_an_unsent_result_is_not_drained():
    """Guards against an agent that exits before it has sent a result."""
    table = make_table()
    receive(table, make_start(KEY, deadline_left=5.0))
    table.may_start(KEY, 0, True, 6.0)
    assert not table.is_drained()
    assert refusals(table.tick(True, 6.0)) == [(0, Reason.DEADLINE, 1)]
    assert table.is_drained()
