"""Rows of the store through which agents discover the entries."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

import msgspec

from gypsumline.core.errors import InvalidInputError
from gypsumline.core.identity import Member
from gypsumline.platform.rejections import RejectionLog
from gypsumline.platform.store import (
    RowSet,
    Store,
    StoreConflictError,
    StoredRow,
    StoreError,
)
from gypsumline.platform.wire_types import Incarnation, Name
from gypsumline.runtime.addresses import parse_address

ENTRIES_TABLE = "gypsumline-entries"
# Row of the table that is no entry's: the list of the keepers of locks.
KEEPERS_KEY = "#keepers"
RENEWAL_SECONDS = 20.0
# Age up to which what a row says counts; covers a renewal that is repeated.
RENEWAL_LIMIT_SECONDS = 25.0
# Rows that have not been renewed for this long belong to entries that are gone.
EXPIRY_SECONDS = 70.0
_RETRY_SECONDS = 0.3
# A transaction holds at most 100 entries, of which a removal takes two.
_REMOVALS_MAX = 40

_LOGGER = logging.getLogger(__name__)


class EntryRow(msgspec.Struct):
    """Value of the row of an entry.

    Attributes:
      address: Host and port of the entry's stream server.
      incarnation: Incarnation of the entry.
      renewed_at: Time of the last renewal, in seconds on the store's clock.
      has_keepers: Whether the entry was in touch with a majority of the agents
        that keep locks.
    """

    address: Name
    incarnation: Incarnation
    renewed_at: float
    has_keepers: bool = True


def decode_entry(row: StoredRow) -> EntryRow:
    """Returns the value of a row.

    Raises:
      InvalidInputError: The value is not that of an entry.
    """
    try:
        entry = msgspec.json.decode(row.value or b"", type=EntryRow)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidInputError("row", row.value, str(error)) from error
    parse_address(entry.address)
    return entry


def _rows_of_entries(rows: RowSet) -> list[StoredRow]:
    return [row for row in rows.rows if row.key != KEEPERS_KEY]


class _EntryReader:
    """Decodes rows; logs and counts each distinct invalid one once."""

    def __init__(self) -> None:
        self._rejections = RejectionLog(
            "entry_row", "entry row is invalid", _LOGGER
        )

    def read(self, row: StoredRow) -> EntryRow | None:
        """Returns the value of a row, or None if it is invalid."""
        try:
            return decode_entry(row)
        except InvalidInputError as error:
            self._rejections.record(
                (row.key, row.value), str(error), key=row.key[:80]
            )
            return None


def entries_with_keepers(rows: RowSet) -> list[str]:
    """Returns the entries that say they are in touch with a majority.

    Only rows that have been renewed lately count.
    """
    reader = _EntryReader()
    named: list[str] = []
    for row in _rows_of_entries(rows):
        entry = reader.read(row)
        if entry is None or not entry.has_keepers:
            continue
        if rows.store_time - entry.renewed_at <= RENEWAL_LIMIT_SECONDS:
            named.append(row.key)
    return named


class EntryDirectory:
    """Tracks the addresses of the entries listed in the table.

    While the row of an entry is invalid, its last valid address stays in use.

    Args:
      on_changed: Receives the sorted addresses after each update.
    """

    def __init__(self, on_changed: Callable[[list[str]], None]) -> None:
        self._addresses: dict[str, str] = {}
        self._incarnations: dict[str, int] = {}
        # Rows that are invalid now.
        self._invalid: set[str] = set()
        self._on_changed = on_changed
        self._reader = _EntryReader()

    @property
    def incarnations(self) -> dict[str, int] | None:
        """Incarnations of all entries by member id, or None if unknown."""
        if self._invalid or not self._addresses:
            return None
        return {key: self._incarnations[key] for key in self._addresses}

    def replace(self, rows: RowSet) -> None:
        """Replaces all addresses by those of a full read."""
        listed = {row.key for row in _rows_of_entries(rows)}
        for key in self._addresses.keys() - listed:
            del self._addresses[key]
        self._invalid &= listed
        self.apply(rows)

    def apply(self, rows: RowSet) -> None:
        """Applies changed rows."""
        for row in _rows_of_entries(rows):
            self._invalid.discard(row.key)
            if row.is_removed:
                self._addresses.pop(row.key, None)
            elif (entry := self._reader.read(row)) is None:
                self._invalid.add(row.key)
            else:
                self._addresses[row.key] = entry.address
                self._incarnations[row.key] = entry.incarnation
        self._on_changed(sorted(self._addresses.values()))


class EntryAnnouncer:
    """Renews the row of this entry and removes expired rows of others.

    Args:
      store: Client of the store.
      member: The entry.
      rng: Source of the random part of pauses.
      has_keepers: Returns whether the entry is in touch with a majority of the
        agents that keep locks.
    """

    def __init__(
        self,
        store: Store,
        member: Member,
        rng: random.Random,
        has_keepers: Callable[[], bool],
    ) -> None:
        self._store = store
        self._member = member
        self._rng = rng
        self._has_keepers = has_keepers
        self._reader = _EntryReader()
        self._is_removed = False
        # A renewal must not write the row again after its removal.
        self._lock = asyncio.Lock()

    async def run(self) -> None:
        """Renews the row until it is removed, or until cancelled."""
        while not self._is_removed:
            try:
                async with self._lock:
                    await self._renew()
            except StoreError as error:
                _LOGGER.info(
                    "entry row not renewed", extra={"detail": str(error)}
                )
                await asyncio.sleep(
                    _RETRY_SECONDS * self._rng.uniform(0.5, 1.5)
                )
            else:
                spread = self._rng.uniform(0.8, 1.0)
                await asyncio.sleep(RENEWAL_SECONDS * spread)

    async def remove(self, limit: float) -> None:
        """Removes the row at the end of a planned stop.

        Agents then do not dial the address any more, at which another process
        may listen later. A row that is left expires.

        Args:
          limit: Maximum time, in seconds.
        """
        try:
            async with asyncio.timeout(limit), self._lock:
                self._is_removed = True
                await self._remove()
        except (StoreError, TimeoutError) as error:
            _LOGGER.info(
                "entry row not removed",
                extra={"detail": str(error) or type(error).__name__},
            )

    async def _remove(self) -> None:
        rows = await self._store.read(ENTRIES_TABLE)
        for row in rows.rows:
            if row.key != self._member.member_id:
                continue
            entry = self._reader.read(row)
            # A next incarnation may have written the row already.
            if entry and entry.incarnation == self._member.incarnation:
                await self._store.write(
                    ENTRIES_TABLE, {}, {row.key: row.version}
                )
                _LOGGER.info("entry row removed")

    async def _renew(self) -> None:
        rows = await self._store.read(ENTRIES_TABLE)
        row = EntryRow(
            address=self._member.address,
            incarnation=self._member.incarnation,
            renewed_at=rows.store_time,
            has_keepers=self._has_keepers(),
        )
        puts = {self._member.member_id: msgspec.json.encode(row)}
        expired = self._find_expired(rows)
        try:
            await self._store.write(ENTRIES_TABLE, puts, expired)
        except StoreConflictError:
            # Another entry removed or renewed one of the expired rows.
            await self._store.write(ENTRIES_TABLE, puts)
            return
        if expired:
            _LOGGER.info(
                "expired entry rows removed", extra={"entries": sorted(expired)}
            )

    def _find_expired(self, rows: RowSet) -> dict[str, int]:
        """Returns the versions of the expired rows, by key.

        They are as many as one transaction may remove.
        """
        expired: dict[str, int] = {}
        for row in _rows_of_entries(rows):
            if row.key == self._member.member_id:
                continue
            entry = self._reader.read(row)
            if entry is None:
                continue
            age = rows.store_time - entry.renewed_at
            # A negative age means that the store and its clock have restarted.
            if not 0.0 <= age <= EXPIRY_SECONDS and row.version:
                expired[row.key] = row.version
            if len(expired) == _REMOVALS_MAX:
                break
        return expired
