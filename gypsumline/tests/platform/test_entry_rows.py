"""Tests of the rows through which agents discover the entries."""

import asyncio
import json
import random

import pytest

from gypsumline.core.identity import Member, Role
from gypsumline.platform.entry_rows import EntryAnnouncer, EntryDirectory
from gypsumline.platform.rejections import REMEMBERED_INPUTS
from gypsumline.platform.store import RowSet, StoreConflictError, StoredRow
from gypsumline.runtime import metrics

VALID = {"address": "10.0.0.1:7720", "incarnation": 1, "renewed_at": 1.0}
INVALID_VALUES = [
    b"",
    b"\xff",
    b"[]",
    b'{"address":"10.0.0.1:7720","incarnation":1',
    b'{"address":"10.0.0.1:7720","incarnation":1,"renewed_at":NaN}',
    b'{"address":"10.0.0.1:7720","incarnation":1,"renewed_at":1e999}',
    b'{"address":"10.0.0.1:7720","incarnation":1,"renewed_at":1,"x":'
    + b"[" * 100_000,
    *(
        json.dumps({**VALID, **change}).encode()
        for change in (
            {"incarnation": 10**400},
            {"incarnation": 2**63},
            {"incarnation": -1},
            {"address": 1},
            {"address": "10.0.0.1"},
            {"address": "10.0.0.1:"},
            {"address": ":7720"},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:99999"},
            {"address": "10.0.0.1:" + "7" * 5000},
            {"address": "10.0.0.1:\u0667\u0667"},
            {"address": "10.0.0.1\x00:7720"},
            {"address": "a" * 300 + ":7720"},
        )
    ),
]


def make_row(key, value, version=1, is_removed=False):
    if isinstance(value, dict):
        value = json.dumps(value).encode()
    return StoredRow(
        key=key, value=value, version=version, is_removed=is_removed
    )


def make_rows(*rows):
    return RowSet(rows=rows, version=1, store_time=1.0)


@pytest.mark.parametrize("value", INVALID_VALUES)
def test_invalid_row_names_no_entry_and_hides_none(value):
    """Guards against one row that agents dial for ever or that hides others."""
    seen = []
    directory = EntryDirectory(seen.append)
    directory.replace(
        make_rows(make_row("entry-0", value), make_row("entry-1", VALID))
    )
    assert seen == [["10.0.0.1:7720"]]


@pytest.mark.parametrize("update", ["replace", "apply"])
def test_last_valid_address_of_an_entry_stays_in_use(update):
    """Guards against an entry that is lost when its row is overwritten."""
    seen = []
    directory = EntryDirectory(seen.append)
    directory.replace(make_rows(make_row("entry-0", VALID)))
    getattr(directory, update)(make_rows(make_row("entry-0", b"{")))
    assert seen[-1] == ["10.0.0.1:7720"]
    directory.apply(make_rows(make_row("entry-0", None, is_removed=True)))
    assert seen[-1] == []


def test_invalid_row_is_logged_and_counted_once(caplog):
    """Guards against a log line at each reading of the same row."""
    counter = metrics.REJECTED_INPUTS.labels("entry_row")
    before = counter._value.get()
    directory = EntryDirectory(lambda addresses: None)
    for _ in range(3):
        directory.replace(make_rows(make_row("entry-0", b"{")))
    assert (len(caplog.records), counter._value.get() - before) == (1, 1)
    directory.replace(make_rows(make_row("entry-0", b"[")))
    assert (len(caplog.records), counter._value.get() - before) == (2, 2)


def test_memory_for_invalid_rows_is_bounded():
    """Guards against memory that grows with each distinct invalid row."""
    directory = EntryDirectory(lambda addresses: None)
    for number in range(2 * REMEMBERED_INPUTS):
        row = make_row("entry-0", str(number).encode())
        directory.apply(make_rows(row))
    assert len(directory._reader._rejections._seen) == REMEMBERED_INPUTS


class FakeStore:
    """Serves rows, and refuses what a transaction of the platform may not do.

    Attributes:
      written: Keys of the rows that were written.
      removed: Keys of the rows that were removed.
    """

    def __init__(self, rows):
        self._rows = rows
        self.written = []
        self.removed = []

    async def read(self, table):
        return make_rows(*self._rows)

    async def write(self, table, puts, removals=None):
        removals = removals or {}
        assert len(puts) + 2 * len(removals) <= 100
        versions = {row.key: row.version for row in self._rows}
        # A version of 0 means that the row must not exist.
        if any(
            versions[key] != version or not version or key == "busy"
            for key, version in removals.items()
        ):
            raise StoreConflictError("changed")
        self.written += puts
        self.removed += removals


def make_announcer(store):
    member = Member(
        member_id="entry-0",
        incarnation=1,
        role=Role.ENTRY,
        availability_zone="a",
        address="10.0.0.9:7720",
    )
    return EntryAnnouncer(store, member, random.Random(1), lambda: True)


EXPIRED = {**VALID, "renewed_at": -100.0}


async def test_many_expired_rows_do_not_block_the_renewal():
    """Guards against a transaction that is too large for the store."""
    store = FakeStore([make_row(f"old-{n}", EXPIRED) for n in range(200)])
    await make_announcer(store)._renew()
    assert store.written == ["entry-0"]
    assert store.removed


@pytest.mark.parametrize("row", [("busy", 1), ("unversioned", 0)])
async def test_row_that_cannot_be_removed_does_not_block_the_renewal(row):
    """Guards against an entry that no agent finds, for the row of another."""
    store = FakeStore([make_row(row[0], EXPIRED, row[1])])
    await make_announcer(store)._renew()
    assert store.written == ["entry-0"]


@pytest.mark.parametrize(("incarnation", "is_removed"), [(1, True), (2, False)])
async def test_own_row_is_removed_unless_it_is_of_a_next_incarnation(
    incarnation, is_removed
):
    """Guards against agents that dial an entry which has left."""
    row = make_row("entry-0", {**VALID, "incarnation": incarnation})
    store = FakeStore([row, make_row("entry-1", VALID)])
    await make_announcer(store).remove(1.0)
    assert store.removed == (["entry-0"] if is_removed else [])


async def test_row_is_not_renewed_after_its_removal():
    """Guards against a renewal that brings a removed row back."""
    store = FakeStore([make_row("entry-0", VALID)])
    announcer = make_announcer(store)
    await announcer.remove(1.0)
    await asyncio.wait_for(announcer.run(), 1.0)
    assert store.written == []


async def test_removal_ends_at_its_limit(caplog):
    """Guards against a planned stop that waits for the store."""

    class SilentStore(FakeStore):
        async def read(self, table):
            await asyncio.Event().wait()

    with caplog.at_level("INFO"):
        await asyncio.wait_for(make_announcer(SilentStore([])).remove(0.05), 1)
    assert "entry row not removed" in caplog.text
