"""Recent crashes of the executor beside an agent."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterable

from gypsumline.core.leases.effects import CrashDetected
from gypsumline.core.leases.executor_state import ExecutorState
from gypsumline.core.leases.messages import CrashedRun, ExecutorCrash
from gypsumline.core.leases.run import Run
from gypsumline.core.leases.settings import LeaseSettings


class CrashLog:
    """Keeps crashes for owners that connect later.

    An owner that sees a crash may be killed, and its job may be submitted to
    another one. The agent outlives its executor and tells both.
    """

    def __init__(self, settings: LeaseSettings) -> None:
        self._settings = settings
        # Time and record of each crash, oldest first.
        self._crashes: collections.deque[tuple[float, ExecutorCrash]]
        self._crashes = collections.deque(maxlen=settings.crash_records)
        # Runs that lapsed at an executor which has not responded since.
        self._lapsed_runs: list[Run] = []

    @property
    def has_lapsed_runs(self) -> bool:
        """Whether runs have lapsed that a crash may have ended."""
        return bool(self._lapsed_runs)

    def on_lapsed(self, runs: Iterable[Run]) -> None:
        """Keeps runs that lapsed, as a crash may be proved only later."""
        self._lapsed_runs = list(runs)

    def on_responsive(self) -> None:
        """Forgets lapsed runs: the executor that ended them is still there."""
        self._lapsed_runs.clear()

    def add(
        self,
        executor: ExecutorState,
        runs: Iterable[Run],
        evidence: str,
        now: float,
    ) -> CrashDetected:
        """Records a crash with the runs that may have been there.

        Args:
          executor: The executor that crashed.
          runs: Runs of its agent.
          evidence: What proves the crash.
          now: Current time.
        """
        executor.has_crashed = True
        at = min(executor.unresponsive_since, now)
        suspects = [
            run
            for run in [*self._lapsed_runs, *runs]
            if run.may_have_run_since(executor.listed_at)
        ]
        for run in suspects:
            run.is_crash_reported = True
        crash = ExecutorCrash(
            executor=executor.announcement.executor,
            started_at=executor.announcement.started_at,
            seconds_ago=0.0,
            runs=tuple(
                CrashedRun(
                    task=run.order.task,
                    attempt=run.order.attempt,
                    queue=run.queue,
                    age=round(max(0.0, at - run.ordered_at), 3),
                    is_started=self._was_there(run, executor, at),
                )
                for run in suspects
            ),
        )
        self._crashes.append((at, crash))
        self._lapsed_runs.clear()
        return CrashDetected(
            service=executor.announcement.service,
            crash=crash,
            evidence=evidence,
        )

    def _was_there(self, run: Run, executor: ExecutorState, at: float) -> bool:
        """Returns whether a run is known to have been there at a crash.

        An executor lists an end while it has a hold request, so a run was there
        as long as the executor responded in time.
        """
        settings = self._settings
        response_limit = settings.hold_wait + 0.5 * settings.order_timeout
        # An answer to the start may have been read late.
        responded_at = max(run.ordered_at, executor.listed_at)
        return (
            not any(run is lapsed for lapsed in self._lapsed_runs)
            and run.started_at < math.inf
            and at <= executor.lease_until
            and at <= responded_at + response_limit
            and at < run.stopped_at + settings.stop_time
        )

    def recent(self, now: float) -> tuple[ExecutorCrash, ...]:
        """Returns the crashes that owners still take into account."""
        return tuple(
            dataclasses.replace(crash, seconds_ago=round(now - at, 3))
            for at, crash in self._crashes
            if now - at <= self._settings.crash_memory
        )
