"""Tests of the timer service."""

import asyncio

import pytest
import uvloop

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


LOOPS = pytest.mark.parametrize("run", [asyncio.run, uvloop.run])


@LOOPS
@pytest.mark.parametrize("change", ["subscribe", "call_within", "set_interval"])
def test_timers_can_change_while_the_next_call_is_due(run, change):
    """Guards against uvloop, whose handles of calls due at once lack a time."""
    calls = []

    async def main():
        async with running_timers() as timers:
            first = timers.subscribe(5.0, lambda: calls.append("first"))
            other = timers.subscribe(6.0, lambda: calls.append("other"))
            timers.call_within(first, 0.0003)
            if change == "subscribe":
                timers.subscribe(7.0, lambda: None)
            elif change == "call_within":
                timers.call_within(other, 0.0001)
            else:
                other.set_interval(0.0001)
            await asyncio.sleep(0.05)

    run(main())
    assert calls[0:1] != []


@LOOPS
def test_closed_timers_call_nobody(run):
    """Guards against a call that is due at once and outlives the service."""
    calls = []

    async def main():
        async with running_timers() as timers:
            subscription = timers.subscribe(5.0, lambda: calls.append(1))
            timers.call_within(subscription, 0.0)
        await asyncio.sleep(0.02)

    run(main())
    assert calls == []


@LOOPS
def test_failing_callback_of_a_call_due_at_once_stops_no_timer(run):
    """Guards against a process that keeps running without timers."""
    calls = []

    async def main():
        async with running_timers() as timers:

            def fail():
                calls.append("fail")
                timers.call_within(other, 0.0001)
                raise ValueError("expected failure")

            other = timers.subscribe(5.0, lambda: calls.append("other"))
            timers.call_within(timers.subscribe(5.0, fail), 0.0002)
            await asyncio.sleep(0.05)

    run(main())
    assert calls == ["fail", "other"]
