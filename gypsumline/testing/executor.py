"""Stand-in for an executor: sleeps for each task, and counts each start.

It announces itself to its agent every second. Run it with
`python -m gypsumline.testing.executor --agent-url URL --executor-id exec-1`;
`POST /faults` changes its fault settings at run time.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import AsyncIterator

import aiohttp
import pydantic
import pydantic_settings
import uvloop
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from gypsumline.testing.http_server import (
    ConnectionClosedResponse,
    ConnectionCount,
    make_stop_event,
    read_complete_body,
    serve,
)
from gypsumline.testing.start_log import StartLog

_ANNOUNCE_INTERVAL_SECONDS = 1.0
_ANNOUNCE_TIMEOUT_SECONDS = 2.0
_RUN_TIME_MAX_SECONDS = 120.0
# Starts that the agent sent before it received the leave request still arrive.
_LEAVE_GRACE_SECONDS = 0.3
_logger = logging.getLogger(__name__)


class ExecutorFaults(pydantic.BaseModel):
    """Fault settings, which may change at run time.

    Attributes:
      speed: Divisor of all run times.
      straggler_share: Fraction of tasks that take longer.
      straggler_factor: Factor by which they take longer.
      fails_everything: Whether every task fails immediately.
      network_delay: One-way delay of requests and responses in seconds.
      connection_limit: Maximum of open connections; further ones are closed.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    speed: float = pydantic.Field(default=1.0, gt=0)
    straggler_share: float = pydantic.Field(default=0.0, ge=0, le=1)
    straggler_factor: float = pydantic.Field(default=10.0, ge=1)
    fails_everything: bool = False
    network_delay: float = pydantic.Field(default=0.0, ge=0, le=10)
    connection_limit: int = pydantic.Field(default=60, ge=1)


class ExecutorSettings(ExecutorFaults, pydantic_settings.BaseSettings):
    """Flags of the stand-in.

    Attributes:
      agent_url: Base URL of the agent; "" announces nothing.
      executor_id: Name that it announces.
      service: Service that it runs.
      slots: Tasks that run at once; further requests wait.
      kinds: Kinds of task that it takes, with commas between; "" for any.
      host: Address to listen on.
      port: Port to listen on; 0 for any.
      seed: Seed that chooses the stragglers.
      stop_limit: Longest time to finish after SIGTERM, in seconds.
    """

    model_config = pydantic_settings.SettingsConfigDict(
        cli_kebab_case=True, cli_implicit_flags=True, extra="forbid"
    )

    agent_url: str = ""
    executor_id: str = "exec-1"
    service: str = "ordering"
    slots: int = pydantic.Field(default=8, ge=1)
    kinds: str = ""
    host: str = "127.0.0.1"
    port: int = 0
    seed: int = 1
    stop_limit: float = pydantic.Field(default=30.0, ge=0, le=600)


class _RunBody(pydantic.BaseModel):
    key: str
    index: int = pydantic.Field(ge=0)
    attempt: int = 1
    kind: str = ""
    payload: pydantic.JsonValue = None


class _Payload(pydantic.BaseModel):
    run_time: float = pydantic.Field(default=0, ge=0, le=_RUN_TIME_MAX_SECONDS)
    value: pydantic.JsonValue = None
    fail: bool = False


class Executor:
    """Runs tasks in a limited number of slots and logs their starts."""

    def __init__(self, settings: ExecutorSettings) -> None:
        fields = set(ExecutorFaults.model_fields)
        self.log = StartLog()
        self.faults = ExecutorFaults(**settings.model_dump(include=fields))
        self.connections = ConnectionCount(self.faults.connection_limit)
        self._slots = asyncio.Semaphore(settings.slots)
        self._rng = random.Random(settings.seed)
        self._open_requests = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def make_app(self) -> Starlette:
        """Returns the application with all routes."""
        return Starlette(
            routes=[
                Route("/run", self._post_run, methods=["POST"]),
                Route("/starts", self._get_starts, methods=["GET"]),
                Route("/faults", self._post_faults, methods=["POST"]),
                Route("/healthz", self._get_health, methods=["GET"]),
            ]
        )

    async def drain(self, limit: float) -> None:
        """Waits until no request is open, for at most `limit` seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit):
                await asyncio.sleep(_LEAVE_GRACE_SECONDS)
                await self._idle.wait()

    async def _post_run(self, request: Request) -> Response:
        try:
            raw = await read_complete_body(request)
        except ClientDisconnect:
            self.log.truncated += 1
            return ConnectionClosedResponse()
        if raw is None:
            self.log.truncated += 1
            return _problem(400, "the body is shorter than its Content-Length")
        try:
            body = _RunBody.model_validate_json(raw)
            payload = _read_payload(body.payload)
        except pydantic.ValidationError as error:
            return _problem(400, str(error))
        disconnect = asyncio.create_task(_wait_for_disconnect(request))
        self._open_requests += 1
        self._idle.clear()
        try:
            await asyncio.sleep(self.faults.network_delay)
            response = await self._run_in_slot(body, payload, disconnect)
            await asyncio.sleep(self.faults.network_delay)
            return response
        finally:
            disconnect.cancel()
            self._open_requests -= 1
            if not self._open_requests:
                self._idle.set()

    async def _run_in_slot(
        self, body: _RunBody, payload: _Payload, disconnect: asyncio.Task[None]
    ) -> Response:
        if self._slots.locked():
            self.log.waited += 1
        async with self._slots:
            if disconnect.done():
                self.log.abandoned += 1
                return ConnectionClosedResponse()
            self.log.record(body.key, body.index, body.attempt)
            self.log.running += 1
            try:
                response = await self._run_task(payload)
            finally:
                self.log.running -= 1
        if disconnect.done():
            self.log.cut += 1
        return response

    async def _run_task(self, payload: _Payload) -> Response:
        faults = self.faults
        if faults.fails_everything:
            return _problem(500, "this executor fails everything")
        run_time = payload.run_time / faults.speed
        if self._rng.random() < faults.straggler_share:
            run_time *= faults.straggler_factor
        if run_time:
            await asyncio.sleep(run_time)
        if payload.fail:
            return _problem(500, "the payload asks for a failure")
        return JSONResponse({"value": payload.value})

    async def _get_starts(self, request: Request) -> Response:
        detail = request.query_params.get("detail", "") not in ("", "0")
        report = self.log.report(detail)
        report["connections"] = self.connections.open
        report["most_connections"] = self.connections.peak
        report["refused_connections"] = self.connections.refused
        return JSONResponse(report)

    async def _post_faults(self, request: Request) -> Response:
        try:
            change = ExecutorFaults.model_validate_json(await request.body())
        except pydantic.ValidationError as error:
            return _problem(400, str(error))
        changed = change.model_dump(exclude_unset=True)
        self.faults = self.faults.model_copy(update=changed)
        self.connections.limit = self.faults.connection_limit
        return JSONResponse(self.faults.model_dump())

    async def _get_health(self, request: Request) -> Response:
        return JSONResponse({"status": "ok"})


def _read_payload(payload: pydantic.JsonValue) -> _Payload:
    if isinstance(payload, dict):
        return _Payload.model_validate(payload)
    return _Payload(value=payload)


async def _wait_for_disconnect(request: Request) -> None:
    message = await request.receive()
    while message["type"] != "http.disconnect":
        message = await request.receive()


def _problem(status: int, detail: str) -> Response:
    return JSONResponse(
        {"status": status, "detail": detail},
        status,
        media_type="application/problem+json",
    )


async def _post(
    session: aiohttp.ClientSession, url: str, body: dict[str, object]
) -> None:
    try:
        async with session.post(url, json=body) as response:
            if response.status >= 300:
                _logger.warning("%s answered %d", url, response.status)
    except (aiohttp.ClientError, TimeoutError) as error:
        _logger.warning("%s: %s", url, error or "timeout")


async def _announce(settings: ExecutorSettings, address: str) -> None:
    """Announces the executor to its agent at each interval."""
    body: dict[str, object] = {
        "executor_id": settings.executor_id,
        "service": settings.service,
        "address": address,
        "slots": settings.slots,
        "connections": settings.connection_limit,
        "kinds": [kind for kind in settings.kinds.split(",") if kind],
    }
    async with _make_session() as session:
        while True:
            await _post(session, f"{settings.agent_url}/v1/announce", body)
            await asyncio.sleep(_ANNOUNCE_INTERVAL_SECONDS)


async def _leave(settings: ExecutorSettings) -> None:
    async with _make_session() as session:
        body: dict[str, object] = {"executor_id": settings.executor_id}
        await _post(session, f"{settings.agent_url}/v1/leave", body)


def _make_session() -> aiohttp.ClientSession:
    timeout = aiohttp.ClientTimeout(total=_ANNOUNCE_TIMEOUT_SECONDS)
    return aiohttp.ClientSession(timeout=timeout)


@contextlib.asynccontextmanager
async def run_executor(
    settings: ExecutorSettings,
) -> AsyncIterator[tuple[Executor, str]]:
    """Runs the stand-in in this process; yields it and its base URL.

    At the end of the block it leaves its agent and finishes open requests.
    """
    executor = Executor(settings)
    async with serve(
        executor.make_app(),
        settings.host,
        settings.port,
        executor.connections,
    ) as port:
        address = f"http://{settings.host}:{port}"
        announcement_task = None
        if settings.agent_url:
            announcement_task = asyncio.create_task(
                _announce(settings, address)
            )
        try:
            yield executor, address
        finally:
            if announcement_task is not None:
                announcement_task.cancel()
                await asyncio.gather(announcement_task, return_exceptions=True)
                await _leave(settings)
            await executor.drain(settings.stop_limit)


async def _main(settings: ExecutorSettings) -> None:
    stop = make_stop_event()
    async with run_executor(settings) as (_, address):
        print(f"executor stand-in at {address}", flush=True)
        await stop.wait()


def main() -> None:
    """Runs the stand-in until SIGTERM or SIGINT."""
    logging.basicConfig(format="%(asctime)s %(message)s")
    settings = pydantic_settings.CliApp.run(ExecutorSettings)
    uvloop.run(_main(settings))


if __name__ == "__main__":
    main()
