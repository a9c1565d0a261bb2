"""Tests of the platform stand-in."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest
import pytest_asyncio

from gypsumline.testing.platform import PlatformSettings, run_platform

_TOKEN = {"X-Write-Token": "t"}


@pytest_asyncio.fixture
async def client() -> AsyncIterator[aiohttp.ClientSession]:
    settings = PlatformSettings(writes_per_second=50)
    async with run_platform(settings) as url:
        async with aiohttp.ClientSession(url) as session:
            yield session


async def _put(client: aiohttp.ClientSession, key: str, version: int) -> int:
    headers = {"If-Match": str(version), **_TOKEN}
    async with client.put(
        f"/table/{key}", json=[version], headers=headers
    ) as r:
        return r.status


async def _get(client: aiohttp.ClientSession, path: str) -> dict:
    async with client.get(path) as response:
        return await response.json()


async def test_write_requires_the_current_version(client):
    """Guards against a compare-and-set that two writers can win."""
    assert await _put(client, "a", 0) == 200
    assert await _put(client, "a", 0) == 412
    assert await _put(client, "a", 1) == 200
    row = await _get(client, "/table/a")
    assert row == {"version": 2, "value": [1], "write_token": "t"}


async def test_transaction_applies_all_writes_or_none(client):
    """Guards against a transaction that is partly applied."""
    await _put(client, "b", 0)
    writes = [
        {"key": k, "expected_version": 0, "value": 1, "write_token": "t"}
        for k in ("a", "b")
    ]
    async with client.post("/transactions", json={"writes": writes}) as r:
        assert r.status == 409
        assert await r.json() == {"key": "b", "version": 1}
    async with client.get("/table/a") as response:
        assert response.status == 404


async def test_lists_rows_by_newest_write(client):
    """Guards against a list that shows old writes first."""
    for key in ("c/2", "c/1", "d", "c/3"):
        await _put(client, key, 0)
    listed = await _get(client, "/table?prefix=c/&limit=2")
    assert [row["key"] for row in listed["rows"]] == ["c/3", "c/1"]


async def test_write_with_a_lost_response_takes_effect(client):
    """Guards against rejecting writes whose response is to be lost."""
    await client.post("/faults", json={"lose_answers": 1.0})
    with pytest.raises(aiohttp.ServerDisconnectedError):
        await _put(client, "a", 0)
    assert (await _get(client, "/table/a"))["version"] == 1


async def test_hanging_request_ends_without_effect(client):
    """Guards against an outage that applies writes or hangs forever."""
    outage = {"outage": "hang", "hang_limit": 0.05}
    await client.post("/faults", json=outage)
    with pytest.raises(aiohttp.ServerDisconnectedError):
        await _put(client, "a", 0)
    await client.post("/faults", json={"outage": "none"})
    assert await _put(client, "a", 0) == 200


async def test_outage_refuses_until_its_duration_ends(client):
    """Guards against faults that outlast their duration."""
    await client.post("/faults", json={"outage": "refuse", "duration": 0.1})
    assert await _put(client, "a", 0) == 503
    statuses = {await _put(client, "a", 0) for _ in range(2)}
    assert statuses == {503}
    await asyncio.sleep(0.15)
    assert await _put(client, "a", 0) == 200


async def test_writes_over_the_rate_limit_are_rejected(client):
    """Guards against a stand-in that accepts more than the platform."""
    statuses = [await _put(client, f"w/{n}", 0) for n in range(60)]
    assert statuses.count(429) >= 5


async def test_object_write_requires_the_current_tag(client):
    """Guards against overwriting an object without its entity tag."""
    async with client.put("/objects/o", data=b"1") as response:
        tag = response.headers["ETag"]
    wrong = {"If-Match": '"x"'}
    async with client.put("/objects/o", data=b"2", headers=wrong) as response:
        assert response.status == 412
    right = {"If-Match": tag}
    async with client.put("/objects/o", data=b"2", headers=right) as response:
        assert response.status == 204
    async with client.get("/objects/o") as response:
        assert await response.read() == b"2"


async def test_usage_lags_behind_the_leases(client):
    """Guards against usage reports without the lag of the platform."""
    body = {"worker": "w1", "processors": 4, "duration": 5}
    async with client.post("/leases", json=body) as response:
        assert response.status == 201
    assert (await _get(client, "/usage"))["processors"] == {}
