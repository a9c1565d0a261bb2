"""What one process knows of the others: who is connected and when heard."""

from __future__ import annotations

import dataclasses

from gypsumline.core.identity import Member, Role


@dataclasses.dataclass(slots=True, kw_only=True)
class Peer:
    """The newest known incarnation of another process.

    Attributes:
      member: That incarnation.
      last_contact_at: Time of its last message.
      revision: Newest revision that it is known to hold.
      connected: Whether a connection to it is open.
      joining: Whether it asks to become a member.
      leaving: Whether it said that it leaves.
    """

    member: Member
    last_contact_at: float
    revision: int = 0
    connected: bool = False
    joining: bool = False
    leaving: bool = False


class PeerTable:
    """The other processes, by member id."""

    def __init__(self) -> None:
        self._peers: dict[str, Peer] = {}

    def record_contact(self, member: Member, now: float) -> Peer | None:
        """Notes a sign of life; returns None for an outdated incarnation."""
        peer = self._peers.get(member.member_id)
        if peer is None or peer.member.incarnation < member.incarnation:
            peer = Peer(member=member, last_contact_at=now)
            self._peers[member.member_id] = peer
        if peer.member.incarnation > member.incarnation:
            return None
        peer.last_contact_at = now
        return peer

    def add_expected(self, member: Member, now: float) -> None:
        """Adds a process that a record lists, as if it was heard just now."""
        peer = self._peers.get(member.member_id)
        if peer is None or peer.member.incarnation < member.incarnation:
            self.record_contact(member, now)

    def mark_connected(self, member: Member, now: float) -> None:
        """Notes an open connection."""
        peer = self.record_contact(member, now)
        if peer is not None:
            peer.connected = True

    def mark_disconnected(self, member: Member) -> None:
        """Notes a closed connection."""
        peer = self._peers.get(member.member_id)
        if peer is not None and peer.member.incarnation == member.incarnation:
            peer.connected = False

    def find(self, member_id: str) -> Peer | None:
        """Returns the newest known incarnation of a process."""
        return self._peers.get(member_id)

    def remove(self, member_id: str) -> None:
        """Drops a process that is no longer of interest."""
        self._peers.pop(member_id, None)

    def connected(self, role: Role | None = None) -> list[Peer]:
        """Returns the connected processes, sorted by id."""
        return [
            peer
            for peer in self.all()
            if peer.connected and role in (None, peer.member.role)
        ]

    def all(self) -> list[Peer]:
        """Returns all known processes, sorted by id."""
        return [peer for _, peer in sorted(self._peers.items())]
