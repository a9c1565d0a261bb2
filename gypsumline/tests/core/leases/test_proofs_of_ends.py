"""Tests of what an agent takes as the proof that a run has ended."""

import pytest

from gypsumline.core.leases.effects import OrderAnswer
from gypsumline.core.leases.messages import RunEnd, StopRuns
from gypsumline.tests.core.leases.builders import (
    ENTRY,
    KEY,
    announcement,
    answer_ping,
    ends,
    hold_reply,
    open_table,
    order,
    replace_executor,
    start,
    starts,
    stops,
)

TASK = f"{KEY}.0.0.0"
STEP_SECONDS = 0.005
# The rate that the platform allows for the clock of an executor.
SLOW_CLOCK_RATE = 0.98


@pytest.mark.parametrize("idle_seconds", [0.0, 1.5, 4.0, 8.0])
def test_run_is_lost_only_after_the_lease_on_a_slow_clock(idle_seconds):
    """Guards against two runs of one task after missing heartbeats.

    The agent knows the executor's clock only from an old reading.
    """
    table = open_table()
    answer_ping(table, idle_seconds)
    message = start(order(), stamp=idle_seconds)
    (started,) = starts(table.on_start(ENTRY, message, idle_seconds))
    table.on_start_answer(started, OrderAnswer.DONE, idle_seconds)
    request = table.next_hold_request(idle_seconds)
    table.on_hold_failed(request, OrderAnswer.UNANSWERED, idle_seconds)
    lease_until = (started.lease_until - 50_000) / 1000.0 / SLOW_CLOCK_RATE
    now = idle_seconds
    reports = []
    while not reports:
        now += STEP_SECONDS
        answer_ping(table, now)
        reports = ends(table.tick(now))
    assert reports == [(TASK, 1, RunEnd.LOST)]
    assert now > lease_until


def test_stop_that_an_earlier_incarnation_confirmed_proves_no_end():
    """Guards against an order that the next incarnation carries out late.

    Its list comes under the token of that order, which it does not refuse.
    """
    table = open_table()
    answer_ping(table, 0.0)
    (started,) = starts(table.on_start(ENTRY, start(order()), 0.0))
    stop = StopRuns(tasks=(TASK,), attempts=(1,))
    (stopped,) = stops(table.on_stop(ENTRY, stop, 0.01))
    table.on_stop_answer(stopped, OrderAnswer.DONE, 0.02)
    request = table.next_hold_request(0.1)
    assert request.token == started.token
    table.on_announcement(announcement(started_at=2000, clock=0), 0.13)
    reply = hold_reply(started_at=2000, clock=50)
    assert ends(table.on_hold_reply(request, reply, 0.1, 0.15)) == []
    # Confirmed by this incarnation, and a list under a token that fences it.
    (stopped,) = stops(table.tick(0.16))
    assert stopped.token > started.token
    table.on_stop_answer(stopped, OrderAnswer.DONE, 0.17)
    request = table.next_hold_request(0.18)
    effects = table.on_hold_reply(request, reply, 0.18, 0.19)
    assert ends(effects) == [(TASK, 1, RunEnd.LOST)]


def table_with_run():
    """Returns a table whose executor has confirmed one run."""
    table = open_table()
    answer_ping(table, 0.0)
    (started,) = starts(table.on_start(ENTRY, start(order()), 0.0))
    table.on_start_answer(started, OrderAnswer.DONE, 0.0)
    return table


OTHER = announcement(executor="x-2", started_at=2000)


def test_announcement_in_another_name_ends_no_run():
    """Guards against a second run beside that of an executor that lives.

    One heartbeat of another writer had all runs reported as lost.
    """
    table = table_with_run()
    assert ends(table.on_announcement(OTHER, 0.1)) == []
    request = table.next_hold_request(0.1)
    assert (request.executor, request.lease_until) == ("x-2", None)
    answer = OrderAnswer.OTHER_EXECUTOR
    assert ends(table.on_hold_failed(request, answer, 0.1)) == []
    assert list(table.runs) == [TASK]
    assert table.accepts_starts
    assert table.next_hold_request(0.1).executor == "x-1"


def test_present_executor_that_answers_rules_out_another():
    """Guards against requests to an executor that was never there."""
    table = table_with_run()
    table.on_announcement(OTHER, 0.1)
    unanswered = table.next_hold_request(0.1)
    request = table.next_hold_request(0.11)
    assert request.executor == "x-1"
    reply = hold_reply(running=[(TASK, 1)])
    assert ends(table.on_hold_reply(request, reply, 0.11, 0.12)) == []
    table.on_hold_failed(unanswered, OrderAnswer.UNANSWERED, 0.13)
    assert table.next_hold_request(1.0).executor == "x-1"


@pytest.mark.parametrize(
    "answer",
    [OrderAnswer.UNANSWERED, OrderAnswer.NO_LISTENER, OrderAnswer.REFUSED],
)
def test_announced_executor_is_asked_until_it_answers(answer):
    """Guards against an executor that stays unused after a lost answer."""
    table = table_with_run()
    table.on_announcement(OTHER, 0.1)
    request = table.next_hold_request(0.1)
    assert ends(table.on_hold_failed(request, answer, 0.1)) == []
    now = 0.1 + table.hold_due_in(0.1)
    assert ends(replace_executor(table, OTHER, now)) == [(TASK, 1, RunEnd.LOST)]


def test_foreign_token_at_the_announced_executor_raises_ours():
    """Guards against an executor whose earlier agent had a higher token."""
    table = table_with_run()
    token = table.token
    table.on_announcement(OTHER, 0.1)
    request = table.next_hold_request(0.1)
    table.on_hold_failed(request, OrderAnswer.FENCED, 0.1)
    assert table.token > token
    assert list(table.runs) == [TASK]


def test_false_start_time_under_the_own_name_is_corrected():
    """Guards against an agent that ignores its executor for good.

    A heartbeat of another writer named a later start than the executor's.
    """
    table = table_with_run()
    table.on_announcement(announcement(started_at=9000), 0.1)
    for _ in range(2):
        request = table.next_hold_request(0.1)
        reply = hold_reply(running=[(TASK, 1)])
        assert ends(table.on_hold_reply(request, reply, 0.1, 0.1)) == []
    assert list(table.runs) == [TASK]
    assert table.accepts_starts
    leaving = announcement(sequence=2, leaving=True)
    table.on_announcement(leaving, 0.2)
    assert not table.accepts_starts


@pytest.mark.parametrize("executor", ["x-1", "x-2"])
def test_executor_whose_clock_went_back_is_used_again(executor):
    """Guards against an executor that looks older than the one before it."""
    table = table_with_run()
    restarted = announcement(executor=executor, started_at=500)
    effects = table.on_announcement(restarted, 0.1)
    for _ in range(2):
        request = table.next_hold_request(0.1)
        if request is None:
            break
        reply = hold_reply(started_at=500)
        effects += table.on_hold_reply(request, reply, 0.1, 0.1)
    assert ends(effects) == [(TASK, 1, RunEnd.LOST)]
    assert table.accepts_starts


def test_answer_of_an_earlier_incarnation_is_no_restart():
    """Guards against an answer that was read after the next restart."""
    table = table_with_run()
    early = table.next_hold_request(0.1)
    table.on_announcement(announcement(started_at=2000), 0.1)
    table.on_hold_reply(early, hold_reply([(TASK, 1)]), 0.1, 0.11)
    request = table.next_hold_request(0.12)
    reply = hold_reply(started_at=2000)
    effects = table.on_hold_reply(request, reply, 0.12, 0.13)
    assert ends(effects) == [(TASK, 1, RunEnd.LOST)]


def test_answer_of_an_announced_executor_is_its_first_list():
    """Guards against a round trip for each executor that has restarted."""
    table = table_with_run()
    token = table.token
    effects = replace_executor(table, OTHER, 0.1)
    assert ends(effects) == [(TASK, 1, RunEnd.LOST)]
    assert table.token > token
    assert table.accepts_starts


def test_announced_executor_is_not_open_while_it_has_foreign_runs():
    """Guards against starts beside the runs of an earlier agent."""
    table = table_with_run()
    table.on_announcement(OTHER, 0.1)
    request = table.next_hold_request(0.1)
    reply = hold_reply(running=[("c.0.0.0", 3)], started_at=2000)
    effects = table.on_hold_reply(request, reply, 0.1, 0.1)
    assert [(stop.task, stop.attempt) for stop in stops(effects)] == [
        ("c.0.0.0", 3)
    ]
    assert not table.accepts_starts


def test_token_raised_meanwhile_needs_another_list():
    """Guards against an old order that arrives after the first list."""
    table = table_with_run()
    table.on_announcement(OTHER, 0.1)
    request = table.next_hold_request(0.1)
    table._token.advance()
    reply = hold_reply(started_at=2000)
    table.on_hold_reply(request, reply, 0.1, 0.1)
    assert not table.accepts_starts
    request = table.next_hold_request(0.11)
    assert request.token == table.token
    table.on_hold_reply(request, reply, 0.11, 0.11)
    assert table.accepts_starts
