"""When an owner proposes a new list of keepers.

Lists change seldom: an agent that is away for a while only costs its keys one
of three answers.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Sequence

from gypsumline.core.leases.effects import ProposeKeepers
from gypsumline.core.leases.fleet import AgentView, Fleet
from gypsumline.core.leases.keeper_views import KeeperView, KeeperViews
from gypsumline.core.leases.keepers import KEEPERS_MAX, Keeper, KeeperList

# Time without a new agent after which the first list is proposed, and at most
# from the first agent on.
FIRST_LIST_QUIET_SECONDS = 0.5
FIRST_LIST_MAX_SECONDS = 2.0
# Age of a stream from which its agent is added, and time without one after
# which its agent is removed. After its executor has said that it leaves, the
# end of the stream is enough.
ADDITION_SECONDS = 2.0
REMOVAL_SECONDS = 30.0
# Time without a majority of the keepers after which the list is replaced
# without them.
RESET_SECONDS = 15.0
# Time between two checks after which the process was paused, so that it does
# not know how long agents have been away.
PAUSE_SECONDS = 1.0
# Time for another entry's proposal to become known.
PROPOSAL_INTERVAL_SECONDS = 3.0


class KeeperChanges:
    """Compares the newest list with the agents that the owner reaches."""

    def __init__(self, fleet: Fleet, views: KeeperViews) -> None:
        self._fleet = fleet
        self._views = views
        self._proposed_at = -math.inf
        self._current_at = -math.inf
        self._checked_at = -math.inf
        # Start, or end of the latest pause of this process.
        self._awake_since = -math.inf

    def propose(self, now: float) -> list[ProposeKeepers]:
        """Returns the change of the list that is due, if there is one."""
        if now - self._checked_at > PAUSE_SECONDS:
            self._awake_since = now
        self._checked_at = now
        view = self._views.newest
        if view is not None and view.is_current(now):
            self._current_at = now
        if now - self._proposed_at < PROPOSAL_INTERVAL_SECONDS:
            return []
        if view is None:
            keepers = self._first_list(now)
        elif view.is_settled(now) and view.is_current(now):
            keepers = self._next_list(view, now)
        else:
            keepers = self._reset_list(view, now)
        if keepers is None:
            return []
        self._proposed_at = now
        return [ProposeKeepers(keepers=keepers)]

    def _first_list(self, now: float) -> KeeperList | None:
        agents = self._usable()
        if not agents or any(agent.keepers_version for agent in agents):
            return None
        times = [agent.changed_at for agent in agents]
        is_quiet = now - max(times) >= FIRST_LIST_QUIET_SECONDS
        if not is_quiet and now - min(times) < FIRST_LIST_MAX_SECONDS:
            return None
        return KeeperList(version=1, members=balance_zones(_keepers(agents)))

    def _next_list(self, view: KeeperView, now: float) -> KeeperList | None:
        keepers = view.keepers
        kept = [k for k in keepers.members if not self._is_gone(k, view, now)]
        listed = {keeper.member_id for keeper in keepers.members}
        added = [
            _keeper(agent)
            for agent in self._usable()
            if agent.member.member_id not in listed
            and now - agent.changed_at >= ADDITION_SECONDS
            and not agent.load.is_leaving
        ]
        members = balance_zones([*kept, *sorted(added)])
        is_changed = members != keepers.members
        if not is_changed and not keepers.previous and not keepers.is_reset:
            return None
        # Entries that start need not wait for a change that is settled.
        previous = keepers.members if is_changed else ()
        return KeeperList(
            version=view.version + 1, members=members, previous=previous
        )

    def _reset_list(self, view: KeeperView, now: float) -> KeeperList | None:
        # A list that is current may still be one that is never settled.
        stuck_since = max(view.learned_at, self._awake_since)
        if not view.is_current(now):
            stuck_since = max(stuck_since, self._current_at)
        agents = self._usable()
        if not agents or now - stuck_since < RESET_SECONDS:
            return None
        return KeeperList(
            version=view.version + 1,
            members=balance_zones(_keepers(agents)),
            is_reset=True,
        )

    def _is_gone(self, keeper: Keeper, view: KeeperView, now: float) -> bool:
        agent = self._fleet.named(keeper.member_id)
        away_since = max(view.learned_at, self._awake_since)
        if agent is not None:
            if agent.is_connected:
                return False
            if agent.load.is_leaving:
                return True
            away_since = max(away_since, agent.changed_at)
        return now - away_since >= REMOVAL_SECONDS

    def _usable(self) -> list[AgentView]:
        return [a for a in self._fleet if a.is_connected and a.keeps_locks]


def balance_zones(candidates: Sequence[Keeper]) -> tuple[Keeper, ...]:
    """Returns the members of a list, the first candidates of each zone.

    No zone of three or more has half of them, so that the loss of one zone
    leaves a majority.
    """
    zones: dict[str, list[Keeper]] = {}
    for keeper in candidates:
        zones.setdefault(keeper.availability_zone, []).append(keeper)
    by_size = sorted(zones.values(), key=len)
    if len(by_size) > 2:
        others = sum(map(len, by_size[:-1]))
        del by_size[-1][others - 1 :]
    rounds = itertools.zip_longest(*by_size)
    taken = [keeper for each in rounds for keeper in each if keeper]
    return tuple(sorted(taken[:KEEPERS_MAX]))


def _keepers(agents: list[AgentView]) -> list[Keeper]:
    return sorted(map(_keeper, agents))


def _keeper(agent: AgentView) -> Keeper:
    member = agent.member
    return Keeper(member.member_id, member.availability_zone)
