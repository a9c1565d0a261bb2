"""Time limits of calls to an executor, from its measured round trips."""

from __future__ import annotations

import dataclasses

from gypsumline.core.errors import InvalidInputError

# Weights of a new sample in the mean round trip and in its deviation, and the
# number of deviations in the limit, as for the retransmission timer of TCP
# (RFC 6298).
_MEAN_WEIGHT = 1.0 / 8.0
_DEVIATION_WEIGHT = 1.0 / 4.0
_DEVIATIONS = 4.0
# Weight of a call in the share of calls without an answer in time. Up to
# `_CALM_SHARE` an answer that is missing is more likely slow than lost.
_CALL_WEIGHT = 1.0 / 16.0
_CALM_SHARE = 0.1
_CALM_FACTOR = 4.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallLimits:
    """Bounds of the time after which a call counts as unanswered.

    Attributes:
      shortest: Lower bound, in seconds; four times as long while nearly all
        calls are answered.
      longest: Upper bound, in seconds, and the limit until a round trip is
        known.
    """

    shortest: float
    longest: float

    def __post_init__(self) -> None:
        if not 0.0 < self.shortest <= self.longest:
            raise InvalidInputError(
                "shortest limit of a call",
                self.shortest,
                f"above 0 and at most {self.longest} s",
            )


class CallTimes:
    """Estimates the round trip of one kind of call.

    Late answers must be recorded too: otherwise an executor that has become
    slower than the limit would never raise it.
    """

    def __init__(self, limits: CallLimits) -> None:
        self._limits = limits
        self._mean: float | None = None
        self._deviation = 0.0
        self._unanswered = 0.0

    @property
    def limit(self) -> float:
        """Seconds after which a call counts as unanswered."""
        if self._mean is None:
            return self._limits.longest
        limit = self._mean + _DEVIATIONS * self._deviation
        shortest = self._limits.shortest
        if self._unanswered < _CALM_SHARE:
            shortest *= _CALM_FACTOR
        return min(max(limit, shortest), self._limits.longest)

    def record_unanswered(self) -> None:
        """Records a call that reached its limit."""
        self._unanswered += _CALL_WEIGHT * (1.0 - self._unanswered)

    def record(self, seconds: float) -> None:
        """Records the round trip of an answered call.

        A pause of this process makes it long, so it counts up to the bound.
        """
        seconds = min(seconds, self._limits.longest)
        self._unanswered -= _CALL_WEIGHT * self._unanswered
        if self._mean is None:
            self._mean = seconds
            self._deviation = seconds / 2.0
            return
        error = seconds - self._mean
        self._deviation += _DEVIATION_WEIGHT * (abs(error) - self._deviation)
        self._mean += _MEAN_WEIGHT * error
