"""Tests of the table client against the stand-in platform and raw servers."""

import asyncio
import contextlib
import time

import aiohttp
import pytest

from gypsumline.core.effects import ReadTable, TableReadResult, WriteTable
from gypsumline.core.errors import TableConflictError, TableUnavailableError
from gypsumline.entry.table_task import CONTROL_KEY, TableOperations
from gypsumline.table.http_table import OPERATION_TIMEOUT_SECONDS, HttpTable
from gypsumline.table.table import RowWrite
from gypsumline.testing.platform import PlatformSettings, run_platform
from gypsumline.tests.core.builders import make_record


def make_write(key="k", expected=0, value=1, token="t"):
    return RowWrite(
        key=key, expected_version=expected, value=value, write_token=token
    )


@contextlib.asynccontextmanager
async def platform_table(**faults):
    async with run_platform(PlatformSettings(**faults)) as url:
        table = HttpTable(url)
        try:
            yield table, url
        finally:
            await table.close()


async def request_counts(url):
    async with aiohttp.ClientSession() as session:
        async with session.get(f"{url}/counts") as response:
            return await response.json()


async def test_rows_round_trip_newest_first():
    """Guards against lost versions, values or tokens and a wrong order."""
    async with platform_table() as (table, _):
        await table.write((make_write("a/1"), make_write("a/2", value=[2])))
        await table.write((make_write("a/1", 1, {"x": 3}, "u"),))
        row = await table.read("a/1")
        assert row is not None
        assert (row.version, row.value, row.write_token) == (2, {"x": 3}, "u")
        assert await table.read("none") is None
        listed = await table.list_rows("a/", 10)
        assert [row.key for row in listed] == ["a/1", "a/2"]


async def test_conflict_reports_the_found_version_and_writes_nothing():
    """Guards against partial transactions and conflicts without their cause."""
    async with platform_table() as (table, _):
        await table.write((make_write("a"),))
        with pytest.raises(TableConflictError) as caught:
            await table.write((make_write("b"), make_write("a", 5)))
        assert (caught.value.key, caught.value.found) == ("a", 1)
        assert "expected 5" in str(caught.value)
        assert await table.read("b") is None


@pytest.mark.parametrize(
    "faults",
    [
        {"outage": "refuse"},
        {"outage": "hang", "hang_limit": 1.5},
        {"writes_per_second": 1, "reads_per_second": 0},
        {"write_latency": 1.5},
    ],
)
async def test_no_answer_in_time_is_unavailable(faults):
    """Guards against untyped errors and unbounded waits."""
    async with platform_table(**faults) as (table, _):
        began = time.monotonic()
        with pytest.raises(TableUnavailableError):
            await table.write((make_write("a"), make_write("b")))
        assert time.monotonic() - began < 2 * OPERATION_TIMEOUT_SECONDS


async def test_refused_connection_is_unavailable():
    """Guards against an untyped error for a refused connection."""
    table = HttpTable("http://127.0.0.1:9")
    with pytest.raises(TableUnavailableError):
        await table.read("a")
    await table.close()


async def test_write_without_a_response_is_not_retried():
    """Guards against retries of a write by the HTTP library."""
    async with platform_table(lose_answers=1.0) as (table, url):
        for number in range(3):
            with pytest.raises(TableUnavailableError):
                await table.write((make_write(f"k{number}"),))
        assert (await request_counts(url))["writes"] == 3
        row = await table.read("k2")
        assert row is not None and row.version == 1


class _RawServer:
    """Answers the first request of each connection with fixed bytes."""

    def __init__(self, response):
        self.requests = 0
        self._response = response

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        writer.write(self._response)
        writer.close()


def _encode_response(body, status="200 OK", headers=""):
    headers = f"Content-Type: application/json\r\n{headers}"
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body


@pytest.mark.parametrize(
    "response",
    [
        b"",
        b"no http\r\n\r\n",
        _encode_response(b"<html>"),
        _encode_response(b"[]"),
        _encode_response(b'{"version": "1", "value": 1, "write_token": ""}'),
        _encode_response(b'{"key": 3}', "409 Conflict"),
        _encode_response(b"", "307 Temporary Redirect", "Location: /other\r\n"),
        _encode_response(b"{}", "500 Error"),
    ],
)
async def test_malformed_response_is_unavailable(response):
    """Guards against malformed responses that raise untyped errors."""
    server = _RawServer(response)
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    table = HttpTable(f"http://127.0.0.1:{port}")
    with pytest.raises(TableUnavailableError):
        await table.read("a")
    await table.close()
    server.requests = 0
    table = HttpTable(f"http://127.0.0.1:{port}")
    if b"200" not in response:
        with pytest.raises(TableUnavailableError):
            await table.write((make_write(),))
        assert server.requests == 1
    await table.close()
    listener.close()


async def test_undecodable_record_is_reported_as_a_failed_read():
    """Guards against a failed task that leaves its poll pending forever."""
    async with platform_table() as (table, _):
        await table.write((make_write(CONTROL_KEY, value={"revision": "x"}),))
        results = []
        operations = TableOperations(table, results.append)
        operations.read(ReadTable(read_id=4))
        async with asyncio.timeout(5):
            while not results:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        assert [(r.read_id, r.ok) for r in results] == [(4, False)]


async def test_operations_write_and_read_the_record():
    """Guards against records that the round trip through the table changes."""
    async with platform_table() as (table, _):
        results = []
        operations = TableOperations(table, results.append)
        record = make_record(revision=1)
        operations.write(WriteTable(write_id=1, record=record, write_token="w"))
        operations.write(WriteTable(write_id=2, record=record, write_token="v"))
        async with asyncio.timeout(5):
            while len(results) < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        assert sorted(r.kind for r in results) == ["conflict", "written"]
        operations.read(ReadTable(read_id=4))
        async with asyncio.timeout(5):
            while len(results) < 3:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        assert isinstance(results[2], TableReadResult)
        assert results[2].record == record
