"""Runs tasks at the executor over HTTP, with the gate before the body."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable

import aiohttp
import msgspec

from gypsumline.core.effects import StartTask
from gypsumline.core.task import Reason, TaskResult, TaskStatus
from gypsumline.runtime import metrics
from gypsumline.runtime.clock import boot_time

RESULT_LIMIT_BYTES = 1024 * 1024
_CONNECT_TIMEOUT_SECONDS = 1.0
_JSON = {"Content-Type": "application/json"}

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
        try:
            status, value = await self._post(start, body)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return _lost(start, body)
        run_time = time.perf_counter() - began
        if status != 200:
            return _result(start, TaskStatus.FAILED, run_time=run_time)
        return _succeeded(start, value, run_time)

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    async def _post(
        self, start: StartTask, body: _GatedBody
    ) -> tuple[int, bytes]:
        left = max(0.05, start.deadline - boot_time())
        timeout = aiohttp.ClientTimeout(
            total=left, connect=min(left, _CONNECT_TIMEOUT_SECONDS)
        )
        headers = {**_JSON, "Content-Length": str(body.size)}
        async with self._open_session().post(
            f"{self._address}/run",
            data=body.chunks(),
            headers=headers,
            timeout=timeout,
        ) as response:
            return response.status, await _read_limited(response)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            # The slot table bounds the requests in progress.
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session


async def _read_limited(response: aiohttp.ClientResponse) -> bytes:
    value = bytearray()
    async for chunk in response.content.iter_any():
        value += chunk
        if len(value) > RESULT_LIMIT_BYTES:
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


def _succeeded(start: StartTask, body: bytes, run_time: float) -> TaskResult:
    try:
        decoded = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
        value = bytes(decoded.get("value", b"null"))
    except (msgspec.DecodeError, RecursionError):
        return _result(start, TaskStatus.FAILED, run_time=run_time)
    if len(value) > RESULT_LIMIT_BYTES:
        return _result(start, TaskStatus.FAILED, run_time=run_time)
    return _result(
        start,
        TaskStatus.SUCCEEDED,
        reason=Reason.NONE,
        run_time=run_time,
        value=value,
    )
