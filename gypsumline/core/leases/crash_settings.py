"""Settings of how an owner judges and confines jobs that crash executors."""

from __future__ import annotations

import dataclasses

from gypsumline.core.errors import InvalidInputError


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashSettings:
    """Blame for crashes; all times are in seconds.

    Attributes:
      crash_limit: Number of crashes under one task at which its job is given up
        whoever is blamed, if it is known to have been at `confirming_crashes`
        of them.
      possible_crash_limit: Number of crashes at which it is given up even if it
        is not known to have been at any.
      possible_blame: Sum of a task's blame from which `crash_limit` crashes are
        enough for that: hardly any other run had just been ordered there.
      confirming_crashes: Minimum number of crashes under one task, known to
        have been there, at which its job is given up if it has enough blame.
      confirming_blame: Sum of a task's blame over all crashes from which it
        counts as their cause. Its blame for a single crash is below 1; a run
        that was lost with its agent adds 1.
      suspect_blame: Sum of a task's blame from which its job is kept apart from
        other suspects.
      strong_blame: Sum of a task's blame from which its job is a strong
        suspect. It starts again only on executors that are kept for such jobs.
      isolation_share: Share of a service's executors that are kept for strong
        suspects, rounded up, but not more than a quarter; 0 for none.
      isolation_time: Time for which they are kept after the latest crash with a
        strong suspect; longer than an executor takes to return.
      isolated_jobs: Maximum number of strong suspects on one executor, so that
        one crash clears or convicts several.
      start_scale: Age of a run within which a crash is mostly caused by its
        start.
      start_weight: Weight of a run that has just started, relative to causes
        that are no run, such as a host without power.
      base_weight: Weight of any other run, relative to the same.
      earlier_blame_weight: Factor by which the earlier blame of a task
        increases its weight.
      suspicion_time: Time for which a queue stays under suspicion after the
        latest crash that one of its jobs caused; also the time over which its
        crashes are counted.
      suspicion_share: Crashes that a queue is blamed for in that time, as a
        share of the executors of its service, from which it is confined.
      unconfirmed_factor: Factor on that share as long as no job of the queue is
        known to crash executors.
      confined_shares: Shares of the executors that queues are confined to, in
        ascending order. The first that holds their share of the work is used;
        owners, whose estimates differ, thus mostly choose alike.
      rate_memory: Time over which the rate of a queue's work is known.
      memory: Time for which a crash counts after an owner has learned of it,
        and while a job that was there is open.
      max_crashes: Maximum number of crashes that an owner keeps. Beyond it, the
        counts of the oldest are lost, so it covers `memory` for 200 executors
        that each crash again as soon as they are back.
      max_given_up: Maximum number of jobs given up that an owner lists.
      given_up_memory: Time for which it lists them.
      return_limit: Time after which a crashed executor is no longer expected
        back.
    """

    crash_limit: int = 3
    possible_crash_limit: int = 4
    possible_blame: float = 2.0
    confirming_crashes: int = 2
    confirming_blame: float = 1.2
    suspect_blame: float = 0.1
    strong_blame: float = 0.3
    isolation_share: float = 0.05
    isolation_time: float = 3.5
    isolated_jobs: int = 3
    start_scale: float = 0.03
    start_weight: float = 20.0
    base_weight: float = 0.1
    earlier_blame_weight: float = 10.0
    suspicion_time: float = 5.0
    suspicion_share: float = 0.15
    unconfirmed_factor: float = 2.0
    confined_shares: tuple[float, ...] = (0.35, 0.5, 0.75, 1.0)
    rate_memory: float = 10.0
    memory: float = 60.0
    max_crashes: int = 4096
    max_given_up: int = 100
    given_up_memory: float = 3600.0
    return_limit: float = 60.0

    def __post_init__(self) -> None:
        if not 1 <= self.confirming_crashes <= self.crash_limit:
            raise InvalidInputError(
                "confirming_crashes",
                self.confirming_crashes,
                f"from 1 to crash_limit ({self.crash_limit})",
            )
        if not 0.0 <= self.isolation_share <= 1.0:
            raise InvalidInputError(
                "isolation_share", self.isolation_share, "from 0 to 1"
            )
        if self.isolated_jobs < 1:
            raise InvalidInputError(
                "isolated_jobs", self.isolated_jobs, "at least 1"
            )
        shares = self.confined_shares
        if list(shares) != sorted(shares) or not shares or shares[-1] != 1.0:
            raise InvalidInputError(
                "confined_shares", shares, "ascending, and 1.0 at the end"
            )
