"""Processes and connections of the simulated system in `submission_world`."""

from __future__ import annotations

import dataclasses

from gypsumline.core.slots.slot_settings import SlotSettings
from gypsumline.core.slots.slot_table import SlotTable
from gypsumline.core.submissions.owner import SubmissionOwner
from gypsumline.core.submissions.owner_settings import OwnerSettings
from gypsumline.tests.core.builders import WALL
from gypsumline.tests.core.first_fit import FirstFitScheduler

EVIDENCE_TTL_SECONDS = 2.0


class Node:
    """One process with its clock, its control record and its evidence."""

    def __init__(self, member, clock_skew):
        self.member = member
        self.clock_skew = clock_skew
        self.alive = True
        self.paused = False
        self.isolated = False  # whether it gets no evidence
        self.record = None
        self.evidence_at = -1e9

    @property
    def is_running(self):
        return self.alive and not self.paused

    def wall(self, now):
        return WALL + now + self.clock_skew

    def is_fresh(self, now):
        return now - self.evidence_at < EVIDENCE_TTL_SECONDS


class EntryNode(Node):
    """An entry with its submission owner."""

    def __init__(self, member, clock_skew, small_limits):
        super().__init__(member, clock_skew)
        settings = OwnerSettings(deadline_max=15.0)
        if small_limits:
            settings = dataclasses.replace(settings, jobs=12, refusals=4)
        self.owner = SubmissionOwner(member, settings, FirstFitScheduler())


class AgentNode(Node):
    """An agent with its slot table and a simulated executor."""

    def __init__(self, member, clock_skew, small_limits):
        super().__init__(member, clock_skew)
        settings = SlotSettings()
        if small_limits:
            settings = SlotSettings(journal_entries=30, tombstone_entries=8)
        self.table = SlotTable(member, settings)
        self.pending_starts = []  # StartTask effects not yet carried out
        self.running = []  # (key, index, attempt, value)


@dataclasses.dataclass
class Link:
    """A connection between an entry and an agent or between two entries.

    Attributes:
      ends: Member ids of both ends.
      alive: Whether messages can be sent.
      blocked: Member ids of receivers that get no messages for now.
      queues: Sender and messages in flight, by the member id of the receiver.
    """

    ends: tuple
    alive: bool = True
    blocked: set = dataclasses.field(default_factory=set)
    queues: dict = dataclasses.field(default_factory=dict)
