"""Share of the orders to an executor that get no answer in time."""

from __future__ import annotations

import math

# Weights of a new order in the share, which follows within about 16 of them,
# and in the share that operators are told of.
_WEIGHT = 1.0 / 16.0
_REPORTED_WEIGHT = 1.0 / 64.0
# Time without orders after which half of the share is forgotten.
_HALF_LIFE_SECONDS = 5.0
# Share from which on calls count as going unanswered: one of them does for the
# next few orders.
_LOSSY_SHARE = 0.04
# Bounds of the share at which operators are told, and told of the recovery.
REPORTED_SHARE = 0.25
RECOVERED_SHARE = 0.05


class UnansweredShare:
    """Exponential average over the orders to one executor."""

    def __init__(self) -> None:
        self._value = 0.0
        self._slow_value = 0.0
        self._updated_at = -math.inf
        self._is_reported = False

    def value(self, now: float) -> float:
        """Returns the share, from 0 to 1."""
        if not self._value:
            return 0.0
        age = now - self._updated_at
        return self._value * 0.5 ** (age / _HALF_LIFE_SECONDS)

    def is_lossy(self, now: float) -> bool:
        """Returns whether orders have gone unanswered of late."""
        return self._value >= _LOSSY_SHARE and self.value(now) >= _LOSSY_SHARE

    def record(self, is_answered: bool, now: float) -> None:
        """Records an order that was answered or reached its time limit."""
        value = self.value(now)
        self._value = value + _WEIGHT * ((not is_answered) - value)
        slow = self._slow_value
        self._slow_value = slow + _REPORTED_WEIGHT * ((not is_answered) - slow)
        self._updated_at = now

    def take_change(self) -> bool | None:
        """Returns a change for the operators, once.

        Returns:
          True if the share has passed its bound, False if it has fallen back;
          None without a change.
        """
        value = self._slow_value
        if self._is_reported and value < RECOVERED_SHARE:
            self._is_reported = False
            return False
        if not self._is_reported and value >= REPORTED_SHARE:
            self._is_reported = True
            return True
        return None
