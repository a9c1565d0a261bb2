"""Tests of an agent whose executor answers no calls."""

from gypsumline.core.leases.effects import OrderAnswer
from gypsumline.core.leases.messages import RunEnd, RunReports
from gypsumline.tests.core.leases.builders import (
    ENTRY,
    answer_ping,
    hold_reply,
    open_table,
    order,
    sends,
    start,
    starts,
)

TASKS = [f"00000000000000a1.0.0.{number}" for number in range(3)]


def busy_table():
    """Returns a table and the orders of three runs without an answer."""
    table = open_table()
    answer_ping(table, 0.0)
    orders = [order(task) for task in TASKS]
    effects = table.on_start(ENTRY, start(*orders), 0.1)
    return table, starts(effects)


def taking(effects):
    """Returns what the owners are told about whether starts are accepted."""
    return [message.load.taking for _, message in sends(effects, RunReports)]


def test_agent_closes_after_several_calls_without_an_answer():
    """Guards against orders to an executor that is silent for longer."""
    table, orders = busy_table()
    table.on_start_answer(orders[0], OrderAnswer.UNANSWERED, 0.35)
    assert table.accepts_starts
    effects = table.on_start_answer(orders[1], OrderAnswer.UNANSWERED, 0.36)
    assert not table.accepts_starts
    assert taking(effects) == [False, False]
    effects = table.on_start_answer(orders[2], OrderAnswer.UNANSWERED, 0.37)
    assert taking(effects) == []


def test_lost_answers_do_not_close_an_agent_that_gets_others():
    """Guards against an agent that closes for a few lost answers."""
    table, orders = busy_table()
    table.on_start_answer(orders[0], OrderAnswer.DONE, 0.2)
    table.on_start_answer(orders[1], OrderAnswer.UNANSWERED, 0.35)
    table.on_start_answer(orders[2], OrderAnswer.UNANSWERED, 0.36)
    assert table.accepts_starts


def test_any_answer_opens_a_silent_agent_again():
    """Guards against an executor that is back and gets no runs."""
    table, orders = busy_table()
    for number in (0, 1):
        table.on_start_answer(orders[number], OrderAnswer.UNANSWERED, 0.35)
    hold = table.next_hold_request(0.36)
    effects = table.on_hold_reply(hold, hold_reply(), 0.36, 0.37)
    assert table.accepts_starts
    assert True in taking(effects)


def test_silent_agent_without_runs_asks_until_it_is_answered():
    """Guards against an agent that stays closed because nothing runs."""
    table, orders = busy_table()
    for number in (0, 1):
        table.on_start_answer(orders[number], OrderAnswer.UNANSWERED, 0.35)
    table.on_start_answer(orders[2], OrderAnswer.UNSENT, 0.36)
    for run in list(table.runs.values()):
        table._end_unstarted(run, RunEnd.NOT_TAKEN, 0.36)
    assert table.is_idle
    assert not table.accepts_starts
    assert table.next_hold_request(0.4) is not None
