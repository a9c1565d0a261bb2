"""Complete local system on loopback, with a process for each member.

`python -m gypsumline.testing.local_system` starts the system, applies a
configuration, runs one job and stops all processes; `make run` calls it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import random
import sys
import time
from collections.abc import AsyncIterator, Iterable

import aiohttp
import pydantic
import pydantic_settings

from gypsumline.testing.network import Link, relay
from gypsumline.testing.processes import (
    LocalProcess,
    LocalProcessError,
    choose_ports,
    run_command,
)

AVAILABILITY_ZONES = ("piraeus", "marousi", "glyfada")
SERVICE = "ordering"
FIRST_CONFIGURATION = """\
services:
  ordering: {}
clients:
  attica-homes: {share: 3, max_running: 4000}
limits: {tasks_per_job: 720, payload_bytes: 65536}
"""
_HOST = "127.0.0.1"
_COMMAND_TIMEOUT_SECONDS = 30.0


class LocalSystemSettings(pydantic_settings.BaseSettings):
    """Size and shape of a local system.

    Attributes:
      entries: Entry processes.
      agents: Agent processes, each with one executor.
      slots: Slots of each executor.
      fastest: The speeds of the executors go from 1 to this factor.
      zone_latency: Seconds that messages between availability zones take, one
        way; below 0 the processes connect without relays.
      log_directory: Where each process writes its log.
      ready_limit: Longest time until all are ready, in seconds.
      stop_limit: Longest time for a graceful stop, in seconds.
      job_tasks: Tasks of the job that `make run` submits.
    """

    model_config = pydantic_settings.SettingsConfigDict(
        cli_kebab_case=True, extra="forbid"
    )

    entries: int = pydantic.Field(default=3, ge=1, le=5)
    agents: int = pydantic.Field(default=6, ge=1, le=20)
    slots: int = pydantic.Field(default=8, ge=1, le=64)
    fastest: float = pydantic.Field(default=4.0, ge=1)
    zone_latency: float = -1.0
    log_directory: pathlib.Path = pathlib.Path("build/local_system")
    ready_limit: float = 30.0
    stop_limit: float = 35.0
    job_tasks: int = pydantic.Field(default=200, ge=1, le=720)


class LocalSystem:
    """Processes and relays of one local system.

    Attributes:
      settings: Number and properties of the processes.
      platform: The platform stand-in.
      entries: Entry processes, in the order of their ids.
      agents: Agent processes, in the order of their ids.
      executors: Executor stand-ins, in the order of their agents.
      zones: Availability zone of each entry, agent and executor by name.
    """

    def __init__(self, settings: LocalSystemSettings) -> None:
        self.settings = settings
        settings.log_directory.mkdir(parents=True, exist_ok=True)
        self.zones: dict[str, str] = {}
        self._entry_ports: dict[str, int] = {}
        self._links: dict[tuple[str, str], Link] = {}
        self._relays = contextlib.AsyncExitStack()
        relay_count = 0
        if settings.zone_latency >= 0:
            relay_count = settings.entries * (len(AVAILABILITY_ZONES) - 1)
        ports = choose_ports(
            1 + 2 * settings.entries + 2 * settings.agents + relay_count
        )
        platform_port = ports.pop()
        self.platform = self._make_stand_in(
            "platform", "gypsumline.testing.platform", port=platform_port
        )
        entry_names = [f"entry-{n + 1}" for n in range(settings.entries)]
        for number, name in enumerate(entry_names):
            self.zones[name] = _zone_of_number(number)
            self._entry_ports[name] = ports.pop()
        self._relay_ports = self._assign_relay_ports(
            [ports.pop() for _ in range(relay_count)]
        )
        self.entries = [self._make_entry(n, ports.pop()) for n in entry_names]
        self.agents: list[LocalProcess] = []
        self.executors: list[LocalProcess] = []
        for number in range(settings.agents):
            self._make_agent_and_executor(number, ports.pop(), ports.pop())

    @property
    def processes(self) -> list[LocalProcess]:
        """All processes, in start order."""
        return [
            self.platform,
            *self.entries,
            *self.agents,
            *self.executors,
        ]

    @property
    def entry_urls(self) -> list[str]:
        """Base URLs of the entries."""
        return [entry.url for entry in self.entries]

    def members_of(self, zone: str) -> list[LocalProcess]:
        """Returns the processes in an availability zone."""
        return [p for p in self.processes if self.zones.get(p.name) == zone]

    def links_of(self, zone: str) -> list[Link]:
        """Returns the links into and out of an availability zone."""
        return [
            link
            for (source, entry), link in self._links.items()
            if zone in (source, self.zones[entry])
        ]

    async def start(self) -> None:
        """Starts all processes and waits until they are ready.

        Raises:
          LocalProcessError: A process did not become ready.
        """
        for (zone, entry), port in self._relay_ports.items():
            link = await self._relays.enter_async_context(
                relay(
                    port, self._entry_ports[entry], self.settings.zone_latency
                )
            )
            self._links[zone, entry] = link
        await self.platform.start()
        await self.platform.wait_ready("/healthz", self.settings.ready_limit)
        for process in self.processes[1:]:
            await process.start()
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Waits until all executors, entries and agents are ready.

        Raises:
          LocalProcessError: A process did not become ready.
        """
        limit = self.settings.ready_limit
        for executor in self.executors:
            await executor.wait_ready("/healthz", limit)
        for process in [*self.entries, *self.agents]:
            await process.wait_ready("/readyz", limit)

    async def restart(self, process: LocalProcess) -> int:
        """Stops a process gracefully and starts it again under the same id.

        Returns:
          The exit code of the stopped process.

        Raises:
          LocalProcessError: The new process did not become ready.
        """
        exit_code = await process.stop(self.settings.stop_limit)
        await process.start()
        await process.wait_ready("/readyz", self.settings.ready_limit)
        return exit_code

    async def stop(self) -> dict[str, int]:
        """Stops all processes gracefully; returns the exit codes by name.

        Entries stop one after another and before the agents, because an entry
        leaves by a change of the record, which the agents accept as voters.
        """
        limit = self.settings.stop_limit
        exit_codes: dict[str, int] = {}
        entries = [[entry] for entry in self.entries]
        for group in [self.executors, *entries, self.agents, [self.platform]]:
            codes = await asyncio.gather(*(p.stop(limit) for p in group))
            exit_codes.update(zip((p.name for p in group), codes, strict=True))
        return exit_codes

    async def kill(self) -> None:
        """Kills the processes that still run and closes the relays."""
        await asyncio.gather(*(p.kill() for p in self.processes))
        await self._relays.aclose()

    def _make_stand_in(self, name: str, module: str, port: int) -> LocalProcess:
        arguments = [module, "--host", _HOST, "--port", str(port)]
        return self._make_process(name, arguments, port)

    def _make_process(
        self, name: str, arguments: list[str], http_port: int
    ) -> LocalProcess:
        return LocalProcess(
            name,
            arguments,
            self.settings.log_directory,
            f"http://{_HOST}:{http_port}",
        )

    def _make_entry(self, name: str, http_port: int) -> LocalProcess:
        arguments = [
            *("gypsumline", "entry", *self._role_flags(name, http_port)),
            *("--port", str(self._entry_ports[name])),
            *("--table-url", self.platform.url),
        ]
        return self._make_process(name, arguments, http_port)

    def _make_agent_and_executor(
        self, number: int, agent_port: int, executor_port: int
    ) -> None:
        agent_name = f"agent-{number + 1}"
        executor_name = f"exec-{number + 1}"
        self.zones[agent_name] = _zone_of_number(number)
        self.zones[executor_name] = _zone_of_number(number)
        flags = self._role_flags(agent_name, agent_port)
        agent = self._make_process(
            agent_name, ["gypsumline", "agent", *flags], agent_port
        )
        settings = self.settings
        speed = _speed_of_number(number, settings.agents, settings.fastest)
        arguments = [
            *("gypsumline.testing.executor", "--agent-url", agent.url),
            *("--executor-id", executor_name, "--service", SERVICE),
            *("--slots", str(settings.slots), "--speed", f"{speed:.3f}"),
            *("--host", _HOST, "--port", str(executor_port)),
        ]
        executor = self._make_process(executor_name, arguments, executor_port)
        self.agents.append(agent)
        self.executors.append(executor)

    def _role_flags(self, name: str, http_port: int) -> list[str]:
        zone = self.zones[name]
        peers = [
            f"{_HOST}:{self._relay_ports.get((zone, entry), port)}"
            for entry, port in self._entry_ports.items()
            if entry != name
        ]
        flags = [
            *("--member-id", name, "--availability-zone", zone),
            *("--host", _HOST, "--http-port", str(http_port)),
        ]
        return [*flags, "--peers", ",".join(peers)] if peers else flags

    def _assign_relay_ports(
        self, ports: list[int]
    ) -> dict[tuple[str, str], int]:
        if not ports:
            return {}
        relayed_pairs = [
            (zone, entry)
            for zone in AVAILABILITY_ZONES
            for entry in self._entry_ports
            if self.zones[entry] != zone
        ]
        return dict(zip(relayed_pairs, ports, strict=True))


def _zone_of_number(number: int) -> str:
    return AVAILABILITY_ZONES[number % len(AVAILABILITY_ZONES)]


def _speed_of_number(number: int, count: int, fastest: float) -> float:
    if count == 1:
        return 1.0
    return fastest ** (number / (count - 1))


@contextlib.asynccontextmanager
async def local_system(
    settings: LocalSystemSettings,
) -> AsyncIterator[LocalSystem]:
    """Runs a local system, which is killed at the end of the block.

    Raises:
      LocalProcessError: A process did not become ready.
    """
    system = LocalSystem(settings)
    try:
        await system.start()
        yield system
    finally:
        await system.kill()


async def apply_configuration(
    system: LocalSystem, text: str, base: int, note: str
) -> str:
    """Applies a configuration with the command line; returns the output.

    Args:
      system: System to configure.
      text: Text of the new configuration.
      base: Version on which the text is based.
      note: Note that is stored with the new version.

    Raises:
      LocalProcessError: The command failed.
    """
    path = system.settings.log_directory / f"configuration-{base + 1}.yaml"
    path.write_text(text)
    return await run_command(
        [
            *("gypsumline", "config", "apply", str(path.absolute())),
            *("--base", str(base), "--note", note, "--wait"),
            *("--entry", system.entry_urls[0]),
        ],
        _COMMAND_TIMEOUT_SECONDS,
    )


def make_tasks(run_times: Iterable[float], kind: str) -> list[dict]:
    """Returns tasks whose result values contain the index of the task.

    Args:
      run_times: Run time of each task in seconds.
      kind: Kind of all tasks.
    """
    return [
        {
            "kind": kind,
            "payload": {"run_time": run_time, "value": {"index": index}},
            "size": 100,
            "run_time": run_time,
        }
        for index, run_time in enumerate(run_times)
    ]


async def submit_first_job(system: LocalSystem) -> dict:
    """Submits one job of `job_tasks` tasks with the command line.

    Returns:
      The answer.

    Raises:
      LocalProcessError: The command failed, or the answer is incomplete.
    """
    rng = random.Random(1)
    count = system.settings.job_tasks
    run_times = [round(rng.uniform(0.05, 0.5), 3) for _ in range(count)]
    body = {
        "service": SERVICE,
        "client": "attica-homes",
        "tasks": make_tasks(run_times, "card"),
        "timeout": 30.0,
        "repeatable": False,
    }
    path = system.settings.log_directory / "job.json"
    path.write_text(json.dumps(body))
    output = await run_command(
        [
            *("gypsumline", "job", "submit", str(path.absolute())),
            *("--entry", system.entry_urls[-1], "--output", "json"),
        ],
        _COMMAND_TIMEOUT_SECONDS,
    )
    try:
        answer: dict = json.loads(output)
    except ValueError as error:
        raise LocalProcessError(
            f"the answer is not JSON: {output[:500]}"
        ) from error
    values = [result["value"] for result in answer.get("results", [])]
    expected = [{"index": index} for index in range(count)]
    if answer.get("outcome") != "complete" or values != expected:
        raise LocalProcessError(f"the answer is incomplete: {output[:500]}")
    return answer


async def read_starts(executor: LocalProcess, detail: bool = False) -> dict:
    """Returns the start counts of one executor.

    Args:
      executor: Process of the executor stand-in.
      detail: Whether to include all starts by task.
    """
    query = "?detail=1" if detail else ""
    async with aiohttp.ClientSession() as session:
        async with session.get(f"{executor.url}/starts{query}") as response:
            return await response.json()


async def _run(settings: LocalSystemSettings) -> None:
    started_at = time.monotonic()
    async with local_system(settings) as system:
        print(
            f"all ready after {time.monotonic() - started_at:.1f} s", flush=True
        )
        for process in system.processes:
            zone = system.zones.get(process.name, "")
            print(f"  {process.name:<10} {zone:<8} {process.url}")
        output = await apply_configuration(
            system, FIRST_CONFIGURATION, 0, "first"
        )
        print(output.strip())
        submitted_at = time.monotonic()
        answer = await submit_first_job(system)
        duration = time.monotonic() - submitted_at
        results = len(answer["results"])
        print(f"job: {answer['outcome']}, {results} results, {duration:.2f} s")
        starts = [await read_starts(e) for e in system.executors]
        for executor, counts in zip(system.executors, starts, strict=True):
            print(f"  {executor.name}: {counts['starts']} starts")
        exit_codes = await system.stop()
        failed = {name: code for name, code in exit_codes.items() if code}
        if failed:
            raise LocalProcessError(
                f"processes exited with an error code: {failed}"
            )
        errors = [e for p in system.processes for e in p.logged_errors()]
        if errors:
            raise LocalProcessError(f"errors were logged: {errors[:3]}")
        if sum(counts["second_starts"] for counts in starts):
            raise LocalProcessError("a task was started more than once")
        print(f"all stopped; whole run {time.monotonic() - started_at:.1f} s")


def main() -> None:
    """Runs a local system with one job; exits with code 1 on any failure."""
    settings = pydantic_settings.CliApp.run(LocalSystemSettings)
    try:
        asyncio.run(_run(settings))
    except (LocalProcessError, aiohttp.ClientError) as error:
        sys.exit(f"failed: {error}")


if __name__ == "__main__":
    main()
