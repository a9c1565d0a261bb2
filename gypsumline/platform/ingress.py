"""Handles HTTP requests of callers: jobs, their states and queues."""

from __future__ import annotations

import http
import logging
import math
import re
from collections.abc import Callable

import msgspec

from gypsumline.core.effects import Decision
from gypsumline.core.leases.effects import JobEnded, JobOutcome
from gypsumline.core.leases.job import JobRequest, JobStep
from gypsumline.core.leases.resources import Resources
from gypsumline.entry.leased_node import LeasedEntryNode
from gypsumline.platform.routes import OperatorConfiguration, Route
from gypsumline.platform.wire_types import Milliseconds, TaskAmount
from gypsumline.runtime import metrics
from gypsumline.runtime.http_messages import HttpResponse
from gypsumline.runtime.light_http_server import Exchange
from gypsumline.runtime.logs import DecisionLog, rounded_seconds

_TIMEOUT_HEADER = "x-gypsumline-timeout-remaining"
# Used if a caller sends no valid timeout.
_DEFAULT_TIMEOUT_SECONDS = 60.0
# Retry-After before the first configuration, during a stop and for kinds of
# jobs that are not served.
_RETRY_AFTER_SECONDS = 1.0
_KEY_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
_SPEC_BYTES_MAX = 4000
_TASKS_MAX = 10_000
_JSON_HEADERS = {"Content-Type": "application/json"}

_LOGGER = logging.getLogger(__name__)


class _WireStep(msgspec.Struct):
    count: int = 0
    cpu: TaskAmount = 0
    mem_mb: TaskAmount = 0
    gpu: TaskAmount = 0
    estimate_ms: Milliseconds = 0.0
    after: list[int] = []
    # Label that the executor must have.
    requirements: str = ""
    data_rack: str = ""
    anti_affinity: TaskAmount = 0
    gang: bool = False
    long_running: bool = False


class _WireJob(msgspec.Struct):
    spec: str = ""
    steps: list[_WireStep] = []
    # Whether the job need not be stored; it is answered when it has ended.
    best_effort: bool = False
    repeat_count: int = 0


class Ingress:
    """Translates requests of callers to jobs, and job outcomes to responses.

    Args:
      node: Runs the jobs.
      configuration: Configuration of the operator.
      decision_log: Log of requests without a route.
      store_silence: Returns the seconds since the store's last response.
    """

    def __init__(
        self,
        node: LeasedEntryNode,
        configuration: OperatorConfiguration,
        decision_log: DecisionLog,
        store_silence: Callable[[], float],
    ) -> None:
        self._node = node
        self._configuration = configuration
        self._decision_log = decision_log
        self._store_silence = store_silence
        self._is_draining = False

    def stop_accepting_jobs(self) -> None:
        """Redirects new jobs to other entries, during a planned stop."""
        self._is_draining = True

    def __call__(self, exchange: Exchange) -> None:
        """Handles a request."""
        request = exchange.request
        path = request.path
        if self._configuration.version < 0:
            self._log_unrouted_request("no_configuration", exchange, path)
            exchange.respond(
                _not_run_response("no configuration", _RETRY_AFTER_SECONDS)
            )
            return
        route = self._configuration.find_route(
            request.headers.get("host", ""), path
        )
        if route is None:
            self._log_unrouted_request("queue_unknown", exchange, path)
            exchange.respond(
                _problem_response(http.HTTPStatus.NOT_FOUND, "no such queue")
            )
            return
        key = path[len(route.prefix) :]
        if request.method == "GET" and not key:
            pending = self._node.owner.pending_jobs(route.queue.name)
            exchange.respond(_json_response(200, {"pending": pending}))
        elif not _KEY_PATTERN.fullmatch(key):
            detail = f"job id is {key[:40]!r}; allowed: 16 hexadecimal digits"
            exchange.respond(
                _problem_response(http.HTTPStatus.BAD_REQUEST, detail)
            )
        else:
            self._handle_job(exchange, route, key)

    def _log_unrouted_request(
        self, event: str, exchange: Exchange, path: str
    ) -> None:
        """Logs a request without a route and the known configuration."""
        request = exchange.request
        self._decision_log.write(
            Decision(
                event=event,
                fields={
                    "method": request.method,
                    "host": request.headers.get("host", "")[:80],
                    "path": path[:80],
                    "configuration": self._configuration.version,
                    "store_silence": rounded_seconds(self._store_silence()),
                },
            )
        )

    def _handle_job(self, exchange: Exchange, route: Route, key: str) -> None:
        method = exchange.request.method
        if method == "POST":
            self._submit(exchange, route, key)
        elif method == "GET":
            self._send_state(exchange, key)
        elif method == "DELETE":
            found = self._node.cancel(key)
            status = http.HTTPStatus.OK if found else http.HTTPStatus.GONE
            exchange.respond(HttpResponse(status=status))
        else:
            exchange.respond(HttpResponse(status=405))

    def _send_state(self, exchange: Exchange, key: str) -> None:
        job = self._node.owner.jobs.get(key)
        if job is None:
            exchange.respond(
                _problem_response(http.HTTPStatus.GONE, "no such job")
            )
            return
        state = "running" if job.has_started else "queued"
        exchange.respond(_json_response(200, {"state": state}))

    def _submit(self, exchange: Exchange, route: Route, key: str) -> None:
        if self._is_draining:
            exchange.respond(
                _retry_elsewhere_response("stopping", _RETRY_AFTER_SECONDS)
            )
            return
        try:
            wire = msgspec.json.decode(exchange.request.body, type=_WireJob)
        except (msgspec.DecodeError, RecursionError) as error:
            self._reject(exchange, key, str(error))
            return
        detail = _validation_error(wire)
        if detail:
            self._reject(exchange, key, detail)
        elif not _is_supported(wire):
            # Such jobs must be stored before they are accepted, which this
            # program does not do.
            metrics.REJECTED_INPUTS.labels("job_kind").inc()
            _LOGGER.info("kind of job not served", extra={"job": key})
            exchange.respond(
                _not_run_response(
                    "kind of job not served", _RETRY_AFTER_SECONDS
                )
            )
        else:
            version = self._configuration.version
            request = _make_job_request(exchange, route, version, key, wire)
            self._run_job(exchange, request)

    def _run_job(self, exchange: Exchange, request: JobRequest) -> None:
        def on_ended(ended: JobEnded) -> None:
            exchange.respond(_make_response(ended))

        exchange.on_closed = lambda: self._node.remove_caller(
            request.key, on_ended
        )
        self._node.submit(request, on_ended)

    def _reject(self, exchange: Exchange, key: str, detail: str) -> None:
        metrics.REJECTED_INPUTS.labels("job").inc()
        _LOGGER.info("job rejected", extra={"job": key, "detail": detail[:200]})
        exchange.respond(_problem_response(http.HTTPStatus.BAD_REQUEST, detail))


def _validation_error(wire: _WireJob) -> str:
    """Returns an error message if a job is invalid, else an empty string."""
    if len(wire.spec.encode()) > _SPEC_BYTES_MAX:
        return f"spec is too long; allowed: up to {_SPEC_BYTES_MAX} bytes"
    if not wire.steps:
        return "steps is empty; allowed: one step or more"
    tasks = 0
    for number, step in enumerate(wire.steps):
        if step.count < 1:
            return f"steps[{number}].count is below 1; allowed: 1 or more"
        if any(not 0 <= earlier < number for earlier in step.after):
            return f"steps[{number}].after names a step that is not earlier"
        tasks += step.count
    if tasks > _TASKS_MAX:
        return f"the job has too many tasks; allowed: up to {_TASKS_MAX}"
    return ""


def _is_supported(wire: _WireJob) -> bool:
    if not wire.best_effort or wire.repeat_count:
        return False
    return not any(step.gang or step.long_running for step in wire.steps)


def _make_job_request(
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
        timeout=_read_timeout(exchange),
        configuration=version,
    )


def _read_timeout(exchange: Exchange) -> float:
    text = exchange.request.headers.get(_TIMEOUT_HEADER, "")
    try:
        milliseconds = float(text)
    except ValueError:
        return _DEFAULT_TIMEOUT_SECONDS
    if not math.isfinite(milliseconds):
        return _DEFAULT_TIMEOUT_SECONDS
    return max(0.0, milliseconds / 1000.0)


def _make_response(ended: JobEnded) -> HttpResponse:
    if ended.outcome is JobOutcome.NOT_RUN:
        return _not_run_response(ended.reason, ended.retry_after)
    if ended.outcome is JobOutcome.ELSEWHERE:
        return _retry_elsewhere_response(ended.reason, ended.retry_after)
    if ended.outcome is JobOutcome.EXPIRED:
        return _problem_response(
            http.HTTPStatus.GATEWAY_TIMEOUT, ended.reason, ended.retry_after
        )
    body: dict[str, object] = {"state": ended.outcome.value}
    if ended.outcome is JobOutcome.FAILED:
        body["detail"] = ended.reason
    return _json_response(200, body)


def _not_run_response(detail: str, retry_after: float) -> HttpResponse:
    """Returns a 503 response: the job has not run and will not run."""
    return _problem_response(
        http.HTTPStatus.SERVICE_UNAVAILABLE, detail, retry_after
    )


def _retry_elsewhere_response(detail: str, retry_after: float) -> HttpResponse:
    """Returns a 502 response: the caller retries at another entry."""
    return _problem_response(http.HTTPStatus.BAD_GATEWAY, detail, retry_after)


def _problem_response(
    status: http.HTTPStatus, detail: str, retry_after: float = 0.0
) -> HttpResponse:
    headers = {"Content-Type": "application/problem+json"}
    if retry_after > 0.0:
        headers["Retry-After"] = str(math.ceil(retry_after))
    body = {"status": status.value, "title": status.phrase, "detail": detail}
    return HttpResponse(
        status=status, headers=headers, body=msgspec.json.encode(body)
    )


def _json_response(status: int, body: dict[str, object]) -> HttpResponse:
    return HttpResponse(
        status=status, headers=_JSON_HEADERS, body=msgspec.json.encode(body)
    )
