"""Back-off and rate limit of dial attempts."""

from __future__ import annotations

import random

BACKOFF_MIN_SECONDS = 0.05
BACKOFF_MAX_SECONDS = 2.0
# The delay is reset only after a connection of this duration, so that a peer
# that ends each connection soon after its hello is not dialed continuously.
STABLE_CONNECTION_SECONDS = 5.0
DIALS_PER_SECOND = 20.0
DIALS_BURST = 40.0


class Backoff:
    """Exponential back-off with jitter between dials of one address."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._delay = BACKOFF_MIN_SECONDS

    def next_delay(self, open_time: float) -> float:
        """Returns the seconds to wait before the next dial.

        The delay is multiplied by a random factor from 0.5 to 1.5.

        Args:
          open_time: Seconds for which the last connection was open.
        """
        if open_time >= STABLE_CONNECTION_SECONDS:
            self._delay = BACKOFF_MIN_SECONDS
        delay = self._delay * self._rng.uniform(0.5, 1.5)
        self._delay = min(self._delay * 2, BACKOFF_MAX_SECONDS)
        return delay


class DialRateLimiter:
    """Token bucket that limits the dials of a process over all addresses."""

    def __init__(self, now: float) -> None:
        self._tokens = DIALS_BURST
        self._refilled_at = now

    def try_acquire(self, now: float) -> bool:
        """Consumes a token; returns False if no dial is allowed now."""
        refill = max(0.0, now - self._refilled_at) * DIALS_PER_SECOND
        self._tokens = min(DIALS_BURST, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
