"""Tests of the agent's shell: every start ends in the slot table."""

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


class Control:
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


class Hub:
    """Hub that keeps what is sent."""

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


class Executor:
    """Executor client that asks the gate or not, and then does one thing."""

    address = "http://127.0.0.1:1"

    def __init__(self, end, *, asks=True):
        self._end = end
        self._asks = asks

    async def run(self, start, gate):
        await asyncio.sleep(0)
        if self._asks and gate() is not Reason.NONE:
            return result(TaskStatus.REFUSED, Reason.OUT)
        if isinstance(self._end, BaseException):
            raise self._end
        return self._end

    async def retire(self):
        return None


def result(status, reason=Reason.NONE):
    return TaskResult(index=0, status=status, reason=reason)


def make_node(executor):
    control = Control()
    slots = SlotTable(AGENT, SlotSettings())
    slots.set_record(control.record, 0.0)
    node = AgentNode(
        AGENT, AgentMachines(control=control, slots=slots), DecisionLog(0)
    )
    hub = Hub()
    node.attach(hub)
    announcement = Announcement(upstream_id="x", service="s", slots=1)
    node.announce(announcement, Executor.address)
    node._executor = executor
    return node, hub, control, slots


async def settle():
    for _ in range(10):
        await asyncio.sleep(0)


LOST = (TaskStatus.REFUSED, Reason.EXECUTOR_LOST)
UNKNOWN = (TaskStatus.UNKNOWN, Reason.EXECUTOR_LOST)


@pytest.mark.parametrize(
    ("executor", "expected"),
    [
        (Executor(result(TaskStatus.SUCCEEDED)), (TaskStatus.SUCCEEDED, "")),
        (Executor(result(*LOST), asks=False), LOST),
        (Executor(ValueError("unexpected")), UNKNOWN),
        (Executor(ValueError("unexpected"), asks=False), LOST),
        (Executor(asyncio.CancelledError()), UNKNOWN),
        (None, LOST),
    ],
)
async def test_every_start_frees_its_slot(executor, expected):
    """Guards against a lost run that holds its slot for ever."""
    node, hub, _, slots = make_node(executor)
    node.on_message(ENTRY, make_start(KEY))
    await settle()
    found = [(r.status, r.reason) for r in hub.results()]
    assert found == [expected]
    assert slots.upstream_state().free == 1
    assert slots.is_drained()


async def test_refusal_by_the_gate_gives_the_task_back():
    """Guards against a refused start whose owner never hears of it."""
    node, hub, control, slots = make_node(Executor(None))
    node.on_message(ENTRY, make_start(KEY))
    control.record = make_record(revision=2, availability_zones_out=("a",))
    reply = HeartbeatReply(sequence=1, revision=2, evidence_age=0.0)
    node.on_message(ENTRY, reply)
    await settle()
    assert [r.status for r in hub.results()] == [TaskStatus.REFUSED]
    assert slots.upstream_state().free == 1


async def test_start_without_evidence_waits_for_it():
    """Guards against a start that is neither run nor given back."""
    node, hub, control, _ = make_node(Executor(result(TaskStatus.SUCCEEDED)))
    node.on_message(ENTRY, make_start(KEY))
    control.fresh = False
    await settle()
    assert hub.results() == []
    control.fresh = True
    node.tick_slots()
    await settle()
    assert [r.status for r in hub.results()] == [TaskStatus.SUCCEEDED]


async def test_close_cancels_runs_and_reports_them_unknown():
    """Guards against a stop that leaves a run behind without a result."""

    class Endless(Executor):
        async def run(self, start, gate):
            gate()
            await asyncio.Event().wait()

    node, hub, _, _ = make_node(Endless(None))
    node.on_message(ENTRY, make_start(KEY))
    await settle()
    assert node.running == [f"{KEY}/0"]
    await node.close()
    assert [r.status for r in hub.results()] == [TaskStatus.UNKNOWN]


async def test_stop_waits_until_entries_know_and_results_are_sent():
    """Guards against starts and results that meet a closed connection."""
    node, hub, _, _ = make_node(Executor(result(TaskStatus.SUCCEEDED)))
    node.begin_leave()
    assert not node.is_drained
    upstream = node._machines.slots.upstream_state()
    beat = Heartbeat(sequence=7, revision=1, upstream=upstream)
    node._leave.on_heartbeat("e1", beat.sequence)
    reply = {"revision": 1, "evidence_age": 0.0}
    node.on_message(ENTRY, HeartbeatReply(sequence=6, **reply))
    assert not node.is_drained
    node.on_message(ENTRY, HeartbeatReply(sequence=7, **reply))
    assert node.is_drained
    hub.members = ()
    node.on_message(ENTRY, make_start(KEY))
    await settle()
    assert not node.is_drained
    hub.members = (ENTRY,)
    node.on_connected(ENTRY)
    assert [r.reason for r in hub.results()] == [Reason.LEAVING]
