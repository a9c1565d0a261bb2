"""HTTP server of a daemon, with graceful stop left to the daemon."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator

import uvicorn
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response

from gypsumline.runtime.stop import StopSignals

_START_POLL_SECONDS = 0.01
_KEEP_ALIVE_SECONDS = 30


class _Server(uvicorn.Server):
    """A server that leaves the signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


@contextlib.asynccontextmanager
async def running_http_server(
    app: Starlette,
    host: str,
    port: int,
    stop_limit: float,
    signals: StopSignals | None = None,
) -> AsyncIterator[uvicorn.Server]:
    """Yields a server that accepts connections.

    On exit it closes idle connections, waits up to `stop_limit` seconds for
    requests in progress, but not beyond a second signal, and then ends.
    """
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        log_config=None,
        access_log=False,
        lifespan="off",
        timeout_keep_alive=_KEEP_ALIVE_SECONDS,
        timeout_graceful_shutdown=max(1, int(stop_limit)),
    )
    server = _Server(config)
    task = asyncio.create_task(server.serve(), name="http-server")
    try:
        # The server offers no event for its start.
        while not server.started and not task.done():  # noqa: ASYNC110
            await asyncio.sleep(_START_POLL_SECONDS)
        if task.done():
            await task
        yield server
    finally:
        server.should_exit = True
        await _end(server, task, signals)


async def _end(
    server: uvicorn.Server,
    task: asyncio.Task[None],
    signals: StopSignals | None,
) -> None:
    if signals is not None:
        cut = asyncio.create_task(signals.wait_for_forced_stop())
        await asyncio.wait({task, cut}, return_when=asyncio.FIRST_COMPLETED)
        server.force_exit = signals.is_forced
        cut.cancel()
    await task


async def metrics_response(request: Request) -> Response:
    """Answers `GET /metrics`."""
    return Response(generate_latest(), media_type=CONTENT_TYPE_LATEST)


async def health_response(request: Request) -> Response:
    """Answers `GET /healthz`: the event loop runs."""
    return Response("ok\n")
