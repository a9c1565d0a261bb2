"""HTTP server of a daemon, which handles signals and stops itself."""

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
    """A server that leaves signal handling to the daemon."""

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

    On exit, the server closes idle connections and waits for requests in
    progress, until `stop_limit` or until a forced stop.

    Args:
      app: Application to serve.
      host: Address to listen on.
      port: Port to listen on.
      stop_limit: Maximum time for requests in progress on exit, in seconds.
      signals: Stop signals that can force the stop; None for no forced stop.
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
        # uvicorn has no event that reports the start of the server.
        while not server.started and not task.done():  # noqa: ASYNC110
            await asyncio.sleep(_START_POLL_SECONDS)
        if task.done():
            await task
        yield server
    finally:
        server.should_exit = True
        await _shut_down(server, task, signals)


async def _shut_down(
    server: uvicorn.Server,
    task: asyncio.Task[None],
    signals: StopSignals | None,
) -> None:
    if signals is not None:
        forced_stop = asyncio.create_task(signals.wait_for_forced_stop())
        await asyncio.wait(
            {task, forced_stop}, return_when=asyncio.FIRST_COMPLETED
        )
        server.force_exit = signals.is_forced
        forced_stop.cancel()
    await task


async def metrics_response(request: Request) -> Response:
    """Handles `GET /metrics`."""
    return Response(generate_latest(), media_type=CONTENT_TYPE_LATEST)


async def health_response(request: Request) -> Response:
    """Handles `GET /healthz`; any response shows that the event loop runs."""
    return Response("ok\n")
