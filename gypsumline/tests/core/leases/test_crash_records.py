"""Tests of what agents store about crashes and what owners read of it."""

import math

from gypsumline.core.leases.crash_records import (
    MAX_RECORDED_RUNS,
    MAX_WRITE_ENTRIES,
    CrashOutbox,
    CrashRecord,
    recent_crashes,
    removable_keys,
)
from gypsumline.core.leases.messages import CrashedRun, ExecutorCrash
from gypsumline.core.leases.settings import LeaseSettings

SETTINGS = LeaseSettings(crash_memory=60.0, crash_records=32)


def crash(started_at, runs=1):
    return ExecutorCrash(
        executor="x",
        started_at=started_at,
        seconds_ago=0.0,
        runs=tuple(
            CrashedRun(
                task=f"k.0.0.{number}",
                attempt=1,
                queue="cards",
                age=float(number),
                is_started=True,
            )
            for number in range(runs)
        ),
    )


def outbox_with(crashes, now=0.0):
    outbox = CrashOutbox("agent-1", SETTINGS)
    for number in range(crashes):
        outbox.add("ordering", crash(number), now)
    return outbox


def write_all(outbox, now):
    writes = []
    while (write := outbox.next_write(now)) is not None:
        outbox.on_written(write)
        writes.append(write)
    return writes


def test_nothing_is_written_without_a_crash_under_a_run():
    """Guards against calls to the store on calm days."""
    outbox = outbox_with(0)
    outbox.add("ordering", crash(1, runs=0), 0.0)
    assert outbox.next_write(0.0) is None
    assert outbox.next_write_in(0.0) == math.inf


def test_crashes_are_batched_and_each_is_written_once():
    """Guards against a call for each crash of a burst."""
    writes = write_all(outbox_with(MAX_WRITE_ENTRIES + 4), 1.0)
    assert [len(write.puts) for write in writes] == [MAX_WRITE_ENTRIES, 4]
    assert len({key for write in writes for key in write.puts}) == sum(
        len(write.puts) for write in writes
    )


def test_expired_records_are_removed_with_one_write():
    """Guards against rows that stay for ever."""
    outbox = outbox_with(2)
    write_all(outbox, 0.0)
    due = outbox.next_write_in(0.0)
    assert due > SETTINGS.crash_memory
    assert outbox.next_write(due - 0.1) is None
    (write,) = write_all(outbox, due)
    assert write.puts == {}
    assert len(write.removals) == 2
    assert outbox.next_write_in(due) == math.inf


def test_number_of_records_of_an_agent_is_bounded():
    """Guards against a table that grows with an executor in a crash loop."""
    outbox = outbox_with(0)
    rows = set()
    for number in range(100):
        outbox.add("ordering", crash(number), 0.1 * number)
        for write in write_all(outbox, 0.1 * number):
            rows.update(write.puts)
            rows.difference_update(write.removals)
    assert len(rows) == SETTINGS.crash_records


def test_record_that_could_not_be_written_in_time_is_dropped():
    """Guards against endless calls while the store is away."""
    outbox = outbox_with(1)
    assert outbox.next_write(10.0) is not None
    assert outbox.next_write(SETTINGS.crash_memory + 1.0) is None
    assert outbox.next_write_in(SETTINGS.crash_memory + 1.0) == math.inf


def test_large_record_keeps_the_youngest_runs():
    """Guards against a row beyond the limits of the store."""
    outbox = outbox_with(0)
    outbox.add("ordering", crash(1, runs=MAX_RECORDED_RUNS + 10), 0.0)
    (write,) = write_all(outbox, 0.0)
    (record,) = write.puts.values()
    assert len(record.crash.runs) == MAX_RECORDED_RUNS
    assert max(run.age for run in record.crash.runs) < MAX_RECORDED_RUNS


def record_at(at):
    return CrashRecord(service="ordering", at=at, crash=crash(int(at)))


def test_only_recent_records_count_oldest_first():
    """Guards against blame for crashes of long ago or of another clock."""
    records = [record_at(at) for at in (990.0, 950.0, 900.0, 1000.5, 5000.0)]
    found = recent_crashes(records, 60.0, 1000.0)
    ages = [crash.seconds_ago for _, crash in found]
    assert ages == [50.0, 10.0, 0.0]


def test_records_of_lost_agents_are_removable_when_they_are_old():
    """Guards against rows that no agent is left to remove."""
    ages = (0.0, 100.0, 200.0, -200.0)
    records = [(str(age), record_at(1000.0 - age)) for age in ages]
    assert removable_keys(records, 60.0, 1000.0) == ["200.0", "-200.0"]
