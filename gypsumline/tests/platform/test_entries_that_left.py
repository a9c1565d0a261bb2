"""Tests in virtual time of agents that start after an entry has left."""

import asyncio
import random

import pytest

from gypsumline.core.identity import Member, Role
from gypsumline.platform.entry_rows import (
    ENTRIES_TABLE,
    EntryAnnouncer,
    EntryDirectory,
)
from gypsumline.platform.follower import TableFollower
from gypsumline.platform.store import Store
from gypsumline.table.follow_settings import FollowSettings
from gypsumline.testing.rows_store import Rows, running_store_endpoint
from gypsumline.testing.virtual_time import run_in_virtual_time

ADDRESS = "10.200.1.7:8169"


def make_member(number):
    return Member(
        member_id=f"entry-{number}",
        incarnation=1,
        role=Role.ENTRY,
        availability_zone="a",
        address=f"10.0.0.{number}:7720",
    )


async def start_agent_after_stop(loop, read_lag, seconds):
    """Returns the addresses that an agent uses after some seconds.

    One of two entries leaves before the agent starts, and the store's reads
    are stale by `read_lag` seconds at that time.
    """
    rows, store = Rows(loop), Store(ADDRESS, FollowSettings())
    rng = random.Random(1)
    addresses = []
    async with running_store_endpoint(
        ADDRESS, rows, lambda _table, _key, value: value, rng
    ) as endpoint:
        announcers = [
            EntryAnnouncer(store, make_member(number), rng, lambda: True)
            for number in (1, 2)
        ]
        for announcer in announcers:
            await announcer._renew()
        await asyncio.sleep(1.0)
        await announcers[0].remove(1.0)
        endpoint.read_lag = read_lag
        directory = EntryDirectory(addresses.append)
        follower = TableFollower(
            Store(ADDRESS, FollowSettings()),
            ENTRIES_TABLE,
            directory.replace,
            directory.apply,
            FollowSettings(),
            rng,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(seconds)
        task.cancel()
        store.close()
    return addresses


@pytest.mark.parametrize("read_lag", [0.0, 0.5])
def test_agent_does_not_keep_an_entry_that_left_before_its_start(read_lag):
    """Guards against the use of an entry that left, after a restart."""
    addresses = run_in_virtual_time(
        lambda loop: start_agent_after_stop(loop, read_lag, 1.0)
    )
    # A stale read still lists it; the feed from there removes it.
    assert len(addresses[0]) == (2 if read_lag else 1)
    assert addresses[-1] == ["10.0.0.2:7720"]
