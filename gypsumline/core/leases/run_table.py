"""The runs of an agent's executor, their owners and its free capacity."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection, Mapping

from gypsumline.core.effects import Effect, Send
from gypsumline.core.identity import Member
from gypsumline.core.leases.capacity_offers import CapacityOffers
from gypsumline.core.leases.contacts import OwnerContacts
from gypsumline.core.leases.crash_log import CrashLog
from gypsumline.core.leases.effects import (
    Announcement,
    EndedRun,
    HoldReply,
    HoldRequest,
    OrderAnswer,
    OrderStart,
    OrderStop,
)
from gypsumline.core.leases.excluded_zones import ExcludedZones
from gypsumline.core.leases.executor_state import ExecutorState
from gypsumline.core.leases.hold_schedule import (
    RECONCILIATION_PAUSE_SECONDS,
    HoldSchedule,
)
from gypsumline.core.leases.keepers import KeeperList, RequestKeeperList
from gypsumline.core.leases.lock_messages import LockKeys, UnlockKeys
from gypsumline.core.leases.lock_table import LockTable
from gypsumline.core.leases.messages import (
    ClaimRuns,
    ContactPong,
    ExecutorLoad,
    RunEnd,
    RunOrder,
    StartRuns,
    StopRuns,
    ZonesOut,
)
from gypsumline.core.leases.pending_reports import PendingReports
from gypsumline.core.leases.resource_usage import ResourceUsage
from gypsumline.core.leases.resources import NO_RESOURCES, Resources
from gypsumline.core.leases.run import RUN_ENDS, START_REFUSALS, Run, RunState
from gypsumline.core.leases.run_log_lines import (
    executor_line,
    lock_conflict_lines,
    lost_line,
    opened_line,
    refusal_line,
    resized_line,
    stopping_line,
    token_line,
    unanswered_line,
    unconfirmed_stop_line,
    unowned_line,
    zones_line,
)
from gypsumline.core.leases.settings import LeaseSettings
from gypsumline.core.leases.successor import SuccessorProbe
from gypsumline.core.leases.token import FencingToken
from gypsumline.core.leases.unanswered_share import UnansweredShare
from gypsumline.core.leases.unowned_runs import UnownedRuns
from gypsumline.core.retry_budget import RetryBudget

# Interval at which an unconfirmed stop is sent again.
STOP_RETRY_SECONDS = 0.1
# Number of the stop order at which the missing confirmation is logged, once.
UNCONFIRMED_STOP_ORDERS = 4
# Repeated orders for each answered one, and at most at once. An executor that
# leaves 8 of 10 orders unanswered takes four for each; one that answers nothing
# gets few.
REPEATS_PER_ANSWER = 6.0
REPEATS_AT_ONCE = 48.0
# Answers that say nothing about the executor.
_NOT_COUNTED = (OrderAnswer.UNSENT, OrderAnswer.NO_LISTENER)


class RunTable:
    """Decides which runs an executor starts and stops, and reports to owners.

    Resources are reserved from the start order until the executor lists the end
    of the run, so that its capacity is never exceeded.
    """

    def __init__(
        self,
        agent: Member,
        settings: LeaseSettings,
        token: int,
        started_at: float = 0.0,
    ) -> None:
        self._agent = agent
        self._settings = settings
        self._token = FencingToken(token)
        self._executor: ExecutorState | None = None
        # Whether the executor listed its runs, none of them unowned, under the
        # current token.
        self._is_open = False
        self._runs: dict[str, Run] = {}
        self._usage = ResourceUsage()
        self._unowned_runs = UnownedRuns(STOP_RETRY_SECONDS)
        self._contacts = OwnerContacts(settings)
        self._locks = LockTable(settings, started_at)
        self._keepers: KeeperList | None = None
        self._offers = CapacityOffers()
        self._reports = PendingReports(self._contacts, self._load)
        self._crashes = CrashLog(settings)
        self._holds = HoldSchedule(settings)
        self._successor = SuccessorProbe()
        self._unanswered = UnansweredShare()
        self._repeats = RetryBudget(REPEATS_PER_ANSWER, REPEATS_AT_ONCE)
        self._zones = ExcludedZones(settings.zones_age_limit, started_at)
        self._is_stopping = False
        self._has_unacknowledged_ends = False

    @property
    def runs(self) -> dict[str, Run]:
        """Runs that hold resources, by task name."""
        return self._runs

    @property
    def token(self) -> int:
        """Current fencing token."""
        return self._token.value

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs and every end is acknowledged."""
        return not (
            self._runs or self._unowned_runs or self._has_unacknowledged_ends
        )

    @property
    def is_reconciled(self) -> bool:
        """Whether the executor has no runs of earlier agents left."""
        return self._is_open and not self._unowned_runs

    @property
    def is_at_rest(self) -> bool:
        """Whether nothing can lapse, so that only the next pings are due."""
        return not (
            self._runs
            or self._unowned_runs
            or self._contacts.has_capacity_requests
        )

    @property
    def tick_interval(self) -> float:
        """Seconds between the calls of `tick` unless it is at rest."""
        return self._settings.tick_interval

    @property
    def accepts_starts(self) -> bool:
        """Whether new runs are accepted."""
        executor = self._executor
        if executor is None or executor.has_left or self._is_stopping:
            return False
        if executor.announcement.leaving:
            return False
        if executor.is_down or executor.is_silent:
            return False
        if not self._is_open:
            return False
        return self._agent.availability_zone not in self._zones.zones

    @property
    def free(self) -> Resources:
        """Resources that no run holds."""
        if self._executor is None:
            return Resources()
        return self._executor.announcement.capacity - self._usage.used

    @property
    def _keepers_version(self) -> int:
        return 0 if self._keepers is None else self._keepers.version

    @property
    def _needs_hold(self) -> bool:
        executor = self._executor
        if executor is None or executor.has_left:
            return False
        return not (
            self.is_idle and self._is_open and not executor.must_be_asked
        )

    def next_tick_in(self, now: float) -> float:
        """Returns the seconds after which `tick` must be called again."""
        if not self.is_at_rest:
            return self.tick_interval
        return max(self.tick_interval, self._contacts.next_ping_in(now))

    def begin_stop(self, now: float) -> list[Effect]:
        """Accepts no more starts; existing runs continue."""
        self._is_stopping = True
        return self._reports.broadcast(now)

    # Events and messages from owners.

    def on_connected(self, owner: Member, now: float) -> list[Effect]:
        """Handles a new stream to an owner, which sends its claims first."""
        self._contacts.connect(owner)
        self._locks.on_connected(owner, now)
        effects: list[Effect] = [self._ping(owner, now)]
        crashes = self._crashes.recent(now)
        if crashes:
            effects.append(self._reports.crashes_message(owner, crashes, now))
        return effects

    def on_disconnected(self, owner: Member, now: float) -> list[Effect]:
        """Handles a closed stream; its runs continue to the contact limit."""
        self._contacts.disconnect(owner)
        return []

    def on_lock_request(
        self, owner: Member, message: LockKeys, now: float
    ) -> list[Effect]:
        """Grants the locks that no other owner has."""
        answers = self._locks.request(owner, message, now)
        if not answers.keys:
            return []
        effects: list[Effect] = [Send(to=owner.member_id, message=answers)]
        return effects + lock_conflict_lines(owner, message, answers)

    def on_unlock(self, owner: Member, message: UnlockKeys) -> list[Effect]:
        """Removes locks that an owner returns."""
        self._locks.release(owner, message.keys, message.number)
        return []

    def on_entries(self, entries: Mapping[str, int]) -> list[Effect]:
        """Applies the first list of entries, by member id and incarnation."""
        self._locks.expect(entries)
        return []

    def on_keepers(self, keepers: KeeperList, now: float) -> list[Effect]:
        """Applies a list of keepers that was read, unless it is stale."""
        if keepers.version <= self._keepers_version:
            return []
        self._keepers = keepers
        return [self._ping(owner, now) for owner in self._contacts.connected]

    def on_keepers_request(
        self, owner: Member, message: RequestKeeperList, now: float
    ) -> list[Effect]:
        """Sends the newest list of keepers to an owner."""
        if self._keepers is None:
            return []
        return [Send(to=owner.member_id, message=self._keepers)]

    def on_claims(
        self, owner: Member, message: ClaimRuns, now: float
    ) -> list[Effect]:
        """Reconciles the runs here with those that an owner claims."""
        claimed = set(zip(message.tasks, message.attempts, strict=True))
        effects: list[Effect] = []
        for run in list(self._runs.values()):
            is_same_entry = run.owner.member_id == owner.member_id
            if is_same_entry and (
                run.owner != owner or run.name not in claimed
            ):
                effects += self._revoke(run, now, "not claimed")
        held_names = {
            run.name for run in self._runs.values() if run.owner == owner
        }
        self._reports.drop(owner)
        for task, attempt in sorted(claimed - held_names):
            self._reports.add(owner, (task, attempt), RunEnd.LOST)
        return effects + self._flush_reports(now)

    def on_start(
        self, owner: Member, message: StartRuns, now: float
    ) -> list[Effect]:
        """Starts runs, or defers them until their owner answers a ping."""
        self._contacts.set_capacity_request(owner, message.wish, now)
        if now - message.stamp <= self._settings.max_start_stamp_age:
            self._contacts.record_answer(owner, message.stamp, now)
            effects = self._start(owner, message, now)
            self._offers.close_offer(owner)
            return effects + self._flush_reports(now)
        if self._contacts.defer_start(owner, message):
            return [self._ping(owner, now)]
        self._contacts.count_orders(owner, len(message.orders))
        for order in message.orders:
            end = RunEnd.NO_CONTACT
            self._reports.add(owner, (order.task, order.attempt), end)
        return self._flush_reports(now)

    def on_pong(
        self, owner: Member, message: ContactPong, now: float
    ) -> list[Effect]:
        """Handles the answer to a ping and starts the deferred runs."""
        self._contacts.record_answer(owner, message.stamp, now)
        self._contacts.set_capacity_request(owner, message.wish, now)
        self._locks.release(owner, message.unlocked, message.unlocked_number)
        if message.stamp <= now:
            self._zones.record_age(message.stamp, message.zones_age)
        self._offers.close_offer(owner)
        effects: list[Effect] = []
        if self._contacts.confirm(owner):
            # Tells the owner that its answer has been received.
            effects.append(self._ping(owner, now))
        if self._contacts.is_in_contact(owner, now):
            for deferred in self._contacts.take_deferred_starts(owner):
                effects += self._start(owner, deferred, now)
        return effects + self._flush_reports(now)

    def on_stop(
        self, owner: Member, message: StopRuns, now: float
    ) -> list[Effect]:
        """Stops runs of an owner."""
        effects: list[Effect] = []
        names = list(zip(message.tasks, message.attempts, strict=True))
        self._contacts.withdraw_deferred(owner, set(names))
        for task, attempt in names:
            run = self._runs.get(task)
            if run is None or run.owner != owner or run.name[1] != attempt:
                self._reports.add(owner, (task, attempt), RunEnd.STOPPED)
            else:
                effects += self._revoke(run, now, "owner")
        return effects + self._flush_reports(now)

    def on_zones_out(self, message: ZonesOut, now: float) -> list[Effect]:
        """Applies the list of excluded availability zones, unless stale."""
        if not self._zones.apply(message):
            return []
        return [zones_line(message), *self._reports.broadcast(now)]

    def zones_doubtful_in(self, now: float) -> float:
        """Returns the seconds until the zones must be read by the agent."""
        return self._zones.doubtful_in(now)

    # Events and answers from the executor.

    def on_announcement(
        self, announcement: Announcement, now: float
    ) -> list[Effect]:
        """Applies an executor's heartbeat; delayed ones are ignored.

        One in another name does not replace the executor by itself.
        """
        self._holds.end_pause()
        current = self._executor
        if current is None:
            return self._begin_incarnation(announcement, now)
        known = current.announcement
        if announcement.executor != known.executor:
            self._successor.propose(announcement, now)
            return [executor_line("executor_announced", announcement)]
        if current.incarnation == (
            announcement.executor,
            announcement.started_at,
        ):
            if announcement.sequence <= known.sequence or current.has_left:
                return []
            current.update(announcement, now)
            if announcement.leaving != known.leaving:
                line = executor_line("executor_leaving", announcement)
                return [line, *self._reports.broadcast(now)]
            if announcement.capacity != known.capacity:
                return self._on_resized(known, announcement, now)
            return []
        if announcement.started_at <= known.started_at:
            return [executor_line("announcement_ignored", announcement)]
        return self._begin_incarnation(announcement, now)

    def _on_resized(
        self, known: Announcement, announcement: Announcement, now: float
    ) -> list[Effect]:
        """Tells all owners of a changed capacity; runs there go on."""
        self._offers.on_capacity_freed()
        line = resized_line(announcement, known.capacity, self._usage.used)
        return [
            line,
            *self._reports.broadcast(now),
            *self._flush_reports(now),
        ]

    def on_leave(self, executor: str, now: float) -> list[Effect]:
        """Handles an executor's departure; its runs end with their lease."""
        self._successor.withdraw(executor)
        current = self._executor
        if current is None or current.name != executor or current.has_left:
            return []
        current.has_left = True
        current.mark_unresponsive(now)
        line = executor_line("executor_gone", current.announcement)
        return [line, *self._reports.broadcast(now)]

    def hold_due_in(self, now: float) -> float:
        """Returns the seconds until the next hold request; may be infinite."""
        successor_due_in = self._successor.due_in(now)
        if not self._needs_hold:
            return successor_due_in
        due_in = self._holds.due_in(now, self._unanswered.is_lossy(now))
        return min(due_in, successor_due_in)

    def next_hold_request(self, now: float) -> HoldRequest | None:
        """Returns the next hold request, or None if none is needed."""
        if not self._successor.due_in(now):
            number = self._holds.next_number()
            token = self._token.next_value
            return self._successor.open(number, token, now)
        executor = self._executor
        if executor is None or not self._needs_hold:
            return None
        may_renew = bool(self._runs) and self._may_renew_lease(now)
        wait = self._settings.hold_wait if may_renew else STOP_RETRY_SECONDS
        is_lossy = self._unanswered.is_lossy(now)
        if not self._runs or not self.is_reconciled or is_lossy:
            wait = 0.0
        number = self._holds.open(now)
        return executor.hold_request(number, self.token, may_renew, wait, now)

    def on_hold_reply(
        self, request: HoldRequest, reply: HoldReply, sent_at: float, now: float
    ) -> list[Effect]:
        """Reconciles the table with the executor's list of runs and ends."""
        announced = self._successor.close(request.number)
        if announced is not None:
            return self._on_successor_answered(announced, request, reply, now)
        executor = self._executor
        if executor is None or executor.name != request.executor:
            return []
        is_current = self._holds.on_answered(request.number)
        effects = self._record_call(request.executor, OrderAnswer.DONE, now)
        refuted = self._successor.on_present_answered(request.sent_at)
        if refuted is not None:
            effects.append(executor_line("announcement_refuted", refuted))
        if reply.started_at != executor.announcement.started_at:
            # An answer to a request that was sent to an earlier incarnation may
            # come from there.
            if is_current:
                announcement = _at_start(executor.announcement, reply)
                effects += self._begin_incarnation(announcement, now)
            return effects
        if executor.take_list(request, reply):
            effects += self._on_list(executor, request, reply, sent_at, now)
        return effects

    def _on_list(
        self,
        executor: ExecutorState,
        request: HoldRequest,
        reply: HoldReply,
        sent_at: float,
        now: float,
    ) -> list[Effect]:
        """Reconciles the table with the newest list of runs and ends."""
        effects: list[Effect] = []
        is_back = executor.is_down
        executor.mark_responsive(min(now, sent_at + request.wait), now)
        executor.set_clock(reply.clock, now)
        self._has_unacknowledged_ends = bool(reply.ended)
        effects += self._apply_ends(executor, reply.ended, now)
        effects += self._reconcile_running(executor, reply, sent_at, now)
        self._crashes.on_responsive()
        if request.token == self._token.value and not self._unowned_runs:
            self._token.on_accepted()
            if not self._is_open:
                self._is_open = True
                is_back = True
                effects.append(opened_line(executor.name, self._token.value))
        if not self.is_reconciled:
            self._holds.pause(RECONCILIATION_PAUSE_SECONDS, now)
        if is_back and self._is_open:
            effects += self._reports.broadcast(now)
        return effects + self._flush_reports(now)

    def on_hold_failed(
        self, request: HoldRequest, answer: OrderAnswer, now: float
    ) -> list[Effect]:
        """Handles a hold request that was refused or not answered."""
        announced = self._successor.close(request.number)
        if announced is not None:
            return self._on_successor_failed(announced, request, answer, now)
        executor = self._executor
        if executor is None or executor.name != request.executor:
            return []
        share = self._unanswered.value(now)
        effects = self._record_call(request.executor, answer, now)
        if answer is OrderAnswer.FENCED:
            self._holds.on_answered(request.number)
            return effects + self._on_fenced(request.token)
        if answer is OrderAnswer.UNANSWERED:
            if self._holds.on_unanswered(request.number, share, now):
                executor.mark_unresponsive(now)
            else:
                executor.record_silence(now)
            return effects
        if answer is OrderAnswer.NO_LISTENER:
            effects += self._on_no_listener(executor, now)
        else:
            executor.mark_unresponsive(now)
        self._holds.on_failed(request.number, executor.has_crashed, now)
        return effects

    def _on_successor_answered(
        self,
        announced: Announcement,
        request: HoldRequest,
        reply: HoldReply,
        now: float,
    ) -> list[Effect]:
        """Replaces the executor by one that has answered in its own name.

        The answer is its first list of runs, under the token that fences the
        orders before.
        """
        current = self._executor
        if current is not None and current.name == announced.executor:
            return []
        effects = self._begin_incarnation(_at_start(announced, reply), now)
        executor = self._executor
        if executor is not None and executor.take_list(request, reply):
            sent_at = request.sent_at
            effects += self._on_list(executor, request, reply, sent_at, now)
        return effects

    def _on_successor_failed(
        self,
        announced: Announcement,
        request: HoldRequest,
        answer: OrderAnswer,
        now: float,
    ) -> list[Effect]:
        if answer is OrderAnswer.OTHER_EXECUTOR:
            self._successor.withdraw(announced.executor)
            return [executor_line("announcement_refuted", announced)]
        is_refused = answer is OrderAnswer.NO_LISTENER
        self._successor.on_unanswered(announced, is_refused, now)
        if answer is OrderAnswer.FENCED:
            return self._on_fenced(request.token)
        return []

    def on_start_answer(
        self, order: OrderStart, answer: OrderAnswer, now: float
    ) -> list[Effect]:
        """Handles the executor's answer to a start order."""
        effects = self._record_call(order.executor, answer, now)
        return effects + self._on_start_answer(order, answer, now)

    def _on_start_answer(
        self, order: OrderStart, answer: OrderAnswer, now: float
    ) -> list[Effect]:
        run = self._runs.get(order.task)
        if run is None or run.order.attempt != order.attempt:
            return []
        if answer is OrderAnswer.DONE:
            run.open_tries -= 1
            run.confirm_start(now)
            return []
        if answer is OrderAnswer.UNANSWERED:
            return self._on_start_unanswered(run, now)
        run.open_tries -= 1
        if answer is OrderAnswer.UNSENT and self._may_repeat_start(run, now):
            return [self._order_start(run, now)]
        if answer is OrderAnswer.FENCED:
            effects = self._on_fenced(order.token)
            is_wanted = run.state is RunState.STARTING and self.accepts_starts
            # The capacity may have been reduced since the first order.
            if is_wanted and NO_RESOURCES.fits(self.free):
                return [*effects, self._order_start(run, now)]
            return effects + self._end_refused(run, RunEnd.NOT_TAKEN, now)
        effects = self._end_refused(run, START_REFUSALS[answer], now)
        executor = self._executor
        if answer is not OrderAnswer.NO_LISTENER or executor is None:
            return effects
        if executor.name == order.executor:
            effects += self._on_no_listener(executor, now)
        return effects

    def on_stop_answer(
        self, order: OrderStop, answer: OrderAnswer, now: float
    ) -> list[Effect]:
        """Handles the executor's answer to a stop order."""
        effects = self._record_call(order.executor, answer, now)
        if answer is OrderAnswer.UNANSWERED:
            return effects + self._repeat_stop(order, now)
        if answer is OrderAnswer.FENCED:
            return effects + self._on_fenced(order.token)
        run = self._runs.get(order.task)
        is_current = run is not None and run.order.attempt == order.attempt
        # After any other answer the run may still be there.
        if run is not None and is_current and answer is OrderAnswer.DONE:
            run.on_stop_confirmed(now)
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Stops runs without a live owner, retries stops and pings owners."""
        effects: list[Effect] = []
        executor = self._executor
        if (
            executor is not None
            and self._runs
            and executor.has_lease_lapsed(now)
        ):
            self._crashes.on_lapsed(self._runs.values())
            effects += self._lose_all_runs("lease lapsed")
            self._token.advance()
            effects += self._reports.broadcast(now)
        effects += self.check_runs(now)
        effects += self._stop_unowned_runs(now)
        effects += self._report_unanswered_share(now)
        busy = {run.owner for run in self._runs.values()}
        self._contacts.prune(busy, now)
        self._locks.expire(now)
        for owner in self._contacts.owners_to_ping(busy, now):
            effects.append(self._ping(owner, now))
        return effects + self._flush_reports(now)

    def check_runs(self, now: float) -> list[Effect]:
        """Stops runs without a live owner and retries unconfirmed stops.

        Called before each renewal of the lease too, so that after a pause of
        this process no run is prolonged on an earlier contact.
        """
        effects: list[Effect] = []
        for run in list(self._runs.values()):
            effects += self._check_run(run, now)
        return effects

    # Runs.

    def _start(
        self, owner: Member, message: StartRuns, now: float
    ) -> list[Effect]:
        self._contacts.count_orders(owner, len(message.orders))
        effects: list[Effect] = []
        for order in message.orders:
            refusal = self._refusal(owner, order, now)
            if refusal is None:
                run = self._new_run(owner, order, message, now)
                self._runs[order.task] = run
                self._usage.reserve(owner, order.resources)
                effects.append(self._order_start(run, now))
            else:
                self._reports.add(owner, (order.task, order.attempt), refusal)
                present = self._runs.get(order.task)
                line = refusal_line(owner, order, refusal, self.free, present)
                effects.append(line)
        return effects

    def _refusal(
        self, owner: Member, order: RunOrder, now: float
    ) -> RunEnd | None:
        if not self.accepts_starts or order.task in self._runs:
            return RunEnd.NOT_TAKEN
        if not order.resources.fits(self._free_for(owner, now)):
            return RunEnd.NO_ROOM
        return None

    def _new_run(
        self, owner: Member, order: RunOrder, message: StartRuns, now: float
    ) -> Run:
        assert self._executor is not None
        return Run(
            owner=owner,
            order=order,
            spec=message.spec,
            queue=message.queue,
            incarnation=self._executor.incarnation,
            ordered_at=now,
        )

    def _order_start(self, run: Run, now: float) -> OrderStart:
        assert self._executor is not None
        run.open_tries += 1
        may_renew = self._may_renew_lease(now)
        return self._executor.start_order(run, self.token, may_renew, now)

    def _may_renew_lease(self, now: float) -> bool:
        """Returns whether all runs that the lease keeps may go on.

        The lease of an executor covers all its runs. One that must end, and
        whose stop the executor has not confirmed, must not outlast the lease:
        its task may be started elsewhere soon after.
        """
        if self._unowned_runs:
            return False
        return not any(
            run.is_revoked or not self._contacts.is_in_contact(run.owner, now)
            for run in self._runs.values()
            if not run.is_stop_confirmed
        )

    def _revoke(self, run: Run, now: float, reason: str) -> list[Effect]:
        """Stops a run whose owner does not wait for its reported end."""
        run.is_revoked = True
        return self._stop(run, now, reason)

    def _on_start_unanswered(self, run: Run, now: float) -> list[Effect]:
        """Repeats a start, or stops the run, which may be there."""
        run.unanswered_at = now
        if run.state is not RunState.STARTING:
            return []
        if self._may_repeat_start(run, now):
            return [self._order_start(run, now)]
        self._token.advance()
        return self._stop(run, now, "start unanswered")

    def _may_repeat_start(self, run: Run, now: float) -> bool:
        """Returns whether a start may be ordered again under its attempt.

        One incarnation of an executor starts an attempt at most once, whenever
        and how often the order arrives. The next one knows nothing of it.
        """
        executor = self._executor
        return (
            executor is not None
            and run.state is RunState.STARTING
            and run.incarnation == executor.incarnation
            and now < run.ordered_at + self._settings.start_repeat_limit
            and self.accepts_starts
            # The capacity may have been reduced since the first order.
            and NO_RESOURCES.fits(self.free)
            and self._contacts.is_in_contact(run.owner, now)
            and self._repeats.try_spend()
        )

    def _end_refused(self, run: Run, end: RunEnd, now: float) -> list[Effect]:
        """Ends a run whose start was refused, unless another try may run."""
        if run.started_at < math.inf:
            return []
        if run.open_tries:
            return self._stop(run, now, "start refused after an earlier try")
        return self._end_unstarted(run, end, now)

    def _repeat_stop(self, order: OrderStop, now: float) -> list[Effect]:
        """Sends a stop without an answer again, under the current token."""
        run = self._runs.get(order.task)
        if (
            run is None
            or run.order.attempt != order.attempt
            or run.stopped_at < now
            or not self._repeats.try_spend()
        ):
            return []
        return self._order_stop(run, now)

    def _record_call(
        self, executor: str, answer: OrderAnswer, now: float
    ) -> list[Effect]:
        """Records what the end of a call says about the executor.

        Owners are told when it becomes silent or answers again.
        """
        current = self._executor
        if current is None or current.name != executor:
            return []
        if answer in _NOT_COUNTED:
            return []
        is_answered = answer is not OrderAnswer.UNANSWERED
        self._unanswered.record(is_answered, now)
        if is_answered:
            self._repeats.record_request()
            has_changed = current.record_answer(now)
        else:
            has_changed = current.record_unanswered(now)
        return self._reports.broadcast(now) if has_changed else []

    def _report_unanswered_share(self, now: float) -> list[Effect]:
        is_above = self._unanswered.take_change()
        if is_above is None or self._executor is None:
            return []
        share = self._unanswered.value(now)
        return [unanswered_line(self._executor.name, is_above, share)]

    def _stop(self, run: Run, now: float, reason: str) -> list[Effect]:
        if run.state is RunState.STOPPING:
            return []
        run.state = RunState.STOPPING
        run.stopping_since = now
        line = stopping_line(
            run, reason, self._contacts.contact_age(run.owner, now)
        )
        return [line, *self._order_stop(run, now)]

    def _order_stop(self, run: Run, now: float) -> list[Effect]:
        if self._executor is None:
            return []
        run.stop_sent_at = now
        run.stop_orders += 1
        order = self._executor.stop_order(run.name, self.token)
        if run.stop_orders != UNCONFIRMED_STOP_ORDERS:
            return [order]
        return [unconfirmed_stop_line(run, now), order]

    def _check_run(self, run: Run, now: float) -> list[Effect]:
        if run.state is not RunState.STOPPING:
            if self._contacts.is_in_contact(run.owner, now):
                return []
            return self._stop(run, now, "owner out of contact")
        is_due = now >= run.stop_sent_at + STOP_RETRY_SECONDS
        if run.is_stop_confirmed or not is_due:
            return []
        return self._order_stop(run, now)

    def _stop_unowned_runs(self, now: float) -> list[Effect]:
        executor = self._executor
        if executor is None:
            return []
        due = self._unowned_runs.due_stops(now)
        return [executor.stop_order(name, self.token) for name in due]

    def _apply_ends(
        self, executor: ExecutorState, ended: tuple[EndedRun, ...], now: float
    ) -> list[Effect]:
        for end in ended:
            if end.number <= executor.acknowledged_end:
                continue
            executor.acknowledged_end = end.number
            run = self._runs.get(end.task)
            if run is not None and run.order.attempt == end.attempt:
                run_end = RUN_ENDS.get(end.outcome, RunEnd.LOST)
                self._end_run(run, run_end, now - run.ordered_at)
        return []

    def _reconcile_running(
        self,
        executor: ExecutorState,
        reply: HoldReply,
        sent_at: float,
        now: float,
    ) -> list[Effect]:
        lost = [
            run
            for run in self._runs.values()
            if run.name not in reply.running
            and (run.stopped_at <= sent_at or run.started_at <= sent_at)
        ]
        effects = self._on_first_list(executor, lost, now)
        for run in lost:
            self._end_run(run, RunEnd.LOST, 0.0)
        if lost:
            effects.append(lost_line(lost, "not listed"))
        for run in self._runs.values():
            if run.name in reply.running:
                run.on_listed(sent_at, now, self._settings.stop_time)
        known = {run.name for run in self._runs.values()}
        unowned = self._unowned_runs.replace(reply.running - known)
        if unowned:
            effects.append(unowned_line(executor.name, unowned))
        if self._unowned_runs:
            self._is_open = False
        return effects + self._stop_unowned_runs(now)

    def _end_run(self, run: Run, end: RunEnd, run_time: float) -> None:
        del self._runs[run.order.task]
        self._usage.release(run.owner, run.order.resources)
        self._offers.on_capacity_freed()
        self._reports.add(run.owner, run.name, end, run_time)

    def _free_for(self, owner: Member, now: float) -> Resources:
        """Returns free resources that are not offered to other owners."""
        offered = self._offers.offered_to_others(owner, now)
        return (
            self.free - Resources(processor=offered) if offered else self.free
        )

    def _end_unstarted(self, run: Run, end: RunEnd, now: float) -> list[Effect]:
        line = refusal_line(run.owner, run.order, end, self.free)
        self._end_run(run, end, 0.0)
        return [line, *self._flush_reports(now)]

    def _lose_all_runs(self, reason: str) -> list[Effect]:
        lost = list(self._runs.values())
        for run in lost:
            self._end_run(run, RunEnd.LOST, 0.0)
        self._is_open = False
        self._unowned_runs.clear()
        self._has_unacknowledged_ends = False
        return [lost_line(lost, reason)]

    def _on_no_listener(
        self, executor: ExecutorState, now: float
    ) -> list[Effect]:
        """Handles a refused connection, which counts as a crash if repeated.

        The executor may have been cut off and run on, so that its runs end with
        their lease, or with the first list of the next incarnation.
        """
        if executor.has_left or executor.has_crashed:
            return []
        was_down = executor.is_down
        is_gone = executor.record_refusal(now)
        if not is_gone or executor.is_expected_gone(now):
            return [] if was_down else self._reports.broadcast(now)
        runs = list(self._runs.values())
        detected = self._crashes.add(executor, runs, "connection refused", now)
        return [detected, *self._reports.broadcast(now, (detected.crash,))]

    def _on_first_list(
        self, executor: ExecutorState, lost: list[Run], now: float
    ) -> list[Effect]:
        """Handles the first list of an executor that kept its name.

        Runs that are not in it ended with the earlier incarnation.
        """
        earlier, executor.predecessor = executor.predecessor, None
        return [] if earlier is None else self._on_restarted(earlier, lost, now)

    def _on_restarted(
        self, earlier: ExecutorState, runs: Collection[Run], now: float
    ) -> list[Effect]:
        """Tells the owners of a crash that a new incarnation proves."""
        is_known = not runs and not self._crashes.has_lapsed_runs
        if is_known or earlier.is_expected_gone(now):
            return []
        detected = self._crashes.add(earlier, runs, "restarted", now)
        return [detected, *self._reports.broadcast(now, (detected.crash,))]

    def _begin_incarnation(
        self, announcement: Announcement, now: float
    ) -> list[Effect]:
        earlier = self._executor
        effects: list[Effect] = []
        # A restarted executor of the same name may accept an order before its
        # first heartbeat arrives, so its list of runs decides which are lost.
        has_same_name = (
            earlier is not None and earlier.name == announcement.executor
        )
        if earlier is not None and not has_same_name:
            effects += self._on_restarted(earlier, self._runs.values(), now)
        if self._runs and not has_same_name:
            effects += self._lose_all_runs("another executor started")
        self._executor = ExecutorState(announcement, self._settings, now)
        self._successor.clear()
        self._holds.begin_incarnation()
        self._unanswered = UnansweredShare()
        if earlier is not None and has_same_name:
            self._executor.inherit_lease(earlier)
            self._executor.predecessor = earlier
            for run in self._runs.values():
                run.on_new_incarnation()
        self._is_open = False
        self._unowned_runs.clear()
        self._has_unacknowledged_ends = False
        # Fences delayed orders that were meant for the earlier incarnation.
        self._token.advance()
        effects.append(executor_line("executor_started", announcement))
        return effects + self._flush_reports(now)

    def _on_fenced(self, token: int) -> list[Effect]:
        if not self._token.on_refused(token):
            return []
        # Another agent's order has reached the executor and may run there.
        self._is_open = False
        return [token_line(token, self.token)]

    # Messages.

    def _ping(self, owner: Member, now: float) -> Send:
        load = self._load(owner, now)
        return self._contacts.ping(owner, load, self._keepers_version, now)

    def _load(self, owner: Member, now: float) -> ExecutorLoad:
        executor = self._executor
        if executor is None:
            return ExecutorLoad()
        announcement = executor.announcement
        return ExecutorLoad(
            executor=announcement.executor,
            service=announcement.service,
            capacity=announcement.capacity,
            free=self._free_for(owner, now),
            labels=announcement.labels,
            taking=self.accepts_starts,
            leaving_in=round(executor.leaving_in(now), 3),
            orders_seen=self._contacts.orders_seen(owner),
            yours=self._usage.processor_used_by(owner),
            owners=len(self._contacts.connected),
            offered=self._offers.is_pending(owner, now),
            unanswered=round(self._unanswered.value(now), 2),
        )

    def _flush_reports(self, now: float) -> list[Effect]:
        """Sends ends to owners and offers free capacity to waiting ones."""
        offered_to: list[Member] = []
        if self.accepts_starts:
            capacity_requests = self._contacts.capacity_requests(now)
            offered_to = self._offers.make_offers(
                capacity_requests, self.free.processor, now
            )
        return self._reports.flush(offered_to, now)


def _at_start(announcement: Announcement, reply: HoldReply) -> Announcement:
    """Returns an announcement with the start that the executor itself names."""
    if announcement.started_at == reply.started_at:
        return announcement
    return dataclasses.replace(
        announcement,
        started_at=reply.started_at,
        sequence=-1,
        clock=reply.clock,
    )
