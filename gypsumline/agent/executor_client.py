"""Runs tasks at the executor over HTTP, with the gate before the body."""

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
# HTTP servers close idle connections after 5 s at the earliest. A request that
# meets such a close is lost with an unknown outcome.
_KEEP_ALIVE_SECONDS = 4.0
# Room for the object around the value.
_ENVELOPE_BYTES = 4096
# Compressed answers could be small on the way and of any size here.
_HEADERS = {"Content-Type": "application/json", "Accept-Encoding": "identity"}

Gate = Callable[[], Reason]


class _GatedBody:
    """A request body that is written only if the gate allows the start.

    The gate is asked in the same event-loop step that writes the body. When it
    refuses, the executor has seen only the headers, so the task has provably
    not started.
    """

    def __init__(self, body: bytes, gate: Gate) -> None:
        self._body = body
        self._gate = gate
        self._refusal = Reason.NONE
        self._written = False

    @property
    def size(self) -> int:
        """Bytes of the body."""
        return len(self._body)

    @property
    def refusal(self) -> Reason:
        """Why the gate refused; none if it did not."""
        return self._refusal

    @property
    def was_written(self) -> bool:
        """Whether the body may have reached the executor."""
        return self._written

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body once, directly after the gate allowed it."""
        self._refusal = self._gate()
        if self._refusal != Reason.NONE:
            raise aiohttp.ClientConnectionError(self._refusal.value)
        self._written = True
        metrics.TASK_STARTS.inc()
        yield self._body


class ExecutorClient:
    """Connections to the executor beside this agent."""

    def __init__(self, address: str) -> None:
        self._address = address.rstrip("/")
        self._session: aiohttp.ClientSession | None = None
        self._running = 0
        self._retired = False

    @property
    def address(self) -> str:
        """Base URL of the executor."""
        return self._address

    async def run(self, start: StartTask, gate: Gate) -> TaskResult:
        """Returns the result of one task; a failure is a result too.

        A result is `REFUSED` only if the executor has provably not started the
        task, and `UNKNOWN` if it may have.
        """
        body = _GatedBody(_request_body(start), gate)
        began = time.perf_counter()
        self._running += 1
        try:
            status, value = await self._post(start, body)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return _lost(start, body)
        finally:
            self._running -= 1
            await self._close_if_unused()
        if not body.was_written:
            # The executor has answered without having seen the body.
            return _lost(start, body)
        run_time = time.perf_counter() - began
        if status != http.HTTPStatus.OK:
            return _result(start, TaskStatus.FAILED, run_time=run_time)
        return _read_result(start, value, run_time)

    async def retire(self) -> None:
        """Closes the connections as soon as nothing runs over them."""
        self._retired = True
        await self._close_if_unused()

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    async def _close_if_unused(self) -> None:
        if self._retired and not self._running:
            await self.close()

    async def _post(
        self, start: StartTask, body: _GatedBody
    ) -> tuple[int, bytes]:
        left = max(0.05, start.deadline - boot_time())
        timeout = aiohttp.ClientTimeout(
            total=left, connect=min(left, _CONNECT_TIMEOUT_SECONDS)
        )
        headers = {**_HEADERS, "Content-Length": str(body.size)}
        async with self._open_session().post(
            f"{self._address}/run",
            data=body.chunks(),
            headers=headers,
            timeout=timeout,
            # A redirected request would carry the body a second time.
            allow_redirects=False,
        ) as response:
            return response.status, await _read_limited(response)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            # The slot table bounds the requests in progress.
            connector = aiohttp.TCPConnector(
                limit=0, keepalive_timeout=_KEEP_ALIVE_SECONDS
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
            )
        return self._session


async def _read_limited(response: aiohttp.ClientResponse) -> bytes:
    value = bytearray()
    async for chunk in response.content.iter_any():
        value += chunk
        if len(value) > RESULT_BYTES_MAX + _ENVELOPE_BYTES:
            break
    return bytes(value)


def _request_body(start: StartTask) -> bytes:
    return msgspec.json.encode(
        {
            "key": start.key,
            "index": start.task.index,
            "attempt": start.attempt,
            "kind": start.task.kind,
            "payload": msgspec.Raw(start.task.payload),
        }
    )


def _result(
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


def _lost(start: StartTask, body: _GatedBody) -> TaskResult:
    if body.refusal != Reason.NONE:
        return _result(start, TaskStatus.REFUSED, body.refusal)
    if not body.was_written:
        return _result(start, TaskStatus.REFUSED, Reason.EXECUTOR_LOST)
    return _result(start, TaskStatus.UNKNOWN, Reason.EXECUTOR_LOST)


def _read_result(start: StartTask, body: bytes, run_time: float) -> TaskResult:
    if len(body) > RESULT_BYTES_MAX + _ENVELOPE_BYTES:
        return _too_large(start, run_time)
    try:
        # The value goes into an answer as it is, so all of it is checked.
        parse_json(body)
        decoded = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except (InvalidInputGroup, msgspec.DecodeError):
        return _result(start, TaskStatus.FAILED, run_time=run_time)
    value = bytes(decoded.get("value", b"null"))
    if len(value) > RESULT_BYTES_MAX:
        return _too_large(start, run_time)
    return _result(
        start,
        TaskStatus.SUCCEEDED,
        reason=Reason.NONE,
        run_time=run_time,
        value=value,
    )


def _too_large(start: StartTask, run_time: float) -> TaskResult:
    return _result(
        start, TaskStatus.FAILED, Reason.RESULT_TOO_LARGE, run_time=run_time
    )
