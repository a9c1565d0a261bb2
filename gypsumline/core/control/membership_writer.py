"""Writes of membership changes by one entry."""

from __future__ import annotations

import math
import random

from gypsumline.core.chart import ChartInstance, load_chart
from gypsumline.core.control.control_settings import ControlSettings
from gypsumline.core.control.membership import (
    Liveness,
    MemberObservation,
    MembershipChange,
    next_record,
    plan_change,
    remove_departed_entry,
)
from gypsumline.core.control.membership_timer import MembershipTimer
from gypsumline.core.control.record import ControlRecord
from gypsumline.core.control.record_writer import RecordWriter
from gypsumline.core.control.voter import (
    is_listed,
    is_same_incarnation,
    majority,
)
from gypsumline.core.effects import WriteTable
from gypsumline.core.identity import Member
from gypsumline.core.peers import Peer, PeerTable


class MembershipWriter:
    """Compares the record with the observed processes and writes changes.

    Args:
      local_member: The writing entry.
      settings: Settings of the control state.
      rng: Seeded random generator for delays.
      peers: The other processes.
      writer: Writer of the control row, shared with configuration changes.
    """

    def __init__(
        self,
        local_member: Member,
        settings: ControlSettings,
        rng: random.Random,
        peers: PeerTable,
        writer: RecordWriter,
    ) -> None:
        self._local_member = local_member
        self._settings = settings
        self._peers = peers
        self._writer = writer
        self._timer = MembershipTimer(settings, rng)
        self._next_check_at = -math.inf
        self._chart = ChartInstance(load_chart("member"))
        self._was_listed = False
        self._removed_at = math.inf
        self._is_departing = False
        self._is_removal_observed = False

    @property
    def state(self) -> str:
        """State in the chart "member"."""
        return self._chart.state

    @property
    def is_joining(self) -> bool:
        """Whether this incarnation requests to become a member."""
        return self.state == "outside"

    @property
    def is_leaving(self) -> bool:
        """Whether this incarnation has started a planned leave."""
        return self.state in ("leaving", "dropped", "departed")

    @property
    def is_removed(self) -> bool:
        """Whether a newer record excludes this incarnation."""
        return self.state in ("removed", "dropped", "departed")

    @property
    def accepts_changes(self) -> bool:
        """Whether this incarnation accepts changes of operators."""
        return self.state in ("outside", "member")

    def set_record(self, record: ControlRecord, now: float) -> bool:
        """Sets the newest known record.

        Returns:
          Whether the record removes this incarnation without a planned leave.
        """
        for member in record.entries + record.voters:
            if member.member_id != self._local_member.member_id:
                self._peers.add_expected(member, now)
        if is_listed(record.entries, self._local_member):
            self._was_listed = True
            if self._chart.can_fire("list"):
                self._chart.fire("list")
            return False
        if self.is_removed or not self._is_superseded(record):
            return False
        self._removed_at = now
        self._chart.fire("drop" if self.is_leaving else "remove")
        return self.state == "removed"

    def leave(self) -> None:
        """Starts a planned leave unless this incarnation was removed."""
        if self._chart.can_fire("leave"):
            self._chart.fire("leave")

    def depart(self) -> None:
        """Requests removal of this incarnation from the record."""
        self.leave()
        self._is_departing = True

    def on_reply(
        self, record: ControlRecord, sender: Member, asked_at: float
    ) -> None:
        """Handles the reply of a member to a heartbeat sent at `asked_at`."""
        is_later = self.is_removed and asked_at >= self._removed_at
        if is_later and is_listed(record.entries, sender):
            self._is_removal_observed = True

    def finish_departure(self, record: ControlRecord) -> bool:
        """Ends the departure if the process may exit; True only once."""
        if not self._chart.can_fire("depart") or not self._may_exit(record):
            return False
        self._chart.fire("depart")
        return True

    def _may_exit(self, record: ControlRecord) -> bool:
        # A removed voter counts towards acceptance of the revision that removes
        # it only if a member receives a message from it afterwards.
        if not self._is_departing:
            return False
        if self.state == "dropped":
            return self._is_removal_observed or self._are_all_entries_gone(
                record
            )
        if not is_listed(record.entries, self._local_member):
            return True
        if len(record.entries) > 1:
            return False
        # The last entry stays while a later entry would need its vote.
        return not self._peers.connected() or not any(
            is_listed(voters, self._local_member) and majority(len(voters)) == 1
            for voters in (record.voters, record.previous_voters)
        )

    def _are_all_entries_gone(self, record: ControlRecord) -> bool:
        """Returns whether all listed entries are leaving and disconnected.

        In that case no member will receive a heartbeat of this incarnation, so
        it does not wait for a reply.
        """
        for entry in record.entries:
            peer = self._peers.find(entry.member_id)
            if peer is None or peer.connected or not peer.leaving:
                return False
        return True

    def reaches_enough_voters(self, record: ControlRecord, now: float) -> bool:
        """Returns whether enough voters are reachable for the next revision."""
        unreachable = [
            voter
            for voter in record.voters
            if not (
                is_same_incarnation(voter, self._local_member)
                or self._is_reachable(voter, now)
            )
        ]
        return len(unreachable) < majority(len(record.voters))

    def _is_reachable(self, voter: Member, now: float) -> bool:
        peer = self._peers.find(voter.member_id)
        if peer is None:
            return False
        if peer.member.incarnation != voter.incarnation:
            return peer.member.incarnation > voter.incarnation
        return peer.connected and self._liveness(peer, now) is Liveness.ALIVE

    def write(
        self, record: ControlRecord, now: float, wall: float
    ) -> list[WriteTable]:
        """Returns the write of a due membership change, or an empty list.

        The caller ensures that the record is accepted and that a table read
        within the last `evidence_ttl` returned it.
        """
        if self.is_removed or not self._writer.is_idle:
            return []
        is_member = is_listed(record.entries, self._local_member)
        if self._is_departing and is_member and len(record.entries) > 1:
            dropped = remove_departed_entry(
                record, self._local_member, self._settings
            )
            return [self._writer.write(dropped, now)]
        if now < self._next_check_at:
            return []
        self._next_check_at = now + self._settings.membership_check_interval
        change = self._plan(record, now)
        is_preferred_writer = self._is_preferred_writer(record, now)
        if not self._timer.is_due(
            record.revision, change.is_needed, is_preferred_writer, now
        ):
            return []
        self._timer.restart()
        changed = next_record(record, change, wall, self._settings)
        return [self._writer.write(changed, now)]

    def restart_delay(self) -> None:
        """Restarts the delays after a conflict or without table answers."""
        self._timer.restart()

    def _is_superseded(self, record: ControlRecord) -> bool:
        if self._was_listed:
            return True
        return any(
            entry.member_id == self._local_member.member_id
            and entry.incarnation > self._local_member.incarnation
            for entry in record.entries
        )

    def _plan(self, record: ControlRecord, now: float) -> MembershipChange:
        own = MemberObservation(
            member=self._local_member,
            liveness=Liveness.ALIVE,
            connected=True,
            joining=self.is_joining,
            leaving=self.is_leaving,
        )
        self._evict_unlisted_peers(record, now)
        others = [self._observe(peer, now) for peer in self._peers.all()]
        return plan_change(record, [own, *others], self._settings)

    def _evict_unlisted_peers(self, record: ControlRecord, now: float) -> None:
        """Evicts expired processes that no part of the record lists."""
        listed = {agent.agent_id for agent in record.agents}
        members = record.entries + record.voters + record.previous_voters
        listed |= {member.member_id for member in members}
        for peer in self._peers.all():
            is_expired = self._liveness(peer, now) is Liveness.EXPIRED
            if is_expired and peer.member.member_id not in listed:
                self._peers.remove(peer.member.member_id)

    def _observe(self, peer: Peer, now: float) -> MemberObservation:
        return MemberObservation(
            member=peer.member,
            liveness=self._liveness(peer, now),
            connected=peer.connected,
            joining=peer.joining,
            leaving=peer.leaving,
        )

    def _liveness(self, peer: Peer, now: float) -> Liveness:
        silence = now - peer.last_contact_at
        if silence <= self._settings.suspect_after:
            return Liveness.ALIVE
        if silence <= self._settings.agent_expiry_timeout:
            return Liveness.SILENT
        return Liveness.EXPIRED

    def _is_preferred_writer(self, record: ControlRecord, now: float) -> bool:
        for entry in record.entries:
            if entry.member_id == self._local_member.member_id:
                return True
            peer = self._peers.find(entry.member_id)
            if (
                peer is not None
                and peer.member.incarnation == entry.incarnation
                and self._liveness(peer, now) is Liveness.ALIVE
            ):
                return False
        return True
