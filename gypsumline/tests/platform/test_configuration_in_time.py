"""When a configuration change is in force, in virtual time.

The operators' store and the network are in memory, so the limits are those of
the settings and the verdict is always the same.
"""

import asyncio
import contextlib
import functools
import itertools
import random

import msgspec

from gypsumline.platform.follower import TableFollower
from gypsumline.platform.routes import OPERATOR_TABLE, OperatorConfiguration
from gypsumline.platform.store import Store
from gypsumline.table.follow_settings import derive_follow_settings
from gypsumline.testing.rows_store import Rows, running_door
from gypsumline.testing.virtual_time import (
    LATENCY_SECONDS,
    run_in_virtual_time,
)
from gypsumline.tests.platform.test_routes import configuration

ADDRESS = "10.200.1.7:8169"
# Callers may rely on a change the first time after the end of trouble with the
# store, if it was acknowledged at least the second time before; in seconds.
BOUNDS = ((3.0, 2.0), (4.0, 3.0), (1.5, 1.0))
CHANGE_INTERVAL_SECONDS = 0.1
CHECK_INTERVAL_SECONDS = 0.02
FIRST_PAUSE_SECONDS = 0.05


class World:
    """A store, the operator who writes to it, and the routes of an entry."""

    def __init__(self, loop, rows, door, store, routes, bounds):
        self.loop = loop
        self.rows = rows
        self.door = door
        self.store = store
        self.routes = routes
        self.contact, self.apply = bounds
        self.acknowledged = []  # (time, version)

    def change(self):
        """Writes the next version of the configuration."""
        version = len(self.acknowledged) + 1
        value = msgspec.json.encode(configuration(version))
        self.rows.write([(OPERATOR_TABLE, "config", value)])
        self.acknowledged.append((self.loop.time(), version))

    async def change_for(self, seconds):
        """Makes changes one after the other."""
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            self.change()
            await asyncio.sleep(CHANGE_INTERVAL_SECONDS)

    async def check_after(self, healed_at):
        """Returns the moments at which a change that is due is missing."""
        late = []
        start = healed_at + self.contact
        changes = asyncio.create_task(self.change_for(self.contact))
        await asyncio.sleep(start - self.loop.time())
        while self.loop.time() < start + 2.0 * self.contact:
            now = self.loop.time()
            due = [v for at, v in self.acknowledged if at < now - self.apply]
            if due and self.routes.version < due[-1]:
                late.append((round(now - start, 3), due[-1]))
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        await changes
        return late


@contextlib.asynccontextmanager
async def running_world(loop, bounds):
    rows, routes = Rows(loop), OperatorConfiguration()
    contact, apply = bounds
    settings = derive_follow_settings(contact, apply, contact)
    store = Store(ADDRESS, settings)
    follower = TableFollower(
        store,
        OPERATOR_TABLE,
        routes.replace,
        routes.apply,
        settings,
        random.Random(1),
    )
    async with running_door(
        ADDRESS, rows, lambda _table, _key, value: value, random.Random(2)
    ) as door:
        world = World(loop, rows, door, store, routes, bounds)
        world.change()
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.0)
        yield world
        task.cancel()
        store.close()


async def late_after_silence(loop, bounds, seconds):
    async with running_world(loop, bounds) as world:
        world.change()
        await asyncio.sleep(0.3)
        world.door.fault = "silent"
        await asyncio.sleep(seconds)
        world.door.fault = ""
        return await world.check_after(loop.time())


async def late_after_lost_connections(loop, bounds, change_before):
    async with running_world(loop, bounds) as world:
        await asyncio.sleep(1.0)
        world.change()
        await asyncio.sleep(change_before)
        loop.silence_connections()
        return await world.check_after(loop.time())


async def late_after_lost_connections_and_history(loop, bounds, calls):
    async with running_world(loop, bounds) as world:
        # As many connections are idle as calls were made at once.
        reads = [world.store.read(OPERATOR_TABLE) for _ in range(calls)]
        await asyncio.gather(*reads)
        loop.silence_connections()
        world.change()
        world.rows.forget_history()
        return await world.check_after(loop.time())


async def follow_old_reads(loop, seconds):
    """Returns the versions in force and the calls while reads are behind."""
    async with running_world(loop, BOUNDS[0]) as world:
        await world.change_for(2.0)
        world.door.read_lag = seconds
        world.door.calls.clear()
        # Nobody hears of the change before the history is gone.
        world.door.fault = "silent"
        world.change()
        world.rows.forget_history()
        world.door.fault = ""
        seen = []
        end = loop.time() + seconds + 1.0
        while loop.time() < end:
            seen.append(world.routes.version)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        return seen, world.acknowledged[-1][1], sum(world.door.calls.values())


async def change_between_pages(loop):
    """Returns the version in force after a change during a long read."""
    async with running_world(loop, BOUNDS[0]) as world:
        zones = [f"evacuate/z{number:04}" for number in range(600)]
        puts = [(OPERATOR_TABLE, zone, b"{}") for zone in zones]
        world.rows.write(puts)
        world.door.calls.clear()
        world.rows.forget_history()
        while world.door.calls["/v1/rows-get"] < 1:  # noqa: ASYNC110
            await asyncio.sleep(LATENCY_SECONDS / 10)
        world.change()
        await asyncio.sleep(1.0)
        return world.routes.version, len(world.routes.zones_out.zones)


async def follow_a_slow_store(loop, latency):
    """Returns the versions in force and written while answers are slow."""
    async with running_world(loop, BOUNDS[0]) as world:
        world.door.latency = latency
        world.change()
        world.rows.forget_history()
        await asyncio.sleep(10.0)
        return world.routes.version, len(world.acknowledged)


def late_cases(scenario, values):
    """Returns the last moment that was too late, by bounds and value."""
    late = {}
    for bounds, value in itertools.product(BOUNDS, values):
        found = run_in_virtual_time(
            functools.partial(scenario, bounds=bounds, **value)
        )
        if found:
            late[bounds, *value.values()] = found[-1]
    return late


# Guards against changes that come into force too late because a request to the
# store that is never answered hides them.
def test_change_after_a_silence_of_the_store_is_in_force_in_time():
    silences = [{"seconds": 0.25 * step} for step in range(1, 41)]
    assert late_cases(late_after_silence, silences) == {}


# Guards against the same where open connections go silent for good and only
# new ones work.
def test_change_after_connections_go_silent_is_in_force_in_time():
    times = (0.0, 0.0015, 0.1, 0.5, 1.0, 1.5, 2.0, 2.5, 2.9)
    befores = [{"change_before": time} for time in times]
    assert late_cases(late_after_lost_connections, befores) == {}


# Guards against a read that meets one idle connection after the other that has
# gone silent too.
def test_read_after_connections_go_silent_is_in_force_in_time():
    calls = [{"calls": 1}, {"calls": 2}]
    scenario = late_after_lost_connections_and_history
    assert late_cases(scenario, calls) == {}


# Guards against a configuration that comes back older after a read that is
# behind, and against a storm of reads until one is new enough.
def test_old_reads_bring_nothing_back_and_are_not_asked_for_in_a_rush():
    seconds = 3.0
    seen, newest, calls = run_in_virtual_time(
        functools.partial(follow_old_reads, seconds=seconds)
    )
    assert seen == sorted(seen)
    assert seen[-1] == newest
    # The shortest pause between two failures is half the first one.
    assert calls < 2.0 * seconds / FIRST_PAUSE_SECONDS


# Guards against a change that is missed because it was made while a table of
# several pages was read.
def test_change_during_a_read_of_several_pages_is_in_force():
    assert run_in_virtual_time(change_between_pages) == (2, 600)


# Guards against a reader that gives each request up just before its answer
# comes, for as long as the store is slow.
def test_store_that_is_slow_is_still_followed():
    follow = functools.partial(follow_a_slow_store, latency=1.2)
    assert run_in_virtual_time(follow) == (2, 2)
