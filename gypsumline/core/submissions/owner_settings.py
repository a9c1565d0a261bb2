"""Settings of a submission owner."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnerSettings:
    """Limits and times of a submission owner.

    Attributes:
      resubmission_horizon: Seconds for which a key may be submitted again.
      client_clock_skew: Maximum seconds that a key may lie in the future.
      clock_skew: Maximum seconds between the clocks of two hosts of the system.
      deadline_max: Maximum seconds from the receipt of a job to its deadline.
      jobs: Maximum number of running jobs, deferred submissions and kept
        answers together.
      refusals: Maximum number of refusals kept in addition to `jobs`.
      kept_bytes: Maximum bytes of running jobs' payloads and kept results.
      recovery_limit: Seconds after which a submission with an incomplete
        recovery is answered with an unknown outcome.
      retry_after: Seconds after which a caller may retry a temporary refusal.
      retry_share: Repeatable requests that may be placed again, per request.
      retry_burst: Repeatable requests that may be placed again at once.
      repeat_after_silence: Seconds without a connection to an agent after which
        its repeatable requests are placed again.
      hand_over_bytes: Maximum bytes of results in one hand-over message.
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

        By its own clock, an owner admits a key up to `clock_skew` before the
        key's time, and the clocks of two hosts differ by up to `clock_skew`.
        """
        return 2 * self.clock_skew
