"""Tests of runs whose stop the executor has not confirmed."""

import math

import pytest

from gypsumline.core.leases.effects import OrderAnswer
from gypsumline.core.leases.messages import ClaimRuns, RunEnd, StopRuns
from gypsumline.core.leases.run_table import STOP_RETRY_SECONDS
from gypsumline.tests.core.leases.builders import (
    ENTRY,
    ENTRY_2,
    KEY,
    LEASE,
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
NEIGHBOR = "00000000000000b2.0.0.0"
STEP_SECONDS = 0.01
HOLD_SECONDS = 0.2
# Answers after which a run that the executor lists may still be running.
UNCONFIRMED = [
    answer
    for answer in OrderAnswer
    if answer not in (OrderAnswer.DONE, OrderAnswer.FENCED)
]


class LosingExecutor:
    """An executor that answers hold requests but carries out no stop.

    Attributes:
      table: Table of its agent.
      lease_until: End of the lease on its clock, in seconds.
      stop_orders: Stop orders that it received.
      running: Runs that it lists.
      lists_runs: Whether it answers hold requests.
    """

    def __init__(self, table, answer=OrderAnswer.UNANSWERED):
        self.table = table
        self.lease_until = 0.0
        self.stop_orders = 0
        self.running = set()
        self.lists_runs = True
        self._answer = answer
        self._next_hold = 0.0

    def carry_out(self, effects, now):
        """Confirms starts and answers stops without carrying them out."""
        reports = []
        for effect in starts(effects):
            self._extend(effect.lease_until)
            self.running.add((effect.task, effect.attempt))
            more = self.table.on_start_answer(effect, OrderAnswer.DONE, now)
            reports += ends(more)
        for effect in stops(effects):
            self.stop_orders += 1
            more = self.table.on_stop_answer(effect, self._answer, now)
            reports += ends(more)
        return reports + ends(effects)

    def run(self, since, until, contacts=()):
        """Runs the agent's timers; returns the ends that it reports."""
        reports = []
        for number in range(math.ceil((until - since) / STEP_SECONDS)):
            now = since + number * STEP_SECONDS
            for owner in contacts:
                reports += ends(answer_ping(self.table, now, owner))
            reports += self.carry_out(self.table.tick(now), now)
            if self.lists_runs and now >= self._next_hold:
                reports += self._hold(now)
        return reports

    def _hold(self, now):
        self._next_hold = now + HOLD_SECONDS
        request = self.table.next_hold_request(now)
        if request is None:
            return []
        if request.lease_until is not None:
            self._extend(request.lease_until)
        if now > self.lease_until:
            self.running.clear()
        reply = hold_reply(self.running, clock=50_000 + int(1000 * now))
        effects = self.table.on_hold_reply(request, reply, now, now)
        return self.carry_out(effects, now)

    def _extend(self, lease_until):
        self.lease_until = max(
            self.lease_until, (lease_until - 50_000) / 1000.0
        )


def start_run(executor, owner=ENTRY, task=TASK, now=0.0, count=2):
    answer_ping(executor.table, now, owner)
    message = start(order(task, count=count), stamp=now)
    executor.carry_out(executor.table.on_start(owner, message, now), now)


def stop_of_owner(table, now):
    return table.on_stop(ENTRY, StopRuns(tasks=(TASK,), attempts=(1,)), now)


def claims_without_the_run(table, now):
    return table.on_claims(ENTRY, ClaimRuns(tasks=(), attempts=()), now)


@pytest.mark.parametrize("answer", UNCONFIRMED)
def test_run_of_a_lost_owner_ends_with_the_lease_if_no_stop_is_carried_out(
    answer,
):
    """Guards against two runs of one task.

    Its owner may run it elsewhere once `rerun_wait` has passed without contact.
    """
    executor = LosingExecutor(open_table(), answer)
    start_run(executor)
    executor.run(0.0, 4.0)
    assert executor.lease_until < LEASE.rerun_wait


@pytest.mark.parametrize("revoke", [stop_of_owner, claims_without_the_run])
def test_run_that_its_owner_gave_up_ends_with_the_lease(revoke):
    """Guards against two runs of a job that its caller sends again elsewhere.

    The caller does so `resubmit_delay` after its job was given up.
    """
    executor = LosingExecutor(open_table())
    start_run(executor)
    executor.run(0.0, 0.3, contacts=[ENTRY])
    executor.carry_out(revoke(executor.table, 0.3), 0.3)
    executor.run(0.3, 4.0, contacts=[ENTRY])
    assert executor.lease_until < 0.3 + LEASE.resubmit_delay


def test_starts_do_not_prolong_a_run_that_must_end():
    """Guards against two runs of one task on an executor that gets orders."""
    executor = LosingExecutor(open_table())
    start_run(executor)
    for number in range(11):
        now = 0.1 * number
        executor.run(now, now + 0.1, contacts=[ENTRY_2])
        # Without a need for cores, so that there is room for all of them.
        name = f"{number:016x}.0.0.0"
        start_run(executor, ENTRY_2, name, now + 0.1, count=0)
    assert len(executor.running) > 6
    assert (TASK, 1) in executor.running
    assert executor.lease_until < LEASE.rerun_wait


@pytest.mark.parametrize("answer", UNCONFIRMED)
def test_stop_is_repeated_until_the_executor_confirms_it(answer):
    """Guards against a stop that is never sent again after a refusal."""
    table = open_table()
    executor = LosingExecutor(table, answer)
    start_run(executor)
    executor.run(0.0, 0.3, contacts=[ENTRY])
    executor.carry_out(stop_of_owner(table, 0.3), 0.3)
    # A list that shows the run would have the stop repeated too.
    executor.lists_runs = False
    executor.run(0.3, 0.6, contacts=[ENTRY])
    assert executor.stop_orders >= 0.3 / STOP_RETRY_SECONDS


def test_confirmed_stop_of_a_run_that_goes_on_is_sent_again():
    """Guards against trust in a confirmation that came to nothing."""
    table = open_table()
    executor = LosingExecutor(table, OrderAnswer.DONE)
    start_run(executor)
    executor.run(0.0, 0.3, contacts=[ENTRY])
    executor.carry_out(stop_of_owner(table, 0.3), 0.3)
    executor.run(0.3, 4.0, contacts=[ENTRY])
    assert executor.stop_orders > 1
    assert executor.lease_until < 0.3 + LEASE.resubmit_delay


def test_run_that_no_agent_holds_is_not_prolonged():
    """Guards against a run of a late order that outlives its task's rerun."""
    table = open_table()
    executor = LosingExecutor(table)
    start_run(executor)
    executor.run(0.0, 0.3, contacts=[ENTRY])
    executor.running.add((NEIGHBOR, 1))
    executor.run(0.3, 4.0, contacts=[ENTRY])
    assert executor.lease_until < 0.3 + HOLD_SECONDS + LEASE.resubmit_delay


def test_neighbors_keep_their_lease_once_the_stop_is_confirmed():
    """Guards against runs that end because of one delayed confirmation."""
    table = open_table()
    executor = LosingExecutor(table)
    start_run(executor)
    start_run(executor, ENTRY_2, NEIGHBOR)
    executor.run(0.0, 0.3, contacts=[ENTRY, ENTRY_2])
    effects = stop_of_owner(table, 0.3)
    executor.carry_out(effects, 0.3)
    executor.run(0.3, 0.5, contacts=[ENTRY, ENTRY_2])
    for stop in stops(effects):
        table.on_stop_answer(stop, OrderAnswer.DONE, 0.5)
    executor.running.discard((TASK, 1))
    reports = executor.run(0.5, 3.0, contacts=[ENTRY, ENTRY_2])
    assert executor.lease_until > 3.0
    assert reports == [(TASK, 1, RunEnd.LOST)]


def test_unanswered_start_of_an_owner_in_contact_keeps_the_lease():
    """Guards against neighbors that end for each lost answer."""
    table = open_table()
    executor = LosingExecutor(table)
    start_run(executor, ENTRY_2, NEIGHBOR)
    answer_ping(table, 0.0)
    (unanswered,) = starts(table.on_start(ENTRY, start(order()), 0.0))
    executor.carry_out(
        table.on_start_answer(unanswered, OrderAnswer.UNANSWERED, 0.0), 0.0
    )
    executor.running.add((TASK, 1))
    executor.run(0.0, 3.0, contacts=[ENTRY, ENTRY_2])
    assert executor.lease_until > 3.0


def test_unanswered_start_of_a_lost_owner_does_not_keep_the_lease():
    """Guards against two runs of a task whose first start had no answer."""
    table = open_table()
    executor = LosingExecutor(table)
    answer_ping(table, 0.0)
    (unanswered,) = starts(table.on_start(ENTRY, start(order()), 0.0))
    executor.carry_out(
        table.on_start_answer(unanswered, OrderAnswer.UNANSWERED, 0.0), 0.0
    )
    executor.running.add((TASK, 1))
    executor.run(0.0, 4.0)
    assert executor.lease_until < LEASE.rerun_wait
