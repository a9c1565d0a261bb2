"""Resources of an executor in use, in total and by owner."""

from __future__ import annotations

import collections

from gypsumline.core.identity import Member
from gypsumline.core.leases.resources import NO_RESOURCES, Resources


class ResourceUsage:
    """Sums the resources that runs hold."""

    def __init__(self) -> None:
        self._used = NO_RESOURCES
        self._by_owner: collections.Counter[Member] = collections.Counter()

    @property
    def used(self) -> Resources:
        """Resources that all runs hold."""
        return self._used

    def processor_used_by(self, owner: Member) -> int:
        """Returns the processor use of an owner, in thousandths of a core."""
        return self._by_owner[owner]

    def reserve(self, owner: Member, resources: Resources) -> None:
        """Adds the resources of a run."""
        self._used = self._used + resources
        self._by_owner[owner] += resources.processor

    def release(self, owner: Member, resources: Resources) -> None:
        """Subtracts the resources of a run."""
        self._used = self._used - resources
        self._by_owner[owner] -= resources.processor
        if not self._by_owner[owner]:
            del self._by_owner[owner]
