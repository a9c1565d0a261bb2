"""Tests of the timer service."""

import asyncio

from gypsumline.runtime.timers import running_timers


async def test_fault_of_one_callback_ends_no_timer():
    """Guards against a process that goes on without any timer."""
    calls = []

    def fail():
        calls.append("fail")
        raise ValueError("fault")

    async with running_timers() as timers:
        timers.subscribe(0.01, fail)
        timers.subscribe(0.01, lambda: calls.append("other"))
        async with asyncio.timeout(5):
            while min(calls.count("fail"), calls.count("other")) < 3:  # noqa: ASYNC110
                await asyncio.sleep(0.01)


async def test_cancelled_subscription_is_not_called():
    """Guards against calls into a part that has gone."""
    calls = []
    async with running_timers() as timers:
        timers.subscribe(0.01, lambda: calls.append("gone")).cancel()
        timers.subscribe(0.02, lambda: calls.append("kept"))
        async with asyncio.timeout(5):
            while not calls:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
    assert set(calls) == {"kept"}
