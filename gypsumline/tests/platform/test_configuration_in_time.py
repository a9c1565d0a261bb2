"""Tests in virtual time of when a configuration change is in force.

The operator's store and the network are in memory, so the results are
deterministic and are checked against the limits of the settings.
"""

import asyncio
import contextlib
import functools
import itertools
import random

import msgspec

from gypsumline.platform.follower import TableFollower
from gypsumline.platform.routes import OperatorConfiguration
from gypsumline.platform.store import Store
from gypsumline.platform.zone_rows import OPERATOR_TABLE
from gypsumline.table.follow_settings import derive_follow_settings
from gypsumline.testing.rows_store import Rows, running_store_endpoint
from gypsumline.testing.virtual_time import (
    LATENCY_SECONDS,
    run_in_virtual_time,
)
from gypsumline.tests.platform.test_routes import make_configuration

ADDRESS = "10.200.1.7:8169"
# Pairs of (contact limit, apply limit) in seconds. From one contact limit after
# the end of a fault of the store, every change that was acknowledged more than
# the apply limit ago must be in force.
CONTACT_AND_APPLY_LIMITS = ((3.0, 2.0), (4.0, 3.0), (1.5, 1.0))
CHANGE_INTERVAL_SECONDS = 0.1
CHECK_INTERVAL_SECONDS = 0.02
FIRST_PAUSE_SECONDS = 0.05


class World:
    """A store, the operator who writes to it, and an entry's configuration.

    Attributes:
      acknowledged: (time, version) of each acknowledged change.
    """

    def __init__(
        self, loop, rows, endpoint, store, operator_configuration, limits
    ):
        self.loop = loop
        self.rows = rows
        self.endpoint = endpoint
        self.store = store
        self.configuration = operator_configuration
        self.contact_limit, self.apply_limit = limits
        self.acknowledged = []

    def write_change(self):
        """Writes the next version of the configuration."""
        version = len(self.acknowledged) + 1
        value = msgspec.json.encode(make_configuration(version))
        self.rows.write([(OPERATOR_TABLE, "config", value)])
        self.acknowledged.append((self.loop.time(), version))

    async def write_changes_for(self, seconds):
        """Writes a change every `CHANGE_INTERVAL_SECONDS`."""
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            self.write_change()
            await asyncio.sleep(CHANGE_INTERVAL_SECONDS)

    async def find_overdue_changes(self, recovered_at):
        """Returns (time, version) of each check that misses a due change.

        Times are in seconds from the first check, which is one contact limit
        after the recovery.
        """
        overdue = []
        start = recovered_at + self.contact_limit
        changes = asyncio.create_task(
            self.write_changes_for(self.contact_limit)
        )
        await asyncio.sleep(start - self.loop.time())
        while self.loop.time() < start + 2.0 * self.contact_limit:
            now = self.loop.time()
            due = [
                v for at, v in self.acknowledged if at < now - self.apply_limit
            ]
            if due and self.configuration.version < due[-1]:
                overdue.append((round(now - start, 3), due[-1]))
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        await changes
        return overdue


@contextlib.asynccontextmanager
async def running_world(loop, limits):
    rows, operator_configuration = Rows(loop), OperatorConfiguration()
    contact_limit, apply_limit = limits
    settings = derive_follow_settings(contact_limit, apply_limit, contact_limit)
    store = Store(ADDRESS, settings)
    follower = TableFollower(
        store,
        OPERATOR_TABLE,
        operator_configuration.replace,
        operator_configuration.apply,
        settings,
        random.Random(1),
    )
    async with running_store_endpoint(
        ADDRESS, rows, lambda _table, _key, value: value, random.Random(2)
    ) as endpoint:
        world = World(
            loop, rows, endpoint, store, operator_configuration, limits
        )
        world.write_change()
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.0)
        yield world
        task.cancel()
        store.close()


async def overdue_after_silence(loop, limits, seconds):
    async with running_world(loop, limits) as world:
        world.write_change()
        await asyncio.sleep(0.3)
        world.endpoint.fault = "silent"
        await asyncio.sleep(seconds)
        world.endpoint.fault = ""
        return await world.find_overdue_changes(loop.time())


async def overdue_after_lost_connections(loop, limits, change_lead_time):
    async with running_world(loop, limits) as world:
        await asyncio.sleep(1.0)
        world.write_change()
        await asyncio.sleep(change_lead_time)
        loop.silence_connections()
        return await world.find_overdue_changes(loop.time())


async def overdue_after_lost_connections_and_history(loop, limits, calls):
    async with running_world(loop, limits) as world:
        # Concurrent reads leave one idle connection each.
        reads = [world.store.read(OPERATOR_TABLE) for _ in range(calls)]
        await asyncio.gather(*reads)
        loop.silence_connections()
        world.write_change()
        world.rows.drop_history()
        return await world.find_overdue_changes(loop.time())


async def follow_during_stale_reads(loop, seconds):
    """Follows a store whose reads are stale for some seconds.

    Returns:
      The versions in force at each check, the last version written, and the
      number of calls.
    """
    async with running_world(loop, CONTACT_AND_APPLY_LIMITS[0]) as world:
        await world.write_changes_for(2.0)
        world.endpoint.read_lag = seconds
        world.endpoint.calls.clear()
        # The change is not delivered before the history is dropped.
        world.endpoint.fault = "silent"
        world.write_change()
        world.rows.drop_history()
        world.endpoint.fault = ""
        versions = []
        end = loop.time() + seconds + 1.0
        while loop.time() < end:
            versions.append(world.configuration.version)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        return (
            versions,
            world.acknowledged[-1][1],
            sum(world.endpoint.calls.values()),
        )


async def change_during_paged_read(loop):
    """Changes the configuration during a read of several pages.

    Returns:
      The version in force afterwards and the number of excluded zones.
    """
    async with running_world(loop, CONTACT_AND_APPLY_LIMITS[0]) as world:
        zones = [f"evacuate/z{number:04}" for number in range(600)]
        puts = [(OPERATOR_TABLE, zone, b"{}") for zone in zones]
        world.rows.write(puts)
        world.endpoint.calls.clear()
        world.rows.drop_history()
        while world.endpoint.calls["/v1/rows-get"] < 1:  # noqa: ASYNC110
            await asyncio.sleep(LATENCY_SECONDS / 10)
        world.write_change()
        await asyncio.sleep(1.0)
        return world.configuration.version, len(
            world.configuration.zones_out.zones
        )


async def follow_slow_store(loop, latency):
    """Returns the versions in force and written while responses are slow."""
    async with running_world(loop, CONTACT_AND_APPLY_LIMITS[0]) as world:
        world.endpoint.latency = latency
        world.write_change()
        world.rows.drop_history()
        await asyncio.sleep(10.0)
        return world.configuration.version, len(world.acknowledged)


def find_overdue_cases(scenario, values):
    """Returns the last check that missed a change, by limits and values."""
    overdue = {}
    for limits, value in itertools.product(CONTACT_AND_APPLY_LIMITS, values):
        overdue_changes = run_in_virtual_time(
            functools.partial(scenario, limits=limits, **value)
        )
        if overdue_changes:
            overdue[limits, *value.values()] = overdue_changes[-1]
    return overdue


# Guards against changes that come into force too late because a request that
# the store never answers hides them.
def test_change_is_in_force_in_time_after_a_silent_store():
    cases = [{"seconds": 0.25 * step} for step in range(1, 41)]
    assert find_overdue_cases(overdue_after_silence, cases) == {}


# Guards against changes that come into force too late because the open
# connections have gone silent for good and only new ones work.
def test_change_is_in_force_in_time_after_connections_go_silent():
    times = (0.0, 0.0015, 0.1, 0.5, 1.0, 1.5, 2.0, 2.5, 2.9)
    cases = [{"change_lead_time": time} for time in times]
    assert find_overdue_cases(overdue_after_lost_connections, cases) == {}


# Guards against a read that tries several idle connections in turn that have
# all gone silent.
def test_read_is_in_force_in_time_after_connections_go_silent():
    calls = [{"calls": 1}, {"calls": 2}]
    scenario = overdue_after_lost_connections_and_history
    assert find_overdue_cases(scenario, calls) == {}


# Guards against a stale read that restores an older configuration, and against
# a burst of reads until one is new enough.
def test_stale_reads_are_ignored_and_repeated_with_pauses():
    seconds = 3.0
    versions, newest, calls = run_in_virtual_time(
        functools.partial(follow_during_stale_reads, seconds=seconds)
    )
    assert versions == sorted(versions)
    assert versions[-1] == newest
    # The minimum pause after a failure is half of the first pause.
    assert calls < 2.0 * seconds / FIRST_PAUSE_SECONDS


# Guards against missing a change that is written while a table of several
# pages is read.
def test_change_during_a_paged_read_is_in_force():
    assert run_in_virtual_time(change_during_paged_read) == (2, 600)


# Guards against a reader whose every request times out just before its response
# while the store is slow.
def test_slow_store_is_still_followed():
    follow = functools.partial(follow_slow_store, latency=1.2)
    assert run_in_virtual_time(follow) == (2, 2)
