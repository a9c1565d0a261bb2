"""Identity of the processes of the system: member id, incarnation and role."""

from __future__ import annotations

import dataclasses
import enum


class Role(enum.StrEnum):
    """Role of a process in the system."""

    ENTRY = "entry"
    AGENT = "agent"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Member:
    """One incarnation of a process.

    Attributes:
      member_id: Name that stays the same across restarts.
      incarnation: Start time in UTC nanoseconds. A higher incarnation of the
        same member id proves that the lower one has ended.
      role: Entry or agent.
      availability_zone: Availability zone in which the process runs.
      address: Host and port of its stream server; "" if the process only
        opens connections and accepts none.
    """

    member_id: str
    incarnation: int
    role: Role
    availability_zone: str
    address: str = ""
