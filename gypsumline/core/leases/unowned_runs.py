"""Runs at an executor that its agent does not know."""

from __future__ import annotations

import math
from collections.abc import Iterable

RunName = tuple[str, int]


class UnownedRuns:
    """Runs of earlier agents and of delayed orders, which are stopped.

    Args:
      retry_interval: Seconds between repeated stop orders.
    """

    def __init__(self, retry_interval: float) -> None:
        self._retry_interval = retry_interval
        self._stop_sent_at: dict[RunName, float] = {}

    def __bool__(self) -> bool:
        return bool(self._stop_sent_at)

    def replace(self, names: Iterable[RunName]) -> list[RunName]:
        """Sets the unowned runs of the newest list; returns the new ones."""
        earlier = self._stop_sent_at
        self._stop_sent_at = {
            name: earlier.get(name, -math.inf) for name in sorted(names)
        }
        return [name for name in self._stop_sent_at if name not in earlier]

    def clear(self) -> None:
        """Removes all, when the incarnation of the executor ends."""
        self._stop_sent_at.clear()

    def due_stops(self, now: float) -> list[RunName]:
        """Returns the runs whose next stop order is due."""
        names = [
            name
            for name, sent_at in self._stop_sent_at.items()
            if now >= sent_at + self._retry_interval
        ]
        for name in names:
            self._stop_sent_at[name] = now
        return names
