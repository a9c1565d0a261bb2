"""CPU time of real processes per job and per task.

`python -m benchmarks.job_cost` runs jobs of several sizes through one entry,
one size after the other. For each size it prints the CPU time of the entry and
the total of the agents, per job and per task.
"""

from __future__ import annotations

import asyncio
import json
import pathlib

import aiohttp
import uvloop

from benchmarks.path import apply_first_configuration
from benchmarks.process_cost import read_costs
from gypsumline.testing.local_system import (
    SERVICE,
    LocalSystem,
    LocalSystemSettings,
    local_system,
    make_tasks,
)

_DIRECTORY = pathlib.Path("build/bench/job_cost")
_JOB_SIZES = (1, 40, 400)
_TASKS_PER_SIZE = 4000
_CONCURRENT_JOBS = 4
_RUN_TIME_SECONDS = 0.01
_MILLISECONDS_PER_SECOND = 1000.0


async def _run_jobs(system: LocalSystem, size: int, count: int) -> None:
    tasks = make_tasks([_RUN_TIME_SECONDS] * size, "card")
    body = {
        "service": SERVICE,
        "client": "attica-homes",
        "tasks": tasks,
        "timeout": 50.0,
    }
    remaining = iter(range(count))
    url = f"{system.entry_urls[0]}/v1/jobs"
    async with aiohttp.ClientSession() as session:

        async def submit_jobs() -> None:
            for _ in remaining:
                async with session.post(url, json=body) as response:
                    await response.read()
                    response.raise_for_status()

        await asyncio.gather(*(submit_jobs() for _ in range(_CONCURRENT_JOBS)))


async def _measure_size(system: LocalSystem, size: int) -> dict[str, float]:
    count = max(10, _TASKS_PER_SIZE // size)
    groups = {"entry": system.entries, "agents": system.agents}
    costs_before = {name: await read_costs(g) for name, g in groups.items()}
    await _run_jobs(system, size, count)
    figures: dict[str, float] = {}
    for name, processes in groups.items():
        costs_after = await read_costs(processes)
        cpu = sum(c.cpu_seconds for c in costs_after)
        cpu -= sum(c.cpu_seconds for c in costs_before[name])
        per_job = cpu / count * _MILLISECONDS_PER_SECOND
        figures[f"{name}_cpu_ms_per_job_of_{size}"] = round(per_job, 3)
        figures[f"{name}_cpu_ms_per_task_of_{size}"] = round(per_job / size, 4)
    return figures


async def _measure() -> dict[str, float]:
    settings = LocalSystemSettings(
        entries=1, agents=10, fastest=1.0, log_directory=_DIRECTORY
    )
    figures: dict[str, float] = {}
    async with local_system(settings) as system:
        await apply_first_configuration(system)
        await _run_jobs(system, 1, 200)
        for size in _JOB_SIZES:
            figures |= await _measure_size(system, size)
        memory = [c.memory_mib for c in await read_costs(system.entries)]
        figures["entry_memory_mib"] = max(memory)
    return figures


def main() -> None:
    """Prints the costs as one JSON object."""
    print(json.dumps(uvloop.run(_measure()), indent=2))


if __name__ == "__main__":
    main()
