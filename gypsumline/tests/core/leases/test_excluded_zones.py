"""Tests of the age of an agent's list of excluded zones."""

import pytest

from gypsumline.core.leases.messages import (
    ContactPing,
    ContactPong,
    ZonesOut,
)
from gypsumline.tests.core.leases.builders import (
    ENTRY,
    ENTRY_2,
    LEASE,
    agent,
    handle_ping,
    load,
    open_table,
    owner,
    sends,
)

LIMIT = LEASE.zones_age_limit


def pong(table, sent_at, age, now, entry=ENTRY):
    """Handles an answer to a ping that was sent at `sent_at`."""
    table.on_pong(entry, ContactPong(stamp=sent_at, zones_age=age), now)


def test_agent_reads_the_zones_once_all_entries_lists_are_old():
    """Guards against starts in a zone that went out while no entry knew."""
    table = open_table()
    pong(table, 1.0, 0.2, 1.1)
    pong(table, 2.0, 5.0, 2.1, ENTRY_2)
    assert table.zones_doubtful_in(2.0) == pytest.approx(0.8 + LIMIT - 2.0)
    assert table.zones_doubtful_in(0.8 + LIMIT) == 0.0
    pong(table, 4.0, 0.5, 4.1)
    assert table.zones_doubtful_in(4.1) == pytest.approx(3.5 + LIMIT - 4.1)


def test_answer_that_arrives_late_does_not_look_recent():
    """Guards against an age that is reckoned from the arrival."""
    table = open_table()
    pong(table, 1.0, 0.0, 3.0)
    assert table.zones_doubtful_in(3.0) == pytest.approx(1.0 + LIMIT - 3.0)


@pytest.mark.parametrize("age", [None, 1e300])
def test_entry_without_a_list_says_nothing(age):
    """Guards against trust in entries of a version that sends no age."""
    table = open_table()
    pong(table, 2.0, age, 2.1)
    assert table.zones_doubtful_in(LIMIT) == 0.0


def test_stamp_in_the_future_does_not_make_a_list_recent():
    """Guards against an agent that never reads the zones itself again."""
    table = open_table()
    pong(table, 2.0**50, 0.0, 2.0)
    assert table.zones_doubtful_in(2.0) == pytest.approx(LIMIT - 2.0)


def test_starts_end_when_the_agent_has_read_the_zones():
    """Guards against a list of its own that an agent does not apply."""
    table = open_table()
    table.on_zones_out(ZonesOut(version=5, zones=("north",)), 4.0)
    assert not table.accepts_starts
    table.on_zones_out(ZonesOut(version=4, zones=()), 4.1)
    assert not table.accepts_starts
    table.on_zones_out(ZonesOut(version=6, zones=()), 4.2)
    assert table.accepts_starts


def zones_ages(leased, now):
    """Returns the ages that the owner sends with its answer to a ping."""
    ping = ContactPing(stamp=now, load=load())
    effects = handle_ping(leased, agent(), ping, now)
    return [message.zones_age for _, message in sends(effects, ContactPong)]


def test_entry_says_how_old_its_list_is():
    """Guards against agents that trust an entry without the store."""
    leased = owner()
    leased.on_connected(agent(), 0.0)
    assert zones_ages(leased, 0.1) == [None]
    leased.record_zones_read(0.5)
    leased.record_zones_read(0.4)
    assert zones_ages(leased, 2.0) == [1.5]
