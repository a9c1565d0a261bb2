"""Rows of the store that keep crashes when all processes are lost."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import random
from collections import abc
from typing import Annotated

import msgspec

from gypsumline.core.errors import InvalidInputError
from gypsumline.core.leases.crash_records import (
    MAX_RECORDED_RUNS,
    CrashOutbox,
    CrashRecord,
    CrashWrite,
    recent_crashes,
    removable_keys,
)
from gypsumline.core.leases.effects import CrashDetected
from gypsumline.core.leases.messages import CrashedRun, ExecutorCrash
from gypsumline.platform.rejections import RejectionLog
from gypsumline.platform.store import RowSet, Store, StoredRow, StoreError
from gypsumline.platform.wire_types import Name, Sequence

CRASHES_TABLE = "gypsumline-crashes"
# Pauses after a failed call, doubled after each further one. Calls that fail
# cost as much as others.
_FIRST_RETRY_SECONDS = 0.1
_LAST_RETRY_SECONDS = 5.0
# Delay of a read that lost agents cause; one read serves several of them.
_READ_DELAY_SECONDS = 1.0
# Time by which the read at the start may delay the configuration.
FIRST_READ_LIMIT_SECONDS = 0.1

_LOGGER = logging.getLogger(__name__)

CrashesCallback = abc.Callable[[abc.Sequence[tuple[str, ExecutorCrash]]], None]
# Times on the store's clock, in seconds; leaves out infinity and NaN.
StoreSeconds = Annotated[float, msgspec.Meta(ge=-(2.0**43), le=2.0**43)]


class _RunRow(msgspec.Struct, array_like=True):
    task: Name
    attempt: Sequence
    queue: Name
    age: StoreSeconds
    is_started: bool


class CrashRow(msgspec.Struct):
    """Value of the row of a crash.

    Attributes:
      service: Service of the executor.
      executor: Name of the executor.
      started_at: Start of its incarnation, in UTC milliseconds.
      crashed_at: Time of the crash, in seconds on the store's clock.
      runs: Runs that were there, as (task, attempt, queue, age in seconds,
        whether it is known to have been there).
    """

    service: Name
    executor: Name
    started_at: Sequence
    crashed_at: StoreSeconds
    runs: Annotated[list[_RunRow], msgspec.Meta(max_length=MAX_RECORDED_RUNS)]


def encode_crash(record: CrashRecord) -> bytes:
    """Returns the value of the row of a crash."""
    crash = record.crash
    runs = [
        _RunRow(r.task, r.attempt, r.queue, r.age, r.is_started)
        for r in crash.runs
    ]
    row = CrashRow(
        record.service, crash.executor, crash.started_at, record.at, runs
    )
    return msgspec.json.encode(row)


def decode_crash(row: StoredRow) -> CrashRecord:
    """Returns the crash in a row.

    Raises:
      InvalidInputError: The value is not that of a crash.
    """
    try:
        found = msgspec.json.decode(row.value or b"", type=CrashRow)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidInputError("row", row.value, str(error)) from error
    runs = tuple(
        CrashedRun(
            task=run.task,
            attempt=run.attempt,
            queue=run.queue,
            age=run.age,
            is_started=run.is_started,
        )
        for run in found.runs
    )
    crash = ExecutorCrash(
        executor=found.executor,
        started_at=found.started_at,
        seconds_ago=0.0,
        runs=runs,
    )
    return CrashRecord(service=found.service, at=found.crashed_at, crash=crash)


class _Retries:
    """Pauses between failed calls, with a random part."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pause = _FIRST_RETRY_SECONDS

    def reset(self) -> None:
        self._pause = _FIRST_RETRY_SECONDS

    async def wait(self) -> None:
        await asyncio.sleep(self._pause * self._rng.uniform(0.5, 1.0))
        self._pause = min(2.0 * self._pause, _LAST_RETRY_SECONDS)


class CrashWriter:
    """Stores the crashes of an agent's executor.

    At most one write is under way; crashes that follow meanwhile share the
    next one.
    """

    def __init__(
        self, store: Store, outbox: CrashOutbox, rng: random.Random
    ) -> None:
        self._store = store
        self._outbox = outbox
        self._retries = _Retries(rng)
        self._added = asyncio.Event()

    def on_crash(self, detected: CrashDetected) -> None:
        """Stores a crash soon."""
        now = asyncio.get_running_loop().time()
        self._outbox.add(detected.service, detected.crash, now)
        self._added.set()

    async def run(self) -> None:
        """Writes what is due until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            write = self._outbox.next_write(loop.time())
            if write is None:
                await self._wait(self._outbox.next_write_in(loop.time()))
                continue
            try:
                await self._write(write)
            except StoreError as error:
                _LOGGER.info(
                    "crashes not stored",
                    extra={"crashes": len(write.puts), "detail": str(error)},
                )
                await self._retries.wait()
            else:
                self._retries.reset()

    async def _wait(self, seconds: float) -> None:
        """Waits for a time, or until a crash is added."""
        self._added.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                None if math.isinf(seconds) else seconds
            ):
                await self._added.wait()

    async def _write(self, write: CrashWrite) -> None:
        if write.puts and self._store.clock_offset is None:
            # Only a response to a read shows the time at the store.
            await self._store.read(CRASHES_TABLE)
        offset = self._store.clock_offset or 0.0
        values = {
            key: encode_crash(
                CrashRecord(
                    service=record.service,
                    at=round(record.at + offset, 3),
                    crash=record.crash,
                )
            )
            for key, record in write.puts.items()
        }
        await self._store.write(
            CRASHES_TABLE, values, dict.fromkeys(write.removals)
        )
        self._outbox.on_written(write)


class CrashReader:
    """Reads the stored crashes at the start and after the loss of agents.

    Other crashes arrive on the agents' streams, so the table is not polled.

    Args:
      store: Client of the store.
      memory: Time in seconds for which a crash counts.
      on_crashes: Receives service and crash of all that count.
      rng: Source of the random part of pauses.
    """

    def __init__(
        self,
        store: Store,
        memory: float,
        on_crashes: CrashesCallback,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._memory = memory
        self._on_crashes = on_crashes
        self._retries = _Retries(rng)
        self._rejections = RejectionLog(
            "crash_row", "crash row is invalid", _LOGGER
        )
        self._requested = asyncio.Event()
        self._has_read = asyncio.Event()

    def request_read(self) -> None:
        """Reads again soon, for what a lost agent stored but did not send."""
        self._requested.set()

    async def wait_for_first_read(self) -> None:
        """Waits until the stored crashes are known, for a limited time."""
        try:
            async with asyncio.timeout(FIRST_READ_LIMIT_SECONDS):
                await self._has_read.wait()
        except TimeoutError:
            _LOGGER.info("starting without the stored crashes")

    async def run(self) -> None:
        """Reads when needed until cancelled."""
        while True:
            self._requested.clear()
            await self._read_until_answered()
            self._has_read.set()
            await self._requested.wait()
            await asyncio.sleep(_READ_DELAY_SECONDS)

    async def _read_until_answered(self) -> None:
        self._retries.reset()
        while True:
            try:
                rows = await self._store.read(CRASHES_TABLE)
            except StoreError as error:
                _LOGGER.info("crashes not read", extra={"detail": str(error)})
                await self._retries.wait()
                continue
            await self._apply(rows)
            return

    def _decode(self, row: StoredRow) -> CrashRecord | None:
        """Returns the crash in a row; None, logged once, if it is invalid."""
        try:
            return decode_crash(row)
        except InvalidInputError as error:
            self._rejections.record(
                (row.key, row.value), str(error), key=row.key[:80]
            )
            return None

    async def _apply(self, rows: RowSet) -> None:
        decoded = [(row, self._decode(row)) for row in rows.rows]
        records = [(row, found) for row, found in decoded if found is not None]
        crashes = recent_crashes(
            [record for _, record in records], self._memory, rows.store_time
        )
        if crashes:
            _LOGGER.info("crashes read", extra={"crashes": len(crashes)})
            self._on_crashes(crashes)
        named = [(row.key, record) for row, record in records]
        old = set(removable_keys(named, self._memory, rows.store_time))
        if old:
            versions = {r.key: r.version for r, _ in records if r.key in old}
            await self._remove(versions)

    async def _remove(self, versions: dict[str, int]) -> None:
        try:
            await self._store.write(CRASHES_TABLE, {}, versions)
        except StoreError as error:
            # Another entry may have removed them.
            _LOGGER.info(
                "old crash rows not removed", extra={"detail": str(error)}
            )
