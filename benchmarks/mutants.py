"""Deliberate faults and the check that finds each: `make mutants`.

Each mutant replaces one piece of a module in a copy of the tree and runs the
checks that are expected to find it. A mutant that nothing finds is a gap; the
command prints it and exits 1.
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
_LIST = _ROOT / "benchmarks" / "mutants.toml"
_COPIED = (
    "gypsumline",
    "properties",
    "benchmarks",
    "docs",
    "pyproject.toml",
    "conftest.py",  # passes over the known red tests, which find every mutant
    "KNOWN-RED.txt",
)
_WORKERS = 4
_CHECK_LIMIT_SECONDS = 300.0
_PASSED = 0  # exit status of pytest
_FAILED = 1
_PYTEST = ("-m", "pytest", "-x", "-q", "-p", "no:cacheprovider")


class MutantError(Exception):
    """A mutant does not fit the module that it changes."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Mutant:
    """One deliberate fault.

    Attributes:
      name: Short name of the fault.
      guards: What must hold that the fault breaks.
      path: Module that is changed.
      old: Text that must occur exactly once in the module.
      new: What replaces it.
      checks: Arguments for pytest.
    """

    name: str
    guards: str
    path: str
    old: str
    new: str
    checks: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """What the checks said about a mutant.

    Attributes:
      mutant: The mutant.
      found_by: First failed check; "" if none failed.
    """

    mutant: Mutant
    found_by: str


def load_mutants() -> tuple[Mutant, ...]:
    """Returns the listed mutants."""
    listed = tomllib.loads(_LIST.read_text())["mutants"]
    return tuple(
        Mutant(**{**item, "checks": tuple(item["checks"])}) for item in listed
    )


def try_mutant(mutant: Mutant) -> Verdict:
    """Runs the checks of a mutant in a copy of the tree.

    Raises:
      MutantError: The replaced text does not occur exactly once.
    """
    with tempfile.TemporaryDirectory(prefix="mutant-") as directory:
        tree = pathlib.Path(directory)
        _copy_tree(tree)
        _apply(mutant, tree)
        return Verdict(mutant=mutant, found_by=_run_checks(mutant, tree))


def _copy_tree(tree: pathlib.Path) -> None:
    for name in _COPIED:
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
            f"{mutant.name}: the text occurs {count} times in {mutant.path}; "
            "allowed: once"
        )
    module.write_text(text.replace(mutant.old, mutant.new))


def _run_checks(mutant: Mutant, tree: pathlib.Path) -> str:
    command = [sys.executable, *_PYTEST, *mutant.checks]
    try:
        done = subprocess.run(
            command,
            cwd=tree,
            capture_output=True,
            text=True,
            timeout=_CHECK_LIMIT_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return f"no end within {_CHECK_LIMIT_SECONDS:.0f} s"
    if done.returncode not in (_PASSED, _FAILED):
        raise MutantError(
            f"{mutant.name}: the checks did not run, pytest ended with "
            f"{done.returncode}: {done.stdout[-500:]}"
        )
    for line in done.stdout.splitlines():
        if line.startswith(("FAILED ", "ERROR ")):
            return line.split(" ")[1]
    return "" if done.returncode == _PASSED else "a failed check"


def _print_table(verdicts: list[Verdict]) -> int:
    missed = 0
    for verdict in verdicts:
        missed += not verdict.found_by
        found = verdict.found_by or "NOT FOUND"
        print(f"{verdict.mutant.name:<42} {verdict.mutant.guards:<39} {found}")
    print(f"{len(verdicts)} mutants, {missed} not found")
    return 1 if missed else 0


def main() -> None:
    """Tries all mutants, or those whose name contains the given text."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="part of a name")
    arguments = parser.parse_args()
    mutants = [m for m in load_mutants() if arguments.only in m.name]
    with concurrent.futures.ThreadPoolExecutor(_WORKERS) as pool:
        verdicts = list(pool.map(try_mutant, mutants))
    sys.exit(_print_table(verdicts))


if __name__ == "__main__":
    main()
