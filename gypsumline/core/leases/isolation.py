"""Detection that an owner reaches no agent any more."""

from __future__ import annotations

import math


class IsolationDetector:
    """Tells for how long an owner has had no usable agent.

    After a pause of its own process its view of the agents is old, although
    they may be reachable, so that their messages are waited for first.

    Args:
      limit: Seconds without a usable agent; also the time between two checks
        that counts as a pause.
    """

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._checked_at = -math.inf
        self._last_usable_at = -math.inf

    def check(self, usable_agents: int, now: float) -> bool:
        """Returns whether no agent was usable for longer than the limit."""
        was_paused = now - self._checked_at > self._limit
        self._checked_at = now
        if was_paused or usable_agents:
            self._last_usable_at = now
        return now - self._last_usable_at > self._limit
