"""Tests of a follower whose rows cannot be applied."""

import asyncio
import contextlib
import random

from gypsumline.platform.follower import TableFollower
from gypsumline.platform.store import RowSet, StoredRow
from gypsumline.table.follow_settings import FollowSettings


class ScriptedStore:
    """Returns rows of a rising version at each call."""

    def __init__(self):
        self._version = 0

    async def read(self, table):
        await asyncio.sleep(0)
        self._version += 1
        row = StoredRow(
            key=str(self._version),
            value=b"",
            version=self._version,
            is_removed=False,
        )
        return RowSet(rows=(row,), version=self._version, store_time=0.0)

    async def follow(self, table, after):
        return await self.read(table)


async def test_rows_that_cannot_be_applied_do_not_end_the_follower(caplog):
    """Guards against a process that ends at the same row at each start."""
    applied = asyncio.Event()
    calls = []

    def apply(rows):
        calls.append(rows.version)
        if rows.version in (1, 3):
            raise RuntimeError("expected failure")
        if rows.version == 5:
            applied.set()

    follower = TableFollower(
        ScriptedStore(),
        "op",
        apply,
        apply,
        FollowSettings(first_pause=0.01, last_pause=0.01),
        random.Random(1),
    )
    task = asyncio.create_task(follower.run())
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(applied.wait(), 1.0)
    task.cancel()
    assert calls[:5] == [1, 2, 3, 4, 5]
    errors = [r for r in caplog.records if r.levelname == "ERROR"]
    assert len(errors) == 2
