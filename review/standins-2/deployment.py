"""A small deployment: the project's programs with the stand-ins around them.

Entries and agents are started with the commands of the deploy file, with
settings like those that DEPLOY.md shows.
"""

from __future__ import annotations

import asyncio
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

from plain_http import call
from store import Store
from worker import Worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("north", "south", "west")
HOST = "cards.example"
FRONT, READY, CONTROL, APP = 8161, 8167, 8166, 8165
STREAM, STORE, GUARD = 7720, 8169, 8160
READY_SECONDS = 20.0
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
    "remote_factor": 1.5,
    "retransmit_ms": 1300,
}


class CannotRunError(Exception):
    """The deployment did not become ready."""


class Program:
    """One process of the project."""

    def __init__(self, role, name, lines, folder):
        self.name = name
        self.exits = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = deploy["roles"][role]["run"].split()
        self._settings = folder / f"{name}.conf"
        self._settings.write_text("\n".join(lines) + "\n")
        self._log = folder / f"{name}.log"
        self.process = None

    async def start(self):
        """Starts the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["GYPSUMLINE_NODE_FILE"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *self._command,
                stdout=output,
                stderr=output,
                env=environment,
                cwd=ROOT,
            )

    def send(self, number):
        """Sends a signal if the process runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        """Kills the process and waits for its end."""
        if self.process is not None:
            self.send(signal.SIGKILL)
            await self.process.wait()

    @property
    def output(self):
        """What the process has written so far."""
        return self._log.read_text(errors="replace")


class Deployment:
    """Store, programs and executors on loopback addresses.

    Args:
      record_path: File of the record.
      entries: Number of entries.
      labels: Labels of each executor; their number is that of the agents.
    """

    def __init__(self, record_path, entries, labels):
        self._began = time.monotonic()
        self._record_file = record_path.open("w")
        self.events = []
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._guard, network = _reserve_network()
        self.store = Store(f"127.{network}.1.1", STORE)
        self.entries = []
        self.agents = []
        self.workers = []
        for number in range(entries):
            host = f"127.{network}.0.{number + 1}"
            lines = [f"listen.front={host}:{FRONT}"]
            lines += [f"listen.ready={host}:{READY}"]
            self.entries.append(self._program("entry", number, host, lines))
            self.entries[-1].host = host
        for number, kinds in enumerate(labels):
            host = f"127.{network}.0.{number + 101}"
            lines = [f"listen.control={host}:{CONTROL}"]
            lines += [f"app={host}:{APP}", "service=ordering"]
            self.agents.append(self._program("agent", number, host, lines))
            self.workers.append(
                Worker(
                    f"i-{number}",
                    ZONES[number % len(ZONES)],
                    f"{host}:{APP}",
                    f"{host}:{CONTROL}",
                    list(kinds),
                    self.record,
                    float,
                )
            )

    def _program(self, role, number, host, lines):
        name = f"{role}-{number}"
        common = [
            f"node={name}",
            f"zone={ZONES[number % len(ZONES)]}",
            f"ip={host}",
            f"port_range={STREAM},{STREAM + 15}",
            "heartbeat_ms=1500",
            "orders=rpc",
            f"platform.address={self.store.address}",
            *(f"bounds.{key}={value}" for key, value in BOUNDS.items()),
        ]
        return Program(role, name, [*common, *lines], self._folder)

    def record(self, event, **fields):
        """Writes an event to the record."""
        at = round(self.now, 3)
        line = {"at": at, "event": event, **fields}
        self.events.append(line)
        self._record_file.write(json.dumps(line) + "\n")
        self._record_file.flush()

    @property
    def now(self):
        """Seconds since the start of the record."""
        return time.monotonic() - self._began

    def of(self, event):
        """Returns the recorded events of a kind."""
        return [each for each in self.events if each["event"] == event]

    async def start(self):
        """Starts everything and waits until all entries are ready."""
        await self.store.start()
        route = {
            "name": "cards",
            "host": HOST,
            "path_prefix": "/cards/",
            "service": "ordering",
            "priority": 0,
            "max_attempts": 4,
            "stretch": 1.6,
            "target_latency_ms": 60,
        }
        config = {
            "version": 3,
            "routes": [route],
            "services": [{"name": "ordering", "rejects_overload": False}],
        }
        self.store.write([("op", "config", json.dumps(config).encode())])
        for program in [*self.entries, *self.agents]:
            await program.start()
        for worker in self.workers:
            await worker.start()
        for entry in self.entries:
            await self.wait_ready(entry)
        # Agents join the list of an entry within a few pings.
        await asyncio.sleep(3.0)

    async def wait_ready(self, entry):
        """Waits until an entry says that it is ready."""
        deadline = time.monotonic() + READY_SECONDS
        address = f"{entry.host}:{READY}"
        while time.monotonic() < deadline:
            status, _ = await call(address, "GET", "/v1/readiness", timeout=1.0)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{entry.name} is not ready")

    async def submit(self, entry, key, steps, timeout=10.0, spec="0.1"):
        """Submits a job that need not be kept; returns status and body."""
        body = {"spec": spec, "steps": steps, "best_effort": True}
        headers = {
            "Host": HOST,
            "X-Gypsumline-Timeout-Remaining": str(int(1000 * timeout)),
        }
        self.record("sent", job=key, to=entry.name)
        status, answer = await call(
            f"{entry.host}:{FRONT}",
            "POST",
            f"/cards/{key}",
            body,
            headers,
            timeout,
        )
        self.record("answered", job=key, status=status, body=answer)
        return status, answer

    async def cancel(self, entry, key, timeout=1.0):
        """Cancels a job; returns the status, 0 if there is no answer."""
        self.record("cancel", job=key, to=entry.name)
        status, answer = await call(
            f"{entry.host}:{FRONT}",
            "DELETE",
            f"/cards/{key}",
            None,
            {"Host": HOST},
            timeout,
        )
        self.record("cancelled", job=key, status=status, body=answer)
        return status

    async def stop(self):
        """Ends all processes."""
        for program in [*self.entries, *self.agents]:
            await program.end()
        self._guard.close()
        self._record_file.close()
        if os.environ.get("KEEP"):
            print(self._folder, file=sys.stderr)  # noqa: T201
        else:
            shutil.rmtree(self._folder)


def _reserve_network():
    """Returns a socket that reserves a loopback network, and its number."""
    numbers = list(range(20, 240))
    random.SystemRandom().shuffle(numbers)
    for number in numbers:
        guard = socket.socket()
        try:
            guard.bind((f"127.{number}.0.254", GUARD))
        except OSError:
            guard.close()
            continue
        return guard, number
    raise CannotRunError("no loopback network is free")


def key(number):
    """Returns the id of a job."""
    return f"{number:016x}"


def run_case(scenario, record_path, entries, labels):
    """Runs a scenario; returns the exit status of the case.

    Args:
      scenario: Coroutine function of the deployment and whether there is a
        disruption; returns what breaks the rule, as texts.
      record_path: File of the record.
      entries: Number of entries.
      labels: Labels of each executor.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = Deployment(record_path, entries, labels)
        try:
            await deployment.start()
            async with asyncio.timeout(100.0):
                broken = await scenario(deployment, has_trouble)
            for text in broken:
                deployment.record("broken", text=text)
            deployment.record("result", broken=len(broken))
            return 1 if broken else 0
        except (CannotRunError, TimeoutError, OSError) as error:
            deployment.record("could not run", detail=repr(error))
            return 2
        finally:
            for worker in deployment.workers:
                worker.crash()
            await deployment.stop()

    return asyncio.run(run())
