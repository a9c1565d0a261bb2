"""Client of a table service over HTTP."""

from __future__ import annotations

import http
from typing import Any, TypeVar

import aiohttp
import msgspec

from gypsumline.core.errors import TableConflictError, TableUnavailableError
from gypsumline.runtime import metrics
from gypsumline.table.table import Row, RowWrite, table_backend

OPERATION_TIMEOUT_SECONDS = 1.0


class _RowBody(msgspec.Struct):
    version: int
    value: Any
    write_token: str


class _ListedRow(_RowBody, kw_only=True):
    key: str


class _RowList(msgspec.Struct):
    rows: list[_ListedRow]


class _Conflict(msgspec.Struct):
    key: str
    version: int


_Body = TypeVar("_Body")


@table_backend("http")
@table_backend("https")
class HttpTable:
    """A table behind an HTTP service with JSON bodies.

    Args:
      url: Base URL of the service.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def read(self, key: str) -> Row | None:
        """Returns a row, or None if it does not exist."""
        status, body = await self._call("GET", f"/table/{key}")
        if status == http.HTTPStatus.NOT_FOUND:
            return None
        _check_status(status, "read")
        return _decode_row(key, body)

    async def list_rows(self, prefix: str, limit: int) -> tuple[Row, ...]:
        """Returns the rows whose keys start with a prefix, newest first."""
        path = f"/table?prefix={prefix}&limit={limit}"
        status, body = await self._call("GET", path)
        _check_status(status, "list")
        rows = _decode(_RowList, body, "list").rows
        return tuple(
            Row(
                key=row.key,
                version=row.version,
                value=row.value,
                write_token=row.write_token,
            )
            for row in rows
        )

    async def write(self, writes: tuple[RowWrite, ...]) -> None:
        """Writes all rows in one transaction.

        The request is sent only once. A retry could conflict with the effect
        of the first request, although that succeeded.
        """
        items = [
            {
                "key": write.key,
                "expected_version": write.expected_version,
                "value": write.value,
                "write_token": write.write_token,
            }
            for write in writes
        ]
        status, body = await self._call(
            "POST", "/transactions", {"writes": items}
        )
        if status == http.HTTPStatus.CONFLICT:
            conflict = _decode(_Conflict, body, "write")
            expected = {w.key: w.expected_version for w in writes}
            raise TableConflictError(
                conflict.key, expected.get(conflict.key, -1), conflict.version
            )
        _check_status(status, "write")

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self, method: str, path: str, body: object = None
    ) -> tuple[int, bytes]:
        kind = method.lower()
        try:
            session = self._get_session()
            async with session.request(
                method, self._url + path, json=body, allow_redirects=False
            ) as response:
                content = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            metrics.TABLE_OPERATIONS.labels(kind, "no_answer").inc()
            raise TableUnavailableError(
                f"{method} {path.partition('?')[0]}: {type(error).__name__}"
            ) from error
        metrics.TABLE_OPERATIONS.labels(kind, str(status)).inc()
        return status, content

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=OPERATION_TIMEOUT_SECONDS)
            self._session = aiohttp.ClientSession(
                timeout=timeout, cookie_jar=aiohttp.DummyCookieJar()
            )
        return self._session


def _check_status(status: int, operation: str) -> None:
    if status not in (http.HTTPStatus.OK, http.HTTPStatus.CREATED):
        raise TableUnavailableError(
            f"{operation}: table service returned status {status}"
        )


def _decode(model: type[_Body], body: bytes, operation: str) -> _Body:
    try:
        return msgspec.json.decode(body, type=model)
    except (msgspec.DecodeError, RecursionError) as error:
        raise TableUnavailableError(
            f"{operation}: table service returned an invalid body: {error}"
        ) from error


def _decode_row(key: str, body: bytes) -> Row:
    row = _decode(_RowBody, body, "read")
    return Row(
        key=key,
        version=row.version,
        value=row.value,
        write_token=row.write_token,
    )
