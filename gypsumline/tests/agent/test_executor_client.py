"""Tests of running tasks at an executor over raw connections."""

import asyncio
import contextlib

import pytest

from gypsumline.agent.executor_client import ExecutorClient
from gypsumline.core.effects import StartTask
from gypsumline.core.task import (
    RESULT_BYTES_MAX,
    Reason,
    TaskSpec,
    TaskStatus,
)
from gypsumline.runtime.clock import boot_time

BODY = b"seven"


def allow():
    return Reason.NONE


def make_start(timeout=2.0):
    return StartTask(
        key="k",
        task=TaskSpec(index=3, kind="card", payload=b'"seven"'),
        attempt=2,
        deadline=boot_time() + timeout,
    )


class Server:
    """Executor that sends fixed bytes, and counts whole bodies."""

    def __init__(self, answer, *, at_headers=False, close_early=False):
        self.bodies = 0
        self.heads = 0
        self._answer = answer
        self._at_headers = at_headers
        self._close_early = close_early

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        self.heads += 1
        size = int(head.lower().split(b"content-length:")[1].split()[0])
        if not self._close_early and not self._at_headers:
            with contextlib.suppress(asyncio.IncompleteReadError):
                await reader.readexactly(size)
                self.bodies += 1
        writer.write(self._answer)
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        writer.close()


async def run(server, gate=allow, timeout=2.0):
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    client = ExecutorClient(f"http://127.0.0.1:{port}")
    try:
        return await client.run(make_start(timeout), gate)
    finally:
        await client.close()
        listener.close()


def http(body, status="200 OK", more=""):
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{more}\r\n"
    return head.encode() + body


async def test_value_is_returned_with_its_attempt():
    """Guards against a result that names another task or attempt."""
    server = Server(http(b'{"value": {"a": [1, null]}}'))
    result = await run(server)
    assert (result.index, result.attempt) == (3, 2)
    assert result.status is TaskStatus.SUCCEEDED
    assert result.value == b'{"a": [1, null]}'


async def test_refused_gate_sends_no_body():
    """Guards against a start after the gate refused it."""
    server = Server(http(b"{}"))
    result = await run(server, gate=lambda: Reason.OUT)
    assert (result.status, result.reason) == (TaskStatus.REFUSED, Reason.OUT)
    assert server.bodies == 0


async def test_refused_connection_is_not_a_start():
    """Guards against an unknown outcome when nothing can have started."""
    client = ExecutorClient("http://127.0.0.1:9")
    asked = []
    result = await client.run(make_start(), lambda: asked.append(1) or allow())
    await client.close()
    assert result.status is TaskStatus.REFUSED
    assert result.reason is Reason.EXECUTOR_LOST
    assert not asked


@pytest.mark.parametrize("answer", [b"", b"HTTP/1.1 200 OK\r\nContent-Le"])
async def test_close_after_the_body_is_unknown(answer):
    """Guards against "not started" for a task that may have run."""
    server = Server(answer)
    result = await run(server)
    assert server.bodies == 1
    assert result.status is TaskStatus.UNKNOWN


async def test_close_before_the_body_was_read_is_unknown():
    """Guards against "not started" once the body was written."""
    result = await run(Server(b"", close_early=True))
    assert result.status is TaskStatus.UNKNOWN


async def test_deadline_after_the_body_is_unknown():
    """Guards against a run that holds its slot beyond the deadline."""

    class Silent(Server):
        async def serve(self, reader, writer):
            await reader.read()

    result = await run(Silent(b""), timeout=0.2)
    assert result.status is TaskStatus.UNKNOWN


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (http(b"{}", "500 Error"), Reason.TASK_FAILED),
        (http(b"{}", "404 Not Found"), Reason.TASK_FAILED),
        (http(b'{"value": NaN}'), Reason.TASK_FAILED),
        (http(b'{"value": 1e999}'), Reason.TASK_FAILED),
        (http(b'{"value": "\xff"}'), Reason.TASK_FAILED),
        (http(b'{"value": "\\ud800"}'), Reason.TASK_FAILED),
        (http(b'{"value": 1} x'), Reason.TASK_FAILED),
        (http(b"[1]"), Reason.TASK_FAILED),
        (http(b'{"value": ' + b"[" * 5000 + b"}"), Reason.TASK_FAILED),
        (
            http(b'{"value": "%b"}' % (b"x" * RESULT_BYTES_MAX)),
            Reason.RESULT_TOO_LARGE,
        ),
        (
            http(b'{"value": "%b"}' % (b"x" * 3 * RESULT_BYTES_MAX)),
            Reason.RESULT_TOO_LARGE,
        ),
    ],
)
async def test_bad_answer_is_a_failed_task(answer, reason):
    """Guards against bytes that would break the JSON of a job's answer."""
    result = await run(Server(answer))
    assert (result.status, result.reason) == (TaskStatus.FAILED, reason)
    assert result.value == b"null"


async def test_largest_value_is_taken():
    """Guards against a limit that is lower than the documented one."""
    value = b'"%b"' % (b"x" * (RESULT_BYTES_MAX - 2))
    result = await run(Server(http(b'{"value": %b}' % value)))
    assert result.status is TaskStatus.SUCCEEDED
    assert result.value == value


async def test_redirect_is_not_followed():
    """Guards against the same start reaching two executors."""
    other = Server(http(b'{"value": 1}'))
    listener = await asyncio.start_server(other.serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    location = f"Location: http://127.0.0.1:{port}/run\r\n"
    server = Server(http(b"", "307 Temporary Redirect", location))
    result = await run(server)
    listener.close()
    assert result.status is TaskStatus.FAILED
    assert other.heads == 0


async def test_retired_client_closes_after_its_last_run():
    """Guards against connections that stay open at an earlier address."""
    server = Server(http(b'{"value": 1}'))
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    client = ExecutorClient(f"http://127.0.0.1:{port}")
    running = asyncio.create_task(client.run(make_start(), allow))
    await asyncio.sleep(0)
    await client.retire()
    result = await running
    listener.close()
    assert result.status is TaskStatus.SUCCEEDED
    assert client._session.closed
