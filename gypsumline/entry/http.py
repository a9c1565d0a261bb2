"""HTTP interface of an entry for callers and operators."""

from __future__ import annotations

import asyncio
import json
import time

from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from gypsumline.cli.settings import EntrySettings
from gypsumline.core.errors import (
    GypsumlineError,
    InvalidInputError,
    InvalidInputGroup,
)
from gypsumline.core.messages import CancelJob, Inquire, Submit
from gypsumline.core.submissions.submission_key import key_time, parse_key
from gypsumline.core.task import JobAnswer, Outcome, Reason
from gypsumline.entry.configuration_http import ConfigurationRoutes
from gypsumline.entry.node import EntryNode
from gypsumline.entry.status import status_body
from gypsumline.interface.http_models import (
    JOB_BYTES_MAX,
    PROBLEM_MEDIA_TYPE,
    answer_body,
    answer_headers,
    answer_status,
    compute_job_digest,
    make_error_problem,
    make_problem,
    parse_job,
)
from gypsumline.runtime import metrics
from gypsumline.runtime.clock import wall_time
from gypsumline.runtime.http_server import health_response, metrics_response
from gypsumline.runtime.request_body import read_body

# The owner answers at the deadline, and its answer takes some time to arrive.
_WAIT_GRACE_SECONDS = 0.05
_JOBS_PATH = "/v1/jobs"
_RETRY_AFTER_SECONDS = 1


class JobRoutes:
    """Handles the callers' job requests."""

    def __init__(self, node: EntryNode, settings: EntrySettings) -> None:
        self._node = node
        self._settings = settings
        self._pending: set[asyncio.Task[JobAnswer]] = set()

    async def submit(self, request: Request) -> Response:
        """Handles `POST /v1/jobs`."""
        started_at = time.perf_counter()
        wall = wall_time()
        raw = await read_body(request, JOB_BYTES_MAX)
        limits = self._node.record.configuration.limits
        body = parse_job(raw, limits, self._settings.deadline_max, wall)
        given_key = request.headers.get("Idempotency-Key")
        key = parse_key(given_key) if given_key else self._node.new_key()
        # Without `wait` the request stays open until the final answer, which
        # the router gives shortly after the deadline at the latest.
        wait = self._parse_wait(request, self._settings.deadline_max)
        refusal = self._check_age(key, wall)
        if refusal is not None:
            return _answer_response(key, refusal)
        message = Submit(
            request_id=self._node.new_request_id(),
            key=key,
            digest=compute_job_digest(body),
            body=body,
        )
        answer = await self._request_answer(message, body.timeout, wait)
        metrics.JOBS.labels(answer.outcome.value).inc()
        metrics.JOB_SECONDS.observe(time.perf_counter() - started_at)
        return _answer_response(key, answer)

    async def show(self, request: Request) -> Response:
        """Handles `GET /v1/jobs/{key}`."""
        key = parse_key(request.path_params["key"])
        wait = self._parse_wait(request, 0.0)
        if wait > 0:
            answer = await self._request_answer(
                self._make_inquiry(key, wait=True), wait, wait
            )
            if answer.outcome != Outcome.RUNNING:
                return _answer_response(key, answer)
        limit = self._settings.suspect_after
        inquiry = self._make_inquiry(key, wait=False)
        return _answer_response(key, await self._node.request(inquiry, limit))

    async def cancel(self, request: Request) -> Response:
        """Handles `DELETE /v1/jobs/{key}`."""
        key = parse_key(request.path_params["key"])
        message = CancelJob(request_id=self._node.new_request_id(), key=key)
        limit = self._settings.suspect_after
        return _answer_response(key, await self._node.request(message, limit))

    def _make_inquiry(self, key: str, *, wait: bool) -> Inquire:
        request_id = self._node.new_request_id()
        return Inquire(request_id=request_id, key=key, wait=wait)

    async def _request_answer(
        self, message: Submit | Inquire, limit: float, wait: float
    ) -> JobAnswer:
        """Waits for the answer; the job continues if the wait times out.

        Args:
          message: The request to the owner of the key.
          limit: Time limit of the request at the router, in seconds.
          wait: Time to wait here, in seconds.

        Returns:
          The answer, or `RUNNING` if there is none in time.
        """
        task = asyncio.create_task(self._node.request(message, limit))
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)
        done, _ = await asyncio.wait({task}, timeout=wait + _WAIT_GRACE_SECONDS)
        if done:
            return task.result()
        return JobAnswer(outcome=Outcome.RUNNING)

    def _parse_wait(self, request: Request, default: float) -> float:
        text = request.query_params.get("wait")
        if text is None:
            return default
        wait_max = self._settings.deadline_max
        allowed = f"a number of seconds from 0 to {wait_max:g}"
        try:
            wait = float(text)
        except ValueError:
            raise InvalidInputError("wait", text, allowed) from None
        if not 0 <= wait <= wait_max:
            raise InvalidInputError("wait", text, allowed)
        return wait

    def _check_age(self, key: str, wall: float) -> JobAnswer | None:
        """Returns a refusal for a key whose time is out of range.

        Owners expire their answers after the resubmission horizon, so an older
        key could run its job a second time.
        """
        horizon = self._settings.resubmission_horizon
        skew_max = self._settings.client_clock_skew
        age = wall - key_time(key)
        if -skew_max <= age <= horizon:
            return None
        return JobAnswer(
            outcome=Outcome.UNKNOWN,
            reason=Reason.KEY_EXPIRED,
            detail=(
                f"the key is {age:.1f} s old; allowed: up to {horizon:g} s "
                f"old and {skew_max:g} s ahead"
            ),
        )


class _RequestLimiter:
    """Refuses job requests immediately while too many are open."""

    def __init__(self, app: ASGIApp, limit: int) -> None:
        self._app = app
        self._limit = limit
        self._open_count = 0

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        is_job = str(scope.get("path", "")).startswith(_JOBS_PATH)
        if scope["type"] != "http" or not is_job:
            await self._app(scope, receive, send)
            return
        if self._open_count >= self._limit:
            await self._make_refusal()(scope, receive, send)
            return
        self._open_count += 1
        try:
            await self._app(scope, receive, send)
        finally:
            self._open_count -= 1

    def _make_refusal(self) -> Response:
        problem = make_problem(
            503,
            "too-many-requests",
            "Too many open requests",
            detail=f"{self._limit} requests are open, which is the limit",
        )
        return Response(
            problem.body,
            status_code=problem.status,
            headers={"Retry-After": str(_RETRY_AFTER_SECONDS)},
            media_type=PROBLEM_MEDIA_TYPE,
        )


class _CloseConnectionsWhenLeaving:
    """Adds `Connection: close` to responses during a planned stop.

    Otherwise a client could send a request on a persistent connection at the
    moment when the server closes it.
    """

    def __init__(self, app: ASGIApp, node: EntryNode) -> None:
        self._app = app
        self._node = node

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        async def send_with_close(message: Message) -> None:
            is_start = message["type"] == "http.response.start"
            if is_start and self._node.leaving:
                headers = list(message.get("headers", ()))
                headers.append((b"connection", b"close"))
                message = {**message, "headers": headers}
            await send(message)

        await self._app(scope, receive, send_with_close)


def entry_app(
    node: EntryNode, settings: EntrySettings, configuration: ConfigurationRoutes
) -> Starlette:
    """Returns the HTTP application of an entry."""
    jobs = JobRoutes(node, settings)

    async def ready(request: Request) -> Response:
        return Response("", status_code=200 if node.is_ready else 503)

    async def status(request: Request) -> Response:
        body = json.dumps(status_body(node))
        return Response(body, media_type="application/json")

    return Starlette(
        routes=[
            Route("/v1/jobs", jobs.submit, methods=["POST"]),
            Route("/v1/jobs/{key}", jobs.show, methods=["GET"]),
            Route("/v1/jobs/{key}", jobs.cancel, methods=["DELETE"]),
            *configuration.routes(),
            Route("/v1/status", status),
            Route("/healthz", health_response),
            Route("/readyz", ready),
            Route("/metrics", metrics_response),
        ],
        middleware=[
            Middleware(_CloseConnectionsWhenLeaving, node=node),
            Middleware(_RequestLimiter, limit=settings.http_request_limit),
        ],
        exception_handlers={
            GypsumlineError: _problem_response,
            InvalidInputGroup: _problem_response,
            ClientDisconnect: _disconnected_response,
        },
    )


def _answer_response(key: str, answer: JobAnswer) -> Response:
    return Response(
        answer_body(key, answer),
        status_code=answer_status(answer),
        headers=answer_headers(answer),
        media_type="application/json",
    )


def _problem_response(request: Request, error: Exception) -> Response:
    problem = make_error_problem(error)  # type: ignore[arg-type]
    return Response(
        problem.body, status_code=problem.status, media_type=PROBLEM_MEDIA_TYPE
    )


def _disconnected_response(request: Request, error: Exception) -> Response:
    problem = make_problem(400, "client-gone", "The client disconnected")
    return Response(problem.body, status_code=problem.status)
