"""Connects the owner of leased jobs to its streams and timers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from gypsumline.core.effects import Decision, Effect, Send
from gypsumline.core.identity import Member
from gypsumline.core.leases.effects import JobEnded, ProposeKeepers, QueueBlamed
from gypsumline.core.leases.job import JobRequest
from gypsumline.core.leases.keepers import KeeperList
from gypsumline.core.leases.lock_messages import LockAnswers
from gypsumline.core.leases.messages import (
    ContactPing,
    ExecutorCrash,
    RunReports,
    ZonesOut,
)
from gypsumline.core.leases.owner import CRASHED_EXECUTORS, LeasedOwner
from gypsumline.core.message import Message
from gypsumline.runtime import metrics
from gypsumline.runtime.bounded_labels import BoundedLabels
from gypsumline.runtime.clock import boot_time
from gypsumline.runtime.logs import DecisionLog
from gypsumline.runtime.timers import Subscription, TimerService
from gypsumline.wire.hub import Hub

OnEnded = Callable[[JobEnded], None]

# Queues with counters of their own.
_QUEUE_LABELS = BoundedLabels(100)
# Turns of the event loop in which each connection is handled that was closed
# before the first of them: accepted, read to its end, and reported as closed.
TURNS_TO_CLOSE = 4

_Ping = tuple[Member, float]


class LeasedEntryNode:
    """Passes inputs to the owner and applies its effects.

    Args:
      owner: State machine of the owner.
      decision_log: Log of decisions.
      on_agent_lost: Called at the end of each stream to an agent.
      on_proposed: Called with each list of keepers that is to be stored.
    """

    def __init__(
        self,
        owner: LeasedOwner,
        decision_log: DecisionLog,
        on_agent_lost: Callable[[], None],
        on_proposed: Callable[[KeeperList], None],
    ) -> None:
        self._owner = owner
        self._log = decision_log
        self._on_agent_lost = on_agent_lost
        self._on_proposed = on_proposed
        self._hub: Hub | None = None
        self._timer: Subscription | None = None
        self._callers: dict[str, list[OnEnded]] = {}
        # Pings, as agent and stamp, that were read in the current turn.
        self._pings: list[_Ping] = []

    @property
    def owner(self) -> LeasedOwner:
        """State machine of the owner."""
        return self._owner

    @property
    def usable_agents(self) -> int:
        """Number of agents that can get runs."""
        return self._owner.usable_agents(boot_time())

    @property
    def has_keepers(self) -> bool:
        """Whether locks can be had, without which nothing is started."""
        return self._owner.has_keepers(boot_time())

    def attach(self, hub: Hub) -> None:
        """Sets the hub for messages."""
        self._hub = hub

    def subscribe(self, timers: TimerService) -> None:
        """Subscribes to the timers, at a rate that follows the open work."""
        interval = self._owner.next_tick_in
        self._timer = timers.subscribe(interval, self.tick)

    def submit(self, request: JobRequest, on_ended: OnEnded) -> None:
        """Submits a job.

        Args:
          request: The job.
          on_ended: Called once when the job ends, possibly during this call.
        """
        self._callers.setdefault(request.key, []).append(on_ended)
        self._apply_effects(self._owner.submit(request, boot_time()))

    def remove_caller(self, key: str, on_ended: OnEnded) -> None:
        """Removes a caller; a job whose last caller is gone is abandoned."""
        callers = self._callers.get(key)
        if callers is None or on_ended not in callers:
            return
        callers.remove(on_ended)
        if not callers:
            del self._callers[key]
            self._apply_effects(self._owner.abandon(key, boot_time()))

    def cancel(self, key: str) -> bool:
        """Cancels a job and returns whether it existed."""
        if key not in self._owner.jobs:
            return False
        self._apply_effects(self._owner.cancel(key, boot_time()))
        return True

    def expire_all(self, reason: str) -> None:
        """Ends all open jobs at the end of a planned stop."""
        self._apply_effects(self._owner.expire_all(reason, boot_time()))

    def set_zones_out(self, message: ZonesOut) -> None:
        """Sets the availability zones that are out of service."""
        self._apply_effects(self._owner.set_zones_out(message, boot_time()))

    def record_zones_read(self, age: float) -> None:
        """Records that the list is the newest one, as of some seconds ago."""
        self._owner.record_zones_read(boot_time() - age)

    def set_keepers(self, keepers: KeeperList) -> None:
        """Sets the list of the agents that keep locks."""
        self._apply_effects(self._owner.on_keepers(keepers, boot_time()))

    def restore_crashes(
        self, crashes: Sequence[tuple[str, ExecutorCrash]]
    ) -> None:
        """Counts crashes of executors, by service, that were stored."""
        self._apply_effects(self._owner.restore_crashes(crashes, boot_time()))

    def tick(self) -> None:
        """Runs the due timers of the owner."""
        self._apply_effects(self._owner.tick(boot_time()))
        metrics.SUSPECTED_QUEUES.set(len(self._owner.suspected_queues))

    def on_connected(self, member: Member) -> None:
        """Handles a new stream to an agent."""
        self._apply_effects(self._owner.on_connected(member, boot_time()))

    def on_disconnected(self, member: Member) -> None:
        """Handles the end of a stream to an agent."""
        self._apply_effects(self._owner.on_disconnected(member, boot_time()))
        self._on_agent_lost()

    def on_message(self, member: Member, message: Message) -> None:
        """Handles a message from an agent."""
        now = boot_time()
        if isinstance(message, RunReports):
            self._apply_effects(self._owner.on_reports(member, message, now))
        elif isinstance(message, ContactPing):
            self._apply_effects(self._owner.on_ping(member, message, now))
            self._defer_answer((member, message.stamp))
        elif isinstance(message, KeeperList):
            self.set_keepers(message)
        elif isinstance(message, LockAnswers):
            self._apply_effects(
                self._owner.on_lock_answers(member, message, now)
            )

    def _defer_answer(self, ping: _Ping) -> None:
        """Has a ping answered after the callers that have left by now.

        After a pause of this process, pings and closed connections wait
        together, and their order is lost.
        """
        self._pings.append(ping)
        if len(self._pings) == 1:
            asyncio.get_running_loop().call_soon(self._begin_answers)

    def _begin_answers(self) -> None:
        pings, self._pings = self._pings, []
        self._answer_pings(pings, TURNS_TO_CLOSE - 1)

    def _answer_pings(self, pings: list[_Ping], turns: int) -> None:
        """Answers pings after a number of turns of the event loop."""
        if turns:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._answer_pings, pings, turns - 1)
            return
        now = boot_time()
        for agent, stamp in pings:
            self._apply_effects(self._owner.answer_ping(agent, stamp, now))

    def _apply_effects(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    if self._hub is not None:
                        self._hub.send(effect.to, effect.message)
                case JobEnded():
                    self._answer_callers(effect)
                case QueueBlamed():
                    _count(effect)
                case ProposeKeepers():
                    self._on_proposed(effect.keepers)
                case Decision():
                    self._log.write(effect)
        if self._timer is not None:
            self._timer.set_interval(self._owner.next_tick_in)

    def _answer_callers(self, ended: JobEnded) -> None:
        metrics.JOBS.labels(ended.outcome.value).inc()
        if ended.reason == CRASHED_EXECUTORS:
            metrics.JOBS_GIVEN_UP.inc()
        for on_ended in self._callers.pop(ended.key, []):
            on_ended(ended)


def _count(blamed: QueueBlamed) -> None:
    counter = metrics.QUEUE_CRASHES
    if blamed.is_given_up:
        counter = metrics.QUEUE_JOBS_GIVEN_UP
    counter.labels(*_QUEUE_LABELS(blamed.service, blamed.queue)).inc()
