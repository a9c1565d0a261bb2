"""An agent's contact with the owners of its runs."""

from __future__ import annotations

import dataclasses
import math

from gypsumline.core.effects import Send
from gypsumline.core.identity import Member
from gypsumline.core.leases.messages import (
    CapacityRequest,
    ContactPing,
    ExecutorLoad,
    StartRuns,
)
from gypsumline.core.leases.settings import LeaseSettings

# Messages of one owner that may wait for a sign of life.
_MAX_DEFERRED_STARTS = 256
# An owner without a stream is forgotten after this time.
CONTACT_RETENTION_SECONDS = 10.0


@dataclasses.dataclass(slots=True)
class _Contact:
    """What is known of one owner.

    Attributes:
      answered_stamp: Stamp of the newest ping that it answered.
      pinged_at: Time of the newest ping.
      is_connected: Whether a stream to it is open.
      capacity_request: Its most urgent job that waits for room.
      capacity_requested_at: Time at which it told so.
      orders_seen: Run orders taken from its stream.
      deferred_starts: Starts that wait for a sign of life.
    """

    answered_stamp: float = -math.inf
    pinged_at: float = -math.inf
    is_connected: bool = False
    capacity_request: CapacityRequest | None = None
    capacity_requested_at: float = -math.inf
    orders_seen: int = 0
    deferred_starts: list[StartRuns] = dataclasses.field(default_factory=list)


class OwnerContacts:
    """Which owners are known to live, by the pings that they answered."""

    def __init__(self, settings: LeaseSettings) -> None:
        self._settings = settings
        self._contacts: dict[Member, _Contact] = {}

    @property
    def connected(self) -> list[Member]:
        """Owners with an open stream."""
        found = self._contacts.items()
        return [owner for owner, contact in found if contact.is_connected]

    def capacity_requests(
        self, now: float
    ) -> list[tuple[Member, CapacityRequest]]:
        """Returns what connected owners wait for, the most urgent first.

        Of one priority, jobs that can still be in time come first.
        """
        found = []
        for owner, contact in self._contacts.items():
            request = contact.capacity_request
            if contact.is_connected and request is not None:
                slack = request.slack - (now - contact.capacity_requested_at)
                urgency = (request.priority, slack < 0.0, slack)
                found.append((urgency, owner, request))
        found.sort(key=lambda item: item[:2])
        return [(owner, request) for _, owner, request in found]

    def connect(self, owner: Member) -> None:
        """Takes a new stream; orders are counted from its start."""
        contact = self._contacts.setdefault(owner, _Contact())
        contact.is_connected = True
        contact.orders_seen = 0
        contact.deferred_starts.clear()

    def disconnect(self, owner: Member) -> None:
        """Takes the end of a stream."""
        contact = self._contacts.get(owner)
        if contact is not None:
            contact.is_connected = False
            contact.capacity_request = None
            contact.deferred_starts.clear()

    def is_connected(self, owner: Member) -> bool:
        """Returns whether a stream to the owner is open."""
        contact = self._contacts.get(owner)
        return contact is not None and contact.is_connected

    def record_answer(self, owner: Member, stamp: float) -> None:
        """Takes the stamp of a ping that the owner has answered."""
        contact = self._contacts.get(owner)
        if contact is not None:
            contact.answered_stamp = max(contact.answered_stamp, stamp)

    def contact_age(self, owner: Member, now: float) -> float:
        """Returns seconds since the newest ping that the owner answered."""
        contact = self._contacts.get(owner)
        return math.inf if contact is None else now - contact.answered_stamp

    def is_in_contact(self, owner: Member, now: float) -> bool:
        """Returns whether the owner's runs may go on."""
        return self.contact_age(owner, now) <= self._settings.contact_limit

    def set_capacity_request(
        self, owner: Member, request: CapacityRequest | None, now: float
    ) -> None:
        """Notes what the owner waits for."""
        contact = self._contacts.get(owner)
        if contact is not None:
            contact.capacity_request = request
            contact.capacity_requested_at = now

    def count_orders(self, owner: Member, count: int) -> None:
        """Counts run orders that were decided on."""
        contact = self._contacts.get(owner)
        if contact is not None:
            contact.orders_seen += count

    def orders_seen(self, owner: Member) -> int:
        """Returns how many of the owner's orders were decided on."""
        contact = self._contacts.get(owner)
        return 0 if contact is None else contact.orders_seen

    def defer_start(self, owner: Member, message: StartRuns) -> bool:
        """Keeps a start until the owner gives a sign of life.

        Returns:
          Whether there is room to keep it.
        """
        contact = self._contacts.get(owner)
        if (
            contact is None
            or len(contact.deferred_starts) >= _MAX_DEFERRED_STARTS
        ):
            return False
        contact.deferred_starts.append(message)
        return True

    def take_deferred_starts(self, owner: Member) -> list[StartRuns]:
        """Returns the starts that waited."""
        contact = self._contacts.get(owner)
        if contact is None:
            return []
        deferred, contact.deferred_starts = contact.deferred_starts, []
        return deferred

    def withdraw_deferred(
        self, owner: Member, names: set[tuple[str, int]]
    ) -> None:
        """Drops waiting starts that their owner has withdrawn."""
        contact = self._contacts.get(owner)
        if contact is None:
            return
        kept: list[StartRuns] = []
        for message in contact.deferred_starts:
            orders = tuple(
                order
                for order in message.orders
                if (order.task, order.attempt) not in names
            )
            contact.orders_seen += len(message.orders) - len(orders)
            if orders:
                kept.append(dataclasses.replace(message, orders=orders))
        contact.deferred_starts = kept

    def prune(self, busy: set[Member], now: float) -> None:
        """Forgets owners that are gone and have no runs here."""
        for owner, contact in list(self._contacts.items()):
            age = now - contact.answered_stamp
            is_gone = not contact.is_connected and owner not in busy
            if is_gone and age > CONTACT_RETENTION_SECONDS:
                del self._contacts[owner]

    def owners_to_ping(self, busy: set[Member], now: float) -> list[Member]:
        """Returns the connected owners that are to be pinged now."""
        settings = self._settings
        found = []
        for owner, contact in self._contacts.items():
            if not contact.is_connected:
                continue
            is_busy = owner in busy
            interval = (
                settings.busy_ping_interval
                if is_busy
                else settings.idle_ping_interval
            )
            if now - contact.pinged_at >= interval:
                found.append(owner)
        return found

    def ping(self, owner: Member, load: ExecutorLoad, now: float) -> Send:
        """Returns a ping to an owner."""
        contact = self._contacts.get(owner)
        if contact is not None:
            contact.pinged_at = now
        return Send(
            to=owner.member_id, message=ContactPing(stamp=now, load=load)
        )
