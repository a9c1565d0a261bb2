"""Runs a job through the built binary: `make binary-check`.

Exits 1 if the job is not complete, or if an entry or agent fails or has a
child process.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import tempfile

import psutil

from gypsumline.testing.local_system import (
    FIRST_CONFIGURATION,
    LocalSystem,
    LocalSystemSettings,
    apply_configuration,
    local_system,
    submit_first_job,
)
from gypsumline.testing.processes import BINARY_VARIABLE, LocalProcessError

_BINARY = pathlib.Path("dist/gypsumline")


def list_child_processes(system: LocalSystem) -> list[str]:
    """Returns the child processes of the entries and agents."""
    descriptions = []
    for process in [*system.entries, *system.agents]:
        for child in psutil.Process(process.pid).children(recursive=True):
            descriptions.append(f"{process.name}: {child.pid} {child.name()}")
    return descriptions


async def check() -> None:
    """Runs the first job on a local system started from the binary.

    Raises:
      LocalProcessError: A process failed or has a child process.
    """
    directory = pathlib.Path("build/binary_check")
    settings = LocalSystemSettings(log_directory=directory)
    async with local_system(settings) as system:
        await apply_configuration(system, FIRST_CONFIGURATION, 0, "first")
        answer = await submit_first_job(system)
        children = list_child_processes(system)
        exit_codes = await system.stop()
    failed = {name: code for name, code in exit_codes.items() if code}
    if children or failed:
        raise LocalProcessError(
            f"child processes: {children}, exit codes: {failed}"
        )
    print(f"{len(answer['results'])} results, no child processes")


def main() -> None:
    """Checks the binary, which unpacks itself into a temporary directory."""
    with tempfile.TemporaryDirectory() as directory:
        os.environ["SHIV_ROOT"] = directory
        os.environ[BINARY_VARIABLE] = str(_BINARY.absolute())
        try:
            asyncio.run(check())
        except LocalProcessError as error:
            sys.exit(f"failed: {error}")


if __name__ == "__main__":
    main()
