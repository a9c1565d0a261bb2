"""Tests of `LeasedEntryNode`."""

import asyncio

import pytest

from gypsumline.core.leases.effects import JobOutcome
from gypsumline.core.leases.messages import (
    ContactPing,
    ContactPong,
    StartRuns,
    StopRuns,
)
from gypsumline.entry.leased_node import TURNS_TO_CLOSE, LeasedEntryNode
from gypsumline.runtime.clock import boot_time
from gypsumline.runtime.logs import DecisionLog
from gypsumline.tests.core.leases.builders import (
    KEY,
    agent,
    join,
    load,
    owner,
    request,
)


@pytest.fixture(name="node")
def fixture_node():
    leased = owner()
    join(leased, agent(), boot_time())
    return LeasedEntryNode(
        leased, DecisionLog(0), lambda: None, lambda keepers: None
    )


def test_cancelled_job_answers_all_its_callers(node):
    """Guards against callers that never get an answer."""
    ended = []
    node.submit(request(), ended.append)
    node.submit(request(), ended.append)
    assert node.cancel(KEY)
    assert [each.outcome for each in ended] == [JobOutcome.CANCELLED] * 2
    assert not node.cancel(KEY)
    assert len(ended) == 2


def test_removed_caller_is_not_answered(node):
    """Guards against an answer to a closed connection."""
    ended = []
    node.submit(request(), ended.append)
    node.remove_caller(KEY, ended.append)
    assert not node.cancel(KEY)
    assert ended == []


class RecordingHub:
    """Records the types of the messages that are sent."""

    def __init__(self):
        self.sent = []

    def send(self, _, message):
        self.sent.append(type(message))


async def test_ping_is_answered_after_the_callers_that_left_before_it(node):
    """Guards against a run of a job that its caller has sent elsewhere.

    An event loop reports a closed connection some turns after it was closed.
    """
    hub = RecordingHub()
    node.attach(hub)
    node.submit(request(), print)
    ping = ContactPing(stamp=boot_time(), load=load(seen=1))
    node.on_message(agent(), ping)
    loop = asyncio.get_running_loop()
    loop.call_soon(loop.call_soon, node.remove_caller, KEY, print)
    for _ in range(TURNS_TO_CLOSE + 1):
        await asyncio.sleep(0)
    assert hub.sent == [StartRuns, StopRuns, ContactPong]
