"""Crashes that outlive the processes that saw them."""

from __future__ import annotations

import dataclasses
import itertools
import math
from collections.abc import Iterable, Sequence

from gypsumline.core.leases.messages import ExecutorCrash
from gypsumline.core.leases.settings import LeaseSettings

# Runs in one record; the youngest ones, which are blamed most, are kept.
MAX_RECORDED_RUNS = 256
# Records or removals in one write.
MAX_WRITE_ENTRIES = 16
# An agent removes its records at this age, in multiples of `crash_memory`, so
# that one write removes several. Owners do it later, for agents that are gone.
_REMOVAL_AGE_FACTOR = 1.5
_FOREIGN_REMOVAL_AGE_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashRecord:
    """A crash as it is stored.

    Attributes:
      service: Service of the executor.
      at: Time of the crash in seconds; the clock is that of the holder.
      crash: The crash; its `seconds_ago` does not apply.
    """

    service: str
    at: float
    crash: ExecutorCrash


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashWrite:
    """One write of an agent: new records, and keys of expired ones."""

    puts: dict[str, CrashRecord]
    removals: tuple[str, ...]


class CrashOutbox:
    """Decides what an agent writes about the crashes of its executor.

    Each crash has a record of its own, which is written once and removed once
    it no longer counts. Without a crash nothing is ever due.

    Args:
      agent: ID of the agent.
      settings: How long a crash counts and how many are kept.
    """

    def __init__(self, agent: str, settings: LeaseSettings) -> None:
        self._agent = agent
        self._settings = settings
        # Not yet written, oldest first.
        self._pending: dict[str, CrashRecord] = {}
        # Time of each crash that was written, oldest first.
        self._written: dict[str, float] = {}

    def add(self, service: str, crash: ExecutorCrash, now: float) -> None:
        """Adds a crash; one without runs has nothing to count."""
        if not crash.runs:
            return
        youngest = sorted(crash.runs, key=lambda run: run.age)
        kept = dataclasses.replace(
            crash, runs=tuple(youngest[:MAX_RECORDED_RUNS])
        )
        key = f"{self._agent}/{crash.started_at}"
        self._pending[key] = CrashRecord(service=service, at=now, crash=kept)

    def next_write_in(self, now: float) -> float:
        """Returns the seconds until a write is due; infinite if none is."""
        if self._pending:
            return 0.0
        if not self._written:
            return math.inf
        oldest = next(iter(self._written.values()))
        return max(0.0, oldest + self._removal_age - now)

    def next_write(self, now: float) -> CrashWrite | None:
        """Returns the write that is due, or None."""
        memory = self._settings.crash_memory
        for key, record in list(self._pending.items()):
            if now - record.at > memory:
                del self._pending[key]
        for key, at in list(self._written.items()):
            if now - at > _FOREIGN_REMOVAL_AGE_FACTOR * memory:
                del self._written[key]
        if self.next_write_in(now) > 0.0:
            return None
        puts = dict(itertools.islice(self._pending.items(), MAX_WRITE_ENTRIES))
        excess = len(self._written) + len(puts) - self._settings.crash_records
        expired = (
            key
            for number, (key, at) in enumerate(self._written.items())
            if number < excess or now - at > memory
        )
        removals = tuple(itertools.islice(expired, MAX_WRITE_ENTRIES))
        return CrashWrite(puts=puts, removals=removals)

    def on_written(self, write: CrashWrite) -> None:
        """Records a write that the store has confirmed."""
        for key in write.removals:
            self._written.pop(key, None)
        for key, record in write.puts.items():
            self._pending.pop(key, None)
            self._written[key] = record.at

    @property
    def _removal_age(self) -> float:
        return _REMOVAL_AGE_FACTOR * self._settings.crash_memory


def recent_crashes(
    records: Iterable[CrashRecord], memory: float, now: float
) -> list[tuple[str, ExecutorCrash]]:
    """Returns service and crash of the records that count, oldest first.

    Args:
      records: Records of any agents.
      memory: Time in seconds for which a crash counts.
      now: Current time on the clock of the records.
    """
    found = []
    for record in sorted(records, key=lambda record: record.at):
        # Slightly negative where the writer's reading of the clock was late.
        age = now - record.at
        if -memory <= age <= memory:
            crash = dataclasses.replace(record.crash, seconds_ago=max(0.0, age))
            found.append((record.service, crash))
    return found


def removable_keys(
    records: Sequence[tuple[str, CrashRecord]], memory: float, now: float
) -> list[str]:
    """Returns keys of old records that no agent has removed.

    A record from the future was written before the clock started anew.

    Args:
      records: Keys and records.
      memory: Time in seconds for which a crash counts.
      now: Current time on the clock of the records.
    """
    limit = _FOREIGN_REMOVAL_AGE_FACTOR * memory
    found = (key for key, r in records if abs(now - r.at) > limit)
    return list(itertools.islice(found, MAX_WRITE_ENTRIES))
