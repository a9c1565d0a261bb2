"""Client of the platform's store: tables of versioned rows and their feeds."""

from __future__ import annotations

import asyncio
import base64
import binascii
import dataclasses
import enum
import http
import logging
import math
import urllib.parse
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from gypsumline.core.errors import GypsumlineError
from gypsumline.platform.rejections import RejectionLog
from gypsumline.platform.wire_types import (
    SEQUENCE_MAX,
    Milliseconds,
    Name,
    Sequence,
)
from gypsumline.runtime.http_client import HttpClient
from gypsumline.runtime.http_messages import (
    NO_HEADERS,
    HttpError,
    HttpResponse,
    HttpUnansweredError,
)
from gypsumline.table.follow_settings import FollowSettings

WRITE_TIMEOUT_SECONDS = 1.0
_ROWS_PER_READ = 500
_PAGES_MAX = 200
_JSON_HEADERS = {"Content-Type": "application/json"}

_LOGGER = logging.getLogger(__name__)


class StoreError(GypsumlineError):
    """A call to the store failed."""


class StoreUnavailableError(StoreError):
    """The store did not serve a call; a write may have taken effect."""


class OldRowsError(StoreUnavailableError):
    """A response is older than an earlier one."""


class StoreConflictError(StoreError):
    """A row had another version than expected; nothing was written."""


class FeedGapError(StoreError):
    """The store has dropped history that a feed request needs."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredRow:
    """A row, or the removal of one.

    Attributes:
      key: Key of the row.
      value: Value; None if the row was removed or the value is not Base64.
      version: Version of the transaction that wrote the row; 0 if not given.
      is_removed: Whether the row was removed.
    """

    key: str
    value: bytes | None
    version: int
    is_removed: bool


class RowSource(enum.StrEnum):
    """Kind of the request that returned rows."""

    READ = "read"
    FEED = "feed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowSet:
    """Rows of a table at one version.

    Attributes:
      rows: The rows.
      version: Newest version that the rows reflect.
      store_time: Seconds on the store's monotonic clock.
      source: Kind of the request that returned the rows.
      waited: Seconds from the request to the response.
      silence: Seconds since the reader's previous response, which bounds the
        age of the rows; infinite for the first response.
    """

    rows: tuple[StoredRow, ...]
    version: int
    store_time: float
    source: RowSource = RowSource.READ
    waited: float = 0.0
    silence: float = math.inf


class _WireRow(msgspec.Struct):
    key: Name
    table: Name = ""
    part: Name = ""
    # Checked by `_decode_row`: a row counts by its key alone, too.
    value: object = ""
    ver: object = 0
    removed: bool = False


class _WireRows(msgspec.Struct):
    # Decoded one by one, so that an invalid row does not hide the others.
    rows: list[msgspec.Raw] = []
    ver: Sequence = 0
    now_ms: Milliseconds = 0.0
    has_more: bool = False


class _RowPage(NamedTuple):
    """The valid rows of a response, and its other fields."""

    rows: list[_WireRow]
    ver: int
    now_ms: float
    has_more: bool


class Store:
    """Reads, writes and follows rows that have no partition.

    Args:
      address: Host and port of the store.
      settings: Timeouts of reads and feeds.
    """

    def __init__(self, address: str, settings: FollowSettings) -> None:
        self._client = HttpClient(address, connections=2)
        self._feed_client = HttpClient(address, connections=2)
        self._settings = settings
        # One counter versions all tables, so the version of a response shows
        # which later responses are stale, whatever their table.
        self._newest_version = 0
        self._clock_offset: float | None = None
        self._rejections = RejectionLog(
            "store_row", "row of the store is invalid", _LOGGER
        )

    @property
    def clock_offset(self) -> float | None:
        """Seconds by which the store's clock is ahead of the event loop's.

        None before the first response that shows it.
        """
        return self._clock_offset

    async def read(self, table: str) -> RowSet:
        """Returns all rows of a table.

        A long table is read in pages. The version is that of the first page, so
        that a feed from there returns the changes made while the other pages
        were read.

        Raises:
          OldRowsError: The rows are older than an earlier response.
          StoreUnavailableError: The store did not respond with rows.
        """
        min_version = self._newest_version
        pages: list[_RowPage] = []
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": str(_ROWS_PER_READ)}
            if start:
                query["from"] = start
            target = f"/v1/rows-get?{urllib.parse.urlencode(query)}"
            timeout = self._settings.request_limit
            response = await self._get(self._client, target, timeout)
            page = self._decode_rows(response, table)
            pages.append(page)
            if not page.has_more:
                break
            start = _next_start(page, start)
            if len(pages) == _PAGES_MAX:
                raise StoreUnavailableError(f"over {_PAGES_MAX} pages")
        self._record_version(pages[0].ver, min_version)
        rows = [_decode_row(row) for page in pages for row in page.rows]
        return self._make_row_set(rows, pages[0], RowSource.READ)

    async def follow(self, table: str, after: int) -> RowSet:
        """Returns the rows that changed after a version.

        Waits up to `feed_wait` for a change, then returns no rows.

        Raises:
          FeedGapError: The history was dropped; the table must be read again.
          OldRowsError: The response is older than `after`.
          StoreUnavailableError: The store did not respond with rows.
        """
        query = {
            "table": table,
            "after": str(after),
            "wait_ms": str(int(1000 * self._settings.feed_wait)),
        }
        target = f"/v1/rows-feed?{urllib.parse.urlencode(query)}"
        timeout = self._settings.request_limit
        response = await self._get(self._feed_client, target, timeout)
        page = self._decode_rows(response, table)
        self._record_version(page.ver, after)
        rows = [_decode_row(row) for row in page.rows]
        return self._make_row_set(rows, page, RowSource.FEED)

    async def write(
        self,
        table: str,
        puts: dict[str, bytes],
        removals: Mapping[str, int | None] | None = None,
        expected: Mapping[str, int] | None = None,
    ) -> None:
        """Writes rows and removes others, in one transaction.

        Args:
          table: Name of the table.
          puts: Values to write, by key.
          removals: Versions that the rows to remove must have, by key; None to
            remove whatever is there.
          expected: Versions that rows to write must have, by key; 0 if there
            must be none.

        Raises:
          StoreConflictError: A row has another version than it must have.
          StoreUnavailableError: The store did not confirm the write.
        """
        removals = removals or {}
        versions = {**removals, **(expected or {})}
        body = {
            "expected_rev": [
                {"table": table, "part": "", "key": key, "ver": version}
                for key, version in versions.items()
                if version is not None
            ],
            "puts": [
                {
                    "table": table,
                    "part": "",
                    "key": key,
                    "value": base64.b64encode(value).decode("ascii"),
                }
                for key, value in puts.items()
            ],
            "remove": [
                {"table": table, "part": "", "key": key} for key in removals
            ],
        }
        response = await self._call(
            self._client,
            "POST",
            "/v1/rows-tx",
            timeout=WRITE_TIMEOUT_SECONDS,
            headers=_JSON_HEADERS,
            body=msgspec.json.encode(body),
        )
        if response.status == http.HTTPStatus.PRECONDITION_FAILED:
            raise StoreConflictError(f"table {table!r}: a row has changed")
        _raise_for_status(response)
        self._record_version(self._decode_rows(response, table).ver, 0)

    def _record_version(self, version: int, min_version: int) -> None:
        """Records the version of a response.

        Args:
          version: Newest version that the response reflects.
          min_version: Newest version known when the request was sent.

        Raises:
          OldRowsError: The response is older than `min_version`.
        """
        if version < min_version:
            raise OldRowsError(f"version {version} is older than {min_version}")
        self._newest_version = max(self._newest_version, version)

    def _make_row_set(
        self, rows: list[StoredRow], page: _RowPage, source: RowSource
    ) -> RowSet:
        store_time = page.now_ms / 1000.0
        now = asyncio.get_running_loop().time()
        self._clock_offset = store_time - now
        return RowSet(
            rows=tuple(rows),
            version=page.ver,
            store_time=store_time,
            source=source,
        )

    def close(self) -> None:
        """Closes the idle connections."""
        self._client.close()
        self._feed_client.close()

    def _decode_rows(self, response: HttpResponse, table: str) -> _RowPage:
        """Returns the valid rows of a table that have no partition.

        Raises:
          StoreUnavailableError: The response is invalid, or its rows are those
            of another table.
        """
        try:
            wire = msgspec.json.decode(response.body, type=_WireRows)
        except (msgspec.DecodeError, RecursionError) as error:
            raise StoreUnavailableError(f"invalid rows: {error}") from error
        rows = []
        for raw in wire.rows:
            try:
                row = msgspec.json.decode(raw, type=_WireRow)
            except (msgspec.DecodeError, RecursionError) as error:
                self._rejections.record(bytes(raw), str(error), table=table)
                continue
            if row.table and row.table != table:
                raise StoreUnavailableError("the rows are of another table")
            # A feed includes the rows of all partitions.
            if not row.part:
                rows.append(row)
        return _RowPage(rows, wire.ver, wire.now_ms, wire.has_more)

    async def _get(
        self, client: HttpClient, target: str, timeout: float
    ) -> HttpResponse:
        response = await self._call(client, "GET", target, timeout=timeout)
        if response.status == http.HTTPStatus.GONE:
            raise FeedGapError("the store dropped the history")
        _raise_for_status(response)
        return response

    async def _call(
        self,
        client: HttpClient,
        method: str,
        target: str,
        *,
        timeout: float,
        headers: Mapping[str, str] = NO_HEADERS,
        body: bytes = b"",
    ) -> HttpResponse:
        try:
            return await client.request(
                method, target, timeout=timeout, headers=headers, body=body
            )
        except HttpUnansweredError as error:
            # The same fault may have made the idle connections unresponsive.
            self.close()
            raise StoreUnavailableError(str(error)) from error
        except HttpError as error:
            raise StoreUnavailableError(str(error)) from error


def _raise_for_status(response: HttpResponse) -> None:
    if not response.is_success:
        raise StoreUnavailableError(
            f"the store responded with status {response.status}"
        )


def _next_start(page: _RowPage, start: str) -> str:
    """Returns the first key of the page after a page.

    The range includes its first key, so this is the smallest key after the
    last one.

    Raises:
      StoreUnavailableError: The page does not lead beyond its own start.
    """
    next_start = page.rows[-1].key + "\0" if page.rows else ""
    if next_start <= start:
        raise StoreUnavailableError("the store sent a page again")
    return next_start


def _decode_row(row: _WireRow) -> StoredRow:
    value: bytes | None = None
    if not row.removed and isinstance(row.value, str):
        try:
            value = base64.b64decode(row.value, validate=True)
        except (binascii.Error, ValueError):
            # The reader of the row counts and logs invalid values.
            value = None
    version = 0
    if isinstance(row.ver, int) and 0 <= row.ver <= SEQUENCE_MAX:
        version = row.ver
    return StoredRow(
        key=row.key, value=value, version=version, is_removed=row.removed
    )
