"""Messages about locks on submission keys, between owners and agents."""

from __future__ import annotations

import enum

from gypsumline.core.leases.messages import Age
from gypsumline.core.message import Message, register_message


class LockState(enum.StrEnum):
    """An agent's answer to the request for one lock.

    UNSURE means that the agent has just started, so that it cannot know whether
    another owner has the lock.
    """

    GRANTED = "granted"
    HELD = "held"
    UNSURE = "unsure"


@register_message("lock_keys")
class LockKeys(Message):
    """Requests or renews the locks on submission keys.

    Attributes:
      number: Number of the request, which its answer repeats.
      keys: Submission keys.
      is_complete: Whether these are all locks that the sender has or requests
        there. Sent on each new stream.
      held: Those of the keys whose locks the sender has there, possibly from an
        earlier incarnation of the agent.
      uptime: Seconds since the start of the sender, or less.
    """

    number: int
    keys: tuple[str, ...]
    is_complete: bool = False
    held: tuple[str, ...] = ()
    uptime: Age = 0.0


@register_message("lock_answers")
class LockAnswers(Message):
    """Answers the request for locks.

    Attributes:
      number: Number of the request.
      keys: Submission keys.
      states: Answer to each of them.
      holders: Member ids of the owners that have the lock; "" for none.
    """

    number: int
    keys: tuple[str, ...]
    states: tuple[LockState, ...]
    holders: tuple[str, ...]

    def __post_init__(self) -> None:
        if not len(self.keys) == len(self.states) == len(self.holders):
            raise ValueError(
                f"{len(self.keys)} keys, {len(self.states)} states and "
                f"{len(self.holders)} holders"
            )


@register_message("unlock_keys")
class UnlockKeys(Message):
    """Returns locks, or withdraws requests for them.

    Attributes:
      keys: Submission keys.
      number: Number of the newest request before. A later one is not affected,
        whichever stream is read first.
    """

    keys: tuple[str, ...]
    number: int = 0
