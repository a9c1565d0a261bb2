"""Tests of the submission owner."""

import dataclasses

import pytest

from gypsumline.core.effects import Answer
from gypsumline.core.messages import (
    CancelJob,
    Inquire,
    StartTasks,
    TaskResults,
    TasksWithdrawn,
    UpstreamState,
    WithdrawTasks,
)
from gypsumline.core.submissions.owner import SubmissionOwner
from gypsumline.core.submissions.owner_settings import OwnerSettings
from gypsumline.core.submissions.task_scheduler import Admission
from gypsumline.core.task import Outcome, Reason, TaskResult, TaskStatus
from gypsumline.tests.core.builders import (
    AGENT,
    ENTRY,
    OTHER_ENTRY,
    WALL,
    key_at,
    make_record,
    make_submit,
    sent,
)
from gypsumline.tests.core.first_fit import FirstFitScheduler

KEY = key_at(WALL + 100)
NOW = 100.0
AGENT_STATE = UpstreamState(
    upstream_id="x", service="s", slots=4, free=4, healthy=True
)


class Harness:
    """An owner with one connected agent whose `ready_at` is 0."""

    def __init__(self, **settings):
        self.scheduler = FirstFitScheduler()
        self.owner = SubmissionOwner(
            ENTRY, OwnerSettings(**settings), self.scheduler
        )
        self.owner.set_record(make_record(), 0.0, 0.0, WALL)
        self.owner.on_agent_connected(AGENT, 0.0, WALL)
        self.owner.on_agent(AGENT, AGENT_STATE, 0.0, WALL)

    def submit(self, message, now=NOW, fresh=True):
        return self.owner.submit("", message, fresh, now, WALL + now)

    def deliver(self, message, now=NOW + 1, sender=AGENT):
        return self.owner.on_message(sender, message, now, WALL + now, True)

    def report(self, *results, key=KEY, now=NOW + 1, sender=AGENT):
        message = TaskResults(key=key, results=results, free=1, queued=0)
        return self.deliver(message, now, sender)


def answers(effects):
    return [
        (e.request_id, e.answer.outcome, e.answer.reason)
        for e in effects
        if isinstance(e, Answer)
    ]


def success(index, attempt=1, value=b"1"):
    return TaskResult(
        index=index, status=TaskStatus.SUCCEEDED, value=value, attempt=attempt
    )


def task_result(index, status, reason=Reason.NONE, attempt=1):
    return TaskResult(
        index=index, status=status, reason=reason, attempt=attempt
    )


def test_runs_a_job_and_answers_every_caller_once():
    """Guards against a caller that gets no answer, or only a part of it."""
    harness = Harness()
    (start,) = sent(harness.submit(make_submit(KEY)), StartTasks)
    assert start.attempts == (1, 1)
    assert harness.submit(make_submit(KEY, request_id=2)) == []
    assert answers(harness.report(success(1, value=b"b"))) == []
    effects = harness.report(success(0, value=b"a"))
    assert answers(effects) == [
        (1, Outcome.COMPLETE, Reason.NONE),
        (2, Outcome.COMPLETE, Reason.NONE),
    ]
    values = [r.value for r in effects[0].answer.results]
    assert values == [b"a", b"b"]
    later = harness.submit(make_submit(KEY, request_id=3), NOW + 50)
    assert later[0].answer == effects[0].answer


def test_another_body_under_a_key_is_a_conflict():
    """Guards against a caller that gets the answer to another request."""
    harness = Harness()
    harness.submit(make_submit(KEY))
    effects = harness.submit(make_submit(KEY, digest=b"other", request_id=2))
    assert answers(effects) == [
        (2, Outcome.FAILED_NOT_RUN, Reason.KEY_CONFLICT)
    ]


def test_another_body_after_the_answer_is_a_conflict():
    """Guards against a kept answer that is returned for another body."""
    harness = Harness()
    harness.submit(make_submit(KEY, count=1))
    harness.report(success(0))
    other = make_submit(KEY, count=1, digest=b"other", request_id=2)
    assert answers(harness.submit(other, NOW + 2)) == [
        (2, Outcome.FAILED_NOT_RUN, Reason.KEY_CONFLICT)
    ]


def test_not_owner_or_stale_evidence_is_answered_unknown():
    """Guards against "not run" from an entry that may not own the key."""
    harness = Harness()
    effects = harness.submit(make_submit(KEY), fresh=False)
    assert answers(effects) == [(1, Outcome.UNKNOWN, Reason.NO_EVIDENCE)]
    record = make_record(revision=2, entries=(OTHER_ENTRY,))
    harness.owner.set_record(record, 0.0, 1.0, WALL)
    effects = harness.submit(make_submit(KEY))
    assert answers(effects) == [(1, Outcome.UNKNOWN, Reason.NOT_OWNER)]


def test_refusal_is_kept_for_its_key():
    """Guards against a job that runs after it was answered "not run".

    The same key is submitted again after the overload has ended.
    """
    harness = Harness()
    harness.scheduler.refusal = Admission(
        accepted=False, reason=Reason.OVERLOAD, retry_after=3.0
    )
    first = harness.submit(make_submit(KEY))
    harness.scheduler.refusal = None
    second = harness.submit(make_submit(KEY, request_id=2))
    assert answers(first) == [(1, Outcome.FAILED_NOT_RUN, Reason.OVERLOAD)]
    assert second[0].answer == first[0].answer
    assert second[0].answer.retry_after == 3.0


def test_refused_start_is_placed_again_with_a_higher_attempt():
    """Guards against a new start that the agent takes for a duplicate.

    A delayed result of the refused attempt must be ignored.
    """
    harness = Harness()
    harness.submit(make_submit(KEY, count=1))
    effects = harness.report(
        task_result(0, TaskStatus.REFUSED, Reason.QUEUE_FULL)
    )
    (start,) = sent(effects, StartTasks)
    assert start.attempts == (2,)
    assert answers(harness.report(success(0, attempt=1))) == []
    assert answers(harness.report(success(0, attempt=2))) != []


@pytest.mark.parametrize("status", [TaskStatus.FAILED, TaskStatus.UNKNOWN])
def test_failed_or_unknown_task_fails_the_job(status):
    """Guards against partial answers and against tasks that run in vain."""
    harness = Harness()
    harness.submit(make_submit(KEY))
    effects = harness.report(task_result(0, status, Reason.EXECUTOR_LOST))
    assert answers(effects) == [(1, Outcome.FAILED_RAN, Reason.EXECUTOR_LOST)]
    (withdraw,) = sent(effects, WithdrawTasks)
    assert withdraw.indexes == (1,)


def test_reconnect_sends_the_same_attempt_again():
    """Guards against a start or result that is lost with its connection."""
    harness = Harness()
    harness.submit(make_submit(KEY))
    harness.owner.on_agent_disconnected(AGENT, NOW + 1, WALL)
    effects = harness.owner.on_agent_connected(AGENT, NOW + 2, WALL)
    (start,) = sent(effects, StartTasks)
    assert start.attempts == (1, 1)


@pytest.mark.parametrize("repeatable", [False, True])
def test_new_incarnation_makes_earlier_tasks_unknown(repeatable):
    """Guards against a second run of a request that is not repeatable.

    A task at an earlier incarnation of its agent may have run.
    """
    harness = Harness()
    harness.submit(make_submit(KEY, count=1, repeatable=repeatable))
    newer = dataclasses.replace(AGENT, incarnation=AGENT.incarnation + 1)
    effects = harness.owner.on_agent_connected(newer, NOW + 1, WALL)
    effects += harness.owner.on_agent(newer, AGENT_STATE, NOW + 1, WALL)
    if repeatable:
        assert sent(effects, StartTasks)[0].attempts == (2,)
    else:
        assert answers(effects) == [
            (1, Outcome.FAILED_RAN, Reason.UPSTREAM_LOST)
        ]


def test_unplaced_job_is_answered_at_its_deadline():
    """Guards against an unknown outcome for a job that was never placed."""
    harness = Harness()
    harness.owner.on_agent_disconnected(AGENT, NOW, WALL)
    harness.submit(make_submit(KEY))
    effects = harness.owner.tick(NOW + 10, WALL + NOW + 10, True)
    assert answers(effects) == [(1, Outcome.FAILED_NOT_RUN, Reason.DEADLINE)]


def test_cancel_is_answered_after_agents_confirm_withdrawal():
    """Guards against "not run" while an agent may still start a task."""
    harness = Harness()
    harness.submit(make_submit(KEY))
    cancel = CancelJob(request_id=9, key=KEY)
    effects = harness.owner.cancel("", cancel, True, NOW + 1, WALL + NOW)
    assert answers(effects) == []
    (withdraw,) = sent(effects, WithdrawTasks)
    reply = TasksWithdrawn(
        key=KEY,
        withdrawn=withdraw.indexes,
        started=(),
        attempts=withdraw.attempts,
    )
    assert answers(harness.deliver(reply)) == [
        (1, Outcome.FAILED_NOT_RUN, Reason.CANCELLED),
        (9, Outcome.FAILED_NOT_RUN, Reason.CANCELLED),
    ]


def test_inquire_without_wait_answers_running():
    """Guards against a status request that waits for the end of the job."""
    harness = Harness()
    harness.submit(make_submit(KEY))
    inquire = Inquire(request_id=5, key=KEY, wait=False)
    effects = harness.owner.inquire("", inquire, True, NOW, WALL + NOW)
    assert answers(effects) == [(5, Outcome.RUNNING, Reason.NONE)]


def test_repeatable_request_is_retried_when_its_agent_stays_disconnected():
    """Guards against a request that waits for a lost agent until its deadline.

    The first result of either attempt completes the request, and the newer
    attempt is withdrawn.
    """
    harness = Harness()
    message = make_submit(KEY, count=1, repeatable=True)
    harness.submit(message)
    harness.owner.on_agent_disconnected(AGENT, NOW, WALL)
    other = dataclasses.replace(AGENT, member_id="g2")
    harness.owner.on_agent_connected(other, NOW, WALL)
    assert harness.owner.on_agent(other, AGENT_STATE, NOW + 0.5, WALL) == []
    effects = harness.owner.tick(NOW + 1.0, WALL + NOW, True)
    (start,) = sent(effects, StartTasks)
    assert start.attempts == (2,)
    effects = harness.report(success(0, value=b"first"))
    assert answers(effects) == [(1, Outcome.COMPLETE, Reason.NONE)]
    (withdraw,) = sent(effects, WithdrawTasks)
    assert withdraw.attempts == (2,)


def test_withdrawn_task_is_placed_elsewhere_only_after_confirmation():
    """Guards against a task that starts twice.

    It may have started before the withdrawal arrived, so the owner waits for
    the confirmation of the same agent incarnation.
    """
    harness = Harness()
    harness.submit(make_submit(KEY, count=1))
    harness.scheduler.to_withdraw = [("g1", KEY, (0,))]
    effects = harness.owner.tick(NOW, WALL + NOW, True)
    assert len(sent(effects, WithdrawTasks)) == 1
    assert sent(effects, StartTasks) == []
    reply = TasksWithdrawn(key=KEY, withdrawn=(0,), started=(), attempts=(1,))
    earlier = dataclasses.replace(AGENT, incarnation=1)
    assert harness.deliver(reply, sender=earlier) == []
    (start,) = sent(harness.deliver(reply), StartTasks)
    assert start.attempts == (2,)
    assert sent(harness.deliver(reply), StartTasks) == []


def test_load_in_task_results_reaches_the_scheduler():
    """Guards against slots that count as busy until the next heartbeat."""
    harness = Harness()
    observed = []
    harness.scheduler.observe_agent = lambda agent, state, now: observed.append(
        state
    )
    harness.deliver(TaskResults(key=KEY, results=(), free=3, queued=2))
    assert observed == [dataclasses.replace(AGENT_STATE, free=3, queued=2)]


def test_owner_with_deferred_submission_or_hand_over_is_not_idle():
    """Guards against retries and hand-overs that wait for slow idle ticks."""
    harness = Harness()
    assert harness.owner.is_idle
    harness.submit(make_submit(key_at(WALL + NOW + 2)))
    assert harness.owner.open_keys == []
    assert not harness.owner.is_idle
    leaving = Harness()
    leaving.owner.leave(NOW, WALL + NOW)
    assert not leaving.owner.is_idle
