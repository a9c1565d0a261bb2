"""Orders to the executor beside an agent."""

from __future__ import annotations

import http
import logging
from collections.abc import Mapping

import msgspec

from gypsumline.core.leases.effects import (
    EndedRun,
    HoldReply,
    HoldRequest,
    OrderAnswer,
    OrderStart,
    OrderStop,
)
from gypsumline.runtime import metrics
from gypsumline.runtime.http_client import HttpClient
from gypsumline.runtime.http_messages import (
    HttpResponse,
    HttpUnansweredError,
    HttpUnsentError,
)

_CONNECTIONS = 8
_EXPECTED_EXECUTOR = "X-Gypsumline-Expected-Instance"
_JSON = "application/json"

_REASONS = {
    "fence": OrderAnswer.FENCED,
    "old": OrderAnswer.OLD,
    "late": OrderAnswer.LATE,
    "room": OrderAnswer.REFUSED,
    "ticket": OrderAnswer.REFUSED,
}

_LOGGER = logging.getLogger(__name__)


class _WireStart(msgspec.Struct):
    task: str
    attempt: int
    spec: str
    # End of the lease on the executor's clock, not a time limit of the task.
    deadline_ms: int
    fencing_token: int


class _WireStop(msgspec.Struct):
    task: str
    attempt: int
    fencing_token: int


class _WireHold(msgspec.Struct, omit_defaults=True):
    fencing_token: int
    last_seen: int
    deadline_ms: int | None = None
    wait_ms: int | None = None


class _WireConflict(msgspec.Struct):
    reason: str = ""


class _WireHeld(msgspec.Struct):
    clock_ms: float
    # Each entry: task, attempt, checkpoint, percent and a rough load.
    running: list[list[object]] = []
    # Each entry: number, task, attempt, how it ended and its checkpoint.
    ended: list[list[object]] = []
    born: float = 0.0


class ExecutorCalls:
    """Translates orders to calls, and answers back."""

    def __init__(self, address: str, timeout: float) -> None:
        self._client = HttpClient(address, connections=_CONNECTIONS)
        self._timeout = timeout

    async def start(self, order: OrderStart) -> OrderAnswer:
        """Starts a run."""
        body = _WireStart(
            task=order.task,
            attempt=order.attempt,
            spec=order.spec,
            deadline_ms=order.lease_until,
            fencing_token=order.token,
        )
        answer = await self._call("run-start", order.executor, body, 0.0)
        return answer if isinstance(answer, OrderAnswer) else OrderAnswer.DONE

    async def stop(self, order: OrderStop) -> OrderAnswer:
        """Stops a run."""
        body = _WireStop(
            task=order.task,
            attempt=order.attempt,
            fencing_token=order.token,
        )
        answer = await self._call("run-stop", order.executor, body, 0.0)
        return answer if isinstance(answer, OrderAnswer) else OrderAnswer.DONE

    async def hold(self, order: HoldRequest) -> HoldReply | OrderAnswer:
        """Renews the lease and returns the runs."""
        body = _WireHold(
            fencing_token=order.token,
            last_seen=order.acknowledged_end,
            deadline_ms=order.lease_until,
            wait_ms=int(1000.0 * order.wait) or None,
        )
        answer = await self._call("hold", order.executor, body, order.wait)
        if isinstance(answer, OrderAnswer):
            return answer
        try:
            return _held(msgspec.json.decode(answer.body, type=_WireHeld))
        except (msgspec.DecodeError, TypeError, ValueError) as error:
            metrics.REJECTED_INPUTS.labels("executor").inc()
            _LOGGER.error(
                "executor's list of runs cannot be read",
                extra={"executor": order.executor, "detail": str(error)},
            )
            return OrderAnswer.UNANSWERED

    def close(self) -> None:
        """Closes the connections."""
        self._client.close()

    async def _call(
        self, name: str, executor: str, body: msgspec.Struct, wait: float
    ) -> HttpResponse | OrderAnswer:
        headers: Mapping[str, str] = {
            "Content-Type": _JSON,
            _EXPECTED_EXECUTOR: executor,
        }
        try:
            answer = await self._client.request(
                "POST",
                f"/v1/{name}",
                timeout=self._timeout + wait,
                headers=headers,
                body=msgspec.json.encode(body),
            )
        except HttpUnsentError as error:
            return self._failed(name, OrderAnswer.REFUSED, str(error))
        except HttpUnansweredError as error:
            return self._failed(name, OrderAnswer.UNANSWERED, str(error))
        if answer.is_success:
            return answer
        return self._failed(name, _refusal(answer), f"status {answer.status}")

    def _failed(
        self, name: str, answer: OrderAnswer, detail: str
    ) -> OrderAnswer:
        metrics.ORDER_FAILURES.labels(name, answer.name.lower()).inc()
        _LOGGER.info(
            "order not carried out",
            extra={"order": name, "answer": answer.name, "detail": detail},
        )
        return answer


def _refusal(answer: HttpResponse) -> OrderAnswer:
    if answer.status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return OrderAnswer.OTHER_EXECUTOR
    if answer.status != http.HTTPStatus.CONFLICT:
        return OrderAnswer.REFUSED
    try:
        conflict = msgspec.json.decode(answer.body, type=_WireConflict)
    except msgspec.DecodeError:
        # A conflict without a readable reason was still not carried out.
        return OrderAnswer.REFUSED
    return _REASONS.get(conflict.reason, OrderAnswer.REFUSED)


def _held(wire: _WireHeld) -> HoldReply:
    return HoldReply(
        started_at=int(wire.born),
        clock=int(wire.clock_ms),
        running=frozenset(
            (str(row[0]), _integer(row[1])) for row in wire.running
        ),
        ended=tuple(
            EndedRun(
                number=_integer(row[0]),
                task=str(row[1]),
                attempt=_integer(row[2]),
                outcome=str(row[3]),
            )
            for row in wire.ended
        ),
    )


def _integer(value: object) -> int:
    if isinstance(value, int):
        return value
    raise TypeError(f"{value!r} is not a whole number")
