"""Settings of an owner of leased jobs."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeasedOwnerSettings:
    """Placement and admission of leased jobs; all times are seconds.

    Attributes:
      silence_limit: An agent not heard for this long gets no new runs. It
        covers one idle ping interval of the agents and a slow answer.
      isolation_limit: Time without any usable agent after which the open jobs
        are answered, so that their callers go to another entry. By then the
        agents have stopped the runs of an owner that they do not reach.
      forget_after: Time after which an agent without a stream, or the run
        numbers of a job that has ended, are forgotten.
      refusal_pause: Pause of an agent whose executor refused a start.
      overdue_factor: Multiple of the expected run time after which a run is
        taken to stand still.
      overdue_extra: Seconds on top of that.
      late_factor: Multiple of the objective after which an answer is of no
        use to the caller.
      fast_reserve: Share of room by which a slower executor that is still in
        time is preferred over one of twice its speed.
      remote_factor: Multiple of the run time away from the data's rack.
      candidates_limit: Most agents with room that are weighed for a task; in
        larger fleets the next task begins behind them.
      jobs_limit: Most open jobs.
      retry_after_min: Shortest time to retry that a refusal names.
      retry_after_max: Longest time to retry that a refusal names.
      default_run_time: Expected run time of a queue that nothing is known of.
    """

    silence_limit: float = 1.2
    isolation_limit: float = 0.5
    forget_after: float = 30.0
    refusal_pause: float = 0.3
    overdue_factor: float = 3.0
    overdue_extra: float = 0.3
    late_factor: float = 3.0
    fast_reserve: float = 0.25
    remote_factor: float = 1.5
    candidates_limit: int = 100
    jobs_limit: int = 20_000
    retry_after_min: float = 0.2
    retry_after_max: float = 10.0
    default_run_time: float = 0.3
