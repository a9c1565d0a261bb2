"""Sources of odd inputs, each a context in which an input has been sent."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import math
import signal

import msgpack

from gypsumline.runtime.http_client import HttpClient
from gypsumline.runtime.http_messages import HttpError, HttpResponse
from properties.odd_values import choose_path, make_odd, replace_value
from soak.configuration import HOST, QUEUE_PREFIX, _make_route
from soak.world import (
    CALLER_PORT,
    CONTROL_PORT,
    ENTRIES_TABLE,
    READY_PORT,
    STREAM_PORT,
)

SOURCES = {}
METRICS_PORT = 9464
# Inputs that are sent between two checks.
INPUTS_PER_CHECK = 8
# Pause after which a reader has met the row that is then replaced.
ROW_SECONDS = 0.005
RESPONSE_SECONDS = 0.3
SOCKET_SECONDS = 0.3
_ENTRY_ROW = {"address": "10.0.0.1:7720", "incarnation": 1, "renewed_at": 1}
_HEARTBEAT = {
    "service": "ordering",
    "address": "10.0.0.1:8080",
    "zone": "north",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq_no": 1,
    "capacity": {"cpu": 1000, "mem_mb": 100, "gpu": 0},
    "labels": ["a"],
    "clock_ms": 1,
    # Older than the executor, so that a valid heartbeat is ignored.
    "born": 1,
}
_JOB = {
    "spec": "s",
    "steps": [
        {"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 50},
        {"count": 1, "after": [0], "anti_affinity": 1, "gpu": 0},
    ],
    "best_effort": True,
}
_LOAD = {
    "executor": "odd",
    # A valid crash is believed, and would confine the queues of its service.
    "service": "odd",
    "capacity": {"processor": 8000, "memory": 4096},
    "free": {"processor": 0, "memory": 0},
    "labels": ["a"],
    "taking": False,
    "orders_seen": 0,
    "leaving_in": -1.0,
}
_FROM_AGENT = {
    "contact_ping": {"stamp": 1.0, "load": _LOAD},
    "run_reports": {
        "reports": [
            {"task": "t", "attempt": 1, "end": "done", "run_time": 0.1}
        ],
        "load": _LOAD,
        "crashes": [
            {
                "executor": "odd",
                "started_at": 1,
                "seconds_ago": 1.0,
                "runs": [
                    {
                        "task": "t",
                        "attempt": 1,
                        "queue": "other",
                        "age": 0.1,
                        "is_started": True,
                    }
                ],
            }
        ],
    },
}
_WISH = {"priority": 0, "slack": 0.1, "processor": 500}
_FROM_ENTRY = {
    "contact_pong": {"stamp": 1.0, "wish": _WISH},
    "zones_out": {"version": 0, "zones": []},
    "start_runs": {
        "key": "odd",
        "stamp": 1.0,
        "spec": "s",
        "orders": [
            {
                "task": "odd.0.0.0",
                "attempt": 1,
                "resources": {"processor": 0, "memory": 0},
            }
        ],
        "wish": _WISH,
        "queue": "odd",
    },
    "stop_runs": {"tasks": ["odd.0.0.0"], "attempts": [1]},
    "claim_runs": {"tasks": ["odd.0.0.0"], "attempts": [1]},
}
_ODD_FIELDS = (
    None,
    True,
    -1,
    0.5,
    2**63 - 1,
    2**63,
    2**64 - 1,
    -(2**63),
    math.nan,
    math.inf,
    -math.inf,
    1e308,
    "",
    "x" * 10_000,
    b"\xff",
    [],
    {},
    [[[]]],
    {"a": {"b": []}},
)


def source(function):
    """Registers a source, a generator function.

    It takes the world and the source of its random choices. It sends odd
    inputs, yields them as a list, and takes them back.
    """
    SOURCES[function.__name__] = contextlib.asynccontextmanager(function)
    return function


# Rows of the store.


@source
async def entry_rows(world, rng):
    """Rows of other writers, one of them over the row of the entry."""
    original = world.rows.rows[ENTRIES_TABLE, "entry-0"][0]
    keys = ["entry-0", "", "x" * 200, "\u4e2d"]
    keys += [f"odd-{number}" for number in range(INPUTS_PER_CHECK - len(keys))]
    rows = [(ENTRIES_TABLE, key, make_odd(rng, _ENTRY_ROW)) for key in keys]
    world.rows.write(rows)
    yield rows
    world.rows.write(
        [(ENTRIES_TABLE, "entry-0", original)],
        [(ENTRIES_TABLE, key) for key in keys[1:]],
    )


@source
async def configurations(world, rng):
    """Configurations that the store should not have accepted."""
    _, version, _ = world.configuration_writer._acknowledged[-1]
    values = []
    for number in range(INPUTS_PER_CHECK):
        document = {
            "version": version + 1 + number,
            "routes": [_make_route(QUEUE_PREFIX), _make_route("/odd/")],
            "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000.0},
        }
        values.append(make_odd(rng, document))
        world.rows.write([("op", "config", values[-1])])
        await asyncio.sleep(ROW_SECONDS)
    yield values


@source
async def evacuations(world, rng):
    """Rows of zones without executors, or of no zone at all."""
    keys = ["evacuate/", "evacuate/\u4e2d", "evacuate/" + "z" * 190, "odd"]
    rows = [("op", key, make_odd(rng, {"zone": "z"})) for key in keys]
    world.rows.write(rows)
    yield rows
    world.rows.write([], [("op", key) for key in keys])


@source
async def store_responses(world, rng):
    """Responses of the store to one daemon, for a while."""
    name = rng.choice(list(world.store_endpoints))
    endpoint = world.store_endpoints[name]
    bodies = []

    def alter(path, body):
        document = json.loads(body)
        if rng.random() < 0.2:
            # The answer to a request for another table.
            value = base64.b64encode(b"{}").decode()
            row = {"table": "other", "key": "k", "ver": 1, "value": value}
            bodies.append(json.dumps({**document, "rows": [row]}).encode())
        else:
            row = {"table": "op", "part": "", "key": "odd", "ver": 1}
            document.setdefault("rows", []).append(
                {**row, "value": "", "removed": False}
            )
            bodies.append(make_odd(rng, document))
        return bodies[-1]

    endpoint.alter = alter
    # The pending request for changes is answered at once.
    world.rows.write([("op", "odd", b""), (ENTRIES_TABLE, "odd", b"")])
    await asyncio.sleep(RESPONSE_SECONDS)
    endpoint.alter = None
    world.rows.write([], [("op", "odd"), (ENTRIES_TABLE, "odd")])
    yield [(name, body[:300]) for body in bodies]


# The executor beside the agent.


@source
async def heartbeats(world, rng):
    """Heartbeats of other writers, under odd names or with odd bodies."""
    address = f"{world.host_address('agent-0')}:{CONTROL_PORT}"
    sent = []
    for _ in range(INPUTS_PER_CHECK):
        if rng.random() < 0.3:
            names = ("%E4%B8%AD", "%0d%0aX-A:1", "%00", "%FF", "x" * 300)
            name = rng.choice(names)
            # Newer than the executor, so that it would replace it.
            heartbeat = {**_HEARTBEAT, "born": 2**42}
            body = json.dumps(heartbeat).encode()
        else:
            name, body = "x-1", make_odd(rng, _HEARTBEAT)
        method = rng.choice(("PUT", "PUT", "PUT", "DELETE", "POST"))
        path = f"/v1/instances/{name}"
        status = await _request(address, method, path, body)
        sent.append((method, name, body, status))
    yield sent


@source
async def executor_replies(world, rng):
    """Replies of the executor, for a while."""
    executor = world.executors["agent-0"]
    original = executor._make_answer_callback
    bodies = []

    class OddExchange:
        def __init__(self, exchange):
            self._exchange = exchange

        def respond(self, response):
            document = json.loads(response.body)
            document.setdefault("running", []).append(["odd.0.0.0", 1, "", 1])
            document.setdefault("ended", []).append(
                [1, "odd.0.0.0", 1, "done", ""]
            )
            bodies.append(make_odd(rng, document))
            status = rng.choice((response.status, 200, 409, 421, 500))
            self._exchange.respond(HttpResponse(status=status, body=bodies[-1]))

    executor._make_answer_callback = lambda exchange: original(
        OddExchange(exchange)
    )
    job = world.submit()
    await asyncio.sleep(RESPONSE_SECONDS)
    executor._make_answer_callback = original
    await job
    yield [body[:300] for body in bodies]


# Callers and other clients of HTTP.


@source
async def jobs(world, rng):
    """Jobs of callers."""

    async def send(key, timeout, body):
        headers = {"Host": HOST, "X-Gypsumline-Timeout-Remaining": timeout}
        address = world.caller_address("entry-0")
        return await _request(
            address, "POST", QUEUE_PREFIX + key, body, headers
        )

    sent = []
    for _ in range(INPUTS_PER_CHECK):
        timeout = rng.choice(("100", "nan", "-1", "1e999", "9" * 5000, "x"))
        key = f"{rng.randrange(2**64):016x}"
        sent.append((key, timeout, make_odd(rng, _JOB)))
    await asyncio.gather(*(send(*item) for item in sent))
    yield sent


@source
async def requests(world, rng):
    """Requests that are not valid HTTP, to all servers of the daemons."""
    sent = []
    for _ in range(INPUTS_PER_CHECK):
        name, port = rng.choice(
            (
                ("entry-0", CALLER_PORT),
                ("entry-0", READY_PORT),
                ("entry-0", METRICS_PORT),
                ("agent-0", CONTROL_PORT),
                ("agent-0", METRICS_PORT),
            )
        )
        sent.append((f"{world.host_address(name)}:{port}", _make_request(rng)))
    await asyncio.gather(*(_send_bytes(*item) for item in sent))
    yield sent


def _make_request(rng):
    target = rng.choice(("//[", "/\xff", "*", "http://[::1", "/v1/instances/%"))
    head = f"PUT {target} HTTP/1.1\r\nHost: {HOST}\r\n"
    return rng.choice(
        (
            f"{head}\r\n",
            f"{head}Content-Length: {'9' * 5000}\r\n\r\n",
            f"{head}Content-Length: -1\r\n\r\n",
            f"{head}Content-Length: 9\r\n\r\ncut",
            f"{head}Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
            f"{head}Upgrade: websocket\r\nConnection: upgrade\r\n\r\n",
            f"{head}A: {'a' * 100_000}\r\n\r\n",
            f"GET / HTTP/1.1\r\nHost: {HOST}\r\n\r\n" * 500,
            "\x00\xff" * 100,
        )
    ).encode("latin-1")


# Streams between entries and agents.


@source
async def agent_streams(world, rng):
    """Frames of odd agents to the entry."""
    address = f"{world.host_address('entry-0')}:{STREAM_PORT}"
    streams = [
        _make_frames(rng, "agent", _FROM_AGENT) for _ in range(INPUTS_PER_CHECK)
    ]
    await asyncio.gather(
        *(_send_bytes(address, b"".join(frames)) for frames in streams)
    )
    yield streams


@source
async def entry_streams(world, rng):
    """Frames of an odd entry to the agent, which dials it."""
    frames = _make_frames(rng, "entry", _FROM_ENTRY)

    async def accept(reader, writer):
        with contextlib.suppress(OSError):
            writer.write(b"".join(frames))
            await writer.drain()
            await asyncio.sleep(SOCKET_SECONDS)
        writer.close()

    host = world.host_address("entry-60")
    server = await asyncio.start_server(accept, host, 0)
    port = server.sockets[0].getsockname()[1]
    row = {
        **_ENTRY_ROW,
        "address": f"{host}:{port}",
        "renewed_at": world.rows.now_ms / 1000.0,
    }
    world.rows.write([(ENTRIES_TABLE, "odd", json.dumps(row).encode())])
    await asyncio.sleep(SOCKET_SECONDS)
    yield frames
    world.rows.write([], [(ENTRIES_TABLE, "odd")])
    server.close()


def _make_frames(rng, role, messages):
    member = {
        "member_id": "odd",
        "incarnation": 1,
        "role": role,
        "availability_zone": "north",
        "address": "",
    }
    hello = {"member": member, "lowest_version": 1, "highest_version": 1}
    frames = [_make_frame(rng, "hello", hello, rng.random() < 0.2)]
    for _ in range(INPUTS_PER_CHECK):
        name = rng.choice(list(messages))
        frames.append(_make_frame(rng, name, messages[name], True))
    return frames


def _make_frame(rng, name, fields, is_odd):
    fields = json.loads(json.dumps(fields))
    body = msgpack.packb([1, name, fields])
    if is_odd:
        body = _make_odd_body(rng, name, fields)
    length = len(body)
    if is_odd and rng.random() < 0.05:
        length = rng.choice((0, length - 1, length + 1, 2**32 - 1))
    return length.to_bytes(4, "big") + body


def _make_odd_body(rng, name, fields):
    if rng.random() < 0.15:
        nested = b"\x91" * rng.choice((100, 900, 5000)) + b"\x01"
        return rng.choice(
            (
                rng.randbytes(rng.randrange(100)),
                b"\x93" + nested + msgpack.packb(name) + b"\x80",
                b"\x93\x01" + nested + b"\x80",
                b"\x93\x01" + msgpack.packb(name) + nested,
                msgpack.packb([1, "x" * 60_000, fields]),
            )
        )
    replace_value(fields, choose_path(rng, fields), rng.choice(_ODD_FIELDS))
    return msgpack.packb([1, name, fields])


# The settings file.


@source
async def settings_files(world, rng):
    """A settings file that is read again."""
    program = rng.choice(world.programs)
    original = program._settings.read_bytes()
    lines = original.splitlines()
    number = rng.randrange(len(lines))
    field = lines[number].partition(b"=")[0]
    odd = rng.choice(
        (b"", b"\xff", b"nan", b"1e999", b"9" * 5000, b"x", b"10.0.0.1:99999")
    )
    lines[number] = field + b"=" + odd
    program._settings.write_bytes(b"\n".join(lines))
    program._send_signal(signal.SIGHUP)
    await asyncio.sleep(0.05)
    program._settings.write_bytes(original)
    yield [(program.name, lines[number])]


async def _request(address, method, target, body, headers=()):
    client = HttpClient(address, 1)
    try:
        response = await client.request(
            method,
            target,
            timeout=SOCKET_SECONDS,
            headers=dict(headers),
            body=body,
        )
    except HttpError as error:
        return repr(error)
    finally:
        client.close()
    return response.status


async def _send_bytes(address, data):
    """Sends bytes and reads for a while."""
    host, _, port = address.rpartition(":")
    with contextlib.suppress(OSError, TimeoutError):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(data)
            async with asyncio.timeout(SOCKET_SECONDS):
                while await reader.read(65536):
                    pass
        finally:
            writer.transport.abort()
