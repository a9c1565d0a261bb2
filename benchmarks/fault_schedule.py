"""Seeded schedules of faults for a local system."""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Sequence

_FIRST_AT_SECONDS = 4.0
_GAP_SECONDS = (1.0, 4.0)


class FaultKind(enum.StrEnum):
    """What is done to the system."""

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


# Shortest and longest duration in seconds. Pauses are shorter and longer than
# the 2 s for which evidence is valid.
_DURATIONS: dict[FaultKind, tuple[float, float]] = {
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
    """One fault.

    Attributes:
      at: Seconds after the load began.
      kind: What is done.
      target: Name of a process or availability zone; "" for the platform.
      duration: Seconds until it is undone; 0 if it undoes itself.
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

    The kinds are dealt from a shuffled deck, so each occurs once before one
    occurs again. Faults overlap.
    """
    rng = random.Random(seed)
    events: list[FaultEvent] = []
    deck: list[FaultKind] = []
    at = _FIRST_AT_SECONDS
    while at < seconds:
        if not deck:
            deck = list(FaultKind)
            rng.shuffle(deck)
        kind = deck.pop()
        targets = _targets(kind, entries, agents, zones)
        lowest, highest = _DURATIONS[kind]
        event = FaultEvent(
            at=round(at, 3),
            kind=kind,
            target=rng.choice(targets),
            duration=round(rng.uniform(lowest, highest), 3),
        )
        events.append(event)
        at += rng.uniform(*_GAP_SECONDS)
    return events


def _targets(
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
