"""Clocks of a process."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Returns seconds since boot, counting the time spent suspended.

    A lease must also run out while its holder is suspended, so the monotonic
    clock is not enough.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time() -> float:
    """Returns UTC seconds."""
    return time.time()


def new_incarnation() -> int:
    """Returns the incarnation number of a process that starts now."""
    return time.time_ns()
