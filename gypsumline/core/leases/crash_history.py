"""Crashes of executors and the blame of the jobs that ran there."""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
from collections.abc import Container, Iterable

from gypsumline.core.leases.crash_settings import CrashSettings
from gypsumline.core.leases.messages import CrashedRun, ExecutorCrash


class Verdict(enum.StrEnum):
    """How an owner treats a job after crashes of executors."""

    CLEAR = "clear"
    # Its tasks run, but apart from those of other suspects.
    SUSPECT = "suspect"
    # No task of it is started any more.
    GIVEN_UP = "given_up"


def job_key(task: str) -> str:
    """Returns the key of the job that a task belongs to."""
    return task.partition(".")[0]


@dataclasses.dataclass(slots=True)
class TaskCrashes:
    """Crashes under one task.

    Attributes:
      queue: Name of its queue.
      count: Number of executors that crashed, or may have, under it.
      confirmed: Number of these where the task is known to have been there.
      lost: Number of its runs that were lost with their agents since the first
        crash; executors may have crashed under them, seen by nobody.
      blame: Sum of the blame of its job for these crashes.
    """

    queue: str = ""
    count: int = 0
    confirmed: int = 0
    lost: int = 0
    blame: float = 0.0


@dataclasses.dataclass(slots=True)
class _Record:
    """A crash as counted, with the share of blame of each job."""

    at: float
    expires_at: float
    runs: tuple[CrashedRun, ...]
    blame: dict[str, float]


class CrashHistory:
    """Counts crashes by task and blames jobs for them.

    A crash has one cause: one of the runs that were there, most likely one that
    had just started or whose task was blamed before, or none of them. The
    shares of blame of one crash add up to at most 1. The tasks of a job share
    its blame, because they often start together and end with the job.

    All agents tell all owners of their crashes, so owners that hold different
    jobs reach the same verdicts, and a job that is submitted again to another
    owner keeps its count.
    """

    def __init__(self, settings: CrashSettings) -> None:
        self._settings = settings
        # By executor incarnation, the one that expires first in front.
        self._records: dict[tuple[str, int], _Record] = {}
        self._tasks: dict[str, TaskCrashes] = {}

    def __bool__(self) -> bool:
        return bool(self._records)

    def find(self, task: str) -> TaskCrashes | None:
        """Returns the crashes under a task, or None if there were none."""
        return self._tasks.get(task)

    def verdict(self, tasks: Iterable[str]) -> Verdict:
        """Returns how a job with these tasks is treated."""
        settings = self._settings
        verdict = Verdict.CLEAR
        for name in tasks:
            task = self._tasks.get(name)
            if task is None:
                continue
            if self._is_over_limit(task) or self._is_cause(task):
                return Verdict.GIVEN_UP
            if task.blame >= settings.suspect_blame:
                verdict = Verdict.SUSPECT
        return verdict

    def blame(self, tasks: Iterable[str]) -> float:
        """Returns the highest sum of blame of some tasks."""
        found = (self._tasks.get(name) for name in tasks)
        return max((t.blame for t in found if t is not None), default=0.0)

    def crashes(self, tasks: Iterable[str]) -> int:
        """Returns the highest number of crashes under one of some tasks."""
        found = (self._tasks.get(name) for name in tasks)
        return max((t.count for t in found if t is not None), default=0)

    def _is_over_limit(self, task: TaskCrashes) -> bool:
        settings = self._settings
        if task.confirmed >= settings.confirming_crashes:
            return task.count >= settings.crash_limit
        if task.blame >= settings.possible_blame:
            return task.count >= settings.crash_limit
        return task.count >= settings.possible_crash_limit

    def _is_cause(self, task: TaskCrashes) -> bool:
        settings = self._settings
        return (
            task.confirmed >= settings.confirming_crashes
            and task.blame + task.lost >= settings.confirming_blame
        )

    def add(self, crash: ExecutorCrash, now: float) -> dict[str, float]:
        """Counts a crash, unless it is known or too old.

        Returns:
          Blame in this crash by job key, highest first; empty if not counted.
        """
        name = crash.executor, crash.started_at
        at = now - crash.seconds_ago
        if name in self._records or now - at > self._settings.memory:
            return {}
        expires_at = now + self._settings.memory
        record = _Record(at, expires_at, crash.runs, self._shares(crash.runs))
        self._records[name] = record
        for run in crash.runs:
            task = self._tasks.setdefault(run.task, TaskCrashes())
            task.queue = run.queue or task.queue
            task.count += 1
            task.confirmed += run.is_started
            task.blame += record.blame[job_key(run.task)]
        while len(self._records) > self._settings.max_crashes:
            self._remove_oldest()
        return record.blame

    def add_lost_run(self, task: str) -> None:
        """Counts a run whose fate is unknown; only if its task is suspect."""
        found = self._tasks.get(task)
        if found is not None:
            found.lost += 1

    def causes(self, crash: ExecutorCrash) -> set[str]:
        """Returns the queues of the likely causes of a crash."""
        tasks = [self._tasks.get(run.task) for run in crash.runs]
        return {
            task.queue
            for task in tasks
            if task is not None
            and task.queue
            and task.blame >= self._settings.strong_blame
        }

    def has_cause(self, queue: str) -> bool:
        """Returns whether a job of a queue is known to crash executors."""
        return any(
            task.queue == queue and self._is_cause(task)
            for task in self._tasks.values()
        )

    def queue_blame(self, queue: str, since: float) -> float:
        """Returns the sum of a queue's blame for crashes after a time."""
        total = 0.0
        for record in reversed(self._records.values()):
            # No earlier record is of a crash after that time: an owner learns
            # of a crash only once it has happened.
            if record.expires_at - self._settings.memory < since:
                break
            if record.at < since:
                continue
            keys = {job_key(r.task) for r in record.runs if r.queue == queue}
            total += sum(record.blame[key] for key in keys)
        return total

    def expire(self, now: float, open_jobs: Container[str] = ()) -> None:
        """Forgets crashes that no longer count.

        Those under a job that is still open count on, since its tasks may run
        for longer than a crash is remembered.

        Args:
          now: Current time.
          open_jobs: Keys of the open jobs.
        """
        while self._records:
            name, oldest = next(iter(self._records.items()))
            if oldest.expires_at >= now:
                return
            if any(key in open_jobs for key in oldest.blame):
                oldest.expires_at = now + self._settings.memory
                self._records[name] = self._records.pop(name)
            else:
                self._remove_oldest()

    def _remove_oldest(self) -> None:
        record = self._records.pop(next(iter(self._records)))
        for run in record.runs:
            task = self._tasks[run.task]
            task.count -= 1
            task.confirmed -= run.is_started
            task.blame -= record.blame[job_key(run.task)]
            if not task.count:
                del self._tasks[run.task]

    def _shares(self, runs: tuple[CrashedRun, ...]) -> dict[str, float]:
        """Returns the share of blame by job, highest first."""
        weights: dict[str, float] = collections.defaultdict(float)
        for run in runs:
            weights[job_key(run.task)] += self._weight(run)
        total = sum(weights.values()) + 1.0
        ranked = sorted(weights.items(), key=lambda item: -item[1])
        return {key: weight / total for key, weight in ranked}

    def _weight(self, run: CrashedRun) -> float:
        settings = self._settings
        start = math.exp(-max(0.0, run.age) / settings.start_scale)
        earlier = self._tasks.get(run.task)
        blame = 0.0 if earlier is None else earlier.blame
        factor = 1.0 + settings.earlier_blame_weight * blame
        return (settings.base_weight + settings.start_weight * start) * factor
