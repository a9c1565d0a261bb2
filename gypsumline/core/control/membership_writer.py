"""Membership changes that one entry writes."""

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
    """Compares the record with what is seen and writes the difference.

    Args:
      me: The writing entry.
      settings: Settings of the control state.
      rng: Seeded random generator for delays.
      peers: The other processes.
      writer: Writer of the control row, shared with configuration changes.
    """

    def __init__(
        self,
        me: Member,
        settings: ControlSettings,
        rng: random.Random,
        peers: PeerTable,
        writer: RecordWriter,
    ) -> None:
        self._me = me
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
        """Whether this incarnation asks to become a member."""
        return self.state == "outside"

    @property
    def is_leaving(self) -> bool:
        """Whether this incarnation leaves as planned."""
        return self.state in ("leaving", "dropped", "departed")

    @property
    def is_removed(self) -> bool:
        """Whether a record that it was in was followed by one without it."""
        return self.state in ("removed", "dropped", "departed")

    @property
    def accepts_changes(self) -> bool:
        """Whether this incarnation takes changes of operators."""
        return self.state in ("outside", "member")

    def set_record(self, record: ControlRecord, now: float) -> bool:
        """Takes over a newer record.

        Returns:
          Whether it drops this incarnation, which did not ask to leave.
        """
        for member in record.entries + record.voters:
            if member.member_id != self._me.member_id:
                self._peers.add_expected(member, now)
        if is_listed(record.entries, self._me):
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
        """Starts a planned leave; a removed incarnation ends anyway."""
        if self._chart.can_fire("leave"):
            self._chart.fire("leave")

    def depart(self) -> None:
        """Asks to be dropped."""
        self.leave()
        self._is_departing = True

    def on_reply(
        self, record: ControlRecord, sender: Member, asked_at: float
    ) -> None:
        """Notes that a member has seen a heartbeat of a given time."""
        is_later = self.is_removed and asked_at >= self._removed_at
        if is_later and is_listed(record.entries, sender):
            self._is_removal_observed = True

    def finish_departure(self, record: ControlRecord) -> bool:
        """Returns whether the process may exit; tells so once."""
        if not self._chart.can_fire("depart") or not self._may_exit(record):
            return False
        self._chart.fire("depart")
        return True

    def _may_exit(self, record: ControlRecord) -> bool:
        # A voter counts for the revision that drops it only if a member hears
        # from it afterwards.
        if not self._is_departing:
            return False
        if self.state == "dropped":
            return self._is_removal_observed or self._is_last(record)
        if not is_listed(record.entries, self._me):
            return True
        if len(record.entries) > 1:
            return False
        # The last entry stays while a later one would need it as a voter.
        return not self._peers.connected() or not any(
            is_listed(voters, self._me) and majority(len(voters)) == 1
            for voters in (record.voters, record.previous_voters)
        )

    def _is_last(self, record: ControlRecord) -> bool:
        """Returns whether all entries stop and no listed one is left.

        Then none will hear from this one, and waiting for it is in vain.
        """
        for entry in record.entries:
            peer = self._peers.find(entry.member_id)
            if peer is None or peer.connected or not peer.leaving:
                return False
        return True

    def reaches_majority(self, record: ControlRecord, now: float) -> bool:
        """Returns whether the next revision could be accepted."""
        silent = [
            voter
            for voter in record.voters
            if not (
                is_same_incarnation(voter, self._me)
                or self._is_reachable(voter, now)
            )
        ]
        return len(silent) < majority(len(record.voters))

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
        """Returns the write of a change that is due now, if there is one.

        The caller makes sure that the record is accepted and that a table read
        no older than `evidence_ttl` showed it.
        """
        if self.is_removed or not self._writer.is_idle:
            return []
        is_member = is_listed(record.entries, self._me)
        if self._is_departing and is_member and len(record.entries) > 1:
            dropped = remove_departed_entry(record, self._me, self._settings)
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
        """Draws new delays, after a conflict or while the table is silent."""
        self._timer.restart()

    def _is_superseded(self, record: ControlRecord) -> bool:
        if self._was_listed:
            return True
        return any(
            entry.member_id == self._me.member_id
            and entry.incarnation > self._me.incarnation
            for entry in record.entries
        )

    def _plan(self, record: ControlRecord, now: float) -> MembershipChange:
        mine = MemberObservation(
            member=self._me,
            liveness=Liveness.ALIVE,
            connected=True,
            joining=self.is_joining,
            leaving=self.is_leaving,
        )
        self._evict_unlisted_peers(record, now)
        others = [self._observe(peer, now) for peer in self._peers.all()]
        return plan_change(record, [mine, *others], self._settings)

    def _evict_unlisted_peers(self, record: ControlRecord, now: float) -> None:
        """Drops long silent processes that no part of the record lists."""
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
            if entry.member_id == self._me.member_id:
                return True
            peer = self._peers.find(entry.member_id)
            if (
                peer is not None
                and peer.member.incarnation == entry.incarnation
                and self._liveness(peer, now) is Liveness.ALIVE
            ):
                return False
        return True
