"""State machine of the control state of one process.

It holds the control record, the evidence that the record is the newest
accepted one, the progress of acceptance, and the membership.

Entries read and write the table; agents receive records and evidence from
entries. The caller passes each input as it happens, calls `tick` about every
50 ms and applies the returned effects. It calls `on_connected` for
incoming and outgoing connections, with the member from the peer's `Hello`, and
on an agent keeps `upstream` up to date.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import Any

from gypsumline.core.control.acceptance import Acceptance
from gypsumline.core.control.change_queue import (
    ChangeQueue,
    ControlView,
    make_refusal,
)
from gypsumline.core.control.control_settings import ControlSettings
from gypsumline.core.control.evidence import Evidence
from gypsumline.core.control.membership_writer import MembershipWriter
from gypsumline.core.control.ownership_readiness import OwnershipReadiness
from gypsumline.core.control.record import ControlRecord
from gypsumline.core.control.record_writer import PendingWrite, RecordWriter
from gypsumline.core.control.table_poller import TablePoller
from gypsumline.core.control.voter import is_listed
from gypsumline.core.effects import (
    ConfigurationChange,
    Decision,
    Effect,
    Send,
    TableReadResult,
    TableWriteResult,
)
from gypsumline.core.identity import Member, Role
from gypsumline.core.message import Message
from gypsumline.core.messages import (
    ControlAck,
    ControlPush,
    ControlRequest,
    Heartbeat,
    HeartbeatReply,
    PeerHeartbeat,
    PeerHeartbeatReply,
    Statement,
    StatementRequest,
    UpstreamState,
)
from gypsumline.core.peers import Peer, PeerTable


class ControlMachine:
    """Control state of one process.

    Args:
      local_member: This incarnation.
      settings: Settings of the control state.
      rng: Seeded random generator for delays and first sequence numbers.

    Attributes:
      upstream: State that an agent's heartbeats carry; set by the caller.
    """

    def __init__(
        self, local_member: Member, settings: ControlSettings, rng: Random
    ) -> None:
        self._local_member = local_member
        self._settings = settings
        self._record = ControlRecord()
        self._peers = PeerTable()
        self._evidence = Evidence(local_member, settings, rng)
        self._poller = TablePoller(settings)
        self._writer = RecordWriter(local_member, settings)
        self._changes = ChangeQueue(settings, self._writer)
        self._acceptance = Acceptance(self._record)
        self._readiness = OwnershipReadiness(local_member, settings)
        self._membership = MembershipWriter(
            local_member, settings, rng, self._peers, self._writer
        )
        self._record_requested_at: dict[str, float] = {}
        self._next_heartbeat_at = -math.inf
        self._was_fresh = False
        self._effects: list[Effect] = []
        self.upstream = UpstreamState()

    @property
    def record(self) -> ControlRecord:
        """The newest known record; its revision never decreases."""
        return self._record

    @property
    def is_removed(self) -> bool:
        """Whether this incarnation was removed and needs a replacement."""
        return self._membership.is_removed

    def is_fresh(self, now: float) -> bool:
        """Returns whether unexpired evidence supports the record."""
        return self._evidence.is_fresh(now)

    def evidence_age(self, now: float) -> float:
        """Returns the age of the evidence in seconds, or -1 without any."""
        return self._evidence.age(now)

    def ready_at(self) -> float:
        """Returns when this entry may act as the owner of all its keys.

        The time is infinite until the record that assigned the keys is
        accepted. It is then the time of acceptance plus `evidence_wait`, after
        which evidence of earlier owners has expired. For revision 1 it is the
        time of acceptance, because there is no earlier owner.
        """
        return self._readiness.ready_at()

    def key_ready_at(self, key: str) -> float:
        """Returns when this entry may act as the owner of one key.

        The time is earlier than `ready_at` for a key that this entry already
        owned before it last gained keys.
        """
        return self._readiness.key_ready_at(key)

    def change_states(self) -> dict[int, str]:
        """Returns the state of each pending change, by request id."""
        return self._changes.states()

    def is_accepted(self) -> bool:
        """Returns whether the newest known record is known to be accepted."""
        return self._acceptance.is_accepted

    def is_voter(self) -> bool:
        """Returns whether this incarnation is a voter of the newest record."""
        return self._evidence.voter.is_voter

    def tick(self, now: float, wall: float) -> list[Effect]:
        """Performs due heartbeats, reads, rounds, pushes and writes."""
        is_heartbeat_due = now >= self._next_heartbeat_at
        if is_heartbeat_due:
            self._next_heartbeat_at = now + self._settings.heartbeat_interval
            self._send_heartbeats(now)
        if self._local_member.role is Role.ENTRY:
            self._tick_entry(is_heartbeat_due, now, wall)
        return self._collect_effects(now)

    def on_connected(
        self, member: Member, now: float, wall: float
    ) -> list[Effect]:
        """Handles an opened connection; sends a heartbeat to an entry."""
        self._peers.mark_connected(member, now)
        self._acceptance.observe_incarnation(member)
        if member.role is Role.ENTRY:
            self._send_heartbeat(member.member_id, now)
        return self._collect_effects(now)

    def on_disconnected(
        self, member: Member, now: float, wall: float
    ) -> list[Effect]:
        """Handles a closed connection, which does not prove a process ended."""
        self._peers.mark_disconnected(member)
        return self._collect_effects(now)

    def on_message(
        self, sender: Member, message: Message, now: float, wall: float
    ) -> list[Effect]:
        """Handles a message; ignores types that are not control messages."""
        peer = self._peers.record_contact(sender, now)
        self._acceptance.observe_incarnation(sender)
        handler = _HANDLERS.get(type(message))
        if peer is not None and handler is not None:
            handler(self, peer, message, now)
            self._advance(now)
        return self._collect_effects(now)

    def on_table(
        self,
        result: TableReadResult | TableWriteResult,
        now: float,
        wall: float,
    ) -> list[Effect]:
        """Handles the result of a table read or write."""
        if isinstance(result, TableReadResult):
            self._on_read(result, now)
        else:
            pending = self._writer.complete(result)
            if pending is not None:
                self._on_write(pending, result.kind, now)
        self._advance(now)
        return self._collect_effects(now)

    def propose(
        self,
        request_id: int,
        change: ConfigurationChange,
        now: float,
        wall: float,
    ) -> list[Effect]:
        """Starts an operator's change, which ends in a `ChangeOutcome`."""
        if (
            not self._membership.accepts_changes
            or self._local_member.role is not Role.ENTRY
        ):
            self._effects.append(make_refusal(request_id, self._record))
            return self._collect_effects(now)
        self._effects += self._changes.propose(request_id, change, now, wall)
        self._poller.schedule_read(now)
        self._effects += self._poller.tick(now)
        self._advance(now)
        return self._collect_effects(now)

    def leave(self, now: float, wall: float) -> list[Effect]:
        """Starts a planned leave; a new owner epoch will exclude this entry."""
        self._membership.leave()
        self._next_heartbeat_at = now
        return self._collect_effects(now)

    def depart(self, now: float, wall: float) -> list[Effect]:
        """Requests removal from the record, after the owner has drained.

        The process may exit after the decision "departed".
        """
        self._membership.depart()
        return self._collect_effects(now)

    def _tick_entry(
        self, is_heartbeat_due: bool, now: float, wall: float
    ) -> None:
        overdue = self._writer.expire(now)
        if overdue is not None:
            self._on_write(overdue, "unknown", now)
        self._effects += self._poller.tick(now)
        if is_heartbeat_due:
            self._push_to_pending_voters()
            self._start_statement_round(now)
        self._write_membership(now, wall)
        self._advance(now)

    def _send_heartbeats(self, now: float) -> None:
        for peer in self._peers.connected(Role.ENTRY):
            self._send_heartbeat(peer.member.member_id, now)

    def _send_heartbeat(self, to: str, now: float) -> None:
        sequence = self._evidence.next_sequence(now)
        message: Message
        if self._local_member.role is Role.AGENT:
            message = Heartbeat(
                sequence=sequence,
                revision=self._record.revision,
                upstream=self.upstream,
            )
        else:
            message = PeerHeartbeat(
                sequence=sequence,
                revision=self._record.revision,
                leaving=self._membership.is_leaving,
                joining=self._membership.is_joining,
            )
        self._send(to, message)

    def _on_heartbeat(self, peer: Peer, message: Heartbeat, now: float) -> None:
        peer.leaving = message.upstream.leaving
        self._observe_peer_revision(peer, message.revision, now)
        if self._local_member.role is Role.ENTRY:
            reply = HeartbeatReply(
                sequence=message.sequence,
                revision=self._record.revision,
                evidence_age=self.evidence_age(now),
            )
            self._send(peer.member.member_id, reply)

    def _on_peer_heartbeat(
        self, peer: Peer, message: PeerHeartbeat, now: float
    ) -> None:
        peer.leaving = message.leaving
        peer.joining = message.joining
        self._observe_peer_revision(peer, message.revision, now)
        reply = PeerHeartbeatReply(
            sequence=message.sequence,
            revision=self._record.revision,
            evidence_age=self.evidence_age(now),
        )
        self._send(peer.member.member_id, reply)

    def _on_reply(
        self,
        peer: Peer,
        message: HeartbeatReply | PeerHeartbeatReply,
        now: float,
    ) -> None:
        asked_at = self._evidence.add_reply(message, now)
        self._observe_peer_revision(peer, message.revision, now)
        if asked_at is not None:
            self._membership.on_reply(self._record, peer.member, asked_at)

    def _on_control_request(
        self, peer: Peer, message: ControlRequest, now: float
    ) -> None:
        if self._record.revision > 0:
            self._push(peer.member.member_id)

    def _on_control_push(
        self, peer: Peer, message: ControlPush, now: float
    ) -> None:
        self._adopt(message.record, now, source=peer.member.member_id)
        self._observe_peer_revision(peer, message.record.revision, now)
        acknowledgement = self._evidence.voter.make_acknowledgement()
        if acknowledgement is not None:
            self._send(peer.member.member_id, acknowledgement)

    def _on_control_ack(
        self, peer: Peer, message: ControlAck, now: float
    ) -> None:
        if message.incarnation == peer.member.incarnation:
            self._observe_peer_revision(peer, message.revision, now)

    def _on_statement_request(
        self, peer: Peer, message: StatementRequest, now: float
    ) -> None:
        statement = self._evidence.voter.make_statement(message)
        if statement is not None:
            self._send(peer.member.member_id, statement)

    def _on_statement(self, peer: Peer, message: Statement, now: float) -> None:
        self._observe_peer_revision(peer, message.revision, now)
        self._evidence.add_statement(peer.member, message, now)

    def _observe_peer_revision(
        self, peer: Peer, revision: int, now: float
    ) -> None:
        peer.revision = max(peer.revision, revision)
        self._acceptance.observe_revision(peer.member, revision)
        if revision > self._record.revision:
            self._request_record(peer.member.member_id, now)

    def _request_record(self, member_id: str, now: float) -> None:
        # Sends at most one request per peer and half heartbeat interval. The
        # next heartbeat retries a lost request.
        last = self._record_requested_at.get(member_id, -math.inf)
        if now - last < self._settings.heartbeat_interval / 2:
            return
        self._record_requested_at[member_id] = now
        self._send(member_id, ControlRequest())

    def _on_read(self, result: TableReadResult, now: float) -> None:
        if not self._poller.on_result(result):
            return
        record = result.record
        if not isinstance(record, ControlRecord):
            return
        self._adopt(record, now, source="table")
        # A lower revision is from a delayed answer or from a table that lost
        # writes, so it is no evidence.
        if record.revision == self._record.revision:
            self._evidence.add_table_read(record.revision, result.asked_at)

    def _on_write(self, pending: PendingWrite, kind: str, now: float) -> None:
        self._log_decision(
            "table_write",
            purpose=pending.purpose,
            revision=pending.record.revision,
            result=kind,
        )
        if kind == "written":
            self._adopt(pending.record, now, source="own write")
            self._evidence.add_table_read(
                pending.record.revision, pending.asked_at
            )
        else:
            self._poller.schedule_read(now)
        if pending.purpose == "change":
            self._effects += self._changes.on_write_result(pending, kind, now)
        else:
            self._membership.restart_delay()
        self._effects += self._poller.tick(now)

    def _adopt(self, record: ControlRecord, now: float, source: str) -> None:
        if record.revision <= self._record.revision:
            return
        previous, self._record = self._record, record
        self._log_decision(
            "revision",
            revision=record.revision,
            previous=previous.revision,
            configuration_version=record.configuration_version,
            source=source,
        )
        self._evidence.set_record(record)
        if self._local_member.role is Role.ENTRY:
            self._adopt_as_entry(previous, now, source)

    def _adopt_as_entry(
        self, previous: ControlRecord, now: float, source: str
    ) -> None:
        record = self._record
        self._acceptance = Acceptance(record)
        self._acceptance.observe_revision(self._local_member, record.revision)
        for peer in self._peers.all():
            self._acceptance.observe_revision(peer.member, peer.revision)
        self._readiness.set_record(record, now)
        for entry in previous.entries:
            if not is_listed(record.entries, entry):
                self._log_decision("member_removed", member=entry.member_id)
        if self._membership.set_record(record, now):
            self._log_decision("removed", revision=record.revision)
            self._effects += self._changes.abandon_all(self._make_view(now))
        if source in ("table", "own write"):
            self._push_to_all()
        else:
            self._push_to_pending_voters()

    def _push_to_all(self) -> None:
        for peer in self._peers.connected():
            if peer.revision < self._record.revision:
                self._push(peer.member.member_id)

    def _push_to_pending_voters(self) -> None:
        if self._acceptance.is_accepted:
            return
        for member_id in self._acceptance.pending_voters:
            peer = self._peers.find(member_id)
            if peer is not None and peer.connected:
                self._push(member_id)

    def _push(self, to: str) -> None:
        self._send(to, ControlPush(record=self._record))

    def _start_statement_round(self, now: float) -> None:
        # Statement rounds are needed only when table reads are overdue.
        table_age = now - self._poller.answered_at
        if table_age <= 2 * self._settings.table_poll_interval:
            return
        if not self._record.voters:
            return
        request, voters = self._evidence.start_round(self._record, now)
        for member_id in voters:
            self._send(member_id, request)

    def _advance(self, now: float) -> None:
        if self._local_member.role is not Role.ENTRY:
            return
        is_known = self._record.revision > 0
        if is_known and self._acceptance.update(now):
            self._readiness.on_accepted(now)
            self._log_decision("accepted", revision=self._record.revision)
        self._effects += self._changes.advance(self._make_view(now), now)

    def _make_view(self, now: float) -> ControlView:
        return ControlView(
            record=self._record,
            is_accepted=self._acceptance.is_accepted,
            can_write_next=self._can_write_next(now),
            table_read_at=self._poller.answered_at,
        )

    def _write_membership(self, now: float, wall: float) -> None:
        age = now - self._poller.answered_at
        if age > self._settings.evidence_ttl:
            self._membership.restart_delay()
            return
        if self._record.revision > 0:
            may_write = self._can_write_next(now)
        else:
            may_write = self._poller.is_table_empty
        if may_write and not self._changes.has_uncertain_write:
            self._effects += self._membership.write(self._record, now, wall)

    def _can_write_next(self, now: float) -> bool:
        """Returns whether the next revision may be written.

        The current revision must be accepted, and fewer than a majority of its
        voters may be unreachable. Otherwise the next revision could not be
        accepted and would block all later ones.
        """
        return (
            self._acceptance.is_accepted
            and self._membership.reaches_enough_voters(self._record, now)
        )

    def _send(self, to: str, message: Message) -> None:
        self._effects.append(Send(to=to, message=message))

    def _log_decision(self, event: str, **fields: object) -> None:
        self._effects.append(Decision(event=event, fields=fields))

    def _collect_effects(self, now: float) -> list[Effect]:
        is_done = self._changes.is_empty
        if is_done and self._membership.finish_departure(self._record):
            self._log_decision("departed", revision=self._record.revision)
        is_fresh = self.is_fresh(now)
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            event = "evidence_regained" if is_fresh else "evidence_lost"
            self._log_decision(event, revision=self._record.revision)
        effects, self._effects = self._effects, []
        return effects


_HANDLERS: dict[
    type[Message], Callable[[ControlMachine, Peer, Any, float], None]
]
_HANDLERS = {
    Heartbeat: ControlMachine._on_heartbeat,
    HeartbeatReply: ControlMachine._on_reply,
    PeerHeartbeat: ControlMachine._on_peer_heartbeat,
    PeerHeartbeatReply: ControlMachine._on_reply,
    ControlRequest: ControlMachine._on_control_request,
    ControlPush: ControlMachine._on_control_push,
    ControlAck: ControlMachine._on_control_ack,
    StatementRequest: ControlMachine._on_statement_request,
    Statement: ControlMachine._on_statement,
}
