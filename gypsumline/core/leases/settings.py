"""Time settings of leased runs and the inequalities between them."""

from __future__ import annotations

import dataclasses

from gypsumline.core.errors import InvalidInputError
from gypsumline.core.leases.call_times import CallLimits


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseSettings:
    """Times of the agents and owners, all in seconds.

    The runs of a lost owner must have ended before its callers resubmit
    elsewhere. docs/platform.md derives the inequality.

    Attributes:
      contact_limit: Age of the newest answered ping at which an agent stops
        the owner's runs.
      lease: Time for which the executor keeps runs without a renewal.
      clock_drift: Maximum relative difference in rate of two monotonic clocks.
      stop_time: Maximum time that a stop takes at the executor.
      resubmit_delay: Minimum time from the loss of a connection to the
        resubmission at another entry.
      ping_answer_time: Time from the check that sends a ping to its answer, for
        an owner without delay.
      busy_ping_interval: Time between pings to an owner that has runs here.
      idle_ping_interval: Minimum time between pings to any other owner.
      idle_ping_rate: Maximum number of pings per second to such owners, as long
        as it allows a ping to each of them every `rest_ping_interval`.
      rest_ping_interval: Time between pings while no owner has runs here.
      tick_interval: Time between the checks of an agent that is not at rest.
      hold_wait: Time for which the executor may wait for an end of a run before
        it answers a hold request.
      order_timeout: Maximum time after which an order to the executor counts
        as unanswered.
      order_timeout_min: Minimum of that time, which follows the measured round
        trips.
      start_repeat_limit: Time for which a start without an answer is repeated.
      lossy_hold_interval: Time between hold requests while orders go
        unanswered.
      crash_confirmation: Time between two refused connections that prove that
        the executor's process is gone.
      zones_age_limit: Age of the owners' lists of excluded zones at which an
        agent reads them from the operators' table itself.
      lock_validity: Time from an owner's request for a lock in which it counts
        as granted. Renewed after half of it.
      lock_retry_interval: Time between requests for a lock that is missing.
      keepers_validity: Time for which an owner uses a list of keepers after a
        majority of them was known to have no newer one. Covers two ping
        intervals at rest.
      crash_memory: Time for which the runs of a crash remain suspects.
      crash_records: Maximum number of crashes that an agent keeps.
    """

    contact_limit: float = 0.5
    lease: float = 0.6
    clock_drift: float = 0.02
    stop_time: float = 0.05
    resubmit_delay: float = 1.3
    ping_answer_time: float = 0.1
    busy_ping_interval: float = 0.2
    idle_ping_interval: float = 0.8
    idle_ping_rate: float = 20.0
    rest_ping_interval: float = 1.6
    tick_interval: float = 0.03
    hold_wait: float = 0.2
    order_timeout: float = 0.25
    order_timeout_min: float = 0.00625
    start_repeat_limit: float = 0.5
    lossy_hold_interval: float = 0.03
    crash_confirmation: float = 0.04
    zones_age_limit: float = 3.0
    lock_validity: float = 1.0
    lock_retry_interval: float = 0.1
    keepers_validity: float = 5.0
    crash_memory: float = 60.0
    crash_records: int = 32

    def __post_init__(self) -> None:
        if self.max_run_time_after_contact >= self.resubmit_delay:
            raise InvalidInputError(
                "contact_limit + lease + stop_time",
                self.max_run_time_after_contact,
                f"less than resubmit_delay ({self.resubmit_delay} s)",
            )
        if self.ping_answer_time >= self.contact_limit:
            raise InvalidInputError(
                "ping_answer_time",
                self.ping_answer_time,
                f"less than contact_limit ({self.contact_limit} s)",
            )
        if 2.0 * self.rest_ping_interval >= self.keepers_validity:
            raise InvalidInputError(
                "rest_ping_interval",
                self.rest_ping_interval,
                f"less than half of keepers_validity "
                f"({self.keepers_validity} s)",
            )
        if self.hold_wait + self.order_timeout >= self.lease:
            raise InvalidInputError(
                "hold_wait + order_timeout",
                self.hold_wait + self.order_timeout,
                f"less than lease ({self.lease} s)",
            )

    @property
    def max_start_stamp_age(self) -> float:
        """Maximum age of the ping that a start names.

        The next ping can then be answered before the contact limit.
        """
        return self.contact_limit - self.ping_answer_time

    @property
    def order_limits(self) -> CallLimits:
        """Bounds of the time limit of orders."""
        return CallLimits(
            shortest=self.order_timeout_min, longest=self.order_timeout
        )

    @property
    def max_run_time_after_contact(self) -> float:
        """Maximum time that runs continue after their owner's last contact."""
        lease = self.lease * (1.0 + self.clock_drift)
        return self.contact_limit + lease + self.stop_time

    @property
    def rerun_wait(self) -> float:
        """Time after the last contact at which a task may be run elsewhere."""
        return self.max_run_time_after_contact * (1.0 + self.clock_drift)

    @property
    def lock_expiry(self) -> float:
        """Time from the newest request for a lock until others may have it.

        By then its owner has stopped the runs that it may not keep. An agent
        that has started grants no locks for as long.
        """
        return self._end_of_runs(self.lock_validity)

    @property
    def keepers_settling(self) -> float:
        """Time until no owner uses a list of keepers any more.

        Counted from the moment at which a majority of them has moved on, or at
        which others have replaced it without them; these may learn of it later
        by up to `lock_validity`.
        """
        return self._end_of_runs(self.keepers_validity + self.lock_validity)

    def _end_of_runs(self, validity: float) -> float:
        """Returns the time until all runs under a permission have ended."""
        return (validity + self.rerun_wait) * (1.0 + self.clock_drift)
