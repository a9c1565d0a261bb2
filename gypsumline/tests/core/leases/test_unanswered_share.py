"""Tests of what agents and owners make of an executor's unanswered orders."""

import dataclasses

import pytest

from gypsumline.core.effects import Decision
from gypsumline.core.leases.effects import OrderAnswer
from gypsumline.core.leases.messages import ContactPing, RunReports, StartRuns
from gypsumline.core.leases.unanswered_share import UnansweredShare
from gypsumline.tests.core.leases.builders import (
    agent,
    announcement,
    hold_reply,
    join,
    load,
    open_table,
    owner,
    request,
    sends,
)


def lose_holds(table, count, now, answer=OrderAnswer.UNANSWERED):
    """Sends hold requests that get an answer or none; returns the time."""
    table.on_announcement(announcement(started_at=2000), now)
    for _ in range(count):
        now += 0.02
        hold = table.next_hold_request(now)
        if answer is OrderAnswer.UNANSWERED:
            table.on_hold_failed(hold, answer, now)
        else:
            table.on_hold_reply(hold, hold_reply(started_at=2000), now, now)
    return now


def events(effects):
    return [e.event for e in effects if isinstance(e, Decision)]


def test_operators_are_told_once_of_an_executor_that_answers_little():
    """Guards against one line for each lost order, or none at all."""
    table = open_table()
    now = lose_holds(table, 40, 0.1)
    assert "orders_unanswered" in events(table.tick(now))
    assert "orders_unanswered" not in events(table.tick(now + 0.03))


def test_owners_learn_the_share_with_the_load():
    """Guards against owners that place as many runs where orders get lost."""
    table = open_table()
    now = lose_holds(table, 40, 0.1)
    effects = table.on_announcement(
        dataclasses.replace(
            announcement(started_at=2000, sequence=2), leaving=True
        ),
        now,
    )
    shares = {m.load.unanswered for _, m in sends(effects, RunReports)}
    assert min(shares) > 0.8


def test_share_follows_and_is_forgotten():
    """Guards against an executor that is avoided for good without orders."""
    share = UnansweredShare()
    for number in range(30):
        share.record(number % 2 == 0, 0.02 * number)
    assert share.value(0.6) == pytest.approx(0.45, abs=0.1)
    assert share.is_lossy(0.6)
    assert share.value(20.0) < 0.04
    assert not share.is_lossy(30.0)


def placed_at(leased, key):
    effects = leased.submit(request(key=key), 0.1)
    return [to for to, _ in sends(effects, StartRuns)]


def test_runs_go_where_orders_are_answered():
    """Guards against starts that wait for several tries beside free room."""
    leased = owner()
    for number, share in ((1, 0.5), (2, 0.0)):
        member = agent(number)
        leased.on_connected(member, 0.0)
        lossy = dataclasses.replace(
            load(executor=f"x-{number}"), unanswered=share
        )
        leased.on_ping(member, ContactPing(stamp=0.0, load=lossy), 0.0)
    assert placed_at(leased, "00000000000000c1") == ["agent-2"]


def test_last_executor_is_used_whatever_it_loses():
    """Guards against a service without executors while one still works."""
    leased = owner()
    join(leased, agent(1))
    lossy = dataclasses.replace(load(), unanswered=1.0)
    leased.on_ping(agent(1), ContactPing(stamp=0.1, load=lossy), 0.1)
    assert placed_at(leased, "00000000000000c2") == ["agent-1"]
