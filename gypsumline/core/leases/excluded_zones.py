"""An agent's view of the availability zones that are out of service."""

from __future__ import annotations

from gypsumline.core.leases.messages import ZonesOut


class ExcludedZones:
    """Newest list of excluded zones, and the age of the owners' lists.

    Owners follow the operators' table and pass its changes on. While all of
    them are cut off from it, their lists stay as they are; each answer to a
    ping therefore says how old its owner's list is.

    Args:
      age_limit: Age of the newest of these lists, in seconds, at which the
        agent must read the table itself.
      now: Current time.
    """

    def __init__(self, age_limit: float, now: float) -> None:
        self._age_limit = age_limit
        self._newest = ZonesOut(version=-1, zones=())
        # An agent that starts gets a list from the first owner that connects.
        self._current_at = now

    @property
    def zones(self) -> tuple[str, ...]:
        """Names of the excluded zones."""
        return self._newest.zones

    def apply(self, message: ZonesOut) -> bool:
        """Applies a list unless it is stale; returns whether zones changed."""
        if message.version <= self._newest.version:
            return False
        has_changed = message.zones != self._newest.zones
        self._newest = message
        return has_changed

    def record_age(self, sent_at: float, age: float | None) -> None:
        """Records the age of an owner's list, which it has sent before.

        Args:
          sent_at: Time of the ping that the owner answered.
          age: Age of the list in seconds; None if it is unknown.
        """
        if age is not None:
            self._current_at = max(self._current_at, sent_at - age)

    def doubtful_in(self, now: float) -> float:
        """Returns the seconds until the table must be read; 0 if it is due."""
        return max(0.0, self._current_at + self._age_limit - now)
