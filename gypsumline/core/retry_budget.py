"""Token bucket that limits retries to a ratio of the requests."""

from __future__ import annotations


class RetryBudget:
    """Allows retries up to a ratio of the requests.

    Each request adds `ratio` tokens and each retry takes one token, so retries
    cannot multiply the load when all requests fail.
    """

    def __init__(self, ratio: float = 0.1, capacity: float = 10.0) -> None:
        """Creates a full budget.

        Args:
          ratio: Retries allowed per request.
          capacity: Maximum number of tokens.
        """
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """Tokens that are available for retries."""
        return self._tokens

    def record_request(self) -> None:
        """Adds the tokens of one request."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Takes a token for one retry and returns whether there was one."""
        # Adding up the ratio reaches a whole token only up to rounding errors.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True
