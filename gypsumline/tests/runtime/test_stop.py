"""Tests of planned stops."""

import asyncio
import time

import aiohttp
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from gypsumline.runtime.http_server import running_http_server
from gypsumline.runtime.stop import StopSignals


class BlockingHandler:
    """Request handler that responds once `release` is set."""

    def __init__(self):
        self.entered = asyncio.Event()
        self.release = asyncio.Event()
        self.app = Starlette(routes=[Route("/", self.serve)])

    async def serve(self, request):
        self.entered.set()
        await self.release.wait()
        return Response("done")


async def _request(port):
    async with aiohttp.ClientSession() as session:
        async with session.get(f"http://127.0.0.1:{port}/") as response:
            return await response.text()


async def _stop_with_open_request(on_stopping):
    """Stops a server while a request is open.

    Returns:
      The request and the seconds that the server took to stop.
    """
    handler = BlockingHandler()
    signals = StopSignals()
    server = running_http_server(handler.app, "127.0.0.1", 0, 30.0, signals)
    async with server as running:
        port = running.servers[0].sockets[0].getsockname()[1]
        request = asyncio.create_task(_request(port))
        await handler.entered.wait()
        loop = asyncio.get_running_loop()
        loop.call_later(0.2, on_stopping, handler, signals)
        stopped_at = time.monotonic()
    return request, time.monotonic() - stopped_at


async def test_open_request_is_answered_before_the_server_stops():
    """Guards against a planned stop that interrupts an open request."""
    request, _ = await _stop_with_open_request(
        lambda handler, signals: handler.release.set()
    )
    assert await request == "done"


async def test_second_signal_interrupts_an_open_request():
    """Guards against a forced stop that still waits for the stop limit."""
    request, seconds = await _stop_with_open_request(
        lambda handler, signals: signals.force_stop()
    )
    request.cancel()
    assert seconds < 10


async def test_drain_ends_at_the_second_signal():
    """Guards against a pause or a drain that ignores the second signal."""
    signals = StopSignals()
    loop = asyncio.get_running_loop()
    loop.call_later(0.1, signals.force_stop)
    async with asyncio.timeout(10):
        assert not await signals.drain(lambda: False, 60.0)
        await signals.pause(60.0)
