"""Runs long computations in one thread outside the event loop."""

from __future__ import annotations

import asyncio
import concurrent.futures
from collections.abc import Callable
from typing import TypeVar

from gypsumline.core.errors import GypsumlineError

_Value = TypeVar("_Value")


class TooManyWaitingError(GypsumlineError):
    """The limit of open calls is reached."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"{limit} requests of this kind are open already")


class SingleThreadPool:
    """Runs functions in one thread, in the order of the calls.

    A single thread bounds the processor time taken from the event loop, and the
    limit of open calls bounds the memory that their arguments use.

    Args:
      name: Name prefix of the thread.
      open_limit: Maximum number of calls that are queued or running.
    """

    def __init__(self, name: str, open_limit: int) -> None:
        self._pool = concurrent.futures.ThreadPoolExecutor(1, name)
        self._limit = open_limit
        self._open = 0

    async def call(
        self, function: Callable[..., _Value], *arguments: object
    ) -> _Value:
        """Runs a function and returns its value.

        Exceptions of the function are raised here.

        Raises:
          TooManyWaitingError: The limit of open calls is reached.
        """
        if self._open >= self._limit:
            raise TooManyWaitingError(self._limit)
        future = self._pool.submit(function, *arguments)
        self._open += 1
        loop = asyncio.get_running_loop()
        # A cancelled caller does not stop the function, so the call counts as
        # open until the thread has finished it.
        future.add_done_callback(
            lambda _: loop.call_soon_threadsafe(self._decrement_open)
        )
        return await asyncio.wrap_future(future)

    def _decrement_open(self) -> None:
        self._open -= 1
