"""Which resources of an executor are taken, and by whom."""

from __future__ import annotations

import collections

from gypsumline.core.identity import Member
from gypsumline.core.leases.resources import NO_RESOURCES, Resources


class ResourceUsage:
    """Sums of what the runs of each owner take."""

    def __init__(self) -> None:
        self._used = NO_RESOURCES
        self._by_owner: collections.Counter[Member] = collections.Counter()

    @property
    def used(self) -> Resources:
        """What all runs take."""
        return self._used

    def processor_used_by(self, owner: Member) -> int:
        """Returns what the runs of an owner take, in thousandths of a core."""
        return self._by_owner[owner]

    def reserve(self, owner: Member, resources: Resources) -> None:
        """Adds a run."""
        self._used = self._used + resources
        self._by_owner[owner] += resources.processor

    def release(self, owner: Member, resources: Resources) -> None:
        """Removes a run."""
        self._used = self._used - resources
        self._by_owner[owner] -= resources.processor
        if not self._by_owner[owner]:
            del self._by_owner[owner]
