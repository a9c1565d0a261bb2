"""Tests of what an agent takes as the proof that a run has ended."""

import pytest

from gypsumline.core.leases.effects import OrderAnswer
from gypsumline.core.leases.messages import RunEnd
from gypsumline.tests.core.leases.builders import (
    ENTRY,
    KEY,
    answer_ping,
    ends,
    open_table,
    order,
    start,
    starts,
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
