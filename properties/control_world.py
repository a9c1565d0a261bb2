"""Simulated table, network and processes that drive control state machines.

Time is virtual. All randomness comes from one seeded generator, so a run is
reproducible by its seed.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import math
from collections.abc import Callable
from random import Random

from gypsumline.core.control.control_machine import ControlMachine
from gypsumline.core.control.control_settings import ControlSettings
from gypsumline.core.control.record import ControlRecord
from gypsumline.core.effects import (
    ChangeOutcome,
    Decision,
    Effect,
    ReadTable,
    Send,
    TableReadResult,
    TableWriteResult,
    WriteTable,
)
from gypsumline.core.identity import Member, Role
from gypsumline.core.message import Message

TICK_SECONDS = 0.1
WALL_START = 1_700_000_000.0
# Maximum relative difference in rate of two clocks of the system.
DRIFT = 0.01
_RESTART_SECONDS = 0.3
_TABLE_TIMEOUT_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class TableFaults:
    """Faults of the table.

    Attributes:
      is_down: No operation takes effect or is answered.
      unreachable: Ids of the processes that cannot reach the table.
      is_slow: Operations take up to 6 s in total, so writes may take effect
        after their timeout.
      lost_answers: Fraction of writes that take effect but are not answered.
    """

    is_down: bool = False
    unreachable: set[str] = dataclasses.field(default_factory=set)
    is_slow: bool = False
    lost_answers: float = 0.0

    def blocks(self, member_id: str) -> bool:
        """Returns whether the operations of a process fail."""
        return self.is_down or member_id in self.unreachable

    def clear(self) -> None:
        """Ends all faults."""
        self.is_down = self.is_slow = False
        self.unreachable.clear()
        self.lost_answers = 0.0


class Process:
    """One incarnation of an entry or agent, with its clocks."""

    def __init__(
        self, member: Member, settings: ControlSettings, rng: Random
    ) -> None:
        self.member = member
        self.machine = ControlMachine(member, settings, rng)
        self.rate = rng.uniform(1.0, 1.0 + DRIFT)
        self.offset = rng.uniform(0, 1000)
        self.skew = rng.uniform(-0.2, 0.2)
        self.is_paused = False
        self.queued_inputs: list[Callable[[], None]] = []
        self.highest_revision = 0

    def clock(self, time: float) -> float:
        """Returns the monotonic clock of this process at a world time."""
        return self.offset + time * self.rate

    def wall(self, time: float) -> float:
        """Returns the UTC clock of this process at a world time."""
        return WALL_START + time + self.skew


class World:
    """All processes, the network between them and the table.

    Args:
      seed: Seed of the random generator.
      settings: Settings of the control state.

    Attributes:
      history: All records that the table has held, by revision.
      tokens: Write token of each of those records, by revision.
      cuts: Pairs (sender, receiver) of ids whose messages are lost.
      slow_links: Additional delay in seconds, by (sender, receiver).
      is_noisy: Whether messages are delayed, reordered and duplicated.
      outcomes: Outcome of each proposed change, by request id.
      accepted: World time at which a process first found each revision
        accepted, by revision.
      observers: Callbacks that run with a process after each of its inputs.
    """

    def __init__(
        self, seed: int, settings: ControlSettings | None = None
    ) -> None:
        self.rng = Random(seed)
        self.settings = settings or ControlSettings()
        self.time = 0.0
        self.processes: dict[str, Process] = {}
        self.history: dict[int, ControlRecord] = {}
        self.tokens: dict[int, str] = {}
        self.faults = TableFaults()
        self.cuts: set[tuple[str, str]] = set()
        self.slow_links: dict[tuple[str, str], float] = {}
        self.is_noisy = False
        self.outcomes: dict[int, ChangeOutcome] = {}
        self.accepted: dict[int, float] = {}
        self.decisions: list[tuple[float, str, Decision]] = []
        self.observers: list[Callable[[Process], None]] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._incarnation = itertools.count(1)

    @property
    def row(self) -> ControlRecord | None:
        """The record that is in the table."""
        return self.history[max(self.history)] if self.history else None

    def next_accepted_at(self, revision: int) -> float:
        """Returns the earliest acceptance of a newer revision."""
        times = [at for r, at in self.accepted.items() if r > revision]
        return min(times, default=math.inf)

    def start(self, member_id: str, zone: str, role: Role) -> Process:
        """Starts a process, replacing an earlier incarnation."""
        old = self.processes.get(member_id)
        if old is not None:
            self.stop(member_id)
        member = Member(
            member_id=member_id,
            incarnation=next(self._incarnation),
            role=role,
            availability_zone=zone,
            address=f"{member_id}:1",
        )
        process = Process(member, self.settings, self.rng)
        self.processes[member_id] = process
        self.schedule(self.rng.uniform(0, TICK_SECONDS), self._ticker(process))
        for other in list(self.processes.values()):
            if other is not process and self._may_connect(process, other):
                self._connect(process, other)
        return process

    def restart(self, member_id: str) -> Process:
        """Replaces a process by a new incarnation without state."""
        old = self.processes[member_id].member
        return self.start(member_id, old.availability_zone, old.role)

    def stop(self, member_id: str) -> None:
        """Ends a process; its peers see the connections close."""
        old = self.processes.pop(member_id)
        for other in list(self.processes.values()):
            if self._may_connect(old, other):
                self._on_closed(other, old.member)

    def pause(self, member_id: str) -> None:
        """Pauses a process; its inputs are queued."""
        self.processes[member_id].is_paused = True

    def resume(self, member_id: str) -> None:
        """Resumes a process and handles its queued inputs."""
        process = self.processes[member_id]
        process.is_paused = False
        queued, process.queued_inputs = process.queued_inputs, []
        for action in queued:
            self._handle_input(process, action)

    def call(
        self,
        process: Process,
        make: Callable[[float, float], list[Effect]],
    ) -> None:
        """Passes an input to a process and applies the effects."""

        def action() -> None:
            now = process.clock(self.time)
            effects = make(now, process.wall(self.time))
            self._apply_effects(process, effects)
            for observer in self.observers:
                observer(process)

        self._handle_input(process, action)

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay in seconds."""
        event = (self.time + delay, next(self._order), action)
        heapq.heappush(self._events, event)

    def run(self, seconds: float) -> None:
        """Advances virtual time, running the scheduled actions."""
        end = self.time + seconds
        while self._events and self._events[0][0] <= end:
            self.time, _, action = heapq.heappop(self._events)
            action()
        self.time = end

    def is_alive(self, process: Process) -> bool:
        """Returns whether this incarnation is running."""
        return self.processes.get(process.member.member_id) is process

    def _handle_input(
        self, process: Process, action: Callable[[], None]
    ) -> None:
        if not self.is_alive(process):
            return
        if process.is_paused:
            process.queued_inputs.append(action)
        else:
            action()

    def _ticker(self, process: Process) -> Callable[[], None]:
        def tick() -> None:
            if not self.is_alive(process):
                return
            self.schedule(TICK_SECONDS, tick)
            if not process.is_paused:
                self.call(process, process.machine.tick)

        return tick

    def _may_connect(self, one: Process, other: Process) -> bool:
        return Role.ENTRY in (one.member.role, other.member.role)

    def _connect(self, one: Process, other: Process) -> None:
        def open_connection() -> None:
            if not (self.is_alive(one) and self.is_alive(other)):
                return
            for at, peer in ((one, other), (other, one)):
                connect = at.machine.on_connected
                self.call(at, functools.partial(connect, peer.member))

        self.schedule(self.rng.uniform(0.01, 0.2), open_connection)

    def _on_closed(self, process: Process, member: Member) -> None:
        disconnect = process.machine.on_disconnected
        self.call(process, functools.partial(disconnect, member))

    def _apply_effects(self, process: Process, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(process, effect.to, effect.message)
            elif isinstance(effect, ReadTable):
                self._read(process, effect)
            elif isinstance(effect, WriteTable):
                self._write(process, effect)
            elif isinstance(effect, ChangeOutcome):
                assert effect.request_id not in self.outcomes
                self.outcomes[effect.request_id] = effect
            elif isinstance(effect, Decision):
                self._record_decision(process, effect)

    def _record_decision(self, process: Process, decision: Decision) -> None:
        member_id = process.member.member_id
        self.decisions.append((self.time, member_id, decision))
        revision = decision.fields.get("revision")
        if decision.event == "accepted" and isinstance(revision, int):
            self.accepted.setdefault(revision, self.time)
        if decision.event == "removed":
            self.schedule(_RESTART_SECONDS, lambda: self._replace(process))
        if decision.event == "departed":
            self.schedule(_RESTART_SECONDS, lambda: self._end(process))

    def _replace(self, process: Process) -> None:
        if self.is_alive(process):
            self.restart(process.member.member_id)

    def _end(self, process: Process) -> None:
        if self.is_alive(process):
            self.stop(process.member.member_id)

    def _send(self, sender: Process, to: str, message: Message) -> None:
        target = self.processes.get(to)
        if target is None or (sender.member.member_id, to) in self.cuts:
            return
        copies = 2 if self.is_noisy and self.rng.random() < 0.1 else 1
        extra = self.slow_links.get((sender.member.member_id, to), 0.0)
        for _ in range(copies):
            self.schedule(
                extra + self._delay(),
                lambda: self._deliver(sender, target, message),
            )

    def _delay(self) -> float:
        if self.is_noisy and self.rng.random() < 0.2:
            return self.rng.uniform(0.01, 0.9)
        return self.rng.uniform(0.0005, 0.003)

    def _deliver(
        self, sender: Process, target: Process, message: Message
    ) -> None:
        pair = (sender.member.member_id, target.member.member_id)
        if pair in self.cuts:
            return
        handle = target.machine.on_message
        self.call(target, functools.partial(handle, sender.member, message))

    def _table_delays(self) -> tuple[float, float]:
        longest = 3.0 if self.faults.is_slow else 0.01
        return self.rng.uniform(0.001, longest), self.rng.uniform(
            0.001, longest
        )

    def _read(self, process: Process, effect: ReadTable) -> None:
        asked_at = process.clock(self.time)
        request_delay, answer_delay = self._table_delays()

        def answer(ok: bool, record: ControlRecord | None, token: str) -> None:
            result = TableReadResult(
                read_id=effect.read_id,
                ok=ok,
                asked_at=asked_at,
                record=record,
                write_token=token,
            )
            on_table = process.machine.on_table
            self.call(process, functools.partial(on_table, result))

        def arrive() -> None:
            if self.faults.blocks(process.member.member_id):
                timeout = _TABLE_TIMEOUT_SECONDS
                self.schedule(timeout, lambda: answer(False, None, ""))
                return
            row = self.row
            token = self.tokens[row.revision] if row is not None else ""
            self.schedule(answer_delay, lambda: answer(True, row, token))

        self.schedule(request_delay, arrive)

    def _write(self, process: Process, effect: WriteTable) -> None:
        request_delay, answer_delay = self._table_delays()

        def answer(kind: str) -> None:
            result = TableWriteResult(write_id=effect.write_id, kind=kind)
            on_table = process.machine.on_table
            self.call(process, functools.partial(on_table, result))

        def arrive() -> None:
            if self.faults.blocks(process.member.member_id):
                return
            kind = self._compare_and_set(effect)
            if self.rng.random() >= self.faults.lost_answers:
                self.schedule(answer_delay, lambda: answer(kind))

        # The state machine ignores all but the first answer. A write may take
        # effect after the answer "unknown".
        self.schedule(request_delay, arrive)
        self.schedule(_TABLE_TIMEOUT_SECONDS, lambda: answer("unknown"))

    def _compare_and_set(self, effect: WriteTable) -> str:
        record = effect.record
        assert isinstance(record, ControlRecord)
        newest = max(self.history, default=0)
        if record.revision != newest + 1:
            return "conflict"
        self.history[record.revision] = record
        self.tokens[record.revision] = effect.write_token
        return "written"
