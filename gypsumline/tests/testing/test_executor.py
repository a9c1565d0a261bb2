"""Tests of the executor stand-in."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest
import pytest_asyncio

from gypsumline.testing.executor import (
    Executor,
    ExecutorSettings,
    run_executor,
)

_Running = tuple[Executor, aiohttp.ClientSession]


@pytest_asyncio.fixture
async def running() -> AsyncIterator[_Running]:
    settings = ExecutorSettings(slots=1, connection_limit=3, speed=2.0)
    async with run_executor(settings) as (executor, url):
        async with aiohttp.ClientSession(url) as session:
            yield executor, session


def _body(index: int, **payload: object) -> dict[str, object]:
    return {"key": "k", "index": index, "attempt": 1, "payload": payload}


async def test_counts_a_second_start(running: _Running):
    """Guards against a duplicate start that is not reported."""
    _executor, session = running
    for _ in range(2):
        async with session.post("/run", json=_body(0, value=7)) as response:
            assert await response.json() == {"value": 7}
    async with session.get("/starts?detail=1") as response:
        report = await response.json()
    assert (report["starts"], report["second_starts"]) == (2, 1)
    assert [s["attempt"] for s in report["by_task"]["k/0"]] == [1, 1]


async def test_truncated_body_starts_nothing(running: _Running):
    """Guards against starting a task from an incomplete request.

    The connection closes before the body has its Content-Length.
    """
    executor, session = running
    _reader, writer = await asyncio.open_connection(
        session._base_url.host, session._base_url.port
    )
    body = b'{"key": "k", "index": 0}'
    writer.write(
        b"POST /run HTTP/1.1\r\nHost: x\r\nContent-Length: 30\r\n\r\n" + body
    )
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.close()
    await asyncio.sleep(0.05)
    assert executor.log.truncated == 1
    assert executor.log.report(False)["starts"] == 0


async def test_counts_requests_whose_client_disconnects(running: _Running):
    """Guards against counting a disconnected request as finished."""
    executor, session = running
    timeout = aiohttp.ClientTimeout(total=0.05)
    with pytest.raises(TimeoutError):
        await session.post("/run", json=_body(0, run_time=0.4), timeout=timeout)
    await executor.drain(2.0)
    assert executor.log.cut == 1


async def test_slots_limit_running_tasks_and_speed_divides_run_times(
    running: _Running,
):
    """Guards against an executor with more slots than it announces."""
    executor, session = running
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    requests = [
        session.post("/run", json=_body(n, run_time=0.2)) for n in range(2)
    ]
    for response in await asyncio.gather(*requests):
        assert response.status == 200
    assert 0.2 <= loop.time() - started_at < 0.4
    assert executor.log.waited == 1


async def test_closes_connections_over_the_limit(running: _Running):
    """Guards against a stand-in without the executors' connection limit."""
    executor, session = running
    requests = [
        session.post("/run", json=_body(n, run_time=0.1)) for n in range(5)
    ]
    responses = await asyncio.gather(*requests, return_exceptions=True)
    assert sum(isinstance(r, aiohttp.ClientError) for r in responses) == 2
    assert executor.connections.refused >= 2


async def test_failure_modes_respond_with_an_error(running: _Running):
    """Guards against a failed task that is reported as a success."""
    _, session = running
    async with session.post("/run", json=_body(0, fail=True)) as response:
        assert response.status == 500
    await session.post("/faults", json={"fails_everything": True})
    async with session.post("/run", json=_body(1, value=1)) as response:
        assert response.status == 500
