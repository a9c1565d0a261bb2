"""Settings and records of the simulated cluster."""

from __future__ import annotations

import dataclasses

from benchmarks.job_stream import StreamJob
from gypsumline.core.placement.settings import PlacementSettings
from gypsumline.core.task import Reason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClusterSettings:
    """Settings of a simulated cluster; all times are in seconds.

    Attributes:
      placement: Settings of the owners' schedulers.
      owners: Number of entries that own jobs.
      zones: Number of availability zones.
      zone_delay: One-way network delay between zones.
      local_delay: One-way network delay within a zone.
      client_delay: One-way network delay between a client and an entry.
      heartbeat_interval: Time between heartbeats of an agent to an owner.
      tick_interval: Time between ticks of an owner.
      record_delay: Longest time until a process receives a new record.
      bounded_queue: Whether an agent refuses more than one queued task per
        slot; the baseline policies need unbounded queues.
      results_delay: Longest time for which an agent delays a result while it
        has further tasks of the job, so that the results share a message.
      results_join_age: Time after which a delayed result joins the next
        message to its owner.
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
    results_delay: float = 0.0
    results_join_age: float = 0.0


@dataclasses.dataclass(slots=True)
class JobRecord:
    """Outcome of one job.

    Attributes:
      job: The job.
      outcome: "complete", "failed", "refused", "late" (deadline missed) or ""
        while there is no answer.
      answered_at: When the client received the answer, in virtual seconds.
      reason: Reason of a refusal.
      retry_after: Seconds after which a refused client may retry.
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
    """Counts of messages between owners and agents.

    Attributes:
      total: All messages except heartbeats.
      starts: `StartTasks` messages of which at least one task ran.
      pairs: Pairs of a job and an agent that ran one of its tasks.
      refused: Tasks refused by agents.
      withdrawn: Tasks withdrawn before they started.
    """

    total: int = 0
    starts: int = 0
    pairs: int = 0
    refused: int = 0
    withdrawn: int = 0
