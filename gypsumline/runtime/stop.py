"""Planned stops: the first signal drains, the second one ends."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Callable

from gypsumline.runtime.clock import boot_time

_POLL_SECONDS = 0.02


class StopSignals:
    """Counts SIGTERM and SIGINT."""

    def __init__(self) -> None:
        self._first = asyncio.Event()
        self._second = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._count)

    @property
    def is_forced(self) -> bool:
        """Whether a second signal asks to end at once."""
        return self._second.is_set()

    async def wait_for_forced_stop(self) -> None:
        """Returns at the second signal."""
        await self._second.wait()

    async def wait(self) -> None:
        """Returns at the first signal."""
        await self._first.wait()

    def force_stop(self) -> None:
        """Ends what is in progress, as a second signal does."""
        self._first.set()
        self._second.set()

    async def pause(self, seconds: float) -> None:
        """Waits, but not beyond a second signal."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._second.wait()

    async def drain(self, is_drained: Callable[[], bool], limit: float) -> bool:
        """Waits until drained; False at a second signal or at the limit."""
        end = boot_time() + limit
        # Decisions have no events to wait for; they are asked again.
        while not is_drained():
            if self._second.is_set() or boot_time() > end:
                return False
            await asyncio.sleep(_POLL_SECONDS)
        return True

    def _count(self) -> None:
        if self._first.is_set():
            self._second.set()
        self._first.set()
