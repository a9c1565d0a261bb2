"""Executors behind HTTP with the rules of those in the random walks."""

from __future__ import annotations

import asyncio
import contextlib
import json
import urllib.parse

from gypsumline.core.leases.effects import (
    HoldReply,
    HoldRequest,
    OrderAnswer,
    OrderStart,
    OrderStop,
)
from gypsumline.runtime.http_client import HttpClient
from gypsumline.runtime.http_messages import HttpError, HttpResponse
from gypsumline.runtime.light_http_server import (
    HttpLimits,
    running_light_server,
)
from properties.lease_executor import Executor

HEARTBEAT_TIMEOUT_SECONDS = 1.0
_STATUS_AND_REASON = {
    OrderAnswer.DONE: (200, ""),
    OrderAnswer.FENCED: (409, "fence"),
    OrderAnswer.OLD: (409, "old"),
    OrderAnswer.LATE: (409, "late"),
    OrderAnswer.REFUSED: (503, ""),
    OrderAnswer.NO_LISTENER: (503, ""),
    OrderAnswer.OTHER_EXECUTOR: (421, ""),
    OrderAnswer.UNANSWERED: (503, ""),
}


class SoakExecutor(Executor):
    """An executor behind HTTP that records the completed tasks."""

    def __init__(self, world, name, zone, address, heartbeat_address):
        self._address = address
        self._is_up = asyncio.Event()
        self._is_down = asyncio.Event()
        # Some keep their name when they restart.
        self.is_renamed = int(name.rpartition("-")[2]) % 2 == 0
        self._client = HttpClient(heartbeat_address, connections=2)
        self._calls = set()
        super().__init__(world, name, zone)

    async def serve(self):
        """Listens at its address while it is up.

        Connections end with its process, and further ones are refused.
        """
        limits = HttpLimits(idle_timeout=3600.0)
        while True:
            await self._is_up.wait()
            async with running_light_server(self._address, self, limits):
                await self._is_down.wait()

    def _reset(self):
        self._is_down.clear()
        self._is_up.set()
        super()._reset()

    def restart(self, down_seconds, is_planned=False):
        """Crashes, or leaves as announced, and restarts later."""
        if self.up:
            self._is_up.clear()
            self._is_down.set()
        super().restart(down_seconds, is_planned)

    def announce_once(self):
        """Sends a heartbeat over HTTP."""
        if not self.up:
            return
        self.sequence += 1
        self._send(self.announced_name, self._heartbeat())

    def announce_falsely(self, name, start):
        """Sends its agent a heartbeat of an executor that is not there.

        Args:
          name: Name of that executor.
          start: Its start, in milliseconds after its own.
        """
        born = max(0, self.started_at + start)
        self._send(name, self._heartbeat() | {"born": born})

    def _heartbeat(self):
        return {
            "service": "ordering",
            "address": self._address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "cold_left_ms": 0,
            "state": "draining" if self.leaving else "ready",
            "remaining_ms": 2000,
            "seq_no": self.sequence,
            "capacity": {
                "cpu": self.capacity.processor,
                "mem_mb": self.capacity.memory,
            },
            "labels": ["a"],
            "clock_ms": self.clock,
            "born": self.started_at,
        }

    def _send(self, name, body):
        task = asyncio.create_task(
            self._send_heartbeat(name, json.dumps(body).encode())
        )
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _send_heartbeat(self, name, body):
        # An agent that is down or paused does not receive the heartbeat.
        with contextlib.suppress(HttpError):
            await self._client.request(
                "PUT",
                f"/v1/instances/{urllib.parse.quote(name, safe='')}",
                timeout=HEARTBEAT_TIMEOUT_SECONDS,
                body=body,
            )

    def __call__(self, exchange):
        """Handles a request of the agent."""
        body = json.loads(exchange.request.body)
        expected = exchange.request.headers["x-gypsumline-expected-instance"]
        name = exchange.request.target.rpartition("/")[2]
        if name == "hold":
            self.handle_hold(
                self._make_hold_request(expected, body),
                None,
                self._make_answer_callback(exchange),
            )
            return
        order_type = OrderStart if name == "run-start" else OrderStop
        fields = {
            "executor": expected,
            "task": body["task"],
            "attempt": body["attempt"],
            "token": body["fencing_token"],
        }
        if order_type is OrderStart:
            fields |= {"spec": body["spec"], "lease_until": body["deadline_ms"]}
        self.handle_order(
            order_type(**fields), None, self._make_answer_callback(exchange)
        )

    def _make_hold_request(self, expected, body):
        return HoldRequest(
            number=0,
            sent_at=0.0,
            executor=expected,
            token=body["fencing_token"],
            acknowledged_end=body["last_seen"],
            lease_until=body.get("deadline_ms"),
            wait=body.get("wait_ms", 0) / 1000.0,
        )

    def _make_answer_callback(self, exchange):
        def answer(result):
            if not self.up:
                # A process that has crashed answers nothing; its server closes
                # the connection.
                return
            status, content = 200, {"clock_ms": self.clock}
            if isinstance(result, HoldReply):
                content |= {
                    "born": result.started_at,
                    "running": [[t, a, "", 100] for t, a in result.running],
                    "ended": [
                        [end.number, end.task, end.attempt, end.outcome, ""]
                        for end in result.ended
                    ],
                }
            else:
                status, reason = _STATUS_AND_REASON[result]
                content |= {"reason": reason}
            body = json.dumps(content).encode()
            exchange.respond(HttpResponse(status=status, body=body))

        return answer

    def _check_placement_rules(self, is_delayed):
        self.world.check_zone(self)

    def _poll(self, incarnation):
        known_count = len(self.ended)
        super()._poll(incarnation)
        for end in self.ended[known_count:]:
            if end.outcome == "done":
                self.world.done.add(end.task)


@contextlib.asynccontextmanager
async def running_executor(world, name, zone, address, heartbeat_address):
    """Yields an executor that handles requests at an address."""
    executor = SoakExecutor(world, name, zone, address, heartbeat_address)
    server = asyncio.create_task(executor.serve())
    try:
        yield executor
    finally:
        server.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await server
