"""Tests of an agent's table of runs."""

import dataclasses

import pytest

from gypsumline.core.errors import InvalidInputError
from gypsumline.core.leases.capacity_offers import OFFER_SECONDS
from gypsumline.core.leases.effects import OrderAnswer
from gypsumline.core.leases.messages import (
    ClaimRuns,
    ContactPing,
    ContactPong,
    RunEnd,
    RunReports,
    StopRuns,
    ZonesOut,
)
from gypsumline.core.leases.resources import Resources
from gypsumline.core.leases.run_table import RunTable
from gypsumline.core.leases.settings import LeaseSettings
from gypsumline.tests.core.leases.builders import (
    ENTRY,
    ENTRY_2,
    KEY,
    LEASE,
    agent,
    announcement,
    answer_ping,
    capacity_request,
    ends,
    hold_reply,
    open_table,
    order,
    replace_executor,
    sends,
    start,
    starts,
    stops,
)

TASK = f"{KEY}.0.0.0"


def run_one(table, now=0.0):
    """Starts a run, which the executor confirms."""
    answer_ping(table, now)
    (started,) = starts(table.on_start(ENTRY, start(order(), stamp=now), now))
    table.on_start_answer(started, OrderAnswer.DONE, now)
    return started


def give_up_start(table, order, now=0.55):
    """Lets a start stay without an answer for too long; returns the stop."""
    answer_ping(table, now)
    effects = table.on_start_answer(order, OrderAnswer.UNANSWERED, now)
    assert starts(effects) == []
    (stop,) = stops(effects)
    return stop


def test_times_that_let_two_runs_overlap_are_refused():
    """Guards against leases that outlive the caller's resubmission delay."""
    with pytest.raises(InvalidInputError, match="less than resubmit_delay"):
        LeaseSettings(contact_limit=0.7, lease=0.6, resubmit_delay=1.3)


def test_nothing_starts_before_the_first_list_of_runs():
    """Guards against overload of an executor that an earlier agent filled."""
    table = RunTable(agent(), LEASE, token=100)
    table.on_announcement(announcement(), 0.0)
    table.on_connected(ENTRY, 0.0)
    answer_ping(table, 0.0)
    effects = table.on_start(ENTRY, start(order()), 0.0)
    assert starts(effects) == []
    assert ends(effects) == [(TASK, 1, RunEnd.NOT_TAKEN)]


def test_runs_of_an_earlier_agent_are_stopped_before_the_first_start():
    """Guards against runs whose resources no agent accounts for."""
    table = RunTable(agent(), LEASE, token=100)
    table.on_announcement(announcement(), 0.0)
    hold = table.next_hold_request(0.0)
    effects = table.on_hold_reply(
        hold, hold_reply(running=[("old", 3)]), 0.0, 0.0
    )
    assert [(s.task, s.attempt) for s in stops(effects)] == [("old", 3)]
    assert not table.accepts_starts
    table.on_hold_reply(table.next_hold_request(0.1), hold_reply(), 0.1, 0.1)
    assert table.accepts_starts


def test_resources_are_reserved_from_the_order_until_the_end_is_listed():
    """Guards against more runs than the executor has capacity for."""
    table = open_table()
    started = run_one(table)
    assert table.free == Resources(processor=6000, memory=4032)
    table.on_stop(ENTRY, StopRuns(tasks=(TASK,), attempts=(1,)), 0.1)
    (stop,) = stops(table.tick(0.25)) or [started]
    table.on_stop_answer(stop, OrderAnswer.DONE, 0.26)
    assert table.free.processor == 6000
    hold = table.next_hold_request(0.3)
    ended = [(1, TASK, 1, "stopped")]
    effects = table.on_hold_reply(hold, hold_reply(ended=ended), 0.3, 0.31)
    assert ends(effects) == [(TASK, 1, RunEnd.STOPPED)]
    assert table.free.processor == 8000


def test_start_over_the_free_capacity_is_refused():
    """Guards against a start that exceeds the capacity."""
    table = open_table()
    answer_ping(table, 0.0)
    message = start(order(count=5), order("b.0.0.0", count=4))
    effects = table.on_start(ENTRY, message, 0.0)
    assert len(starts(effects)) == 1
    assert ends(effects) == [("b.0.0.0", 1, RunEnd.NO_ROOM)]


def test_start_of_a_task_that_runs_here_is_refused():
    """Guards against a second run of a task that was resubmitted."""
    table = open_table()
    run_one(table)
    answer_ping(table, 0.0, ENTRY_2)
    effects = table.on_start(ENTRY_2, start(order(attempt=2)), 0.0)
    assert starts(effects) == []
    assert ends(effects) == [(TASK, 2, RunEnd.NOT_TAKEN)]


def test_runs_of_an_owner_out_of_contact_are_stopped():
    """Guards against runs that continue after their owner is lost."""
    table = open_table()
    run_one(table)
    limit = LEASE.contact_limit
    assert stops(table.tick(limit - 0.01)) == []
    assert [stop.task for stop in stops(table.tick(limit + 0.01))] == [TASK]


def test_run_is_stopped_before_the_lease_is_renewed_after_a_pause():
    """Guards against a permission that ran out while the process was paused."""
    table = open_table()
    run_one(table)
    effects = table.check_runs(LEASE.contact_limit + 0.01)
    assert [stop.task for stop in stops(effects)] == [TASK]


def test_start_with_a_stale_stamp_is_deferred_until_contact():
    """Guards against a start from an owner that was paused."""
    table = open_table()
    effects = table.on_start(ENTRY, start(order(), stamp=0.0), 1.0)
    assert starts(effects) == []
    assert [to for to, _ in sends(effects, ContactPing)] == ["entry-1"]
    assert len(starts(answer_ping(table, 1.0))) == 1


def test_stamp_of_no_ping_is_no_contact():
    """Guards against an owner that a false stamp keeps in contact."""
    table = open_table()
    run_one(table)
    table.on_pong(ENTRY, ContactPong(stamp=100.0), 0.1)
    later = LEASE.contact_limit + 0.01
    assert [stop.task for stop in stops(table.tick(later))] == [TASK]


def test_start_is_not_accepted_just_before_the_contact_limit():
    """Guards against a run that is stopped before its owner can be pinged."""
    table = open_table()
    answer_ping(table, 0.0)
    now = LEASE.contact_limit - 0.01
    effects = table.on_start(ENTRY, start(order(), stamp=0.0), now)
    assert starts(effects) == []
    assert len(sends(effects, ContactPing)) == 1
    assert len(starts(answer_ping(table, now + 0.002))) == 1
    assert stops(table.tick(now + LEASE.tick_interval)) == []


def test_stop_cancels_a_deferred_start():
    """Guards against starting a run that its owner has already stopped."""
    table = open_table()
    table.on_start(ENTRY, start(order(), stamp=0.0), 1.0)
    table.on_stop(ENTRY, StopRuns(tasks=(TASK,), attempts=(1,)), 1.0)
    assert starts(answer_ping(table, 1.0)) == []


def test_unanswered_start_is_fenced_and_keeps_its_resources():
    """Guards against an unanswered order that is carried out after a delay."""
    table = open_table()
    answer_ping(table, 0.0)
    (started,) = starts(table.on_start(ENTRY, start(order()), 0.0))
    stop = give_up_start(table, started)
    assert stop.token > started.token
    assert table.free.processor == 6000
    early_hold = table.next_hold_request(0.56)
    table.on_stop_answer(stop, OrderAnswer.DONE, 0.6)
    assert ends(table.on_hold_reply(early_hold, hold_reply(), 0.56, 0.61)) == []
    hold = table.next_hold_request(0.62)
    assert hold.token > started.token
    effects = table.on_hold_reply(hold, hold_reply(), 0.62, 0.63)
    assert ends(effects) == [(TASK, 1, RunEnd.LOST)]
    assert table.free.processor == 8000


def test_start_that_a_higher_token_fenced_is_ordered_again():
    """Guards against losing runs because another order went unanswered."""
    table = open_table()
    answer_ping(table, 0.0)
    first, second = starts(
        table.on_start(ENTRY, start(order(), order("b.0.0.0")), 0.0)
    )
    give_up_start(table, first)
    effects = table.on_start_answer(second, OrderAnswer.FENCED, 0.55)
    (again,) = starts(effects)
    assert again.task == "b.0.0.0"
    assert again.token > second.token


def test_nothing_starts_between_a_foreign_token_and_the_next_list():
    """Guards against overload by a late order of an earlier agent.

    A token above the own one shows that such an order has reached the executor,
    where it may have started a run.
    """
    table = open_table()
    answer_ping(table, 0.0)
    (first,) = starts(table.on_start(ENTRY, start(order()), 0.0))
    effects = table.on_start_answer(first, OrderAnswer.FENCED, 0.01)
    assert starts(effects) == []
    assert ends(effects) == [(TASK, 1, RunEnd.NOT_TAKEN)]
    hold = table.next_hold_request(0.02)
    foreign = ("c.0.0.0", 1)
    effects = table.on_hold_reply(hold, hold_reply([foreign]), 0.02, 0.03)
    assert [stop.task for stop in stops(effects)] == ["c.0.0.0"]
    assert not table.accepts_starts
    hold = table.next_hold_request(0.05)
    table.on_hold_reply(hold, hold_reply(), 0.05, 0.06)
    assert table.accepts_starts


def test_token_rises_above_that_of_an_earlier_agent():
    """Guards against permanent fencing after an agent's clock went back."""
    table = RunTable(agent(), LEASE, token=100)
    table.on_announcement(announcement(), 0.0)
    tokens = []
    for _ in range(3):
        hold = table.next_hold_request(0.0)
        tokens.append(hold.token)
        table.on_hold_failed(hold, OrderAnswer.FENCED, 0.0)
    assert tokens[2] - tokens[1] == 2 * (tokens[1] - tokens[0]) > 0


def test_unresponsive_executor_loses_its_runs_with_the_lease():
    """Guards against an owner that waits forever for a crashed executor."""
    table = open_table()
    run_one(table)
    hold = table.next_hold_request(0.1)
    table.on_hold_failed(hold, OrderAnswer.UNANSWERED, 0.5)
    assert table.next_hold_request(0.5).lease_until is None
    answer_ping(table, 0.7)
    assert ends(table.tick(0.75)) == []
    assert ends(table.tick(0.78)) == [(TASK, 1, RunEnd.LOST)]
    assert not table.accepts_starts


def test_new_executor_ends_the_runs_of_its_predecessor():
    """Guards against waiting for runs of an executor that was replaced."""
    table = open_table()
    started = run_one(table)
    newer = announcement(executor="x-2", started_at=2000)
    effects = replace_executor(table, newer, 0.1)
    assert ends(effects) == [(TASK, 1, RunEnd.LOST)]
    assert table.token > started.token


def test_restart_under_the_same_name_is_reconciled_with_the_list_of_runs():
    """Guards against reporting a run as lost that a new incarnation runs.

    The incarnation accepted the run before its first heartbeat. The run was
    reported as lost and placed elsewhere as well (`properties.lease_walk`,
    seed 12).
    """
    table = open_table()
    run_one(table)
    answer_ping(table, 0.1)
    (started,) = starts(
        table.on_start(ENTRY, start(order("b.0.0.0"), stamp=0.1), 0.1)
    )
    table.on_start_answer(started, OrderAnswer.DONE, 0.1)
    effects = table.on_announcement(announcement(started_at=2000), 0.2)
    assert ends(effects) == []
    assert not table.accepts_starts
    hold = table.next_hold_request(0.2)
    assert (hold.token > started.token, hold.acknowledged_end) == (True, 0)
    listed = hold_reply(running=[("b.0.0.0", 1)], started_at=2000)
    effects = table.on_hold_reply(hold, listed, 0.2, 0.21)
    assert ends(effects) == [(TASK, 1, RunEnd.LOST)]
    assert list(table.runs) == ["b.0.0.0"]


def test_lease_of_an_order_taken_by_the_new_incarnation_is_kept():
    """Guards against reporting runs as lost while their lease is valid.

    The new incarnation accepts the order, with its lease, before its first
    heartbeat, and a hold request to the earlier incarnation is not answered
    (`properties.lease_walk`, seed 333).
    """
    table = open_table()
    answer_ping(table, 0.1)
    (started,) = starts(table.on_start(ENTRY, start(order(), stamp=0.1), 0.1))
    table.on_start_answer(started, OrderAnswer.DONE, 0.1)
    table.on_announcement(announcement(started_at=2000), 0.15)
    hold = table.next_hold_request(0.16)
    table.on_hold_failed(hold, OrderAnswer.UNANSWERED, 0.4)
    answer_ping(table, 0.5)
    assert ends(table.tick(0.5)) == []
    assert ends(table.tick(0.85)) == [(TASK, 1, RunEnd.LOST)]


def test_restart_shows_in_the_list_of_runs_before_the_heartbeat():
    """Guards against missing a restart whose heartbeat is still due."""
    table = open_table()
    run_one(table)
    hold = table.next_hold_request(0.1)
    effects = table.on_hold_reply(hold, hold_reply(started_at=3000), 0.1, 0.1)
    assert ends(effects) == []
    hold = table.next_hold_request(0.2)
    effects = table.on_hold_reply(hold, hold_reply(started_at=3000), 0.2, 0.2)
    assert ends(effects) == [(TASK, 1, RunEnd.LOST)]


def test_delayed_heartbeat_of_an_earlier_executor_is_ignored():
    """Guards against a heartbeat that was delayed by a network partition."""
    table = open_table()
    late = announcement(executor="x-0", started_at=500, sequence=90)
    table.on_announcement(late, 1.0)
    assert table.accepts_starts
    table.on_announcement(announcement(sequence=0, leaving=True), 1.0)
    assert table.accepts_starts


def test_leaving_executor_takes_no_starts_but_keeps_its_runs():
    """Guards against starts on an executor that is draining."""
    table = open_table()
    run_one(table)
    table.on_announcement(announcement(sequence=2, leaving=True), 0.1)
    answer_ping(table, 0.1)
    effects = table.on_start(ENTRY, start(order("b.0.0.0"), stamp=0.1), 0.1)
    assert ends(effects) == [("b.0.0.0", 1, RunEnd.NOT_TAKEN)]
    assert list(table.runs) == [TASK]


def test_zone_that_is_out_takes_no_starts():
    """Guards against an older list of excluded zones that arrives later."""
    table = open_table()
    table.on_zones_out(ZonesOut(version=7, zones=("north",)), 0.0)
    table.on_zones_out(ZonesOut(version=6, zones=()), 0.0)
    answer_ping(table, 0.0)
    effects = table.on_start(ENTRY, start(order()), 0.0)
    assert ends(effects) == [(TASK, 1, RunEnd.NOT_TAKEN)]


def test_claims_reconcile_runs_after_a_broken_stream():
    """Guards against runs that only the owner or only the agent knows."""
    table = open_table()
    run_one(table)
    table.on_disconnected(ENTRY, 0.1)
    table.on_connected(ENTRY, 0.1)
    claims = ClaimRuns(tasks=("b.0.0.0",), attempts=(1,))
    effects = table.on_claims(ENTRY, claims, 0.1)
    assert [stop.task for stop in stops(effects)] == [TASK]
    assert ends(effects) == [("b.0.0.0", 1, RunEnd.LOST)]


def test_new_incarnation_of_an_owner_ends_the_runs_of_the_old_one():
    """Guards against runs that outlive a restart of their owner."""
    table = open_table()
    run_one(table)
    newer = ENTRY.__class__(
        member_id=ENTRY.member_id,
        incarnation=2,
        role=ENTRY.role,
        availability_zone=ENTRY.availability_zone,
        address=ENTRY.address,
    )
    table.on_connected(newer, 0.1)
    effects = table.on_claims(newer, ClaimRuns(tasks=(), attempts=()), 0.1)
    assert [stop.task for stop in stops(effects)] == [TASK]


def test_every_end_is_acknowledged_even_if_nothing_runs():
    """Guards against ends that the executor keeps listing."""
    table = open_table()
    run_one(table)
    hold = table.next_hold_request(0.1)
    ended = [(1, TASK, 1, "done")]
    table.on_hold_reply(hold, hold_reply(ended=ended), 0.1, 0.2)
    assert not table.is_idle
    assert table.next_hold_request(0.2).acknowledged_end == 1
    table.on_hold_reply(table.next_hold_request(0.2), hold_reply(), 0.2, 0.2)
    assert table.next_hold_request(0.2) is None


def full_table():
    """Returns a table whose executor is fully used by one run."""
    table = open_table()
    answer_ping(table, 0.0)
    (started,) = starts(table.on_start(ENTRY, start(order(count=8)), 0.0))
    table.on_start_answer(started, OrderAnswer.DONE, 0.0)
    return table


def end_run(table, now=0.2):
    """Handles a hold reply that lists the end of the run."""
    hold = table.next_hold_request(now)
    ended = [(1, TASK, 1, "done")]
    return table.on_hold_reply(hold, hold_reply(ended=ended), now, now)


def offers(effects):
    return [
        to for to, message in sends(effects, RunReports) if message.load.offered
    ]


def test_free_capacity_is_offered_to_the_most_urgent_owner_first():
    """Load pattern: all executors are full and several owners wait.

    Guards against a race for the same capacity, which the nearest owner would
    win regardless of priority.
    """
    table = full_table()
    answer_ping(table, 0.1, ENTRY, capacity_request(priority=2, processor=8000))
    answer_ping(
        table, 0.1, ENTRY_2, capacity_request(priority=0, processor=8000)
    )
    assert offers(end_run(table)) == ["entry-2"]
    message = start(
        order("b.0.0.0"), stamp=0.1, wish=capacity_request(priority=2)
    )
    refused = table.on_start(ENTRY, message, 0.2)
    assert ends(refused) == [("b.0.0.0", 1, RunEnd.NO_ROOM)]
    declined = table.on_pong(
        ENTRY_2, ContactPong(stamp=0.1, wish=capacity_request(priority=0)), 0.21
    )
    assert offers(declined) == ["entry-1"]


def test_free_capacity_is_shared_by_the_requests_that_fit():
    """Guards against reserving all capacity for an owner that needs a part."""
    table = full_table()
    answer_ping(table, 0.1, ENTRY, capacity_request(processor=2000))
    answer_ping(table, 0.1, ENTRY_2, capacity_request(processor=2000))
    assert sorted(offers(end_run(table))) == ["entry-1", "entry-2"]


def test_offer_without_an_answer_goes_to_the_next_owner():
    """Guards against capacity reserved for an unresponsive owner."""
    table = full_table()
    answer_ping(table, 0.1, ENTRY, capacity_request(priority=2, processor=8000))
    answer_ping(
        table, 0.1, ENTRY_2, capacity_request(priority=0, processor=8000)
    )
    assert offers(end_run(table)) == ["entry-2"]
    assert offers(table.tick(0.2 + 2 * OFFER_SECONDS)) == ["entry-1"]
    assert offers(table.tick(0.2 + 4 * OFFER_SECONDS)) == []


def resized(processor, sequence=2):
    return dataclasses.replace(
        announcement(sequence=sequence),
        capacity=Resources(processor=processor, memory=4096),
    )


def test_owners_learn_of_a_changed_capacity_at_once():
    """Guards against admission that follows the room only with the pings."""
    table = open_table()
    for processor, sequence in ((1000, 2), (8000, 3)):
        effects = table.on_announcement(resized(processor, sequence), 0.1)
        loads = [m.load.free.processor for _, m in sends(effects, RunReports)]
        assert loads == [processor, processor]
    assert table.on_announcement(resized(8000, 4), 0.2) == []


def test_nothing_starts_while_runs_exceed_a_reduced_capacity():
    """Guards against a start over the capacity of a shrunk executor."""
    table = open_table()
    run_one(table)
    table.on_announcement(resized(1000), 0.1)
    answer_ping(table, 0.1)
    late = start(order("b.0.0.0", count=1), stamp=0.1)
    effects = table.on_start(ENTRY, late, 0.1)
    assert starts(effects) == []
    assert ends(effects) == [("b.0.0.0", 1, RunEnd.NO_ROOM)]


def test_fenced_start_is_not_repeated_over_a_reduced_capacity():
    """Guards against a repeated order that assumes the earlier capacity."""
    table = open_table()
    answer_ping(table, 0.0)
    both = start(order(), order("b.0.0.0"))
    started, other = starts(table.on_start(ENTRY, both, 0.0))
    # Raises the token, so that the refusal of the earlier one is no surprise.
    give_up_start(table, other)
    table.on_announcement(resized(1000), 0.55)
    effects = table.on_start_answer(started, OrderAnswer.FENCED, 0.55)
    assert starts(effects) == []
    assert ends(effects) == [(TASK, 1, RunEnd.NOT_TAKEN)]
