"""Tests of the store's client with responses that are partly invalid."""

import base64
import json
import math

import pytest

from gypsumline.platform.store import Store, StoreUnavailableError
from gypsumline.runtime.http_messages import HttpResponse
from gypsumline.table.follow_settings import FollowSettings

TABLE = "op"


def make_row(key="k", **changes):
    row = {"table": TABLE, "part": "", "key": key, "ver": 1}
    return {**row, "value": base64.b64encode(b"v").decode(), **changes}


def make_body(*rows, **changes):
    return json.dumps({"rows": rows, "ver": 5, "now_ms": 1, **changes}).encode()


class CannedClient:
    """Answers each request with the same body."""

    def __init__(self, body):
        self._body = body

    async def request(self, *_, **__):
        return HttpResponse(status=200, body=self._body)


def make_store(body):
    store = Store("127.0.0.1:1", FollowSettings())
    store._client = store._feed_client = CannedClient(body)
    return store


@pytest.mark.parametrize(
    "row",
    [
        "row",
        None,
        {},
        make_row(key=None),
        make_row(key="k" * 1000),
        make_row(removed="maybe"),
        make_row(part="p"),
    ],
)
async def test_invalid_row_does_not_hide_the_others(row):
    """Guards against one row that stops the following of its table."""
    store = make_store(make_body(make_row("a"), row, make_row("b")))
    for rows in (await store.read(TABLE), await store.follow(TABLE, 1)):
        assert [found.key for found in rows.rows] == ["a", "b"]


@pytest.mark.parametrize(
    "changes",
    [
        {"value": None},
        {"value": 5},
        {"value": "%"},
        {"value": "\u4e2d"},
        {"ver": 10**400},
        {"ver": "new"},
        {"ver": -1},
    ],
)
async def test_row_with_an_invalid_value_is_still_there(changes):
    """Guards against a zone that is in service again for its row's value."""
    store = make_store(make_body(make_row(**changes)))
    (row,) = (await store.read(TABLE)).rows
    assert row.key == "k"
    assert (row.value is None) == ("value" in changes)
    assert row.version == (1 if "value" in changes else 0)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        make_body()[:-5],
        make_body(ver=10**400),
        make_body(ver=2**64),
        make_body(ver=-1),
        make_body(ver="5"),
        make_body(now_ms=math.inf),
        make_body(now_ms=10**400),
        make_body(rows=None),
        make_body(make_row(table="other")),
        b'{"rows":' + b"[" * 100_000,
        b'{"rows":[{"key":"\xff"',
    ],
)
async def test_invalid_response_raises_a_typed_error(body):
    """Guards against a version after which all other responses look older."""
    store = make_store(body)
    with pytest.raises(StoreUnavailableError):
        await store.read(TABLE)
    with pytest.raises(StoreUnavailableError):
        await store.follow(TABLE, 1)
    store._client = CannedClient(make_body(make_row()))
    assert (await store.read(TABLE)).version == 5


@pytest.mark.parametrize("rows", [(), (make_row(),)])
async def test_page_that_comes_again_ends_the_read(rows):
    """Guards against a read that never ends."""
    store = make_store(make_body(*rows, has_more=True))
    with pytest.raises(StoreUnavailableError):
        await store.read(TABLE)
