"""Planned stops: the first signal drains, the second forces the stop."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Callable

from gypsumline.runtime.clock import boot_time

_POLL_SECONDS = 0.02


class StopSignals:
    """Handles SIGTERM and SIGINT of a daemon."""

    def __init__(self) -> None:
        self._first = asyncio.Event()
        self._second = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)

    @property
    def is_forced(self) -> bool:
        """Whether a second signal has forced the stop."""
        return self._second.is_set()

    async def wait_for_forced_stop(self) -> None:
        """Waits for the second signal."""
        await self._second.wait()

    async def wait(self) -> None:
        """Waits for the first signal."""
        await self._first.wait()

    def force_stop(self) -> None:
        """Interrupts work in progress, as a second signal does."""
        self._first.set()
        self._second.set()

    async def pause(self, seconds: float) -> None:
        """Sleeps, but at most until a second signal."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._second.wait()

    async def drain(self, is_drained: Callable[[], bool], limit: float) -> bool:
        """Waits until the work in progress has ended.

        Args:
          is_drained: Returns whether no work is left.
          limit: Maximum time to wait, in seconds.

        Returns:
          False if a second signal or the limit came first.
        """
        deadline = boot_time() + limit
        # The decision logic has no events to await, so its state is polled.
        while not is_drained():
            if self._second.is_set() or boot_time() > deadline:
                return False
            await asyncio.sleep(_POLL_SECONDS)
        return True

    def _on_signal(self) -> None:
        if self._first.is_set():
            self._second.set()
        self._first.set()
