"""Baseline that calls executors directly, without the system.

The caller knows exactly how many of its tasks run on each executor and uses
the one with the fewest, so that no task waits while a slot is free.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence

import aiohttp

from gypsumline.core.submissions.submission_key import generate_key


class DirectCaller:
    """Sends single tasks to executors.

    Attributes:
      seconds: Response times of the tasks that succeeded.
      failed: Number of tasks that failed.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        executors: Sequence[str],
        seed: int,
    ) -> None:
        self.seconds: list[float] = []
        self.failed = 0
        self._session = session
        self._running = dict.fromkeys(executors, 0)
        self._rng = random.Random(seed)

    async def run_open(
        self, rate: float, seconds: float, run_time: float
    ) -> None:
        """Submits tasks with Poisson arrivals and waits for all of them.

        Args:
          rate: Mean number of tasks per second.
          seconds: Duration of the submissions.
          run_time: Run time of each task in seconds.
        """
        due_at = time.monotonic()
        ends_at = due_at + seconds
        async with asyncio.TaskGroup() as group:
            while True:
                due_at += self._rng.expovariate(rate)
                if due_at >= ends_at:
                    break
                await asyncio.sleep(max(0.0, due_at - time.monotonic()))
                group.create_task(self.call(run_time, due_at))

    async def run_closed(self, count: int, run_time: float) -> None:
        """Runs a number of tasks sequentially."""
        for _ in range(count):
            await self.call(run_time, time.monotonic())

    async def call(self, run_time: float, due_at: float) -> None:
        """Runs one task; its response time counts from when it was due."""
        executor = min(self._running, key=self._running.__getitem__)
        self._running[executor] += 1
        body = {
            "key": generate_key(),
            "index": 0,
            "attempt": 1,
            "kind": "card",
            "payload": {"run_time": run_time, "value": None},
        }
        try:
            async with self._session.post(
                f"{executor}/run", json=body
            ) as response:
                await response.read()
                if response.status != 200:
                    self.failed += 1
                    return
        except aiohttp.ClientError:
            self.failed += 1
            return
        finally:
            self._running[executor] -= 1
        self.seconds.append(time.monotonic() - due_at)
