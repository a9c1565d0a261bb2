"""Throughput of one entry and of one agent in tasks per second.

`python -m benchmarks.capacity` raises the rate step by step until the p99 of
the response time exceeds twice that of the first step, or jobs are lost.
"""

from __future__ import annotations

import dataclasses
import json
import pathlib
import sys
import time

import uvloop

from benchmarks.path import apply_first_configuration, run_path
from benchmarks.process_cost import own_cpu_seconds
from gypsumline.testing.caller import CallerSettings, LoadMode, summarize
from gypsumline.testing.local_system import (
    LocalSystem,
    LocalSystemSettings,
    local_system,
)

_DIRECTORY = pathlib.Path("build/bench/capacity")
_RATE_FACTOR = 1.4
_STEPS_MAX = 14
_STEP_MIN_SECONDS = 5.0
# With fewer than 100 jobs the p99 would be that of the slowest job.
_STEP_MIN_JOBS = 100
_RUN_TIME_SECONDS = 0.02
_P99_FACTOR_MAX = 2.0
_LOST_SHARE_MAX = 0.001
# Above this share of a core the load generator, not the system, determines
# the p99.
_GENERATOR_CPU_SHARE_MAX = 0.9


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadShape:
    """System and load whose rate is raised.

    Attributes:
      entries: Number of entry processes.
      agents: Number of agent processes.
      tasks_per_job: Number of tasks of each job.
      first_rate: Jobs per second in the first step.
    """

    entries: int
    agents: int
    tasks_per_job: int
    first_rate: float


LOAD_SHAPES = {
    "entry_single_tasks": LoadShape(
        entries=1, agents=8, tasks_per_job=1, first_rate=20.0
    ),
    "entry_jobs_of_20": LoadShape(
        entries=1, agents=8, tasks_per_job=20, first_rate=10.0
    ),
    "agent_single_tasks": LoadShape(
        entries=3, agents=1, tasks_per_job=1, first_rate=20.0
    ),
    "agent_jobs_of_20": LoadShape(
        entries=3, agents=1, tasks_per_job=20, first_rate=5.0
    ),
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """Measurements at one rate."""

    tasks_per_second: float
    p50_ms: float
    p99_ms: float
    lost_share: float
    generator_cpu_share: float


async def _run_step(
    system: LocalSystem, shape: LoadShape, tasks_per_second: float
) -> Step:
    rate = tasks_per_second / shape.tasks_per_job
    settings = CallerSettings(
        entries=",".join(system.entry_urls),
        mode=LoadMode.OPEN,
        rate=rate,
        seconds=max(_STEP_MIN_SECONDS, _STEP_MIN_JOBS / rate),
        lowest_tasks=shape.tasks_per_job,
        highest_tasks=shape.tasks_per_job,
        run_time=_RUN_TIME_SECONDS,
        timeout=5.0,
    )
    started_at, cpu_before = time.monotonic(), own_cpu_seconds()
    seconds, lost = await run_path(settings)
    cpu_share = (own_cpu_seconds() - cpu_before) / (
        time.monotonic() - started_at
    )
    summary = summarize(seconds)
    return Step(
        tasks_per_second=round(tasks_per_second, 1),
        p50_ms=summary.get("p50", float("inf")),
        p99_ms=summary.get("p99", float("inf")),
        lost_share=round(lost / max(1, len(seconds) + lost), 4),
        generator_cpu_share=round(cpu_share, 3),
    )


async def _raise_rate(name: str, shape: LoadShape) -> list[Step]:
    settings = LocalSystemSettings(
        entries=shape.entries,
        agents=shape.agents,
        slots=48,
        fastest=1.0,
        log_directory=_DIRECTORY / name,
    )
    steps: list[Step] = []
    async with local_system(settings) as system:
        await apply_first_configuration(system)
        first_rate = shape.first_rate * shape.tasks_per_job
        await _run_step(system, shape, first_rate)
        for number in range(_STEPS_MAX):
            rate = first_rate * _RATE_FACTOR**number
            steps.append(await _run_step(system, shape, rate))
            if not _is_within_limits(steps[0], steps[-1]):
                # Repeats the step: one pause of the machine doubles the p99
                # of a short step.
                steps[-1] = await _run_step(system, shape, rate)
            print(f"{name}: {steps[-1]}", file=sys.stderr, flush=True)
            if not _is_within_limits(steps[0], steps[-1]):
                break
        await system.stop()
    return steps


def _is_within_limits(first: Step, step: Step) -> bool:
    return (
        step.p99_ms <= _P99_FACTOR_MAX * first.p99_ms
        and step.lost_share <= _LOST_SHARE_MAX
    )


async def _measure() -> dict[str, object]:
    figures: dict[str, object] = {}
    for name, shape in LOAD_SHAPES.items():
        steps = await _raise_rate(name, shape)
        within_limits = [
            step for step in steps if _is_within_limits(steps[0], step)
        ]
        throughput = max(
            (s.tasks_per_second for s in within_limits), default=0.0
        )
        last = steps[-1]
        figures[f"{name}_tasks_per_second"] = throughput
        figures[f"{name}_bounded_by_generator"] = (
            last.generator_cpu_share > _GENERATOR_CPU_SHARE_MAX
        )
        figures[f"{name}_steps"] = [dataclasses.asdict(s) for s in steps]
    return figures


def measure() -> dict[str, object]:
    """Runs the measurement and returns the figures."""
    return uvloop.run(_measure())


def main() -> None:
    """Prints the figures."""
    print(json.dumps(measure(), indent=2))


if __name__ == "__main__":
    main()
