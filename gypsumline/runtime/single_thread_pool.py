"""Long computations beside the event loop, one at a time."""

from __future__ import annotations

import asyncio
import concurrent.futures
from collections.abc import Callable
from typing import TypeVar

from gypsumline.core.errors import GypsumlineError

_Value = TypeVar("_Value")


class TooManyWaitingError(GypsumlineError):
    """As many computations wait as may wait."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"{limit} requests of this kind are open already")


class SingleThreadPool:
    """Runs functions in one thread, in the order of the calls.

    One thread bounds the processor time that is taken from the event loop,
    and the bound on the calls limits the memory that waiting inputs hold.
    """

    def __init__(self, name: str, waiting_limit: int) -> None:
        self._pool = concurrent.futures.ThreadPoolExecutor(1, name)
        self._limit = waiting_limit
        self._open = 0

    async def call(
        self, function: Callable[..., _Value], *arguments: object
    ) -> _Value:
        """Returns the function's value; it may raise what the function raises.

        Raises:
          TooManyWaitingError: The limit of open calls is reached.
        """
        if self._open >= self._limit:
            raise TooManyWaitingError(self._limit)
        future = self._pool.submit(function, *arguments)
        self._open += 1
        loop = asyncio.get_running_loop()
        # A cancelled caller leaves the thread busy, so the thread counts.
        future.add_done_callback(
            lambda _: loop.call_soon_threadsafe(self._count_down)
        )
        return await asyncio.wrap_future(future)

    def _count_down(self) -> None:
        self._open -= 1
