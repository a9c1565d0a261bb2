"""Runs tasks at the executor over HTTP, with a last check of each start."""

from __future__ import annotations

import http
import time
from collections.abc import AsyncIterator, Callable

import aiohttp
import msgspec

from gypsumline.core.effects import StartTask
from gypsumline.core.errors import InvalidInputGroup
from gypsumline.core.task import (
    RESULT_BYTES_MAX,
    Reason,
    TaskResult,
    TaskStatus,
)
from gypsumline.interface.http_models import parse_json
from gypsumline.runtime import metrics
from gypsumline.runtime.clock import boot_time

_CONNECT_TIMEOUT_SECONDS = 1.0
# Common HTTP servers close idle connections after 5 s or later. A request sent
# at the moment of such a close is lost and its outcome is unknown.
_KEEP_ALIVE_SECONDS = 4.0
# Covers the JSON object around the value.
_ENVELOPE_BYTES_MAX = 4096
# A small compressed response could decompress to any size.
_HEADERS = {"Content-Type": "application/json", "Accept-Encoding": "identity"}

StartCheck = Callable[[], Reason]


class _CheckedBody:
    """A request body that is written only if a check allows the start.

    The check runs in the same step of the event loop that writes the body. If
    it refuses, the executor has received only the headers, which proves that
    the task has not started.
    """

    def __init__(self, body: bytes, check_start: StartCheck) -> None:
        self._body = body
        self._check_start = check_start
        self._refusal = Reason.NONE
        self._written = False

    @property
    def size(self) -> int:
        """Size of the body in bytes."""
        return len(self._body)

    @property
    def refusal(self) -> Reason:
        """Reason of the refusal, `NONE` if the check did not refuse."""
        return self._refusal

    @property
    def was_written(self) -> bool:
        """Whether the body may have reached the executor."""
        return self._written

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the whole body immediately after the check allowed it."""
        self._refusal = self._check_start()
        if self._refusal != Reason.NONE:
            raise aiohttp.ClientConnectionError(self._refusal.value)
        self._written = True
        metrics.TASK_STARTS.inc()
        yield self._body


class ExecutorClient:
    """HTTP client for the executor beside this agent."""

    def __init__(self, address: str) -> None:
        self._address = address.rstrip("/")
        self._session: aiohttp.ClientSession | None = None
        self._run_count = 0
        self._closes_when_idle = False

    @property
    def address(self) -> str:
        """Base URL of the executor."""
        return self._address

    async def run(
        self, start: StartTask, check_start: StartCheck
    ) -> TaskResult:
        """Runs one task and returns its result; failures do not raise.

        Args:
          start: The task and its deadline.
          check_start: Returns why the task may not start; `NONE` allows it.

        Returns:
          The result. Its status is `REFUSED` only if the executor has provably
          not started the task, and `UNKNOWN` if it may have started it.
        """
        body = _CheckedBody(_encode_request(start), check_start)
        started_at = time.perf_counter()
        self._run_count += 1
        try:
            status, value = await self._post(start, body)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return _executor_lost_result(start, body)
        finally:
            self._run_count -= 1
            await self._close_if_idle()
        if not body.was_written:
            # The executor responded without reading the body.
            return _executor_lost_result(start, body)
        run_time = time.perf_counter() - started_at
        if status != http.HTTPStatus.OK:
            return _make_result(start, TaskStatus.FAILED, run_time=run_time)
        return _decode_result(start, value, run_time)

    async def close_when_idle(self) -> None:
        """Closes the connections once no task uses them."""
        self._closes_when_idle = True
        await self._close_if_idle()

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def _close_if_idle(self) -> None:
        if self._closes_when_idle and not self._run_count:
            await self.close()

    async def _post(
        self, start: StartTask, body: _CheckedBody
    ) -> tuple[int, bytes]:
        time_left = max(0.05, start.deadline - boot_time())
        timeout = aiohttp.ClientTimeout(
            total=time_left, connect=min(time_left, _CONNECT_TIMEOUT_SECONDS)
        )
        headers = {**_HEADERS, "Content-Length": str(body.size)}
        async with self._get_session().post(
            f"{self._address}/run",
            data=body.chunks(),
            headers=headers,
            timeout=timeout,
            # A redirect would send the body, and so the start, a second time.
            allow_redirects=False,
        ) as response:
            return response.status, await _read_body(response)

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            # The slot table already limits the requests in flight.
            connector = aiohttp.TCPConnector(
                limit=0, keepalive_timeout=_KEEP_ALIVE_SECONDS
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
            )
        return self._session


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    value = bytearray()
    async for chunk in response.content.iter_any():
        value += chunk
        if len(value) > RESULT_BYTES_MAX + _ENVELOPE_BYTES_MAX:
            break
    return bytes(value)


def _encode_request(start: StartTask) -> bytes:
    return msgspec.json.encode(
        {
            "key": start.key,
            "index": start.task.index,
            "attempt": start.attempt,
            "kind": start.task.kind,
            "payload": msgspec.Raw(start.task.payload),
        }
    )


def _make_result(
    start: StartTask,
    status: TaskStatus,
    reason: Reason = Reason.TASK_FAILED,
    run_time: float = 0.0,
    value: bytes = b"null",
) -> TaskResult:
    return TaskResult(
        index=start.task.index,
        status=status,
        value=value,
        reason=Reason.NONE if status == TaskStatus.SUCCEEDED else reason,
        run_time=run_time,
        attempt=start.attempt,
    )


def _executor_lost_result(start: StartTask, body: _CheckedBody) -> TaskResult:
    if body.refusal != Reason.NONE:
        return _make_result(start, TaskStatus.REFUSED, body.refusal)
    if not body.was_written:
        return _make_result(start, TaskStatus.REFUSED, Reason.EXECUTOR_LOST)
    return _make_result(start, TaskStatus.UNKNOWN, Reason.EXECUTOR_LOST)


def _decode_result(
    start: StartTask, body: bytes, run_time: float
) -> TaskResult:
    if len(body) > RESULT_BYTES_MAX + _ENVELOPE_BYTES_MAX:
        return _too_large_result(start, run_time)
    try:
        # The answer embeds the value unchanged, so all of it is validated.
        parse_json(body)
        decoded = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except (InvalidInputGroup, msgspec.DecodeError):
        return _make_result(start, TaskStatus.FAILED, run_time=run_time)
    value = bytes(decoded.get("value", b"null"))
    if len(value) > RESULT_BYTES_MAX:
        return _too_large_result(start, run_time)
    return _make_result(
        start,
        TaskStatus.SUCCEEDED,
        reason=Reason.NONE,
        run_time=run_time,
        value=value,
    )


def _too_large_result(start: StartTask, run_time: float) -> TaskResult:
    return _make_result(
        start, TaskStatus.FAILED, Reason.RESULT_TOO_LARGE, run_time=run_time
    )
