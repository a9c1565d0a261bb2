"""Stand-in for an executor, with the rules of PROTOCOL.md, "Running tasks".

The spec of a job is a JSON text: `ms` is the run time of each task, or a list
with one run time for each step; `deadly` names the task (STEP.INDEX) that
crashes the executor after its run time.
"""

import asyncio
import contextlib
import json
import time

from standins.wire import SILENT, Server, call

HOLD_MAX_MS = 1000
STOP_MS = 20


class _Run:
    def __init__(self, task, attempt, spec, now):
        self.task, self.attempt = task, attempt
        step, index = task.split(".")[2:]
        fields = json.loads(spec)
        ms = fields["ms"]
        self.ends_at = now + (ms[int(step)] if isinstance(ms, list) else ms)
        self.is_deadly = fields.get("deadly") == f"{step}.{index}"
        self.stops_at = None


class Executor:
    """One machine's executor, which may crash and start again.

    Args:
      world: Has `record(event, **fields)` and `on_start` / `on_end` hooks.
      name: Its id at the first start.
      address: Where it takes orders.
      control: Address for its heartbeats.
      zone: Its zone.
      keeps_id: Whether it starts again under its id.
    """

    def __init__(self, world, name, address, control, zone, keeps_id=True):
        self.world, self.name, self.zone = world, name, zone
        self.address, self.control = address, control
        self.labels = ["a", "r1-1"]
        self.capacity = {"cpu": 16000, "mem_mb": 65536, "gpu": 0}
        self.state = "ready"
        self.remaining_ms = None
        # Added to the host's time of day, as a jump of its clock.
        self.clock_offset_ms = 0
        # So many start orders get no answer and are carried out after this
        # time, in seconds.
        self.late_orders = 0
        self.late_after = 0.0
        # Time from the start to the first heartbeat.
        self.first_beat_s = 0.0
        self.is_up = False
        self.is_cut = False
        self.acked_states = []
        self._noted_state = ""
        self._keeps_id = keeps_id
        self._boots = 0
        self._is_dark = False
        self._server = None
        self._tasks = []
        self._late = set()

    @property
    def id(self):
        """Id of the present boot."""
        return self.name if self._keeps_id else f"{self.name}-{self._boots}"

    @property
    def clock(self):
        """Milliseconds on its steady clock."""
        return int(1000 * (time.monotonic() - self._started))

    async def start(self):
        """Boots: it holds nothing and its counts start anew."""
        self._boots += 1
        self._started = time.monotonic()
        self.born = int(1000 * time.time()) + self.clock_offset_ms
        self.sequence = self.token = self.lease_until = 0
        self.last_end = 0
        self.runs, self.ended, self.highest = {}, [], {}
        self._news = asyncio.Event()
        self.state, self.is_up, self._is_dark = "ready", True, False
        self._server = Server(self._handle)
        await self._server.open(self.address)
        self.world.record("executor starts", executor=self.id, born=self.born)
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._work()),
        ]

    async def crash(self, dark=False):
        """Ends all that runs; a dark one leaves its peers without an answer."""
        self.is_up = False
        self.world.record("executor crashes", executor=self.id, dark=dark)
        for run in list(self.runs.values()):
            self.world.on_end(self, run, "crashed")
        self.runs.clear()
        for task in self._tasks:
            if task is not asyncio.current_task():
                task.cancel()
        self._is_dark = dark
        if not dark:
            await self._server.close()

    async def cut(self):
        """Cuts it off: connections are reset and refused, its runs go on."""
        self.is_cut = True
        self.world.record("executor cut off", executor=self.id)
        await self._server.close()

    async def heal(self):
        """Ends the cut."""
        self._server = Server(self._handle)
        await self._server.open(self.address)
        self.is_cut = False
        self.world.record("cut has healed", executor=self.id)

    async def restart(self):
        """Starts again after a crash."""
        await self._server.close()
        await self.start()

    async def close(self):
        """Ends it for good."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            await self._server.close()

    def heartbeat(self):
        """Returns the body of the next heartbeat."""
        self.sequence += 1
        body = {
            "service": self.world.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": self.clock,
            "seq_no": self.sequence,
            "born": self.born,
        }
        if self.state == "draining":
            body["remaining_ms"] = self.remaining_ms
        return body

    async def beat_once(self):
        """Sends a heartbeat; notes when a state is acknowledged."""
        body = self.heartbeat()
        status, _ = await call(
            self.control,
            "PUT",
            f"/v1/instances/{self.id}",
            body=json.dumps(body).encode(),
            timeout=1.0,
        )
        if status == 200:
            self.acked_states.append((time.monotonic(), body["state"]))
            if body["state"] != self._noted_state:
                self._noted_state = body["state"]
                self.world.record(
                    "heartbeat acknowledged",
                    executor=self.id,
                    state=body["state"],
                )

    async def _beat(self):
        await asyncio.sleep(self.first_beat_s)
        while True:
            if not self.is_cut:
                await self.beat_once()
            await asyncio.sleep(self.world.heartbeat_s)

    async def _work(self):
        while True:
            now = self.clock
            for run in list(self.runs.values()):
                if now >= self.lease_until:
                    self._end(run, "lapsed")
                elif run.stops_at is not None and now >= run.stops_at:
                    self._end(run, "stopped")
                elif now >= run.ends_at and run.is_deadly:
                    await self.world.on_deadly(self, run)
                    return
                elif now >= run.ends_at:
                    self._end(run, "done")
            await asyncio.sleep(0.002)

    def _end(self, run, how):
        del self.runs[run.task]
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.attempt, how, ""])
        self.world.on_end(self, run, how)
        self._news.set()

    async def _handle(self, method, target, headers, body):
        if self._is_dark or not self.is_up:
            return SILENT
        if headers.get("x-gypsumline-expected-instance") != self.id:
            return 421, {"clock_ms": self.clock}
        fields = json.loads(body)
        if target == "/v1/run-start" and self.late_orders:
            self.late_orders -= 1
            self._carry_out_later(fields)
            return SILENT
        return await self._carry_out(target, fields)

    def _carry_out_later(self, fields):
        """Carries an order out later, if this id then takes orders at all."""

        async def carry_out():
            if self.is_up and not self._is_dark:
                status, answer = await self._carry_out("/v1/run-start", fields)
                self.world.record(
                    "late order",
                    task=fields["task"],
                    executor=self.id,
                    status=status,
                    reason=answer.get("reason", "-"),
                )

        loop = asyncio.get_running_loop()
        loop.call_later(
            self.late_after,
            lambda: self._late.add(loop.create_task(carry_out())),
        )

    async def _carry_out(self, target, fields):
        if fields.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock, "reason": "fence"}
        self.token = fields.get("fencing_token", 0)
        if target == "/v1/run-start":
            return self._start_run(fields)
        if target == "/v1/run-stop":
            return self._stop_run(fields)
        if target == "/v1/hold":
            return await self._hold(fields)
        return 404, None

    def _extend(self, until):
        limit = self.clock + HOLD_MAX_MS
        self.lease_until = max(self.lease_until, min(until, limit))

    def _start_run(self, fields):
        task, attempt = fields["task"], fields["attempt"]
        if fields["deadline_ms"] <= self.clock:
            return 409, {"clock_ms": self.clock, "reason": "late"}
        self._extend(fields["deadline_ms"])
        running = self.runs.get(task)
        if running is not None and running.attempt == attempt:
            return 200, {"clock_ms": self.clock}
        if running is not None or attempt <= self.highest.get(task, 0):
            return 409, {"clock_ms": self.clock, "reason": "old"}
        self.highest[task] = attempt
        run = _Run(task, attempt, fields["spec"], self.clock)
        self.runs[task] = run
        self.world.on_start(self, run, fields)
        return 200, {"clock_ms": self.clock}

    def _stop_run(self, fields):
        task, attempt = fields["task"], fields["attempt"]
        self.highest[task] = max(attempt, self.highest.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.attempt <= attempt and run.stops_at is None:
            run.stops_at = self.clock + STOP_MS
        return 200, {"clock_ms": self.clock}

    async def _hold(self, fields):
        if "deadline_ms" in fields:
            self._extend(fields["deadline_ms"])
        seen = fields["last_seen"]
        self.ended = [end for end in self.ended if end[0] > seen]
        if not self.ended and fields.get("wait_ms"):
            self._news.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(fields["wait_ms"] / 1000.0):
                    await self._news.wait()
        return 200, {
            "clock_ms": self.clock,
            "born": self.born,
            "running": [
                [run.task, run.attempt, "", 100, 0]
                for run in self.runs.values()
            ],
            "ended": self.ended[:500],
        }
