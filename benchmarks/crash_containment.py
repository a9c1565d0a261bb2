"""Compares policies against jobs that crash executors, in virtual time.

Load pattern: a share of the jobs of one queue crashes each executor that starts
them, for 10 s. `python -m benchmarks.crash_containment --agents 6 11` prints
one line per policy, number of agents and share.
"""

from __future__ import annotations

import argparse
import math
import sys
from collections.abc import Callable

from gypsumline.core.leases.crash_settings import CrashSettings
from gypsumline.core.leases.owner_settings import LeasedOwnerSettings
from properties.lease_load import CLASSES, LoadWorld, run_pattern

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
    )


@policy
def count() -> CrashSettings:
    """Gives jobs up, but places them like any other until then."""
    return CrashSettings(suspect_blame=math.inf, suspicion_time=0.0)


@policy
def apart() -> CrashSettings:
    """Also keeps suspects in their queue's share and apart from each other."""
    return CrashSettings(suspicion_time=0.0)


@policy
def share() -> CrashSettings:
    """Also confines the whole queue after the second crash of a job."""
    return CrashSettings()


def measure(
    settings: CrashSettings, seed: int, agents: int, culprits: float
) -> dict[str, float]:
    """Returns the figures of one run.

    Args:
      settings: The policy.
      seed: Seed of the jobs.
      agents: Number of agents.
      culprits: Share of culprits in the poisoned queue, from 0 to 1.
    """

    class World(LoadWorld):
        owner_settings = LeasedOwnerSettings(crashes=settings)

    world = run_pattern(
        "jobs_that_crash_executors",
        seed,
        rate=_RATE_PER_AGENT * agents,
        agents=agents,
        world_type=World,
        poisoned_share=culprits,
    )
    poisoned, *others = (c.queue.name for c in CLASSES)
    crashes = len(world.oracle.crash_sizes)
    return {
        "worth": world.value_share,
        "poisoned": _worth(world, poisoned),
        "others": min(_worth(world, name) for name in others),
        "culprits": len(world.culprit_jobs),
        "given_up": world.given_up,
        "crashes": crashes,
        "lost_per_crash": sum(world.oracle.crash_sizes) / max(1, crashes),
        "innocents_failed": world.innocents_failed,
    }


def _worth(world: LoadWorld, queue: str) -> float:
    results = world.by_queue[queue]
    return results.earned / max(results.possible, math.ulp(1.0))


def main() -> None:
    """Prints a table of all policies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--agents", type=int, nargs="+", default=[11])
    parser.add_argument("--culprits", type=float, nargs="+", default=[0.1])
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for agents in options.agents:
        for culprits in options.culprits:
            for name, make in POLICIES.items():
                figures = measure(make(), options.seed, agents, culprits)
                text = " ".join(
                    f"{key} {round(value, 2)}" for key, value in figures.items()
                )
                sys.stdout.write(f"{agents:4} {culprits:5} {name:6} {text}\n")
                sys.stdout.flush()


if __name__ == "__main__":
    main()
