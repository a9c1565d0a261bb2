"""Registry of placement policies."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol, TypeVar

from gypsumline.core.errors import GypsumlineError
from gypsumline.core.placement.fleet import AgentView, Pool
from gypsumline.core.placement.settings import PlacementSettings


class UnknownPolicyError(GypsumlineError):
    """The placement policy in the settings is not registered."""

    def __init__(self, name: str) -> None:
        allowed = ", ".join(sorted(PLACEMENT_POLICIES))
        super().__init__(f"policy is {name!r}; allowed: {allowed}")


class PlacementPolicy(Protocol):
    """Chooses an agent for a task.

    Attributes:
      binds_at_arrival: Whether a task is assigned to an agent as soon as it
        arrives. Otherwise it waits at the owner until an agent is a candidate.
    """

    binds_at_arrival: bool

    def __init__(
        self, settings: PlacementSettings, rng: random.Random
    ) -> None: ...

    @property
    def is_exhausted(self) -> bool:
        """Whether no further task can be placed in this pass."""

    def begin(self, pools: list[Pool]) -> None:
        """Begins a pass over the unplaced tasks in the order of their jobs."""

    def choose(self, pools: list[Pool], work: float) -> AgentView | None:
        """Returns an agent for a task, or None if it should wait.

        Args:
          pools: Pools that accept the task's kind.
          work: Expected run time at speed 1, in seconds.
        """

    def placed(self, pools: list[Pool], agent: AgentView) -> None:
        """Handles the assignment of the chosen task to the agent."""


PLACEMENT_POLICIES: dict[str, type[PlacementPolicy]] = {}

_PolicyType = TypeVar("_PolicyType", bound=type[PlacementPolicy])


def placement_policy(name: str) -> Callable[[_PolicyType], _PolicyType]:
    """Returns a class decorator that registers a policy under a name."""

    def register(cls: _PolicyType) -> _PolicyType:
        PLACEMENT_POLICIES[name] = cls
        return cls

    return register


def make_policy(
    settings: PlacementSettings, rng: random.Random
) -> PlacementPolicy:
    """Returns the policy that is named in the settings."""
    policy = PLACEMENT_POLICIES.get(settings.policy)
    if policy is None:
        raise UnknownPolicyError(settings.policy)
    return policy(settings, rng)
