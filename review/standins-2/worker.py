"""Stand-in for an executor, by PROTOCOL.md: orders are calls (`rpc`)."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import time

from plain_http import Server, call

HEARTBEAT_SECONDS = 1.5
HOLD_MAX_MS = 1000
STOP_SECONDS = 0.02
POLL_SECONDS = 0.005
# Time after which a late order is carried out.
LATE_SECONDS = (2.0, 12.0)


@dataclasses.dataclass
class _Run:
    attempt: int
    ends_at: float
    how: str = "done"


class Worker:
    """An executor that does not guard its capacity.

    Args:
      name: Its id, which it keeps when it starts again.
      zone: Its zone.
      address: Host and port for calls of its agent.
      control: Host and port of its agent for heartbeats.
      labels: Its kind and its rack.
      record: Called with an event and its fields.
      run_seconds: Returns the run time of a spec.
    """

    def __init__(
        self, name, zone, address, control, labels, record, run_seconds
    ):
        self.name = name
        self.zone = zone
        self.labels = labels
        self.capacity = {"cpu": 8000, "mem_mb": 32768}
        self._address = address
        self._control = control
        self._record = record
        self._run_seconds = run_seconds
        self._tasks = []
        self._server = None
        self._rng = random.Random(name)
        self._late = set()
        self._late_share = 0.0
        self._late_until = 0.0
        self._up = asyncio.Event()

    async def start(self, first_heartbeat=0.0):
        """Begins a boot that knows nothing of the one before.

        Args:
          first_heartbeat: Seconds until its first heartbeat.
        """
        self.born = int(1000 * time.time())
        self._began = time.monotonic()
        self._sequence = 0
        self._token = 0
        self._lease_until = 0
        self._runs = {}
        self._highest = {}
        self._ended = []
        self._end_number = 0
        self._ending = asyncio.Event()
        self._is_up = True
        host, _, port = self._address.rpartition(":")
        self._server = Server(host, int(port), self._handle)
        await self._server.start()
        self._record("boot", worker=self.name, labels=self.labels)
        self._up.set()
        self._tasks = [
            asyncio.create_task(self._beat(first_heartbeat)),
            asyncio.create_task(self._poll()),
        ]

    def delay_orders(self, share, seconds):
        """Leaves a share of the orders unanswered, and does them late."""
        self._late_share = share
        self._late_until = time.monotonic() + seconds

    def crash(self):
        """Ends like a killed process: all connections are reset."""
        self._is_up = False
        self._up.clear()
        self._record("crash", worker=self.name, runs=sorted(self._runs))
        for task in self._tasks:
            task.cancel()
        self._server.abort()

    @property
    def _clock(self):
        return int(1000 * (time.monotonic() - self._began))

    async def _beat(self, first_heartbeat):
        await asyncio.sleep(first_heartbeat)
        while True:
            self._sequence += 1
            body = {
                "service": "ordering",
                "address": self._address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "clock_ms": self._clock,
                "seq_no": self._sequence,
                "born": self.born,
            }
            status, _ = await call(
                self._control,
                "PUT",
                f"/v1/instances/{self.name}",
                body,
                timeout=1.0,
            )
            self._record("heartbeat", worker=self.name, status=status)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _poll(self):
        while True:
            await asyncio.sleep(POLL_SECONDS)
            now = time.monotonic()
            has_lapsed = self._clock > self._lease_until
            for task, run in list(self._runs.items()):
                if now >= run.ends_at:
                    self._end(task, run, run.how)
                elif has_lapsed:
                    self._end(task, run, "lapsed")

    def _end(self, task, run, how):
        del self._runs[task]
        self._end_number += 1
        self._highest[task] = max(self._highest.get(task, 0), run.attempt)
        self._ended.append([self._end_number, task, run.attempt, how, ""])
        self._record("end", worker=self.name, task=task, how=how)
        self._ending.set()
        self._ending = asyncio.Event()

    async def _handle(self, method, target, headers, body):
        if not self._is_up:
            return None
        if headers.get("x-gypsumline-expected-instance") != self.name:
            return 421, {}
        order = json.loads(body)
        is_late = time.monotonic() < self._late_until
        if is_late and self._rng.random() < self._late_share:
            late = asyncio.create_task(self._carry_out_late(target, order))
            self._late.add(late)
            late.add_done_callback(self._late.discard)
            # The caller gets no answer on this connection.
            await asyncio.sleep(LATE_SECONDS[1])
            return None
        return await self._carry_out(target, order)

    async def _carry_out_late(self, target, order):
        """Carries an order out seconds later, or when it is up again."""
        await asyncio.sleep(self._rng.uniform(*LATE_SECONDS))
        await self._up.wait()
        self._record("late order", worker=self.name, target=target, **order)
        await self._carry_out(target, order)

    async def _carry_out(self, target, order):
        if order["fencing_token"] < self._token:
            return self._conflict("fence")
        self._token = order["fencing_token"]
        if target == "/v1/hold":
            return await self._hold(order)
        if target == "/v1/run-start":
            return self._start_run(order)
        if target == "/v1/run-stop":
            return self._stop_run(order)
        return 404, {}

    def _conflict(self, reason):
        return 409, {"clock_ms": self._clock, "reason": reason}

    def _extend(self, order):
        if "deadline_ms" in order:
            until = min(order["deadline_ms"], self._clock + HOLD_MAX_MS)
            self._lease_until = max(self._lease_until, until)

    def _start_run(self, order):
        task, attempt = order["task"], order["attempt"]
        self._extend(order)
        present = self._runs.get(task)
        if present is not None and present.attempt == attempt:
            return 200, {"clock_ms": self._clock}
        if attempt <= self._highest.get(task, 0) or present is not None:
            return self._conflict("old")
        if order["deadline_ms"] <= self._clock:
            return self._conflict("late")
        ends_at = time.monotonic() + self._run_seconds(order["spec"])
        self._runs[task] = _Run(attempt, ends_at)
        self._record(
            "start",
            worker=self.name,
            labels=self.labels,
            task=task,
            attempt=attempt,
            spec=order["spec"],
        )
        return 200, {"clock_ms": self._clock}

    def _stop_run(self, order):
        task, attempt = order["task"], order["attempt"]
        self._highest[task] = max(self._highest.get(task, 0), attempt)
        run = self._runs.get(task)
        if run is not None and run.attempt == attempt and run.how == "done":
            run.how = "stopped"
            run.ends_at = time.monotonic() + STOP_SECONDS
        return 200, {"clock_ms": self._clock}

    async def _hold(self, order):
        self._extend(order)
        seen = order["last_seen"]
        self._ended = [end for end in self._ended if end[0] > seen]
        if not self._ended and order.get("wait_ms"):
            try:
                async with asyncio.timeout(order["wait_ms"] / 1000.0):
                    await self._ending.wait()
            except TimeoutError:
                pass
        return 200, {
            "clock_ms": self._clock,
            "born": self.born,
            "running": [
                [task, run.attempt, "", 100, 0]
                for task, run in sorted(self._runs.items())
            ],
            "ended": self._ended[:500],
        }
