"""Overhead of the whole request path over calling executors directly.

`python -m benchmarks.path` prints, from one run: the added latency when idle
and at 70% load of 10 executors with 8 slots, the CPU time per task and memory
of each role, and the control traffic without jobs.
"""

from __future__ import annotations

import asyncio
import json
import pathlib

import aiohttp
import uvloop

from benchmarks.direct import DirectCaller
from benchmarks.operators import Operator
from benchmarks.process_cost import ProcessCost, read_costs
from gypsumline.testing.caller import (
    Caller,
    CallerSettings,
    LoadMode,
    make_session,
    summarize,
)
from gypsumline.testing.job_client import COMPLETE
from gypsumline.testing.local_system import (
    FIRST_CONFIGURATION,
    LocalSystem,
    LocalSystemSettings,
    local_system,
)
from gypsumline.testing.processes import LocalProcessError

_DIRECTORY = pathlib.Path("build/bench/path")
_EXECUTORS = 10
_SLOTS = 8
_LOAD = 0.7
_LOAD_RUN_TIME_SECONDS = 0.25
_IDLE_RUN_TIME_SECONDS = 0.01
_IDLE_CALLS = 300
_ROUNDS = 3
_ROUND_SECONDS = 8.0
_IDLE_SECONDS = 10.0
_TARGET_ADDED_P50_MS = 3.0
_TARGET_MEMORY_MIB = 256.0
_TARGET_IDLE_BYTES_PER_SECOND = 7000.0
_TARGET_IDLE_CPU_SHARE = 0.035


async def apply_first_configuration(system: LocalSystem) -> None:
    """Applies the first configuration.

    Raises:
      LocalProcessError: The configuration was not accepted in time.
    """
    async with aiohttp.ClientSession() as session:
        operator = Operator(session, system.entry_urls)
        if await operator.apply(FIRST_CONFIGURATION, "first", 30.0) is None:
            raise LocalProcessError("the first configuration was not accepted")


async def run_path(settings: CallerSettings) -> tuple[list[float], int]:
    """Returns response times of complete jobs and the number of other jobs."""
    async with make_session(settings) as session:
        caller = Caller(settings, session)
        await caller.run()
    complete = [r.seconds for r in caller.records if r.outcome == COMPLETE]
    return complete, len(caller.records) - len(complete)


async def _run_direct_idle(system: LocalSystem, seed: int) -> list[float]:
    async with aiohttp.ClientSession() as session:
        caller = DirectCaller(session, [e.url for e in system.executors], seed)
        await caller.run_closed(_IDLE_CALLS, _IDLE_RUN_TIME_SECONDS)
    return caller.seconds


async def _run_direct_loaded(system: LocalSystem, seed: int) -> list[float]:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        caller = DirectCaller(session, [e.url for e in system.executors], seed)
        await caller.run_open(
            _load_rate(), _ROUND_SECONDS, _LOAD_RUN_TIME_SECONDS
        )
    return caller.seconds


def _load_rate() -> float:
    return _LOAD * _EXECUTORS * _SLOTS / _LOAD_RUN_TIME_SECONDS


def _idle_settings(system: LocalSystem, seed: int) -> CallerSettings:
    return CallerSettings(
        entries=",".join(system.entry_urls),
        mode=LoadMode.CLOSED,
        concurrency=1,
        jobs=_IDLE_CALLS,
        seconds=60.0,
        run_time=_IDLE_RUN_TIME_SECONDS,
        seed=seed,
    )


def _loaded_settings(system: LocalSystem, seed: int) -> CallerSettings:
    return CallerSettings(
        entries=",".join(system.entry_urls),
        mode=LoadMode.OPEN,
        rate=_load_rate(),
        seconds=_ROUND_SECONDS,
        run_time=_LOAD_RUN_TIME_SECONDS,
        seed=seed,
    )


async def measure_latency(system: LocalSystem) -> dict[str, object]:
    """Measures latencies of direct calls and of the path, idle and loaded.

    Alternates direct calls and jobs through the entries.
    """
    times: dict[str, list[float]] = {
        name: [] for name in ("idle_direct", "idle", "load_direct", "load")
    }
    not_complete = 0
    for seed in range(_ROUNDS):
        times["idle_direct"] += await _run_direct_idle(system, seed)
        idle, lost_idle = await run_path(_idle_settings(system, seed))
        times["load_direct"] += await _run_direct_loaded(system, seed)
        loaded, lost = await run_path(_loaded_settings(system, seed))
        times["idle"] += idle
        times["load"] += loaded
        not_complete += lost_idle + lost
    figures: dict[str, object] = {
        f"{name}_ms": summarize(seconds) for name, seconds in times.items()
    }
    figures["not_complete"] = not_complete
    for name in ("idle", "load"):
        direct = summarize(times[f"{name}_direct"])
        path = summarize(times[name])
        for percentile in ("p50", "p99"):
            added = path[percentile] - direct[percentile]
            figures[f"{name}_added_{percentile}_ms"] = round(added, 3)
    return figures


async def measure_idle_cost(system: LocalSystem) -> dict[str, object]:
    """Measures traffic and CPU time of each role without jobs."""
    figures: dict[str, object] = {}
    groups = {"entry": system.entries, "agent": system.agents}
    before = {name: await read_costs(g) for name, g in groups.items()}
    await asyncio.sleep(_IDLE_SECONDS)
    after = {name: await read_costs(g) for name, g in groups.items()}
    for name in groups:
        cost_pairs = list(zip(before[name], after[name], strict=True))
        figures[f"{name}_rest_bytes_per_second"] = round(
            max(_wire_bytes(b) - _wire_bytes(a) for a, b in cost_pairs)
            / _IDLE_SECONDS
        )
        cpu = max(b.cpu_seconds - a.cpu_seconds for a, b in cost_pairs)
        figures[f"{name}_rest_cpu_share"] = round(cpu / _IDLE_SECONDS, 4)
    return figures


async def measure_cost(system: LocalSystem) -> dict[str, object]:
    """Measures CPU time per task at 70% load and the memory afterwards."""
    groups = {"entry": system.entries, "agent": system.agents}
    before = {name: await read_costs(g) for name, g in groups.items()}
    complete, _ = await run_path(_loaded_settings(system, _ROUNDS))
    figures: dict[str, object] = {"cost_tasks": len(complete)}
    for name, processes in groups.items():
        after = await read_costs(processes)
        cpu = sum(c.cpu_seconds for c in after)
        cpu -= sum(c.cpu_seconds for c in before[name])
        per_task = 1000 * cpu / max(1, len(complete))
        figures[f"{name}_cpu_ms_per_task"] = round(per_task, 3)
        figures[f"{name}_memory_mib"] = max(c.memory_mib for c in after)
    return figures


def _wire_bytes(cost: ProcessCost) -> float:
    return cost.sent_bytes + cost.received_bytes


async def _measure() -> dict[str, object]:
    settings = LocalSystemSettings(
        entries=3,
        agents=_EXECUTORS,
        slots=_SLOTS,
        fastest=1.0,
        log_directory=_DIRECTORY,
    )
    async with local_system(settings) as system:
        await apply_first_configuration(system)
        figures = await measure_idle_cost(system)
        figures.update(await measure_latency(system))
        figures.update(await measure_cost(system))
        await system.stop()
    return figures


def measure() -> dict[str, object]:
    """Runs the measurement and returns the figures."""
    return uvloop.run(_measure())


def targets(figures: dict) -> dict[str, tuple[float, float]]:
    """Returns each figure that has a target, with its highest allowed value."""
    limits = {
        "idle_added_p50_ms": _TARGET_ADDED_P50_MS,
        "load_added_p50_ms": _TARGET_ADDED_P50_MS,
    }
    for role in ("entry", "agent"):
        limits[f"{role}_memory_mib"] = _TARGET_MEMORY_MIB
        limits[f"{role}_rest_cpu_share"] = _TARGET_IDLE_CPU_SHARE
        limits[f"{role}_rest_bytes_per_second"] = _TARGET_IDLE_BYTES_PER_SECOND
    return {name: (figures[name], limit) for name, limit in limits.items()}


def main() -> None:
    """Prints the figures."""
    print(json.dumps(measure(), indent=2))


if __name__ == "__main__":
    main()
