"""Graceful restart of all agents and entries in turn, under load.

`python -m benchmarks.rolling_restart` prints how many requests the restarts
interrupted and exits 1 if there were any.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys

from benchmarks.faults import (
    Findings,
    check_run,
    read_all_starts,
    run_under_load,
    write_findings,
)
from gypsumline.testing.job_client import COMPLETE, NOT_RUN
from gypsumline.testing.local_system import LocalSystemSettings, local_system

_DIRECTORY = pathlib.Path("build/rolling_restart")
# Load without restarts before the first and after the last restart.
_MARGIN_SECONDS = 3.0


async def run_rolling_restart(
    settings: LocalSystemSettings, seed: int
) -> Findings:
    """Restarts each agent and entry once under load and checks the answers."""
    async with local_system(settings) as system:
        async with run_under_load(system, seed) as (caller, run):
            await asyncio.sleep(_MARGIN_SECONDS)
            await run.restart_all()
            await asyncio.sleep(_MARGIN_SECONDS)
        findings = check_run(caller, run, await read_all_starts(system))
        findings.figures["stop_seconds"] = {
            stop.name: round(stop.ended_at - stop.began_at, 3)
            for stop in run.stops
        }
        # No faults are injected, so a lost job was interrupted by a planned
        # stop. A job refused as not run was not in progress.
        expected = (COMPLETE, NOT_RUN)
        lost = [r for r in caller.records if r.outcome not in expected]
        findings.must_be_empty("jobs_lost", lost)
        exit_codes = await system.stop()
        failed = [f"{n}: {code}" for n, code in exit_codes.items() if code]
        findings.must_be_empty("failed_exits", failed)
    return findings


def main() -> None:
    """Runs the restarts; exits 1 if a request was interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--agents", type=int, default=6)
    options = parser.parse_args()
    settings = LocalSystemSettings(
        entries=options.entries,
        agents=options.agents,
        log_directory=_DIRECTORY / "logs",
    )
    findings = asyncio.run(run_rolling_restart(settings, options.seed))
    write_findings(findings, _DIRECTORY / "report.json", seed=options.seed)
    sys.exit(1 if findings.broken else 0)


if __name__ == "__main__":
    main()
