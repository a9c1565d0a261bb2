"""Tests of what agents and owners do while nothing runs.

Load pattern: a large fleet at rest, in which each agent knows every entry.
"""

import dataclasses

import pytest

from gypsumline.core.leases.messages import ContactPing
from gypsumline.tests.core.leases.builders import (
    ENTRY,
    ENTRY_2,
    KEY,
    LEASE,
    agent,
    answer_ping,
    capacity_request,
    handle_ping,
    join,
    load,
    open_table,
    order,
    owner,
    request,
    sends,
    start,
)

ENTRIES = [
    dataclasses.replace(ENTRY, member_id=f"entry-{number}")
    for number in range(9)
]


def rest(table, seconds, now=0.0):
    """Ticks as often as the table asks for; returns the pings of each tick."""
    ticks = []
    end = now + seconds
    while (now := now + table.next_tick_in(now)) <= end:
        effects = table.tick(now)
        ticks.append([to for to, _ in sends(effects, ContactPing)])
        for entry in ENTRIES:
            answer_ping(table, now, entry)
    return ticks


def test_agent_at_rest_wakes_up_once_for_the_pings_to_all_owners():
    """Guards against work that grows with the entries and the time."""
    table = open_table()
    for number, entry in enumerate(ENTRIES):
        table.on_connected(entry, 0.01 * number)
    ticks = rest(table, 16.0, 0.1)
    assert len(ticks) <= 16.0 / LEASE.rest_ping_interval + 1
    owners = {*ENTRIES, ENTRY, ENTRY_2}
    assert all(len(pinged) == len(owners) for pinged in ticks)


def test_agent_at_rest_stays_usable_between_its_pings():
    """Guards against a fleet at rest that gets no work."""
    leased = owner()
    join(leased, agent())
    now = 0.0
    for _ in range(5):
        assert leased.usable_agents(now + LEASE.rest_ping_interval + 0.3) == 1
        now += LEASE.rest_ping_interval
        handle_ping(leased, agent(), ContactPing(stamp=now, load=load()), now)


@pytest.mark.parametrize("entries", [3, 16, 35])
def test_pings_to_owners_without_runs_are_bounded(entries):
    """Guards against the cost of a busy agent that grows with the entries."""
    table = open_table()
    answer_ping(table, 0.0)
    table.on_start(ENTRY, start(order()), 0.0)
    for number in range(entries):
        entry = dataclasses.replace(ENTRY, member_id=f"idle-{number}")
        table.on_connected(entry, 0.0)
    pings = 0
    for tick in range(1, 321):
        now = tick * LEASE.tick_interval
        effects = table.tick(now)
        to = [name for name, _ in sends(effects, ContactPing)]
        pings += sum(name.startswith("idle") for name in to)
        answer_ping(table, now)
    seconds = 320 * LEASE.tick_interval
    limit = max(LEASE.idle_ping_rate, entries / LEASE.rest_ping_interval)
    assert entries * (seconds // LEASE.rest_ping_interval) <= pings
    assert pings <= limit * seconds + entries


@pytest.mark.parametrize("work", ["run", "wish"])
def test_agent_with_work_checks_often(work):
    """Guards against runs that outlive the contact with their owner."""
    table = open_table()
    answer_ping(table, 0.0)
    if work == "run":
        table.on_start(ENTRY, start(order()), 0.0)
    else:
        answer_ping(table, 0.0, wish=capacity_request())
    assert table.next_tick_in(0.0) == LEASE.tick_interval


def test_agent_that_does_not_take_up_an_order_gets_no_others():
    """Guards against work lost at an agent that is paused or cut off."""
    leased = owner()
    join(leased, agent())
    leased.submit(request(), 0.0)
    assert leased.usable_agents(0.4) == 1
    assert leased.usable_agents(0.6) == 0
    handle_ping(leased, agent(), ContactPing(stamp=0.7, load=load(seen=1)), 0.7)
    assert leased.usable_agents(0.7) == 1


def test_owner_checks_rarely_only_while_it_has_nothing_open():
    """Guards against overdue jobs, and against entries that never rest."""
    leased = owner()
    join(leased, agent())
    at_rest = leased.next_tick_in
    leased.submit(request(), 0.0)
    assert leased.next_tick_in < at_rest
    leased.abandon(KEY, 0.1)
    # The run may still be active.
    assert leased.next_tick_in < at_rest
