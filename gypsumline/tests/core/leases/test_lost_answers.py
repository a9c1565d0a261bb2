"""Tests of orders to an executor that stay without an answer."""

import pytest

from gypsumline.core.leases.effects import OrderAnswer
from gypsumline.core.leases.hold_schedule import LOSSY_TRIES, OPEN_LIMIT
from gypsumline.core.leases.messages import RunEnd, StopRuns
from gypsumline.core.leases.run_table import REPEATS_AT_ONCE
from gypsumline.tests.core.leases.builders import (
    ENTRY,
    KEY,
    LEASE,
    announcement,
    answer_ping,
    ends,
    hold_reply,
    open_table,
    order,
    start,
    starts,
    stops,
)

TASK = f"{KEY}.0.0.0"
UNANSWERED = OrderAnswer.UNANSWERED


def table_with_start(now=0.0):
    """Returns a table and the start order that it has sent."""
    table = open_table(now)
    answer_ping(table, now)
    (first,) = starts(table.on_start(ENTRY, start(order(), stamp=now), now))
    return table, first


def repeat(table, order, now):
    """Leaves a start without an answer; returns the repeated one."""
    (again,) = starts(table.on_start_answer(order, UNANSWERED, now))
    return again


def test_start_without_an_answer_is_repeated_under_its_attempt():
    """Guards against a lost answer that costs the run, and all others a fence.

    A repeat with a higher attempt could become a second run.
    """
    table, first = table_with_start()
    again = repeat(table, first, 0.02)
    assert (again.task, again.attempt) == (first.task, first.attempt)
    assert again.token == first.token
    table.on_start_answer(again, OrderAnswer.DONE, 0.03)
    assert table.free.processor == 6000
    ended = [(1, TASK, 1, "done")]
    hold = table.next_hold_request(0.1)
    effects = table.on_hold_reply(hold, hold_reply(ended=ended), 0.1, 0.2)
    assert ends(effects) == [(TASK, 1, RunEnd.DONE)]


def test_start_is_not_repeated_after_its_executor_started_again():
    """Guards against a task that crashes executors and is sent to the next one.

    The next incarnation knows nothing of the attempt and would start it anew.
    """
    table, first = table_with_start()
    table.on_announcement(announcement(started_at=2000), 0.01)
    hold = table.next_hold_request(0.02)
    foreign = hold_reply([(TASK, 1)], started_at=2000)
    table.on_hold_reply(hold, foreign, 0.02, 0.03)
    assert table.accepts_starts
    run = table.runs[TASK]
    assert run.started_at == 0.03
    table, first = table_with_start()
    table.on_announcement(announcement(started_at=2000), 0.01)
    hold = table.next_hold_request(0.02)
    table.on_hold_reply(hold, hold_reply(started_at=2000), 0.02, 0.03)
    assert table.accepts_starts
    effects = table.on_start_answer(first, UNANSWERED, 0.04)
    assert starts(effects) == []
    assert [stop.task for stop in stops(effects)] == [TASK]


def test_start_is_not_repeated_for_an_owner_out_of_contact():
    """Guards against a run that starts after its owner may have rerun it."""
    table, first = table_with_start()
    effects = table.on_start_answer(
        first, UNANSWERED, LEASE.contact_limit + 0.01
    )
    assert starts(effects) == []
    assert len(stops(effects)) == 1


def test_silent_executor_gets_few_repeats():
    """Guards against a storm of orders to an executor that answers nothing."""
    table, again = table_with_start()
    repeats = 0
    while True:
        effects = table.on_start_answer(again, UNANSWERED, 0.001 * repeats)
        if not starts(effects):
            break
        (again,) = starts(effects)
        repeats += 1
    assert 0 < repeats <= REPEATS_AT_ONCE


@pytest.mark.parametrize(
    "answer",
    [
        OrderAnswer.REFUSED,
        OrderAnswer.OLD,
        OrderAnswer.LATE,
        OrderAnswer.NO_LISTENER,
        OrderAnswer.OTHER_EXECUTOR,
    ],
)
def test_refused_repeat_does_not_prove_that_nothing_runs(answer):
    """Guards against "not run" while the first order may be carried out."""
    table, first = table_with_start()
    again = repeat(table, first, 0.02)
    effects = table.on_start_answer(again, answer, 0.03)
    assert ends(effects) == []
    (stop,) = stops(effects)
    table.on_stop_answer(stop, OrderAnswer.DONE, 0.04)
    hold = table.next_hold_request(0.05)
    ended = [(1, TASK, 1, "done")]
    effects = table.on_hold_reply(hold, hold_reply(ended=ended), 0.05, 0.06)
    assert ends(effects) == [(TASK, 1, RunEnd.DONE)]


def test_refusal_of_the_only_try_is_reported_at_once():
    """Guards against waiting for the end of a run that never started."""
    table, first = table_with_start()
    effects = table.on_start_answer(first, OrderAnswer.REFUSED, 0.01)
    assert ends(effects) == [(TASK, 1, RunEnd.REFUSED)]


def test_order_without_a_connection_was_not_sent():
    """Guards against waiting for a run that no order has asked for."""
    table, first = table_with_start()
    effects = table.on_start_answer(first, OrderAnswer.UNSENT, 0.02)
    (again,) = starts(effects)
    effects = table.on_start_answer(again, OrderAnswer.UNSENT, 0.6)
    assert ends(effects) == [(TASK, 1, RunEnd.NO_ROOM)]


def test_late_refusal_of_an_earlier_try_does_not_end_a_run():
    """Guards against an answer that overtakes that of another try."""
    table, first = table_with_start()
    again = repeat(table, first, 0.02)
    table.on_start_answer(again, OrderAnswer.DONE, 0.03)
    assert ends(table.on_start_answer(first, OrderAnswer.LATE, 0.04)) == []
    assert TASK in table.runs


def test_stop_without_an_answer_is_repeated_at_once():
    """Guards against a run that goes on until the next check of its stop."""
    table, first = table_with_start()
    table.on_start_answer(first, OrderAnswer.DONE, 0.01)
    message = StopRuns(tasks=(TASK,), attempts=(1,))
    (stop,) = stops(table.on_stop(ENTRY, message, 0.1))
    (again,) = stops(table.on_stop_answer(stop, UNANSWERED, 0.12))
    assert again.token == stop.token
    assert stops(table.on_stop_answer(again, OrderAnswer.DONE, 0.13)) == []


def test_list_confirms_a_start_whose_answer_was_lost():
    """Guards against a fence although the executor shows the run."""
    table, first = table_with_start()
    hold = table.next_hold_request(0.01)
    table.on_hold_reply(hold, hold_reply([(TASK, 1)]), 0.01, 0.02)
    assert table.on_start_answer(first, UNANSWERED, 0.03) == []
    assert TASK in table.runs


def lossy_table():
    """Returns a table of an executor that leaves many starts unanswered."""
    table, first = table_with_start()
    again = first
    for number in range(1, 9):
        again = repeat(table, again, 0.01 * number)
    return table, again


def test_holds_overlap_while_orders_go_unanswered():
    """Guards against one lost hold that keeps all ends of runs back."""
    table, _ = table_with_start()
    assert table.next_hold_request(0.01).wait > 0.0
    assert table.hold_due_in(0.02) == float("inf")
    table, _ = lossy_table()
    now, requests = 0.1, []
    while table.hold_due_in(now) < 1.0:
        now += table.hold_due_in(now)
        requests.append(table.next_hold_request(now))
    assert len(requests) == OPEN_LIMIT
    assert {request.wait for request in requests} == {0.0}
    assert now < 0.1 + OPEN_LIMIT * LEASE.lossy_hold_interval


def test_lost_holds_in_a_row_do_not_end_the_renewals():
    """Guards against a lease that lapses with two or three lost answers."""
    table, again = lossy_table()
    table.on_start_answer(again, OrderAnswer.DONE, 0.09)
    now = 0.1
    for _ in range(LOSSY_TRIES):
        request = table.next_hold_request(now)
        assert request.lease_until is not None
        table.on_hold_failed(request, UNANSWERED, now + 0.02)
        now += 0.02
    assert table.next_hold_request(now).lease_until is None


def test_renewal_without_an_answer_counts_as_given():
    """Guards against runs reported as lost while their lease is valid."""
    table, again = lossy_table()
    table.on_start_answer(again, OrderAnswer.DONE, 0.09)
    renewed_at = 0.32
    for now in (0.1, 0.2, 0.28, 0.3, 0.31, renewed_at):
        request = table.next_hold_request(now)
        assert request.lease_until is not None
        table.on_hold_failed(request, UNANSWERED, now + 0.02)
    for now in (0.34, 0.36):
        request = table.next_hold_request(now)
        table.on_hold_failed(request, UNANSWERED, now + 0.02)
    answer_ping(table, 0.8)
    lapses_at = (
        renewed_at + LEASE.lease * (1 + LEASE.clock_drift) + LEASE.stop_time
    )
    assert ends(table.tick(lapses_at - 0.01)) == []
    assert ends(table.tick(lapses_at + 0.01)) == [(TASK, 1, RunEnd.LOST)]


def test_list_that_was_overtaken_is_ignored():
    """Guards against stopping runs, or losing them, by an outdated list."""
    table, again = lossy_table()
    table.on_start_answer(again, OrderAnswer.DONE, 0.09)
    early, late = table.next_hold_request(0.1), table.next_hold_request(0.13)
    ended = [(1, TASK, 1, "done")]
    newer = hold_reply(ended=ended, clock=50_150)
    effects = table.on_hold_reply(late, newer, 0.13, 0.15)
    assert ends(effects) == [(TASK, 1, RunEnd.DONE)]
    outdated = hold_reply([(TASK, 1)], clock=50_110)
    effects = table.on_hold_reply(early, outdated, 0.1, 0.16)
    assert stops(effects) == []
    assert table.accepts_starts


def test_request_to_an_earlier_life_is_not_taken_for_a_later_one():
    """Guards against a late answer that hides an open request."""
    table, first = table_with_start()
    table.on_start_answer(first, OrderAnswer.DONE, 0.01)
    early = table.next_hold_request(0.02)
    table.on_announcement(announcement(started_at=2000), 0.03)
    late = table.next_hold_request(0.04)
    assert late.number != early.number
    table.on_hold_failed(early, UNANSWERED, 0.05)
    assert table.hold_due_in(0.05) > 0.0


def test_clock_that_went_back_does_not_end_the_reading_of_lists():
    """Guards against an agent that ignores its executor for good."""
    table, first = table_with_start()
    table.on_start_answer(first, OrderAnswer.DONE, 0.01)
    hold = table.next_hold_request(0.02)
    table.on_hold_reply(hold, hold_reply([(TASK, 1)]), 0.02, 0.03)
    hold = table.next_hold_request(0.04)
    ended = [(1, TASK, 1, "done")]
    back = hold_reply(ended=ended, clock=10)
    assert ends(table.on_hold_reply(hold, back, 0.04, 0.05)) == [
        (TASK, 1, RunEnd.DONE)
    ]


def test_try_without_an_answer_may_reach_the_next_life_of_an_executor():
    """Guards against two runs: here by a late order, and elsewhere.

    The executor confirmed the second try before it crashed; the first may
    still be carried out once it is up again under its name.
    """
    table, first = table_with_start()
    again = repeat(table, first, 0.02)
    table.on_start_answer(again, OrderAnswer.DONE, 0.03)
    effects = []
    for now in (0.1, 0.15, 0.2):
        hold = table.next_hold_request(now)
        effects += table.on_hold_failed(hold, OrderAnswer.NO_LISTENER, now)
    assert ends(effects) == []
    answer_ping(table, 0.7)
    lapses_at = 0.2 + LEASE.lease * (1 + LEASE.clock_drift) + LEASE.stop_time
    assert ends(table.tick(lapses_at)) == [(TASK, 1, RunEnd.LOST)]
