"""Tests in virtual time of the rows that keep crashes."""

import asyncio
import contextlib
import functools
import random

import pytest

from gypsumline.core.leases.crash_records import CrashOutbox
from gypsumline.core.leases.effects import CrashDetected
from gypsumline.core.leases.messages import CrashedRun, ExecutorCrash
from gypsumline.core.leases.settings import LeaseSettings
from gypsumline.platform.crash_rows import (
    CRASHES_TABLE,
    FIRST_READ_LIMIT_SECONDS,
    CrashReader,
    CrashWriter,
)
from gypsumline.platform.store import Store
from gypsumline.table.follow_settings import FollowSettings
from gypsumline.testing.rows_store import Rows, running_store_endpoint
from gypsumline.testing.virtual_time import run_in_virtual_time

ADDRESS = "10.200.1.7:8169"
SETTINGS = LeaseSettings()
RUN = CrashedRun(
    task="k.0.0.0", attempt=3, queue="cards", age=0.012, is_started=True
)


def detected(started_at=1):
    crash = ExecutorCrash(
        executor="x", started_at=started_at, seconds_ago=0.0, runs=(RUN,)
    )
    return CrashDetected(service="ordering", crash=crash, evidence="restarted")


class Process:
    """Writer of an agent and reader of an entry, each with its own client."""

    def __init__(self):
        self.read = []
        self.store = Store(ADDRESS, FollowSettings())
        rng = random.Random(1)
        outbox = CrashOutbox("agent-1", SETTINGS)
        self.writer = CrashWriter(self.store, outbox, rng)
        self.reader = CrashReader(
            self.store, SETTINGS.crash_memory, self.read.extend, rng
        )

    @contextlib.asynccontextmanager
    async def running(self, *coroutines):
        tasks = [asyncio.create_task(each) for each in coroutines]
        try:
            yield self
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.store.close()

    def writing(self):
        return self.running(self.writer.run())

    def reading(self):
        return self.running(self.reader.run())


def in_virtual_time(scenario):
    """Runs a scenario with the rows and the endpoint of a store."""

    @functools.wraps(scenario)
    def test():
        async def main(loop):
            rows = Rows(loop)
            async with running_store_endpoint(
                ADDRESS, rows, lambda _t, _k, value: value, random.Random(2)
            ) as endpoint:
                await scenario(rows, endpoint)

        run_in_virtual_time(main)

    del test.__wrapped__
    return test


@in_virtual_time
async def test_stored_crash_is_read_by_the_next_processes(rows, endpoint):
    """Guards against a count that is lost with all agents and entries."""
    async with Process().writing() as agent:
        agent.writer.on_crash(detected())
        await asyncio.sleep(1.0)
    await asyncio.sleep(9.0)
    async with Process().reading() as entry:
        await entry.reader.wait_for_first_read()
    ((service, crash),) = entry.read
    assert service == "ordering"
    assert crash.runs == (RUN,)
    assert crash.seconds_ago == pytest.approx(10.0, abs=0.1)


@in_virtual_time
async def test_store_gets_no_call_from_agents_without_a_crash(rows, endpoint):
    """Guards against calls that are paid for on calm days."""
    async with Process().writing():
        await asyncio.sleep(300.0)
    assert not endpoint.calls


@in_virtual_time
async def test_crashes_during_a_write_share_the_next_one(rows, endpoint):
    """Guards against a call for each crash of a burst."""
    endpoint.latency = 0.2
    async with Process().writing() as agent:
        for number in range(10):
            agent.writer.on_crash(detected(number))
            await asyncio.sleep(0.01)
        await asyncio.sleep(2.0)
        assert len(rows.rows) == 10
        assert endpoint.calls["/v1/rows-tx"] == 2


@in_virtual_time
async def test_row_is_removed_when_the_crash_no_longer_counts(rows, endpoint):
    """Guards against rows that stay, since the store expires nothing."""
    async with Process().writing() as agent:
        agent.writer.on_crash(detected())
        await asyncio.sleep(SETTINGS.crash_memory)
        assert len(rows.rows) == 1
        await asyncio.sleep(SETTINGS.crash_memory)
    assert rows.rows == {}
    assert endpoint.calls["/v1/rows-tx"] == 2


@pytest.mark.parametrize("fault", ["busy", "silent", "lost", "slow"])
def test_crash_is_stored_after_trouble_at_the_store(fault):
    """Guards against a crash that is forgotten when its write fails."""

    @in_virtual_time
    async def scenario(rows, endpoint):
        endpoint.fault = fault
        async with Process().writing() as agent:
            agent.writer.on_crash(detected())
            await asyncio.sleep(20.0)
            endpoint.fault = ""
            await asyncio.sleep(6.0)
        assert len(rows.rows) == 1

    scenario()


@in_virtual_time
async def test_entry_starts_while_the_store_is_away(rows, endpoint):
    """Guards against an entry that waits for the stored crashes."""
    endpoint.fault = "silent"
    loop = asyncio.get_running_loop()
    async with Process().reading() as entry:
        before = loop.time()
        await entry.reader.wait_for_first_read()
        assert loop.time() - before <= FIRST_READ_LIMIT_SECONDS + 0.01
        async with Process().writing() as agent:
            agent.writer.on_crash(detected())
            endpoint.fault = ""
            await asyncio.sleep(8.0)
        assert [crash.started_at for _, crash in entry.read] == [1]


@in_virtual_time
async def test_entry_reads_again_once_for_several_lost_agents(rows, endpoint):
    """Guards against an entry that misses crashes of lost agents, or polls."""
    async with Process().reading() as entry:
        await asyncio.sleep(1.0)
        async with Process().writing() as agent:
            agent.writer.on_crash(detected())
            await asyncio.sleep(1.0)
        for _ in range(5):
            entry.reader.request_read()
            await asyncio.sleep(0.1)
        await asyncio.sleep(60.0)
    assert len(entry.read) == 1
    assert endpoint.calls["/v1/rows-get"] <= 1 + 1 + 2


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{",
        b"[]",
        b'{"service":"s"}',
        b'{"service":1,"executor":"x","started_at":1,"crashed_at":1,"runs":[]}',
        b'{"service":"s","executor":"x","started_at":1,"crashed_at":1e400,'
        b'"runs":[]}',
        b'{"service":"s","executor":"x","started_at":1,"crashed_at":1,'
        b'"runs":[["k"]]}',
        b'{"service":"s","executor":"x","started_at":1' + b"0" * 400 + b","
        b'"crashed_at":1,"runs":[]}',
        b'{"service":"s","executor":"x","started_at":1,"crashed_at":1,'
        b'"runs":[["k.0.0.0",-1,"q",0.1,true]]}',
        b'{"service":"s","executor":"x","started_at":1,"crashed_at":1,'
        b'"runs":[["k.0.0.0",1,"q",1e300,true]]}',
        b'{"service":"s","executor":"x","started_at":1,"crashed_at":1,'
        b'"runs":[' + b'["k.0.0.0",1,"q",0.1,true],' * 300 + b"[]]}",
        b"[" * 100_000,
        b"\xff",
    ],
)
def test_malformed_rows_are_passed_over(value):
    """Guards against a row that ends the process or hides the others."""

    @in_virtual_time
    async def scenario(rows, endpoint):
        async with Process().writing() as agent:
            agent.writer.on_crash(detected())
            await asyncio.sleep(1.0)
        rows.write([(CRASHES_TABLE, "agent-0/1", value)])
        async with Process().reading() as entry:
            await entry.reader.wait_for_first_read()
        assert [crash.started_at for _, crash in entry.read] == [1]

    scenario()


def test_malformed_row_is_logged_once(caplog):
    """Guards against a line at each read for as long as the row is there."""

    @in_virtual_time
    async def scenario(rows, endpoint):
        rows.write([(CRASHES_TABLE, "agent-0/1", b"{")])
        async with Process().reading() as entry:
            for _ in range(3):
                await asyncio.sleep(5.0)
                entry.reader.request_read()
            await asyncio.sleep(5.0)
        assert endpoint.calls["/v1/rows-get"] > 2

    scenario()
    lines = [r for r in caplog.records if r.message == "crash row is invalid"]
    assert len(lines) == 1


@in_virtual_time
async def test_old_rows_of_lost_agents_are_removed(rows, endpoint):
    """Guards against rows that no agent is left to remove."""
    async with Process().writing() as agent:
        for number in range(3):
            agent.writer.on_crash(detected(number))
        await asyncio.sleep(1.0)
    await asyncio.sleep(4.0 * SETTINGS.crash_memory)
    async with Process().reading() as entry:
        await asyncio.sleep(1.0)
    assert entry.read == []
    assert rows.rows == {}
