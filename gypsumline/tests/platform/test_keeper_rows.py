"""Tests of the row that holds the list of the keepers of locks."""

import dataclasses
import json
import random

import msgspec
import pytest

from gypsumline.core.errors import InvalidInputError
from gypsumline.core.leases.keepers import Keeper, KeeperList
from gypsumline.platform.entry_rows import (
    KEEPERS_KEY,
    EntryDirectory,
    EntryRow,
)
from gypsumline.platform.keeper_rows import (
    KeeperReader,
    KeeperWriter,
    decode_keepers,
    encode_keepers,
)
from gypsumline.platform.store import RowSet, StoreConflictError, StoredRow

MEMBERS = (Keeper("agent-1", "north"), Keeper("agent-2", "south"))
FIRST = KeeperList(version=1, members=MEMBERS)
SECOND = KeeperList(version=2, members=MEMBERS[:1], previous=MEMBERS)
VALID = {"version": 1, "members": [["agent-1", "north"]]}


def make_rows(value, version=7):
    if isinstance(value, KeeperList):
        value = encode_keepers(value)
    row = StoredRow(
        key=KEEPERS_KEY, value=value, version=version, is_removed=False
    )
    return RowSet(rows=(row,), version=version, store_time=1.0)


class FakeStore:
    """Holds one row; fails a write of another version than is expected."""

    def __init__(self, rows):
        self.rows = rows
        self.expected = []

    async def read(self, table):
        return self.rows

    async def write(self, table, puts, removals=None, expected=None):
        self.expected.append(expected[KEEPERS_KEY])
        current = self.rows.rows[0].version if self.rows.rows else 0
        if expected[KEEPERS_KEY] != current:
            raise StoreConflictError("changed")
        self.rows = make_rows(puts[KEEPERS_KEY], current + 1)


async def propose(store, keepers):
    """Returns the lists that the writer has passed on."""
    applied = []
    writer = KeeperWriter(store, random.Random(1), applied.append)
    await writer.store(keepers)
    return applied


@pytest.mark.parametrize("keepers", [FIRST, SECOND])
def test_list_is_read_as_it_was_written(keepers):
    """Guards against entries and agents that know other keepers."""
    assert decode_keepers(make_rows(keepers).rows[0]) == keepers


@pytest.mark.parametrize(
    "change",
    [
        {"version": 0},
        {"version": 10**400},
        {"version": "1"},
        {"members": []},
        {"members": [["agent-1"]]},
        {"members": [["a" * 300, "north"]]},
        {"members": [[f"agent-{n}", "north"] for n in range(300)]},
        {"previous": 1},
    ],
)
def test_invalid_row_changes_no_list(change):
    """Guards against one odd row that ends a process or all locks."""
    rows = make_rows(json.dumps({**VALID, **change}).encode())
    with pytest.raises(InvalidInputError):
        decode_keepers(rows.rows[0])
    applied = []
    KeeperReader(applied.append).apply(rows)
    assert applied == []


async def test_first_list_is_written_only_if_there_is_none():
    """Guards against two first lists of two entries."""
    store = FakeStore(RowSet(rows=(), version=1, store_time=1.0))
    assert await propose(store, FIRST) == [FIRST]
    assert store.expected == [0]
    other = KeeperList(version=1, members=MEMBERS[:1])
    assert await propose(store, other) == [FIRST]
    assert store.expected == [0]


async def test_change_replaces_the_version_before_alone():
    """Guards against two changes of one version."""
    store = FakeStore(make_rows(FIRST))
    assert await propose(store, SECOND) == [SECOND]
    other = KeeperList(version=2, members=MEMBERS)
    assert await propose(store, other) == [SECOND]
    assert store.expected == [7]


@pytest.mark.parametrize("keepers", [FIRST, SECOND])
async def test_invalid_row_is_not_replaced(keepers):
    """Guards against two lists of one version."""
    store = FakeStore(make_rows(b"[]"))
    assert await propose(store, keepers) == []
    assert store.expected == []


async def test_list_that_another_writer_has_put_back_is_replaced():
    """Guards against proposals that lose for ever."""
    store = FakeStore(make_rows(FIRST))
    third = KeeperList(version=3, members=MEMBERS)
    assert await propose(store, third) == [third]


async def test_list_is_not_replaced_while_another_entry_has_a_majority():
    """Guards against an entry that is cut off and takes its side for all."""
    reset = KeeperList(version=2, members=MEMBERS[:1], is_reset=True)
    for age, has_keepers, applied in (
        (5.0, True, []),
        (5.0, False, [reset]),
        (60.0, True, [reset]),
    ):
        rows = make_rows(FIRST)
        entry = EntryRow(
            address="10.0.0.1:7720",
            incarnation=1,
            renewed_at=rows.store_time - age,
            has_keepers=has_keepers,
        )
        row = StoredRow(
            key="entry-2",
            value=msgspec.json.encode(entry),
            version=3,
            is_removed=False,
        )
        rows = dataclasses.replace(rows, rows=(*rows.rows, row))
        assert await propose(FakeStore(rows), reset) == applied


def test_entries_are_unknown_while_a_row_is_invalid():
    """Guards against an agent that forgets an entry which may have locks."""
    directory = EntryDirectory(lambda addresses: None)
    valid = {"address": "10.0.0.1:7720", "incarnation": 4, "renewed_at": 1.0}
    rows = [
        StoredRow(key=key, value=value, version=1, is_removed=False)
        for key, value in (
            ("entry-1", json.dumps(valid).encode()),
            ("entry-2", b"[]"),
        )
    ]
    assert directory.incarnations is None
    directory.replace(RowSet(rows=tuple(rows), version=1, store_time=1.0))
    assert directory.incarnations is None
    directory.replace(RowSet(rows=tuple(rows[:1]), version=2, store_time=1.0))
    assert directory.incarnations == {"entry-1": 4}


def test_list_is_no_entry():
    """Guards against agents that dial the list."""
    addresses = []
    EntryDirectory(addresses.append).replace(make_rows(FIRST))
    assert addresses == [[]]
