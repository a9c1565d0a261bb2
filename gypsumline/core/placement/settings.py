"""Settings of placement, admission and ejection."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementSettings:
    """Settings of one scheduler; all times are in seconds.

    Attributes:
      policy: Name of the placement policy in the registry.
      silence_limit: Time without a report after which an agent gets no work.
      round_trip: Assumed round-trip time to an agent.
      queue_full_backoff: Pause after an agent refused because its queue is
        full.
      refusal_backoff: Pause after an agent refused for another reason, such as
        its own state or a revision that this owner does not have yet.
      queue_time: Longest expected wait in an agent's queue at which a task is
        still placed there.
      guaranteed_part: Fraction of its equal share of the slots that an owner
        may fill regardless of the reported load of other owners.
      withdraw_after: Time after which a task that waits at an agent while
        another agent is idle is withdrawn.
      pass_interval: Time after which waiting tasks are considered again even
        if no earlier start became possible.
      backlog_part: Number of tasks that wait at the owner, as a fraction of
        the slots, from which agents report each free slot immediately.
      default_run_time: Expected run time of a kind without any information.
      ramp_time: Time for which an agent that appears or returns gets only this
        owner's equal share of its slots, so that the owners together do not
        overfill it.
      probe_interval: Time from the first ejection of an upstream to its probe;
        it doubles with each further ejection.
      probe_interval_max: Upper limit of that time.
      probe_patience: Time for which a probe waits for a job of one task; after
        that it uses a task of any job.
      flapping_memory: Time after which a healthy upstream's ejections are no
        longer counted.
      age_weight: Seconds of response that one second of a job's own remaining
        work (at the speed of all slots) costs in the order of the jobs; 0 is
        the order of arrival.
      admission_margin: Fraction of a job's timeout that the expected finish
        may use.
      size_delay_max: Longest delay of a job in the order for its own work.
      client_burst_time: Work beyond its share, in seconds of all slots, that a
        client may have in the backlog before its jobs are delayed.
      counted_time_max: Most work of one job, in seconds of all slots, that
        counts against its client's share.
      fairness_weight: Seconds by which a job is delayed in the order for each
        second of work (of all slots) that its client has beyond its share.
      retry_after_min: Shortest retry time in a refusal.
      retry_after_max: Longest retry time in a refusal.
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
