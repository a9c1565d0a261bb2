"""Baseline policies, which assign a task to an agent when it arrives."""

from __future__ import annotations

import random

from gypsumline.core.placement.fleet import AgentView, Pool
from gypsumline.core.placement.registry import placement_policy
from gypsumline.core.placement.settings import PlacementSettings


class _ImmediateBindingPolicy:
    """Base of the policies that choose among all usable agents."""

    binds_at_arrival = True

    def __init__(self, settings: PlacementSettings, rng: random.Random) -> None:
        self._rng = rng

    @property
    def is_exhausted(self) -> bool:
        """Always False, as the queues of the agents have no limit here."""
        return False

    def begin(self, pools: list[Pool]) -> None:
        """Does nothing, as choices are independent of each other."""

    def choose(self, pools: list[Pool], work: float) -> AgentView | None:
        """Returns an agent, or None if there is none."""
        members = pools[0].members if pools else []
        if len(pools) > 1:
            members = [agent for pool in pools for agent in pool.members]
        return self._pick(members) if members else None

    def placed(self, pools: list[Pool], agent: AgentView) -> None:
        """Does nothing, as choices are independent of each other."""

    def _pick(self, members: list[AgentView]) -> AgentView:
        raise NotImplementedError


@placement_policy("random")
class RandomPolicy(_ImmediateBindingPolicy):
    """Chooses an agent at random."""

    def _pick(self, members: list[AgentView]) -> AgentView:
        return self._rng.choice(members)


@placement_policy("round_robin")
class RoundRobinPolicy(_ImmediateBindingPolicy):
    """Chooses the agents in turn."""

    def __init__(self, settings: PlacementSettings, rng: random.Random) -> None:
        super().__init__(settings, rng)
        self._next = rng.randrange(1 << 16)

    def _pick(self, members: list[AgentView]) -> AgentView:
        self._next += 1
        return members[self._next % len(members)]


def reported_load(agent: AgentView) -> float:
    """Returns the tasks per slot by the agent's last report."""
    state = agent.state
    return (state.slots - state.free + state.queued) / max(1, state.slots)


def known_load(agent: AgentView) -> float:
    """Returns the tasks per slot, including the owner's latest assignments."""
    return agent.load / max(1, agent.state.slots)


@placement_policy("least_loaded")
class LeastLoadedPolicy(_ImmediateBindingPolicy):
    """Chooses the agent with the least load in its last report."""

    def _pick(self, members: list[AgentView]) -> AgentView:
        return min(members, key=reported_load)


@placement_policy("power_of_two")
class PowerOfTwoPolicy(_ImmediateBindingPolicy):
    """Chooses the less loaded of two random agents."""

    def _pick(self, members: list[AgentView]) -> AgentView:
        first = self._rng.choice(members)
        second = self._rng.choice(members)
        return min(first, second, key=known_load)
