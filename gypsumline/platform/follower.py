"""Keeps up with one table of the store by its feed."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import random
from collections.abc import Callable

from gypsumline.platform.store import (
    FeedGapError,
    RowSet,
    Store,
    StoreUnavailableError,
)
from gypsumline.runtime import metrics
from gypsumline.runtime.logs import rounded_seconds
from gypsumline.table.follow_settings import FollowSettings

_LOGGER = logging.getLogger(__name__)

OnRows = Callable[[RowSet], None]


class TableFollower:
    """Reads a table, follows its changes, and reads again after a gap."""

    def __init__(
        self,
        store: Store,
        table: str,
        on_replaced: OnRows,
        on_changed: OnRows,
        settings: FollowSettings,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._table = table
        self._on_replaced = on_replaced
        self._on_changed = on_changed
        self._settings = settings
        self._rng = rng
        self._version: int | None = None
        self._backoff = settings.first_pause
        self._is_lost = False
        self._newest_is_read = False
        self._heard_at = -math.inf
        metrics.STORE_SILENCE.labels(table).set_function(lambda: self.silence)

    @property
    def silence(self) -> float:
        """Seconds since the store's newest answer; infinite before one."""
        return asyncio.get_running_loop().time() - self._heard_at

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            try:
                await self._step()
            except FeedGapError as error:
                self._version = None
                self._log("store feed has a gap", str(error))
                if self._newest_is_read:
                    # The read is behind the history that is left.
                    await self._pause()
            except StoreUnavailableError as error:
                if not self._is_lost:
                    self._is_lost = True
                    self._log("store lost", str(error))
                await self._pause()
            else:
                if not self._newest_is_read:
                    self._backoff = self._settings.first_pause
                if self._is_lost:
                    self._is_lost = False
                    self._log("store regained", "")

    async def _step(self) -> None:
        asked_at = asyncio.get_running_loop().time()
        if self._version is None:
            rows = self._heard(await self._store.read(self._table), asked_at)
            self._on_replaced(rows)
            self._newest_is_read = True
        else:
            answer = await self._store.follow(self._table, self._version)
            rows = self._heard(answer, asked_at)
            self._newest_is_read = False
            if rows.rows:
                self._on_changed(rows)
        self._version = rows.version

    def _heard(self, rows: RowSet, asked_at: float) -> RowSet:
        """Notes an answer; returns it with its age."""
        now = asyncio.get_running_loop().time()
        heard_at, self._heard_at = self._heard_at, now
        return dataclasses.replace(
            rows, waited=now - asked_at, silence=now - heard_at
        )

    async def _pause(self) -> None:
        await asyncio.sleep(self._backoff * self._rng.uniform(0.5, 1.0))
        self._backoff = min(2.0 * self._backoff, self._settings.last_pause)

    def _log(self, event: str, detail: str) -> None:
        _LOGGER.info(
            event,
            extra={
                "table": self._table,
                "version": self._version,
                "silence": rounded_seconds(self.silence),
                "detail": detail,
            },
        )
