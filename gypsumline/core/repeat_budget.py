"""Bound on requests that are placed again after an unknown outcome."""

from __future__ import annotations

from gypsumline.core.owner_settings import OwnerSettings


class RepeatBudget:
    """A share of the requests, with a small burst.

    Without a bound, requests that are placed again could double the load just
    when agents are lost.
    """

    def __init__(self, settings: OwnerSettings) -> None:
        self._settings = settings
        self._tokens = settings.retry_burst

    def add_request(self) -> None:
        """Counts one request."""
        more = self._tokens + self._settings.retry_share
        self._tokens = min(more, self._settings.retry_burst)

    def take(self) -> bool:
        """Takes one repeat if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
