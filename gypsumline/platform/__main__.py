"""Starts a daemon: `python -m gypsumline.platform entry|agent`."""

from __future__ import annotations

import logging
import sys

import uvloop

from gypsumline.core.errors import InvalidInputGroup
from gypsumline.platform.settings_file import read_settings, settings_path
from gypsumline.runtime.clock import boot_time

_EXIT_USAGE = 2
_ROLES = ("entry", "agent")


def main(arguments: list[str]) -> int:
    """Runs the daemon of the given role and returns its exit status."""
    started_at = boot_time()
    if len(arguments) != 1 or arguments[0] not in _ROLES:
        logging.error("role is %r; allowed: %s", arguments, ", ".join(_ROLES))
        return _EXIT_USAGE
    try:
        settings = read_settings(settings_path())
    except (OSError, InvalidInputGroup) as error:
        logging.error("settings are invalid: %s", error)
        for part in getattr(error, "exceptions", ()):
            logging.error("%s", part)
        return _EXIT_USAGE
    # Each daemon imports only what its role needs.
    if arguments[0] == "entry":
        from gypsumline.platform.entry_daemon import run_entry

        uvloop.run(run_entry(settings, started_at))
    else:
        from gypsumline.platform.agent_daemon import run_agent

        uvloop.run(run_agent(settings))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
