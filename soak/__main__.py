"""Runs a soak: `python -m soak --seed 1 --seconds 60`."""

from __future__ import annotations

import argparse
import sys

import uvloop

from soak.run import AGENTS, DIVIDED_AGENTS, MORE_FAULTS, run_soak


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--agents", type=int, help="3; 24 if divided")
    for kind in MORE_FAULTS:
        parser.add_argument(
            f"--{kind}", action="append_const", dest="kinds", const=kind
        )
    options = parser.parse_args()
    # In the order of the table, so that a seed has one course.
    kinds = [kind for kind in MORE_FAULTS if kind in (options.kinds or ())]
    agents = options.agents or (
        DIVIDED_AGENTS if "divided" in kinds else AGENTS
    )
    failed = []
    for seed in range(options.seed, options.seed + options.seeds):
        result = uvloop.run(
            run_soak(
                seed,
                options.seconds,
                options.entries,
                agents,
                kinds,
            )
        )
        sys.stdout.write(f"{result}\n")
        sys.stdout.flush()
        if result.violations:
            failed.append(seed)
    sys.exit(f"failed seeds: {failed}" if failed else 0)


if __name__ == "__main__":
    main()
