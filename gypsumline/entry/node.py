"""Connects an entry's state machines to its sockets and timers."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Sequence

from gypsumline.core.control.control_machine import ControlMachine
from gypsumline.core.control.record import ControlRecord
from gypsumline.core.effects import (
    Answer,
    ChangeOutcome,
    ConfigurationChange,
    Decision,
    Effect,
    ReadTable,
    Send,
    TableReadResult,
    TableWriteResult,
    WriteTable,
)
from gypsumline.core.identity import Member, Role
from gypsumline.core.message import Message
from gypsumline.core.messages import (
    CancelJob,
    HandOver,
    HandOverAck,
    Heartbeat,
    Inquire,
    JournalReport,
    PeerHeartbeat,
    Submit,
    SubmitReply,
    TaskResults,
    TasksWithdrawn,
    UpstreamState,
)
from gypsumline.core.submissions.owner import SubmissionOwner
from gypsumline.core.submissions.router import (
    CallOwner,
    OwnerRequest,
    RequestRouter,
)
from gypsumline.core.task import JobAnswer
from gypsumline.entry.table_task import TableOperations
from gypsumline.runtime import metrics
from gypsumline.runtime.clock import boot_time, new_incarnation, wall_time
from gypsumline.runtime.logs import DecisionLog
from gypsumline.wire.hub import Hub

_OWNER_MESSAGES = (
    TaskResults,
    TasksWithdrawn,
    JournalReport,
    HandOver,
    HandOverAck,
)
_CHANGE_TIMEOUT_SECONDS = 10.0
# While idle, the owner only expires old answers and queries journals.
IDLE_TICK_SECONDS = 0.2
# Twice the skew of two clocks: the time by which a new key can appear older.
KEY_MARGIN_SECONDS = 1.0
# Covers keys of clients whose clocks are slightly behind.
_EPOCH_MARGIN_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryMachines:
    """State machines of one incarnation of an entry."""

    control: ControlMachine
    owner: SubmissionOwner


MachineFactory = Callable[[Member], EntryMachines]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgentReport:
    """Last report of an agent, for the status page.

    Attributes:
      member: The agent.
      revision: Newest revision that the agent knows.
      upstream: State of the agent's upstream.
    """

    member: Member
    revision: int
    upstream: UpstreamState


class EntryNode:
    """Passes inputs to the state machines and applies their effects."""

    def __init__(
        self,
        local_member: Member,
        factory: MachineFactory,
        decision_log: DecisionLog,
    ) -> None:
        self._local_member = local_member
        self._factory = factory
        self._machines = factory(local_member)
        self._router = RequestRouter(local_member)
        self._log = decision_log
        self._hub: Hub | None = None
        self._table: TableOperations | None = None
        self._answers: dict[int, asyncio.Future[JobAnswer]] = {}
        self._changes: dict[int, asyncio.Future[ChangeOutcome]] = {}
        self._agents: dict[str, AgentReport] = {}
        self._peers: dict[str, PeerHeartbeat] = {}
        self._applied_state = (0, 0.0)
        self._leaving = False
        self._departed = False
        self._owner_tick_at = 0.0
        self._was_ready = False

    @property
    def local_member(self) -> Member:
        """Identity of this process, with its current incarnation."""
        return self._local_member

    @property
    def record(self) -> ControlRecord:
        """Newest known control record."""
        return self._machines.control.record

    @property
    def accepted_version(self) -> int:
        """Newest configuration version that is known to be accepted.

        A version is written only after its predecessor was accepted.
        """
        version = self.record.configuration_version
        return version if self._machines.control.is_accepted() else version - 1

    @property
    def agents(self) -> dict[str, AgentReport]:
        """Last reports of the connected agents, by member id."""
        return self._agents

    @property
    def peers(self) -> dict[str, PeerHeartbeat]:
        """Last heartbeats of the connected entries, by member id."""
        return self._peers

    @property
    def leaving(self) -> bool:
        """Whether a planned stop is in progress."""
        return self._leaving

    @property
    def is_fresh(self) -> bool:
        """Whether the evidence of the control record is fresh."""
        return self._machines.control.is_fresh(boot_time())

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send requests here.

        A starting entry is not ready until the recovery of its keys is over,
        because it would refuse jobs. Keys that it gains later do not make it
        unready: all entries gain keys at the same time, so none would be ready.
        """
        if not self._was_ready:
            ready_at = self._machines.control.ready_at() + KEY_MARGIN_SECONDS
            self._was_ready = boot_time() >= ready_at
        return self._was_ready and self.is_fresh and not self._leaving

    @property
    def is_drained(self) -> bool:
        """Whether no job is open or expected and all answers are handed over.

        This entry receives new keys until the owner epoch without it begins.
        If it departed earlier, the next owners would refuse these keys until
        the evidence of its ownership has expired.
        """
        return self._machines.owner.is_drained() and self._has_ownership_ended()

    @property
    def has_departed(self) -> bool:
        """Whether the control record no longer lists this entry."""
        return self._departed

    @property
    def pending_requests(self) -> int:
        """Number of callers' requests without an answer."""
        return self._router.pending_count

    @property
    def pending_keys(self) -> list[str]:
        """Keys of the requests without an answer."""
        return self._router.pending_keys

    @property
    def open_keys(self) -> list[str]:
        """Keys of the jobs that this entry owns and has not answered."""
        return self._machines.owner.open_keys

    def attach(self, hub: Hub, table: TableOperations) -> None:
        """Sets the hub and the table operations that effects are sent to."""
        self._hub = hub
        self._table = table

    def new_key(self) -> str:
        """Returns a new key, owned by this entry if it owns any keys."""
        return self._router.new_key()

    async def request(self, request: OwnerRequest, wait: float) -> JobAnswer:
        """Sends a request to the owner of its key and returns the answer."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[JobAnswer] = loop.create_future()
        self._answers[request.request_id] = future
        now = boot_time()
        self._apply_effects(self._router.add_request(request, now + wait, now))
        try:
            return await future
        finally:
            self._answers.pop(request.request_id, None)
            self._router.drop_request(request.request_id)

    def new_request_id(self) -> int:
        """Returns the number of the next request."""
        return self._router.new_request_id()

    async def propose(self, change: ConfigurationChange) -> ChangeOutcome:
        """Proposes a configuration change and returns its outcome."""
        request_id = self._router.new_request_id()
        loop = asyncio.get_running_loop()
        future: asyncio.Future[ChangeOutcome] = loop.create_future()
        self._changes[request_id] = future
        control = self._machines.control
        self._apply_effects(
            control.propose(request_id, change, boot_time(), wall_time())
        )
        try:
            async with asyncio.timeout(_CHANGE_TIMEOUT_SECONDS):
                return await future
        except TimeoutError:
            return ChangeOutcome(
                request_id=request_id,
                kind="unknown",
                version=self.record.configuration_version,
                detail="no answer from the table and the voters in time",
            )
        finally:
            self._changes.pop(request_id, None)

    def on_connected(self, member: Member) -> None:
        """Handles a new connection."""
        now, wall = boot_time(), wall_time()
        control = self._machines.control
        self._apply_effects(control.on_connected(member, now, wall))
        if member.role == Role.AGENT:
            owner = self._machines.owner
            self._apply_owner_effects(
                owner.on_agent_connected(member, now, wall)
            )
        else:
            self._apply_effects(self._router.on_connected(member, now))

    def on_disconnected(self, member: Member) -> None:
        """Handles the end of a connection."""
        now, wall = boot_time(), wall_time()
        control = self._machines.control
        self._apply_effects(control.on_disconnected(member, now, wall))
        if member.role == Role.AGENT:
            self._agents.pop(member.member_id, None)
            owner = self._machines.owner
            self._apply_owner_effects(
                owner.on_agent_disconnected(member, now, wall)
            )
        else:
            self._peers.pop(member.member_id, None)
            self._apply_effects(self._router.on_disconnected(member, now))

    def on_message(self, member: Member, message: Message) -> None:
        """Handles a message from a peer."""
        now, wall = boot_time(), wall_time()
        if isinstance(message, Submit | Inquire | CancelJob):
            self._apply_owner_effects(
                self._call_owner(member.member_id, message)
            )
        elif isinstance(message, SubmitReply):
            self._apply_effects(self._router.on_reply(message, now))
        elif isinstance(message, _OWNER_MESSAGES):
            owner = self._machines.owner
            fresh = self._machines.control.is_fresh(now)
            self._apply_owner_effects(
                owner.on_message(member, message, now, wall, fresh)
            )
        else:
            self._handle_control_message(member, message, now, wall)
        self._apply_record()

    def on_table(self, result: TableReadResult | TableWriteResult) -> None:
        """Handles the result of a table operation."""
        control = self._machines.control
        self._apply_effects(control.on_table(result, boot_time(), wall_time()))
        self._apply_record()

    def tick_control(self) -> None:
        """Runs the due timers of the control machine."""
        control = self._machines.control
        self._apply_effects(control.tick(boot_time(), wall_time()))
        self._apply_record()
        metrics.FRESH.set(int(self.is_fresh))

    def tick_owner(self) -> None:
        """Runs the due timers of the owner and the router."""
        now = boot_time()
        no_requests = self._router.pending_count == 0
        is_idle = no_requests and self._machines.owner.is_idle
        if is_idle and now < self._owner_tick_at + IDLE_TICK_SECONDS:
            return
        self._owner_tick_at = now
        fresh = self._machines.control.is_fresh(now)
        self._apply_owner_effects(
            self._machines.owner.tick(now, wall_time(), fresh)
        )
        self._apply_effects(self._router.tick(now))

    def begin_leave(self) -> None:
        """Begins a planned stop."""
        self._leaving = True
        now, wall = boot_time(), wall_time()
        self._apply_effects(self._machines.control.leave(now, wall))
        self._apply_owner_effects(self._machines.owner.leave(now, wall))

    def depart(self) -> None:
        """Asks for the removal from the control record, once drained."""
        control = self._machines.control
        self._apply_effects(control.depart(boot_time(), wall_time()))

    def _has_ownership_ended(self) -> bool:
        record = self.record
        staying_entries = [
            entry
            for entry in record.entries
            if entry.member_id in self._peers
            and not self._peers[entry.member_id].leaving
        ]
        if self._local_member not in record.entries or not staying_entries:
            return True
        newest_epoch = record.epochs[-1]
        begins_at = newest_epoch.begins_at_wall + _EPOCH_MARGIN_SECONDS
        return (
            self._local_member not in newest_epoch.owners
            and begins_at <= wall_time()
        )

    def _handle_control_message(
        self, member: Member, message: Message, now: float, wall: float
    ) -> None:
        control = self._machines.control
        self._apply_effects(control.on_message(member, message, now, wall))
        if isinstance(message, Heartbeat):
            self._agents[member.member_id] = AgentReport(
                member=member,
                revision=message.revision,
                upstream=message.upstream,
            )
            owner = self._machines.owner
            self._apply_owner_effects(
                owner.on_agent(member, message.upstream, now, wall)
            )
        elif isinstance(message, PeerHeartbeat):
            self._peers[member.member_id] = message

    def _call_owner(self, origin: str, request: OwnerRequest) -> list[Effect]:
        now, wall = boot_time(), wall_time()
        owner = self._machines.owner
        fresh = self._machines.control.is_fresh(now)
        if isinstance(request, Submit):
            return owner.submit(origin, request, fresh, now, wall)
        if isinstance(request, Inquire):
            return owner.inquire(origin, request, fresh, now, wall)
        return owner.cancel(origin, request, fresh, now, wall)

    def _apply_record(self) -> None:
        now, wall = boot_time(), wall_time()
        control = self._machines.control
        state = (control.record.revision, control.ready_at())
        if state == self._applied_state:
            return
        self._applied_state = state
        metrics.REVISION.set(control.record.revision)
        metrics.CONFIGURATION_VERSION.set(control.record.configuration_version)
        self._dial_entries()
        owner = self._machines.owner
        self._apply_owner_effects(
            owner.set_record(control.record, control.ready_at(), now, wall)
        )
        self._apply_effects(self._router.set_record(control.record, now))

    def _dial_entries(self) -> None:
        if self._hub is None:
            return
        self._hub.set_members(entry.address for entry in self.record.entries)

    def _apply_owner_effects(self, effects: Sequence[Effect]) -> None:
        """Applies effects of the owner, whose answers go to any entry."""
        for effect in effects:
            if isinstance(effect, Answer):
                self._deliver_answer(effect)
            else:
                self._apply_effects((effect,))

    def _deliver_answer(self, answer: Answer) -> None:
        reply = SubmitReply(
            request_id=answer.request_id,
            answer=answer.answer,
            revision=self.record.revision,
        )
        if answer.origin == "":
            self._apply_effects(self._router.on_reply(reply, boot_time()))
        elif self._hub is not None:
            self._hub.send(answer.origin, reply)

    def _apply_effects(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            self._apply_effect(effect)

    def _apply_effect(self, effect: Effect) -> None:
        match effect:
            case Send():
                if self._hub is not None:
                    self._hub.send(effect.to, effect.message)
            case CallOwner():
                self._apply_owner_effects(self._call_owner("", effect.request))
            case Answer():
                _set_result(self._answers.get(effect.request_id), effect.answer)
            case ChangeOutcome():
                _set_result(self._changes.get(effect.request_id), effect)
            case ReadTable() if self._table is not None:
                self._table.read(effect)
            case WriteTable() if self._table is not None:
                self._table.write(effect)
            case Decision():
                self._log.write(effect)
                self._handle_membership_decision(effect)

    def _handle_membership_decision(self, decision: Decision) -> None:
        if decision.event == "removed":
            self._restart_as_new_incarnation()
        elif decision.event == "departed":
            self._departed = True

    def _restart_as_new_incarnation(self) -> None:
        """Restarts as a new member after the removal of this incarnation."""
        if self._leaving:
            return
        incarnation = max(self._local_member.incarnation + 1, new_incarnation())
        self._local_member = dataclasses.replace(
            self._local_member, incarnation=incarnation
        )
        self._machines = self._factory(self._local_member)
        self._applied_state = (0, 0.0)
        self._apply_effects(
            self._router.set_identity(self._local_member, boot_time())
        )
        if self._hub is not None:
            self._hub.reconnect_as(self._local_member)


def _set_result(future: asyncio.Future | None, value: object) -> None:
    if future is not None and not future.done():
        future.set_result(value)
