"""Tests of `AgentNode`: the slot table gets the end of every start."""

import asyncio

import pytest

from gypsumline.agent.node import AgentMachines, AgentNode
from gypsumline.core.messages import Heartbeat, HeartbeatReply, TaskResults
from gypsumline.core.slots.slot_settings import Announcement, SlotSettings
from gypsumline.core.slots.slot_table import SlotTable
from gypsumline.core.task import Reason, TaskResult, TaskStatus
from gypsumline.runtime.logs import DecisionLog
from gypsumline.tests.core.builders import (
    AGENT,
    ENTRY,
    WALL,
    key_at,
    make_record,
    make_start,
)

KEY = key_at(WALL)


class FakeControlMachine:
    """Control machine with fixed evidence."""

    def __init__(self):
        self.record = make_record()
        self.fresh = True
        self.sequence = 0

    def is_fresh(self, now):
        return self.fresh

    def leave(self, now, wall):
        return []

    def tick(self, now, wall):
        return []

    def on_connected(self, member, now, wall):
        return []

    on_disconnected = on_connected

    def on_message(self, member, message, now, wall):
        return []


class FakeHub:
    """Hub that records the messages sent."""

    def __init__(self):
        self.sent = []
        self.members = (ENTRY,)

    def send(self, to, message):
        if not self.members:
            return False
        self.sent.append(message)
        return True

    def dial(self, address):
        return None

    def set_members(self, addresses):
        return None

    def results(self):
        found = [m for m in self.sent if isinstance(m, TaskResults)]
        return [result for m in found for result in m.results]


class FakeExecutorClient:
    """Executor client with a fixed outcome, with or without a start check."""

    address = "http://127.0.0.1:1"

    def __init__(self, outcome, *, checks_start=True):
        self._outcome = outcome
        self._checks_start = checks_start

    async def run(self, start, check_start):
        await asyncio.sleep(0)
        if self._checks_start and check_start() is not Reason.NONE:
            return make_result(TaskStatus.REFUSED, Reason.OUT)
        if isinstance(self._outcome, BaseException):
            raise self._outcome
        return self._outcome

    async def close_when_idle(self):
        return None


def make_result(status, reason=Reason.NONE):
    return TaskResult(index=0, status=status, reason=reason)


def make_node(executor):
    control = FakeControlMachine()
    slots = SlotTable(AGENT, SlotSettings())
    slots.set_record(control.record, 0.0)
    node = AgentNode(
        AGENT, AgentMachines(control=control, slots=slots), DecisionLog(0)
    )
    hub = FakeHub()
    node.attach(hub)
    announcement = Announcement(upstream_id="x", service="s", slots=1)
    node.announce(announcement, FakeExecutorClient.address)
    node._executor = executor
    return node, hub, control, slots


async def run_event_loop():
    for _ in range(10):
        await asyncio.sleep(0)


REFUSED_LOST = (TaskStatus.REFUSED, Reason.EXECUTOR_LOST)
UNKNOWN_LOST = (TaskStatus.UNKNOWN, Reason.EXECUTOR_LOST)


@pytest.mark.parametrize(
    ("executor", "expected"),
    [
        (
            FakeExecutorClient(make_result(TaskStatus.SUCCEEDED)),
            (TaskStatus.SUCCEEDED, ""),
        ),
        (
            FakeExecutorClient(make_result(*REFUSED_LOST), checks_start=False),
            REFUSED_LOST,
        ),
        (FakeExecutorClient(ValueError("unexpected")), UNKNOWN_LOST),
        (
            FakeExecutorClient(ValueError("unexpected"), checks_start=False),
            REFUSED_LOST,
        ),
        (FakeExecutorClient(asyncio.CancelledError()), UNKNOWN_LOST),
        (None, REFUSED_LOST),
    ],
)
async def test_every_start_frees_its_slot(executor, expected):
    """Guards against a lost run that occupies its slot forever."""
    node, hub, _, slots = make_node(executor)
    node.on_message(ENTRY, make_start(KEY))
    await run_event_loop()
    found = [(r.status, r.reason) for r in hub.results()]
    assert found == [expected]
    assert slots.upstream_state().free == 1
    assert slots.is_drained()


async def test_refused_start_is_reported_to_its_owner():
    """Guards against a refused start that its owner is not informed of."""
    node, hub, control, slots = make_node(FakeExecutorClient(None))
    node.on_message(ENTRY, make_start(KEY))
    control.record = make_record(revision=2, availability_zones_out=("a",))
    reply = HeartbeatReply(sequence=1, revision=2, evidence_age=0.0)
    node.on_message(ENTRY, reply)
    await run_event_loop()
    assert [r.status for r in hub.results()] == [TaskStatus.REFUSED]
    assert slots.upstream_state().free == 1


async def test_start_without_fresh_evidence_is_deferred():
    """Guards against a start that is neither run nor refused."""
    node, hub, control, _ = make_node(
        FakeExecutorClient(make_result(TaskStatus.SUCCEEDED))
    )
    node.on_message(ENTRY, make_start(KEY))
    control.fresh = False
    await run_event_loop()
    assert hub.results() == []
    control.fresh = True
    node.tick_slots()
    await run_event_loop()
    assert [r.status for r in hub.results()] == [TaskStatus.SUCCEEDED]


async def test_close_cancels_runs_and_reports_them_unknown():
    """Guards against a stop that leaves a run without a result."""

    class EndlessExecutor(FakeExecutorClient):
        async def run(self, start, check_start):
            check_start()
            await asyncio.Event().wait()

    node, hub, _, _ = make_node(EndlessExecutor(None))
    node.on_message(ENTRY, make_start(KEY))
    await run_event_loop()
    assert node.running == [f"{KEY}/0"]
    await node.close()
    assert [r.status for r in hub.results()] == [TaskStatus.UNKNOWN]


async def test_drain_waits_for_acknowledgements_and_unsent_results():
    """Guards against starts and results lost on closed connections."""
    node, hub, _, _ = make_node(
        FakeExecutorClient(make_result(TaskStatus.SUCCEEDED))
    )
    node.begin_leave()
    assert not node.is_drained
    upstream = node._machines.slots.upstream_state()
    heartbeat = Heartbeat(sequence=7, revision=1, upstream=upstream)
    node._leave_progress.on_heartbeat_sent("e1", heartbeat.sequence)
    reply = {"revision": 1, "evidence_age": 0.0}
    node.on_message(ENTRY, HeartbeatReply(sequence=6, **reply))
    assert not node.is_drained
    node.on_message(ENTRY, HeartbeatReply(sequence=7, **reply))
    assert node.is_drained
    hub.members = ()
    node.on_message(ENTRY, make_start(KEY))
    await run_event_loop()
    assert not node.is_drained
    hub.members = (ENTRY,)
    node.on_connected(ENTRY)
    assert [r.reason for r in hub.results()] == [Reason.LEAVING]
