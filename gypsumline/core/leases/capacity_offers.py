"""Which owner is asked first when an executor has room again."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from gypsumline.core.identity import Member
from gypsumline.core.leases.messages import CapacityRequest

# Time for which room is kept for the owner that was asked: some round trips
# between availability zones.
OFFER_SECONDS = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class _Offer:
    processor: int
    until: float


class CapacityOffers:
    """Room that is kept for the most urgent owners for a short time.

    Without it all owners that wait for room ask for the same room at once: the
    nearest one wins, whatever the others' priorities, and each lost race costs
    a round trip.
    """

    def __init__(self) -> None:
        self._offers: dict[Member, _Offer] = {}
        self._declined: set[Member] = set()

    def offered_to_others(self, owner: Member, now: float) -> int:
        """Returns the processor that is offered to owners other than this."""
        return sum(
            offer.processor
            for other, offer in self._offers.items()
            if other != owner and offer.until > now
        )

    def is_pending(self, owner: Member, now: float) -> bool:
        """Returns whether the owner has been asked and has not answered."""
        offer = self._offers.get(owner)
        return offer is not None and offer.until > now

    def resolve(self, owner: Member) -> None:
        """Takes a message of an owner that was asked.

        It is not asked again before more room comes up.
        """
        if self._offers.pop(owner, None) is not None:
            self._declined.add(owner)

    def on_capacity_freed(self) -> None:
        """Takes note of more room: all owners may be asked again."""
        self._declined.clear()

    def make_offers(
        self,
        capacity_requests: Iterable[tuple[Member, CapacityRequest]],
        free: int,
        now: float,
    ) -> list[Member]:
        """Offers free capacity by urgency; returns the owners asked."""
        for owner, offer in list(self._offers.items()):
            if offer.until <= now:
                del self._offers[owner]
                self._declined.add(owner)
        left = free - sum(offer.processor for offer in self._offers.values())
        asked = []
        for owner, request in capacity_requests:
            if left <= 0:
                break
            if owner in self._offers or owner in self._declined:
                continue
            processor = min(request.processor, left)
            self._offers[owner] = _Offer(processor, now + OFFER_SECONDS)
            left -= processor
            asked.append(owner)
        return asked
