"""Tests of the replies of an executor that cannot be read."""

import pytest

from gypsumline.core.leases.effects import HoldRequest, OrderAnswer
from gypsumline.platform.executor_calls import ExecutorClient
from gypsumline.runtime.http_messages import HttpResponse

ORDER = HoldRequest(
    executor="x-1", token=1, acknowledged_end=0, lease_until=None, wait=0.0
)


class CannedClient:
    """Answers each request with the same body."""

    def __init__(self, body):
        self._body = body

    async def request(self, *_, **__):
        return HttpResponse(status=200, body=self._body)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"clock_ms":1,"running":[["t"]]}',
        b'{"clock_ms":1,"running":[["t","1"]]}',
        b'{"clock_ms":1,"ended":[[1,"t",1]]}',
        b'{"clock_ms":1,"ended":[[]]}',
        b'{"clock_ms":1,"running":' + b"[" * 100_000,
        b'{"clock_ms":1,"running":[["\xff",1]]}',
        b'{"clock_ms":1e999}',
        b'{"clock_ms":1,"born":null}',
    ],
)
async def test_invalid_hold_reply_counts_as_no_answer(body):
    """Guards against one malformed reply that ends the agent."""
    client = ExecutorClient("127.0.0.1:1", 1.0)
    client._client = CannedClient(body)
    assert await client.hold(ORDER) is OrderAnswer.UNANSWERED
