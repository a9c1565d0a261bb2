"""Store of the answers that an owner keeps until their keys expire."""

from __future__ import annotations

import dataclasses
import heapq

from gypsumline.core.submissions.owner_settings import OwnerSettings
from gypsumline.core.submissions.submission_key import key_time
from gypsumline.core.task import JobAnswer

_CLOCK_DRIFT_FACTOR = 1.01


@dataclasses.dataclass(slots=True)
class _KeptAnswer:
    digest: bytes
    answer: JobAnswer
    size: int


class KeptAnswers:
    """Answers by key, bounded in count and bytes.

    An answer is kept until its key is too old to be submitted again. None is
    evicted earlier, since its key could then run again: the owner refuses new
    jobs when the store is full.
    """

    def __init__(self, settings: OwnerSettings) -> None:
        self._settings = settings
        self._answers: dict[str, _KeptAnswer] = {}
        self._expiries: list[tuple[float, str]] = []
        self._result_bytes = 0
        self._added_count = 0

    def __len__(self) -> int:
        return len(self._answers)

    def __contains__(self, key: str) -> bool:
        return key in self._answers

    @property
    def result_bytes(self) -> int:
        """Bytes of the results in all kept answers."""
        return self._result_bytes

    @property
    def added_count(self) -> int:
        """Number of answers that were ever added; it never decreases."""
        return self._added_count

    @property
    def can_add_refusal(self) -> bool:
        """Whether one more answer without results fits."""
        settings = self._settings
        return len(self._answers) < settings.jobs + settings.refusals

    def find(self, key: str) -> tuple[bytes, JobAnswer] | None:
        """Returns the body's digest and the answer of a key, or None."""
        kept = self._answers.get(key)
        return None if kept is None else (kept.digest, kept.answer)

    def add(
        self,
        key: str,
        digest: bytes,
        answer: JobAnswer,
        now: float,
        wall: float,
    ) -> None:
        """Adds an answer; the first one of a key is final."""
        if key in self._answers:
            return
        size = sum(result.size for result in answer.results)
        remaining = key_time(key) + self._settings.resubmission_horizon - wall
        remaining = max(remaining, 0.0) + self._settings.clock_skew
        self._answers[key] = _KeptAnswer(digest, answer, size)
        self._result_bytes += size
        self._added_count += 1
        heapq.heappush(
            self._expiries, (now + remaining * _CLOCK_DRIFT_FACTOR, key)
        )

    def prune(self, now: float) -> None:
        """Removes the answers of expired keys."""
        while self._expiries and self._expiries[0][0] <= now:
            _, key = heapq.heappop(self._expiries)
            self._result_bytes -= self._answers.pop(key).size

    def stored_keys(self) -> list[str]:
        """Returns the keys of all kept answers."""
        return list(self._answers)
