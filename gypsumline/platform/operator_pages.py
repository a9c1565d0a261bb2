"""Pages for operators at the port of the metrics."""

from __future__ import annotations

import http
from collections.abc import Callable

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from gypsumline.runtime.http_messages import HttpResponse
from gypsumline.runtime.light_http_server import Exchange

STATUS_PATH = "/v1/status"


class OperatorPages:
    """Serves the status of a process, and its metrics at any other path.

    Attributes:
      status: Returns the status, which can be encoded as JSON; None if the
        process has none.
    """

    def __init__(self) -> None:
        self.status: Callable[[], dict[str, object]] | None = None

    def __call__(self, exchange: Exchange) -> None:
        """Responds to a request."""
        path = exchange.request.target.partition("?")[0]
        if path == STATUS_PATH:
            exchange.respond(self._status_response())
            return
        exchange.respond(
            HttpResponse(
                status=http.HTTPStatus.OK,
                headers={"Content-Type": CONTENT_TYPE_LATEST},
                body=generate_latest(),
            )
        )

    def _status_response(self) -> HttpResponse:
        if self.status is None:
            return HttpResponse(status=http.HTTPStatus.NOT_FOUND)
        return HttpResponse(
            status=http.HTTPStatus.OK,
            headers={"Content-Type": "application/json"},
            body=msgspec.json.encode(self.status()),
        )
