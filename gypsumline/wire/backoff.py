"""When a lost connection is dialed again."""

from __future__ import annotations

import random

BACKOFF_MIN_SECONDS = 0.05
BACKOFF_MAX_SECONDS = 2.0
# A peer that ends each connection soon after its hello is not dialed at the
# first delay again and again.
STABLE_CONNECTION_SECONDS = 5.0
DIALS_PER_SECOND = 20.0
DIALS_BURST = 40.0


class Backoff:
    """Delays between dials of one address, doubled up to a limit."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._delay = BACKOFF_MIN_SECONDS

    def next_delay(self, open_time: float) -> float:
        """Returns seconds to wait, spread from half to 1.5 times.

        Args:
          open_time: Seconds for which the last connection was open.
        """
        if open_time >= STABLE_CONNECTION_SECONDS:
            self._delay = BACKOFF_MIN_SECONDS
        delay = self._delay * self._rng.uniform(0.5, 1.5)
        self._delay = min(self._delay * 2, BACKOFF_MAX_SECONDS)
        return delay


class DialRateLimiter:
    """Bounds the dials of a process over all addresses."""

    def __init__(self, now: float) -> None:
        self._left = DIALS_BURST
        self._at = now

    def try_acquire(self, now: float) -> bool:
        """Returns whether one more dial may be made now."""
        earned = max(0.0, now - self._at) * DIALS_PER_SECOND
        self._left = min(DIALS_BURST, self._left + earned)
        self._at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True
