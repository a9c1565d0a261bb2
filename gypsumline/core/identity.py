"""Names of processes and their incarnations."""

from __future__ import annotations

import dataclasses
import enum


class Role(enum.StrEnum):
    """What a process of the system does."""

    ENTRY = "entry"
    AGENT = "agent"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Member:
    """One incarnation of a process.

    Attributes:
      member_id: Name that stays the same over restarts.
      incarnation: Start time in nanoseconds of UTC; a higher one at the same
        member id proves that the earlier one is gone.
      role: Entry or agent.
      availability_zone: Where the process runs.
      address: Host and port of its stream server, or "" if it only dials.
    """

    member_id: str
    incarnation: int
    role: Role
    availability_zone: str
    address: str = ""
