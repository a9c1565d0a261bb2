"""Tests of how an agent tells a crash of its executor from silence."""

import dataclasses
import math

import pytest

from gypsumline.core.leases.effects import (
    CrashDetected,
    OrderAnswer,
    OrderStop,
)
from gypsumline.core.leases.messages import RunEnd, RunReports, StopRuns
from gypsumline.core.leases.run_log_lines import crash_line
from gypsumline.tests.core.leases.builders import (
    ENTRY,
    ENTRY_2,
    KEY,
    announcement,
    answer_ping,
    ends,
    hold_reply,
    open_table,
    order,
    replace_executor,
    sends,
    start,
    starts,
)

TASK = f"{KEY}.0.0.0"
LATE_TASK = f"{KEY}.0.0.1"


def table_with_runs():
    """Returns a table with a confirmed run and one without an answer."""
    table = open_table()
    answer_ping(table, 0.0)
    (started,) = starts(table.on_start(ENTRY, start(order()), 0.0))
    table.on_start_answer(started, OrderAnswer.DONE, 0.0)
    answer_ping(table, 0.3)
    later = start(order(LATE_TASK), stamp=0.3, queue="cards")
    (unanswered,) = starts(table.on_start(ENTRY, later, 0.3))
    table.on_start_answer(unanswered, OrderAnswer.UNANSWERED, 0.31)
    return table


def hold(table, answer, now):
    request = table.next_hold_request(now)
    return table.on_hold_failed(request, answer, now)


def crashes(effects):
    return [e.crash for e in effects if isinstance(e, CrashDetected)]


def refuse_connections(table):
    """Lets the executor's host refuse connections; returns the effects."""
    effects = hold(table, OrderAnswer.UNANSWERED, 0.31)
    effects += hold(table, OrderAnswer.NO_LISTENER, 0.36)
    return effects + hold(table, OrderAnswer.NO_LISTENER, 0.41)


def test_refused_connections_are_a_crash_under_the_runs_that_were_there():
    """Guards against crashes that look like silence in the logs."""
    effects = refuse_connections(table_with_runs())
    (crash,) = crashes(effects)
    assert crash.executor == "x-1"
    assert [
        (run.task, run.queue, run.age, run.is_started) for run in crash.runs
    ] == [(TASK, "", 0.31, True), (LATE_TASK, "cards", 0.01, False)]


def test_crash_is_told_to_all_owners_once():
    """Guards against a count that is lost with the owner that saw the crash."""
    table = table_with_runs()
    effects = refuse_connections(table)
    told = [to for to, m in sends(effects, RunReports) if m.crashes]
    assert told == [ENTRY.member_id, ENTRY_2.member_id]
    assert crashes(hold(table, OrderAnswer.NO_LISTENER, 0.5)) == []


def test_owner_that_connects_later_learns_of_the_crash():
    """Guards against a restarted entry that starts at zero crashes."""
    table = table_with_runs()
    refuse_connections(table)
    ((_, message),) = sends(table.on_connected(ENTRY_2, 5.0), RunReports)
    (crash,) = message.crashes
    assert crash.seconds_ago == pytest.approx(4.69)
    table.on_disconnected(ENTRY_2, 5.0)
    assert sends(table.on_connected(ENTRY_2, 100.0), RunReports) == []


def test_next_incarnation_proves_a_crash():
    """Guards against crashes of executors that are back before a refusal."""
    table = table_with_runs()
    restarted = announcement(executor="x-2", started_at=2000)
    (crash,) = crashes(replace_executor(table, restarted, 0.5))
    assert crash.executor == "x-1"
    assert len(crash.runs) == 2


@pytest.mark.parametrize(
    "answer", [OrderAnswer.UNANSWERED, OrderAnswer.REFUSED]
)
def test_silent_executor_is_no_crash(answer):
    """Guards against tasks blamed for a host that was only silent or slow."""
    table = table_with_runs()
    effects = []
    for now in (0.4, 0.6, 0.8, 1.0, 1.2):
        effects += hold(table, answer, now) + table.tick(now)
    assert table.runs == {}
    assert crashes(effects) == []


def silent_table():
    """Returns a table whose runs have lapsed at a silent executor."""
    table = table_with_runs()
    for now in (0.4, 0.6, 0.8, 1.0, 1.2):
        hold(table, OrderAnswer.UNANSWERED, now)
        table.tick(now)
    assert table.runs == {}
    return table


@pytest.mark.parametrize("executor", ["x-1", "x-2"])
def test_crash_of_a_silent_executor_counts_under_its_lapsed_runs(executor):
    """Guards against crashes that are proved after the lease has lapsed."""
    table = silent_table()
    restarted = announcement(executor=executor, started_at=2000)
    effects = table.on_announcement(restarted, 1.5)
    reply = hold_reply(started_at=2000)
    while not table.hold_due_in(1.5):
        request = table.next_hold_request(1.5)
        effects += table.on_hold_reply(request, reply, 1.5, 1.5)
    (crash,) = crashes(effects)
    assert [(r.task, r.is_started) for r in crash.runs] == [
        (TASK, False),
        (LATE_TASK, False),
    ]


def test_refusals_after_the_lease_count_under_its_lapsed_runs():
    """Guards against crashes that are proved after the lease has lapsed."""
    table = silent_table()
    hold(table, OrderAnswer.NO_LISTENER, 1.3)
    (crash,) = crashes(hold(table, OrderAnswer.NO_LISTENER, 1.4))
    assert [r.task for r in crash.runs] == [TASK, LATE_TASK]
    restarted = announcement(executor="x-2", started_at=2000)
    assert crashes(replace_executor(table, restarted, 1.5)) == []


def test_lapsed_runs_are_not_blamed_once_the_executor_responds():
    """Guards against blame for a crash long after the runs had ended."""
    table = silent_table()
    request = table.next_hold_request(1.3)
    table.on_hold_reply(request, hold_reply(), 1.3, 1.31)
    restarted = announcement(executor="x-2", started_at=2000)
    assert crashes(replace_executor(table, restarted, 1.5)) == []


def test_planned_departure_is_no_crash():
    """Guards against tasks blamed for an executor that was drained."""
    table = table_with_runs()
    table.on_announcement(announcement(sequence=2, leaving=True), 0.31)
    assert crashes(refuse_connections(table)) == []
    restarted = announcement(executor="x-2", started_at=2000)
    assert crashes(replace_executor(table, restarted, 0.5)) == []


def test_executor_that_ends_before_it_leaves_has_crashed():
    """Guards against culprits that are not counted on a leaving executor."""
    table = table_with_runs()
    leaving = announcement(sequence=2, leaving=True)
    table.on_announcement(dataclasses.replace(leaving, leaving_in=5.0), 0.31)
    assert len(crashes(refuse_connections(table))) == 1


def test_stopped_run_is_not_known_to_have_been_there():
    """Guards against a job given up for a run that had been stopped."""
    table = table_with_runs()
    request = table.next_hold_request(0.31)
    table.on_hold_reply(request, reply_with_run(), 0.31, 0.31)
    (stop,) = [
        e
        for e in table.on_stop(
            ENTRY, StopRuns(tasks=(TASK,), attempts=(1,)), 0.31
        )
        if isinstance(e, OrderStop)
    ]
    table.on_stop_answer(stop, OrderAnswer.DONE, 0.311)
    hold(table, OrderAnswer.NO_LISTENER, 0.37)
    (crash,) = crashes(hold(table, OrderAnswer.NO_LISTENER, 0.42))
    assert not crash.runs[0].is_started


def test_run_is_not_known_to_be_at_an_executor_that_was_silent():
    """Guards against a job given up for a run whose end was not listed."""
    table = table_with_runs()
    hold(table, OrderAnswer.UNANSWERED, 0.46)
    hold(table, OrderAnswer.NO_LISTENER, 0.5)
    (crash,) = crashes(hold(table, OrderAnswer.NO_LISTENER, 0.55))
    assert not crash.runs[0].is_started


def test_list_that_was_read_late_is_no_proof_that_a_run_was_there():
    """Guards against a job given up for a run that ended during a pause."""
    table = table_with_runs()
    request = table.next_hold_request(0.32)
    table.on_hold_reply(request, reply_with_run(), 0.32, 0.85)
    hold(table, OrderAnswer.NO_LISTENER, 0.86)
    (crash,) = crashes(hold(table, OrderAnswer.NO_LISTENER, 0.91))
    assert not crash.runs[0].is_started


def test_one_refused_connection_is_no_crash():
    """Guards against a listener that is only being replaced."""
    table = table_with_runs()
    effects = hold(table, OrderAnswer.NO_LISTENER, 0.36)
    request = table.next_hold_request(0.37)
    assert crashes(effects) == []
    effects = table.on_hold_reply(request, reply_with_run(), 0.37, 0.38)
    assert all(m.load.taking for _, m in sends(effects, RunReports))
    assert len(sends(effects, RunReports)) == 2
    assert crashes(hold(table, OrderAnswer.NO_LISTENER, 0.5)) == []


def reply_with_run():
    return hold_reply(running=[(TASK, 1)])


def test_crash_line_names_the_runs_with_their_ages():
    """Guards against a log that cannot name the suspects of a crash."""
    effects = refuse_connections(table_with_runs())
    (detected,) = [e for e in effects if isinstance(e, CrashDetected)]
    assert crash_line(detected).fields["runs"] == [
        [TASK, 1, "", 0.31, True],
        [LATE_TASK, 1, "cards", 0.01, False],
    ]


def test_executor_that_is_away_takes_no_orders():
    """Guards against starts that are accepted and refused one by one."""
    table = table_with_runs()
    effects = hold(table, OrderAnswer.NO_LISTENER, 0.36)
    loads = [message.load for _, message in sends(effects, RunReports)]
    assert [load.taking for load in loads] == [False, False]
    answer_ping(table, 0.37)
    effects = table.on_start(ENTRY, start(order("b.0.0.0"), stamp=0.37), 0.37)
    assert starts(effects) == []
    assert ends(effects) == [("b.0.0.0", 1, RunEnd.NOT_TAKEN)]


def test_runs_of_an_executor_that_refuses_connections_are_not_lost_at_once():
    """Guards against a second run where it was cut off and runs on."""
    table = table_with_runs()
    effects = refuse_connections(table)
    assert ends(effects) == []
    assert set(table.runs) == {TASK, LATE_TASK}
    told = [m for _, m in sends(effects, RunReports) if m.crashes]
    assert not any(message.load.taking for message in told)


def test_idle_executor_that_refused_connections_is_asked_when_it_announces():
    """Guards against an executor that is never used again after a cut."""
    table = open_table()
    answer_ping(table, 0.5)
    (started,) = starts(table.on_start(ENTRY, start(order(), stamp=0.5), 0.5))
    table.on_start_answer(started, OrderAnswer.NO_LISTENER, 0.5)
    assert not table.accepts_starts
    assert table.hold_due_in(0.6) == math.inf
    table.on_announcement(announcement(sequence=2), 1.5)
    request = table.next_hold_request(1.5)
    table.on_hold_reply(request, hold_reply(), 1.5, 1.51)
    assert table.accepts_starts


def test_runs_of_a_crash_are_lost_with_the_first_list_of_the_next_life():
    """Guards against runs that are placed again after their objective."""
    table = table_with_runs()
    refuse_connections(table)
    table.on_announcement(announcement(started_at=2000), 0.5)
    request = table.next_hold_request(0.5)
    listed = hold_reply(started_at=2000)
    effects = table.on_hold_reply(request, listed, 0.5, 0.51)
    # The start without an answer may reach the next incarnation.
    assert ends(effects) == [(TASK, 1, RunEnd.LOST)]
    assert crashes(effects) == []


def test_start_without_an_answer_waits_for_the_lease():
    """Guards against a second run beside an order that is carried out late."""
    table = table_with_runs()
    refuse_connections(table)
    assert table.tick(0.6) is not None
    assert set(table.runs) == {TASK, LATE_TASK}
    effects = [e for now in (0.9, 1.2) for e in table.tick(now)]
    assert ends(effects) == [
        (TASK, 1, RunEnd.LOST),
        (LATE_TASK, 1, RunEnd.LOST),
    ]


def test_owners_learn_that_a_silent_executor_lost_its_lease():
    """Guards against orders to an executor that nobody hears any more."""
    table = table_with_runs()
    effects = []
    for now in (0.4, 0.6, 0.8, 1.0, 1.2):
        effects += hold(table, OrderAnswer.UNANSWERED, now) + table.tick(now)
    told = {to for to, m in sends(effects, RunReports) if not m.load.taking}
    assert told == {ENTRY.member_id, ENTRY_2.member_id}


def test_first_run_of_an_idle_agent_is_known_to_have_been_there():
    """Guards against crashes that do not count after a time without runs."""
    table = open_table()
    answer_ping(table, 30.0)
    (started,) = starts(table.on_start(ENTRY, start(order(), stamp=30.0), 30.0))
    table.on_start_answer(started, OrderAnswer.DONE, 30.0)
    effects = hold(table, OrderAnswer.UNANSWERED, 30.01)
    effects += hold(table, OrderAnswer.NO_LISTENER, 30.06)
    effects += hold(table, OrderAnswer.NO_LISTENER, 30.11)
    ((run,),) = [crash.runs for crash in crashes(effects)]
    assert run.is_started


def test_run_whose_lease_had_expired_is_not_known_to_have_been_there():
    """Guards against blame after a pause of the agent."""
    table = table_with_runs()
    restarted = announcement(executor="x-2", started_at=2000)
    (crash,) = crashes(replace_executor(table, restarted, 6.0))
    assert not any(run.is_started for run in crash.runs)


def test_run_of_the_next_incarnation_is_not_blamed():
    """Guards against blame for a restart that no heartbeat has shown yet."""
    table = table_with_runs()
    table.on_announcement(announcement(started_at=2000), 0.5)
    request = table.next_hold_request(0.5)
    listed = hold_reply(running=[(TASK, 1)], started_at=2000)
    assert crashes(table.on_hold_reply(request, listed, 0.5, 0.51)) == []


def test_restart_under_the_same_name_is_a_crash_under_the_missing_runs():
    """Guards against crashes of executors that keep their name."""
    table = table_with_runs()
    table.on_announcement(announcement(started_at=2000), 0.35)
    request = table.next_hold_request(0.35)
    listed = hold_reply(started_at=2000)
    effects = table.on_hold_reply(request, listed, 0.35, 0.36)
    (crash,) = crashes(effects)
    assert [run.task for run in crash.runs] == [TASK]
