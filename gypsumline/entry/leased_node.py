"""An owner of leased jobs wired to its streams and timers."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from gypsumline.core.effects import Decision, Effect, Send
from gypsumline.core.identity import Member
from gypsumline.core.leases.effects import JobEnded
from gypsumline.core.leases.job import JobRequest
from gypsumline.core.leases.messages import ContactPing, RunReports, ZonesOut
from gypsumline.core.leases.owner import LeasedOwner
from gypsumline.core.messages import Message
from gypsumline.runtime import metrics
from gypsumline.runtime.clock import boot_time
from gypsumline.runtime.logs import DecisionLog
from gypsumline.wire.hub import Hub

OnEnded = Callable[[JobEnded], None]


class LeasedEntryNode:
    """Feeds inputs to the owner and carries its effects out."""

    def __init__(self, owner: LeasedOwner, decision_log: DecisionLog) -> None:
        self._owner = owner
        self._log = decision_log
        self._hub: Hub | None = None
        self._callers: dict[str, list[OnEnded]] = {}

    @property
    def owner(self) -> LeasedOwner:
        """The decisions."""
        return self._owner

    @property
    def usable_agents(self) -> int:
        """Agents that may be given runs now."""
        return self._owner.usable_agents(boot_time())

    def attach(self, hub: Hub) -> None:
        """Sets where messages go."""
        self._hub = hub

    def submit(self, request: JobRequest, on_ended: OnEnded) -> None:
        """Runs a job; `on_ended` is called once, at once or later."""
        self._callers.setdefault(request.key, []).append(on_ended)
        self._run(self._owner.submit(request, boot_time()))

    def remove_caller(self, key: str, on_ended: OnEnded) -> None:
        """Takes the loss of a caller; the last one abandons the job."""
        callers = self._callers.get(key)
        if callers is None or on_ended not in callers:
            return
        callers.remove(on_ended)
        if not callers:
            del self._callers[key]
            self._run(self._owner.abandon(key, boot_time()))

    def cancel(self, key: str) -> bool:
        """Cancels a job; returns whether there was one."""
        if key not in self._owner.jobs:
            return False
        self._run(self._owner.cancel(key, boot_time()))
        return True

    def expire_all(self, reason: str) -> None:
        """Ends all jobs, for the end of a planned stop."""
        self._run(self._owner.expire_all(reason, boot_time()))

    def set_zones_out(self, message: ZonesOut) -> None:
        """Takes the availability zones that are out."""
        self._run(self._owner.set_zones_out(message, boot_time()))

    def tick(self) -> None:
        """Lets the owner act on the passing of time."""
        self._run(self._owner.tick(boot_time()))

    def on_connected(self, member: Member) -> None:
        """Takes a new stream to an agent."""
        self._run(self._owner.on_connected(member, boot_time()))

    def on_disconnected(self, member: Member) -> None:
        """Takes the end of a stream."""
        self._owner.on_disconnected(member)

    def on_message(self, member: Member, message: Message) -> None:
        """Takes a message from an agent."""
        now = boot_time()
        if isinstance(message, RunReports):
            self._run(self._owner.on_reports(member, message, now))
        elif isinstance(message, ContactPing):
            self._run(self._owner.on_ping(member, message, now))

    def _run(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    if self._hub is not None:
                        self._hub.send(effect.to, effect.message)
                case JobEnded():
                    self._answer(effect)
                case Decision():
                    self._log.write(effect)

    def _answer(self, ended: JobEnded) -> None:
        metrics.JOBS.labels(ended.outcome.value).inc()
        for on_ended in self._callers.pop(ended.key, []):
            on_ended(ended)
