"""Fencing token of an agent."""

from __future__ import annotations

# First increment of a token that the executor rejects as too low; it doubles
# with each rejection. An earlier agent may have derived its token from a clock
# that was ahead.
_INITIAL_STEP = 10_000


class FencingToken:
    """Number on each order; executors reject orders with a lower one than seen.

    Attributes:
      value: Current token.
    """

    def __init__(self, value: int) -> None:
        self.value = value
        self._step = _INITIAL_STEP

    @property
    def next_value(self) -> int:
        """Token after the next `advance`."""
        return self.value + 1

    def advance(self) -> None:
        """Raises the token, which fences all orders sent before."""
        self.value = self.next_value

    def on_accepted(self) -> None:
        """Resets the increment after the current token was accepted."""
        self._step = _INITIAL_STEP

    def on_refused(self, refused: int) -> bool:
        """Raises the token if the refused one is current.

        Args:
          refused: Token that the executor rejected as too low.

        Returns:
          Whether the token was raised.
        """
        if refused < self.value:
            return False
        self.value += self._step
        self._step *= 2
        return True
