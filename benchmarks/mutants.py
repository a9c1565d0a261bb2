"""Mutation tests of the test suite: `make mutants`.

Each mutant replaces one piece of a module in a copy of the tree; then the
checks that are expected to fail are run. A mutant that no check detects shows
a gap in the tests: it is printed and the command exits 1.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import dataclasses
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_MUTANTS_FILE = _ROOT / "benchmarks" / "mutants.toml"
_COPIED_PATHS = (
    "gypsumline",
    "properties",
    "benchmarks",
    "docs",
    "pyproject.toml",
    "conftest.py",  # skips the known red tests, which fail for every mutant
    "KNOWN-RED.txt",
)
_MUTANTS_IN_PARALLEL = 4
_CHECK_TIMEOUT_SECONDS = 300.0
_EXIT_PASSED = 0  # Exit statuses of pytest.
_EXIT_FAILED = 1
_PYTEST_ARGUMENTS = ("-m", "pytest", "-x", "-q", "-p", "no:cacheprovider")


class MutantError(Exception):
    """A mutant cannot be applied or its checks cannot be run."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Mutant:
    """One deliberate fault.

    Attributes:
      name: Short name of the fault.
      guards: Guarantee or target that the fault breaks.
      path: Module that is changed.
      old: Text to replace; must occur exactly once in the module.
      new: Replacement text.
      checks: Tests expected to fail, as arguments for pytest.
    """

    name: str
    guards: str
    path: str
    old: str
    new: str
    checks: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MutantResult:
    """Outcome of the checks of one mutant.

    Attributes:
      mutant: The mutant.
      detected_by: First failed check; "" if none failed.
    """

    mutant: Mutant
    detected_by: str


def load_mutants() -> tuple[Mutant, ...]:
    """Returns the mutants in `mutants.toml`."""
    items = tomllib.loads(_MUTANTS_FILE.read_text())["mutants"]
    return tuple(
        Mutant(**{**item, "checks": tuple(item["checks"])}) for item in items
    )


def run_mutant(mutant: Mutant) -> MutantResult:
    """Runs the checks of a mutant in a copy of the tree.

    Raises:
      MutantError: The text to replace does not occur exactly once, or pytest
        could not run the checks.
    """
    with tempfile.TemporaryDirectory(prefix="mutant-") as directory:
        tree = pathlib.Path(directory)
        _copy_tree(tree)
        _apply(mutant, tree)
        return MutantResult(
            mutant=mutant, detected_by=_run_checks(mutant, tree)
        )


def _copy_tree(tree: pathlib.Path) -> None:
    for name in _COPIED_PATHS:
        source = _ROOT / name
        if source.is_dir():
            ignored = shutil.ignore_patterns("__pycache__")
            shutil.copytree(source, tree / name, ignore=ignored)
        else:
            shutil.copy(source, tree / name)


def _apply(mutant: Mutant, tree: pathlib.Path) -> None:
    module = tree / mutant.path
    text = module.read_text()
    count = text.count(mutant.old)
    if count != 1:
        raise MutantError(
            f"{mutant.name}: text to replace occurs {count} times in "
            f"{mutant.path}; expected exactly once"
        )
    module.write_text(text.replace(mutant.old, mutant.new))


def _run_checks(mutant: Mutant, tree: pathlib.Path) -> str:
    command = [sys.executable, *_PYTEST_ARGUMENTS, *mutant.checks]
    try:
        process = subprocess.run(
            command,
            cwd=tree,
            capture_output=True,
            text=True,
            timeout=_CHECK_TIMEOUT_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return f"timed out after {_CHECK_TIMEOUT_SECONDS:.0f} s"
    if process.returncode not in (_EXIT_PASSED, _EXIT_FAILED):
        raise MutantError(
            f"{mutant.name}: checks did not run; pytest exited with "
            f"{process.returncode}: {process.stdout[-500:]}"
        )
    for line in process.stdout.splitlines():
        if line.startswith(("FAILED ", "ERROR ")):
            return line.split(" ")[1]
    return "" if process.returncode == _EXIT_PASSED else "a failed check"


def _print_table(results: list[MutantResult]) -> int:
    undetected = 0
    for result in results:
        undetected += not result.detected_by
        shown = result.detected_by or "NOT FOUND"
        print(f"{result.mutant.name:<42} {result.mutant.guards:<39} {shown}")
    print(f"{len(results)} mutants, {undetected} not found")
    return 1 if undetected else 0


def main() -> None:
    """Runs all mutants, or those whose name contains the given text."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--only", default="", help="run only mutants whose name contains it"
    )
    arguments = parser.parse_args()
    mutants = [m for m in load_mutants() if arguments.only in m.name]
    with concurrent.futures.ThreadPoolExecutor(_MUTANTS_IN_PARALLEL) as pool:
        results = list(pool.map(run_mutant, mutants))
    sys.exit(_print_table(results))


if __name__ == "__main__":
    main()
