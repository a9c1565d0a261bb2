"""The table service over HTTP."""

from __future__ import annotations

import http
from typing import Any

import aiohttp

from gypsumline.core.errors import TableConflictError, TableUnavailableError
from gypsumline.platform.table import Row, RowWrite, table_backend
from gypsumline.runtime import metrics

OPERATION_TIMEOUT_SECONDS = 1.0


@table_backend("http")
@table_backend("https")
class HttpTable:
    """A table service that speaks HTTP with JSON bodies."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def read(self, key: str) -> Row | None:
        """Returns a row, or None if it does not exist."""
        status, body = await self._call("GET", f"/table/{key}")
        if status == http.HTTPStatus.NOT_FOUND:
            return None
        _require(status, http.HTTPStatus.OK, "read")
        return _row(key, body)

    async def list_rows(self, prefix: str, limit: int) -> tuple[Row, ...]:
        """Returns the rows whose key has a prefix, newest first."""
        path = f"/table?prefix={prefix}&limit={limit}"
        status, body = await self._call("GET", path)
        _require(status, http.HTTPStatus.OK, "list")
        return tuple(_row(item["key"], item) for item in body["rows"])

    async def write(self, writes: tuple[RowWrite, ...]) -> None:
        """Writes all rows or none."""
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
            raise TableConflictError(
                str(body.get("key")),
                int(body.get("expected_version", -1)),
                int(body.get("version", -1)),
            )
        _require(status, http.HTTPStatus.OK, "write")

    async def close(self) -> None:
        """Frees the connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self, method: str, path: str, body: object = None
    ) -> tuple[int, Any]:
        kind = method.lower()
        try:
            session = self._open_session()
            async with session.request(
                method, self._url + path, json=body
            ) as response:
                answer = await response.json()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            metrics.TABLE_OPERATIONS.labels(kind, "no_answer").inc()
            raise TableUnavailableError(
                f"{method} {path.partition('?')[0]}: {type(error).__name__}"
            ) from error
        metrics.TABLE_OPERATIONS.labels(kind, str(status)).inc()
        return status, answer

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=OPERATION_TIMEOUT_SECONDS)
            self._session = aiohttp.ClientSession(timeout=timeout)
        return self._session


def _require(status: int, expected: int, operation: str) -> None:
    if status not in (expected, http.HTTPStatus.CREATED):
        raise TableUnavailableError(f"{operation} answered status {status}")


def _row(key: str, body: dict[str, Any]) -> Row:
    return Row(
        key=key,
        version=body["version"],
        value=body["value"],
        write_token=body["write_token"],
    )
