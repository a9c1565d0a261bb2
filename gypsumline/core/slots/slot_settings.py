"""Settings of an agent's slot table and what its executor announces."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotSettings:
    """Bounds of the slot table and its journal.

    Attributes:
      resubmission_horizon: Seconds for which a key may be submitted again.
      deadline_max: Longest time from the receipt of a job to its deadline.
      journal_entries: Most tasks in the journal.
      journal_bytes: Most bytes of results in the journal.
      tombstone_entries: Records of refusals kept beside the journal's bound;
        a start that can't even be recorded as refused gets no reply.
      queue_per_slot: Tasks that may wait for each slot.
      results_delay: Seconds for which results of a key wait at most for the
        last task of the key here, while the owner has no backlog.
      results_join_age: Seconds after which held results join the next message
        to the same owner.
      report_bytes: Most bytes of results in one part of a journal report; well
        below the frame limit of 4 MiB.
      report_entries: Most entries in one part of a journal report.
    """

    resubmission_horizon: float = 120.0
    deadline_max: float = 60.0
    journal_entries: int = 100_000
    journal_bytes: int = 64 * 1024 * 1024
    tombstone_entries: int = 50_000
    queue_per_slot: int = 1
    results_delay: float = 0.3
    results_join_age: float = 0.1
    report_bytes: int = 1024 * 1024
    report_entries: int = 4096

    @property
    def keep_time(self) -> float:
        """Seconds for which the journal keeps a task after its last change."""
        return self.resubmission_horizon + self.deadline_max


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announcement:
    """What an executor announces to its agent.

    Attributes:
      upstream_id: Name of the executor.
      service: Service that it runs.
      kinds: Kinds of task that it takes; empty for any.
      slots: Tasks that it runs at once.
      leaving: Whether it takes no new work.
    """

    upstream_id: str
    service: str
    kinds: tuple[str, ...] = ()
    slots: int = 1
    leaving: bool = False
