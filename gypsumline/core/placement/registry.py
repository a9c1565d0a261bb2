"""Registry of placement policies."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol, TypeVar

from gypsumline.core.errors import GypsumlineError
from gypsumline.core.placement.fleet import AgentView, Pool
from gypsumline.core.placement.settings import PlacementSettings


class UnknownPolicyError(GypsumlineError):
    """Settings name a placement policy that is not registered."""

    def __init__(self, name: str) -> None:
        allowed = ", ".join(sorted(PLACEMENT_POLICIES))
        super().__init__(f"policy is {name!r}; allowed: {allowed}")


class PlacementPolicy(Protocol):
    """Chooses an agent for a task.

    Attributes:
      binds_at_arrival: Whether a task is put into the queue of an agent as
        soon as it arrives, or waits at the owner for a free place.
    """

    binds_at_arrival: bool

    def __init__(
        self, settings: PlacementSettings, rng: random.Random
    ) -> None: ...

    def choose(
        self, pools: list[Pool], works: list[float], waiting: int
    ) -> tuple[AgentView, int] | None:
        """Returns an agent and the position of the task that it gets.

        Args:
          pools: Pools that take the task's kind.
          works: Expected run times at speed 1 of the tasks that may be
            chosen, shortest first.
          waiting: Tasks ahead of these that were left waiting on purpose.

        Returns:
          None if the tasks should wait.
        """


PLACEMENT_POLICIES: dict[str, type[PlacementPolicy]] = {}

_PolicyType = TypeVar("_PolicyType", bound=type[PlacementPolicy])


def placement_policy(name: str) -> Callable[[_PolicyType], _PolicyType]:
    """Registers a placement policy under its name in the settings."""

    def register(cls: _PolicyType) -> _PolicyType:
        PLACEMENT_POLICIES[name] = cls
        return cls

    return register


def make_policy(
    settings: PlacementSettings, rng: random.Random
) -> PlacementPolicy:
    """Returns the policy that the settings name."""
    policy = PLACEMENT_POLICIES.get(settings.policy)
    if policy is None:
        raise UnknownPolicyError(settings.policy)
    return policy(settings, rng)
