"""Runs a soak: `python -m soak --seed 1 --seconds 60`."""

from __future__ import annotations

import argparse
import sys

import uvloop

from soak.run import run_soak


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--agents", type=int, default=3)
    parser.add_argument("--crashes", action="store_true")
    parser.add_argument("--lost-answers", action="store_true")
    parser.add_argument("--misleading", action="store_true")
    options = parser.parse_args()
    failed = []
    for seed in range(options.seed, options.seed + options.seeds):
        result = uvloop.run(
            run_soak(
                seed,
                options.seconds,
                options.entries,
                options.agents,
                options.crashes,
                options.lost_answers,
                options.misleading,
            )
        )
        sys.stdout.write(f"{result}\n")
        sys.stdout.flush()
        if result.violations:
            failed.append(seed)
    sys.exit(f"failed seeds: {failed}" if failed else 0)


if __name__ == "__main__":
    main()
