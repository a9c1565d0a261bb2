"""The agent's decisions wired to its sockets, timers and executor."""

from __future__ import annotations

import asyncio
import dataclasses
import math
from collections.abc import Sequence

from gypsumline.agent.executor_client import ExecutorClient, Gate
from gypsumline.core.control import ControlRecord
from gypsumline.core.control_machine import ControlMachine
from gypsumline.core.effects import Decision, Effect, Send, StartTask
from gypsumline.core.identity import Member
from gypsumline.core.messages import (
    JournalQuery,
    Message,
    StartTasks,
    WithdrawTasks,
)
from gypsumline.core.slot_settings import Announcement
from gypsumline.core.slot_table import SlotTable
from gypsumline.core.task import Reason, TaskResult, TaskStatus
from gypsumline.runtime import metrics
from gypsumline.runtime.clock import boot_time, wall_time
from gypsumline.runtime.logs import DecisionLog
from gypsumline.wire.hub import Hub

# An executor announces itself every second; three misses mean that it is gone.
EXECUTOR_SILENCE_SECONDS = 3.0
_SLOT_MESSAGES = (StartTasks, WithdrawTasks, JournalQuery)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgentMachines:
    """The state machines of an agent."""

    control: ControlMachine
    slots: SlotTable


class AgentNode:
    """Feeds inputs to the decisions and carries their effects out."""

    def __init__(
        self, me: Member, machines: AgentMachines, decision_log: DecisionLog
    ) -> None:
        self._me = me
        self._machines = machines
        self._log = decision_log
        self._hub: Hub | None = None
        self._executor: ExecutorClient | None = None
        self._runs: set[asyncio.Task[None]] = set()
        self._applied_revision = 0
        self._announcement: Announcement | None = None
        self._announced_at = math.inf
        self._left_at = math.inf

    @property
    def record(self) -> ControlRecord:
        """Newest control record known."""
        return self._machines.control.record

    @property
    def is_fresh(self) -> bool:
        """Whether the evidence is fresh."""
        return self._machines.control.is_fresh(boot_time())

    @property
    def is_ready(self) -> bool:
        """Whether tasks may start here: evidence, registration, executor."""
        registered = {agent.agent_id for agent in self.record.agents}
        state = self._machines.slots.upstream_state()
        return (
            self.is_fresh
            and self._me.member_id in registered
            and state.healthy
            and not state.leaving
        )

    @property
    def is_drained(self) -> bool:
        """Whether nothing is queued, runs or is still on its way here."""
        is_idle = self._machines.slots.is_drained() and not self._runs
        control = self._machines.control
        return is_idle and control.entries_know_since(self._left_at)

    @property
    def running(self) -> int:
        """Tasks at the executor."""
        return len(self._runs)

    def attach(self, hub: Hub) -> None:
        """Sets where messages go."""
        self._hub = hub

    def status(self) -> dict[str, object]:
        """Returns the body of `GET /v1/status`."""
        return {
            "agent_id": self._me.member_id,
            "availability_zone": self._me.availability_zone,
            "revision": self.record.revision,
            "configuration_version": self.record.configuration_version,
            "fresh": self.is_fresh,
            "ready": self.is_ready,
            "upstream": dataclasses.asdict(
                self._machines.slots.upstream_state()
            ),
        }

    def announce(self, announcement: Announcement, address: str) -> None:
        """Takes an announcement of the executor at a base URL."""
        self._announced_at = boot_time()
        self._announcement = announcement
        self._open_executor(address)
        self._run(self._machines.slots.announce(announcement, boot_time()))

    def leave_executor(self) -> None:
        """Takes the executor's leave; a later announcement ends it."""
        if self._announcement is None:
            return
        leaving = dataclasses.replace(self._announcement, leaving=True)
        self._announced_at = boot_time()
        self._run(self._machines.slots.announce(leaving, boot_time()))
        self._tell_state()

    def begin_leave(self) -> None:
        """Begins a planned stop."""
        self._left_at = boot_time()
        self._run(self._machines.slots.leave(self._left_at))
        self._tell_state()

    def on_connected(self, member: Member) -> None:
        """Takes a new connection."""
        control = self._machines.control
        self._run(control.on_connected(member, boot_time(), wall_time()))

    def on_disconnected(self, member: Member) -> None:
        """Takes the loss of a connection."""
        control = self._machines.control
        self._run(control.on_disconnected(member, boot_time(), wall_time()))

    def on_message(self, member: Member, message: Message) -> None:
        """Takes a message from an entry."""
        now, wall = boot_time(), wall_time()
        if isinstance(message, _SLOT_MESSAGES):
            slots = self._machines.slots
            fresh = self._machines.control.is_fresh(now)
            self._run(slots.on_message(member, message, fresh, now, wall))
        else:
            control = self._machines.control
            self._run(control.on_message(member, message, now, wall))
            self._apply_record()

    def tick_control(self) -> None:
        """Sends heartbeats with the newest state of the upstream."""
        control = self._machines.control
        control.upstream = self._machines.slots.upstream_state()
        self._run(control.tick(boot_time(), wall_time()))
        metrics.FRESH.set(int(self.is_fresh))

    def tick_slots(self) -> None:
        """Lets the slot table act on the passing of time."""
        slots = self._machines.slots
        now = boot_time()
        if now > self._announced_at + EXECUTOR_SILENCE_SECONDS:
            self._announced_at = math.inf
            self._run(slots.lose_upstream(now))
        self._run(slots.tick(self.is_fresh, now))

    def _tell_state(self) -> None:
        """Tells the entries at once, so that they place nothing more here."""
        self._machines.control.beat_soon(boot_time())
        self.tick_control()

    def _apply_record(self) -> None:
        record = self.record
        if record.revision == self._applied_revision:
            return
        self._applied_revision = record.revision
        metrics.REVISION.set(record.revision)
        metrics.CONFIGURATION_VERSION.set(record.configuration_version)
        self._run(self._machines.slots.set_record(record, boot_time()))
        if self._hub is None:
            return
        for entry in record.entries:
            self._hub.dial(entry.address)

    def _open_executor(self, address: str) -> None:
        earlier = self._executor
        if earlier is not None and earlier.address == address:
            return
        # Runs at the earlier address keep their own client until they end.
        self._executor = ExecutorClient(address)

    def _run(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    if self._hub is not None:
                        self._hub.send(effect.to, effect.message)
                case StartTask():
                    self._start(effect)
                case Decision():
                    self._log.write(effect)

    def _start(self, start: StartTask) -> None:
        task = asyncio.create_task(self._run_task(start))
        self._runs.add(task)
        task.add_done_callback(self._runs.discard)

    async def _run_task(self, start: StartTask) -> None:
        slots = self._machines.slots

        def gate() -> Reason:
            return slots.may_start(
                start.key, start.task.index, self.is_fresh, boot_time()
            )

        executor = self._executor
        if executor is None:
            return
        result = await executor.run(start, gate)
        metrics.TASK_RESULTS.labels(result.status.value).inc()
        if result.status == TaskStatus.REFUSED:
            self._refuse(start.key, result, gate)
            return
        self._run(slots.on_finished(start.key, result, boot_time()))

    def _refuse(self, key: str, result: TaskResult, gate: Gate) -> None:
        """Gives back a task that has provably not started."""
        slots = self._machines.slots
        if result.reason != Reason.EXECUTOR_LOST:
            # The gate has refused already and given the task back.
            self._run(slots.tick(self.is_fresh, boot_time()))
            return
        # The gate was not asked yet: ask it, so that the slot is released.
        if gate() == Reason.NONE:
            self._run(slots.on_finished(key, result, boot_time()))
        else:
            self._run(slots.tick(self.is_fresh, boot_time()))
