"""Settings of a submission owner."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnerSettings:
    """Bounds and times of a submission owner.

    Attributes:
      resubmission_horizon: Seconds for which a key may be submitted again.
      client_clock_skew: Most seconds that a key may lie in the future.
      clock_skew: Most seconds between the clocks of two of our hosts.
      deadline_max: Longest time from the receipt of a job to its deadline.
      jobs: Most running jobs and kept answers.
      refusals: Refusals kept beside that bound.
      kept_bytes: Most bytes of running bodies and kept results.
      recovery_limit: Seconds after which an incomplete recovery is answered
        with an unknown outcome.
      retry_after: Seconds after which to come back from a temporary refusal.
      retry_share: Repeatable requests placed again, as a share of requests.
      retry_burst: Such placements that may be made at once.
      repeat_after_silence: Seconds without a connection to an agent after which
        its repeatable requests are placed again.
      hand_over_bytes: Most bytes of results in one hand-over message.
    """

    resubmission_horizon: float = 120.0
    client_clock_skew: float = 5.0
    clock_skew: float = 0.5
    deadline_max: float = 60.0
    jobs: int = 200_000
    refusals: int = 200_000
    kept_bytes: int = 96 * 1024 * 1024
    recovery_limit: float = 2.0
    retry_after: float = 1.0
    retry_share: float = 0.1
    retry_burst: float = 10.0
    repeat_after_silence: float = 1.0
    hand_over_bytes: int = 1024 * 1024

    @property
    def key_margin(self) -> float:
        """Seconds by which a key's time may exceed that of its admission.

        An owner admits a key up to `clock_skew` before the key's time by its
        own clock, and the clocks of two hosts differ by up to `clock_skew`.
        """
        return 2 * self.clock_skew
