"""A small installation: store, executors and the programs of the deploy file.

All addresses are loopback addresses of a network 127.N.0.0 that was free. The
machines have the bounds of the site halloran-rail.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

from standins.executor import Executor
from standins.store import Endpoint, Store
from standins.wire import call

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, APP, STORE = 8161, 8167, 8166, 8165, 8169
SERVICE = "rail-estimator"
HOST, PREFIX, QUEUE = "halloran.example", "/rung/", "rung-check"
BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "evacuate_ms": 5000,
    "hold_max_ms": 1000,
    "stop_ms": 50,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "remote_factor": 1.5,
    "retransmit_ms": 1300,
}
# `run.sh` turns the second one into 1, and any other status, as that of an
# unexpected error, into 2.
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 10, 2


class NotRunError(Exception):
    """The case could not run, so it shows nothing."""


class Program:
    """A process of the deploy file."""

    def __init__(self, role, name, settings, directory):
        self.name = name
        self._log = directory / f"{name}.log"
        self._conf = directory / f"{name}.conf"
        self._conf.write_text("".join(f"{k}={v}\n" for k, v in settings))
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            run = tomllib.load(file)["roles"][role]["run"]
        self._command = run.split(" ")
        self.process = None

    async def start(self):
        """Starts it with the command of the deploy file."""
        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["GYPSUMLINE_NODE_FILE"] = str(self._conf)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Sends a signal unless it has ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        """Kills it and waits for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    @property
    def log(self):
        """Its output so far."""
        return self._log.read_text(errors="replace")


class World:
    """Runs the installation and keeps the record of a case."""

    service = SERVICE
    heartbeat_s = 1.5

    def __init__(self, folder, entries, agents, zones=("worcester", "lowell")):
        self._record = (pathlib.Path(folder) / "record.txt").open("w")
        self._began = time.monotonic()
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._zones = zones
        self._network = _free_network(entries + agents)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        # How each machine reaches the store, by its number.
        self.endpoints = [Endpoint(self.store) for _ in range(entries + agents)]
        self.entries, self.agents, self.executors = [], [], []
        # Programs that the case starts itself.
        self.late_programs = []
        self.active, self.starts, self.overlaps = {}, [], []
        for number in range(entries):
            self.entries.append(self._entry(number))
        for number in range(agents):
            self._agent(number, entries + number)

    # The record.

    @property
    def now(self):
        """Seconds since the start of the case."""
        return time.monotonic() - self._began

    def record(self, event, **fields):
        """Writes a line of the record."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        if self._record.closed:
            return
        self._record.write(f"{self.now:8.3f} {event} {text}".rstrip() + "\n")
        self._record.flush()

    def on_start(self, executor, run, fields):
        """Notes a start, and whether another run of its task is there."""
        others = self.active.setdefault(run.task, {})
        self.starts.append((self.now, run.task, executor.id))
        self.record(
            "start",
            task=run.task,
            attempt=run.attempt,
            executor=executor.id,
            beside=",".join(others) or "-",
        )
        for other in others:
            self.overlaps.append((run.task, other, executor.id))
        others[executor.id] = self.now

    def on_end(self, executor, run, how):
        """Notes the end of a run."""
        self.active.get(run.task, {}).pop(executor.id, None)
        self.record("end", task=run.task, executor=executor.id, how=how)

    async def on_deadly(self, executor, run):
        """Crashes an executor under a deadly task."""
        await executor.crash()

    # The programs.

    def _address(self, number, port):
        return f"127.{self._network}.0.{number + 1}:{port}"

    def _settings(self, name, role, zone, number):
        ip = f"127.{self._network}.0.{number + 1}"
        lines = [("node", name), ("role", role), ("ip", ip), ("zone", zone)]
        lines += [(f"zones.{z}", "new-england") for z in self._zones]
        lines += [("region", "new-england"), ("port_range", "7720,7735")]
        lines += [("heartbeat_ms", 1500), ("orders", "rpc")]
        lines += [("platform.address", self._address(100 + number, STORE))]
        lines += [(f"bounds.{name}", value) for name, value in BOUNDS.items()]
        return lines

    def spare_address(self, number):
        """Returns an address beside those of the programs."""
        return self._address(number, FRONT)

    def zone(self, number):
        """Returns the zone of a machine of its class."""
        return self._zones[number % len(self._zones)]

    def _entry(self, number):
        name = f"front-{number + 1}"
        lines = self._settings(name, "entry", self.zone(number), number)
        lines.append(("listen.front", self._address(number, FRONT)))
        lines.append(("listen.ready", self._address(number, READY)))
        program = Program("entry", name, lines, self._directory)
        program.front = self._address(number, FRONT)
        program.ready = self._address(number, READY)
        return program

    def _agent(self, number, host):
        name, zone = f"side-{number + 1}", self.zone(number)
        control, app = self._address(host, CONTROL), self._address(host, APP)
        lines = self._settings(name, "agent", zone, host)
        lines += [("listen.control", control), ("app", app)]
        lines += [("service", SERVICE)]
        self.agents.append(Program("agent", name, lines, self._directory))
        executor = Executor(self, f"i-{number + 1}", app, control, zone)
        self.executors.append(executor)

    def put_config(self, version, routes=None):
        """Writes a config as the operator does."""
        route = {
            "name": QUEUE,
            "host": HOST,
            "path_prefix": PREFIX,
            "type": "non_idempotent",
            "timeout_ms": 1500,
            "target_latency_ms": 60,
            "priority": 0,
            "service": SERVICE,
            "max_attempts": 4,
            "stretch": 1.6,
        }
        config = {
            "version": version,
            "routes": routes or [route],
            "services": [{"name": SERVICE, "rejects_overload": False}],
            "limits": {},
        }
        self.store.put("op", "config", config)

    @contextlib.asynccontextmanager
    async def running(self):
        """Runs all until the end of the block, then ends what it started."""
        try:
            for number, endpoint in enumerate(self.endpoints):
                address = self._address(100 + number, STORE)
                await endpoint.server.open(address)
            self.put_config(1)
            for program in self.entries + self.agents:
                if program not in self.late_programs:
                    await program.start()
            for executor in self.executors:
                await executor.start()
            await self.wait_ready(self.entries)
            # Every agent has a stream to every entry by then.
            await asyncio.sleep(3.0)
            yield self
        finally:
            self.record("end of the case")
            for executor in self.executors:
                await executor.close()
            for program in self.entries + self.agents:
                await program.kill()
            for endpoint in self.endpoints:
                await endpoint.server.close()

    async def wait_ready(self, entries, limit=25.0):
        """Waits until entries report themselves ready."""
        end = time.monotonic() + limit
        for entry in entries:
            while (await call(entry.ready, "GET", "/v1/readiness"))[0] != 200:
                if time.monotonic() > end:
                    raise NotRunError(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)

    def finish(self, broken):
        """Writes the verdict; returns the exit status."""
        self.record("verdict", rule="broken" if broken else "held")
        self._record.close()
        shutil.rmtree(self._directory, ignore_errors=True)
        return EXIT_BROKEN if broken else EXIT_HELD

    # Callers.

    async def post(self, entry, key, job, budget_ms=20000, timeout=None):
        """Hands a job in at an entry; returns status and body."""
        self.record("POST sent", job=key, to=entry.name)
        status, body = await call(
            entry.front,
            "POST",
            PREFIX + key,
            {"Host": HOST, "X-Gypsumline-Timeout-Remaining": budget_ms},
            json.dumps(job).encode(),
            timeout or budget_ms / 1000.0,
        )
        self.record("POST answered", job=key, status=status, body=body)
        return status, body


def job(spec, *steps):
    """Returns a best-effort job; each step is a dictionary of its fields."""
    return {
        "spec": json.dumps(spec),
        "best_effort": True,
        "steps": [{"cpu": 1600, "mem_mb": 64} | step for step in steps],
    }


def new_key():
    """Returns an ID of 16 hexadecimal digits."""
    return f"{random.getrandbits(64):016x}"


def _free_network(hosts):
    """Returns N of a network 127.N.0.0 where the ports are free."""
    for network in random.sample(range(10, 250), 100):
        if all(_is_free(f"127.{network}.0.{n + 1}") for n in range(hosts)):
            return network
    raise NotRunError("no loopback network is free")


def _is_free(host):
    for port in (FRONT, READY, CONTROL, APP, 9464, 7720):
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def main(case):
    """Runs a case; exits with its status."""
    try:
        status = asyncio.run(asyncio.wait_for(case(), 110.0))
    except (NotRunError, TimeoutError) as error:
        sys.stderr.write(f"the case could not run: {error!r}\n")
        status = EXIT_NOT_RUN
    sys.exit(status)
