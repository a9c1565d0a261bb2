"""Tests of what a daemon on the users' platform imports.

Load pattern: all machines start at once after a loss of power, so the time and
the memory of each start count as often as there are machines.
"""

import json
import subprocess
import sys

import pytest

# Of the product's own installation, of its command line and of its tests.
NEEDLESS = (
    "aiohttp",
    "gypsumline.core.control",
    "gypsumline.core.messages",
    "gypsumline.core.submissions",
    "pydantic",
    "starlette",
    "typer",
    "uvicorn",
)


@pytest.mark.parametrize("role", ["agent", "entry"])
def test_daemon_imports_only_what_its_role_needs(role):
    program = (
        f"import json, sys, gypsumline.platform.{role}_daemon\n"
        "print(json.dumps(sorted(sys.modules)))"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], check=True, capture_output=True
    )
    imported = set(json.loads(done.stdout))
    assert imported.isdisjoint(NEEDLESS)
