"""Tests of `ExecutorClient` with servers on raw connections."""

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


class RawExecutor:
    """Executor that sends fixed bytes and counts requests and whole bodies."""

    def __init__(self, answer, *, at_headers=False, close_early=False):
        self.body_count = 0
        self.request_count = 0
        self._answer = answer
        self._at_headers = at_headers
        self._close_early = close_early

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        self.request_count += 1
        size = int(head.lower().split(b"content-length:")[1].split()[0])
        if not self._close_early and not self._at_headers:
            with contextlib.suppress(asyncio.IncompleteReadError):
                await reader.readexactly(size)
                self.body_count += 1
        writer.write(self._answer)
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        writer.close()


async def run_task(server, check_start=allow, timeout=2.0):
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    client = ExecutorClient(f"http://127.0.0.1:{port}")
    try:
        return await client.run(make_start(timeout), check_start)
    finally:
        await client.close()
        listener.close()


def make_response(body, status="200 OK", headers=""):
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body


async def test_result_has_the_value_index_and_attempt():
    """Guards against a result with the index or attempt of another task."""
    server = RawExecutor(make_response(b'{"value": {"a": [1, null]}}'))
    result = await run_task(server)
    assert (result.index, result.attempt) == (3, 2)
    assert result.status is TaskStatus.SUCCEEDED
    assert result.value == b'{"a": [1, null]}'


async def test_refused_start_sends_no_body():
    """Guards against a start that the check has refused."""
    server = RawExecutor(make_response(b"{}"))
    result = await run_task(server, check_start=lambda: Reason.OUT)
    assert (result.status, result.reason) == (TaskStatus.REFUSED, Reason.OUT)
    assert server.body_count == 0


async def test_refused_connection_gives_a_refused_result():
    """Guards against an unknown outcome of a task that cannot have started."""
    client = ExecutorClient("http://127.0.0.1:9")
    checks = []
    result = await client.run(make_start(), lambda: checks.append(1) or allow())
    await client.close()
    assert result.status is TaskStatus.REFUSED
    assert result.reason is Reason.EXECUTOR_LOST
    assert not checks


@pytest.mark.parametrize("answer", [b"", b"HTTP/1.1 200 OK\r\nContent-Le"])
async def test_connection_closed_after_the_body_gives_unknown(answer):
    """Guards against "not started" for a task that may have run."""
    server = RawExecutor(answer)
    result = await run_task(server)
    assert server.body_count == 1
    assert result.status is TaskStatus.UNKNOWN


async def test_connection_closed_with_an_unread_body_gives_unknown():
    """Guards against "not started" once the body was written."""
    result = await run_task(RawExecutor(b"", close_early=True))
    assert result.status is TaskStatus.UNKNOWN


async def test_deadline_after_the_body_gives_unknown():
    """Guards against a run that occupies its slot beyond the deadline."""

    class SilentExecutor(RawExecutor):
        async def serve(self, reader, writer):
            await reader.read()

    result = await run_task(SilentExecutor(b""), timeout=0.2)
    assert result.status is TaskStatus.UNKNOWN


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (make_response(b"{}", "500 Error"), Reason.TASK_FAILED),
        (make_response(b"{}", "404 Not Found"), Reason.TASK_FAILED),
        (make_response(b'{"value": NaN}'), Reason.TASK_FAILED),
        (make_response(b'{"value": 1e999}'), Reason.TASK_FAILED),
        (make_response(b'{"value": "\xff"}'), Reason.TASK_FAILED),
        (make_response(b'{"value": "\\ud800"}'), Reason.TASK_FAILED),
        (make_response(b'{"value": 1} x'), Reason.TASK_FAILED),
        (make_response(b"[1]"), Reason.TASK_FAILED),
        (make_response(b'{"value": ' + b"[" * 5000 + b"}"), Reason.TASK_FAILED),
        (
            make_response(b'{"value": "%b"}' % (b"x" * RESULT_BYTES_MAX)),
            Reason.RESULT_TOO_LARGE,
        ),
        (
            make_response(b'{"value": "%b"}' % (b"x" * 3 * RESULT_BYTES_MAX)),
            Reason.RESULT_TOO_LARGE,
        ),
    ],
)
async def test_invalid_response_gives_a_failed_result(answer, reason):
    """Guards against bytes that make the JSON of a job's answer invalid."""
    result = await run_task(RawExecutor(answer))
    assert (result.status, result.reason) == (TaskStatus.FAILED, reason)
    assert result.value == b"null"


async def test_value_of_the_maximum_size_is_accepted():
    """Guards against a lower limit than the documented one."""
    value = b'"%b"' % (b"x" * (RESULT_BYTES_MAX - 2))
    result = await run_task(
        RawExecutor(make_response(b'{"value": %b}' % value))
    )
    assert result.status is TaskStatus.SUCCEEDED
    assert result.value == value


async def test_redirect_is_not_followed():
    """Guards against a start that reaches two executors."""
    other = RawExecutor(make_response(b'{"value": 1}'))
    listener = await asyncio.start_server(other.serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    location = f"Location: http://127.0.0.1:{port}/run\r\n"
    server = RawExecutor(make_response(b"", "307 Temporary Redirect", location))
    result = await run_task(server)
    listener.close()
    assert result.status is TaskStatus.FAILED
    assert other.request_count == 0


async def test_client_closes_when_idle_after_its_last_run():
    """Guards against open connections to a previous address."""
    server = RawExecutor(make_response(b'{"value": 1}'))
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    client = ExecutorClient(f"http://127.0.0.1:{port}")
    running = asyncio.create_task(client.run(make_start(), allow))
    await asyncio.sleep(0)
    await client.close_when_idle()
    result = await running
    listener.close()
    assert result.status is TaskStatus.SUCCEEDED
    assert client._session.closed
