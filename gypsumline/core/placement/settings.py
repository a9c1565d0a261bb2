"""Settings of placement, admission and ejection."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementSettings:
    """Settings of one scheduler; all times are seconds.

    Attributes:
      policy: Name of the placement policy in the registry.
      silence_limit: An agent that has not reported for this long gets no work.
      round_trip: Assumed round trip to an agent until one was measured.
      queue_full_backoff: Pause after an agent refused for a full queue.
      unavailable_backoff: Pause after an agent refused because it leaves or
        has no executor; about one heartbeat interval.
      default_run_time: Expected run time of a kind that nothing is known of.
      ramp_time: Time over which a returning agent gets all its slots.
      age_weight: Seconds of response that one second of a job's own remaining
        work (at the speed of all slots) costs in the order of the jobs; 0 is
        the order of arrival.
      admission_margin: Part of a job's time limit that the expected finish
        may fill.
      client_burst_time: Backlog, in seconds of all slots, below which no
        client is held to its share.
      retry_after_min: Shortest time to retry that a refusal names.
      retry_after_max: Longest time to retry that a refusal names.
    """

    policy: str = "earliest_finish"
    silence_limit: float = 1.0
    round_trip: float = 0.002
    queue_full_backoff: float = 0.02
    unavailable_backoff: float = 0.5
    default_run_time: float = 0.3
    ramp_time: float = 1.0
    age_weight: float = 4.0
    admission_margin: float = 0.8
    client_burst_time: float = 1.0
    retry_after_min: float = 0.1
    retry_after_max: float = 30.0
