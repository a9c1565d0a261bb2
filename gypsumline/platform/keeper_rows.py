"""The row of the store that holds the list of the keepers of locks.

It is in the table of the entries, which all agents follow anyway; entries get
the list from their agents.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Annotated

import msgspec

from gypsumline.core.errors import InvalidInputError
from gypsumline.core.leases.keepers import KEEPERS_MAX, Keeper, KeeperList
from gypsumline.platform.entry_rows import (
    ENTRIES_TABLE,
    KEEPERS_KEY,
    entries_with_keepers,
)
from gypsumline.platform.rejections import RejectionLog
from gypsumline.platform.store import RowSet, Store, StoredRow, StoreError
from gypsumline.platform.wire_types import Name, Sequence

# Entries propose a change at about the same time.
_PROPOSAL_SPREAD_SECONDS = 0.5

_LOGGER = logging.getLogger(__name__)

KeepersCallback = Callable[[KeeperList], None]


class _KeeperRow(msgspec.Struct, array_like=True, frozen=True):
    member_id: Name
    availability_zone: Name


_Keepers = Annotated[list[_KeeperRow], msgspec.Meta(max_length=KEEPERS_MAX)]


class KeepersRow(msgspec.Struct):
    """Value of the row.

    Attributes:
      version: Version of the list.
      members: The agents, as (member id, availability zone).
      previous: Agents of the version before.
      is_reset: Whether no quorum of the version before could be had.
    """

    version: Sequence
    members: _Keepers
    previous: _Keepers = []
    is_reset: bool = False


def encode_keepers(keepers: KeeperList) -> bytes:
    """Returns the value of the row of a list."""
    return msgspec.json.encode(
        KeepersRow(
            version=keepers.version,
            members=[_KeeperRow(*each) for each in keepers.members],
            previous=[_KeeperRow(*each) for each in keepers.previous],
            is_reset=keepers.is_reset,
        )
    )


def decode_keepers(row: StoredRow) -> KeeperList:
    """Returns the list in a row.

    Raises:
      InvalidInputError: The value is not a list of keepers.
    """
    try:
        value = msgspec.json.decode(row.value or b"", type=KeepersRow)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidInputError("row", row.value, str(error)) from error
    members = _decode_members(value.members)
    if not members or value.version < 1:
        raise InvalidInputError("row", row.value, "a version with members")
    return KeeperList(
        version=value.version,
        members=members,
        previous=_decode_members(value.previous),
        is_reset=value.is_reset,
    )


def _decode_members(rows: list[_KeeperRow]) -> tuple[Keeper, ...]:
    keepers = {r.member_id: r.availability_zone for r in rows}
    return tuple(sorted(Keeper(*each) for each in keepers.items()))


class KeeperReader:
    """Reads the list among rows; logs and counts each invalid one once.

    While the row is invalid, the last valid list stays in use.

    Args:
      on_keepers: Receives each list that is read.
    """

    def __init__(self, on_keepers: KeepersCallback) -> None:
        self._on_keepers = on_keepers
        self._rejections = RejectionLog(
            "keepers_row", "row of the keepers is invalid", _LOGGER
        )

    def apply(self, rows: RowSet) -> None:
        """Passes on the list if it is among the rows."""
        keepers = self.find(rows)
        if keepers is not None:
            self._on_keepers(keepers)

    def find(self, rows: RowSet) -> KeeperList | None:
        """Returns the list among the rows, or None."""
        row = find_row(rows)
        if row is None or row.is_removed:
            return None
        try:
            return decode_keepers(row)
        except InvalidInputError as error:
            self._rejections.record((row.key, row.value), str(error))
            return None


class KeeperWriter:
    """Stores the lists that the owner of this entry proposes.

    Args:
      store: Client of the store.
      rng: Source of the random part of pauses.
      on_keepers: Receives the list that is stored in the end, which may be
        that of another entry.
    """

    def __init__(
        self, store: Store, rng: random.Random, on_keepers: KeepersCallback
    ) -> None:
        self._store = store
        self._rng = rng
        self._on_keepers = on_keepers
        self._reader = KeeperReader(on_keepers)
        self._proposed: KeeperList | None = None
        self._wake = asyncio.Event()

    def propose(self, keepers: KeeperList) -> None:
        """Has a list stored, unless an earlier proposal is being stored."""
        if self._proposed is None:
            self._proposed = keepers
            self._wake.set()

    async def run(self) -> None:
        """Stores the proposals until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            keepers = self._proposed
            if keepers is None:
                continue
            spread = self._rng.uniform(0.0, _PROPOSAL_SPREAD_SECONDS)
            await asyncio.sleep(spread)
            try:
                await self.store(keepers)
            except StoreError as error:
                # The owner proposes it again if it is still due.
                _LOGGER.info(
                    "keepers not stored",
                    extra={"version": keepers.version, "detail": str(error)},
                )
            self._proposed = None

    async def store(self, keepers: KeeperList) -> None:
        """Stores a list unless that of another entry is there.

        Raises:
          StoreError: Another entry was faster, or the store did not confirm
            the write.
        """
        rows = await self._store.read(ENTRIES_TABLE)
        stored = self._reader.find(rows)
        if stored is not None and stored.version >= keepers.version:
            self._on_keepers(stored)
            return
        in_touch = entries_with_keepers(rows) if keepers.is_reset else []
        if in_touch:
            _LOGGER.info(
                "keepers not replaced",
                extra={"version": keepers.version, "in_touch": in_touch},
            )
            return
        row = find_row(rows)
        if row is not None and stored is None:
            # Its version may be in use already.
            _LOGGER.error(
                "invalid row of the keepers is not replaced",
                extra={"version": keepers.version},
            )
            return
        await self._store.write(
            ENTRIES_TABLE,
            {KEEPERS_KEY: encode_keepers(keepers)},
            expected={KEEPERS_KEY: 0 if row is None else row.version},
        )
        _LOGGER.info(
            "keepers stored",
            extra={
                "version": keepers.version,
                "members": len(keepers.members),
                "is_reset": keepers.is_reset,
            },
        )
        self._on_keepers(keepers)


def find_row(rows: RowSet) -> StoredRow | None:
    """Returns the row of the list, or None."""
    return next((row for row in rows.rows if row.key == KEEPERS_KEY), None)
