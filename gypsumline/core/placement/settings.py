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
      refusal_backoff: Pause after an agent refused for another reason, such as
        its own state or a revision that this owner does not have yet.
      queue_time: Longest expected wait in the queue of an agent for which a
        task is still placed there.
      guaranteed_part: Share of its part of the slots that an owner may fill
        without regard to the reports about the others.
      withdraw_after: Time after which a task that waits at an agent without
        need is taken back.
      pass_interval: Time after which waiting tasks are weighed again although
        no better place came up.
      backlog_part: Tasks that wait at the owner, as a part of the slots, from
        which agents report each free slot at once.
      default_run_time: Expected run time of a kind that nothing is known of.
      ramp_time: Time for which an agent that appears or returns gets only this
        owner's part of its slots, so that the owners do not overfill it.
      probe_interval: Time from the first ejection of an upstream to its probe;
        it doubles with each further one.
      probe_interval_max: Longest such time.
      probe_patience: Time for which a probe waits for a job of one task;
        after that it takes any job.
      flapping_memory: Time after which a healthy upstream's ejections are
        forgotten.
      age_weight: Seconds of response that one second of a job's own remaining
        work (at the speed of all slots) costs in the order of the jobs; 0 is
        the order of arrival.
      admission_margin: Part of a job's time limit that the expected finish
        may fill.
      size_delay_max: Longest time that a job is put back for its own work.
      client_burst_time: Work beyond its share, in seconds of all slots, that a
        client may have in the backlog before its jobs are put back.
      counted_time_max: Most work of one job, in seconds of all slots, that
        counts against its client's share.
      fairness_weight: Seconds that a job is put back in the order for each
        second of work (of all slots) that its client has beyond its share.
      retry_after_min: Shortest time to retry that a refusal names.
      retry_after_max: Longest time to retry that a refusal names.
    """

    policy: str = "earliest_finish"
    silence_limit: float = 1.0
    round_trip: float = 0.002
    queue_time: float = 0.0
    guaranteed_part: float = 1.0
    withdraw_after: float = 0.2
    queue_full_backoff: float = 0.02
    pass_interval: float = 0.02
    backlog_part: float = 0.25
    default_run_time: float = 0.3
    refusal_backoff: float = 0.1
    ramp_time: float = 1.0
    probe_interval: float = 2.0
    probe_interval_max: float = 30.0
    probe_patience: float = 2.0
    flapping_memory: float = 60.0
    age_weight: float = 16.0
    admission_margin: float = 0.8
    size_delay_max: float = 30.0
    client_burst_time: float = 1.0
    counted_time_max: float = 0.25
    fairness_weight: float = 20.0
    retry_after_min: float = 0.1
    retry_after_max: float = 30.0
