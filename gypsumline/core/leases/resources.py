"""Amounts of processor, memory and accelerator resources."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Resources:
    """An amount of each resource of an executor.

    Attributes:
      processor: Thousandths of a core.
      memory: Megabytes.
      accelerators: Number of accelerators.
    """

    processor: int = 0
    memory: int = 0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            processor=self.processor + other.processor,
            memory=self.memory + other.memory,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            processor=self.processor - other.processor,
            memory=self.memory - other.memory,
            accelerators=self.accelerators - other.accelerators,
        )

    def min(self, other: Resources) -> Resources:
        """Returns the smaller amount of each resource."""
        return Resources(
            processor=min(self.processor, other.processor),
            memory=min(self.memory, other.memory),
            accelerators=min(self.accelerators, other.accelerators),
        )

    def fits(self, available: Resources) -> bool:
        """Returns whether no resource exceeds the available amount."""
        return (
            self.processor <= available.processor
            and self.memory <= available.memory
            and self.accelerators <= available.accelerators
        )


NO_RESOURCES = Resources()
