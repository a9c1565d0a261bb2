"""Checks the answers to callers against the task starts at the executors."""

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

# Requirement 3: time after which no task starts in an excluded zone.
EXCLUSION_LIMIT_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskStart:
    """Task start recorded by an executor; `at` is in CLOCK_BOOTTIME seconds."""

    key: str
    index: int
    attempt: int
    at: float
    executor: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneExclusion:
    """Period in which an availability zone was excluded.

    All times are in CLOCK_BOOTTIME seconds.

    Attributes:
      zone: The availability zone.
      sent_at: When the operator first sent the change that excludes the zone.
      accepted_at: When the operator received the acceptance of that change.
      return_sent_at: When the operator sent the change that readmits the zone.
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
      url: Base URL of the process.
      began_at: When SIGTERM was sent, in CLOCK_BOOTTIME seconds.
      ended_at: When the process had exited, in CLOCK_BOOTTIME seconds.
      exit_code: Exit code of the process.
      cut_at_executor: Requests to its executor that were interrupted during
        the stop.
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
    """Returns the task starts in the detailed report of an executor."""
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

    Starts of one task at different executors also count.
    """
    by_task: dict[tuple[str, int], list[TaskStart]]
    by_task = collections.defaultdict(list)
    for start in starts:
        by_task[start.key, start.index].append(start)
    return [found for found in by_task.values() if len(found) > 1]


def find_false_not_run(
    records: Iterable[JobRecord], starts: Iterable[TaskStart]
) -> list[JobRecord]:
    """Returns the jobs answered "not run" of which a task started."""
    started = {start.key for start in starts}
    return [r for r in records if r.outcome == NOT_RUN and r.key in started]


def find_complete_without_starts(
    records: Iterable[JobRecord], starts: Iterable[TaskStart]
) -> list[JobRecord]:
    """Returns the jobs answered as complete whose tasks did not all start."""
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
    exclusions: Iterable[ZoneExclusion], starts: Sequence[TaskStart]
) -> list[TaskStart]:
    """Returns the starts in an excluded zone after the allowed time."""
    return [
        start
        for exclusion in exclusions
        for start in starts
        if start.zone == exclusion.zone
        and exclusion.accepted_at + EXCLUSION_LIMIT_SECONDS
        < start.at
        < exclusion.return_sent_at
    ]


def describe_exclusion(
    exclusion: ZoneExclusion, starts: Sequence[TaskStart]
) -> dict:
    """Counts the starts in a zone before, during and after its exclusion.

    The starts before and after show that there was work for the zone.
    """
    times = [start.at for start in starts if start.zone == exclusion.zone]
    while_excluded = [
        t for t in times if exclusion.accepted_at < t < exclusion.return_sent_at
    ]
    window = EXCLUSION_LIMIT_SECONDS
    before = (exclusion.accepted_at - window, exclusion.accepted_at)
    after = (exclusion.return_sent_at, exclusion.return_sent_at + 2 * window)
    return {
        "zone": exclusion.zone,
        "accepted_in_s": round(exclusion.accepted_at - exclusion.sent_at, 3),
        "seconds": round(exclusion.return_sent_at - exclusion.accepted_at, 2),
        "starts_before": sum(before[0] < t <= before[1] for t in times),
        "starts_while_out": len(while_excluded),
        "last_start_after_s": round(
            max(
                (t - exclusion.accepted_at for t in while_excluded), default=0.0
            ),
            3,
        ),
        "starts_after": sum(after[0] <= t < after[1] for t in times),
    }


def count_interrupted_requests(
    stops: Iterable[PlannedStop], lost_connections: Sequence[LostConnection]
) -> int:
    """Returns the number of requests that planned stops interrupted.

    Counts requests of callers to an entry and of an agent to its executor. A
    process that exits with an error or has to be killed counts as one more.
    """
    count = 0
    for stop in stops:
        count += stop.cut_at_executor + (1 if stop.exit_code else 0)
        count += sum(
            connection.entry == stop.url
            and stop.began_at <= connection.at <= stop.ended_at
            for connection in lost_connections
        )
    return count
