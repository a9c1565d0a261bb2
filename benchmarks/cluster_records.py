"""Settings and records of the cluster in virtual time."""

from __future__ import annotations

import dataclasses

from benchmarks.job_stream import StreamJob
from gypsumline.core.placement.settings import PlacementSettings
from gypsumline.core.task import Reason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClusterSettings:
    """Delays and sizes; all times are seconds.

    Attributes:
      placement: Settings of the owners' schedulers.
      owners: Entries that own jobs.
      zones: Availability zones.
      zone_delay: One way between zones.
      local_delay: One way inside a zone.
      client_delay: One way between a client and an entry.
      heartbeat_interval: Time between an agent's reports to an owner.
      tick_interval: Time between an owner's ticks.
      record_delay: Longest time until a process has a new record.
      bounded_queue: Whether an agent refuses more than one waiting task per
        slot; the baseline policies need queues without a bound.
      hold_results: Longest time for which an agent holds a result while it has
        further tasks of the job, so that they share an answer.
      join_age: Time after which a held result goes with the next message to
        its owner.
    """

    placement: PlacementSettings = dataclasses.field(
        default_factory=PlacementSettings
    )
    owners: int = 3
    zones: int = 3
    zone_delay: float = 0.001
    local_delay: float = 0.0001
    client_delay: float = 0.001
    heartbeat_interval: float = 0.5
    tick_interval: float = 0.05
    record_delay: float = 0.3
    bounded_queue: bool = True
    hold_results: float = 0.0
    join_age: float = 0.0


@dataclasses.dataclass(slots=True)
class JobRecord:
    """What became of one job.

    Attributes:
      job: The job.
      outcome: "complete", "failed", "refused", "late" or "".
      answered_at: When the client had the answer.
      reason: Why it was refused.
      retry_after: Time to retry of a refusal.
    """

    job: StreamJob
    outcome: str = ""
    answered_at: float = 0.0
    reason: Reason = Reason.NONE
    retry_after: float = 0.0

    @property
    def response(self) -> float:
        """Seconds from the client's request to its answer."""
        return self.answered_at - self.job.arrives_at


@dataclasses.dataclass(slots=True)
class MessageCount:
    """Messages between owners and agents.

    Attributes:
      total: All except heartbeats.
      starts: `StartTasks` of which at least one task ran.
      pairs: Pairs of a job and an agent that ran a task of it.
      refused: Tasks refused by agents.
      withdrawn: Tasks withdrawn before they started.
    """

    total: int = 0
    starts: int = 0
    pairs: int = 0
    refused: int = 0
    withdrawn: int = 0
