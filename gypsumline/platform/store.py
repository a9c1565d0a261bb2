"""Client of the platform's store: tables of versioned rows, and their feed."""

from __future__ import annotations

import base64
import binascii
import dataclasses
import enum
import http
import math
import urllib.parse
from collections.abc import Mapping

import msgspec

from gypsumline.core.errors import GypsumlineError
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
_JSON_HEADERS = {"Content-Type": "application/json"}


class StoreError(GypsumlineError):
    """A call to the store failed."""


class StoreUnavailableError(StoreError):
    """The store did not serve a call; a write may have taken effect."""


class OldRowsError(StoreUnavailableError):
    """An answer is older than what the store had told before."""


class StoreConflictError(StoreError):
    """A row had another version than the write expected; nothing was done."""


class FeedGapError(StoreError):
    """The store no longer has the history that a feed asked for."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredRow:
    """A row, or the removal of one.

    Attributes:
      key: Its key.
      value: Its value; None if it was removed or cannot be decoded.
      version: Version of the transaction that wrote it; 0 if not given.
      is_removed: Whether it was removed.
    """

    key: str
    value: bytes | None
    version: int
    is_removed: bool


class RowSource(enum.StrEnum):
    """How rows were asked for."""

    READ = "read"
    FEED = "feed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowSet:
    """Rows as of one moment.

    Attributes:
      rows: The rows, by key.
      version: Newest version that they take account of.
      store_time: Seconds on the store's steady clock.
      source: How they were asked for.
      waited: Seconds from the request to the answer.
      silence: Seconds since the reader's answer before this one, so the rows
        are at most this old; infinite for the first answer.
    """

    rows: tuple[StoredRow, ...]
    version: int
    store_time: float
    source: RowSource = RowSource.READ
    waited: float = 0.0
    silence: float = math.inf


class _WireRow(msgspec.Struct):
    key: str = ""
    value: str = ""
    ver: int = 0
    removed: bool = False


class _WireRows(msgspec.Struct):
    rows: list[_WireRow] = []
    ver: int = 0
    now_ms: float = 0.0
    has_more: bool = False


class Store:
    """Reads, writes and follows rows that have no partition."""

    def __init__(self, address: str, settings: FollowSettings) -> None:
        self._calls = HttpClient(address, connections=2)
        self._feeds = HttpClient(address, connections=2)
        self._settings = settings
        # One counter versions all tables, so each answer tells what is old.
        self._newest_version = 0

    async def read(self, table: str) -> RowSet:
        """Returns all rows of a table.

        A long table is read in pages. The version is that of the first page, so
        that a feed from there brings what changed while the others were read.

        Raises:
          OldRowsError: The rows are older than an earlier answer.
          StoreUnavailableError: The store did not answer with rows.
        """
        known = self._newest_version
        pages: list[_WireRows] = []
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": str(_ROWS_PER_READ)}
            if start:
                query["from"] = start
            target = f"/v1/rows-get?{urllib.parse.urlencode(query)}"
            limit = self._settings.request_limit
            answer = await self._get(self._calls, target, limit)
            page = _decode_rows(answer)
            pages.append(page)
            if not page.has_more or not page.rows:
                break
            # The range includes its first key, so it begins just after it.
            start = page.rows[-1].key + "\0"
        self._note_version(pages[0].ver, known)
        rows = [_row(row) for page in pages for row in page.rows]
        return _row_set(rows, pages[0], RowSource.READ)

    async def follow(self, table: str, after: int) -> RowSet:
        """Returns the rows that changed after a version; may return none.

        Raises:
          FeedGapError: The history was dropped; read the table again.
          OldRowsError: The answer is older than `after`.
          StoreUnavailableError: The store did not answer.
        """
        query = {
            "table": table,
            "after": str(after),
            "wait_ms": str(int(1000 * self._settings.feed_wait)),
        }
        target = f"/v1/rows-feed?{urllib.parse.urlencode(query)}"
        limit = self._settings.request_limit
        page = _decode_rows(await self._get(self._feeds, target, limit))
        self._note_version(page.ver, after)
        rows = [_row(row) for row in page.rows]
        return _row_set(rows, page, RowSource.FEED)

    async def write(
        self,
        table: str,
        puts: dict[str, bytes],
        removals: dict[str, int] | None = None,
    ) -> None:
        """Writes rows, and removes rows that still have the given versions.

        Raises:
          StoreConflictError: A row to remove has another version.
          StoreUnavailableError: The store did not confirm the write.
        """
        removals = removals or {}
        body = {
            "expected_rev": [
                {"table": table, "part": "", "key": key, "ver": version}
                for key, version in removals.items()
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
        answer = await self._call(
            self._calls,
            "POST",
            "/v1/rows-tx",
            timeout=WRITE_TIMEOUT_SECONDS,
            headers=_JSON_HEADERS,
            body=msgspec.json.encode(body),
        )
        if answer.status == http.HTTPStatus.PRECONDITION_FAILED:
            raise StoreConflictError(f"table {table!r}: a row has changed")
        _check(answer)
        self._note_version(_decode_rows(answer).ver, 0)

    def _note_version(self, version: int, known: int) -> None:
        """Takes the version of an answer.

        Args:
          version: Newest version that the answer takes account of.
          known: Newest version that was known when it was asked for.
        """
        if version < known:
            raise OldRowsError(f"version {version} is older than {known}")
        self._newest_version = max(self._newest_version, version)

    def close(self) -> None:
        """Closes the idle connections."""
        self._calls.close()
        self._feeds.close()

    async def _get(
        self, client: HttpClient, target: str, timeout: float
    ) -> HttpResponse:
        answer = await self._call(client, "GET", target, timeout=timeout)
        if answer.status == http.HTTPStatus.GONE:
            raise FeedGapError("the store dropped the history")
        _check(answer)
        return answer

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
            # What silenced this connection may have silenced the idle ones.
            self.close()
            raise StoreUnavailableError(str(error)) from error
        except HttpError as error:
            raise StoreUnavailableError(str(error)) from error


def _check(answer: HttpResponse) -> None:
    if not answer.is_success:
        raise StoreUnavailableError(f"the store answered {answer.status}")


def _decode_rows(answer: HttpResponse) -> _WireRows:
    try:
        return msgspec.json.decode(answer.body, type=_WireRows)
    except (msgspec.DecodeError, RecursionError) as error:
        raise StoreUnavailableError(f"unreadable rows: {error}") from error


def _row_set(
    rows: list[StoredRow], page: _WireRows, source: RowSource
) -> RowSet:
    return RowSet(
        rows=tuple(rows),
        version=page.ver,
        store_time=page.now_ms / 1000.0,
        source=source,
    )


def _row(row: _WireRow) -> StoredRow:
    value: bytes | None = None
    if not row.removed:
        try:
            value = base64.b64decode(row.value, validate=True)
        except (binascii.Error, ValueError):
            # The reader of the key counts and logs what it cannot use.
            value = None
    return StoredRow(
        key=row.key, value=value, version=row.ver, is_removed=row.removed
    )
