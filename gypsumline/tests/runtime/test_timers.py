"""Tests of the timer service."""

import asyncio

from gypsumline.runtime.timers import running_timers


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
