"""An agent's slots, queue and journal: where a task start is decided."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.effects import Decision, Effect, Send, StartTask
from gypsumline.core.identity import Member
from gypsumline.core.messages import (
    JournalQuery,
    Message,
    StartTasks,
    TaskResults,
    TasksWithdrawn,
    UpstreamState,
    WithdrawTasks,
)
from gypsumline.core.slots.foreign_refusals import ForeignRefusals
from gypsumline.core.slots.journal import Journal, TaskRecord, TaskState
from gypsumline.core.slots.journal_report import build_reports
from gypsumline.core.slots.outbox import Outbox
from gypsumline.core.slots.slot_effects import (
    ignored_result_line,
    ignored_start_line,
    refusal_line,
    refused_task,
)
from gypsumline.core.slots.slot_queue import LiveTask, Place, SlotQueue
from gypsumline.core.slots.slot_settings import Announcement, SlotSettings
from gypsumline.core.slots.start_rules import StartRules
from gypsumline.core.task import Reason, TaskResult, TaskStatus

_MAY_WAIT = (Reason.NO_EVIDENCE, Reason.NOT_OWNER)


class SlotTable:
    """Decides on each start at one agent.

    A start passes two checks: a `StartTask` effect reserves a slot, and the
    shell calls `may_start` directly before it writes the request body. Only
    then the journal says "started". After a refusal by `may_start` the shell
    calls `tick`, which sends the refusal to the owner.
    """

    def __init__(self, me: Member, settings: SlotSettings) -> None:
        self._me = me
        self._settings = settings
        self._rules = StartRules(me)
        self._journal = Journal(me.incarnation, settings)
        self._outbox = Outbox(settings.results_delay, settings.results_join_age)
        self._tasks = SlotQueue()
        self._lines: list[Decision] = []
        self._fresh = False
        self._foreign = ForeignRefusals(settings)
        self._backlogged: set[str] = set()  # entries with waiting tasks
        self._queries: dict[str, tuple[Member, int]] = {}

    @property
    def journal(self) -> Journal:
        """The journal of starts."""
        return self._journal

    def announce(self, announcement: Announcement, now: float) -> list[Effect]:
        """Takes in what the executor says about itself."""
        self._rules.upstream = announcement
        return self._settle(now)

    def remove_upstream(self, now: float) -> list[Effect]:
        """The executor is gone; its running tasks are reported apart."""
        self._rules.upstream = None
        return self._settle(now)

    def set_record(self, record: ControlRecord, now: float) -> list[Effect]:
        """Takes over a newer control record; an older one is ignored."""
        if not self._rules.set_record(record):
            return []
        for task in self._tasks.all():
            self._hold_or_release(task)
        return self._settle(now) + self._answer_queries()

    def on_message(
        self,
        sender: Member,
        message: Message,
        fresh: bool,
        now: float,
        wall: float,
    ) -> list[Effect]:
        """Takes in a message of an entry."""
        self._fresh = fresh
        effects: list[Effect] = []
        if isinstance(message, StartTasks):
            effects += self._start_tasks(sender, message, now)
        elif isinstance(message, WithdrawTasks):
            effects += self._withdraw_tasks(sender, message, now)
        elif isinstance(message, JournalQuery):
            return self._ask(sender, message)
        return effects + self._advance(now)

    def may_start(
        self, key: str, index: int, fresh: bool, now: float
    ) -> Reason:
        """Decides on a start; NONE allows it and journals it as started.

        The shell writes the request body in the same event-loop step.
        """
        self._fresh = fresh
        task = self._tasks.find(key, index)
        if task is None or task.place is not Place.RESERVED:
            return self._no_reservation(key, index)
        reason = self._start_reason(task, now)
        if reason is Reason.NONE:
            task.place = Place.RUNNING
            self._journal.start(key, index, now)
        elif reason in _MAY_WAIT:
            self._tasks.hold(task)
            if reason is not Reason.NOT_OWNER:
                self._tasks.enqueue(task)
        else:
            self._return(task, reason, now)
        return reason

    def on_finished(
        self, key: str, result: TaskResult, now: float
    ) -> list[Effect]:
        """Takes in the executor's result of a started task.

        The status REFUSED means that the executor provably never started it.
        """
        task = self._tasks.find(key, result.index)
        if task is None or task.place is not Place.RUNNING:
            return [ignored_result_line(key, result.index)]
        if result.status is TaskStatus.REFUSED:
            self._return(task, result.reason, now)
            return self._advance(now)
        self._tasks.remove(task)
        result = self._journal.finish(key, result, now)
        record = self._journal.find_key(key)
        key_done = record is None or record.unfinished == 0
        urgent = key_done or result.status is not TaskStatus.SUCCEEDED
        self._report(task.owner, key, result, urgent, now)
        return self._advance(now)

    def tick(self, fresh: bool, now: float) -> list[Effect]:
        """Starts what may start, returns what may not, sends results."""
        self._fresh = fresh
        self._journal.prune(now)
        self._foreign.prune(now)
        return self._settle(now)

    def upstream_state(self) -> UpstreamState:
        """Returns what heartbeats tell the entries."""
        upstream = self._rules.upstream
        if upstream is None:
            return UpstreamState(leaving=self._rules.leaving)
        return UpstreamState(
            upstream_id=upstream.upstream_id,
            service=upstream.service,
            kinds=upstream.kinds,
            slots=upstream.slots,
            free=self._free(),
            queued=self._tasks.queued,
            leaving=self._rules.leaving or upstream.leaving,
            healthy=True,
        )

    def leave(self, now: float) -> list[Effect]:
        """Starts nothing more and returns the queued tasks."""
        self._rules.leaving = True
        return self._settle(now)

    def is_drained(self) -> bool:
        """Whether nothing runs, waits or is yet to be sent."""
        return not self._tasks and not self._outbox

    def _start_tasks(
        self, sender: Member, message: StartTasks, now: float
    ) -> list[Effect]:
        if message.agent_incarnation != self._me.incarnation:
            return [ignored_start_line(message)]
        if not self._rules.is_owner(sender, message.key):
            return self._refuse_foreign(sender, message, now)
        if message.backlog:
            self._backlogged.add(sender.member_id)
        else:
            self._backlogged.discard(sender.member_id)
        blocked = self._rules.block_reason(message.service)
        if blocked is Reason.NONE and not self._fresh:
            blocked = Reason.NO_EVIDENCE
        for spec, attempt in zip(message.tasks, message.attempts, strict=True):
            task = LiveTask(
                key=message.key,
                spec=spec,
                service=message.service,
                attempt=attempt,
                deadline=now + message.deadline_left,
                priority=message.priority,
                owner=sender,
            )
            if self._foreign.covers(sender, task.key, spec.index, attempt):
                self._send_refusal(task, Reason.NOT_OWNER, now)
                continue
            known = self._journal.find(message.key, spec.index)
            if known is None or self._may_start_again(known, task, message):
                self._admit(task, message.digest, blocked, now)
            else:
                self._repeat(known, task, now)
        return []

    def _may_start_again(
        self, known: TaskRecord, task: LiveTask, message: StartTasks
    ) -> bool:
        if task.attempt <= known.attempt:
            return False
        if known.state is TaskState.WITHDRAWN:
            return True
        return (
            message.repeatable
            and known.state is TaskState.FINISHED
            and known.result is not None
            and known.result.status is not TaskStatus.SUCCEEDED
        )

    def _admit(
        self, task: LiveTask, digest: bytes, blocked: Reason, now: float
    ) -> None:
        reason = blocked
        if reason is Reason.NONE:
            reason = self._room_reason(task, now)
        if reason is not Reason.NONE:
            self._refuse(task, reason, now)
            return
        index = task.spec.index
        self._journal.queue(task.key, digest, index, task.attempt, now)
        self._tasks.add(task)

    def _room_reason(self, task: LiveTask, now: float) -> Reason:
        if task.deadline <= now:
            return Reason.DEADLINE
        if not self._rules.takes_kind(task.spec.kind):
            return Reason.NO_UPSTREAM
        if self._journal.is_full:
            return Reason.JOURNAL_FULL
        upstream = self._rules.upstream
        slots = 0 if upstream is None else upstream.slots
        room = self._free() + slots * self._settings.queue_per_slot
        return Reason.QUEUE_FULL if self._tasks.queued >= room else Reason.NONE

    def _repeat(self, known: TaskRecord, task: LiveTask, now: float) -> None:
        """Answers a task that the journal knows."""
        index = task.spec.index
        if task.attempt < known.attempt:
            self._send_refusal(task, Reason.SUPERSEDED, now)
            return
        if known.state is TaskState.WITHDRAWN:
            self._send_refusal(task, Reason.WITHDRAWN, now)
            return
        known.attempt = task.attempt
        if known.result is not None:
            result = dataclasses.replace(known.result, attempt=task.attempt)
            self._report(task.owner, task.key, result, True, now)
            return
        live = self._tasks.find(task.key, index)
        if live is None:
            return
        live.owner = task.owner
        live.attempt = task.attempt
        live.deadline = task.deadline
        self._hold_or_release(live)

    def _withdraw_tasks(
        self, sender: Member, message: WithdrawTasks, now: float
    ) -> list[Effect]:
        if not self._rules.is_owner(sender, message.key):
            return []
        withdrawn: list[tuple[int, int]] = []
        started: list[int] = []
        for index, attempt in zip(
            message.indexes, message.attempts, strict=True
        ):
            known = self._journal.find(message.key, index)
            if known is not None and known.state in (
                TaskState.STARTED,
                TaskState.FINISHED,
            ):
                started.append(index)
                self._report_known(sender, message.key, known, now)
                continue
            if known is not None and known.attempt > attempt:
                continue
            if self._journal.withdraw(message.key, index, attempt, now):
                live = self._tasks.find(message.key, index)
                if live is not None:
                    self._tasks.remove(live)
                withdrawn.append((index, attempt))
        reply = TasksWithdrawn(
            key=message.key,
            withdrawn=tuple(index for index, _ in withdrawn),
            started=tuple(started),
            attempts=tuple(attempt for _, attempt in withdrawn),
        )
        return [Send(to=sender.member_id, message=reply)]

    def _report_known(
        self, sender: Member, key: str, known: TaskRecord, now: float
    ) -> None:
        if known.result is not None:
            self._report(sender, key, known.result, True, now)

    def _refuse_foreign(
        self, sender: Member, message: StartTasks, now: float
    ) -> list[Effect]:
        """Refuses a sender that doesn't own the key.

        A task that a former owner has sent before may have started, or may
        start for the new owner, so its former owner gets no refusal.
        """
        refused: list[TaskResult] = []
        for spec, attempt in zip(message.tasks, message.attempts, strict=True):
            index = spec.index
            known = self._journal.find(message.key, index)
            if known is not None and known.state is not TaskState.WITHDRAWN:
                continue
            if self._foreign.add(sender, message.key, index, attempt, now):
                refused.append(refused_task(index, attempt, Reason.NOT_OWNER))
        if not refused:
            return []
        return [self._results_message(sender.member_id, message.key, refused)]

    def _refuse(self, task: LiveTask, reason: Reason, now: float) -> None:
        index = task.spec.index
        if self._journal.withdraw(task.key, index, task.attempt, now):
            self._send_refusal(task, reason, now)

    def _send_refusal(self, task: LiveTask, reason: Reason, now: float) -> None:
        result = refused_task(task.spec.index, task.attempt, reason)
        self._outbox.add(task.owner.member_id, task.key, result, True, now)

    def _return(self, task: LiveTask, reason: Reason, now: float) -> None:
        """Gives a task back that was queued or provably never started."""
        self._tasks.remove(task)
        self._lines.append(refusal_line(task, reason, self._rules.revision))
        self._journal.withdraw(task.key, task.spec.index, task.attempt, now)
        result = refused_task(task.spec.index, task.attempt, reason)
        self._report(task.owner, task.key, result, True, now)

    def _report(
        self,
        sender: Member,
        key: str,
        result: TaskResult,
        urgent: bool,
        now: float,
    ) -> None:
        owner = self._rules.owner_of(key) or sender
        self._outbox.add(owner.member_id, key, result, urgent, now)

    def _settle(self, now: float) -> list[Effect]:
        """Returns queued tasks that can no longer start here."""
        for task in self._tasks.all():
            if task.place is Place.RUNNING:
                continue
            reason = self._start_reason(task, now)
            if reason is not Reason.NONE and reason not in _MAY_WAIT:
                self._return(task, reason, now)
        return self._advance(now)

    def _advance(self, now: float) -> list[Effect]:
        effects: list[Effect] = list(self._lines)
        self._lines.clear()
        while self._fresh and self._tasks.queued and self._free() > 0:
            task = self._tasks.reserve_next()
            effects.append(
                StartTask(
                    key=task.key,
                    task=task.spec,
                    attempt=task.attempt,
                    deadline=task.deadline,
                )
            )
        idle = self._free() > 0 and not self._tasks.queued
        told = self._backlogged if idle else frozenset()
        for to, key, parcel in self._outbox.take_due(told, now):
            effects.append(self._results_message(to, key, parcel.results))
        return effects

    def _results_message(
        self, to: str, key: str, results: Iterable[TaskResult]
    ) -> Send:
        message = TaskResults(
            key=key,
            results=tuple(results),
            free=self._free(),
            queued=self._tasks.queued,
        )
        return Send(to=to, message=message)

    def _start_reason(self, task: LiveTask, now: float) -> Reason:
        if task.deadline <= now:
            return Reason.DEADLINE
        blocked = self._rules.block_reason(task.service)
        if blocked is not Reason.NONE:
            return blocked
        if not self._fresh:
            return Reason.NO_EVIDENCE
        if not self._rules.is_owner(task.owner, task.key):
            return Reason.NOT_OWNER
        return Reason.NONE

    def _no_reservation(self, key: str, index: int) -> Reason:
        known = self._journal.find(key, index)
        if known is None or known.state is TaskState.WITHDRAWN:
            return Reason.WITHDRAWN
        if known.state is TaskState.QUEUED:
            return Reason.NOT_OWNER
        return Reason.SUPERSEDED

    def _hold_or_release(self, task: LiveTask) -> None:
        """Keeps a task of a former owner from starting.

        It stays queued in the journal, so that the key's new owner finds it
        and sends the start again or withdraws it.
        """
        owned = self._rules.is_owner(task.owner, task.key)
        if owned and task.place is Place.HELD:
            self._tasks.enqueue(task)
        elif not owned and task.place in (Place.QUEUE, Place.RESERVED):
            self._tasks.hold(task)

    def _free(self) -> int:
        upstream = self._rules.upstream
        slots = 0 if upstream is None else upstream.slots
        return max(slots - self._tasks.occupied, 0)

    def _ask(self, sender: Member, query: JournalQuery) -> list[Effect]:
        known = self._queries.get(sender.member_id)
        if known is None or known[0].incarnation <= sender.incarnation:
            self._queries[sender.member_id] = (sender, query.revision)
        return self._answer_queries()

    def _answer_queries(self) -> list[Effect]:
        effects: list[Effect] = []
        for member_id, (sender, revision) in list(self._queries.items()):
            if revision > self._rules.revision:
                continue
            del self._queries[member_id]
            effects += build_reports(
                sender, self._journal, self._rules, self._settings
            )
        return effects
