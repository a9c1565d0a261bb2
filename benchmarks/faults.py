"""Fault injection into a local system of real processes under load.

The schedule of faults is derived from a seed. `python -m benchmarks.faults
--seed 1 --seconds 120` prints each figure and exits 1 if an invariant was
violated.
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
_LOAD_DURATION_MAX_SECONDS = 600.0
_RECOVERY_SECONDS = 5.0
# One-way delay between availability zones at Ekfrasi.
_ZONE_DELAY_SECONDS = 0.001
_EXAMPLES_MAX = 5


@dataclasses.dataclass(slots=True)
class Findings:
    """Figures and violated invariants of a run.

    Attributes:
      figures: All figures by name.
      broken: Names of the figures that must be 0 but are not.
      examples: A few cases for each figure in `broken`.
    """

    figures: dict[str, object] = dataclasses.field(default_factory=dict)
    broken: list[str] = dataclasses.field(default_factory=list)
    examples: dict[str, list[str]] = dataclasses.field(default_factory=dict)

    def must_be_empty(self, name: str, cases: list) -> None:
        """Records the number of cases of something that must not happen."""
        self.must_be_zero(name, len(cases))
        if cases:
            examples = [str(case) for case in cases[:_EXAMPLES_MAX]]
            self.examples[name] = examples

    def must_be_zero(self, name: str, value: int) -> None:
        """Records a count of something that must not happen."""
        self.figures[name] = value
        if value:
            self.broken.append(name)


def load_settings(system: LocalSystem, seed: int) -> CallerSettings:
    """Returns a load of small jobs that uses about 40% of the slots."""
    return CallerSettings(
        entries=",".join(system.entry_urls),
        mode=LoadMode.OPEN,
        rate=40.0,
        seconds=_LOAD_DURATION_MAX_SECONDS,
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
async def run_under_load(
    system: LocalSystem, seed: int
) -> AsyncIterator[tuple[Caller, FaultRun]]:
    """Applies the first configuration and keeps the system under load.

    On exit, stops submitting jobs and waits for the pending ones.
    """
    settings = load_settings(system, seed)
    async with make_session(settings) as session:
        async with aiohttp.ClientSession() as operator_session:
            operator = Operator(operator_session, system.entry_urls)
            run = FaultRun(system, operator)
            if await operator.apply(FIRST_CONFIGURATION, "first", 30.0) is None:
                sys.exit("the first configuration was not accepted")
            caller = Caller(settings, session)
            load_task = asyncio.create_task(caller.run())
            try:
                yield caller, run
            finally:
                caller.stop()
                await load_task


async def read_all_starts(system: LocalSystem) -> list[TaskStart]:
    """Returns the task starts recorded by all executors."""
    starts: list[TaskStart] = []
    for executor in system.executors:
        report = await read_starts(executor, detail=True)
        zone = system.zones[executor.name]
        starts += fault_checks.read_task_starts(
            executor.name, zone, report["by_task"]
        )
    return starts


def check_run(
    caller: Caller, run: FaultRun, starts: list[TaskStart]
) -> Findings:
    """Checks the answers that callers received against the task starts."""
    findings = Findings()
    records = caller.records
    findings.figures["load"] = caller.report()
    findings.figures["faults"] = dict(run.applied)
    findings.figures["faults_skipped"] = dict(run.skipped)
    findings.figures["changes_refused"] = run.operator.refused
    findings.figures["starts"] = len(starts)
    findings.figures["zones_out"] = [
        fault_checks.describe_exclusion(exclusion, starts)
        for exclusion in run.exclusions
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
        "late_starts",
        fault_checks.find_starts_while_excluded(run.exclusions, starts),
    )
    check("processes_lost", run.failures)
    lost_connections = caller.client.lost_connections
    findings.must_be_zero(
        "cut_by_planned_stops",
        fault_checks.count_interrupted_requests(run.stops, lost_connections),
    )
    findings.examples["planned_stops"] = [
        str(stop) for stop in run.stops if stop.exit_code
    ]
    return findings


async def run_with_faults(
    schedule: list[FaultEvent], settings: LocalSystemSettings, seed: int
) -> Findings:
    """Runs a system under load, injects the faults and checks the result."""
    async with local_system(settings) as system:
        async with run_under_load(system, seed) as (caller, run):
            await run.run(schedule)
            print("restarting all processes in turn", flush=True)
            await run.restart_all()
            first_after_faults = len(caller.records)
            await asyncio.sleep(_RECOVERY_SECONDS)
        findings = check_run(caller, run, await read_all_starts(system))
        outcomes = collections.Counter(
            record.outcome for record in caller.records[first_after_faults:]
        )
        findings.figures["outcomes_after_faults"] = dict(outcomes)
        findings.must_be_zero("no_answer_after_faults", outcomes[DEADLINE])
        exit_codes = await system.stop()
        failed = [f"{n}: {code}" for n, code in exit_codes.items() if code]
        findings.must_be_empty("failed_exits", failed)
        logged = [e for p in system.processes for e in p.logged_errors()]
        findings.must_be_empty("logged_errors", logged)
    return findings


def write_findings(
    findings: Findings, path: pathlib.Path, **parameters: object
) -> None:
    """Prints the figures and writes them and the examples as JSON.

    Args:
      findings: Findings of the run.
      path: File to write.
      **parameters: Parameters of the run, written next to the findings.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    content = {**parameters, **dataclasses.asdict(findings)}
    path.write_text(json.dumps(content, indent=2, default=str))
    for name, value in findings.figures.items():
        print(f"{name}: {json.dumps(value)}")
    for name in findings.broken:
        print(f"BROKEN {name}")
        for example in findings.examples.get(name, []):
            print(f"  {example}")


def main() -> None:
    """Runs the fault injection; exits 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--agents", type=int, default=6)
    options = parser.parse_args()
    settings = LocalSystemSettings(
        entries=options.entries,
        agents=options.agents,
        zone_latency=_ZONE_DELAY_SECONDS,
        log_directory=_DIRECTORY / f"seed-{options.seed}",
    )
    schedule = make_schedule(
        options.seed,
        options.seconds,
        [f"entry-{n + 1}" for n in range(options.entries)],
        [f"agent-{n + 1}" for n in range(options.agents)],
        AVAILABILITY_ZONES,
    )
    findings = asyncio.run(run_with_faults(schedule, settings, options.seed))
    path = _DIRECTORY / f"seed-{options.seed}.json"
    write_findings(findings, path, seed=options.seed, seconds=options.seconds)
    sys.exit(1 if findings.broken else 0)


if __name__ == "__main__":
    main()
