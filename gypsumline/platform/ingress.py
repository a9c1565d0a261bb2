"""Callers' requests: jobs, their states and queues."""

from __future__ import annotations

import http
import logging
import math
import re
import urllib.parse
from collections.abc import Callable

import msgspec

from gypsumline.core.effects import Decision
from gypsumline.core.leases.effects import JobEnded, JobOutcome
from gypsumline.core.leases.job import JobRequest, JobStep
from gypsumline.core.leases.resources import Resources
from gypsumline.entry.leased_node import LeasedEntryNode
from gypsumline.platform.routes import Route, Routes
from gypsumline.runtime import metrics
from gypsumline.runtime.http_messages import HttpResponse
from gypsumline.runtime.light_http_server import Exchange
from gypsumline.runtime.logs import DecisionLog, rounded_seconds

_TIMEOUT_HEADER = "x-gypsumline-timeout-remaining"
# Used where a caller does not say how long it waits.
_DEFAULT_TIMEOUT_SECONDS = 60.0
# Retry time of a refusal before the first configuration, in seconds.
_START_RETRY_SECONDS = 1.0
_KEY = re.compile(r"[0-9a-fA-F]{16}")
_SPEC_BYTES_MAX = 4000
_TASKS_MAX = 10_000
_JSON_HEADERS = {"Content-Type": "application/json"}

_LOGGER = logging.getLogger(__name__)


class _WireStep(msgspec.Struct):
    count: int = 0
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0.0
    after: list[int] = []
    # A label that the executor must have.
    requirements: str = ""
    data_rack: str = ""
    anti_affinity: int = 0
    gang: bool = False
    long_running: bool = False


class _WireJob(msgspec.Struct):
    spec: str = ""
    steps: list[_WireStep] = []
    # Whether the job needs no storing, and is answered at its end.
    best_effort: bool = False
    repeat_count: int = 0


class Ingress:
    """Translates callers' requests to jobs, and ends of jobs to answers."""

    def __init__(
        self,
        node: LeasedEntryNode,
        routes: Routes,
        decision_log: DecisionLog,
        store_silence: Callable[[], float],
    ) -> None:
        self._node = node
        self._routes = routes
        self._log = decision_log
        self._store_silence = store_silence
        self._is_closing = False

    def refuse_jobs(self) -> None:
        """Sends all further jobs elsewhere, near the end of a planned stop."""
        self._is_closing = True

    def __call__(self, exchange: Exchange) -> None:
        """Handles one request."""
        request = exchange.request
        path = urllib.parse.urlsplit(request.target).path
        if self._routes.version < 0:
            self._log_unrouted("no_configuration", exchange, path)
            exchange.respond(_refusal("no configuration", _START_RETRY_SECONDS))
            return
        route = self._routes.find(request.headers.get("host", ""), path)
        if route is None:
            self._log_unrouted("queue_unknown", exchange, path)
            exchange.respond(
                _problem(http.HTTPStatus.NOT_FOUND, "no such queue")
            )
            return
        key = path[len(route.prefix) :]
        if request.method == "GET" and not key:
            pending = self._node.owner.pending_jobs(route.queue.name)
            exchange.respond(_json_answer(200, {"pending": pending}))
        elif not _KEY.fullmatch(key):
            detail = f"job id is {key[:40]!r}; allowed: 16 hexadecimal digits"
            exchange.respond(_problem(http.HTTPStatus.BAD_REQUEST, detail))
        else:
            self._handle_job(exchange, route, key)

    def _log_unrouted(self, event: str, exchange: Exchange, path: str) -> None:
        """Logs a request that no route took, and what was known then."""
        request = exchange.request
        self._log.write(
            Decision(
                event=event,
                fields={
                    "method": request.method,
                    "host": request.headers.get("host", "")[:80],
                    "path": path[:80],
                    "configuration": self._routes.version,
                    "store_silence": rounded_seconds(self._store_silence()),
                },
            )
        )

    def _handle_job(self, exchange: Exchange, route: Route, key: str) -> None:
        method = exchange.request.method
        if method == "POST":
            self._submit(exchange, route, key)
        elif method == "GET":
            self._show(exchange, key)
        elif method == "DELETE":
            found = self._node.cancel(key)
            status = http.HTTPStatus.OK if found else http.HTTPStatus.GONE
            exchange.respond(HttpResponse(status=status))
        else:
            exchange.respond(HttpResponse(status=405))

    def _show(self, exchange: Exchange, key: str) -> None:
        job = self._node.owner.jobs.get(key)
        if job is None:
            exchange.respond(_problem(http.HTTPStatus.GONE, "no such job"))
            return
        state = "running" if job.has_started else "queued"
        exchange.respond(_json_answer(200, {"state": state}))

    def _submit(self, exchange: Exchange, route: Route, key: str) -> None:
        if self._is_closing:
            exchange.respond(_elsewhere("stopping", _START_RETRY_SECONDS))
            return
        try:
            wire = msgspec.json.decode(exchange.request.body, type=_WireJob)
        except (msgspec.DecodeError, RecursionError) as error:
            self._reject(exchange, key, str(error))
            return
        detail = _fault(wire)
        if detail:
            self._reject(exchange, key, detail)
        elif not _can_run(wire):
            # Such jobs must be stored before they are accepted.
            metrics.REJECTED_INPUTS.labels("job_kind").inc()
            _LOGGER.info("kind of job not served", extra={"job": key})
            exchange.respond(
                _refusal("kind of job not served", _START_RETRY_SECONDS)
            )
        else:
            version = self._routes.version
            request = _job_request(exchange, route, version, key, wire)
            self._run(exchange, request)

    def _run(self, exchange: Exchange, request: JobRequest) -> None:
        def on_ended(ended: JobEnded) -> None:
            exchange.respond(_answer(ended))

        exchange.on_closed = lambda: self._node.remove_caller(
            request.key, on_ended
        )
        self._node.submit(request, on_ended)

    def _reject(self, exchange: Exchange, key: str, detail: str) -> None:
        metrics.REJECTED_INPUTS.labels("job").inc()
        _LOGGER.info("job rejected", extra={"job": key, "detail": detail[:200]})
        exchange.respond(_problem(http.HTTPStatus.BAD_REQUEST, detail))


def _fault(wire: _WireJob) -> str:
    """Returns what is wrong with a job, with what is allowed."""
    if len(wire.spec.encode()) > _SPEC_BYTES_MAX:
        return f"spec is too long; allowed: up to {_SPEC_BYTES_MAX} bytes"
    if not wire.steps:
        return "steps is empty; allowed: one step or more"
    tasks = 0
    for number, step in enumerate(wire.steps):
        if step.count < 1:
            return f"steps[{number}].count is {step.count}; allowed: 1 or more"
        if min(step.cpu, step.mem_mb, step.gpu, step.anti_affinity) < 0:
            return f"steps[{number}] has an amount below 0; allowed: 0 or more"
        if any(not 0 <= earlier < number for earlier in step.after):
            return f"steps[{number}].after names a step that is not earlier"
        tasks += step.count
    if tasks > _TASKS_MAX:
        return f"the job has {tasks} tasks; allowed: up to {_TASKS_MAX}"
    return ""


def _can_run(wire: _WireJob) -> bool:
    if not wire.best_effort or wire.repeat_count:
        return False
    return not any(step.gang or step.long_running for step in wire.steps)


def _job_request(
    exchange: Exchange, route: Route, version: int, key: str, wire: _WireJob
) -> JobRequest:
    steps = tuple(
        JobStep(
            count=step.count,
            resources=Resources(
                processor=step.cpu, memory=step.mem_mb, accelerators=step.gpu
            ),
            run_time=step.estimate_ms / 1000.0,
            after=tuple(step.after),
            required_label=step.requirements,
            data_rack=step.data_rack,
            max_per_executor=step.anti_affinity,
        )
        for step in wire.steps
    )
    return JobRequest(
        key=key,
        spec=wire.spec,
        queue=route.queue,
        steps=steps,
        timeout=_timeout(exchange),
        configuration=version,
    )


def _timeout(exchange: Exchange) -> float:
    text = exchange.request.headers.get(_TIMEOUT_HEADER, "")
    try:
        milliseconds = float(text)
    except ValueError:
        return _DEFAULT_TIMEOUT_SECONDS
    if not math.isfinite(milliseconds):
        return _DEFAULT_TIMEOUT_SECONDS
    return max(0.0, milliseconds / 1000.0)


def _answer(ended: JobEnded) -> HttpResponse:
    if ended.outcome is JobOutcome.NOT_RUN:
        return _refusal(ended.reason, ended.retry_after)
    if ended.outcome is JobOutcome.ELSEWHERE:
        return _elsewhere(ended.reason, ended.retry_after)
    if ended.outcome is JobOutcome.EXPIRED:
        return _problem(
            http.HTTPStatus.GATEWAY_TIMEOUT, ended.reason, ended.retry_after
        )
    return _json_answer(200, {"state": ended.outcome.value})


def _refusal(detail: str, retry_after: float) -> HttpResponse:
    """Returns the answer for a job that has not run and never will."""
    return _problem(http.HTTPStatus.SERVICE_UNAVAILABLE, detail, retry_after)


def _elsewhere(detail: str, retry_after: float) -> HttpResponse:
    """Returns the answer after which callers send a job to another entry."""
    return _problem(http.HTTPStatus.BAD_GATEWAY, detail, retry_after)


def _problem(
    status: http.HTTPStatus, detail: str, retry_after: float = 0.0
) -> HttpResponse:
    headers = {"Content-Type": "application/problem+json"}
    if retry_after > 0.0:
        headers["Retry-After"] = str(math.ceil(retry_after))
    body = {"status": status.value, "title": status.phrase, "detail": detail}
    return HttpResponse(
        status=status, headers=headers, body=msgspec.json.encode(body)
    )


def _json_answer(status: int, body: dict[str, object]) -> HttpResponse:
    return HttpResponse(
        status=status, headers=_JSON_HEADERS, body=msgspec.json.encode(body)
    )
