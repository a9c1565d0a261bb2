"""HTTP handler of the heartbeats of the executor beside an agent."""

from __future__ import annotations

import http
import logging
import urllib.parse

import msgspec

from gypsumline.agent.leased_node import LeasedAgentNode
from gypsumline.core.leases.effects import Announcement
from gypsumline.core.leases.resources import Resources
from gypsumline.platform.wire_types import Amount, Milliseconds
from gypsumline.runtime import metrics
from gypsumline.runtime.http_messages import HttpResponse
from gypsumline.runtime.light_http_server import Exchange

_PATH_PREFIX = "/v1/instances/"
_STATES = ("ready", "draining")

_LOGGER = logging.getLogger(__name__)


class _WireCapacity(msgspec.Struct):
    cpu: Amount
    mem_mb: Amount
    gpu: Amount = 0


class _WireHeartbeat(msgspec.Struct):
    service: str
    zone: str
    state: str
    seq_no: int
    capacity: _WireCapacity
    labels: list[str] = []
    clock_ms: Milliseconds = 0.0
    # Start of the executor's incarnation, in Unix milliseconds.
    born: Milliseconds = 0.0
    # Minimum time until the executor stops; set only while draining.
    remaining_ms: Milliseconds = 0.0


class HeartbeatReceiver:
    """Passes heartbeats of the executor on to the agent.

    Args:
      node: The agent.
      service: Service that the executor must run; "" accepts any.
    """

    def __init__(self, node: LeasedAgentNode, service: str) -> None:
        self._node = node
        self._service = service

    def __call__(self, exchange: Exchange) -> None:
        """Handles a request."""
        exchange.respond(HttpResponse(status=self._handle(exchange)))

    def _handle(self, exchange: Exchange) -> int:
        request = exchange.request
        path = urllib.parse.urlsplit(request.target).path
        executor = urllib.parse.unquote(path.removeprefix(_PATH_PREFIX))
        if not path.startswith(_PATH_PREFIX) or not executor:
            return http.HTTPStatus.NOT_FOUND
        if request.method == "DELETE":
            self._node.on_leave(executor)
            return http.HTTPStatus.OK
        if request.method != "PUT":
            return http.HTTPStatus.METHOD_NOT_ALLOWED
        announcement = self._decode_announcement(executor, request.body)
        if announcement is None:
            return http.HTTPStatus.BAD_REQUEST
        self._node.on_announcement(announcement)
        return http.HTTPStatus.OK

    def _decode_announcement(
        self, executor: str, body: bytes
    ) -> Announcement | None:
        try:
            wire = msgspec.json.decode(body, type=_WireHeartbeat)
        except (msgspec.DecodeError, RecursionError) as error:
            return self._reject(executor, str(error))
        if wire.state not in _STATES:
            return self._reject(executor, f"state is {wire.state[:40]!r}")
        if self._service and wire.service != self._service:
            return self._reject(executor, f"service is {wire.service[:40]!r}")
        return Announcement(
            executor=executor,
            started_at=int(wire.born),
            sequence=wire.seq_no,
            service=wire.service,
            availability_zone=wire.zone,
            capacity=Resources(
                processor=wire.capacity.cpu,
                memory=wire.capacity.mem_mb,
                accelerators=wire.capacity.gpu,
            ),
            labels=tuple(wire.labels),
            leaving=wire.state == "draining",
            leaving_in=wire.remaining_ms / 1000.0,
            clock=int(wire.clock_ms),
        )

    def _reject(self, executor: str, detail: str) -> Announcement | None:
        metrics.REJECTED_INPUTS.labels("heartbeat").inc()
        _LOGGER.warning(
            "heartbeat rejected",
            extra={"executor": executor[:80], "detail": detail},
        )
        return None
