"""HTTP handler of the heartbeats of the executor beside an agent."""

from __future__ import annotations

import http
import logging
import urllib.parse
from typing import Annotated

import msgspec

from gypsumline.agent.leased_node import LeasedAgentNode
from gypsumline.core.errors import InvalidInputError
from gypsumline.core.leases.effects import Announcement
from gypsumline.core.leases.resources import Resources
from gypsumline.platform.rejections import RejectionLog
from gypsumline.platform.wire_types import (
    NAME_CHARACTERS_MAX,
    Amount,
    Milliseconds,
    Name,
    Sequence,
    UnixMilliseconds,
)
from gypsumline.runtime.addresses import parse_address
from gypsumline.runtime.http_messages import HttpResponse
from gypsumline.runtime.light_http_server import Exchange

_PATH_PREFIX = "/v1/instances/"
_STATES = ("ready", "draining")
# The agent repeats the labels to each entry with each ping.
_LABELS_MAX = 64

_LOGGER = logging.getLogger(__name__)


class _WireCapacity(msgspec.Struct):
    cpu: Amount
    mem_mb: Amount
    gpu: Amount = 0


class _WireHeartbeat(msgspec.Struct):
    """Heartbeat of an executor.

    All fields of the page are checked, also those that the agent does not use:
    a heartbeat without them comes from another writer.
    """

    service: Name
    address: Name
    zone: Name
    # Version of the executor's software.
    version: Name
    # Number of requests at a time; tasks are limited by the capacity instead.
    slots: Amount
    state: Name
    # Time for which the executor remains slow after its start.
    cold_left_ms: Milliseconds
    seq_no: Sequence
    capacity: _WireCapacity
    labels: Annotated[list[Name], msgspec.Meta(max_length=_LABELS_MAX)] = []
    clock_ms: Milliseconds = 0.0
    # Start of the executor's incarnation.
    born: UnixMilliseconds = 0.0
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
        self._rejections = RejectionLog(
            "heartbeat", "heartbeat rejected", _LOGGER
        )

    def __call__(self, exchange: Exchange) -> None:
        """Handles a request."""
        exchange.respond(HttpResponse(status=self._handle(exchange)))

    def _handle(self, exchange: Exchange) -> int:
        request = exchange.request
        path = request.path
        executor = urllib.parse.unquote(path.removeprefix(_PATH_PREFIX))
        if not path.startswith(_PATH_PREFIX) or not executor:
            return http.HTTPStatus.NOT_FOUND
        if request.method not in ("PUT", "DELETE"):
            return http.HTTPStatus.METHOD_NOT_ALLOWED
        try:
            _check_executor_name(executor)
            if request.method == "DELETE":
                self._node.on_leave(executor)
            else:
                announcement = self._decode_announcement(executor, request.body)
                self._node.on_announcement(announcement)
        except InvalidInputError as error:
            # Without the given value, which may hold the sequence number.
            identity = (executor, error.field, error.allowed)
            self._rejections.record(
                identity, str(error), executor=executor[:80]
            )
            return http.HTTPStatus.BAD_REQUEST
        return http.HTTPStatus.OK

    def _decode_announcement(self, executor: str, body: bytes) -> Announcement:
        try:
            wire = msgspec.json.decode(body, type=_WireHeartbeat)
        except (msgspec.DecodeError, RecursionError) as error:
            raise InvalidInputError("heartbeat", body, str(error)) from error
        parse_address(wire.address)
        if wire.state not in _STATES:
            raise InvalidInputError("state", wire.state, ", ".join(_STATES))
        if self._service and wire.service != self._service:
            raise InvalidInputError("service", wire.service, self._service)
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


def _check_executor_name(text: str) -> None:
    """Checks that a header can carry a name, as orders do."""
    is_allowed = text.isascii() and text.isprintable()
    if not is_allowed or len(text) > NAME_CHARACTERS_MAX:
        raise InvalidInputError(
            "executor",
            text,
            f"up to {NAME_CHARACTERS_MAX} printable ASCII characters",
        )
