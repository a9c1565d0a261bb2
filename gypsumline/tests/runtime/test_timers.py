"""Tests of the timer service."""

import asyncio

from gypsumline.runtime.timers import running_timers
from gypsumline.testing.virtual_time import run_in_virtual_time


async def test_exception_in_one_callback_stops_no_timer():
    """Guards against a process that keeps running without timers."""
    calls = []

    def fail():
        calls.append("fail")
        raise ValueError("expected failure")

    async with running_timers() as timers:
        timers.subscribe(0.01, fail)
        timers.subscribe(0.01, lambda: calls.append("other"))
        async with asyncio.timeout(5):
            while min(calls.count("fail"), calls.count("other")) < 3:  # noqa: ASYNC110
                await asyncio.sleep(0.01)


async def test_cancelled_subscription_is_not_called():
    """Guards against calls into a component that has been closed."""
    calls = []
    async with running_timers() as timers:
        timers.subscribe(0.01, lambda: calls.append("cancelled")).cancel()
        timers.subscribe(0.02, lambda: calls.append("active"))
        async with asyncio.timeout(5):
            while not calls:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
    assert set(calls) == {"active"}


def test_interval_is_shortened_at_once_and_lengthened_after_the_next_call():
    """Guards against a process at rest that reacts late or never rests."""
    calls = []

    async def main(loop):
        async with running_timers() as timers:
            subscription = timers.subscribe(
                1.0, lambda: calls.append(round(loop.time(), 3))
            )
            await asyncio.sleep(0.5)
            subscription.set_interval(0.1)
            await asyncio.sleep(0.25)
            subscription.set_interval(1.0)
            await asyncio.sleep(2.0)

    run_in_virtual_time(main)
    assert calls == [0.6, 0.7, 0.8, 1.8]
