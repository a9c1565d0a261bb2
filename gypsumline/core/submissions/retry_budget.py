"""Budget for retries: a part of the requests, saved up as tokens."""

from __future__ import annotations


class RetryBudget:
    """Allows retries up to a ratio of the requests.

    Each request adds `ratio` tokens and each retry takes one, so that retries
    cannot multiply the load when everything fails.
    """

    def __init__(self, ratio: float = 0.1, capacity: float = 10.0) -> None:
        """Makes a budget that starts full.

        Args:
          ratio: Retries allowed for each request.
          capacity: Most tokens that are saved up.
        """
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """Retries that are allowed now."""
        return self._tokens

    def record_request(self) -> None:
        """Adds the share of one request."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Takes a token for one retry; returns whether there was one."""
        # Sums of the ratio miss whole tokens by rounding errors.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True
