"""Times of a reader that follows a table, and the inequality between them."""

from __future__ import annotations

import dataclasses

from gypsumline.core.errors import InvalidInputError

# Shares of a limit: of the contact limit for one answer, of the apply limit for
# the same, and of the reader's own limit for pauses and late timers.
_ANSWER_SHARE_OF_CONTACT = 0.27
_ANSWER_SHARE_OF_APPLY = 0.4
_PAUSE_SHARE = 0.1
_MARGIN_SHARE = 0.1
# Less than this and the usual spread of answers would look like silence.
MIN_ANSWER_SECONDS = 0.1
MIN_FEED_WAIT_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FollowSettings:
    """Times of one reader; all in seconds.

    A request that is never answered hides all changes until it is given up. So
    the next answer after the end of trouble comes at the latest one request,
    one pause and one answer later; docs/platform.md has the derivation.

    Attributes:
      limit: Time after the end of trouble by which the reader must have caught
        up.
      apply_limit: Time after its acknowledgement by which a change must be in
        force while there is no trouble.
      feed_wait: Time for which the table may hold a request for changes.
      answer_limit: Time for one answer, beside the wait.
      first_pause: Pause after the first failure; it doubles with each one.
      last_pause: Longest pause.
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
        # A feed that answers that its history is gone is followed by a read.
        if 2.0 * self.answer_limit >= self.apply_limit:
            raise InvalidInputError(
                "2 * answer_limit",
                2.0 * self.answer_limit,
                f"less than apply_limit ({self.apply_limit} s)",
            )

    @property
    def request_limit(self) -> float:
        """Longest time that one request takes, for changes or all rows."""
        return self.feed_wait + self.answer_limit

    @property
    def max_catch_up_time(self) -> float:
        """Longest time from the end of trouble to the next answer."""
        return self.request_limit + self.last_pause + self.answer_limit


def derive_follow_settings(
    contact_limit: float, apply_limit: float, limit: float
) -> FollowSettings:
    """Returns the times of a reader that has to catch up within `limit`.

    Args:
      contact_limit: Seconds after the end of trouble from which the
        installation's bounds hold again.
      apply_limit: Seconds from the acknowledgement of a change until it has to
        be in force.
      limit: Seconds after the end of trouble that this reader may take.

    Raises:
      InvalidInputError: No times keep these bounds.
    """
    answer_limit = min(
        _ANSWER_SHARE_OF_CONTACT * contact_limit,
        _ANSWER_SHARE_OF_APPLY * apply_limit,
    )
    last_pause = _PAUSE_SHARE * limit
    margin = _MARGIN_SHARE * limit
    return FollowSettings(
        limit=limit,
        apply_limit=apply_limit,
        feed_wait=limit - 2.0 * answer_limit - last_pause - margin,
        answer_limit=answer_limit,
        last_pause=last_pause,
    )
