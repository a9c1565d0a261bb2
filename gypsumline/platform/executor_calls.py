"""HTTP client for orders to the executor beside an agent."""

from __future__ import annotations

import http
import logging
from collections.abc import Mapping

import msgspec

from gypsumline.core.leases.call_times import CallLimits, CallTimes
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
from gypsumline.runtime.clock import boot_time
from gypsumline.runtime.http_client import HttpClient, LateResponse
from gypsumline.runtime.http_messages import (
    HttpRefusedError,
    HttpResponse,
    HttpUnansweredError,
    HttpUnsentError,
)

# Calls that hang keep a connection until their time limit, so there are more of
# them than starts at a time.
_CONNECTIONS = 16
# Connections for hold requests, which never wait behind other orders.
_HOLD_CONNECTIONS = 4
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

    Each kind of order has its own time limit, which follows the round trips of
    its answers. An answer after the limit still counts as a round trip, and its
    connection is used again; the order itself was reported as unanswered.

    Args:
      address: Host and port of the executor.
      limits: Bounds of the time limits.
    """

    def __init__(self, address: str, limits: CallLimits) -> None:
        self._clients = {
            "run-start": HttpClient(address, _CONNECTIONS),
            "hold": HttpClient(address, _HOLD_CONNECTIONS),
        }
        self._clients["run-stop"] = self._clients["run-start"]
        self._limits = limits
        self._times = {name: CallTimes(limits) for name in self._clients}
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
        for client in self._clients.values():
            client.close()

    async def _call(
        self, name: str, executor: str, body: msgspec.Struct, wait: float
    ) -> HttpResponse | OrderAnswer:
        started_at = boot_time()
        response = await self._exchange(name, executor, body, wait)
        seconds = boot_time() - started_at
        answer = OrderAnswer.DONE
        if isinstance(response, OrderAnswer):
            answer = response
        else:
            self._record_round_trip(name, seconds, wait)
            if not response.is_success:
                answer = self._record_failure(
                    name,
                    _decode_refusal(response),
                    f"status {response.status}",
                )
        metrics.ORDER_SECONDS.labels(name, answer.name.lower()).observe(seconds)
        return response if answer is OrderAnswer.DONE else answer

    async def _exchange(
        self, name: str, executor: str, body: msgspec.Struct, wait: float
    ) -> HttpResponse | OrderAnswer:
        """Returns the response, or why there is none."""
        headers: Mapping[str, str] = {
            "Content-Type": _JSON_CONTENT_TYPE,
            _EXPECTED_EXECUTOR_HEADER: executor,
        }
        sent_at = boot_time()

        def record_late(_: HttpResponse) -> None:
            metrics.LATE_ORDER_ANSWERS.labels(name).inc()
            self._record_round_trip(name, boot_time() - sent_at, wait)

        limit = self._times[name].limit
        try:
            return await self._clients[name].request(
                "POST",
                f"/v1/{name}",
                timeout=limit + wait,
                headers=headers,
                body=msgspec.json.encode(body),
                late=LateResponse(
                    patience=self._limits.longest - limit,
                    on_response=record_late,
                ),
            )
        except HttpRefusedError as error:
            answer, detail = OrderAnswer.NO_LISTENER, str(error)
        except HttpUnsentError as error:
            answer, detail = OrderAnswer.UNSENT, str(error)
        except HttpUnansweredError as error:
            self._times[name].record_unanswered()
            answer, detail = OrderAnswer.UNANSWERED, str(error)
        return self._record_failure(name, answer, detail)

    def _record_round_trip(
        self, name: str, seconds: float, wait: float
    ) -> None:
        """Records an answer's round trip.

        The answer to a hold request that did not wait to its end says nothing,
        since the end of a run may have come at any time.
        """
        if seconds >= wait:
            self._times[name].record(seconds - wait)

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
