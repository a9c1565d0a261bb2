"""Tests of the stand-in for the store."""

import asyncio
import json
import random

from gypsumline.runtime.http_messages import HttpRequest
from gypsumline.testing.rows_store import Rows, StoreEndpoint


class RecordingExchange:
    """A request whose responses are recorded."""

    def __init__(self, body):
        self.request = HttpRequest(
            method="POST",
            target="/v1/rows-tx",
            headers={},
            body=json.dumps(body).encode(),
        )
        self.responses = []

    def respond(self, response):
        self.responses.append(response)


async def test_pending_write_is_not_answered_once_the_store_is_silent():
    """Guards against a fault of the store that lets some answers pass."""
    loop = asyncio.get_running_loop()
    endpoint = StoreEndpoint(Rows(loop), lambda *row: row[2], random.Random(1))
    endpoint.latency = 0.05
    exchange = RecordingExchange({"expected_rev": [], "puts": [], "remove": []})
    endpoint(exchange)
    await asyncio.sleep(0.01)
    endpoint.fault = "silent"
    await asyncio.sleep(0.1)
    assert exchange.responses == []
