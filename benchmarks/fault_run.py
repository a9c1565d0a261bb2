"""Does the faults of a schedule to a local system."""

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

# A host that starts anew waits while the table is out (docs/design.md, 6).
_READY_LIMIT_SECONDS = 60.0
_CHANGE_LIMIT_SECONDS = 30.0
_SLOW_LATENCY_SECONDS = 1.5
_LOST_ANSWER_SHARE = 0.5
_UNHEARD_PAUSE_SECONDS = 0.5
# Longer than the 2 s for which evidence is valid.
_UNHEARD_LINKS_SECONDS = 2.5

_Handler = Callable[["FaultRun", FaultEvent], Awaitable[None]]
_HANDLERS: dict[FaultKind, _Handler] = {}


def _handles(*kinds: FaultKind) -> Callable[[_Handler], _Handler]:
    def register(handler: _Handler) -> _Handler:
        for kind in kinds:
            _HANDLERS[kind] = handler
        return handler

    return register


class FaultRun:
    """Carries out faults and keeps what the checks need.

    Attributes:
      system: The system under test.
      operator: Who changes the configuration.
      stops: Graceful stops.
      outs: Times for which an availability zone was out.
      done: Faults that were done, by kind.
      skipped: Faults that were left out because their target was busy.
      failures: Processes that did not come back.
    """

    def __init__(self, system: LocalSystem, operator: Operator) -> None:
        self.system = system
        self.operator = operator
        self.stops: list[PlannedStop] = []
        self.outs: list[ZoneExclusion] = []
        self.done: collections.Counter[str] = collections.Counter()
        self.skipped: collections.Counter[str] = collections.Counter()
        self.failures: list[str] = []
        self._busy: set[str] = set()
        self._agents = {agent.name: agent for agent in system.agents}
        self._entries = {entry.name: entry for entry in system.entries}

    async def run(self, schedule: list[FaultEvent]) -> None:
        """Does all faults at their times and waits until they are undone."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        async with asyncio.TaskGroup() as group:
            for event in schedule:
                await asyncio.sleep(max(0.0, began + event.at - loop.time()))
                group.create_task(self._do(event))

    async def restart_all(self) -> None:
        """Restarts all agents and entries gracefully, one after the other."""
        for process in [*self.system.agents, *self.system.entries]:
            await self.restart(process)

    async def restart(self, process: LocalProcess) -> None:
        """Restarts one process gracefully and notes what that cut."""
        executor = self._executor_of(process)
        cut_before = await _read_cut(executor)
        began_at = boot_time()
        exit_code = await process.stop(self.system.settings.stop_limit)
        stop = PlannedStop(
            name=process.name,
            url=process.url,
            began_at=began_at,
            ended_at=boot_time(),
            exit_code=exit_code,
            cut_at_executor=await _read_cut(executor) - cut_before,
        )
        self.stops.append(stop)
        await self.bring_back(process)

    async def bring_back(self, process: LocalProcess) -> None:
        """Starts a process again and waits until it is ready."""
        await process.start()
        try:
            await process.wait_ready("/readyz", _READY_LIMIT_SECONDS)
        except LocalProcessError as error:
            self.failures.append(str(error))

    def find(self, name: str) -> LocalProcess:
        """Returns the entry or agent of that name."""
        return self._entries.get(name) or self._agents[name]

    def members_of(self, zone: str) -> list[LocalProcess]:
        """Returns the entries and agents in an availability zone."""
        members = [*self._entries.values(), *self._agents.values()]
        return [m for m in members if self.system.zones[m.name] == zone]

    def agent_in(self, zone: str) -> LocalProcess:
        """Returns the first agent in an availability zone."""
        agents = [a for a in self.members_of(zone) if a.name in self._agents]
        return agents[0]

    async def _do(self, event: FaultEvent) -> None:
        names = self._names_of(event)
        if names & self._busy or self._takes_last_entry(names):
            self.skipped[event.kind] += 1
            return
        with self._reserve(names):
            self.done[event.kind] += 1
            print(
                f"{event.at:7.2f} {event.kind} {event.target} "
                f"{event.duration:.2f} s",
                flush=True,
            )
            await _HANDLERS[event.kind](self, event)

    def _names_of(self, event: FaultEvent) -> set[str]:
        if event.kind is FaultKind.KILL_ZONE:
            return {m.name for m in self.members_of(event.target)}
        if event.kind is FaultKind.ZONE_OUT:
            # Only one zone is out at a time; its processes may fail besides.
            return {"zone_out"}
        if event.kind is FaultKind.ZONE_OUT_UNHEARD:
            return {"zone_out", "links", self.agent_in(event.target).name}
        if event.kind in _LINK_KINDS:
            # Two zones share links, so healing one would heal the other.
            return {"links"}
        return {event.target or "platform"}

    def _takes_last_entry(self, names: set[str]) -> bool:
        left = set(self._entries) - names - self._busy
        return not left and bool(names & set(self._entries))

    @contextlib.contextmanager
    def _reserve(self, names: set[str]) -> Iterator[None]:
        self._busy |= names
        try:
            yield
        finally:
            self._busy -= names

    def _executor_of(self, process: LocalProcess) -> LocalProcess | None:
        if process.name not in self._agents:
            return None
        return self.system.executors[self.system.agents.index(process)]


async def _read_cut(executor: LocalProcess | None) -> int:
    if executor is None:
        return 0
    return (await read_starts(executor))["cut"]


@_handles(FaultKind.KILL_ENTRY, FaultKind.KILL_AGENT)
async def _kill(run: FaultRun, event: FaultEvent) -> None:
    process = run.find(event.target)
    await process.kill()
    await asyncio.sleep(event.duration)
    await run.bring_back(process)


@_handles(FaultKind.KILL_ZONE)
async def _kill_zone(run: FaultRun, event: FaultEvent) -> None:
    members = run.members_of(event.target)
    await asyncio.gather(*(member.kill() for member in members))
    await asyncio.sleep(event.duration)
    await asyncio.gather(*(run.bring_back(member) for member in members))


@_handles(
    FaultKind.PAUSE_ENTRY_SHORT,
    FaultKind.PAUSE_ENTRY_LONG,
    FaultKind.PAUSE_AGENT_SHORT,
    FaultKind.PAUSE_AGENT_LONG,
)
async def _pause(run: FaultRun, event: FaultEvent) -> None:
    process = run.find(event.target)
    process.pause()
    await asyncio.sleep(event.duration)
    process.resume()


@_handles(FaultKind.RESTART_ENTRY, FaultKind.RESTART_AGENT)
async def _restart(run: FaultRun, event: FaultEvent) -> None:
    await run.restart(run.find(event.target))


_PLATFORM_FAULTS: dict[FaultKind, dict[str, object]] = {
    FaultKind.PLATFORM_REFUSES: {"outage": "refuse"},
    FaultKind.PLATFORM_HANGS: {"outage": "hang"},
    FaultKind.PLATFORM_SLOW: {"latency": _SLOW_LATENCY_SECONDS},
    FaultKind.PLATFORM_LOSES_ANSWERS: {"lose_answers": _LOST_ANSWER_SHARE},
}


@_handles(*_PLATFORM_FAULTS)
async def _disturb_platform(run: FaultRun, event: FaultEvent) -> None:
    faults = {**_PLATFORM_FAULTS[event.kind], "duration": event.duration}
    url = f"{run.system.platform.url}/faults"
    async with aiohttp.ClientSession() as session:
        async with session.post(url, json=faults) as response:
            response.raise_for_status()
    await asyncio.sleep(event.duration)


_LINK_KINDS = (FaultKind.LINKS_OF_ZONE_CUT, FaultKind.LINKS_OF_ZONE_SILENT)


@_handles(*_LINK_KINDS)
async def _break_links(run: FaultRun, event: FaultEvent) -> None:
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
async def _take_zone_out(run: FaultRun, event: FaultEvent) -> None:
    async with zone_out(run, event.target):
        await asyncio.sleep(event.duration)


@_handles(FaultKind.ZONE_OUT_UNHEARD)
async def _take_zone_out_unheard(run: FaultRun, event: FaultEvent) -> None:
    """Takes a zone out that cannot hear it, with one agent paused.

    The agent runs again and the links heal only after the acceptance, so the
    agents must stop by themselves when their evidence ends.
    """
    agent = run.agent_in(event.target)
    links = run.system.links_of(event.target)
    agent.pause()
    for link in links:
        link.silence()
    try:
        async with zone_out(run, event.target):
            await asyncio.sleep(_UNHEARD_PAUSE_SECONDS)
            agent.resume()
            await asyncio.sleep(_UNHEARD_LINKS_SECONDS)
            for link in links:
                link.heal()
            await asyncio.sleep(event.duration)
    finally:
        agent.resume()
        for link in links:
            link.heal()


@contextlib.asynccontextmanager
async def zone_out(run: FaultRun, zone: str) -> AsyncIterator[None]:
    """Takes an availability zone out by the operators' text and back."""
    text = f"{FIRST_CONFIGURATION}out:\n  availability_zones: [{zone}]\n"
    operator = run.operator
    # Through an entry elsewhere, so that the acceptance needs nothing of the
    # zone, whose links may be silent.
    elsewhere = [
        entry.url
        for entry in run.system.entries
        if run.system.zones[entry.name] != zone
    ]
    sent_at = boot_time()
    accepted = await operator.apply(
        text, f"{zone} out", _CHANGE_LIMIT_SECONDS, elsewhere
    )
    if accepted is None:
        run.failures.append(f"change {zone} out: not accepted in time")
    yield
    return_sent_at = boot_time()
    if accepted is not None:
        run.outs.append(
            ZoneExclusion(
                zone=zone,
                sent_at=sent_at,
                accepted_at=accepted.at,
                return_sent_at=return_sent_at,
            )
        )
    back = await operator.apply(
        FIRST_CONFIGURATION, f"{zone} back", _CHANGE_LIMIT_SECONDS
    )
    if back is None:
        run.failures.append(f"change {zone} back: not accepted in time")
