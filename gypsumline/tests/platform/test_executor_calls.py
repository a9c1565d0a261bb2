"""Tests of heartbeats and replies of an executor that cannot be read."""

import json

import msgspec
import pytest

from gypsumline.core.leases.effects import (
    HoldRequest,
    OrderAnswer,
    OrderStart,
    OrderStop,
)
from gypsumline.platform.executor_calls import ExecutorClient
from gypsumline.platform.heartbeats import HeartbeatReceiver
from gypsumline.runtime.http_messages import HttpRequest, HttpResponse

ORDER = HoldRequest(
    executor="x-1", token=1, acknowledged_end=0, lease_until=None, wait=0.0
)
START = OrderStart(
    executor="x-1", task="t", attempt=1, spec="s", token=1, lease_until=1
)
STOP = OrderStop(executor="x-1", task="t", attempt=1, token=1)


class RecordingNode:
    """Records the announcements that it gets."""

    def __init__(self, seen):
        self.on_announcement = seen.append


class RecordingExchange:
    """A request whose response's status is recorded."""

    def __init__(self, request, statuses):
        self.request = request
        self._statuses = statuses

    def respond(self, response):
        self._statuses.append(response.status)


class CannedClient:
    """Answers each request with the same status and body."""

    def __init__(self, body, status=200):
        self._response = HttpResponse(status=status, body=body)

    async def request(self, *_, **__):
        return self._response


@pytest.mark.parametrize(
    "field", ["clock_ms", "born", "remaining_ms", "seq_no"]
)
def test_heartbeat_with_an_impossible_number_is_rejected(field):
    """Guards against a number that no later order to the executor can carry."""
    seen = []
    receiver = HeartbeatReceiver(RecordingNode(seen), "")
    beat = {
        "service": "ordering",
        "zone": "north",
        "state": "ready",
        "seq_no": 1,
        "capacity": {"cpu": 1, "mem_mb": 1},
    }
    statuses = []
    for fields in (beat, {**beat, field: 1e300}):
        request = HttpRequest(
            method="PUT",
            target="/v1/instances/x-1",
            headers={},
            body=msgspec.json.encode(fields),
        )
        receiver(RecordingExchange(request, statuses))
    assert statuses == [200, 400]
    assert len(seen) == 1


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"clock_ms":1,"running":[["t"]]}',
        b'{"clock_ms":1,"running":[["t","1"]]}',
        b'{"clock_ms":1,"ended":[[1,"t",1]]}',
        b'{"clock_ms":1,"ended":[[]]}',
        b'{"clock_ms":1,"running":' + b"[" * 100_000,
        b'{"clock_ms":1,"running":[["\xff",1]]}',
        b'{"clock_ms":1e999}',
        b'{"clock_ms":1,"born":null}',
        b'{"clock_ms":1e300}',
        b'{"clock_ms":-1}',
    ],
)
async def test_invalid_hold_reply_counts_as_no_answer(body):
    """Guards against one malformed reply that ends the agent."""
    client = ExecutorClient("127.0.0.1:1", 1.0)
    client._client = CannedClient(body)
    assert await client.hold(ORDER) is OrderAnswer.UNANSWERED


@pytest.mark.parametrize(
    ("status", "answer"),
    [
        (302, OrderAnswer.UNANSWERED),
        (404, OrderAnswer.UNANSWERED),
        (500, OrderAnswer.UNANSWERED),
        (502, OrderAnswer.UNANSWERED),
        (504, OrderAnswer.UNANSWERED),
        (400, OrderAnswer.REFUSED),
        (409, OrderAnswer.REFUSED),
        (429, OrderAnswer.REFUSED),
        (503, OrderAnswer.REFUSED),
        (421, OrderAnswer.OTHER_EXECUTOR),
    ],
)
async def test_status_that_proves_no_refusal_counts_as_no_answer(
    status, answer
):
    """Guards against a second run of a task whose start got an error."""
    client = ExecutorClient("127.0.0.1:1", 1.0)
    client._client = CannedClient(b"", status)
    assert await client.start(START) is answer
    assert await client.stop(STOP) is answer
    assert await client.hold(ORDER) is answer


@pytest.mark.parametrize(
    "capacity",
    [
        None,
        {},
        {"cpu": -1, "mem_mb": 1},
        {"cpu": 1, "mem_mb": -1},
        {"cpu": 1, "mem_mb": 1, "gpu": -1},
        {"cpu": 10**30, "mem_mb": 1},
        {"cpu": 2**60, "mem_mb": 1},
        {"cpu": "many", "mem_mb": 1},
        {"cpu": 0.5, "mem_mb": 1},
        {"cpu": [1], "mem_mb": 1},
    ],
)
def test_heartbeat_with_an_impossible_capacity_is_rejected(capacity):
    """Guards against a capacity that no account can hold."""
    seen, statuses = [], []
    receiver = HeartbeatReceiver(RecordingNode(seen), "")
    beat = {
        "service": "ordering",
        "zone": "north",
        "state": "ready",
        "seq_no": 1,
    }
    for value in ({"cpu": 0, "mem_mb": 0}, capacity):
        fields = beat if value is None else {**beat, "capacity": value}
        request = HttpRequest(
            method="PUT",
            target="/v1/instances/x-1",
            headers={},
            body=json.dumps(fields).encode(),
        )
        receiver(RecordingExchange(request, statuses))
    assert statuses == [200, 400]
    assert [a.capacity.processor for a in seen] == [0]
