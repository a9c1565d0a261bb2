"""Offers of freed executor capacity to the most urgent owners."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from gypsumline.core.identity import Member
from gypsumline.core.leases.messages import CapacityRequest

# Time for which offered capacity is reserved: a few round trips between
# availability zones.
OFFER_SECONDS = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class _Offer:
    processor: int
    until: float


class CapacityOffers:
    """Capacity reserved for a short time for the most urgent owners.

    Without offers all waiting owners would order the same capacity at once: the
    nearest one would win regardless of priority, and each lost race would cost
    a round trip.
    """

    def __init__(self) -> None:
        self._offers: dict[Member, _Offer] = {}
        self._declined: set[Member] = set()

    def offered_to_others(self, owner: Member, now: float) -> int:
        """Returns the processor capacity offered to other owners."""
        return sum(
            offer.processor
            for other, offer in self._offers.items()
            if other != owner and offer.until > now
        )

    def is_pending(self, owner: Member, now: float) -> bool:
        """Returns whether an offer to the owner is unanswered and valid."""
        offer = self._offers.get(owner)
        return offer is not None and offer.until > now

    def close_offer(self, owner: Member) -> None:
        """Closes the offer to an owner that has answered.

        The owner gets no other offer before more capacity is freed.
        """
        if self._offers.pop(owner, None) is not None:
            self._declined.add(owner)

    def on_capacity_freed(self) -> None:
        """Makes all owners eligible again after capacity was freed."""
        self._declined.clear()

    def make_offers(
        self,
        capacity_requests: Iterable[tuple[Member, CapacityRequest]],
        free: int,
        now: float,
    ) -> list[Member]:
        """Offers free capacity in the order of the requests.

        Args:
          capacity_requests: Requests of owners, most urgent first.
          free: Free processor capacity, in thousandths of a core.
          now: Current time.

        Returns:
          The owners that get an offer.
        """
        for owner, offer in list(self._offers.items()):
            if offer.until <= now:
                del self._offers[owner]
                self._declined.add(owner)
        left = free - sum(offer.processor for offer in self._offers.values())
        offered_to = []
        for owner, request in capacity_requests:
            if left <= 0:
                break
            if owner in self._offers or owner in self._declined:
                continue
            processor = min(request.processor, left)
            self._offers[owner] = _Offer(processor, now + OFFER_SECONDS)
            left -= processor
            offered_to.append(owner)
        return offered_to
