"""State machine of an entry for the submissions whose keys it owns."""

from __future__ import annotations

import dataclasses

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.effects import Answer, Effect
from gypsumline.core.identity import Member
from gypsumline.core.message import Message
from gypsumline.core.messages import (
    CancelJob,
    HandOver,
    HandOverAck,
    Inquire,
    JournalReport,
    Submit,
    TaskResults,
    TasksWithdrawn,
    UpstreamState,
)
from gypsumline.core.submissions.deferred_submissions import (
    DeferredSubmission,
    DeferredSubmissions,
)
from gypsumline.core.submissions.hand_over import (
    HandOverSender,
    accept_hand_over,
)
from gypsumline.core.submissions.job import Job
from gypsumline.core.submissions.job_effects import (
    ReplyTarget,
    answer_decision,
    conflict_answer,
    failure_answer,
    recovery_pending_answer,
    unknown_key_answer,
)
from gypsumline.core.submissions.job_recovery import (
    RecoveryVerdict,
    recover_job,
)
from gypsumline.core.submissions.job_runner import JobRunner
from gypsumline.core.submissions.journal_recovery import (
    Completeness,
    JournalRecovery,
)
from gypsumline.core.submissions.kept_answers import KeptAnswers
from gypsumline.core.submissions.owner_settings import OwnerSettings
from gypsumline.core.submissions.ownership import Ownership
from gypsumline.core.submissions.submission_key import key_time
from gypsumline.core.submissions.task_scheduler import TaskScheduler
from gypsumline.core.task import JobAnswer, Outcome, Reason


class SubmissionOwner:
    """Runs the submissions of the keys that this entry owns.

    Each method takes the time as `now` (`CLOCK_BOOTTIME` seconds) and `wall`
    (UTC seconds) and returns the effects that the caller must apply.
    Methods that may answer "not run" also take `fresh`: whether this entry has
    fresh evidence that it knows the newest accepted revision. Without it,
    another entry may already own the key and run the job.
    """

    def __init__(
        self,
        local_member: Member,
        settings: OwnerSettings,
        scheduler: TaskScheduler,
    ) -> None:
        self._local_member = local_member
        self._settings = settings
        self._scheduler = scheduler
        self._ownership = Ownership(local_member)
        self._kept_answers = KeptAnswers(settings)
        self._runner = JobRunner(settings, scheduler, self._kept_answers)
        self._recovery = JournalRecovery(local_member, settings)
        self._hand_over_sender = HandOverSender(local_member, settings)
        self._states: dict[str, UpstreamState] = {}
        self._deferred = DeferredSubmissions()
        self._leaving = False

    def set_record(
        self, record: ControlRecord, ready_at: float, now: float, wall: float
    ) -> list[Effect]:
        """Applies a newer record, or the final `ready_at` of the same record.

        Args:
          record: The control record.
          ready_at: Time from which no earlier owner can start tasks. Each
            revision that removes an owner raises it to the time of its
            acceptance plus `evidence_ttl`; it is inf until the acceptance.
          now: `CLOCK_BOOTTIME` seconds.
          wall: UTC seconds.
        """
        owners_changed = self._ownership.set_record(record, ready_at, now, wall)
        self._recovery.set_revision(record.revision)
        self._runner.set_record(record, now)
        self._deferred.make_all_due(now)
        effects = self._drop_moved_jobs(now) if owners_changed else []
        return (
            effects + self._query_journals(now) + self._runner.place_tasks(now)
        )

    def submit(
        self,
        origin: str,
        message: Submit,
        fresh: bool,
        now: float,
        wall: float,
    ) -> list[Effect]:
        """Runs a job, or attaches the caller to the job of the same key.

        Submitting a key again is idempotent: the caller gets the answer of the
        running or answered job.
        """
        timeout = min(message.body.timeout, self._settings.deadline_max)
        deadline = now + timeout
        effects = self._submit(origin, message, deadline, fresh, now, wall)
        return effects + self._runner.place_tasks(now)

    def inquire(
        self,
        origin: str,
        message: Inquire,
        fresh: bool,
        now: float,
        wall: float,
    ) -> list[Effect]:
        """Answers with a job's state, at once or when the job ends."""
        target = ReplyTarget(origin, message.request_id)
        job_or_answer = self._find_job_or_answer(message.key, fresh)
        if isinstance(job_or_answer, JobAnswer):
            return [target.make_answer(job_or_answer)]
        if message.wait:
            job_or_answer.add_waiter(origin, message.request_id)
            return []
        return [target.make_answer(JobAnswer(outcome=Outcome.RUNNING))]

    def cancel(
        self,
        origin: str,
        message: CancelJob,
        fresh: bool,
        now: float,
        wall: float,
    ) -> list[Effect]:
        """Cancels a job.

        The caller is answered once it is known whether any task started.
        """
        target = ReplyTarget(origin, message.request_id)
        job_or_answer = self._find_job_or_answer(message.key, fresh)
        if isinstance(job_or_answer, JobAnswer):
            if job_or_answer.outcome is Outcome.RUNNING:
                job_or_answer = recovery_pending_answer(
                    self._settings.retry_after
                )
            return [target.make_answer(job_or_answer)]
        job_or_answer.add_waiter(origin, message.request_id)
        effects = self._runner.cancel(job_or_answer, now)
        return effects + self._runner.end_if_cancelled(
            job_or_answer, fresh, now, wall
        )

    def on_agent(
        self, agent: Member, state: UpstreamState, now: float, wall: float
    ) -> list[Effect]:
        """Records the state that a connected agent reports."""
        if not self._runner.is_connected(agent):
            return []
        self._states[agent.member_id] = state
        self._scheduler.observe_agent(agent, state, now)
        return self._runner.place_tasks(now)

    def on_agent_connected(
        self, agent: Member, now: float, wall: float
    ) -> list[Effect]:
        """Resends unanswered task starts and an unanswered journal query."""
        effects = self._runner.on_agent_connected(agent, now, wall)
        if self._runner.is_connected(agent):
            self._recovery.on_agent_connected(agent)
        return effects + self._query_journals(now)

    def on_agent_disconnected(
        self, agent: Member, now: float, wall: float
    ) -> list[Effect]:
        """Places no further tasks at the agent until it reconnects."""
        self._runner.on_agent_disconnected(agent, now)
        return self._runner.place_tasks(now)

    def on_message(
        self,
        sender: Member,
        message: Message,
        now: float,
        wall: float,
        fresh: bool = False,
    ) -> list[Effect]:
        """Handles a message of an agent or of a leaving entry."""
        if isinstance(message, TaskResults):
            return self._on_results(sender, message, fresh, now, wall)
        if isinstance(message, TasksWithdrawn):
            self._runner.on_withdrawn(sender, message, now)
            effects = self._end_if_cancelled(message.key, fresh, now, wall)
            return effects + self._runner.place_tasks(now)
        if isinstance(message, JournalReport):
            if not self._recovery.on_report(sender, message, self._is_known):
                return []
            self._deferred.make_all_due(now)
            effects = self._retry_deferred(fresh, now, wall)
            return effects + self._runner.place_tasks(now)
        if isinstance(message, HandOver):
            return self._on_hand_over(sender, message, now, wall)
        if isinstance(message, HandOverAck):
            self._hand_over_sender.on_ack(sender, message)
        return []

    def tick(
        self, now: float, wall: float, fresh: bool = False
    ) -> list[Effect]:
        """Ends overdue jobs, retries submissions, places tasks, prunes state.

        Without fresh evidence an overdue job that never started is answered
        "outcome unknown" instead of "not run".
        """
        effects = self._runner.tick(fresh, now, wall)
        effects += self._query_journals(now)
        effects += self._retry_deferred(fresh, now, wall)
        self._kept_answers.prune(now)
        self._recovery.prune(now, wall)
        effects += self._hand_over_answers(now)
        return effects + self._runner.place_tasks(now)

    def leave(self, now: float, wall: float) -> list[Effect]:
        """Starts to hand over the kept answers to other entries.

        Jobs whose keys belong to an epoch with this entry still run here until
        the entry is removed from the record, and their answers are handed over
        as they end. Newer keys belong to the next epoch.
        """
        self._leaving = True
        return self._hand_over_answers(now)

    @property
    def is_idle(self) -> bool:
        """Whether no job, deferred submission or hand-over is open."""
        return not self._leaving and not self._is_busy()

    @property
    def open_keys(self) -> list[str]:
        """Keys of the running jobs."""
        return self._runner.running_keys()

    def is_drained(self) -> bool:
        """Whether this entry may be removed from the record."""
        record = self._ownership.record
        if not self._leaving or self._is_busy():
            return False
        return record is None or self._hand_over_sender.is_done(
            self._kept_answers, record
        )

    def _hand_over_answers(self, now: float) -> list[Effect]:
        record = self._ownership.record
        if not self._leaving or record is None:
            return []
        return self._hand_over_sender.send(self._kept_answers, record, now)

    def _is_busy(self) -> bool:
        return bool(self._runner) or bool(self._deferred)

    def _submit(
        self,
        origin: str,
        message: Submit,
        deadline: float,
        fresh: bool,
        now: float,
        wall: float,
    ) -> list[Effect]:
        key = message.key
        target = ReplyTarget(origin, message.request_id)
        refusal = self._check_ownership(key, fresh)
        if refusal is not None:
            return [target.make_answer(refusal)]
        job = self._runner.find_job(key)
        if job is not None:
            if job.digest != message.digest:
                return [target.make_answer(conflict_answer())]
            job.add_waiter(origin, message.request_id)
            return []
        kept = self._kept_answers.find(key)
        if kept is not None:
            answer = kept[1] if kept[0] == message.digest else conflict_answer()
            return [target.make_answer(answer)]
        expired = self._check_key_age(key, wall)
        if expired is not None:
            return [target.make_answer(expired)]
        deferred = DeferredSubmission(origin, message, deadline)
        delay = key_time(key) - wall - self._settings.clock_skew
        if delay > 0:
            self._deferred.add(deferred, now + delay)
            return []
        if self._defer_for_journals(deferred, now):
            return []
        job = Job(key, message.digest, message.body, deadline)
        job.add_waiter(origin, message.request_id)
        if self._ownership.is_new_key(key, self._settings.key_margin):
            return self._admit(job, now, wall)
        return self._recover_job(job, deferred, now, wall)

    def _check_ownership(self, key: str, fresh: bool) -> JobAnswer | None:
        if not self._ownership.owns(key):
            detail = "another entry owns this key"
            return failure_answer(Outcome.UNKNOWN, Reason.NOT_OWNER, detail)
        if not fresh:
            detail = (
                "the key's owner has no fresh evidence that it is the owner"
            )
            return failure_answer(
                Outcome.UNKNOWN,
                Reason.NO_EVIDENCE,
                detail,
                self._settings.retry_after,
            )
        return None

    def _check_key_age(self, key: str, wall: float) -> JobAnswer | None:
        age = wall - key_time(key)
        settings = self._settings
        if -settings.client_clock_skew <= age <= settings.resubmission_horizon:
            return None
        detail = (
            f"the key's time is {age:.1f} s ago; allowed: "
            f"{-settings.client_clock_skew} to {settings.resubmission_horizon}"
        )
        return failure_answer(Outcome.UNKNOWN, Reason.KEY_EXPIRED, detail)

    def _admit(self, job: Job, now: float, wall: float) -> list[Effect]:
        """Admits a new job, or refuses it with a final answer."""
        if self._is_full(job):
            detail = "this owner keeps as many jobs and answers as it may"
            reason, retry_after = Reason.OVERLOAD, self._settings.retry_after
        else:
            admission = self._scheduler.admit(job.body, now)
            if admission.accepted:
                self._runner.add_job(job, now)
                return []
            reason, detail = admission.reason, admission.detail
            retry_after = admission.retry_after
        answer = failure_answer(
            Outcome.FAILED_NOT_RUN, reason, detail, retry_after
        )
        return self._refuse(job, answer, now, wall)

    def _refuse(
        self, job: Job, answer: JobAnswer, now: float, wall: float
    ) -> list[Effect]:
        """Answers a job that has not run.

        The answer "not run" is given only if it can be kept; otherwise a later
        submission of the key could run the job.
        """
        if not self._kept_answers.can_add_refusal:
            detail = "this owner can't keep one more refusal"
            answer = failure_answer(
                Outcome.UNKNOWN,
                Reason.OVERLOAD,
                detail,
                self._settings.retry_after,
            )
        else:
            self._kept_answers.add(job.key, job.digest, answer, now, wall)
        effects: list[Effect] = [
            Answer(origin=origin, request_id=request_id, answer=answer)
            for origin, request_id in job.waiters
        ]
        return [*effects, answer_decision(job.key, answer)]

    def _is_full(self, job: Job) -> bool:
        count = (
            len(self._runner) + len(self._kept_answers) + len(self._deferred)
        )
        size = (
            self._runner.payload_bytes
            + self._kept_answers.result_bytes
            + job.payload_bytes
        )
        settings = self._settings
        return count >= settings.jobs or size > settings.kept_bytes

    def _defer_for_journals(
        self, deferred: DeferredSubmission, now: float
    ) -> bool:
        """Defers a submission until the journals of all agents were read.

        Returns:
          Whether the submission was deferred. It is not if its key is new, the
          journals were read or the time limit for reading them has passed.
        """
        key = deferred.message.key
        if self._ownership.is_new_key(key, self._settings.key_margin):
            return False
        term = self._ownership.term_of(key)
        completeness = self._recovery.completeness(term, key)
        defer_until = term.ready_at + self._settings.recovery_limit
        defer_until = min(defer_until, deferred.deadline)
        if completeness is not Completeness.PENDING or now >= defer_until:
            return False
        self._deferred.add(deferred, defer_until)
        return True

    def _recover_job(
        self, job: Job, deferred: DeferredSubmission, now: float, wall: float
    ) -> list[Effect]:
        """Recovers a job that an earlier owner of its key may have run."""
        term = self._ownership.term_of(job.key)
        completeness = self._recovery.completeness(term, job.key)
        tasks = self._recovery.tasks_of(job.key)
        is_complete = completeness is Completeness.COMPLETE
        verdict, failure = recover_job(job, tasks, is_complete)
        if verdict is RecoveryVerdict.INCOMPLETE:
            answer = self._incomplete_answer(job)
            return [
                Answer(origin=origin, request_id=request_id, answer=answer)
                for origin, request_id in job.waiters
            ]
        if verdict is RecoveryVerdict.CONFLICT:
            target = ReplyTarget(deferred.origin, deferred.message.request_id)
            return [target.make_answer(conflict_answer())]
        self._recovery.remove(job.key)
        if verdict is RecoveryVerdict.NOT_STARTED:
            detail = "the key's earlier owner was lost before any task started"
            answer = failure_answer(
                Outcome.FAILED_NOT_RUN,
                Reason.NO_OWNER,
                detail,
                self._settings.retry_after,
            )
            return self._refuse(job, answer, now, wall)
        self._runner.add_job(job, now)
        if verdict is RecoveryVerdict.COMPLETE:
            return self._runner.end_job(job, job.final_answer(), now, wall)
        if failure is not None:
            detail = f"task {failure.index} failed under an earlier owner"
            reason = failure.reason or Reason.TASK_FAILED
            answer = failure_answer(Outcome.FAILED_RAN, reason, detail)
            return self._runner.end_job(job, answer, now, wall)
        return self._runner.resume(job, now, wall)

    def _incomplete_answer(self, job: Job) -> JobAnswer:
        term = self._ownership.term_of(job.key)
        unread = self._recovery.unread_agents(term)
        detail = (
            "an earlier owner may have run it, and the journals that would "
            f"tell are missing (agents without an answer: {unread})"
        )
        return failure_answer(
            Outcome.UNKNOWN,
            Reason.UPSTREAM_LOST,
            detail,
            self._settings.retry_after,
        )

    def _retry_deferred(
        self, fresh: bool, now: float, wall: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        for item in self._deferred.pop_due(fresh, now):
            effects += self._submit(
                item.origin, item.message, item.deadline, fresh, now, wall
            )
        return effects

    def _query_journals(self, now: float) -> list[Effect]:
        term = self._ownership.newest_term
        if term is None:
            return []
        return self._recovery.query_agents(term, self._runner.connected, now)

    def _drop_moved_jobs(self, now: float) -> list[Effect]:
        """Drops the jobs whose keys this entry no longer owns.

        Their callers get "not owner", so that their entries send the requests
        to the new owner.
        """
        effects: list[Effect] = []
        for key in self._runner.running_keys():
            if self._ownership.owns(key):
                continue
            job = self._runner.find_job(key)
            if job is not None:
                detail = "the key has moved to another entry"
                answer = failure_answer(
                    Outcome.UNKNOWN, Reason.NOT_OWNER, detail
                )
                effects += self._runner.remove_job(job, answer, now)
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
        effects += self._end_if_cancelled(message.key, fresh, now, wall)
        self._observe_load(sender, message, now)
        return effects + self._runner.place_tasks(now)

    def _observe_load(
        self, sender: Member, message: TaskResults, now: float
    ) -> None:
        """Reports the load in a results message to the scheduler.

        Heartbeats arrive only every half second. With them alone, slots that
        tasks of other owners have freed would count as busy for about the run
        time of a task.
        """
        state = self._states.get(sender.member_id)
        if state is None or not self._runner.is_connected(sender):
            return
        state = dataclasses.replace(
            state, free=message.free, queued=message.queued
        )
        self._scheduler.observe_agent(sender, state, now)

    def _end_if_cancelled(
        self, key: str, fresh: bool, now: float, wall: float
    ) -> list[Effect]:
        job = self._runner.find_job(key)
        if job is None or not job.cancelling:
            return []
        return self._runner.end_if_cancelled(job, fresh, now, wall)

    def _on_hand_over(
        self, sender: Member, message: HandOver, now: float, wall: float
    ) -> list[Effect]:
        running = set(self._runner.running_keys())
        return accept_hand_over(
            sender, message, self._kept_answers, running, now, wall
        )

    def _is_known(self, key: str) -> bool:
        return (
            self._runner.find_job(key) is not None or key in self._kept_answers
        )

    def _find_job_or_answer(self, key: str, fresh: bool) -> Job | JobAnswer:
        """Returns the running job of a key, or the answer to give instead."""
        refusal = self._check_ownership(key, fresh)
        if refusal is not None:
            return refusal
        return self._runner.find_job(key) or self._find_answer(key)

    def _find_answer(self, key: str) -> JobAnswer:
        kept = self._kept_answers.find(key)
        if kept is not None:
            return kept[1]
        if self._deferred.has_key(key):
            return JobAnswer(outcome=Outcome.RUNNING)
        return unknown_key_answer()
