"""Processes and connections of the world that submissions are fuzzed in."""

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
    """One process: what it knows of the record, and whether it runs."""

    def __init__(self, member, skew):
        self.member = member
        self.skew = skew
        self.alive = True
        self.paused = False
        self.isolated = False  # gets no evidence
        self.record = None
        self.evidence_at = -1e9

    @property
    def is_running(self):
        return self.alive and not self.paused

    def wall(self, now):
        return WALL + now + self.skew

    def is_fresh(self, now):
        return now - self.evidence_at < EVIDENCE_TTL_SECONDS


class EntryNode(Node):
    """An entry with its owner machine."""

    def __init__(self, member, skew, small):
        super().__init__(member, skew)
        settings = OwnerSettings(deadline_max=15.0)
        if small:
            settings = dataclasses.replace(settings, jobs=12, refusals=4)
        self.owner = SubmissionOwner(member, settings, FirstFitScheduler())


class AgentNode(Node):
    """An agent with its slot table and a stand-in for its executor."""

    def __init__(self, member, skew, small):
        super().__init__(member, skew)
        settings = SlotSettings()
        if small:
            settings = SlotSettings(journal_entries=30, tombstone_entries=8)
        self.table = SlotTable(member, settings)
        self.pending_starts = []  # StartTask effects that the shell holds
        self.running = []  # (key, index, attempt, value)


@dataclasses.dataclass
class Link:
    """One connection between an entry and an agent, or two entries."""

    ends: tuple
    alive: bool = True
    blocked: set = dataclasses.field(default_factory=set)
    queues: dict = dataclasses.field(default_factory=dict)
