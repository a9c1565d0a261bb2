"""An owner's knowledge of the lists of keepers, and of who else uses which.

A list may be used while a majority of its members is known to have had no
newer one a short while ago. A newer list is used without the quorum of the
version before only once no owner can use that version any more.
"""

from __future__ import annotations

import math

from gypsumline.core.leases.fleet import AgentView, Fleet
from gypsumline.core.leases.keepers import KeeperList, quorum
from gypsumline.core.leases.settings import LeaseSettings


class KeeperView:
    """One version of the list, as an owner sees it.

    Args:
      keepers: The list.
      settings: Times of the locks.
      now: Time at which the owner learned of it.
    """

    def __init__(
        self, keepers: KeeperList, settings: LeaseSettings, now: float
    ) -> None:
        self.keepers = keepers
        self._settings = settings
        self._learned_at = now
        self._members = {each.member_id for each in keepers.members}
        self._previous = {each.member_id for each in keepers.previous}
        # Newest time at which a member is known to have had no newer list.
        self._evidence: dict[str, float] = {}
        self._current_until = -math.inf
        # Members of the version before, by the first time at which they stated
        # this version or a newer one.
        self._moved_at: dict[str, float] = {}
        self._is_settled = not self._previous and not keepers.is_reset

    @property
    def version(self) -> int:
        """Version of the list."""
        return self.keepers.version

    @property
    def learned_at(self) -> float:
        """Time at which the owner learned of the list."""
        return self._learned_at

    def record_version(self, agent: AgentView, now: float) -> None:
        """Records the version of its newest list that an agent has stated."""
        member_id, version = agent.member.member_id, agent.keepers_version
        if 0 < version <= self.version and member_id in self._members:
            earlier = self._evidence.get(member_id, -math.inf)
            self._evidence[member_id] = max(earlier, agent.confirmed_at)
        if version >= self.version and member_id in self._previous:
            self._moved_at.setdefault(member_id, now)

    def is_current(self, now: float) -> bool:
        """Returns whether a majority is known to have had no newer list."""
        if now > self._current_until:
            newest = _majority_time(self._evidence, len(self._members))
            self._current_until = newest + self._settings.keepers_validity
        return now <= self._current_until

    def is_usable(self, now: float) -> bool:
        """Returns whether locks may be had under this list now."""
        is_waiting = self.keepers.is_reset and not self.is_settled(now)
        return not is_waiting and self.is_current(now)

    def is_settled(self, now: float) -> bool:
        """Returns whether no owner uses the version before any more."""
        if self._is_settled:
            return True
        since = self._learned_at
        if not self.keepers.is_reset:
            moved = {m: -at for m, at in self._moved_at.items()}
            since = -_majority_time(moved, len(self._previous))
        self._is_settled = now - since > self._settings.keepers_settling
        return self._is_settled


class KeeperViews:
    """The newest lists that an owner knows, the newest one first."""

    # Locks that were granted under one version move to the next one.
    _KEPT = 2

    def __init__(self, settings: LeaseSettings, fleet: Fleet) -> None:
        self._settings = settings
        self._fleet = fleet
        self._views: list[KeeperView] = []

    @property
    def newest(self) -> KeeperView | None:
        """View of the newest list; None if none is known."""
        return self._views[0] if self._views else None

    @property
    def newest_version(self) -> int:
        """Version of the newest list; 0 if none is known."""
        return self._views[0].version if self._views else 0

    def in_use(self, now: float) -> list[KeeperView]:
        """Returns the views under which locks may be had, the newest last.

        The one before counts as well while the newest is not settled.
        """
        newest = self.newest
        if newest is None or newest.is_settled(now):
            return self._views[:1]
        return self._views[::-1]

    def apply(self, keepers: KeeperList, now: float) -> KeeperView | None:
        """Adds a list; returns its view, or None if it is not newer."""
        if keepers.version <= self.newest_version or not keepers.members:
            return None
        view = KeeperView(keepers, self._settings, now)
        for agent in self._fleet:
            view.record_version(agent, now)
        self._views = [view, *self._views][: self._KEPT]
        return view

    def record_version(self, agent: AgentView, now: float) -> None:
        """Records the version of its newest list that an agent has stated."""
        for view in self._views:
            view.record_version(agent, now)


def _majority_time(times: dict[str, float], members: int) -> float:
    """Returns the newest time that a majority has reached, or -infinity."""
    needed = quorum(members)
    if len(times) < needed:
        return -math.inf
    return sorted(times.values(), reverse=True)[needed - 1]
