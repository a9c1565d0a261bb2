"""Random walks of the control state: `python -m properties.control_walk`."""

from __future__ import annotations

import argparse
import collections
import dataclasses
import sys
from random import Random

from properties.control_driver import ControlDriver, random_action
from properties.control_oracle import OracleError

_STEPS = 25
_LONGEST_STEP_SECONDS = 2.0


@dataclasses.dataclass(slots=True)
class WalkReport:
    """Result of one walk.

    Attributes:
      steps: Number of actions.
      revisions: Number of revisions that a process found accepted.
      outcomes: Number of proposed changes by reported outcome.
      violation: The violated invariant, or "".
      actions: Names of the actions, in order.
    """

    steps: int = 0
    revisions: int = 0
    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    violation: str = ""
    actions: list[str] = dataclasses.field(default_factory=list)


def walk(seed: int, steps: int = _STEPS, recover: bool = True) -> WalkReport:
    """Runs one walk.

    Args:
      seed: Seed of the world and of the actions.
      steps: Number of actions.
      recover: Whether to end all faults after the walk and require recovery.
    """
    rng = Random(seed)
    report = WalkReport()
    driver = ControlDriver(seed, entries=rng.choice((2, 3)), agents=4)
    try:
        for _ in range(steps):
            report.actions.append(random_action(driver, rng))
            report.steps += 1
            driver.run(rng.uniform(0.02, _LONGEST_STEP_SECONDS))
        if recover:
            driver.check_recovery()
    except OracleError as error:
        report.violation = f"at {driver.world.time:.2f} s: {error}"
    report.revisions = len(driver.world.accepted)
    report.outcomes.update(o.kind for o in driver.world.outcomes.values())
    return report


def main() -> int:
    """Runs walks for a range of seeds and prints violations and totals."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--walks", type=int, default=100)
    arguments = parser.parse_args()
    total = WalkReport()
    violations = 0
    for seed in range(arguments.seed, arguments.seed + arguments.walks):
        report = walk(seed)
        total.steps += report.steps
        total.revisions += report.revisions
        total.outcomes += report.outcomes
        if report.violation:
            violations += 1
            sys.stdout.write(f"seed {seed}: {report.violation}\n")
    sys.stdout.write(
        f"walks {arguments.walks}, steps {total.steps},"
        f" accepted revisions {total.revisions},"
        f" changes {dict(sorted(total.outcomes.items()))},"
        f" violations {violations}\n"
    )
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
