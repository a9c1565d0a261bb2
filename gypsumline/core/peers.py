"""Table of the other processes: their connections and last contact."""

from __future__ import annotations

import dataclasses

from gypsumline.core.identity import Member, Role


@dataclasses.dataclass(slots=True, kw_only=True)
class Peer:
    """The newest known incarnation of another process.

    Attributes:
      member: Identity of the incarnation.
      last_contact_at: Time of the last message from it.
      revision: Newest revision that it is known to hold.
      connected: Whether a connection to it is open.
      joining: Whether it requests to become a member.
      leaving: Whether it has announced that it is leaving.
    """

    member: Member
    last_contact_at: float
    revision: int = 0
    connected: bool = False
    joining: bool = False
    leaving: bool = False


class PeerTable:
    """The other known processes by member id."""

    def __init__(self) -> None:
        self._peers: dict[str, Peer] = {}

    def record_contact(self, member: Member, now: float) -> Peer | None:
        """Records contact with a process.

        Returns:
          The peer, or None if a newer incarnation of it is known.
        """
        peer = self._peers.get(member.member_id)
        if peer is None or peer.member.incarnation < member.incarnation:
            peer = Peer(member=member, last_contact_at=now)
            self._peers[member.member_id] = peer
        if peer.member.incarnation > member.incarnation:
            return None
        peer.last_contact_at = now
        return peer

    def add_expected(self, member: Member, now: float) -> None:
        """Adds a process listed by a record, with `now` as its last contact."""
        peer = self._peers.get(member.member_id)
        if peer is None or peer.member.incarnation < member.incarnation:
            self.record_contact(member, now)

    def mark_connected(self, member: Member, now: float) -> None:
        """Records that a connection to a process was opened."""
        peer = self.record_contact(member, now)
        if peer is not None:
            peer.connected = True

    def mark_disconnected(self, member: Member) -> None:
        """Records that the connection to a process was closed."""
        peer = self._peers.get(member.member_id)
        if peer is not None and peer.member.incarnation == member.incarnation:
            peer.connected = False

    def find(self, member_id: str) -> Peer | None:
        """Returns the newest known incarnation of a process, if any."""
        return self._peers.get(member_id)

    def remove(self, member_id: str) -> None:
        """Removes a process from the table."""
        self._peers.pop(member_id, None)

    def connected(self, role: Role | None = None) -> list[Peer]:
        """Returns the connected processes, sorted by member id.

        Args:
          role: Only processes of this role; None for all.
        """
        return [
            peer
            for peer in self.all()
            if peer.connected and role in (None, peer.member.role)
        ]

    def all(self) -> list[Peer]:
        """Returns all known processes, sorted by member id."""
        return [peer for _, peer in sorted(self._peers.items())]
