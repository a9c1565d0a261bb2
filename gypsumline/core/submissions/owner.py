"""An entry's decisions on the submissions that it owns."""

from __future__ import annotations

import dataclasses

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.effects import Answer, Effect
from gypsumline.core.identity import Member
from gypsumline.core.messages import (
    CancelJob,
    HandOver,
    HandOverAck,
    Inquire,
    JournalReport,
    Message,
    Submit,
    TaskResults,
    TasksWithdrawn,
    UpstreamState,
)
from gypsumline.core.submissions.adoption import Adoption, adopt
from gypsumline.core.submissions.hand_over import HandOverSender, take_over
from gypsumline.core.submissions.job import Job
from gypsumline.core.submissions.job_effects import (
    Reply,
    answer_line,
    conflict_answer,
    failed,
    too_early_answer,
    unknown_key_answer,
)
from gypsumline.core.submissions.job_runner import JobRunner
from gypsumline.core.submissions.kept_answers import KeptAnswers
from gypsumline.core.submissions.owner_settings import OwnerSettings
from gypsumline.core.submissions.ownership import Ownership
from gypsumline.core.submissions.parked_submissions import (
    Parked,
    ParkedSubmissions,
)
from gypsumline.core.submissions.recovery import Completeness, JournalRecovery
from gypsumline.core.submissions.submission_key import key_time
from gypsumline.core.submissions.task_scheduler import TaskScheduler
from gypsumline.core.task import JobAnswer, Outcome, Reason


class SubmissionOwner:
    """Runs the submissions of the keys that this entry owns.

    Every input that may say "not run" takes `fresh`: whether this entry has
    fresh evidence that it knows the newest accepted revision.
    """

    def __init__(
        self, me: Member, settings: OwnerSettings, scheduler: TaskScheduler
    ) -> None:
        self._me = me
        self._settings = settings
        self._scheduler = scheduler
        self._ownership = Ownership(me)
        self._kept = KeptAnswers(settings)
        self._runner = JobRunner(settings, scheduler, self._kept)
        self._recovery = JournalRecovery(me, settings)
        self._hand_over = HandOverSender(me, settings)
        self._states: dict[str, UpstreamState] = {}
        self._parked = ParkedSubmissions()
        self._leaving = False

    def set_record(
        self, record: ControlRecord, ready_at: float, now: float, wall: float
    ) -> list[Effect]:
        """Takes over a newer record, or the final `ready_at` of this one.

        `ready_at` must be raised by each revision that takes an owner away,
        to its acceptance + `evidence_ttl`, and be inf until then.
        """
        moved = self._ownership.set_record(record, ready_at, now, wall)
        self._recovery.hold(record.revision)
        self._runner.set_record(record, now)
        self._parked.wake_all(now)
        effects = self._drop_moved_jobs(now) if moved else []
        return effects + self._ask_journals(now) + self._runner.place(now)

    def submit(
        self,
        origin: str,
        message: Submit,
        fresh: bool,
        now: float,
        wall: float,
    ) -> list[Effect]:
        """Runs a job, or attaches to the job or answer of its key."""
        timeout = min(message.body.timeout, self._settings.deadline_max)
        give_up_at = now + timeout
        effects = self._submit(origin, message, give_up_at, fresh, now, wall)
        return effects + self._runner.place(now)

    def inquire(
        self,
        origin: str,
        message: Inquire,
        fresh: bool,
        now: float,
        wall: float,
    ) -> list[Effect]:
        """Answers for a key, at once or when its job ends."""
        reply = Reply(origin, message.request_id)
        found = self._find(message.key, fresh)
        if isinstance(found, JobAnswer):
            return [reply.with_answer(found)]
        if message.wait:
            found.attach(origin, message.request_id)
            return []
        return [reply.with_answer(JobAnswer(outcome=Outcome.RUNNING))]

    def cancel(
        self,
        origin: str,
        message: CancelJob,
        fresh: bool,
        now: float,
        wall: float,
    ) -> list[Effect]:
        """Cancels a job; answered when its outcome is proven."""
        reply = Reply(origin, message.request_id)
        found = self._find(message.key, fresh)
        if isinstance(found, JobAnswer):
            if found.outcome is Outcome.RUNNING:
                found = too_early_answer(self._settings.retry_after)
            return [reply.with_answer(found)]
        found.attach(origin, message.request_id)
        effects = self._runner.cancel(found, now)
        return effects + self._runner.settle(found, fresh, now, wall)

    def on_agent(
        self, agent: Member, state: UpstreamState, now: float, wall: float
    ) -> list[Effect]:
        """Takes in the state that a connected agent reports."""
        if not self._runner.is_connected(agent):
            return []
        self._states[agent.member_id] = state
        self._scheduler.observe_agent(agent, state, now)
        return self._runner.place(now)

    def on_agent_connected(
        self, agent: Member, now: float, wall: float
    ) -> list[Effect]:
        """Sends open starts and an open journal query again."""
        effects = self._runner.on_agent_connected(agent, now, wall)
        if self._runner.is_connected(agent):
            self._recovery.on_agent_connected(agent)
        return effects + self._ask_journals(now)

    def on_agent_disconnected(
        self, agent: Member, now: float, wall: float
    ) -> list[Effect]:
        """Places nothing more at the agent until it is back."""
        self._runner.on_agent_disconnected(agent, now)
        return self._runner.place(now)

    def on_message(
        self,
        sender: Member,
        message: Message,
        now: float,
        wall: float,
        fresh: bool = False,
    ) -> list[Effect]:
        """Takes in a message of an agent or of a leaving entry."""
        if isinstance(message, TaskResults):
            return self._on_results(sender, message, fresh, now, wall)
        if isinstance(message, TasksWithdrawn):
            self._runner.on_withdrawn(sender, message, now)
            effects = self._settle(message.key, fresh, now, wall)
            return effects + self._runner.place(now)
        if isinstance(message, JournalReport):
            if not self._recovery.on_report(sender, message, self._knows):
                return []
            self._parked.wake_all(now)
            effects = self._retry_parked(fresh, now, wall)
            return effects + self._runner.place(now)
        if isinstance(message, HandOver):
            return self._on_hand_over(sender, message, now, wall)
        if isinstance(message, HandOverAck):
            self._hand_over.on_ack(sender, message)
        return []

    def tick(
        self, now: float, wall: float, fresh: bool = False
    ) -> list[Effect]:
        """Ends late jobs, retries what waits, places tasks, forgets.

        Without fresh evidence a late job that never started is answered
        "outcome unknown" instead of "not run".
        """
        effects = self._runner.tick(fresh, now, wall)
        effects += self._ask_journals(now)
        effects += self._retry_parked(fresh, now, wall)
        self._kept.prune(now)
        self._recovery.prune(now, wall)
        effects += self._send_answers(now)
        return effects + self._runner.place(now)

    def leave(self, now: float, wall: float) -> list[Effect]:
        """Hands the kept answers over, now and as running jobs end.

        Keys of the epochs that name this entry still run here, until it is
        removed from the record; new keys belong to the next epoch.
        """
        self._leaving = True
        return self._send_answers(now)

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs, waits for a retry or is to be handed over."""
        return not self._leaving and not self._is_busy()

    @property
    def open_keys(self) -> list[str]:
        """Keys of the jobs without an answer."""
        return self._runner.running_keys()

    def is_drained(self) -> bool:
        """Whether this entry may be removed from the record."""
        record = self._ownership.record
        if not self._leaving or self._is_busy():
            return False
        return record is None or self._hand_over.is_done(self._kept, record)

    def _send_answers(self, now: float) -> list[Effect]:
        record = self._ownership.record
        if not self._leaving or record is None:
            return []
        return self._hand_over.send(self._kept, record, now)

    def _is_busy(self) -> bool:
        return bool(self._runner) or bool(self._parked)

    def _submit(
        self,
        origin: str,
        message: Submit,
        give_up_at: float,
        fresh: bool,
        now: float,
        wall: float,
    ) -> list[Effect]:
        key = message.key
        reply = Reply(origin, message.request_id)
        unable = self._unable(key, fresh)
        if unable is not None:
            return [reply.with_answer(unable)]
        job = self._runner.find(key)
        if job is not None:
            if job.digest != message.digest:
                return [reply.with_answer(conflict_answer())]
            job.attach(origin, message.request_id)
            return []
        kept = self._kept.find(key)
        if kept is not None:
            answer = kept[1] if kept[0] == message.digest else conflict_answer()
            return [reply.with_answer(answer)]
        expired = self._expired(key, wall)
        if expired is not None:
            return [reply.with_answer(expired)]
        parked = Parked(origin, message, give_up_at)
        early = key_time(key) - wall - self._settings.clock_skew
        if early > 0:
            self._parked.add(parked, now + early)
            return []
        if self._must_wait(parked, now):
            return []
        job = Job(key, message.digest, message.body, give_up_at)
        job.attach(origin, message.request_id)
        if self._ownership.is_new(key, self._settings.key_margin):
            return self._run(job, now, wall)
        return self._recover(job, parked, now, wall)

    def _unable(self, key: str, fresh: bool) -> JobAnswer | None:
        if not self._ownership.owns(key):
            detail = "another entry owns this key"
            return failed(Outcome.UNKNOWN, Reason.NOT_OWNER, detail)
        if not fresh:
            detail = (
                "the key's owner has no fresh evidence that it is the owner"
            )
            return failed(
                Outcome.UNKNOWN,
                Reason.NO_EVIDENCE,
                detail,
                self._settings.retry_after,
            )
        return None

    def _expired(self, key: str, wall: float) -> JobAnswer | None:
        age = wall - key_time(key)
        settings = self._settings
        if -settings.client_clock_skew <= age <= settings.resubmission_horizon:
            return None
        detail = (
            f"the key's time is {age:.1f} s ago; allowed: "
            f"{-settings.client_clock_skew} to {settings.resubmission_horizon}"
        )
        return failed(Outcome.UNKNOWN, Reason.KEY_EXPIRED, detail)

    def _run(self, job: Job, now: float, wall: float) -> list[Effect]:
        """Admits a new job, or refuses it for good."""
        if self._is_full(job):
            detail = "this owner keeps as many jobs and answers as it may"
            reason, retry_after = Reason.OVERLOAD, self._settings.retry_after
        else:
            admission = self._scheduler.admit(job.body, now)
            if admission.accepted:
                self._runner.add(job, now)
                return []
            reason, detail = admission.reason, admission.detail
            retry_after = admission.retry_after
        answer = failed(Outcome.FAILED_NOT_RUN, reason, detail, retry_after)
        return self._refuse(job, answer, now, wall)

    def _refuse(
        self, job: Job, answer: JobAnswer, now: float, wall: float
    ) -> list[Effect]:
        """Answers a job that has not run; "not run" must be kept to be true."""
        if not self._kept.has_refusal_room:
            detail = "this owner can't keep one more refusal"
            answer = failed(
                Outcome.UNKNOWN,
                Reason.OVERLOAD,
                detail,
                self._settings.retry_after,
            )
        else:
            self._kept.keep(job.key, job.digest, answer, now, wall)
        effects: list[Effect] = [
            Answer(origin=origin, request_id=request_id, answer=answer)
            for origin, request_id in job.waiters
        ]
        return [*effects, answer_line(job.key, answer)]

    def _is_full(self, job: Job) -> bool:
        count = len(self._runner) + len(self._kept) + len(self._parked)
        size = self._runner.size + self._kept.size + job.size
        settings = self._settings
        return count >= settings.jobs or size > settings.kept_bytes

    def _must_wait(self, parked: Parked, now: float) -> bool:
        """Parks a submission whose key the journals have yet to decide on."""
        key = parked.message.key
        if self._ownership.is_new(key, self._settings.key_margin):
            return False
        term = self._ownership.term_of(key)
        state = self._recovery.completeness(term, key)
        limit = term.ready_at + self._settings.recovery_limit
        limit = min(limit, parked.give_up_at)
        if state is not Completeness.PENDING or now >= limit:
            return False
        self._parked.add(parked, limit)
        return True

    def _recover(
        self, job: Job, parked: Parked, now: float, wall: float
    ) -> list[Effect]:
        """Decides by the journals on a key that may have had another owner."""
        term = self._ownership.term_of(job.key)
        state = self._recovery.completeness(term, job.key)
        tasks = self._recovery.tasks_of(job.key)
        complete = state is Completeness.COMPLETE
        verdict, failure = adopt(job, tasks, complete)
        if verdict is Adoption.INCOMPLETE:
            answer = self._incomplete(job)
            return [
                Answer(origin=origin, request_id=request_id, answer=answer)
                for origin, request_id in job.waiters
            ]
        if verdict is Adoption.CONFLICT:
            reply = Reply(parked.origin, parked.message.request_id)
            return [reply.with_answer(conflict_answer())]
        self._recovery.forget(job.key)
        if verdict is Adoption.NOT_STARTED:
            detail = "the key's earlier owner was lost before any task started"
            answer = failed(
                Outcome.FAILED_NOT_RUN,
                Reason.NO_OWNER,
                detail,
                self._settings.retry_after,
            )
            return self._refuse(job, answer, now, wall)
        self._runner.add(job, now)
        if verdict is Adoption.COMPLETE:
            return self._runner.end(job, job.final_answer(), now, wall)
        if failure is not None:
            detail = f"task {failure.index} failed under an earlier owner"
            reason = failure.reason or Reason.TASK_FAILED
            answer = failed(Outcome.FAILED_RAN, reason, detail)
            return self._runner.end(job, answer, now, wall)
        return self._runner.resume(job, now, wall)

    def _incomplete(self, job: Job) -> JobAnswer:
        term = self._ownership.term_of(job.key)
        silent = self._recovery.silent_agents(term)
        detail = (
            "an earlier owner may have run it, and the journals that would "
            f"tell are missing (agents without an answer: {silent})"
        )
        return failed(
            Outcome.UNKNOWN,
            Reason.UPSTREAM_LOST,
            detail,
            self._settings.retry_after,
        )

    def _retry_parked(
        self, fresh: bool, now: float, wall: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        for item in self._parked.take_due(fresh, now):
            effects += self._submit(
                item.origin, item.message, item.give_up_at, fresh, now, wall
            )
        return effects

    def _ask_journals(self, now: float) -> list[Effect]:
        term = self._ownership.newest
        if term is None:
            return []
        return self._recovery.ask(term, self._runner.connected, now)

    def _drop_moved_jobs(self, now: float) -> list[Effect]:
        """Sends the callers of keys that have moved on to the new owner."""
        effects: list[Effect] = []
        for key in self._runner.running_keys():
            if self._ownership.owns(key):
                continue
            job = self._runner.find(key)
            if job is not None:
                detail = "the key has moved to another entry"
                answer = failed(Outcome.UNKNOWN, Reason.NOT_OWNER, detail)
                effects += self._runner.drop(job, answer, now)
        return effects

    def _on_results(
        self,
        sender: Member,
        message: TaskResults,
        fresh: bool,
        now: float,
        wall: float,
    ) -> list[Effect]:
        self._recovery.on_results(sender, message)
        effects = self._runner.on_results(sender, message, now, wall)
        effects += self._settle(message.key, fresh, now, wall)
        self._observe_load(sender, message, now)
        return effects + self._runner.place(now)

    def _observe_load(
        self, sender: Member, message: TaskResults, now: float
    ) -> None:
        """Takes in the load that came with results.

        Heartbeats alone come every half second, so that slots which other
        owners' tasks have left would count as busy for about a task's time.
        """
        state = self._states.get(sender.member_id)
        if state is None or not self._runner.is_connected(sender):
            return
        state = dataclasses.replace(
            state, free=message.free, queued=message.queued
        )
        self._scheduler.observe_agent(sender, state, now)

    def _settle(
        self, key: str, fresh: bool, now: float, wall: float
    ) -> list[Effect]:
        job = self._runner.find(key)
        if job is None or not job.cancelling:
            return []
        return self._runner.settle(job, fresh, now, wall)

    def _on_hand_over(
        self, sender: Member, message: HandOver, now: float, wall: float
    ) -> list[Effect]:
        running = set(self._runner.running_keys())
        return take_over(sender, message, self._kept, running, now, wall)

    def _knows(self, key: str) -> bool:
        return self._runner.find(key) is not None or key in self._kept

    def _find(self, key: str, fresh: bool) -> Job | JobAnswer:
        """Returns a running job, or what is to be answered instead."""
        unable = self._unable(key, fresh)
        if unable is not None:
            return unable
        return self._runner.find(key) or self._find_answer(key)

    def _find_answer(self, key: str) -> JobAnswer:
        kept = self._kept.find(key)
        if kept is not None:
            return kept[1]
        if self._parked.has_key(key):
            return JobAnswer(outcome=Outcome.RUNNING)
        return unknown_key_answer()
