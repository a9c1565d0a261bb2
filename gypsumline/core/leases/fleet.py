"""An owner's view of the agents and their free capacity."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterator

from gypsumline.core.identity import Member
from gypsumline.core.leases.messages import ExecutorLoad
from gypsumline.core.leases.owner_settings import LeasedOwnerSettings
from gypsumline.core.leases.resources import NO_RESOURCES, Resources

# Answers to one agent that it may not have received yet.
_ANSWERS_MAX = 16


@dataclasses.dataclass(slots=True, eq=False)
class AgentView:
    """An owner's view of one agent.

    Attributes:
      member: The agent.
      load: Newest load that it reported.
      last_message_at: Time of its newest message with a load.
      stamp: Stamp of its newest ping.
      ping_answered_at: Time at which its newest ping was answered.
      answers: Times of the latest answers by the stamps of their pings.
      is_connected: Whether a stream to it is open.
      changed_at: Time at which the newest stream was opened or has ended.
      keeps_locks: Whether it has said on that stream that it keeps locks.
      keepers_version: Version of the newest list of keepers that it has stated.
      confirmed_at: Time of the newest answer to a ping that it is known to have
        received before it stated that version.
      paused_until: Time before which it gets no runs.
      orders_sent: Number of run orders sent on its current stream.
      in_flight_orders: Numbers, resources and times of orders that the load
        does not include yet.
      free: Free resources, less those of the orders in flight.
    """

    member: Member
    load: ExecutorLoad = dataclasses.field(default_factory=ExecutorLoad)
    last_message_at: float = -math.inf
    stamp: float = -math.inf
    ping_answered_at: float = -math.inf
    answers: dict[float, float] = dataclasses.field(default_factory=dict)
    is_connected: bool = True
    changed_at: float = -math.inf
    keeps_locks: bool = False
    keepers_version: int = 0
    confirmed_at: float = -math.inf
    paused_until: float = -math.inf
    orders_sent: int = 0
    in_flight_orders: collections.deque[tuple[int, Resources, float]] = (
        dataclasses.field(default_factory=collections.deque)
    )
    free: Resources = NO_RESOURCES

    @property
    def service(self) -> str:
        """Service that its executor runs."""
        return self.load.service

    def update_load(self, load: ExecutorLoad, now: float) -> bool:
        """Applies a newer load; returns whether more runs may fit."""
        before, was_taking = self.free, self.load.taking
        executor = self.load.executor
        self.last_message_at = now
        self.load = load
        while (
            self.in_flight_orders
            and self.in_flight_orders[0][0] <= load.orders_seen
        ):
            self.in_flight_orders.popleft()
        self.free = load.free
        for _, resources, _ in self.in_flight_orders:
            self.free = self.free - resources
        if not was_taking or load.executor != executor:
            return load.taking
        return not self.free.fits(before)

    def add_order(self, resources: Resources, now: float) -> int:
        """Records an order to be sent; returns its number."""
        self.orders_sent += 1
        self.in_flight_orders.append((self.orders_sent, resources, now))
        self.free = self.free - resources
        return self.orders_sent

    def unanswered_time(self, now: float) -> float:
        """Returns the age of the oldest order that the load does not include.

        Returns:
          Seconds; 0 if the load includes all orders.
        """
        if not self.in_flight_orders:
            return 0.0
        return now - self.in_flight_orders[0][2]

    def record_version(self, version: int, answered: float) -> None:
        """Applies what a ping states about the list of keepers.

        Args:
          version: Version of the newest list that the agent knows.
          answered: Newest stamp whose answer the agent had received.
        """
        # An agent never goes back to an earlier list.
        self.keepers_version = max(self.keepers_version, version)
        answered_at = self.answers.get(answered, -math.inf)
        self.confirmed_at = max(self.confirmed_at, answered_at)

    def record_answer(self, stamp: float, now: float) -> None:
        """Records the answer to a ping."""
        self.stamp = stamp
        self.ping_answered_at = now
        self.answers[stamp] = now
        if len(self.answers) > _ANSWERS_MAX:
            del self.answers[min(self.answers)]

    def reset_stream(self, now: float) -> None:
        """Resets the state that belongs to a stream."""
        self.is_connected = True
        self.changed_at = now
        self.keeps_locks = False
        self.orders_sent = 0
        self.in_flight_orders.clear()
        self.free = self.load.free


class Fleet:
    """The agents known to an owner."""

    def __init__(self, settings: LeasedOwnerSettings) -> None:
        self._agents: dict[str, AgentView] = {}
        self._settings = settings

    def __iter__(self) -> Iterator[AgentView]:
        return iter(self._agents.values())

    def __len__(self) -> int:
        return len(self._agents)

    def find(self, member: Member) -> AgentView | None:
        """Returns the view of exactly this incarnation, or None."""
        view = self._agents.get(member.member_id)
        return view if view is not None and view.member == member else None

    def named(self, member_id: str) -> AgentView | None:
        """Returns the view of an agent by its name, or None."""
        return self._agents.get(member_id)

    def connect(self, member: Member, now: float) -> AgentView:
        """Records a new stream; replaces an earlier incarnation."""
        view = self.find(member)
        if view is None:
            view = AgentView(member)
            self._agents[member.member_id] = view
        view.reset_stream(now)
        return view

    def prune_silent(self, now: float, limit: float) -> None:
        """Removes agents without a stream that were silent over the limit."""
        for name, view in list(self._agents.items()):
            if not view.is_connected and now - view.last_message_at > limit:
                del self._agents[name]

    def usable(
        self, service: str, now: float, only: AgentView | None = None
    ) -> list[AgentView]:
        """Returns the agents that can be given runs of a service.

        Args:
          service: The service.
          now: Current time.
          only: The only agent to be considered; None for all.
        """
        if only is None:
            return list(self._usable(service, now))
        is_usable = only.service == service and self.is_usable(only, now)
        return [only] if is_usable else []

    def present(self, service: str, now: float) -> list[AgentView]:
        """Returns the agents of a service that have not gone for good.

        One that was lost stays known for a while after its stream has ended.
        """
        limit = now - self._settings.silence_limit
        return [
            view
            for view in self._agents.values()
            if view.service == service
            and (view.is_connected or view.last_message_at >= limit)
        ]

    def reachable(self, service: str, now: float) -> list[AgentView]:
        """Returns the agents of a service that are usable or only paused."""
        return [
            view
            for view in self._agents.values()
            if view.service == service and self._is_reachable(view, now)
        ]

    def is_usable(self, view: AgentView, now: float) -> bool:
        """Returns whether an agent can be given runs."""
        return view.paused_until <= now and self._is_reachable(view, now)

    def _is_reachable(self, view: AgentView, now: float) -> bool:
        """Returns whether an agent takes runs, apart from a pause.

        An agent at rest sends little, so its silence says nothing at first. One
        that does not take up an order is paused or cut off.
        """
        settings = self._settings
        return (
            view.is_connected
            and view.load.taking
            and now - view.last_message_at <= settings.silence_limit
            and view.unanswered_time(now) <= settings.order_answer_limit
        )

    def _usable(self, service: str, now: float) -> Iterator[AgentView]:
        return (
            view
            for view in self._agents.values()
            if view.service == service and self.is_usable(view, now)
        )
