"""Labels of metrics whose values come from outside."""

from __future__ import annotations

OTHER = "other"


class BoundedLabels:
    """Replaces labels beyond a limit, so that no input can fill the memory.

    Args:
      limit: Maximum number of combinations with a series of their own.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._known: set[tuple[str, ...]] = set()

    def __call__(self, *values: str) -> tuple[str, ...]:
        """Returns the values, or `OTHER` for each if there are too many."""
        if values not in self._known:
            if len(self._known) >= self._limit:
                return (OTHER,) * len(values)
            self._known.add(values)
        return values
