"""Rows by which the agents find the entries."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

import msgspec

from gypsumline.core.identity import Member
from gypsumline.platform.store import RowSet, Store, StoredRow, StoreError
from gypsumline.runtime import metrics

ENTRIES_TABLE = "gypsumline-entries"
RENEWAL_SECONDS = 20.0
# Rows that were not renewed for this long belong to entries that are gone.
EXPIRY_SECONDS = 70.0
_RETRY_SECONDS = 0.3

_LOGGER = logging.getLogger(__name__)


class EntryRow(msgspec.Struct):
    """Value of a row.

    Attributes:
      address: Host and port of the entry's stream server.
      incarnation: Incarnation of the entry.
      renewed_at: Seconds on the store's clock.
    """

    address: str
    incarnation: int
    renewed_at: float


def decode_entry(row: StoredRow) -> EntryRow | None:
    """Returns a row's value; None, logged and counted, if unreadable."""
    try:
        return msgspec.json.decode(row.value or b"", type=EntryRow)
    except (msgspec.DecodeError, RecursionError) as error:
        metrics.REJECTED_INPUTS.labels("entry_row").inc()
        _LOGGER.warning(
            "row names no entry",
            extra={"key": row.key[:80], "detail": str(error)},
        )
        return None


class EntryDirectory:
    """Addresses of the entries, as the table lists them."""

    def __init__(self, on_changed: Callable[[list[str]], None]) -> None:
        self._addresses: dict[str, str] = {}
        self._on_changed = on_changed

    def replace(self, rows: RowSet) -> None:
        """Takes all rows."""
        self._addresses.clear()
        self.apply(rows)

    def apply(self, rows: RowSet) -> None:
        """Takes changed rows."""
        for row in rows.rows:
            entry = None if row.is_removed else decode_entry(row)
            if entry is None:
                self._addresses.pop(row.key, None)
            else:
                self._addresses[row.key] = entry.address
        self._on_changed(sorted(self._addresses.values()))


class EntryAnnouncer:
    """Keeps the row of this entry, and removes rows of entries long gone."""

    def __init__(self, store: Store, me: Member, rng: random.Random) -> None:
        self._store = store
        self._me = me
        self._rng = rng

    async def run(self) -> None:
        """Renews the row until cancelled."""
        while True:
            try:
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

    async def remove(self) -> None:
        """Removes the row at a planned stop."""
        try:
            rows = await self._store.read(ENTRIES_TABLE)
            mine = [r for r in rows.rows if r.key == self._me.member_id]
            versions = {row.key: row.version for row in mine}
            if versions:
                await self._store.write(ENTRIES_TABLE, {}, versions)
        except StoreError as error:
            _LOGGER.info("entry row not removed", extra={"detail": str(error)})

    async def _renew(self) -> None:
        rows = await self._store.read(ENTRIES_TABLE)
        row = EntryRow(
            address=self._me.address,
            incarnation=self._me.incarnation,
            renewed_at=rows.store_time,
        )
        value = msgspec.json.encode(row)
        expired = self._expired(rows)
        await self._store.write(
            ENTRIES_TABLE, {self._me.member_id: value}, expired
        )
        if expired:
            _LOGGER.info(
                "removed rows of entries", extra={"entries": sorted(expired)}
            )

    def _expired(self, rows: RowSet) -> dict[str, int]:
        """Returns the versions of the rows that were not renewed for long."""
        found = {}
        for row in rows.rows:
            if row.key == self._me.member_id:
                continue
            entry = decode_entry(row)
            if entry is None:
                continue
            age = rows.store_time - entry.renewed_at
            # A clock that went back belongs to a store that was started anew.
            if not 0.0 <= age <= EXPIRY_SECONDS:
                found[row.key] = row.version
        return found
