"""Tests of `LeasedEntryNode`."""

import pytest

from gypsumline.core.leases.effects import JobOutcome
from gypsumline.entry.leased_node import LeasedEntryNode
from gypsumline.runtime.clock import boot_time
from gypsumline.runtime.logs import DecisionLog
from gypsumline.tests.core.leases.builders import (
    KEY,
    agent,
    join,
    owner,
    request,
)


@pytest.fixture(name="node")
def fixture_node():
    leased = owner()
    join(leased, agent(), boot_time())
    return LeasedEntryNode(leased, DecisionLog(0), lambda: None)


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
