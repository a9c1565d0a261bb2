"""Baseline policies, which bind a task to an upstream when it arrives."""

from __future__ import annotations

import random

from gypsumline.core.placement.fleet import AgentView, Pool
from gypsumline.core.placement.registry import placement_policy
from gypsumline.core.placement.settings import PlacementSettings


class _BindAtArrival:
    """Base of the policies that choose among all usable agents."""

    binds_at_arrival = True

    def __init__(self, settings: PlacementSettings, rng: random.Random) -> None:
        self._rng = rng

    @property
    def is_exhausted(self) -> bool:
        """Always False: a queue without a bound takes any task."""
        return False

    def begin(self, pools: list[Pool]) -> None:
        """Does nothing: each choice stands alone."""

    def choose(self, pools: list[Pool], work: float) -> AgentView | None:
        """Returns an agent, or None if there is none."""
        members = pools[0].members if pools else []
        if len(pools) > 1:
            members = [agent for pool in pools for agent in pool.members]
        return self._pick(members) if members else None

    def placed(self, pools: list[Pool], agent: AgentView) -> None:
        """Does nothing: each choice stands alone."""

    def _pick(self, members: list[AgentView]) -> AgentView:
        raise NotImplementedError


@placement_policy("random")
class RandomPolicy(_BindAtArrival):
    """Takes any agent."""

    def _pick(self, members: list[AgentView]) -> AgentView:
        return self._rng.choice(members)


@placement_policy("round_robin")
class RoundRobinPolicy(_BindAtArrival):
    """Takes the agents in turn."""

    def __init__(self, settings: PlacementSettings, rng: random.Random) -> None:
        super().__init__(settings, rng)
        self._next = rng.randrange(1 << 16)

    def _pick(self, members: list[AgentView]) -> AgentView:
        self._next += 1
        return members[self._next % len(members)]


def reported_load(agent: AgentView) -> float:
    """Returns the tasks per slot that the agent's last report told."""
    state = agent.state
    return (state.slots - state.free + state.queued) / max(1, state.slots)


def known_load(agent: AgentView) -> float:
    """Returns the tasks per slot, the owner's own up to date."""
    return agent.load / max(1, agent.state.slots)


@placement_policy("least_loaded")
class LeastLoadedPolicy(_BindAtArrival):
    """Takes the agent with the least load in its last report."""

    def _pick(self, members: list[AgentView]) -> AgentView:
        return min(members, key=reported_load)


@placement_policy("power_of_two")
class PowerOfTwoPolicy(_BindAtArrival):
    """Takes the less loaded one of two random agents."""

    def _pick(self, members: list[AgentView]) -> AgentView:
        first = self._rng.choice(members)
        second = self._rng.choice(members)
        return min(first, second, key=known_load)
