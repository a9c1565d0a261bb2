"""Settings of an agent's slot table and the executor's announcement."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotSettings:
    """Limits of the slot table and its journal.

    Attributes:
      resubmission_horizon: Seconds for which a key may be submitted again.
      deadline_max: Longest time from the receipt of a job to its deadline.
      journal_entries: Maximum number of tasks in the journal.
      journal_bytes: Maximum size of the results in the journal, in bytes.
      tombstone_entries: Maximum number of refusals that are recorded beyond
        `journal_entries`; a start whose refusal can't be recorded gets no
        reply.
      queue_per_slot: Maximum number of waiting tasks per slot.
      results_delay: Maximum time, in seconds, that results of a key wait for
        the key's last task at this agent while the owner has no backlog.
      results_join_age: Age, in seconds, from which delayed results are sent
        along with the next message to the same owner.
      report_bytes: Maximum size of the results in one part of a journal
        report, in bytes; well below the frame limit of 4 MiB.
      report_entries: Maximum number of entries in one part of a journal report.
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
    def retention_time(self) -> float:
        """Time for which the journal retains a key unchanged, in seconds."""
        return self.resubmission_horizon + self.deadline_max


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announcement:
    """State that an executor announces to its agent.

    Attributes:
      upstream_id: Name of the executor.
      service: Service that it runs.
      kinds: Task kinds that it accepts; empty for any.
      slots: Number of tasks that it runs concurrently.
      leaving: Whether it is stopping and accepts no new tasks.
    """

    upstream_id: str
    service: str
    kinds: tuple[str, ...] = ()
    slots: int = 1
    leaving: bool = False
