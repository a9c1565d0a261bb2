"""Checks of what executors counted against what callers were told."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from gypsumline.testing.job_client import (
    COMPLETE,
    NOT_RUN,
    JobRecord,
    LostConnection,
)

# Requirement 3: an availability zone that is out starts nothing after this.
OUT_LIMIT_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskStart:
    """One start that an executor counted; `at` in CLOCK_BOOTTIME seconds."""

    key: str
    index: int
    attempt: int
    at: float
    executor: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneExclusion:
    """Time for which an availability zone was out, in CLOCK_BOOTTIME seconds.

    Attributes:
      zone: The availability zone.
      sent_at: When the operator first sent the out-change.
      accepted_at: When the operator had the acceptance of the out-change.
      return_sent_at: When the operator sent the change that puts it back.
    """

    zone: str
    accepted_at: float
    return_sent_at: float
    sent_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannedStop:
    """A graceful stop of one process.

    Attributes:
      name: Name of the process.
      url: Its base URL.
      began_at: When SIGTERM was sent, in CLOCK_BOOTTIME seconds.
      ended_at: When it had exited.
      exit_code: Its exit code.
      cut_at_executor: Requests to its executor that were cut meanwhile.
    """

    name: str
    url: str
    began_at: float
    ended_at: float
    exit_code: int
    cut_at_executor: int = 0


def read_task_starts(
    executor: str, zone: str, by_task: Mapping[str, Sequence[Mapping]]
) -> list[TaskStart]:
    """Returns the starts in one executor's detailed report."""
    found: list[TaskStart] = []
    for name, starts in by_task.items():
        key, _, index = name.rpartition("/")
        found.extend(
            TaskStart(
                key=key,
                index=int(index),
                attempt=start["attempt"],
                at=start["at"],
                executor=executor,
                zone=zone,
            )
            for start in starts
        )
    return found


def find_repeated_starts(starts: Iterable[TaskStart]) -> list[list[TaskStart]]:
    """Returns the starts of each task that started more than once.

    Starts of one task at different executors count as well.
    """
    by_task: dict[tuple[str, int], list[TaskStart]]
    by_task = collections.defaultdict(list)
    for start in starts:
        by_task[start.key, start.index].append(start)
    return [found for found in by_task.values() if len(found) > 1]


def find_false_not_run(
    records: Iterable[JobRecord], starts: Iterable[TaskStart]
) -> list[JobRecord]:
    """Returns the jobs that were answered "not run" although one task ran."""
    started = {start.key for start in starts}
    return [r for r in records if r.outcome == NOT_RUN and r.key in started]


def find_complete_without_starts(
    records: Iterable[JobRecord], starts: Iterable[TaskStart]
) -> list[JobRecord]:
    """Returns the complete answers whose tasks did not all start."""
    indexes: dict[str, set[int]] = collections.defaultdict(set)
    for start in starts:
        indexes[start.key].add(start.index)
    return [
        record
        for record in records
        if record.outcome == COMPLETE
        and len(indexes[record.key]) != record.tasks
    ]


def find_starts_while_excluded(
    outs: Iterable[ZoneExclusion], starts: Sequence[TaskStart]
) -> list[TaskStart]:
    """Returns the starts in a zone that was out for longer than allowed."""
    return [
        start
        for out in outs
        for start in starts
        if start.zone == out.zone
        and out.accepted_at + OUT_LIMIT_SECONDS < start.at < out.return_sent_at
    ]


def describe_exclusion(out: ZoneExclusion, starts: Sequence[TaskStart]) -> dict:
    """Returns what started in a zone before, while and after it was out.

    The starts before and after show that the zone would have had work.
    """
    times = [start.at for start in starts if start.zone == out.zone]
    inside = [t for t in times if out.accepted_at < t < out.return_sent_at]
    window = OUT_LIMIT_SECONDS
    before = (out.accepted_at - window, out.accepted_at)
    after = (out.return_sent_at, out.return_sent_at + 2 * window)
    return {
        "zone": out.zone,
        "accepted_in_s": round(out.accepted_at - out.sent_at, 3),
        "seconds": round(out.return_sent_at - out.accepted_at, 2),
        "starts_before": sum(before[0] < t <= before[1] for t in times),
        "starts_while_out": len(inside),
        "last_start_after_s": round(
            max((t - out.accepted_at for t in inside), default=0.0), 3
        ),
        "starts_after": sum(after[0] <= t < after[1] for t in times),
    }


def count_interrupted_requests(
    stops: Iterable[PlannedStop], cuts: Sequence[LostConnection]
) -> int:
    """Returns how many requests the planned stops cut.

    These are requests of callers to an entry and requests of an agent to its
    executor. A stop that had to be killed or failed counts as one more.
    """
    count = 0
    for stop in stops:
        count += stop.cut_at_executor + (1 if stop.exit_code else 0)
        count += sum(
            cut.entry == stop.url and stop.began_at <= cut.at <= stop.ended_at
            for cut in cuts
        )
    return count
