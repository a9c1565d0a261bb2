"""An agent's account of its executor: what runs, for whom, and its room."""

from __future__ import annotations

import dataclasses

from gypsumline.core.effects import Effect, Send
from gypsumline.core.identity import Member
from gypsumline.core.leases.account import ResourceAccount
from gypsumline.core.leases.contacts import Contacts
from gypsumline.core.leases.effects import (
    Announcement,
    EndedRun,
    HeldRuns,
    OrderAnswer,
    OrderHold,
    OrderStart,
    OrderStop,
)
from gypsumline.core.leases.executor_state import ExecutorState
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
from gypsumline.core.leases.offers import Offers
from gypsumline.core.leases.report_book import ReportBook
from gypsumline.core.leases.resources import Resources
from gypsumline.core.leases.run import ENDS, START_REFUSALS, Run, RunState
from gypsumline.core.leases.run_lines import (
    executor_line,
    lost_line,
    opened_line,
    refusal_line,
    stopping_line,
    token_line,
    zones_line,
)
from gypsumline.core.leases.settings import LeaseSettings
from gypsumline.core.leases.strangers import Strangers
from gypsumline.core.leases.token import FencingToken

# A stop without an answer is sent again after this time, in seconds.
STOP_RETRY_SECONDS = 0.1


class RunTable:
    """Decides what the executor starts and stops; tells the owners.

    Resources are taken from the order until the end is listed, so the executor
    is never given more than it has.
    """

    def __init__(self, me: Member, settings: LeaseSettings, token: int) -> None:
        self._me = me
        self._settings = settings
        self._token = FencingToken(token)
        self._executor: ExecutorState | None = None
        self._is_open = False
        self._runs: dict[str, Run] = {}
        self._account = ResourceAccount()
        self._strangers = Strangers(STOP_RETRY_SECONDS)
        self._contacts = Contacts(settings)
        self._offers = Offers()
        self._reports = ReportBook(self._contacts, self._load)
        self._zones_out = ZonesOut(version=-1, zones=())
        self._is_stopping = False
        self._must_note = False

    @property
    def runs(self) -> dict[str, Run]:
        """All that takes room, by task."""
        return self._runs

    @property
    def token(self) -> int:
        """Newest fencing token."""
        return self._token.value

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs and every end is taken note of."""
        return not (self._runs or self._strangers or self._must_note)

    @property
    def is_settled(self) -> bool:
        """Whether no runs of earlier agents are left."""
        return self._is_open and not self._strangers

    @property
    def is_taking(self) -> bool:
        """Whether starts are taken now."""
        executor = self._executor
        if executor is None or executor.is_gone or self._is_stopping:
            return False
        if executor.announcement.leaving or not self._is_open:
            return False
        return self._me.availability_zone not in self._zones_out.zones

    @property
    def free(self) -> Resources:
        """Resources that no run has."""
        if self._executor is None:
            return Resources()
        return self._executor.announcement.capacity - self._account.used

    def begin_stop(self, now: float) -> list[Effect]:
        """Takes no more starts; what runs goes on."""
        self._is_stopping = True
        return self._reports.tell_all(now)

    # Inputs from owners.

    def on_connected(self, owner: Member, now: float) -> list[Effect]:
        """Takes a new stream to an owner; its claims come first."""
        self._contacts.connect(owner)
        return [self._ping(owner, now)]

    def on_disconnected(self, owner: Member) -> None:
        """Its runs go on until the contact limit."""
        self._contacts.disconnect(owner)

    def on_claims(
        self, owner: Member, message: ClaimRuns, now: float
    ) -> list[Effect]:
        """Settles with an owner which runs it has here."""
        claimed = set(zip(message.tasks, message.attempts, strict=True))
        effects: list[Effect] = []
        for run in list(self._runs.values()):
            same = run.owner.member_id == owner.member_id
            if same and (run.owner != owner or run.name not in claimed):
                effects += self._stop(run, now, "not claimed")
        held = {run.name for run in self._runs.values() if run.owner == owner}
        self._reports.drop(owner)
        for task, attempt in sorted(claimed - held):
            self._reports.add(owner, (task, attempt), RunEnd.LOST)
        return effects + self._flush_reports(now)

    def on_start(
        self, owner: Member, message: StartRuns, now: float
    ) -> list[Effect]:
        """Starts runs, or waits for a sign of life of their owner first."""
        self._contacts.set_wish(owner, message.wish, now)
        if now - message.stamp <= self._settings.contact_limit:
            self._contacts.answer(owner, message.stamp)
            effects = self._start(owner, message, now)
            self._offers.take_answer(owner)
            return effects + self._flush_reports(now)
        if self._contacts.park(owner, message):
            return [self._ping(owner, now)]
        self._contacts.count_orders(owner, len(message.orders))
        for order in message.orders:
            end = RunEnd.NO_CONTACT
            self._reports.add(owner, (order.task, order.attempt), end)
        return self._flush_reports(now)

    def on_pong(
        self, owner: Member, message: ContactPong, now: float
    ) -> list[Effect]:
        """Takes a sign of life; starts what waited for it."""
        self._contacts.answer(owner, message.stamp)
        self._contacts.set_wish(owner, message.wish, now)
        self._offers.take_answer(owner)
        effects: list[Effect] = []
        if self._contacts.is_in_touch(owner, now):
            for parked in self._contacts.unpark(owner):
                effects += self._start(owner, parked, now)
        return effects + self._flush_reports(now)

    def on_stop(
        self, owner: Member, message: StopRuns, now: float
    ) -> list[Effect]:
        """Stops runs of an owner."""
        effects: list[Effect] = []
        names = list(zip(message.tasks, message.attempts, strict=True))
        self._contacts.withdraw(owner, set(names))
        for task, attempt in names:
            run = self._runs.get(task)
            if run is None or run.owner != owner or run.name[1] != attempt:
                self._reports.add(owner, (task, attempt), RunEnd.STOPPED)
            else:
                effects += self._stop(run, now, "owner")
        return effects + self._flush_reports(now)

    def on_zones_out(self, message: ZonesOut, now: float) -> list[Effect]:
        """Takes a newer list of availability zones that are out."""
        if message.version <= self._zones_out.version:
            return []
        changed = message.zones != self._zones_out.zones
        self._zones_out = message
        if not changed:
            return []
        line = zones_line(message)
        return [line, *self._reports.tell_all(now)]

    # Inputs from the executor.

    def on_announcement(
        self, announcement: Announcement, now: float
    ) -> list[Effect]:
        """Takes an executor's heartbeat; late ones of the past are ignored."""
        current = self._executor
        if current is None:
            return self._begin_life(announcement, now)
        known = current.announcement
        if current.life == (announcement.executor, announcement.started_at):
            if announcement.sequence <= known.sequence or current.is_gone:
                return []
            current.update(announcement, now)
            if announcement.leaving != known.leaving:
                line = executor_line("executor_leaving", announcement)
                return [line, *self._reports.tell_all(now)]
            return []
        if announcement.started_at <= known.started_at:
            return [executor_line("announcement_ignored", announcement)]
        return self._begin_life(announcement, now)

    def on_leave(self, executor: str, now: float) -> list[Effect]:
        """Takes the goodbye of an executor; its runs end with their lease."""
        current = self._executor
        if current is None or current.name != executor or current.is_gone:
            return []
        current.is_gone = True
        current.on_unanswered()
        line = executor_line("executor_gone", current.announcement)
        return [line, *self._reports.tell_all(now)]

    def next_hold(self, now: float) -> OrderHold | None:
        """Returns the next request for the list of runs, if one is due."""
        executor = self._executor
        if executor is None or executor.is_gone:
            return None
        if self.is_idle and self._is_open:
            return None
        return executor.hold_order(
            self.token, bool(self._runs), self.is_settled, now
        )

    def on_held(
        self, order: OrderHold, held: HeldRuns, sent_at: float, now: float
    ) -> list[Effect]:
        """Takes the executor's list of runs and ends."""
        executor = self._executor
        if executor is None or executor.name != order.executor:
            return []
        if held.started_at != executor.announcement.started_at:
            announcement = dataclasses.replace(
                executor.announcement,
                started_at=held.started_at,
                sequence=-1,
                clock=held.clock,
            )
            if held.started_at > executor.announcement.started_at:
                return self._begin_life(announcement, now)
            return []
        executor.on_answered()
        executor.set_clock(held.clock, now)
        self._must_note = bool(held.ended)
        effects = self._take_ends(executor, held.ended, now)
        effects += self._take_running(held, sent_at, now)
        if order.token == self._token.value and not self._strangers:
            self._token.on_accepted()
            if not self._is_open:
                self._is_open = True
                effects.append(opened_line(executor.name, self._token.value))
                effects += self._reports.tell_all(now)
        return effects + self._flush_reports(now)

    def on_hold_refused(
        self, order: OrderHold, answer: OrderAnswer, now: float
    ) -> list[Effect]:
        """Takes a request for the list of runs that was not served."""
        executor = self._executor
        if executor is None or executor.name != order.executor:
            return []
        if answer is OrderAnswer.FENCED:
            return self._on_fenced(order.token)
        executor.on_unanswered()
        return []

    def on_start_answer(
        self, order: OrderStart, answer: OrderAnswer, now: float
    ) -> list[Effect]:
        """Takes the executor's answer to a start."""
        run = self._runs.get(order.task)
        if run is None or run.order.attempt != order.attempt:
            return []
        if answer is OrderAnswer.DONE:
            run.started_at = now
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
            return []
        if answer is OrderAnswer.UNANSWERED:
            self._token.advance()
            return self._stop(run, now, "start unanswered")
        if answer is OrderAnswer.FENCED:
            effects = self._on_fenced(order.token)
            if run.state is RunState.STARTING and self.is_taking:
                return [*effects, self._order_start(run, now)]
            return effects + self._never_started(run, RunEnd.NOT_TAKEN, now)
        return self._never_started(run, START_REFUSALS[answer], now)

    def on_stop_answer(
        self, order: OrderStop, answer: OrderAnswer, now: float
    ) -> list[Effect]:
        """Takes the executor's answer to a stop."""
        if answer is OrderAnswer.UNANSWERED:
            self._token.advance()
            return []
        if answer is OrderAnswer.FENCED:
            return self._on_fenced(order.token)
        run = self._runs.get(order.task)
        if run is not None and run.order.attempt == order.attempt:
            run.stopped_at = min(run.stopped_at, now)
        return []

    def tick(self, now: float) -> list[Effect]:
        """Stops what has no owner, repeats stops, pings, ends leases."""
        effects: list[Effect] = []
        executor = self._executor
        if executor is not None and self._runs and executor.has_lapsed(now):
            effects += self._lose_all("lease lapsed")
        for run in list(self._runs.values()):
            effects += self._check(run, now)
        effects += self._stop_strangers(now)
        busy = {run.owner for run in self._runs.values()}
        self._contacts.prune(busy, now)
        for owner in self._contacts.due(busy, now):
            effects.append(self._ping(owner, now))
        return effects + self._flush_reports(now)

    # Runs.

    def _start(
        self, owner: Member, message: StartRuns, now: float
    ) -> list[Effect]:
        self._contacts.count_orders(owner, len(message.orders))
        effects: list[Effect] = []
        for order in message.orders:
            refusal = self._refusal(owner, order, now)
            if refusal is None:
                run = Run(owner, order, message.spec, now)
                self._runs[order.task] = run
                self._account.take(owner, order.resources)
                effects.append(self._order_start(run, now))
            else:
                self._reports.add(owner, (order.task, order.attempt), refusal)
                effects.append(refusal_line(owner, order, refusal, self.free))
        return effects

    def _refusal(
        self, owner: Member, order: RunOrder, now: float
    ) -> RunEnd | None:
        if not self.is_taking or order.task in self._runs:
            return RunEnd.NOT_TAKEN
        if not order.resources.fits(self._room_for(owner, now)):
            return RunEnd.NO_ROOM
        return None

    def _order_start(self, run: Run, now: float) -> OrderStart:
        assert self._executor is not None
        return self._executor.start_order(run, self.token, now)

    def _stop(self, run: Run, now: float, reason: str) -> list[Effect]:
        if run.state is RunState.STOPPING:
            return []
        run.state = RunState.STOPPING
        line = stopping_line(run, reason, self._contacts.age(run.owner, now))
        return [line, *self._order_stop(run, now)]

    def _order_stop(self, run: Run, now: float) -> list[Effect]:
        if self._executor is None:
            return []
        run.stop_sent_at = now
        return [self._executor.stop_order(run.name, self.token)]

    def _check(self, run: Run, now: float) -> list[Effect]:
        if run.state is not RunState.STOPPING:
            if self._contacts.is_in_touch(run.owner, now):
                return []
            return self._stop(run, now, "owner out of contact")
        if run.stopped_at < now or now < run.stop_sent_at + STOP_RETRY_SECONDS:
            return []
        return self._order_stop(run, now)

    def _stop_strangers(self, now: float) -> list[Effect]:
        executor = self._executor
        if executor is None:
            return []
        due = self._strangers.due(now)
        return [executor.stop_order(name, self.token) for name in due]

    def _take_ends(
        self, executor: ExecutorState, ended: tuple[EndedRun, ...], now: float
    ) -> list[Effect]:
        for end in ended:
            if end.number <= executor.noted_end:
                continue
            executor.noted_end = end.number
            run = self._runs.get(end.task)
            if run is not None and run.order.attempt == end.attempt:
                how = ENDS.get(end.how, RunEnd.LOST)
                self._end(run, how, now - run.began_at)
        return []

    def _take_running(
        self, held: HeldRuns, sent_at: float, now: float
    ) -> list[Effect]:
        for run in list(self._runs.values()):
            if run.name in held.running:
                continue
            if run.stopped_at <= sent_at or run.started_at <= sent_at:
                self._end(run, RunEnd.LOST, 0.0)
        known = {run.name for run in self._runs.values()}
        self._strangers.replace(held.running - known)
        if self._strangers:
            self._is_open = False
        return self._stop_strangers(now)

    def _end(self, run: Run, end: RunEnd, run_time: float) -> None:
        del self._runs[run.order.task]
        self._account.give_back(run.owner, run.order.resources)
        self._offers.reopen()
        self._reports.add(run.owner, run.name, end, run_time)

    def _room_for(self, owner: Member, now: float) -> Resources:
        """Returns the room that is not kept for other owners."""
        kept = self._offers.kept_from(owner, now)
        return self.free - Resources(processor=kept) if kept else self.free

    def _never_started(self, run: Run, end: RunEnd, now: float) -> list[Effect]:
        line = refusal_line(run.owner, run.order, end, self.free)
        self._end(run, end, 0.0)
        return [line, *self._flush_reports(now)]

    def _lose_all(self, reason: str) -> list[Effect]:
        lost = len(self._runs)
        for run in list(self._runs.values()):
            self._end(run, RunEnd.LOST, 0.0)
        self._is_open = False
        self._strangers.clear()
        self._must_note = False
        self._token.advance()
        return [lost_line(lost, reason)]

    def _begin_life(
        self, announcement: Announcement, now: float
    ) -> list[Effect]:
        earlier = self._executor
        effects: list[Effect] = []
        # Under the same name an order may have reached the new life before its
        # first heartbeat came, so the list of runs decides what is lost.
        has_same_name = (
            earlier is not None and earlier.name == announcement.executor
        )
        if self._runs and not has_same_name:
            effects += self._lose_all("another executor started")
        self._executor = ExecutorState(announcement, self._settings, now)
        if earlier is not None and has_same_name:
            self._executor.inherit(earlier)
        self._is_open = False
        self._strangers.clear()
        self._must_note = False
        # A late order to the earlier life carries a lower token than this.
        self._token.advance()
        effects.append(executor_line("executor_started", announcement))
        return effects + self._flush_reports(now)

    def _on_fenced(self, token: int) -> list[Effect]:
        if not self._token.on_refused(token):
            return []
        return [token_line(token, self.token)]

    # Messages.

    def _ping(self, owner: Member, now: float) -> Send:
        return self._contacts.ping(owner, self._load(owner, now), now)

    def _load(self, owner: Member, now: float) -> ExecutorLoad:
        executor = self._executor
        if executor is None:
            return ExecutorLoad()
        announcement = executor.announcement
        return ExecutorLoad(
            executor=announcement.executor,
            service=announcement.service,
            capacity=announcement.capacity,
            free=self._room_for(owner, now),
            labels=announcement.labels,
            taking=self.is_taking,
            leaving_in=round(executor.leaving_in(now), 3),
            orders_seen=self._contacts.orders_seen(owner),
            yours=self._account.processor_of(owner),
            owners=len(self._contacts.connected),
            offered=self._offers.is_open(owner, now),
        )

    def _flush_reports(self, now: float) -> list[Effect]:
        """Sends the ends to their owners, and offers room to who waits."""
        asked: list[Member] = []
        if self.is_taking:
            wishes = self._contacts.wishes(now)
            asked = self._offers.make(wishes, self.free.processor, now)
        return self._reports.flush(asked, now)
