"""Compares policies against jobs that crash executors, in virtual time.

Load pattern: a share of the jobs of one or two queues crashes each executor
that starts them, for 10 s. `python -m benchmarks.crash_containment --agents 6
11` prints one line per policy, number of agents and share, with the means over
the seeds.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import itertools
import math
import statistics
import sys
from collections.abc import Callable, Iterable

from gypsumline.core.leases.crash_settings import CrashSettings
from gypsumline.core.leases.owner_settings import LeasedOwnerSettings
from properties.lease_load import CLASSES, LoadWorld, run_pattern
from properties.lease_world import LeaseOracle

# Jobs per second for each agent, about 70% of the executors' capacity.
_RATE_PER_AGENT = 5.5
_NEVER = 10**9
POLICIES: dict[str, Callable[[], CrashSettings]] = {}


def policy(
    function: Callable[[], CrashSettings],
) -> Callable[[], CrashSettings]:
    """Registers a policy under its function's name."""
    POLICIES[function.__name__] = function
    return function


@policy
def none() -> CrashSettings:
    """Starts each task again, whatever crashed under it."""
    return CrashSettings(
        crash_limit=_NEVER,
        possible_crash_limit=_NEVER,
        confirming_blame=math.inf,
        suspect_blame=math.inf,
        suspicion_time=0.0,
        isolation_share=0.0,
    )


@policy
def count() -> CrashSettings:
    """Gives jobs up, but places them like any other until then."""
    return CrashSettings(
        suspect_blame=math.inf, suspicion_time=0.0, isolation_share=0.0
    )


@policy
def apart() -> CrashSettings:
    """Also keeps suspects in their queue's share and apart from each other."""
    return CrashSettings(suspicion_time=0.0, isolation_share=0.0)


@policy
def share() -> CrashSettings:
    """Also confines the whole queue after the second crash of a job."""
    return CrashSettings(isolation_share=0.0)


@policy
def isolated() -> CrashSettings:
    """Also starts strong suspects together on an executor kept for them."""
    return CrashSettings()


@policy
def isolated_late() -> CrashSettings:
    """As before, but confines a queue only after twice the crashes."""
    return CrashSettings(suspicion_share=0.3)


@policy
def isolated_alone() -> CrashSettings:
    """As before, without a confined queue."""
    return CrashSettings(suspicion_time=0.0)


class CrashOracle(LeaseOracle):
    """Also counts the runs of innocent jobs that are lost with executors."""

    def __init__(self, culprits: set[str]) -> None:
        super().__init__()
        self.innocent_runs = 0
        self._culprits = culprits

    def record_crash(self, tasks: Iterable[str]) -> None:
        """Counts a crash of an executor under the tasks that ran there."""
        tasks = list(tasks)
        super().record_crash(tasks)
        self.innocent_runs += sum(
            task.partition(".")[0] not in self._culprits for task in tasks
        )


def measure(
    policy_name: str, seed: int, agents: int, culprits: float, queues: int
) -> dict[str, float]:
    """Returns the figures of one run.

    Args:
      policy_name: The policy.
      seed: Seed of the jobs.
      agents: Number of agents.
      culprits: Share of culprits in the poisoned queues, from 0 to 1.
      queues: Number of poisoned queues.
    """

    class World(LoadWorld):
        owner_settings = LeasedOwnerSettings(crashes=POLICIES[policy_name]())

        def __init__(self, *arguments: object, **values: object) -> None:
            super().__init__(*arguments, **values)
            self.oracle = CrashOracle(self.culprit_jobs)

    world = run_pattern(
        "jobs_that_crash_executors",
        seed,
        rate=_RATE_PER_AGENT * agents,
        agents=agents,
        world_type=World,
        poisoned_share=culprits,
        poisoned_queues=queues,
    )
    names = [c.queue.name for c in CLASSES]
    crashes = len(world.oracle.crash_sizes)
    delays = [d for n in names[:queues] for d in world.by_queue[n].delays]
    return {
        "worth": world.value_share,
        "poisoned": _worth(world, names[:queues]),
        "others": min(_worth(world, [name]) for name in names[queues:]),
        "culprits": len(world.culprit_jobs),
        "given_up": world.given_up,
        "crashes": crashes,
        "lost": sum(world.oracle.crash_sizes) / max(1, crashes),
        "innocent_lost": world.oracle.innocent_runs / max(1, crashes),
        "innocents_failed": world.innocents_failed,
        "delay": statistics.mean(delays),
        "delay_p95": statistics.quantiles(delays, n=20)[-1],
        "violations": len(world.oracle.violations),
    }


def _worth(world: LoadWorld, queues: Iterable[str]) -> float:
    results = [world.by_queue[queue] for queue in queues]
    possible = sum(r.possible for r in results)
    return sum(r.earned for r in results) / max(possible, math.ulp(1.0))


def main() -> None:
    """Prints a table of all policies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--agents", type=int, nargs="+", default=[11])
    parser.add_argument("--culprits", type=float, nargs="+", default=[0.1])
    parser.add_argument("--queues", type=int, nargs="+", default=[1])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--policies", nargs="+", default=list(POLICIES))
    parser.add_argument("--jobs", type=int, default=1)
    options = parser.parse_args()
    settings = itertools.product(
        options.agents, options.culprits, options.queues, options.policies
    )
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as processes:
        runs = [
            (
                f"{agents:4} {culprits:5} {queues:2} {name:14}",
                [
                    processes.submit(
                        measure, name, seed, agents, culprits, queues
                    )
                    for seed in options.seeds
                ],
            )
            for agents, culprits, queues, name in settings
        ]
        for title, results in runs:
            figures = [result.result() for result in results]
            text = " ".join(
                f"{key} {round(statistics.mean(f[key] for f in figures), 2)}"
                for key in figures[0]
            )
            sys.stdout.write(f"{title} {text}\n")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
