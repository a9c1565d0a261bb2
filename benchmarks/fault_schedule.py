"""Seeded schedules of faults for a local system."""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Sequence

_FIRST_FAULT_SECONDS = 4.0
_INTERVAL_RANGE_SECONDS = (1.0, 4.0)


class FaultKind(enum.StrEnum):
    """Kind of a fault; the value is its name in reports."""

    KILL_ENTRY = "kill_entry"
    KILL_AGENT = "kill_agent"
    KILL_ZONE = "kill_zone"
    PAUSE_ENTRY_SHORT = "pause_entry_short"
    PAUSE_ENTRY_LONG = "pause_entry_long"
    PAUSE_AGENT_SHORT = "pause_agent_short"
    PAUSE_AGENT_LONG = "pause_agent_long"
    RESTART_ENTRY = "restart_entry"
    RESTART_AGENT = "restart_agent"
    PLATFORM_REFUSES = "platform_refuses"
    PLATFORM_HANGS = "platform_hangs"
    PLATFORM_SLOW = "platform_slow"
    PLATFORM_LOSES_ANSWERS = "platform_loses_answers"
    ZONE_OUT = "zone_out"
    ZONE_OUT_UNHEARD = "zone_out_unheard"
    LINKS_OF_ZONE_CUT = "links_of_zone_cut"
    LINKS_OF_ZONE_SILENT = "links_of_zone_silent"


# Shortest and longest duration in seconds. Short pauses end before and long
# pauses after the 2 s for which evidence is valid.
_DURATION_RANGES: dict[FaultKind, tuple[float, float]] = {
    FaultKind.KILL_ENTRY: (0.1, 4.0),
    FaultKind.KILL_AGENT: (0.1, 4.0),
    FaultKind.KILL_ZONE: (0.5, 5.0),
    FaultKind.PAUSE_ENTRY_SHORT: (0.2, 1.8),
    FaultKind.PAUSE_ENTRY_LONG: (2.2, 7.0),
    FaultKind.PAUSE_AGENT_SHORT: (0.2, 1.8),
    FaultKind.PAUSE_AGENT_LONG: (2.2, 7.0),
    FaultKind.RESTART_ENTRY: (0.0, 0.0),
    FaultKind.RESTART_AGENT: (0.0, 0.0),
    FaultKind.PLATFORM_REFUSES: (2.0, 12.0),
    FaultKind.PLATFORM_HANGS: (2.0, 12.0),
    FaultKind.PLATFORM_SLOW: (3.0, 10.0),
    FaultKind.PLATFORM_LOSES_ANSWERS: (4.0, 10.0),
    FaultKind.ZONE_OUT: (6.0, 10.0),
    FaultKind.ZONE_OUT_UNHEARD: (6.0, 10.0),
    FaultKind.LINKS_OF_ZONE_CUT: (0.5, 6.0),
    FaultKind.LINKS_OF_ZONE_SILENT: (0.5, 6.0),
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FaultEvent:
    """One scheduled fault.

    Attributes:
      at: Seconds after the load started.
      kind: Kind of the fault.
      target: Name of a process or availability zone; "" for the platform.
      duration: Seconds until the fault is undone; 0 if it needs no undoing.
    """

    at: float
    kind: FaultKind
    target: str
    duration: float


def make_schedule(
    seed: int,
    seconds: float,
    entries: Sequence[str],
    agents: Sequence[str],
    zones: Sequence[str],
) -> list[FaultEvent]:
    """Returns the faults of a run, ordered by time.

    The kinds are drawn from a shuffled list without replacement, so each occurs
    once before any occurs again. Faults may overlap.
    """
    rng = random.Random(seed)
    events: list[FaultEvent] = []
    remaining_kinds: list[FaultKind] = []
    at = _FIRST_FAULT_SECONDS
    while at < seconds:
        if not remaining_kinds:
            remaining_kinds = list(FaultKind)
            rng.shuffle(remaining_kinds)
        kind = remaining_kinds.pop()
        targets = _possible_targets(kind, entries, agents, zones)
        shortest, longest = _DURATION_RANGES[kind]
        event = FaultEvent(
            at=round(at, 3),
            kind=kind,
            target=rng.choice(targets),
            duration=round(rng.uniform(shortest, longest), 3),
        )
        events.append(event)
        at += rng.uniform(*_INTERVAL_RANGE_SECONDS)
    return events


def _possible_targets(
    kind: FaultKind,
    entries: Sequence[str],
    agents: Sequence[str],
    zones: Sequence[str],
) -> Sequence[str]:
    if "zone" in kind:
        return zones
    if "entry" in kind:
        return entries
    if "agent" in kind:
        return agents
    return [""]
