"""Liveness of the owners of an agent's runs."""

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

# Start messages of one owner that may be deferred.
_MAX_DEFERRED_STARTS = 256
# Owners without a stream and without runs are pruned after this time.
CONTACT_RETENTION_SECONDS = 10.0


@dataclasses.dataclass(slots=True)
class _Contact:
    """State of the contact with one owner.

    Attributes:
      answered_stamp: Stamp of the newest ping that it answered.
      pinged_at: Time of the newest ping.
      is_connected: Whether a stream to it is open.
      capacity_request: Request for its most urgent waiting job.
      capacity_requested_at: Time at which the request was received.
      is_confirmed: Whether it has answered a ping on the open stream.
      orders_seen: Number of run orders decided on since its stream opened.
      deferred_starts: Start messages that wait for an answered ping.
    """

    answered_stamp: float = -math.inf
    pinged_at: float = -math.inf
    is_connected: bool = False
    is_confirmed: bool = False
    capacity_request: CapacityRequest | None = None
    capacity_requested_at: float = -math.inf
    orders_seen: int = 0
    deferred_starts: list[StartRuns] = dataclasses.field(default_factory=list)


class OwnerContacts:
    """Tracks owners by the pings that they answered."""

    def __init__(self, settings: LeaseSettings) -> None:
        self._settings = settings
        self._contacts: dict[Member, _Contact] = {}

    @property
    def connected(self) -> list[Member]:
        """Owners with an open stream."""
        contacts = self._contacts.items()
        return [owner for owner, contact in contacts if contact.is_connected]

    def capacity_requests(
        self, now: float
    ) -> list[tuple[Member, CapacityRequest]]:
        """Returns capacity requests of connected owners, most urgent first.

        Within a priority, jobs that can still meet their objective come first.
        """
        requests = []
        for owner, contact in self._contacts.items():
            request = contact.capacity_request
            if contact.is_connected and request is not None:
                slack = request.slack - (now - contact.capacity_requested_at)
                urgency = (request.priority, slack < 0.0, slack)
                requests.append((urgency, owner, request))
        requests.sort(key=lambda item: item[:2])
        return [(owner, request) for _, owner, request in requests]

    def connect(self, owner: Member) -> None:
        """Records a new stream and restarts the count of its orders."""
        contact = self._contacts.setdefault(owner, _Contact())
        contact.is_connected = True
        contact.is_confirmed = False
        contact.orders_seen = 0
        contact.deferred_starts.clear()

    def disconnect(self, owner: Member) -> None:
        """Records the end of a stream and drops its deferred starts."""
        contact = self._contacts.get(owner)
        if contact is not None:
            contact.is_connected = False
            contact.capacity_request = None
            contact.deferred_starts.clear()

    def is_connected(self, owner: Member) -> bool:
        """Returns whether a stream to the owner is open."""
        contact = self._contacts.get(owner)
        return contact is not None and contact.is_connected

    def record_answer(self, owner: Member, stamp: float, now: float) -> None:
        """Records the stamp of a ping that the owner answered.

        One in the future is false, and would count as contact for too long.
        """
        contact = self._contacts.get(owner)
        if contact is not None and stamp <= now:
            contact.answered_stamp = max(contact.answered_stamp, stamp)

    def confirm(self, owner: Member) -> bool:
        """Records an answer; returns whether it is the first on its stream."""
        contact = self._contacts.get(owner)
        if contact is None or contact.is_confirmed:
            return False
        contact.is_confirmed = True
        return True

    def contact_age(self, owner: Member, now: float) -> float:
        """Returns the age of the newest ping that the owner answered."""
        contact = self._contacts.get(owner)
        return math.inf if contact is None else now - contact.answered_stamp

    def is_in_contact(self, owner: Member, now: float) -> bool:
        """Returns whether the contact is recent enough to keep its runs."""
        return self.contact_age(owner, now) <= self._settings.contact_limit

    def set_capacity_request(
        self, owner: Member, request: CapacityRequest | None, now: float
    ) -> None:
        """Records the owner's current capacity request."""
        contact = self._contacts.get(owner)
        if contact is not None:
            contact.capacity_request = request
            contact.capacity_requested_at = now

    def count_orders(self, owner: Member, count: int) -> None:
        """Adds to the number of run orders decided on."""
        contact = self._contacts.get(owner)
        if contact is not None:
            contact.orders_seen += count

    def orders_seen(self, owner: Member) -> int:
        """Returns the number of the owner's orders decided on."""
        contact = self._contacts.get(owner)
        return 0 if contact is None else contact.orders_seen

    def defer_start(self, owner: Member, message: StartRuns) -> bool:
        """Keeps a start message until the owner answers a ping.

        Returns:
          False if the limit of deferred starts is reached.
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
        """Removes and returns the deferred starts."""
        contact = self._contacts.get(owner)
        if contact is None:
            return []
        deferred, contact.deferred_starts = contact.deferred_starts, []
        return deferred

    def withdraw_deferred(
        self, owner: Member, names: set[tuple[str, int]]
    ) -> None:
        """Drops deferred starts that their owner has stopped."""
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
        """Removes disconnected owners without runs after the retention time."""
        for owner, contact in list(self._contacts.items()):
            age = now - contact.answered_stamp
            is_gone = not contact.is_connected and owner not in busy
            if is_gone and age > CONTACT_RETENTION_SECONDS:
                del self._contacts[owner]

    @property
    def has_capacity_requests(self) -> bool:
        """Whether a connected owner waits for capacity."""
        return any(
            contact.capacity_request is not None
            for contact in self._contacts.values()
        )

    def owners_to_ping(self, busy: set[Member], now: float) -> list[Member]:
        """Returns the connected owners whose next ping is due.

        At rest all owners are pinged together, so that the process wakes up
        once for all of them.
        """
        settings = self._settings
        if not busy:
            is_due = self._pinged_before(now - settings.rest_ping_interval)
            return self.connected if is_due else []
        due = self._pinged_before(now - settings.busy_ping_interval)
        idle_limit = now - self._idle_interval(len(self.connected))
        return [
            owner
            for owner in due
            if owner in busy or self._contacts[owner].pinged_at <= idle_limit
        ]

    def next_ping_in(self, now: float) -> float:
        """Returns the seconds until the next ping at rest is due."""
        oldest = min(
            (
                contact.pinged_at
                for contact in self._contacts.values()
                if contact.is_connected
            ),
            default=now,
        )
        return max(0.0, oldest + self._settings.rest_ping_interval - now)

    def _idle_interval(self, owners: int) -> float:
        """Returns the time between pings to each owner without runs.

        It grows with the owners, so that the cost of an agent does not.
        """
        settings = self._settings
        spread = owners / settings.idle_ping_rate
        return min(
            settings.rest_ping_interval,
            max(settings.idle_ping_interval, spread),
        )

    def _pinged_before(self, limit: float) -> list[Member]:
        return [
            owner
            for owner, contact in self._contacts.items()
            if contact.is_connected and contact.pinged_at <= limit
        ]

    def ping(
        self,
        owner: Member,
        load: ExecutorLoad,
        keepers_version: int,
        now: float,
    ) -> Send:
        """Returns a ping to an owner and records its time."""
        contact = self._contacts.get(owner)
        answered = -math.inf
        if contact is not None:
            contact.pinged_at = now
            answered = contact.answered_stamp
        ping = ContactPing(
            stamp=now,
            load=load,
            keeps_locks=True,
            keepers_version=keepers_version,
            answered=answered,
        )
        return Send(to=owner.member_id, message=ping)
