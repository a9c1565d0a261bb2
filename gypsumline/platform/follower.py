"""Follows one table of the store through its feed of changes."""

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
    RowSource,
    Store,
    StoreError,
    StoreUnavailableError,
)
from gypsumline.runtime import metrics
from gypsumline.runtime.logs import rounded_seconds
from gypsumline.table.follow_settings import FollowSettings

_LOGGER = logging.getLogger(__name__)

RowsCallback = Callable[[RowSet], None]


class RowsNotAppliedError(StoreError):
    """A callback failed.

    Attributes:
      version: Version of the rows.
    """

    def __init__(self, version: int) -> None:
        super().__init__(f"the rows of version {version} were not applied")
        self.version = version


class TableFollower:
    """Reads a table, follows its changes, and reads it again after a gap.

    An error in a callback is logged once for each version, and the table is
    read again: the process would otherwise end at the same rows at each start.

    Args:
      store: Client of the store.
      table: Name of the table.
      on_replaced: Receives the rows of each read of the whole table.
      on_changed: Receives the rows that have changed.
      settings: Timeouts and pauses.
      rng: Source of the random part of pauses.
      on_current: Called after each response, once its rows are applied, with
        the age of the moment at which they were the newest, in seconds.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        on_replaced: RowsCallback,
        on_changed: RowsCallback,
        settings: FollowSettings,
        rng: random.Random,
        on_current: Callable[[float], None] | None = None,
    ) -> None:
        self._store = store
        self._table = table
        self._on_replaced = on_replaced
        self._on_changed = on_changed
        self._settings = settings
        self._rng = rng
        self._on_current = on_current
        self._version: int | None = None
        self._backoff = settings.first_pause
        self._is_store_unavailable = False
        self._failed_version = -1
        self._last_response_is_read = False
        self._last_response_at = -math.inf
        metrics.STORE_SILENCE.labels(table).set_function(lambda: self.silence)

    @property
    def silence(self) -> float:
        """Seconds since the last response; infinite before the first one."""
        return asyncio.get_running_loop().time() - self._last_response_at

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            try:
                await self._request_rows()
            except FeedGapError as error:
                self._version = None
                self._log_event("store feed has a gap", str(error))
                if self._last_response_is_read:
                    # The version that was read precedes the remaining history,
                    # so another read at once may be as old.
                    await self._pause()
            except RowsNotAppliedError as error:
                # A read of the whole table restores what was not applied.
                self._version = None
                self._log_unapplied_rows(error)
                await self._pause()
            except StoreUnavailableError as error:
                if not self._is_store_unavailable:
                    self._is_store_unavailable = True
                    self._log_event("store lost", str(error))
                await self._pause()
            else:
                if not self._last_response_is_read:
                    self._backoff = self._settings.first_pause
                if self._is_store_unavailable:
                    self._is_store_unavailable = False
                    self._log_event("store regained", "")

    async def _request_rows(self) -> None:
        requested_at = asyncio.get_running_loop().time()
        if self._version is None:
            rows = self._record_response(
                await self._store.read(self._table), requested_at
            )
            _apply(self._on_replaced, rows)
            self._last_response_is_read = True
        else:
            changes = await self._store.follow(self._table, self._version)
            rows = self._record_response(changes, requested_at)
            self._last_response_is_read = False
            if rows.rows:
                _apply(self._on_changed, rows)
        self._version = rows.version
        if self._on_current is not None:
            self._on_current(self._age(rows))

    def _age(self, rows: RowSet) -> float:
        """Returns the maximum age of the moment that a response reflects.

        It is within the time of the request. A feed without changes was held
        open for all of its wait.
        """
        wait = self._settings.feed_wait
        if rows.source is RowSource.FEED and not rows.rows:
            return rows.waited - wait if rows.waited >= wait else rows.waited
        return rows.waited

    def _record_response(self, rows: RowSet, requested_at: float) -> RowSet:
        """Records the time of a response; returns its rows with their age."""
        now = asyncio.get_running_loop().time()
        previous_response_at, self._last_response_at = (
            self._last_response_at,
            now,
        )
        return dataclasses.replace(
            rows, waited=now - requested_at, silence=now - previous_response_at
        )

    async def _pause(self) -> None:
        await asyncio.sleep(self._backoff * self._rng.uniform(0.5, 1.0))
        self._backoff = min(2.0 * self._backoff, self._settings.last_pause)

    def _log_unapplied_rows(self, error: RowsNotAppliedError) -> None:
        if self._failed_version != error.version:
            self._failed_version = error.version
            metrics.REJECTED_INPUTS.labels("rows").inc()
            _LOGGER.error("rows of the store were not applied", exc_info=error)

    def _log_event(self, event: str, detail: str) -> None:
        _LOGGER.info(
            event,
            extra={
                "table": self._table,
                "version": self._version,
                "silence": rounded_seconds(self.silence),
                "detail": detail,
            },
        )


def _apply(callback: RowsCallback, rows: RowSet) -> None:
    """Passes rows to a callback.

    Raises:
      RowsNotAppliedError: The callback failed.
    """
    try:
        callback(rows)
    except Exception as error:
        raise RowsNotAppliedError(rows.version) from error
