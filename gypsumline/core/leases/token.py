"""The fencing token of an agent."""

from __future__ import annotations

# A token that an executor calls too low grows by this, doubled each time: an
# earlier agent may have drawn its first token from a clock that ran ahead.
_INITIAL_STEP = 10_000


class FencingToken:
    """A number on each order; an executor ignores lower ones than it has seen.

    Attributes:
      value: The present number.
    """

    def __init__(self, value: int) -> None:
        self.value = value
        self._step = _INITIAL_STEP

    def advance(self) -> None:
        """Fences all orders that were sent before."""
        self.value += 1

    def on_accepted(self) -> None:
        """Takes note that the executor has accepted the present number."""
        self._step = _INITIAL_STEP

    def on_refused(self, refused: int) -> bool:
        """Raises the number if it was too low; returns whether it was."""
        if refused < self.value:
            return False
        self.value += self._step
        self._step *= 2
        return True
