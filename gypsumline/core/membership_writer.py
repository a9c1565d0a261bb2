"""Membership changes that one entry writes."""

from __future__ import annotations

import math
import random

from gypsumline.core.control import ControlRecord
from gypsumline.core.control_settings import ControlSettings
from gypsumline.core.effects import WriteTable
from gypsumline.core.identity import Member
from gypsumline.core.membership import (
    MembershipChange,
    Presence,
    Sighting,
    depart,
    next_record,
    plan_change,
)
from gypsumline.core.membership_timer import MembershipTimer
from gypsumline.core.peers import Peer, PeerTable
from gypsumline.core.record_writer import RecordWriter
from gypsumline.core.voter import is_listed, is_same_incarnation, majority


class MembershipWriter:
    """Compares the record with what is seen and writes the difference.

    Args:
      me: The writing entry.
      settings: Settings of the control state.
      rng: Seeded random generator for delays.
      peers: The other processes.
      writer: Writer of the control row, shared with configuration changes.

    Attributes:
      was_listed: Whether a known record listed this incarnation.
      is_removed: Whether a later record dropped it.
      is_leaving: Whether it leaves as planned.
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
        self.was_listed = False
        self.is_removed = False
        self.is_leaving = False
        self._removed_at = math.inf
        self._is_departing = False
        self._has_departed = False
        self._told_departed = False

    @property
    def is_joining(self) -> bool:
        """Whether this incarnation asks to become a member."""
        return not (self.was_listed or self.is_removed or self.is_leaving)

    def learn(self, record: ControlRecord, now: float) -> bool:
        """Takes over a newer record.

        Returns:
          Whether it drops this incarnation, which did not ask to leave.
        """
        for member in record.entries + record.voters:
            if member.member_id != self._me.member_id:
                self._peers.expect(member, now)
        if is_listed(record.entries, self._me):
            self.was_listed = True
            return False
        is_news = not self.is_removed and self._is_superseded(record)
        if is_news:
            self.is_removed = True
            self._removed_at = now
        # When all entries stop together, none is left to hear from this one.
        if self.is_removed and self.is_leaving and not record.entries:
            self._has_departed = True
        return is_news and not self.is_leaving

    def depart(self, record: ControlRecord) -> None:
        """Asks to be dropped, if another entry stays to serve."""
        self.is_leaving = True
        self._is_departing = True
        others = [
            entry
            for entry in record.entries
            if entry.member_id != self._me.member_id
        ]
        self._has_departed = self._has_departed or not others

    def on_reply(
        self, record: ControlRecord, sender: Member, asked_at: float
    ) -> None:
        """Notes that a member has seen a heartbeat of a given time.

        A leaving voter counts for the revision that drops it only if a member
        hears from it afterwards, so it stays until one has.
        """
        is_later = self.is_removed and asked_at >= self._removed_at
        if self.is_leaving and is_later and is_listed(record.entries, sender):
            self._has_departed = True

    def take_departed(self) -> bool:
        """Returns whether the process may exit; tells so once."""
        if not self._has_departed or self._told_departed:
            return False
        self._told_departed = True
        return True

    def reaches_voters(self, record: ControlRecord, now: float) -> bool:
        """Returns whether the next revision could be accepted."""
        silent = [
            voter
            for voter in record.voters
            if not (
                is_same_incarnation(voter, self._me)
                or self._answers(voter, now)
            )
        ]
        return len(silent) < majority(len(record.voters))

    def _answers(self, voter: Member, now: float) -> bool:
        peer = self._peers.find(voter.member_id)
        if peer is None:
            return False
        if peer.member.incarnation != voter.incarnation:
            return peer.member.incarnation > voter.incarnation
        return peer.connected and self._presence(peer, now) is Presence.ALIVE

    def write(
        self, record: ControlRecord, now: float, wall: float
    ) -> list[WriteTable]:
        """Returns the write of a change that is due now, if there is one.

        The caller makes sure that the record is accepted and that a table read
        no older than `evidence_ttl` showed it.
        """
        if self.is_removed or not self._writer.is_idle:
            return []
        if self._is_departing and is_listed(record.entries, self._me):
            dropped = depart(record, self._me, self._settings)
            return [self._writer.write(dropped, now)]
        if now < self._next_check_at:
            return []
        self._next_check_at = now + self._settings.membership_check_interval
        change = self._plan(record, now)
        is_leader = self._is_leader(record, now)
        if not self._timer.is_due(
            record.revision, change.is_needed, is_leader, now
        ):
            return []
        self._timer.restart()
        changed = next_record(record, change, wall, self._settings)
        return [self._writer.write(changed, now)]

    def postpone(self) -> None:
        """Draws new delays, after a conflict or while the table is silent."""
        self._timer.restart()

    def _is_superseded(self, record: ControlRecord) -> bool:
        if self.was_listed:
            return True
        return any(
            entry.member_id == self._me.member_id
            and entry.incarnation > self._me.incarnation
            for entry in record.entries
        )

    def _plan(self, record: ControlRecord, now: float) -> MembershipChange:
        mine = Sighting(
            member=self._me,
            presence=Presence.ALIVE,
            connected=True,
            joining=self.is_joining,
            leaving=self.is_leaving,
        )
        others = [self._sight(peer, now) for peer in self._peers.all()]
        return plan_change(record, [mine, *others], self._settings)

    def _sight(self, peer: Peer, now: float) -> Sighting:
        return Sighting(
            member=peer.member,
            presence=self._presence(peer, now),
            connected=peer.connected,
            joining=peer.joining,
            leaving=peer.leaving,
        )

    def _presence(self, peer: Peer, now: float) -> Presence:
        silence = now - peer.heard_at
        if silence <= self._settings.suspect_after:
            return Presence.ALIVE
        if silence <= self._settings.forget_agent_after:
            return Presence.SILENT
        return Presence.FORGOTTEN

    def _is_leader(self, record: ControlRecord, now: float) -> bool:
        for entry in record.entries:
            if entry.member_id == self._me.member_id:
                return True
            peer = self._peers.find(entry.member_id)
            if (
                peer is not None
                and peer.member.incarnation == entry.incarnation
                and self._presence(peer, now) is Presence.ALIVE
            ):
                return False
        return True
