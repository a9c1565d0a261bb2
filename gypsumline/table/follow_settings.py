"""Timeouts and pauses of a reader that follows a table by long polling."""

from __future__ import annotations

import dataclasses

from gypsumline.core.errors import InvalidInputError

# The time for one response is the lower of two fractions, of the contact limit
# and of the apply limit. The other two are fractions of the reader's own limit:
# for the longest pause, and as a margin for overdue timers.
_ANSWER_FRACTION_OF_CONTACT_LIMIT = 0.27
_ANSWER_FRACTION_OF_APPLY_LIMIT = 0.4
_PAUSE_FRACTION = 0.1
_MARGIN_FRACTION = 0.1
# With a shorter time, the normal variation of response times would be taken
# for a lost connection.
MIN_ANSWER_SECONDS = 0.1
MIN_FEED_WAIT_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FollowSettings:
    """Timeouts and pauses of one reader, in seconds.

    A request without a response hides all changes until it times out. After the
    end of a fault, the next response therefore takes at most one whole request,
    one pause and one response time; docs/platform.md has the derivation.

    Attributes:
      limit: Time from the end of a fault until the reader must have caught up.
      apply_limit: Time from the acknowledgement of a change until it must be in
        force, if there is no fault.
      feed_wait: Time for which the table may hold a request for changes open.
      answer_limit: Time for one response, in addition to `feed_wait`.
      first_pause: Pause after the first failure, doubled after each further
        one.
      last_pause: Maximum pause.
    """

    limit: float = 3.0
    apply_limit: float = 2.0
    feed_wait: float = 0.78
    answer_limit: float = 0.8
    first_pause: float = 0.05
    last_pause: float = 0.3

    def __post_init__(self) -> None:
        if self.answer_limit < MIN_ANSWER_SECONDS:
            raise InvalidInputError(
                "answer_limit",
                self.answer_limit,
                f"{MIN_ANSWER_SECONDS} s or more",
            )
        if self.feed_wait < MIN_FEED_WAIT_SECONDS:
            raise InvalidInputError(
                "feed_wait",
                self.feed_wait,
                f"{MIN_FEED_WAIT_SECONDS} s or more",
            )
        if self.max_catch_up_time >= self.limit:
            raise InvalidInputError(
                "feed_wait + 2 * answer_limit + last_pause",
                self.max_catch_up_time,
                f"less than limit ({self.limit} s)",
            )
        # If the table no longer has the changes since the reader's version, the
        # reader needs a second request to read all rows.
        if 2.0 * self.answer_limit >= self.apply_limit:
            raise InvalidInputError(
                "2 * answer_limit",
                2.0 * self.answer_limit,
                f"less than apply_limit ({self.apply_limit} s)",
            )

    @property
    def request_limit(self) -> float:
        """Maximum duration of one request, for changes or for all rows."""
        return self.feed_wait + self.answer_limit

    @property
    def max_catch_up_time(self) -> float:
        """Maximum time from the end of a fault to the next response."""
        return self.request_limit + self.last_pause + self.answer_limit


def derive_follow_settings(
    contact_limit: float, apply_limit: float, limit: float
) -> FollowSettings:
    """Derives the settings of a reader that must catch up within `limit`.

    Args:
      contact_limit: Seconds after the end of a fault until the bounds of the
        installation apply again.
      apply_limit: Seconds from the acknowledgement of a change until it must
        be in force.
      limit: Seconds that this reader may take after the end of a fault.

    Raises:
      InvalidInputError: No settings satisfy these bounds.
    """
    answer_limit = min(
        _ANSWER_FRACTION_OF_CONTACT_LIMIT * contact_limit,
        _ANSWER_FRACTION_OF_APPLY_LIMIT * apply_limit,
    )
    last_pause = _PAUSE_FRACTION * limit
    margin = _MARGIN_FRACTION * limit
    return FollowSettings(
        limit=limit,
        apply_limit=apply_limit,
        feed_wait=limit - 2.0 * answer_limit - last_pause - margin,
        answer_limit=answer_limit,
        last_pause=last_pause,
    )
