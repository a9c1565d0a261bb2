"""Connects an agent of leased runs to its executor, streams and timers."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Protocol

from gypsumline.core.effects import Decision, Effect, Send
from gypsumline.core.identity import Member
from gypsumline.core.leases.effects import (
    Announcement,
    CrashDetected,
    HoldReply,
    HoldRequest,
    OrderAnswer,
    OrderStart,
    OrderStop,
)
from gypsumline.core.leases.keepers import KeeperList, RequestKeeperList
from gypsumline.core.leases.lock_messages import LockKeys, UnlockKeys
from gypsumline.core.leases.messages import (
    ClaimRuns,
    ContactPong,
    StartRuns,
    StopRuns,
    ZonesOut,
)
from gypsumline.core.leases.run_log_lines import crash_line
from gypsumline.core.leases.run_table import RunTable
from gypsumline.core.message import Message
from gypsumline.runtime import metrics
from gypsumline.runtime.clock import boot_time
from gypsumline.runtime.logs import DecisionLog
from gypsumline.runtime.timers import Subscription, TimerService
from gypsumline.wire.hub import Hub


class LeasedExecutor(Protocol):
    """Calls to the executor beside the agent; no method raises."""

    async def start(self, order: OrderStart) -> OrderAnswer:
        """Starts a run."""
        ...

    async def stop(self, order: OrderStop) -> OrderAnswer:
        """Stops a run."""
        ...

    async def hold(self, order: HoldRequest) -> HoldReply | OrderAnswer:
        """Renews the lease; returns the runs, or the failure."""
        ...


class LeasedAgentNode:
    """Passes inputs to the run table and applies its effects.

    Args:
      table: State machine of the agent's runs.
      executor: Calls to the executor.
      decision_log: Log of decisions.
      on_crash: Called at each crash of the executor.
    """

    def __init__(
        self,
        table: RunTable,
        executor: LeasedExecutor,
        decision_log: DecisionLog,
        on_crash: Callable[[CrashDetected], None],
    ) -> None:
        self._table = table
        self._executor = executor
        self._log = decision_log
        self._on_crash = on_crash
        self._hub: Hub | None = None
        self._timer: Subscription | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()

    @property
    def table(self) -> RunTable:
        """State machine of the agent's runs."""
        return self._table

    def attach(self, hub: Hub) -> None:
        """Sets the hub for messages."""
        self._hub = hub

    def subscribe(self, timers: TimerService) -> None:
        """Subscribes to the timers, at a rate that follows the runs."""
        interval = self._table.next_tick_in(boot_time())
        self._timer = timers.subscribe(interval, self.tick)

    def begin_stop(self) -> None:
        """Begins a planned stop, after which starts are refused."""
        self._apply_effects(self._table.begin_stop(boot_time()))

    def on_announcement(self, announcement: Announcement) -> None:
        """Handles an announcement of the executor."""
        self._apply_effects(
            self._table.on_announcement(announcement, boot_time())
        )

    def on_leave(self, executor: str) -> None:
        """Handles the sign-off of the executor."""
        self._apply_effects(self._table.on_leave(executor, boot_time()))

    def set_zones_out(self, message: ZonesOut) -> None:
        """Sets the excluded zones that this agent has read itself."""
        self._apply_effects(self._table.on_zones_out(message, boot_time()))

    def set_entries(self, entries: Mapping[str, int]) -> None:
        """Sets the incarnations of the entries by member id."""
        self._apply_effects(self._table.on_entries(entries))

    def set_keepers(self, keepers: KeeperList) -> None:
        """Sets the list of the agents that keep locks."""
        self._apply_effects(self._table.on_keepers(keepers, boot_time()))

    def tick(self) -> None:
        """Runs the due timers of the run table."""
        now = boot_time()
        self._apply_effects(self._table.tick(now))
        if self._timer is not None:
            self._timer.set_interval(self._table.next_tick_in(now))

    def on_connected(self, member: Member) -> None:
        """Handles a new stream to an entry."""
        self._apply_effects(self._table.on_connected(member, boot_time()))

    def on_disconnected(self, member: Member) -> None:
        """Handles the end of a stream to an entry."""
        self._apply_effects(self._table.on_disconnected(member, boot_time()))

    def on_message(self, member: Member, message: Message) -> None:
        """Handles a message from an entry."""
        now = boot_time()
        table = self._table
        match message:
            case ContactPong():
                self._apply_effects(table.on_pong(member, message, now))
            case StartRuns():
                self._apply_effects(table.on_start(member, message, now))
            case StopRuns():
                self._apply_effects(table.on_stop(member, message, now))
            case ClaimRuns():
                self._apply_effects(table.on_claims(member, message, now))
            case ZonesOut():
                self._apply_effects(table.on_zones_out(message, now))
            case LockKeys():
                self._apply_effects(table.on_lock_request(member, message, now))
            case UnlockKeys():
                self._apply_effects(table.on_unlock(member, message))
            case RequestKeeperList():
                self._apply_effects(
                    table.on_keepers_request(member, message, now)
                )

    async def run_hold_loop(self) -> None:
        """Renews the lease and collects ended runs until cancelled."""
        while True:
            now = boot_time()
            delay = self._table.hold_due_in(now)
            if delay > 0.0:
                self._wake.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(
                        delay if delay < math.inf else None
                    ):
                        await self._wake.wait()
                continue
            self._apply_effects(self._table.check_runs(now))
            order = self._table.next_hold_request(now)
            if order is not None:
                self._start_call(self._hold(order))

    async def _hold(self, order: HoldRequest) -> None:
        reply = await self._executor.hold(order)
        now = boot_time()
        if isinstance(reply, HoldReply):
            effects = self._table.on_hold_reply(
                order, reply, order.sent_at, now
            )
        else:
            effects = self._table.on_hold_failed(order, reply, now)
        self._apply_effects(effects)
        self._wake.set()

    async def _start(self, order: OrderStart) -> None:
        metrics.TASK_STARTS.inc()
        answer = await self._executor.start(order)
        self._apply_effects(
            self._table.on_start_answer(order, answer, boot_time())
        )

    async def _stop(self, order: OrderStop) -> None:
        answer = await self._executor.stop(order)
        self._apply_effects(
            self._table.on_stop_answer(order, answer, boot_time())
        )

    def _start_call(self, call: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _apply_effects(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    if self._hub is not None:
                        self._hub.send(effect.to, effect.message)
                case OrderStart():
                    self._start_call(self._start(effect))
                case OrderStop():
                    self._start_call(self._stop(effect))
                case CrashDetected():
                    metrics.EXECUTOR_CRASHES.inc()
                    metrics.CRASHED_RUNS.inc(len(effect.crash.runs))
                    self._log.write(crash_line(effect))
                    self._on_crash(effect)
                case Decision():
                    self._log.write(effect)
        if not self._table.hold_due_in(boot_time()):
            self._wake.set()
        if self._timer is not None and not self._table.is_at_rest:
            self._timer.set_interval(self._table.tick_interval)
