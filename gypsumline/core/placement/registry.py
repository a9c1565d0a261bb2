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

    @property
    def is_exhausted(self) -> bool:
        """Whether no further task can be placed in this pass."""

    def begin(self, pools: list[Pool]) -> None:
        """Begins a pass over the unplaced tasks, first job first."""

    def choose(self, pools: list[Pool], work: float) -> AgentView | None:
        """Returns an agent for a task, or None if it should wait.

        Args:
          pools: Pools that take the task's kind.
          work: Expected run time at speed 1, in seconds.
        """

    def placed(self, pools: list[Pool], agent: AgentView) -> None:
        """Takes note that the agent got the task."""


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
