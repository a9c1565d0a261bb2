"""Clock functions."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Returns seconds since boot, including time spent suspended.

    `CLOCK_MONOTONIC` does not count suspended time, during which a lease must
    expire too.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time() -> float:
    """Returns the current time in UTC seconds."""
    return time.time()


def new_incarnation() -> int:
    """Returns an incarnation number: the current time in UTC nanoseconds."""
    return time.time_ns()
