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
