"""Tests of `LockTable`."""

import dataclasses

import pytest

from gypsumline.core.leases.lock_messages import LockKeys, LockState
from gypsumline.core.leases.lock_table import LockTable
from gypsumline.tests.core.leases.builders import ENTRY, ENTRY_2, KEY, LEASE

OTHER_KEY = "00000000000000b2"
NEXT_ENTRY = dataclasses.replace(ENTRY, incarnation=2)


@pytest.fixture(name="table")
def fixture_table():
    """The table of an agent that has been running for a while."""
    return LockTable(LEASE, -LEASE.lock_expiry)


def ask(table, owner, now, *keys, number=1, is_complete=False, held=()):
    message = LockKeys(
        number=number, keys=keys or (KEY,), is_complete=is_complete, held=held
    )
    return table.request(owner, message, now).states


def list_none(table, owner, now, uptime):
    """Has an owner list its locks, of which it has none."""
    message = LockKeys(number=1, keys=(), is_complete=True, uptime=uptime)
    table.request(owner, message, now)


def test_lock_is_granted_to_one_owner(table):
    """Guards against two entries that run one job."""
    assert ask(table, ENTRY, 0.0) == (LockState.GRANTED,)
    assert ask(table, ENTRY_2, 0.1) == (LockState.HELD,)
    assert ask(table, ENTRY, 0.2) == (LockState.GRANTED,)
    table.release(ENTRY_2, [KEY], 1)
    assert ask(table, ENTRY_2, 0.3) == (LockState.HELD,)
    table.release(ENTRY, [KEY], 1)
    assert ask(table, ENTRY_2, 0.4) == (LockState.GRANTED,)


def test_lock_outlasts_the_runs_of_its_owner():
    """Guards against a second run beside those of a paused entry."""
    table = LockTable(LEASE, -LEASE.lock_expiry)
    ask(table, ENTRY, 0.0)
    ask(table, ENTRY, 1.0)
    end = 1.0 + LEASE.lock_expiry
    assert end - 1.0 > LEASE.lock_validity + LEASE.rerun_wait
    assert ask(table, ENTRY_2, end - 0.01) == (LockState.HELD,)
    assert ask(table, ENTRY_2, end) == (LockState.GRANTED,)


def test_lock_of_an_entry_that_restarts_ends_with_its_runs(table):
    """Guards against jobs that wait longer than the runs of a killed entry."""
    ask(table, ENTRY, 0.0)
    table.on_connected(NEXT_ENTRY, 0.1)
    end = 0.1 + LEASE.rerun_wait
    assert ask(table, NEXT_ENTRY, end - 0.01) == (LockState.HELD,)
    assert ask(table, NEXT_ENTRY, end) == (LockState.GRANTED,)


def test_agent_that_has_started_grants_only_what_owners_have():
    """Guards against a second owner after the restart of an agent."""
    table = LockTable(LEASE, 0.0)
    end = LEASE.lock_expiry
    assert ask(table, ENTRY_2, 0.01) == (LockState.UNSURE,)
    # Requested, but not granted by the earlier incarnation.
    assert ask(table, ENTRY_2, 0.02, is_complete=True) == (LockState.UNSURE,)
    states = ask(table, ENTRY, 0.03, is_complete=True, held=(KEY,))
    assert states == (LockState.GRANTED,)
    assert ask(table, ENTRY_2, 0.04) == (LockState.HELD,)
    assert ask(table, ENTRY, end - 0.01) == (LockState.GRANTED,)
    assert ask(table, ENTRY_2, end, OTHER_KEY) == (LockState.GRANTED,)


def test_agent_that_has_started_is_certain_once_all_entries_have_listed():
    """Guards against keys that wait after each restart of an agent."""
    table = LockTable(LEASE, 0.0)
    list_none(table, ENTRY, 0.1, uptime=60.0)
    table.expect({"entry-1": 1, "entry-2": 1})
    assert ask(table, ENTRY, 0.2) == (LockState.UNSURE,)
    list_none(table, ENTRY_2, 0.3, uptime=60.0)
    assert ask(table, ENTRY, 0.4) == (LockState.GRANTED,)


def test_empty_table_of_entries_proves_nothing():
    """Guards against grants while the row of an entry is missing."""
    table = LockTable(LEASE, 0.0)
    table.expect({})
    assert ask(table, ENTRY, 0.1) == (LockState.UNSURE,)


def test_runs_of_an_entry_that_restarted_end_before_an_agent_is_certain():
    """Guards against a second run where agents and an entry restart."""
    table = LockTable(LEASE, 0.0)
    table.expect({"entry-1": 1})
    list_none(table, NEXT_ENTRY, 0.3, uptime=0.2)
    end = 0.1 + LEASE.rerun_wait
    assert ask(table, NEXT_ENTRY, end - 0.01) == (LockState.UNSURE,)
    assert ask(table, NEXT_ENTRY, end + 0.01) == (LockState.GRANTED,)


def test_return_that_comes_late_does_not_end_a_later_lock(table):
    """Guards against a lock that its owner has, and the agent does not."""
    ask(table, ENTRY, 0.0, number=1)
    ask(table, ENTRY, 0.1, number=2)
    table.release(ENTRY, [KEY], 1)
    assert ask(table, ENTRY_2, 0.2) == (LockState.HELD,)


def test_complete_list_replaces_the_locks_of_an_owner(table):
    """Guards against a lock whose return was lost with a stream."""
    ask(table, ENTRY, 0.0, KEY, OTHER_KEY)
    ask(table, ENTRY, 0.1, OTHER_KEY, number=2, is_complete=True)
    assert ask(table, ENTRY_2, 0.2, KEY, OTHER_KEY) == (
        LockState.GRANTED,
        LockState.HELD,
    )


def test_locks_that_have_expired_are_forgotten(table):
    """Guards against memory that grows with the restarts of entries."""
    ask(table, ENTRY, 0.0, KEY, OTHER_KEY)
    table.expire(LEASE.lock_expiry - 0.01)
    assert len(table) == 2
    table.expire(LEASE.lock_expiry)
    assert len(table) == 0
