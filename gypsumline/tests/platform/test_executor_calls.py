"""Tests of heartbeats and replies of an executor that cannot be read."""

import asyncio
import contextlib
import json
import socket

import msgspec
import pytest

from gypsumline.core.leases.call_times import CallLimits
from gypsumline.core.leases.effects import (
    HoldReply,
    HoldRequest,
    OrderAnswer,
    OrderStart,
    OrderStop,
)
from gypsumline.platform.executor_calls import ExecutorClient
from gypsumline.platform.heartbeats import HeartbeatReceiver
from gypsumline.runtime.http_messages import HttpRequest, HttpResponse
from gypsumline.runtime.light_http_server import (
    HttpLimits,
    running_light_server,
)

ORDER = HoldRequest(
    number=1,
    sent_at=0.0,
    executor="x-1",
    token=1,
    acknowledged_end=0,
    lease_until=None,
    wait=0.0,
)
START = OrderStart(
    executor="x-1", task="t", attempt=1, spec="s", token=1, lease_until=1
)
STOP = OrderStop(executor="x-1", task="t", attempt=1, token=1)
HEARTBEAT = {
    "service": "ordering",
    "address": "127.0.0.1:8080",
    "zone": "north",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq_no": 1,
    "capacity": {"cpu": 1, "mem_mb": 1},
}
LIMITS = CallLimits(shortest=0.02, longest=0.2)


def start_order(number):
    return OrderStart(
        executor="x-1",
        task=f"{number}",
        attempt=1,
        spec="s",
        token=1,
        lease_until=1,
    )


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


def canned_client(body, status=200):
    """Returns an executor's client that gets the same answer to each order."""
    client = ExecutorClient("127.0.0.1:1", LIMITS)
    canned = CannedClient(body, status)
    client._clients = dict.fromkeys(client._clients, canned)
    return client


@contextlib.asynccontextmanager
async def serving(handler):
    """Yields a client of an executor that handles exchanges as given."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    async with running_light_server(address, handler, HttpLimits()):
        client = ExecutorClient(address, LIMITS)
        yield client
        client.close()


def respond(exchange, **fields):
    body = msgspec.json.encode({"clock_ms": 1, **fields})
    exchange.respond(HttpResponse(status=200, body=body))


async def test_hold_does_not_wait_behind_starts_that_hang():
    """Guards against a lease that lapses because starts get no answer."""

    def handler(exchange):
        if exchange.request.target == "/v1/hold":
            respond(exchange)

    async with serving(handler) as client:
        hanging = [
            asyncio.create_task(client.start(start_order(n))) for n in range(40)
        ]
        await asyncio.sleep(0.05)
        async with asyncio.timeout(LIMITS.longest / 2.0):
            assert isinstance(await client.hold(ORDER), HoldReply)
        answers = set(await asyncio.gather(*hanging))
        # Some starts found no connection, and nothing of them was sent.
        assert answers == {OrderAnswer.UNANSWERED, OrderAnswer.UNSENT}


async def test_time_limit_follows_the_answers_of_the_executor():
    """Guards against a limit that stays below the pace of a slow executor."""
    delay = 0.0
    loop = asyncio.get_running_loop()

    async with serving(lambda e: loop.call_later(delay, respond, e)) as client:
        for number in range(5):
            assert await client.start(start_order(number)) is OrderAnswer.DONE
        assert client._times["run-start"].limit < 0.1
        delay = 0.12
        answers = []
        for number in range(8):
            answers.append(await client.start(start_order(number)))
            await asyncio.sleep(0.13)
        assert answers[0] is OrderAnswer.UNANSWERED
        assert answers[-1] is OrderAnswer.DONE


@pytest.mark.parametrize(
    "field", ["clock_ms", "born", "remaining_ms", "seq_no"]
)
def test_heartbeat_with_an_impossible_number_is_rejected(field):
    """Guards against a number that no later order to the executor can carry."""
    seen = []
    receiver = HeartbeatReceiver(RecordingNode(seen), "")
    statuses = []
    for fields in (HEARTBEAT, {**HEARTBEAT, field: 1e300}):
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
        b'{"clock_ms":1,"born":9007199254740992}',
        b'{"clock_ms":1,"running":[["t",true]]}',
        b'{"clock_ms":1,"running":[["t",-1]]}',
        b'{"clock_ms":1,"running":[["t",' + b"9" * 400 + b"]]}",
        b'{"clock_ms":1,"running":[[["t"],1]]}',
        b'{"clock_ms":1,"running":[["' + b"t" * 1000 + b'",1]]}',
        b'{"clock_ms":1,"ended":[[' + b"9" * 400 + b',"t",1,"done"]]}',
        b'{"clock_ms":1,"ended":[[1,"t",1,{"done":1}]]}',
    ],
)
async def test_invalid_hold_reply_counts_as_no_answer(body):
    """Guards against one malformed reply that ends the agent."""
    client = canned_client(body)
    assert await client.hold(ORDER) is OrderAnswer.UNANSWERED


async def test_hold_replies_with_the_same_fault_are_logged_once(caplog):
    """Guards against an error line for each of twenty replies a second."""
    client = canned_client(b'{"clock_ms":1,"running":[["t"]]}')
    for _ in range(3):
        await client.hold(ORDER)
    assert len(caplog.records) == 1


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
    client = canned_client(b"", status)
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
    beat = {k: v for k, v in HEARTBEAT.items() if k != "capacity"}
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


def send_heartbeat(receiver, name="x-1", **changes):
    return send_fields(receiver, {**HEARTBEAT, **changes}, name)


def send_fields(receiver, fields, name="x-1"):
    statuses = []
    request = HttpRequest(
        method="PUT",
        target=f"/v1/instances/{name}",
        headers={},
        body=json.dumps(fields).encode(),
    )
    receiver(RecordingExchange(request, statuses))
    return statuses[0]


@pytest.mark.parametrize(
    ("name", "status"),
    [
        ("x-1", 200),
        ("x%2F1", 200),
        ("%E4%B8%AD", 400),
        ("%FF", 400),
        ("x%0D%0AX-Other:%201", 400),
        ("x%00", 400),
        ("x" * 201, 400),
        ("[", 200),
    ],
)
def test_executor_name_that_no_header_can_carry_is_rejected(name, status):
    """Guards against a heartbeat that ends the agent at its next order."""
    seen = []
    receiver = HeartbeatReceiver(RecordingNode(seen), "")
    assert send_heartbeat(receiver, name) == status
    assert len(seen) == (status == 200)


@pytest.mark.parametrize(
    "changes",
    [
        {"seq_no": 10**400},
        {"seq_no": 2**64},
        {"seq_no": -1},
        {"born": 2**53},
        {"labels": ["a"] * 1000},
        {"labels": ["a" * 1000]},
        {"service": "s" * 1000},
        {"born": 1700000000000.5},
    ],
)
def test_heartbeat_out_of_bounds_is_rejected(changes):
    """Guards against numbers that make all next heartbeats look older."""
    seen = []
    receiver = HeartbeatReceiver(RecordingNode(seen), "")
    assert send_heartbeat(receiver, **changes) == 400
    assert send_heartbeat(receiver) == 200
    assert len(seen) == 1


_TEXT_FIELDS = ("service", "address", "zone", "version", "state")
_NUMBER_FIELDS = ("slots", "cold_left_ms", "seq_no")
_ODD_FIELDS = [
    *((name, odd) for name in _TEXT_FIELDS for odd in (None, 7, ["a"])),
    *((name, odd) for name in _NUMBER_FIELDS for odd in (None, "8", -1)),
    ("slots", 7.5),
    ("seq_no", 7.5),
    ("address", "10.0.0.1"),
    ("address", "10.0.0.1:99999"),
]


@pytest.mark.parametrize(("field", "odd"), _ODD_FIELDS)
def test_heartbeat_with_an_odd_field_is_rejected(field, odd):
    """Guards against a heartbeat of another writer that replaces an executor.

    Fields that the agent does not use were not checked.
    """
    seen = []
    receiver = HeartbeatReceiver(RecordingNode(seen), "")
    assert send_heartbeat(receiver, **{field: odd}) == 400
    missing = {k: v for k, v in HEARTBEAT.items() if k != field}
    assert send_fields(receiver, missing) == 400
    assert seen == []


@pytest.mark.parametrize("changes", [{"state": "other"}, {"capacity": None}])
def test_heartbeats_with_the_same_fault_are_logged_once(caplog, changes):
    """Guards against a log line for each heartbeat of another writer."""
    receiver = HeartbeatReceiver(RecordingNode([]), "")
    for number in range(3):
        assert send_heartbeat(receiver, seq_no=number, **changes) == 400
    assert len(caplog.records) == 1


def test_target_that_cannot_be_parsed_gets_a_response():
    """Guards against a request that is never answered."""
    statuses = []
    request = HttpRequest(method="PUT", target="//[", headers={})
    receiver = HeartbeatReceiver(RecordingNode([]), "")
    receiver(RecordingExchange(request, statuses))
    assert statuses == [404]
