"""Settings of an owner of leased jobs."""

from __future__ import annotations

import dataclasses

from gypsumline.core.leases.crash_settings import CrashSettings


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeasedOwnerSettings:
    """Placement and admission of leased jobs; all times are in seconds.

    Attributes:
      silence_limit: Silence of an agent after which it gets no new runs. Covers
        one ping interval of an agent at rest and a slow answer.
      order_answer_limit: Time without a load that includes an order after which
        the agent gets no new runs. Covers a few busy ping intervals.
      isolation_limit: Time without any usable agent after which the open jobs
        are answered, so that their callers use another entry. By then the
        agents have stopped the runs of an owner that they cannot reach.
      forget_after: Retention of agents without a stream and of the attempt
        numbers of ended jobs.
      refusal_pause: Time without new runs for an agent whose executor refused a
        start.
      overdue_factor: Multiple of the expected run time after which a run counts
        as stalled.
      overdue_extra: Seconds added to the overdue time.
      late_factor: Multiple of the objective after which an answer is useless to
        the caller.
      fast_reserve: Free share of capacity by which a slower executor that is
        still in time is preferred over one of twice its speed.
      repeat_time: Expected time that each order without an answer costs a run.
      unanswered_reserve: Free share of capacity by which an executor that
        answers all orders is preferred over one that answers none.
      remote_factor: Factor on the run time away from the rack of the data.
      candidates_limit: Maximum number of agents with free capacity compared for
        a task. In larger fleets the next task starts with the following agents.
      jobs_limit: Maximum number of waiting jobs.
      retry_after_min: Minimum retry time in an answer.
      retry_after_max: Maximum retry time in an answer.
      tick_interval: Time between the checks of an owner with jobs or runs.
      rest_tick_interval: Time between the checks of any other owner.
      default_run_time: Expected run time of a queue without known run times.
      crashes: How jobs that may crash their executors are treated.
    """

    silence_limit: float = 2.0
    order_answer_limit: float = 0.5
    isolation_limit: float = 0.5
    forget_after: float = 30.0
    refusal_pause: float = 0.3
    overdue_factor: float = 3.0
    overdue_extra: float = 0.3
    late_factor: float = 3.0
    fast_reserve: float = 0.25
    repeat_time: float = 0.02
    unanswered_reserve: float = 1.0
    remote_factor: float = 1.5
    candidates_limit: int = 100
    jobs_limit: int = 20_000
    retry_after_min: float = 0.2
    retry_after_max: float = 10.0
    tick_interval: float = 0.03
    rest_tick_interval: float = 0.25
    default_run_time: float = 0.3
    crashes: CrashSettings = dataclasses.field(default_factory=CrashSettings)
