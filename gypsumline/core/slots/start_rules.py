"""Rules that each task start at an agent must satisfy."""

from __future__ import annotations

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.identity import Member
from gypsumline.core.slots.slot_settings import Announcement
from gypsumline.core.task import Reason

_OWNER_CACHE_KEYS_MAX = 10_000


class StartRules:
    """Checks starts against the control record and the upstream's state."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self._record: ControlRecord | None = None
        self._owners: dict[str, Member | None] = {}
        self._registered = False
        self.upstream: Announcement | None = None
        self.leaving = False

    @property
    def revision(self) -> int:
        """Revision of the current record; 0 without one."""
        return 0 if self._record is None else self._record.revision

    def set_record(self, record: ControlRecord) -> bool:
        """Applies a record if it is newer; returns whether it was."""
        if record.revision <= self.revision and self._record is not None:
            return False
        self._record = record
        self._registered = any(
            agent.agent_id == self._member.member_id for agent in record.agents
        )
        self._owners.clear()
        return True

    def owner_of(self, key: str) -> Member | None:
        """Returns the owner of a key by the current record."""
        if self._record is None:
            return None
        if key not in self._owners:
            if len(self._owners) >= _OWNER_CACHE_KEYS_MAX:
                self._owners.clear()
            self._owners[key] = self._record.owner_of(key)
        return self._owners[key]

    def is_owner(self, sender: Member, key: str) -> bool:
        """Whether this incarnation of the sender owns the key."""
        owner = self.owner_of(key)
        return (
            owner is not None
            and owner.member_id == sender.member_id
            and owner.incarnation == sender.incarnation
        )

    def block_reason(self, service: str) -> Reason:
        """Returns why the service may not start tasks here; NONE if it may."""
        if self._record is None or not self._registered:
            # A new owner queries the journals of registered agents only, so it
            # would not learn of a start at this one.
            return Reason.NO_EVIDENCE
        if self.leaving or (self.upstream and self.upstream.leaving):
            return Reason.LEAVING
        if self.upstream is None or self.upstream.service != service:
            return Reason.NO_UPSTREAM
        configuration = self._record.configuration
        if (
            self._member.availability_zone
            in configuration.availability_zones_out
        ):
            return Reason.OUT
        if self.upstream.upstream_id in configuration.upstreams_out:
            return Reason.OUT
        if service in configuration.services_out:
            return Reason.SERVICE_OUT
        return Reason.NONE

    def accepts_kind(self, kind: str) -> bool:
        """Whether the upstream accepts this kind of task."""
        if self.upstream is None:
            return False
        return not self.upstream.kinds or kind in self.upstream.kinds
