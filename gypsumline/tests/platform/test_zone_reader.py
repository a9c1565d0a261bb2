"""Tests in virtual time of an agent that reads the excluded zones itself."""

import asyncio
import contextlib
import random
import types

from gypsumline.platform import zone_reader
from gypsumline.platform.follower import TableFollower
from gypsumline.platform.store import Store
from gypsumline.platform.zone_reader import ZoneReader
from gypsumline.platform.zone_rows import OPERATOR_TABLE
from gypsumline.runtime.timers import running_timers
from gypsumline.table.follow_settings import FollowSettings
from gypsumline.testing.rows_store import Rows, running_store_endpoint
from gypsumline.testing.virtual_time import run_in_virtual_time

ADDRESS = "10.200.1.7:8169"
SETTINGS = FollowSettings()


class Agent:
    """Records the excluded zones that it gets, and when.

    Attributes:
      doubtful_at: Time at which the entries' lists are too old.
      zones: (time, zones) of each list.
    """

    def __init__(self, loop, doubtful_at):
        self.table = self
        self.doubtful_at = doubtful_at
        self.zones = []
        self._loop = loop

    def zones_doubtful_in(self, now):
        return max(0.0, self.doubtful_at - now)

    def set_zones_out(self, message):
        self.zones.append((self._loop.time(), message.zones))


@contextlib.asynccontextmanager
async def running_reader(loop, agent):
    settings = types.SimpleNamespace(
        store_address=ADDRESS, operator_feed=SETTINGS
    )
    rows = Rows(loop)
    async with running_store_endpoint(
        ADDRESS, rows, lambda _table, _key, value: value, random.Random(1)
    ) as endpoint:
        reader = ZoneReader(agent, settings, random.Random(2))
        async with running_timers() as timers:
            reader.subscribe(timers)
            task = asyncio.create_task(reader.run())
            yield rows, endpoint
            task.cancel()


async def read_while_entries_are_away(loop):
    """Returns the lists that an agent gets and its calls to the store."""
    agent = Agent(loop, doubtful_at=3.0)
    async with running_reader(loop, agent) as (rows, endpoint):
        key = (OPERATOR_TABLE, "evacuate/north")
        rows.write([(*key, b"{}")])
        await asyncio.sleep(2.9)
        calls_before = endpoint.calls.total()
        await asyncio.sleep(1.1)
        rows.write([], [key])
        await asyncio.sleep(1.0)
        agent.doubtful_at = 1e9
        await asyncio.sleep(2.0)
        calls = endpoint.calls.total()
        rows.write([(*key, b"{}")])
        await asyncio.sleep(5.0)
        return agent.zones, calls_before, endpoint.calls.total() - calls


def test_agent_follows_the_zones_while_no_entry_does(monkeypatch):
    """Guards against starts in an excluded zone while no entry has the store.

    Nor may all agents go on asking the store once an entry follows it.
    """
    monkeypatch.setattr(
        zone_reader, "boot_time", lambda: asyncio.get_running_loop().time()
    )
    zones, calls_before, calls_after = run_in_virtual_time(
        read_while_entries_are_away
    )
    assert [names for _, names in zones] == [("north",), ()]
    assert zones[0][0] < 3.1
    assert zones[1][0] < 4.1
    assert (calls_before, calls_after) == (0, 0)


async def ages_of_responses(loop):
    """Returns (time, time at which the rows were the newest) by response."""
    moments = []
    rows = Rows(loop)
    store = Store(ADDRESS, SETTINGS)
    follower = TableFollower(
        store,
        OPERATOR_TABLE,
        lambda rows: None,
        lambda rows: None,
        SETTINGS,
        random.Random(1),
        lambda age: moments.append((loop.time(), loop.time() - age)),
    )
    async with running_store_endpoint(
        ADDRESS, rows, lambda _table, _key, value: value, random.Random(2)
    ) as endpoint:
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(3.0)
        endpoint.latency = 0.5
        await asyncio.sleep(6.0)
        cut_at = loop.time()
        endpoint.fault = "silent"
        await asyncio.sleep(5.0)
        task.cancel()
        store.close()
    return moments, cut_at


def test_rows_are_never_newer_than_the_store_could_have_sent_them():
    """Guards against an entry that takes a late answer for a recent one."""
    moments, cut_at = run_in_virtual_time(ages_of_responses)
    assert len(moments) > 8
    quick = [at - newest for at, newest in moments if at < 3.0]
    assert max(quick) < 0.05
    slow = [at - newest for at, newest in moments if 4.5 < at < cut_at]
    assert min(slow) > 0.45
    assert max(at for at, _ in moments) <= cut_at
