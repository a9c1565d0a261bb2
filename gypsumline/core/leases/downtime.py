"""Time that executors need to return after a crash."""

from __future__ import annotations

from collections.abc import Iterable

# Weight of the newest time in the mean.
_NEWEST_WEIGHT = 0.3


class ExecutorDowntime:
    """Learns how long crashed executors are away.

    Args:
      limit: Time after which an executor is no longer expected back; in
        seconds, like all times.
    """

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._mean: float | None = None
        # Time of the crash by agent.
        self._away: dict[str, float] = {}

    def on_crash(self, agent_id: str, at: float) -> None:
        """Records the crash of the executor beside an agent."""
        self._away.setdefault(agent_id, at)

    def on_return(self, agent_id: str, now: float) -> None:
        """Learns from an executor that takes runs again."""
        at = self._away.pop(agent_id, None)
        if at is None or now - at > self._limit:
            return
        time = max(0.0, now - at)
        if self._mean is None:
            self._mean = time
        else:
            self._mean += _NEWEST_WEIGHT * (time - self._mean)

    def return_in(self, agent_ids: Iterable[str], now: float) -> float | None:
        """Returns the seconds until the first of some executors is back.

        None if no time is known or no crash of them.
        """
        if self._mean is None:
            return None
        known = [self._away[name] for name in agent_ids if name in self._away]
        if not known:
            return None
        return max(0.0, min(known) + self._mean - now)

    def expire(self, now: float) -> None:
        """Forgets executors that did not return."""
        for name, at in list(self._away.items()):
            if now - at > self._limit:
                del self._away[name]
