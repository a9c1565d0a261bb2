"""Decides task starts at an agent from its slots, queue and journal."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.effects import Decision, Effect, Send, StartTask
from gypsumline.core.identity import Member
from gypsumline.core.message import Message
from gypsumline.core.messages import (
    JournalQuery,
    StartTasks,
    TaskResults,
    TasksWithdrawn,
    UpstreamState,
    WithdrawTasks,
)
from gypsumline.core.slots.journal import Journal, TaskRecord, TaskState
from gypsumline.core.slots.journal_report import build_reports
from gypsumline.core.slots.non_owner_refusals import NonOwnerRefusals
from gypsumline.core.slots.outbox import Outbox
from gypsumline.core.slots.slot_effects import (
    ignored_result_line,
    ignored_start_line,
    make_refused_result,
    refused_start_line,
)
from gypsumline.core.slots.slot_queue import ActiveTask, SlotQueue, TaskPhase
from gypsumline.core.slots.slot_settings import Announcement, SlotSettings
from gypsumline.core.slots.start_rules import StartRules
from gypsumline.core.task import Reason, TaskResult, TaskStatus

# A task that is blocked for one of these reasons stays queued at the agent.
_TRANSIENT_REASONS = (Reason.NO_EVIDENCE, Reason.NOT_OWNER)


class SlotTable:
    """Decides on each task start at one agent.

    A start is checked twice. A `StartTask` effect reserves a slot. Directly
    before it writes the request body, the node calls `may_start`, which checks
    again and records the task as started in the journal. If `may_start`
    refuses, the node calls `tick`, which sends the refusal to the owner.
    """

    def __init__(self, member: Member, settings: SlotSettings) -> None:
        self._member = member
        self._settings = settings
        self._rules = StartRules(member)
        self._journal = Journal(member.incarnation, settings)
        self._outbox = Outbox(settings.results_delay, settings.results_join_age)
        self._tasks = SlotQueue()
        self._log_lines: list[Decision] = []
        self._is_fresh = False
        self._non_owner_refusals = NonOwnerRefusals(settings)
        self._backlogged: set[str] = set()  # ids of entries with waiting tasks
        self._pending_queries: dict[str, tuple[Member, int]] = {}

    @property
    def journal(self) -> Journal:
        """The journal of starts."""
        return self._journal

    def announce(self, announcement: Announcement, now: float) -> list[Effect]:
        """Applies an announcement of the executor."""
        self._rules.upstream = announcement
        return self._return_blocked(now)

    def remove_upstream(self, now: float) -> list[Effect]:
        """Handles the loss of the executor.

        The results of its running tasks are passed to `on_finished`.
        """
        self._rules.upstream = None
        return self._return_blocked(now)

    def set_record(self, record: ControlRecord, now: float) -> list[Effect]:
        """Applies a newer control record and ignores an older one."""
        if not self._rules.set_record(record):
            return []
        for task in self._tasks.all():
            self._update_hold(task)
        return self._return_blocked(now) + self._answer_queries()

    def on_message(
        self,
        sender: Member,
        message: Message,
        fresh: bool,
        now: float,
        wall: float,
    ) -> list[Effect]:
        """Handles a message of an entry."""
        self._is_fresh = fresh
        effects: list[Effect] = []
        if isinstance(message, StartTasks):
            effects += self._start_tasks(sender, message, now)
        elif isinstance(message, WithdrawTasks):
            effects += self._withdraw_tasks(sender, message, now)
        elif isinstance(message, JournalQuery):
            return self._on_journal_query(sender, message)
        return effects + self._collect_effects(now)

    def may_start(
        self, key: str, index: int, fresh: bool, now: float
    ) -> Reason:
        """Decides whether a reserved task may start.

        The node must write the request body in the same event-loop step, so
        that nothing changes between the check and the start.

        Returns:
          `Reason.NONE` if the task may start, which is then recorded in the
          journal; otherwise the reason why it may not.
        """
        self._is_fresh = fresh
        task = self._tasks.find(key, index)
        if task is None or task.phase is not TaskPhase.RESERVED:
            return self._unreserved_reason(key, index)
        reason = self._refusal_reason(task, now)
        if reason is Reason.NONE:
            task.phase = TaskPhase.RUNNING
            self._journal.start(key, index, now)
        elif reason in _TRANSIENT_REASONS:
            self._tasks.hold(task)
            if reason is not Reason.NOT_OWNER:
                self._tasks.enqueue(task)
        else:
            self._return_to_owner(task, reason, now)
        return reason

    def on_finished(
        self, key: str, result: TaskResult, now: float
    ) -> list[Effect]:
        """Handles the executor's result of a started task.

        The status REFUSED means that the executor provably never started the
        task.
        """
        task = self._tasks.find(key, result.index)
        if task is None or task.phase is not TaskPhase.RUNNING:
            return [ignored_result_line(key, result.index)]
        if result.status is TaskStatus.REFUSED:
            self._return_to_owner(task, result.reason, now)
            return self._collect_effects(now)
        self._tasks.remove(task)
        result = self._journal.finish(key, result, now)
        record = self._journal.find_key(key)
        key_done = record is None or record.unfinished == 0
        urgent = key_done or result.status is not TaskStatus.SUCCEEDED
        self._queue_result(task.owner, key, result, urgent, now)
        return self._collect_effects(now)

    def tick(self, fresh: bool, now: float) -> list[Effect]:
        """Starts and refuses queued tasks, and sends results that are due."""
        self._is_fresh = fresh
        self._journal.prune(now)
        self._non_owner_refusals.prune(now)
        return self._return_blocked(now)

    def upstream_state(self) -> UpstreamState:
        """Returns the state that heartbeats report to the entries."""
        upstream = self._rules.upstream
        if upstream is None:
            return UpstreamState(leaving=self._rules.leaving)
        return UpstreamState(
            upstream_id=upstream.upstream_id,
            service=upstream.service,
            kinds=upstream.kinds,
            slots=upstream.slots,
            free=self._free_slots(),
            queued=self._tasks.queued,
            leaving=self._rules.leaving or upstream.leaving,
            healthy=True,
        )

    def leave(self, now: float) -> list[Effect]:
        """Stops all further starts and refuses the queued tasks."""
        self._rules.leaving = True
        return self._return_blocked(now)

    def is_drained(self) -> bool:
        """Whether no task runs or waits and all results have been sent."""
        return not self._tasks and not self._outbox

    def _start_tasks(
        self, sender: Member, message: StartTasks, now: float
    ) -> list[Effect]:
        if message.agent_incarnation != self._member.incarnation:
            return [ignored_start_line(message)]
        if not self._rules.is_owner(sender, message.key):
            return self._refuse_non_owner(sender, message, now)
        if message.backlog:
            self._backlogged.add(sender.member_id)
        else:
            self._backlogged.discard(sender.member_id)
        blocked = self._rules.block_reason(message.service)
        if blocked is Reason.NONE and not self._is_fresh:
            blocked = Reason.NO_EVIDENCE
        for spec, attempt in zip(message.tasks, message.attempts, strict=True):
            task = ActiveTask(
                key=message.key,
                spec=spec,
                service=message.service,
                attempt=attempt,
                deadline=now + message.deadline_left,
                priority=message.priority,
                owner=sender,
            )
            if self._non_owner_refusals.is_refused(
                sender, task.key, spec.index, attempt
            ):
                self._send_refusal(task, Reason.NOT_OWNER, now)
                continue
            known = self._journal.find(message.key, spec.index)
            if known is None or self._may_start_again(known, task, message):
                self._queue_or_refuse(task, message.digest, blocked, now)
            else:
                self._answer_repeated(known, task, now)
        return []

    def _may_start_again(
        self, known: TaskRecord, task: ActiveTask, message: StartTasks
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

    def _queue_or_refuse(
        self, task: ActiveTask, digest: bytes, blocked: Reason, now: float
    ) -> None:
        reason = blocked
        if reason is Reason.NONE:
            reason = self._admission_reason(task, now)
        if reason is not Reason.NONE:
            self._refuse(task, reason, now)
            return
        index = task.spec.index
        self._journal.queue(task.key, digest, index, task.attempt, now)
        self._tasks.add(task)

    def _admission_reason(self, task: ActiveTask, now: float) -> Reason:
        if task.deadline <= now:
            return Reason.DEADLINE
        if not self._rules.accepts_kind(task.spec.kind):
            return Reason.NO_UPSTREAM
        if self._journal.is_full:
            return Reason.JOURNAL_FULL
        upstream = self._rules.upstream
        slots = 0 if upstream is None else upstream.slots
        capacity = self._free_slots() + slots * self._settings.queue_per_slot
        return (
            Reason.QUEUE_FULL if self._tasks.queued >= capacity else Reason.NONE
        )

    def _answer_repeated(
        self, known: TaskRecord, task: ActiveTask, now: float
    ) -> None:
        """Answers a repeated start of a task that is in the journal."""
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
            self._queue_result(task.owner, task.key, result, True, now)
            return
        active = self._tasks.find(task.key, index)
        if active is None:
            return
        active.owner = task.owner
        active.attempt = task.attempt
        active.deadline = task.deadline
        self._update_hold(active)

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
                self._resend_result(sender, message.key, known, now)
                continue
            if known is not None and known.attempt > attempt:
                continue
            if self._journal.withdraw(message.key, index, attempt, now):
                active = self._tasks.find(message.key, index)
                if active is not None:
                    self._tasks.remove(active)
                withdrawn.append((index, attempt))
        reply = TasksWithdrawn(
            key=message.key,
            withdrawn=tuple(index for index, _ in withdrawn),
            started=tuple(started),
            attempts=tuple(attempt for _, attempt in withdrawn),
        )
        return [Send(to=sender.member_id, message=reply)]

    def _resend_result(
        self, sender: Member, key: str, known: TaskRecord, now: float
    ) -> None:
        if known.result is not None:
            self._queue_result(sender, key, known.result, True, now)

    def _refuse_non_owner(
        self, sender: Member, message: StartTasks, now: float
    ) -> list[Effect]:
        """Refuses starts of a sender that doesn't own the key.

        A task that is already in the journal gets no refusal: it may have
        started for this sender while that was the owner, or may still start
        for the new owner.
        """
        refused: list[TaskResult] = []
        for spec, attempt in zip(message.tasks, message.attempts, strict=True):
            index = spec.index
            known = self._journal.find(message.key, index)
            if known is not None and known.state is not TaskState.WITHDRAWN:
                continue
            if self._non_owner_refusals.add(
                sender, message.key, index, attempt, now
            ):
                refused.append(
                    make_refused_result(index, attempt, Reason.NOT_OWNER)
                )
        if not refused:
            return []
        return [
            self._make_results_message(sender.member_id, message.key, refused)
        ]

    def _refuse(self, task: ActiveTask, reason: Reason, now: float) -> None:
        index = task.spec.index
        if self._journal.withdraw(task.key, index, task.attempt, now):
            self._send_refusal(task, reason, now)

    def _send_refusal(
        self, task: ActiveTask, reason: Reason, now: float
    ) -> None:
        result = make_refused_result(task.spec.index, task.attempt, reason)
        self._outbox.add(task.owner.member_id, task.key, result, True, now)

    def _return_to_owner(
        self, task: ActiveTask, reason: Reason, now: float
    ) -> None:
        """Returns a queued or provably unstarted task to its owner."""
        self._tasks.remove(task)
        self._log_lines.append(
            refused_start_line(task, reason, self._rules.revision)
        )
        self._journal.withdraw(task.key, task.spec.index, task.attempt, now)
        result = make_refused_result(task.spec.index, task.attempt, reason)
        self._queue_result(task.owner, task.key, result, True, now)

    def _queue_result(
        self,
        sender: Member,
        key: str,
        result: TaskResult,
        urgent: bool,
        now: float,
    ) -> None:
        owner = self._rules.owner_of(key) or sender
        self._outbox.add(owner.member_id, key, result, urgent, now)

    def _return_blocked(self, now: float) -> list[Effect]:
        """Refuses queued tasks that can no longer start here."""
        for task in self._tasks.all():
            if task.phase is TaskPhase.RUNNING:
                continue
            reason = self._refusal_reason(task, now)
            if reason is not Reason.NONE and reason not in _TRANSIENT_REASONS:
                self._return_to_owner(task, reason, now)
        return self._collect_effects(now)

    def _collect_effects(self, now: float) -> list[Effect]:
        effects: list[Effect] = list(self._log_lines)
        self._log_lines.clear()
        while self._is_fresh and self._tasks.queued and self._free_slots() > 0:
            task = self._tasks.reserve_next()
            effects.append(
                StartTask(
                    key=task.key,
                    task=task.spec,
                    attempt=task.attempt,
                    deadline=task.deadline,
                )
            )
        idle = self._free_slots() > 0 and not self._tasks.queued
        flushed = self._backlogged if idle else frozenset()
        for to, key, batch in self._outbox.take_due(flushed, now):
            effects.append(self._make_results_message(to, key, batch.results))
        return effects

    def _make_results_message(
        self, to: str, key: str, results: Iterable[TaskResult]
    ) -> Send:
        message = TaskResults(
            key=key,
            results=tuple(results),
            free=self._free_slots(),
            queued=self._tasks.queued,
        )
        return Send(to=to, message=message)

    def _refusal_reason(self, task: ActiveTask, now: float) -> Reason:
        if task.deadline <= now:
            return Reason.DEADLINE
        blocked = self._rules.block_reason(task.service)
        if blocked is not Reason.NONE:
            return blocked
        if not self._is_fresh:
            return Reason.NO_EVIDENCE
        if not self._rules.is_owner(task.owner, task.key):
            return Reason.NOT_OWNER
        return Reason.NONE

    def _unreserved_reason(self, key: str, index: int) -> Reason:
        known = self._journal.find(key, index)
        if known is None or known.state is TaskState.WITHDRAWN:
            return Reason.WITHDRAWN
        if known.state is TaskState.QUEUED:
            return Reason.NOT_OWNER
        return Reason.SUPERSEDED

    def _update_hold(self, task: ActiveTask) -> None:
        """Holds a task of a former owner and releases one that is owned.

        A held task stays queued in the journal, so that the key's new owner
        finds it there and sends the start again or withdraws it.
        """
        owned = self._rules.is_owner(task.owner, task.key)
        if owned and task.phase is TaskPhase.HELD:
            self._tasks.enqueue(task)
        elif not owned and task.phase in (TaskPhase.QUEUED, TaskPhase.RESERVED):
            self._tasks.hold(task)

    def _free_slots(self) -> int:
        upstream = self._rules.upstream
        slots = 0 if upstream is None else upstream.slots
        return max(slots - self._tasks.occupied, 0)

    def _on_journal_query(
        self, sender: Member, query: JournalQuery
    ) -> list[Effect]:
        known = self._pending_queries.get(sender.member_id)
        if known is None or known[0].incarnation <= sender.incarnation:
            self._pending_queries[sender.member_id] = (sender, query.revision)
        return self._answer_queries()

    def _answer_queries(self) -> list[Effect]:
        effects: list[Effect] = []
        for member_id, (sender, revision) in list(
            self._pending_queries.items()
        ):
            if revision > self._rules.revision:
                continue
            del self._pending_queries[member_id]
            effects += build_reports(
                sender, self._journal, self._rules, self._settings
            )
        return effects
