"""Real processes under a seeded schedule of faults and load.

`python -m benchmarks.faults --seed 1 --seconds 120` prints each figure and
exits 1 if an invariant was broken.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import json
import pathlib
import sys
from collections.abc import AsyncIterator

import aiohttp

from benchmarks import fault_checks
from benchmarks.fault_checks import TaskStart
from benchmarks.fault_run import FaultRun
from benchmarks.fault_schedule import FaultEvent, make_schedule
from benchmarks.operators import Operator
from gypsumline.testing.caller import (
    Caller,
    CallerSettings,
    LoadMode,
    make_session,
)
from gypsumline.testing.job_client import COMPLETE, DEADLINE
from gypsumline.testing.local_system import (
    AVAILABILITY_ZONES,
    FIRST_CONFIGURATION,
    LocalSystem,
    LocalSystemSettings,
    local_system,
    read_starts,
)

_DIRECTORY = pathlib.Path("build/faults")
_LOAD_LIMIT_SECONDS = 600.0
_CALM_SECONDS = 5.0
# One way between availability zones at Ekfrasi.
_ZONE_LATENCY_SECONDS = 0.001
_MOST_EXAMPLES = 5


@dataclasses.dataclass(slots=True)
class Findings:
    """What a run showed.

    Attributes:
      figures: All figures by name.
      broken: Names of the figures that must be 0 and are not.
      examples: A few cases of each broken figure.
    """

    figures: dict[str, object] = dataclasses.field(default_factory=dict)
    broken: list[str] = dataclasses.field(default_factory=list)
    examples: dict[str, list[str]] = dataclasses.field(default_factory=dict)

    def must_be_empty(self, name: str, cases: list) -> None:
        """Notes the number of cases of something that must not happen."""
        self.must_be_zero(name, len(cases))
        if cases:
            shown = [str(case) for case in cases[:_MOST_EXAMPLES]]
            self.examples[name] = shown

    def must_be_zero(self, name: str, value: int) -> None:
        """Notes a count of something that must not happen."""
        self.figures[name] = value
        if value:
            self.broken.append(name)


def load_settings(system: LocalSystem, seed: int) -> CallerSettings:
    """Returns the load: jobs of a few tasks, about 40% of the slots."""
    return CallerSettings(
        entries=",".join(system.entry_urls),
        mode=LoadMode.OPEN,
        rate=40.0,
        seconds=_LOAD_LIMIT_SECONDS,
        lowest_tasks=1,
        highest_tasks=6,
        distribution="uniform",
        run_time=0.3,
        declared_error=3.0,
        timeout=20.0,
        health_interval=0.1,
        reuse_connections=False,
        seed=seed,
    )


@contextlib.asynccontextmanager
async def under_load(
    system: LocalSystem, seed: int
) -> AsyncIterator[tuple[Caller, FaultRun]]:
    """Applies the first configuration and keeps a load on the system.

    At the end no further jobs are submitted, and the open ones are awaited.
    """
    settings = load_settings(system, seed)
    async with make_session(settings) as session:
        async with aiohttp.ClientSession() as operator_session:
            operator = Operator(operator_session, system.entry_urls)
            run = FaultRun(system, operator)
            if await operator.apply(FIRST_CONFIGURATION, "first", 30.0) is None:
                sys.exit("the first configuration was not accepted")
            caller = Caller(settings, session)
            loading = asyncio.create_task(caller.run())
            try:
                yield caller, run
            finally:
                caller.stop()
                await loading


async def read_all_starts(system: LocalSystem) -> list[TaskStart]:
    """Returns the starts that all executors counted."""
    starts: list[TaskStart] = []
    for executor in system.executors:
        report = await read_starts(executor, detail=True)
        zone = system.zones[executor.name]
        starts += fault_checks.read_task_starts(
            executor.name, zone, report["by_task"]
        )
    return starts


def judge(caller: Caller, run: FaultRun, starts: list[TaskStart]) -> Findings:
    """Checks the answers against the starts."""
    findings = Findings()
    records = caller.records
    findings.figures["load"] = caller.report()
    findings.figures["faults"] = dict(run.done)
    findings.figures["faults_skipped"] = dict(run.skipped)
    findings.figures["changes_refused"] = run.operator.refused
    findings.figures["starts"] = len(starts)
    findings.figures["zones_out"] = [
        fault_checks.describe_exclusion(out, starts) for out in run.outs
    ]
    findings.figures["planned_stops"] = len(run.stops)
    # A run in which no job completes would pass all other checks.
    has_complete = any(r.outcome == COMPLETE for r in records)
    findings.must_be_zero("nothing_complete", int(not has_complete))
    check = findings.must_be_empty
    check("second_starts", fault_checks.find_repeated_starts(starts))
    check("wrong_answers", [r for r in records if r.is_wrong])
    check("partial_answers", [r for r in records if r.is_partial])
    check("false_not_run", fault_checks.find_false_not_run(records, starts))
    check(
        "complete_without_starts",
        fault_checks.find_complete_without_starts(records, starts),
    )
    check(
        "late_starts", fault_checks.find_starts_while_excluded(run.outs, starts)
    )
    check("processes_lost", run.failures)
    cuts = caller.client.lost_connections
    findings.must_be_zero(
        "cut_by_planned_stops",
        fault_checks.count_interrupted_requests(run.stops, cuts),
    )
    findings.examples["planned_stops"] = [
        str(stop) for stop in run.stops if stop.exit_code
    ]
    return findings


async def run_faults(
    schedule: list[FaultEvent], settings: LocalSystemSettings, seed: int
) -> Findings:
    """Runs a system under load and faults and checks what happened."""
    async with local_system(settings) as system:
        async with under_load(system, seed) as (caller, run):
            await run.run(schedule)
            print("all processes restart in turn", flush=True)
            await run.restart_all()
            calm_from = len(caller.records)
            await asyncio.sleep(_CALM_SECONDS)
        findings = judge(caller, run, await read_all_starts(system))
        calm = collections.Counter(
            record.outcome for record in caller.records[calm_from:]
        )
        findings.figures["outcomes_after_faults"] = dict(calm)
        findings.must_be_zero("no_answer_after_faults", calm[DEADLINE])
        exit_codes = await system.stop()
        failed = [f"{n}: {code}" for n, code in exit_codes.items() if code]
        findings.must_be_empty("failed_exits", failed)
    return findings


def show(findings: Findings, path: pathlib.Path, **about: object) -> None:
    """Prints the figures and writes them with the examples to a file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    content = {**about, **dataclasses.asdict(findings)}
    path.write_text(json.dumps(content, indent=2, default=str))
    for name, value in findings.figures.items():
        print(f"{name}: {json.dumps(value)}")
    for name in findings.broken:
        print(f"BROKEN {name}")
        for example in findings.examples.get(name, []):
            print(f"  {example}")


def main() -> None:
    """Runs the faults; exits 1 if an invariant was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--agents", type=int, default=6)
    options = parser.parse_args()
    settings = LocalSystemSettings(
        entries=options.entries,
        agents=options.agents,
        zone_latency=_ZONE_LATENCY_SECONDS,
        log_directory=_DIRECTORY / f"seed-{options.seed}",
    )
    schedule = make_schedule(
        options.seed,
        options.seconds,
        [f"entry-{n + 1}" for n in range(options.entries)],
        [f"agent-{n + 1}" for n in range(options.agents)],
        AVAILABILITY_ZONES,
    )
    findings = asyncio.run(run_faults(schedule, settings, options.seed))
    path = _DIRECTORY / f"seed-{options.seed}.json"
    show(findings, path, seed=options.seed, seconds=options.seconds)
    sys.exit(1 if findings.broken else 0)


if __name__ == "__main__":
    main()
