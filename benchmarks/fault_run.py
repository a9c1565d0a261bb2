"""Applies a schedule of faults to a local system."""

from __future__ import annotations

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

import aiohttp

from benchmarks.fault_checks import PlannedStop, ZoneExclusion
from benchmarks.fault_schedule import FaultEvent, FaultKind
from benchmarks.operators import Operator
from gypsumline.testing.local_system import (
    FIRST_CONFIGURATION,
    LocalSystem,
    read_starts,
)
from gypsumline.testing.processes import LocalProcess, LocalProcessError
from gypsumline.testing.start_log import boot_time

# A restarted host waits while the table is unavailable (docs/design.md, 6).
_READY_TIMEOUT_SECONDS = 60.0
_CHANGE_TIMEOUT_SECONDS = 30.0
_SLOW_LATENCY_SECONDS = 1.5
_LOST_RESPONSE_SHARE = 0.5
_UNREACHED_PAUSE_SECONDS = 0.5
# Longer than the 2 s for which evidence is valid, so that it expires.
_UNREACHED_LINKS_SECONDS = 2.5

_Handler = Callable[["FaultRun", FaultEvent], Awaitable[None]]
_HANDLERS: dict[FaultKind, _Handler] = {}


def _handles(*kinds: FaultKind) -> Callable[[_Handler], _Handler]:
    def register(handler: _Handler) -> _Handler:
        for kind in kinds:
            _HANDLERS[kind] = handler
        return handler

    return register


class FaultRun:
    """Applies faults and records what the checks need.

    Attributes:
      system: The system under test.
      operator: Client that changes the configuration.
      stops: Graceful stops.
      exclusions: Times for which an availability zone was excluded.
      applied: Number of applied faults, by kind.
      skipped: Number of faults by kind that were skipped because another
        fault affected their target or no entry would have been left.
      failures: Processes that did not become ready and changes that were not
        accepted, as messages.
    """

    def __init__(self, system: LocalSystem, operator: Operator) -> None:
        self.system = system
        self.operator = operator
        self.stops: list[PlannedStop] = []
        self.exclusions: list[ZoneExclusion] = []
        self.applied: collections.Counter[str] = collections.Counter()
        self.skipped: collections.Counter[str] = collections.Counter()
        self.failures: list[str] = []
        self._busy: set[str] = set()
        self._agents = {agent.name: agent for agent in system.agents}
        self._entries = {entry.name: entry for entry in system.entries}

    async def run(self, schedule: list[FaultEvent]) -> None:
        """Applies all faults at their times and waits until they end."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        async with asyncio.TaskGroup() as group:
            for event in schedule:
                await asyncio.sleep(max(0.0, began + event.at - loop.time()))
                group.create_task(self._apply(event))

    async def restart_all(self) -> None:
        """Restarts all agents and entries gracefully, one after the other."""
        for process in [*self.system.agents, *self.system.entries]:
            await self.restart(process)

    async def restart(self, process: LocalProcess) -> None:
        """Restarts a process gracefully and counts interrupted requests."""
        executor = self._executor_of(process)
        interrupted_before = await _read_interrupted(executor)
        began_at = boot_time()
        exit_code = await process.stop(self.system.settings.stop_limit)
        stop = PlannedStop(
            name=process.name,
            url=process.url,
            began_at=began_at,
            ended_at=boot_time(),
            exit_code=exit_code,
            cut_at_executor=await _read_interrupted(executor)
            - interrupted_before,
        )
        self.stops.append(stop)
        await self.start_and_wait(process)

    async def start_and_wait(self, process: LocalProcess) -> None:
        """Starts a process again and waits until it is ready."""
        await process.start()
        try:
            await process.wait_ready("/readyz", _READY_TIMEOUT_SECONDS)
        except LocalProcessError as error:
            self.failures.append(str(error))

    def find(self, name: str) -> LocalProcess:
        """Returns the entry or agent of that name."""
        return self._entries.get(name) or self._agents[name]

    def find_members(self, zone: str) -> list[LocalProcess]:
        """Returns the entries and agents in an availability zone."""
        members = [*self._entries.values(), *self._agents.values()]
        return [m for m in members if self.system.zones[m.name] == zone]

    def find_agent(self, zone: str) -> LocalProcess:
        """Returns the first agent in an availability zone."""
        agents = [a for a in self.find_members(zone) if a.name in self._agents]
        return agents[0]

    async def _apply(self, event: FaultEvent) -> None:
        resources = self._resources_of(event)
        if resources & self._busy or self._would_stop_all_entries(resources):
            self.skipped[event.kind] += 1
            return
        with self._reserve(resources):
            self.applied[event.kind] += 1
            print(
                f"{event.at:7.2f} {event.kind} {event.target} "
                f"{event.duration:.2f} s",
                flush=True,
            )
            await _HANDLERS[event.kind](self, event)

    def _resources_of(self, event: FaultEvent) -> set[str]:
        """Returns names of what no other event may affect meanwhile."""
        if event.kind is FaultKind.KILL_ZONE:
            return {m.name for m in self.find_members(event.target)}
        if event.kind is FaultKind.ZONE_OUT:
            # Only one zone is excluded at a time; its processes may have
            # other faults meanwhile.
            return {"zone_out"}
        if event.kind is FaultKind.ZONE_OUT_UNHEARD:
            return {"zone_out", "links", self.find_agent(event.target).name}
        if event.kind in _LINK_KINDS:
            # Zones share links, so healing those of one zone would heal links
            # of another.
            return {"links"}
        return {event.target or "platform"}

    def _would_stop_all_entries(self, resources: set[str]) -> bool:
        remaining = set(self._entries) - resources - self._busy
        return not remaining and bool(resources & set(self._entries))

    @contextlib.contextmanager
    def _reserve(self, resources: set[str]) -> Iterator[None]:
        self._busy |= resources
        try:
            yield
        finally:
            self._busy -= resources

    def _executor_of(self, process: LocalProcess) -> LocalProcess | None:
        if process.name not in self._agents:
            return None
        return self.system.executors[self.system.agents.index(process)]


async def _read_interrupted(executor: LocalProcess | None) -> int:
    if executor is None:
        return 0
    return (await read_starts(executor))["cut"]


@_handles(FaultKind.KILL_ENTRY, FaultKind.KILL_AGENT)
async def _kill_process(run: FaultRun, event: FaultEvent) -> None:
    process = run.find(event.target)
    await process.kill()
    await asyncio.sleep(event.duration)
    await run.start_and_wait(process)


@_handles(FaultKind.KILL_ZONE)
async def _kill_zone(run: FaultRun, event: FaultEvent) -> None:
    members = run.find_members(event.target)
    await asyncio.gather(*(member.kill() for member in members))
    await asyncio.sleep(event.duration)
    await asyncio.gather(*(run.start_and_wait(member) for member in members))


@_handles(
    FaultKind.PAUSE_ENTRY_SHORT,
    FaultKind.PAUSE_ENTRY_LONG,
    FaultKind.PAUSE_AGENT_SHORT,
    FaultKind.PAUSE_AGENT_LONG,
)
async def _pause_process(run: FaultRun, event: FaultEvent) -> None:
    process = run.find(event.target)
    process.pause()
    await asyncio.sleep(event.duration)
    process.resume()


@_handles(FaultKind.RESTART_ENTRY, FaultKind.RESTART_AGENT)
async def _restart_process(run: FaultRun, event: FaultEvent) -> None:
    await run.restart(run.find(event.target))


_PLATFORM_FAULTS: dict[FaultKind, dict[str, object]] = {
    FaultKind.PLATFORM_REFUSES: {"outage": "refuse"},
    FaultKind.PLATFORM_HANGS: {"outage": "hang"},
    FaultKind.PLATFORM_SLOW: {"latency": _SLOW_LATENCY_SECONDS},
    FaultKind.PLATFORM_LOSES_ANSWERS: {"lose_answers": _LOST_RESPONSE_SHARE},
}


@_handles(*_PLATFORM_FAULTS)
async def _inject_platform_fault(run: FaultRun, event: FaultEvent) -> None:
    faults = {**_PLATFORM_FAULTS[event.kind], "duration": event.duration}
    url = f"{run.system.platform.url}/faults"
    async with aiohttp.ClientSession() as session:
        async with session.post(url, json=faults) as response:
            response.raise_for_status()
    await asyncio.sleep(event.duration)


_LINK_KINDS = (FaultKind.LINKS_OF_ZONE_CUT, FaultKind.LINKS_OF_ZONE_SILENT)


@_handles(*_LINK_KINDS)
async def _disrupt_links(run: FaultRun, event: FaultEvent) -> None:
    links = run.system.links_of(event.target)
    for link in links:
        if event.kind is FaultKind.LINKS_OF_ZONE_CUT:
            link.cut()
        else:
            link.silence()
    await asyncio.sleep(event.duration)
    for link in links:
        link.heal()


@_handles(FaultKind.ZONE_OUT)
async def _exclude_zone(run: FaultRun, event: FaultEvent) -> None:
    async with exclude_zone(run, event.target):
        await asyncio.sleep(event.duration)


@_handles(FaultKind.ZONE_OUT_UNHEARD)
async def _exclude_unreachable_zone(run: FaultRun, event: FaultEvent) -> None:
    """Excludes a zone that cannot receive the change, with one agent paused.

    The agent resumes and the links heal only after the acceptance, so the
    agents must stop starting tasks on their own when their evidence expires.
    """
    agent = run.find_agent(event.target)
    links = run.system.links_of(event.target)
    agent.pause()
    for link in links:
        link.silence()
    try:
        async with exclude_zone(run, event.target):
            await asyncio.sleep(_UNREACHED_PAUSE_SECONDS)
            agent.resume()
            await asyncio.sleep(_UNREACHED_LINKS_SECONDS)
            for link in links:
                link.heal()
            await asyncio.sleep(event.duration)
    finally:
        agent.resume()
        for link in links:
            link.heal()


@contextlib.asynccontextmanager
async def exclude_zone(run: FaultRun, zone: str) -> AsyncIterator[None]:
    """Excludes a zone while the context is active, by configuration changes."""
    text = f"{FIRST_CONFIGURATION}out:\n  availability_zones: [{zone}]\n"
    operator = run.operator
    # The change goes through entries in other zones because the links of the
    # excluded zone may be silent.
    entries_elsewhere = [
        entry.url
        for entry in run.system.entries
        if run.system.zones[entry.name] != zone
    ]
    sent_at = boot_time()
    accepted = await operator.apply(
        text, f"{zone} out", _CHANGE_TIMEOUT_SECONDS, entries_elsewhere
    )
    if accepted is None:
        run.failures.append(f"change {zone} out: not accepted in time")
    yield
    return_sent_at = boot_time()
    if accepted is not None:
        run.exclusions.append(
            ZoneExclusion(
                zone=zone,
                sent_at=sent_at,
                accepted_at=accepted.at,
                return_sent_at=return_sent_at,
            )
        )
    returned = await operator.apply(
        FIRST_CONFIGURATION, f"{zone} back", _CHANGE_TIMEOUT_SECONDS
    )
    if returned is None:
        run.failures.append(f"change {zone} back: not accepted in time")
