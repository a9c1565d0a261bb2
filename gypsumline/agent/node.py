"""Connects an agent's state machines to sockets, timers and executor."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
from collections.abc import Sequence

from gypsumline.agent.executor_client import ExecutorClient
from gypsumline.agent.leave_progress import LeaveProgress
from gypsumline.core.control.control_machine import ControlMachine
from gypsumline.core.control.record import ControlRecord
from gypsumline.core.effects import Decision, Effect, Send, StartTask
from gypsumline.core.identity import Member
from gypsumline.core.message import Message
from gypsumline.core.messages import (
    Heartbeat,
    HeartbeatReply,
    JournalQuery,
    StartTasks,
    TaskResults,
    WithdrawTasks,
)
from gypsumline.core.slots.slot_settings import Announcement
from gypsumline.core.slots.slot_table import SlotTable
from gypsumline.core.task import Reason, TaskResult, TaskStatus
from gypsumline.runtime import metrics
from gypsumline.runtime.clock import boot_time, wall_time
from gypsumline.runtime.logs import DecisionLog
from gypsumline.wire.hub import Hub

# An executor announces itself every second; after three misses it is removed.
EXECUTOR_SILENCE_SECONDS = 3.0
_SLOT_MESSAGES = (StartTasks, WithdrawTasks, JournalQuery)
_LISTED_TASKS_MAX = 100

_LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgentMachines:
    """State machines of an agent."""

    control: ControlMachine
    slots: SlotTable


class AgentNode:
    """Passes inputs to the state machines and applies their effects."""

    def __init__(
        self,
        local_member: Member,
        machines: AgentMachines,
        decision_log: DecisionLog,
    ) -> None:
        self._local_member = local_member
        self._machines = machines
        self._log = decision_log
        self._hub: Hub | None = None
        self._executor: ExecutorClient | None = None
        self._runs: dict[asyncio.Task[None], StartTask] = {}
        self._closing: set[asyncio.Task[None]] = set()
        self._leave_progress = LeaveProgress()
        self._applied_revision = 0
        self._announcement: Announcement | None = None
        self._announced_at = math.inf

    @property
    def record(self) -> ControlRecord:
        """Newest known control record."""
        return self._machines.control.record

    @property
    def is_fresh(self) -> bool:
        """Whether the evidence of the control record is fresh."""
        return self._machines.control.is_fresh(boot_time())

    @property
    def is_ready(self) -> bool:
        """Whether tasks can start here.

        This needs fresh evidence, a registered agent and a healthy executor
        that is not leaving.
        """
        registered = {agent.agent_id for agent in self.record.agents}
        state = self._machines.slots.upstream_state()
        return (
            self.is_fresh
            and self._local_member.member_id in registered
            and state.healthy
            and not state.leaving
        )

    @property
    def is_drained(self) -> bool:
        """Whether no task is running or queued and no message is expected."""
        if self._runs or not self._machines.slots.is_drained():
            return False
        if self._hub is None:
            return True
        connected = [member.member_id for member in self._hub.members]
        listed = [entry.member_id for entry in self.record.entries]
        return self._leave_progress.is_complete(connected, listed)

    @property
    def running(self) -> list[str]:
        """Tasks at the executor as "key/index", up to a limit."""
        starts = list(self._runs.values())[:_LISTED_TASKS_MAX]
        return [f"{start.key}/{start.task.index}" for start in starts]

    @property
    def running_count(self) -> int:
        """Number of tasks at the executor."""
        return len(self._runs)

    def attach(self, hub: Hub) -> None:
        """Sets the hub for messages."""
        self._hub = hub

    def status(self) -> dict[str, object]:
        """Returns the body of `GET /v1/status`."""
        return {
            "agent_id": self._local_member.member_id,
            "availability_zone": self._local_member.availability_zone,
            "revision": self.record.revision,
            "configuration_version": self.record.configuration_version,
            "fresh": self.is_fresh,
            "ready": self.is_ready,
            "upstream": dataclasses.asdict(
                self._machines.slots.upstream_state()
            ),
        }

    def announce(self, announcement: Announcement, address: str) -> None:
        """Handles an announcement of the executor.

        Args:
          announcement: State of the executor.
          address: Base URL of the executor.
        """
        self._announced_at = boot_time()
        self._announcement = announcement
        self._open_executor(address)
        self._apply_effects(
            self._machines.slots.announce(announcement, boot_time())
        )

    def mark_executor_leaving(self) -> None:
        """Marks the executor as leaving until it announces itself again."""
        if self._announcement is None:
            return
        leaving = dataclasses.replace(self._announcement, leaving=True)
        self._announced_at = boot_time()
        self._apply_effects(self._machines.slots.announce(leaving, boot_time()))
        self._send_leave_heartbeats()

    def begin_leave(self) -> None:
        """Begins a planned stop."""
        self._leave_progress.begin()
        self._apply_effects(self._machines.slots.leave(boot_time()))
        self._send_leave_heartbeats()

    async def close(self) -> None:
        """Cancels the running tasks and closes the connections."""
        for run in self._runs:
            run.cancel()
        await asyncio.gather(*self._runs, return_exceptions=True)
        if self._executor is not None:
            await self._executor.close_when_idle()
        await asyncio.gather(*self._closing, return_exceptions=True)

    def on_connected(self, member: Member) -> None:
        """Handles a new connection."""
        control = self._machines.control
        self._apply_effects(
            control.on_connected(member, boot_time(), wall_time())
        )
        for message in self._leave_progress.on_connected(member.member_id):
            self._send(Send(to=member.member_id, message=message))

    def on_disconnected(self, member: Member) -> None:
        """Handles the end of a connection."""
        control = self._machines.control
        self._apply_effects(
            control.on_disconnected(member, boot_time(), wall_time())
        )

    def on_message(self, member: Member, message: Message) -> None:
        """Handles a message from an entry."""
        now, wall = boot_time(), wall_time()
        if isinstance(message, _SLOT_MESSAGES):
            slots = self._machines.slots
            fresh = self._machines.control.is_fresh(now)
            self._apply_effects(
                slots.on_message(member, message, fresh, now, wall)
            )
            return
        if isinstance(message, HeartbeatReply):
            self._leave_progress.on_reply(member.member_id, message.sequence)
        control = self._machines.control
        self._apply_effects(control.on_message(member, message, now, wall))
        self._apply_record()

    def tick_control(self) -> None:
        """Runs the control machine with the current state of the upstream."""
        control = self._machines.control
        control.upstream = self._machines.slots.upstream_state()
        self._apply_effects(control.tick(boot_time(), wall_time()))
        metrics.FRESH.set(int(self.is_fresh))

    def tick_slots(self) -> None:
        """Runs the due timers of the slot table."""
        slots = self._machines.slots
        now = boot_time()
        if now > self._announced_at + EXECUTOR_SILENCE_SECONDS:
            self._announced_at = math.inf
            self._apply_effects(slots.remove_upstream(now))
        self._apply_effects(slots.tick(self.is_fresh, now))

    def _send_leave_heartbeats(self) -> None:
        """Sends heartbeats immediately, so that entries send no more starts."""
        control = self._machines.control
        self._apply_effects(control.leave(boot_time(), wall_time()))
        self.tick_control()

    def _apply_record(self) -> None:
        record = self.record
        if record.revision == self._applied_revision:
            return
        self._applied_revision = record.revision
        metrics.REVISION.set(record.revision)
        metrics.CONFIGURATION_VERSION.set(record.configuration_version)
        self._apply_effects(
            self._machines.slots.set_record(record, boot_time())
        )
        if self._hub is None:
            return
        self._hub.set_members(entry.address for entry in record.entries)

    def _open_executor(self, address: str) -> None:
        previous = self._executor
        if previous is not None and previous.address == address:
            return
        # Runs at the previous address use their own client until they end.
        self._executor = ExecutorClient(address)
        if previous is not None:
            closing = asyncio.create_task(previous.close_when_idle())
            self._closing.add(closing)
            closing.add_done_callback(self._closing.discard)

    def _apply_effects(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._send(effect)
                case StartTask():
                    self._start(effect)
                case Decision():
                    self._log.write(effect)

    def _send(self, effect: Send) -> None:
        if isinstance(effect.message, Heartbeat):
            self._leave_progress.on_heartbeat_sent(
                effect.to, effect.message.sequence
            )
        is_sent = self._hub is not None and self._hub.send(
            effect.to, effect.message
        )
        if not is_sent and isinstance(effect.message, TaskResults):
            self._leave_progress.add_unsent_results(effect.to, effect.message)

    def _start(self, start: StartTask) -> None:
        run = asyncio.create_task(self._run_task(start))
        self._runs[run] = start
        run.add_done_callback(self._on_run_ended)

    def _on_run_ended(self, run: asyncio.Task[None]) -> None:
        del self._runs[run]
        if not run.cancelled() and run.exception() is not None:
            _LOGGER.error("running a task failed", exc_info=run.exception())

    async def _run_task(self, start: StartTask) -> None:
        """Runs one task and always reports its end to the slot table.

        Without the report the slot would stay occupied forever.
        """
        permission = _StartPermission(self._machines, start)
        result = _executor_lost_result(start, TaskStatus.UNKNOWN)
        try:
            if self._executor is not None:
                result = await self._executor.run(start, permission.request)
        finally:
            if not permission.is_granted:
                result = _executor_lost_result(start, TaskStatus.REFUSED)
            metrics.TASK_RESULTS.labels(result.status.value).inc()
            self._finish_run(start, result, permission)

    def _finish_run(
        self, start: StartTask, result: TaskResult, permission: _StartPermission
    ) -> None:
        slots = self._machines.slots
        if not permission.was_requested:
            # The request makes the slot table release the slot.
            permission.request()
        if permission.is_granted:
            self._apply_effects(
                slots.on_finished(start.key, result, boot_time())
            )
        else:
            # `may_start` has refused the task; a tick sends the refusal.
            self._apply_effects(slots.tick(self.is_fresh, boot_time()))


class _StartPermission:
    """Permission for one start, requested just before its body is written."""

    def __init__(self, machines: AgentMachines, start: StartTask) -> None:
        self._machines = machines
        self._start = start
        self.was_requested = False
        self.is_granted = False

    def request(self) -> Reason:
        """Returns why the task may not start; `NONE` allows it."""
        now = boot_time()
        reason = self._machines.slots.may_start(
            self._start.key,
            self._start.task.index,
            self._machines.control.is_fresh(now),
            now,
        )
        self.was_requested = True
        self.is_granted = reason == Reason.NONE
        return reason


def _executor_lost_result(start: StartTask, status: TaskStatus) -> TaskResult:
    return TaskResult(
        index=start.task.index,
        status=status,
        reason=Reason.EXECUTOR_LOST,
        attempt=start.attempt,
    )
