"""Recent crashes of the executor beside an agent."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterable

from gypsumline.core.leases.effects import Announcement
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

    def add(
        self,
        announcement: Announcement,
        runs: Iterable[Run],
        at: float,
        lease_until: float,
    ) -> ExecutorCrash:
        """Records a crash.

        Args:
          announcement: Newest announcement of the executor.
          runs: Runs that may have been there.
          at: Time of the first sign of the crash.
          lease_until: Time until which the runs had a lease.
        """
        has_lease = at <= lease_until
        crash = ExecutorCrash(
            executor=announcement.executor,
            started_at=announcement.started_at,
            seconds_ago=0.0,
            runs=tuple(
                CrashedRun(
                    task=run.order.task,
                    attempt=run.order.attempt,
                    queue=run.queue,
                    age=round(max(0.0, at - run.ordered_at), 3),
                    is_started=has_lease and run.started_at < math.inf,
                )
                for run in runs
            ),
        )
        self._crashes.append((at, crash))
        return crash

    def recent(self, now: float) -> tuple[ExecutorCrash, ...]:
        """Returns the crashes that owners still take into account."""
        return tuple(
            dataclasses.replace(crash, seconds_ago=round(now - at, 3))
            for at, crash in self._crashes
            if now - at <= self._settings.crash_memory
        )
