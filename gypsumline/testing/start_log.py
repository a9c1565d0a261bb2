"""Log of the task starts of an executor stand-in."""

from __future__ import annotations

import collections
import dataclasses
import time


def boot_time() -> float:
    """Returns CLOCK_BOOTTIME in seconds, which is the same in all processes."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """One start of a task.

    Attributes:
      attempt: Attempt number that the agent sent.
      at: Time of the start in seconds of CLOCK_BOOTTIME.
    """

    attempt: int
    at: float


class StartLog:
    """Starts by task, and counts of requests by how they ended.

    Attributes:
      running: Tasks that are running.
      cut: Requests whose client disconnected while the task ran.
      waited: Requests that found no free slot and had to wait.
      abandoned: Requests whose client disconnected before the task started.
      truncated: Requests whose body was incomplete; they start nothing.
    """

    def __init__(self) -> None:
        self._starts: dict[tuple[str, int], list[Start]]
        self._starts = collections.defaultdict(list)
        self._count = 0
        self._last_start_at = 0.0
        self.running = 0
        self.cut = 0
        self.waited = 0
        self.abandoned = 0
        self.truncated = 0

    def record(self, key: str, index: int, attempt: int) -> None:
        """Records a start at the present time."""
        now = boot_time()
        self._starts[key, index].append(Start(attempt, now))
        self._count += 1
        self._last_start_at = now

    def report(self, detail: bool) -> dict[str, object]:
        """Returns the counts.

        Args:
          detail: Whether to include all starts by task.
        """
        counts: dict[str, object] = {
            "starts": self._count,
            "second_starts": self._count - len(self._starts),
            "running": self.running,
            "cut": self.cut,
            "waited": self.waited,
            "abandoned": self.abandoned,
            "truncated": self.truncated,
            "last_start_at": self._last_start_at,
        }
        if detail:
            counts["by_task"] = {
                f"{key}/{index}": [dataclasses.asdict(s) for s in starts]
                for (key, index), starts in self._starts.items()
            }
        return counts
