"""Exit statuses of the command line."""

from __future__ import annotations

import enum


class ExitStatus(enum.IntEnum):
    """What the exit status of a command means."""

    OK = 0
    JOB_FAILED = 1
    BAD_INPUT = 2
    REFUSED = 3
    UNKNOWN = 4
    NOT_REACHABLE = 5
