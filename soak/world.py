"""Environment of a soak: addresses, callers, and checks of invariants."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import random
import socket

from gypsumline.runtime.http_client import HttpClient
from gypsumline.runtime.http_messages import HttpError
from gypsumline.testing.rows_store import Rows, running_store_endpoint
from properties.lease_executor import EVACUATION_LIMIT_SECONDS
from properties.lease_world import PROPAGATION_LIMIT_SECONDS, LeaseOracle
from soak.configuration import (
    PROGRAM_APPLY_MS,
    PROGRAM_CONTACT_MS,
    QUEUE_ATTEMPTS,
    OperatorConfigurationWriter,
)
from soak.executor import running_executor
from soak.programs import Program
from soak.proxy import Proxy

ZONES = ("north", "south", "west")
CALLER_PORT, READY_PORT, CONTROL_PORT, APP_PORT = 8161, 8167, 8166, 8165
STREAM_PORT, STORE_PORT, PROXY_PORT = 7720, 8169, 9000
RESERVATION_PORT = 8160
# Second numbers of the loopback networks 127.N.0.0 that soaks use.
FIRST_NETWORK, NETWORKS = 10, 200
RESUBMIT_SECONDS = 1.3
CALLER_TIMEOUT_SECONDS = 6.0
START_LIMIT_SECONDS = 60.0
ENTRIES_TABLE = "gypsumline-entries"


def _reserve_network(seed):
    """Returns a socket that reserves a loopback network for one soak.

    Soaks that run side by side get networks of their own.
    """
    for offset in range(NETWORKS):
        reservation = socket.socket()
        network = FIRST_NETWORK + (seed + offset) % NETWORKS
        try:
            reservation.bind((f"127.{network}.0.254", RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        return reservation
    raise OSError("all loopback networks are in use")


class SoakWorld:
    """Runs everything around the programs: store, executors, proxies, callers.

    It has the attributes that the executors of the random walks expect of a
    world.

    Attributes:
      oracle: Collects violations.
      sizes: Processor demand of each task, by key of the job.
      unanswered: Keys of jobs whose callers left an entry that was paused.
      done: Names of the completed tasks.
      zones_out: Time at which each excluded zone was taken out of service.
      store_cuts: End of the latest cut from the store, by program.
      store_faulted_at: End of the last fault of the store.
      active_store_faults: Number of faults of the store in progress.
      estimate_ms: Run time that callers declare, in milliseconds.
    """

    def __init__(self, seed, entries, agents, directory):
        self.rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self.oracle = LeaseOracle()
        self.executors = {}
        self.sizes = {}
        self.culprits = {}
        self.crash_downtime = 1.0
        self.unanswered = set()
        self.done = set()
        self.agents = {}
        self.entries = {}
        self.store_endpoints = {}
        self.proxies = {}
        self.rows = Rows(self._loop)
        self.zones_out = {}
        self.store_cuts = {}
        self.store_faulted_at = 0.0
        self.active_store_faults = 0
        self.estimate_ms = 200
        self.answers = {}
        self._directory = pathlib.Path(directory)
        self._directory.mkdir(parents=True, exist_ok=True)
        self._last_key = 0
        self._caller_tasks = set()
        self._reservation = _reserve_network(seed)
        self._network = int(self._reservation.getsockname()[0].split(".")[1])
        for number in range(entries):
            name = f"entry-{number}"
            self.entries[name] = self._program("entry", name, number)
        for number in range(agents):
            name = f"agent-{number}"
            self.agents[name] = self._program("agent", name, 100 + number)

    @property
    def now(self):
        return self._loop.time()

    def at(self, delay, action, *arguments):
        """Calls an action after a delay."""
        self._loop.call_later(delay, action, *arguments)

    def host_address(self, name):
        """Returns the loopback address of a program."""
        kind, _, number = name.partition("-")
        last = int(number) + (1 if kind == "entry" else 101)
        return f"127.{self._network}.0.{last}"

    def caller_address(self, entry):
        """Returns the address of an entry for callers."""
        return f"{self.host_address(entry)}:{CALLER_PORT}"

    def zone(self, name):
        """Returns the availability zone of a program."""
        return ZONES[int(name.partition("-")[2]) % len(ZONES)]

    @property
    def programs(self):
        return [*self.entries.values(), *self.agents.values()]

    def _program(self, role, name, number):
        host_address = self.host_address(name)
        lines = [
            f"node={name}",
            f"zone={self.zone(name)}",
            f"ip={host_address}",
            f"port_range={STREAM_PORT},{STREAM_PORT + 10}",
            f"platform.address=127.{self._network}.1.{number + 1}:{STORE_PORT}",
            "bounds.grace_s=6",
            f"bounds.contact_ms={PROGRAM_CONTACT_MS}",
            f"bounds.config_apply_ms={PROGRAM_APPLY_MS}",
        ]
        if role == "entry":
            lines += [
                f"listen.front={host_address}:{CALLER_PORT}",
                f"listen.ready={host_address}:{READY_PORT}",
            ]
        else:
            lines += [
                f"listen.control={host_address}:{CONTROL_PORT}",
                f"app={host_address}:{APP_PORT}",
                "service=ordering",
            ]
        return Program(role, name, "\n".join(lines) + "\n", self._directory)

    # Store, executors and proxies.

    @contextlib.asynccontextmanager
    async def running(self):
        """Runs the store, the executors and the proxies."""
        self.configuration_writer = OperatorConfigurationWriter(self)
        async with contextlib.AsyncExitStack() as stack:
            for number, name in enumerate([*self.entries, *self.agents]):
                offset = 0 if name in self.entries else 100 - len(self.entries)
                address = (
                    f"127.{self._network}.1.{number + offset + 1}:{STORE_PORT}"
                )
                store_endpoint = running_store_endpoint(
                    address, self.rows, self._make_translator(name), self.rng
                )
                self.store_endpoints[name] = await stack.enter_async_context(
                    store_endpoint
                )
            for name in self.agents:
                host_address = self.host_address(name)
                executor = running_executor(
                    self,
                    name,
                    self.zone(name),
                    f"{host_address}:{APP_PORT}",
                    f"{host_address}:{CONTROL_PORT}",
                )
                found = await stack.enter_async_context(executor)
                self.executors[name] = found
                found.announce()
                for number, entry in enumerate(self.entries):
                    proxy = Proxy(f"{self.host_address(entry)}:{STREAM_PORT}")
                    server = await asyncio.start_server(
                        proxy.accept, host_address, PROXY_PORT + number
                    )
                    stack.callback(server.close)
                    self.proxies[name, entry] = proxy
            yield
            for task in list(self._caller_tasks):
                task.cancel()
            await asyncio.gather(*self._caller_tasks, return_exceptions=True)
        self._reservation.close()

    def _make_translator(self, reader):
        """Replaces addresses of entries by those of the agent's proxies."""

        def translate(table, key, value):
            if table != ENTRIES_TABLE or reader not in self.agents:
                return value
            if key not in self.entries:
                return value
            row = json.loads(value)
            port = PROXY_PORT + list(self.entries).index(key)
            row["address"] = f"{self.host_address(reader)}:{port}"
            return json.dumps(row).encode()

        return translate

    async def wait_until_connected(self):
        """Waits until each agent has had a stream to each entry."""
        async with asyncio.timeout(START_LIMIT_SECONDS):
            for proxy in self.proxies.values():
                await proxy.was_connected.wait()

    # Faults.

    def undisturbed_since(self, name):
        """Returns the time of the last fault of a program or the store."""
        if self.active_store_faults:
            return self.now
        program = {**self.entries, **self.agents}[name]
        cut_until = self.store_cuts.get(name, 0.0)
        return max(program.faulted_at, self.store_faulted_at, cut_until)

    # Zones.

    def set_zone_out(self, zone):
        """Takes one zone out of service and returns the others; "" for none."""
        rows = [("op", f"evacuate/{zone}", b"{}")] if zone else []
        returned = [
            ("op", f"evacuate/{other}")
            for other in self.zones_out
            if other != zone
        ]
        self.rows.write(rows, returned)
        self.zones_out = {zone: self.now} if zone else {}

    def check_zone(self, executor):
        """Checks that nothing starts in a zone that was excluded long ago.

        This holds only if neither its agent nor the store had a fault
        recently.
        """
        since = self.zones_out.get(executor.zone)
        if since is None:
            return
        calm = self.now - self.undisturbed_since(executor.name)
        is_undisturbed = (
            calm > PROPAGATION_LIMIT_SECONDS + EVACUATION_LIMIT_SECONDS
        )
        if is_undisturbed and self.now - since > EVACUATION_LIMIT_SECONDS:
            self.oracle.fail(f"start in excluded zone {executor.zone}")

    # Callers.

    def submit(
        self,
        timeout=CALLER_TIMEOUT_SECONDS,
        crash_delay=None,
        first_entry=None,
        patience=CALLER_TIMEOUT_SECONDS,
        unheard=0.0,
    ):
        """Submits a job as a new caller and returns the task of the caller.

        Args:
          timeout: Time for which the caller waits, in seconds.
          crash_delay: Seconds after which its first task crashes an executor.
          first_entry: Entry that it tries first, and never again; None for any.
          patience: Time after which it leaves that entry, in seconds.
          unheard: Time for which that entry does not hear that it has left.
        """
        self._last_key += 1
        key = f"{self._last_key:016x}"
        if crash_delay is not None:
            self.culprits[f"{key}.0.0.0"] = crash_delay
        return self._keep_task(
            self._run_caller(key, timeout, first_entry, patience, unheard)
        )

    def _keep_task(self, coroutine):
        """Returns a task that ends with the world at the latest."""
        task = asyncio.create_task(coroutine)
        self._caller_tasks.add(task)
        task.add_done_callback(self._caller_tasks.discard)
        return task

    async def _run_caller(self, key, timeout, first_entry, patience, unheard):
        count = self.rng.choice((1, 2, 4))
        self.sizes[key] = self.rng.choice((500, 2000, 3000))
        step = {
            "count": count,
            "cpu": self.sizes[key],
            "mem_mb": 64,
            "estimate_ms": self.estimate_ms,
        }
        body = {"spec": "s", "steps": [step], "best_effort": True}
        end = self.now + 3 * timeout
        entries = list(self.entries)
        if first_entry is not None:
            self.unanswered.add(key)
            # For the entry the connection lasts, as after a cut.
            first_request = self._keep_task(
                self._send_job(first_entry, key, body, patience + unheard)
            )
            await asyncio.wait([first_request], timeout=patience)
            await asyncio.sleep(RESUBMIT_SECONDS)
            entries.remove(first_entry)
        while self.now < end:
            name = self.rng.choice(entries)
            status, answer = await self._send_job(name, key, body, timeout)
            if status == 503:
                self.oracle.refused.add(key)
                return "refused"
            if status == 200:
                return self._check_answer(key, count, answer)
            await asyncio.sleep(RESUBMIT_SECONDS)
        return "given up"

    async def _send_job(self, name, key, body, timeout):
        client = HttpClient(self.caller_address(name), 1)
        try:
            answer = await client.request(
                "POST",
                f"/cards/{key}",
                timeout=timeout,
                headers={
                    "Host": "cards.example",
                    "X-Gypsumline-Timeout-Remaining": str(int(1000 * timeout)),
                },
                body=json.dumps(body).encode(),
            )
        except HttpError:
            # The outcome is unknown, so the caller submits the job again.
            return 0, b""
        finally:
            client.close()
        return answer.status, answer.body

    def _check_answer(self, key, count, body):
        state = json.loads(body)["state"]
        if state == "completed":
            names = {f"{key}.0.0.{index}" for index in range(count)}
            if not names <= self.done:
                self.oracle.fail(f"{key} completed with {names - self.done}")
            self.oracle.completed += 1
        elif state == "failed":
            self.oracle.check_failed_job(key, QUEUE_ATTEMPTS, self.now)
        return state
