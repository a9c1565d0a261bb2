"""The agent's HTTP interface for its executor and for operators."""

from __future__ import annotations

import json
from typing import Annotated

import pydantic
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from gypsumline.agent.node import AgentNode
from gypsumline.core.errors import GypsumlineError, InvalidInputGroup
from gypsumline.core.slots.slot_settings import Announcement
from gypsumline.core.validation import Name, StrictModel
from gypsumline.interface.http_models import (
    PROBLEM_MEDIA_TYPE,
    make_error_problem,
    parse_body,
)
from gypsumline.runtime.http_server import health_response, metrics_response
from gypsumline.runtime.request_body import read_body

_BODY_BYTES_MAX = 64 * 1024
_SLOTS_MAX = 4096


class AnnouncementBody(StrictModel):
    """Body of `POST /v1/announce`.

    Attributes:
      executor_id: Id of the upstream.
      service: Service that it runs.
      address: Base URL of the executor.
      slots: Number of tasks that it runs concurrently.
      connections: Number of connections that it accepts.
      kinds: Kinds of task that it accepts; empty for all.
    """

    executor_id: Name
    service: Name
    address: Annotated[str, pydantic.Field(pattern=r"^http://[^/]+$")]
    slots: Annotated[int, pydantic.Field(ge=1, le=_SLOTS_MAX)]
    connections: Annotated[int, pydantic.Field(ge=1, le=65536)]
    kinds: list[Name] = []


def agent_app(node: AgentNode) -> Starlette:
    """Returns the HTTP application of an agent."""

    async def announce(request: Request) -> Response:
        raw = await read_body(request, _BODY_BYTES_MAX)
        body = parse_body(AnnouncementBody, raw, _BODY_BYTES_MAX)
        announcement = Announcement(
            upstream_id=body.executor_id,
            service=body.service,
            kinds=tuple(body.kinds),
            slots=min(body.slots, body.connections),
        )
        node.announce(announcement, body.address)
        return Response(status_code=204)

    async def leave(request: Request) -> Response:
        node.mark_executor_leaving()
        return Response(status_code=204)

    async def ready(request: Request) -> Response:
        return Response("", status_code=200 if node.is_ready else 503)

    async def status(request: Request) -> Response:
        body = json.dumps(node.status())
        return Response(body, media_type="application/json")

    return Starlette(
        routes=[
            Route("/v1/announce", announce, methods=["POST"]),
            Route("/v1/leave", leave, methods=["POST"]),
            Route("/v1/status", status),
            Route("/healthz", health_response),
            Route("/readyz", ready),
            Route("/metrics", metrics_response),
        ],
        exception_handlers={
            GypsumlineError: _problem_response,
            InvalidInputGroup: _problem_response,
        },
    )


def _problem_response(request: Request, error: Exception) -> Response:
    problem = make_error_problem(error)  # type: ignore[arg-type]
    return Response(
        problem.body, status_code=problem.status, media_type=PROBLEM_MEDIA_TYPE
    )
