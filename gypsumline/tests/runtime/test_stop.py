"""Tests of planned stops."""

import asyncio
import time

import aiohttp
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from gypsumline.runtime.http_server import running_http_server
from gypsumline.runtime.stop import StopSignals


class Handler:
    """Handler that ends when it is told."""

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


async def _stop_with_open_request(after_stop):
    """Returns the request and the seconds that the server took to end."""
    handler = Handler()
    signals = StopSignals()
    server = running_http_server(handler.app, "127.0.0.1", 0, 30.0, signals)
    async with server as running:
        port = running.servers[0].sockets[0].getsockname()[1]
        request = asyncio.create_task(_request(port))
        await handler.entered.wait()
        loop = asyncio.get_running_loop()
        loop.call_later(0.2, after_stop, handler, signals)
        began = time.monotonic()
    return request, time.monotonic() - began


async def test_open_request_is_answered_before_the_server_ends():
    """Guards against a planned stop that cuts a request in progress."""
    request, _ = await _stop_with_open_request(
        lambda handler, signals: handler.release.set()
    )
    assert await request == "done"


async def test_second_signal_ends_an_open_request():
    """Guards against a second signal that waits for the stop limit again."""
    request, seconds = await _stop_with_open_request(
        lambda handler, signals: signals.force_stop()
    )
    request.cancel()
    assert seconds < 10


async def test_drain_ends_at_the_second_signal():
    """Guards against a pause or a drain that ignores a second signal."""
    signals = StopSignals()
    loop = asyncio.get_running_loop()
    loop.call_later(0.1, signals.force_stop)
    async with asyncio.timeout(10):
        assert not await signals.drain(lambda: False, 60.0)
        await signals.pause(60.0)
