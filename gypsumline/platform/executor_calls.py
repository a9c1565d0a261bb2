"""HTTP client for orders to the executor beside an agent."""

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
from gypsumline.platform.rejections import RejectionLog
from gypsumline.platform.wire_types import (
    NAME_CHARACTERS_MAX,
    SEQUENCE_MAX,
    Milliseconds,
    UnixMilliseconds,
)
from gypsumline.runtime import metrics
from gypsumline.runtime.http_client import HttpClient
from gypsumline.runtime.http_messages import (
    HttpRefusedError,
    HttpResponse,
    HttpUnansweredError,
    HttpUnsentError,
)

_CONNECTIONS = 8
_EXPECTED_EXECUTOR_HEADER = "X-Gypsumline-Expected-Instance"
_JSON_CONTENT_TYPE = "application/json"

_ANSWERS_BY_REASON = {
    "fence": OrderAnswer.FENCED,
    "old": OrderAnswer.OLD,
    "late": OrderAnswer.LATE,
    "room": OrderAnswer.REFUSED,
    "ticket": OrderAnswer.REFUSED,
}
# Statuses of an executor that has done nothing. After any other status that is
# not a success the order may have been carried out.
_REFUSAL_STATUSES = frozenset(
    {
        http.HTTPStatus.BAD_REQUEST,
        http.HTTPStatus.CONFLICT,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    }
)

# Raised by a body that is not of the right shape: a DecodeError for its types,
# the others for rows that are too short, mixed or nested too deeply.
_INVALID_REPLY_ERRORS = (
    msgspec.DecodeError,
    IndexError,
    RecursionError,
    TypeError,
)

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


class _WireHoldRequest(msgspec.Struct, omit_defaults=True):
    fencing_token: int
    last_seen: int
    deadline_ms: int | None = None
    wait_ms: int | None = None


class _WireConflict(msgspec.Struct):
    reason: str = ""


class _WireHoldReply(msgspec.Struct):
    clock_ms: Milliseconds
    # Items: task, attempt, checkpoint, percentage and approximate load.
    running: list[list[object]] = []
    # Items: number, task, attempt, outcome and checkpoint.
    ended: list[list[object]] = []
    born: UnixMilliseconds = 0.0


class ExecutorClient:
    """Sends orders to the executor and decodes its responses.

    Args:
      address: Host and port of the executor.
      timeout: Time for one response, in seconds.
    """

    def __init__(self, address: str, timeout: float) -> None:
        self._client = HttpClient(address, connections=_CONNECTIONS)
        self._timeout = timeout
        self._rejections = RejectionLog(
            "executor",
            "hold reply of the executor is invalid",
            _LOGGER,
            logging.ERROR,
        )

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
        """Renews the lease and returns the executor's runs."""
        body = _WireHoldRequest(
            fencing_token=order.token,
            last_seen=order.acknowledged_end,
            deadline_ms=order.lease_until,
            wait_ms=int(1000.0 * order.wait) or None,
        )
        response = await self._call("hold", order.executor, body, order.wait)
        if isinstance(response, OrderAnswer):
            return response
        try:
            return _decode_hold_reply(
                msgspec.json.decode(response.body, type=_WireHoldReply)
            )
        except _INVALID_REPLY_ERRORS as error:
            detail = str(error)
            self._rejections.record(
                (order.executor, detail), detail, executor=order.executor
            )
            return OrderAnswer.UNANSWERED

    def close(self) -> None:
        """Closes the connections."""
        self._client.close()

    async def _call(
        self, name: str, executor: str, body: msgspec.Struct, wait: float
    ) -> HttpResponse | OrderAnswer:
        headers: Mapping[str, str] = {
            "Content-Type": _JSON_CONTENT_TYPE,
            _EXPECTED_EXECUTOR_HEADER: executor,
        }
        try:
            response = await self._client.request(
                "POST",
                f"/v1/{name}",
                timeout=self._timeout + wait,
                headers=headers,
                body=msgspec.json.encode(body),
            )
        except HttpRefusedError as error:
            return self._record_failure(
                name, OrderAnswer.NO_LISTENER, str(error)
            )
        except HttpUnsentError as error:
            return self._record_failure(name, OrderAnswer.REFUSED, str(error))
        except HttpUnansweredError as error:
            return self._record_failure(
                name, OrderAnswer.UNANSWERED, str(error)
            )
        if response.is_success:
            return response
        return self._record_failure(
            name, _decode_refusal(response), f"status {response.status}"
        )

    def _record_failure(
        self, name: str, answer: OrderAnswer, detail: str
    ) -> OrderAnswer:
        metrics.ORDER_FAILURES.labels(name, answer.name.lower()).inc()
        _LOGGER.info(
            "order not carried out",
            extra={"order": name, "answer": answer.name, "detail": detail},
        )
        return answer


def _decode_refusal(response: HttpResponse) -> OrderAnswer:
    if response.status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return OrderAnswer.OTHER_EXECUTOR
    if response.status not in _REFUSAL_STATUSES:
        return OrderAnswer.UNANSWERED
    if response.status != http.HTTPStatus.CONFLICT:
        return OrderAnswer.REFUSED
    try:
        conflict = msgspec.json.decode(response.body, type=_WireConflict)
    except (msgspec.DecodeError, RecursionError):
        # A conflict means that the order was not carried out, even if its
        # reason is invalid.
        return OrderAnswer.REFUSED
    return _ANSWERS_BY_REASON.get(conflict.reason, OrderAnswer.REFUSED)


def _decode_hold_reply(wire: _WireHoldReply) -> HoldReply:
    return HoldReply(
        started_at=int(wire.born),
        clock=int(wire.clock_ms),
        running=frozenset(
            (_require_name(row[0]), _require_number(row[1]))
            for row in wire.running
        ),
        ended=tuple(
            EndedRun(
                number=_require_number(row[0]),
                task=_require_name(row[1]),
                attempt=_require_number(row[2]),
                outcome=_require_name(row[3]),
            )
            for row in wire.ended
        ),
    )


def _require_number(value: object) -> int:
    if type(value) is int and 0 <= value <= SEQUENCE_MAX:
        return value
    raise TypeError("a number is out of bounds or not an integer")


def _require_name(value: object) -> str:
    if isinstance(value, str) and len(value) <= NAME_CHARACTERS_MAX:
        return value
    raise TypeError("a name is too long or not a text")
