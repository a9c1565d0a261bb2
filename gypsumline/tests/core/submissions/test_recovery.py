"""Tests of recovery, hand-over and kept answers of the submission owner."""

import dataclasses

import pytest

from gypsumline.core.messages import (
    HandOver,
    JournalEntry,
    JournalQuery,
    JournalReport,
    StartTasks,
    TaskResults,
)
from gypsumline.core.submissions.owner import SubmissionOwner
from gypsumline.core.submissions.owner_settings import OwnerSettings
from gypsumline.core.task import (
    JobAnswer,
    Outcome,
    Reason,
    TaskResult,
    TaskStatus,
)
from gypsumline.tests.core.builders import (
    AGENT,
    ENTRY,
    OTHER_ENTRY,
    WALL,
    key_at,
    make_record,
    make_submit,
    outcomes,
    sent,
)
from gypsumline.tests.core.first_fit import FirstFitScheduler

READY = 100.0
KEY = key_at(WALL + READY - 5)
SUCCESS = TaskResult(index=0, status=TaskStatus.SUCCEEDED, value=b"7")


def make_owner(agents=("g1",), **settings):
    owner = SubmissionOwner(
        ENTRY, OwnerSettings(**settings), FirstFitScheduler()
    )
    record = make_record(revision=5, agents=agents)
    owner.set_record(record, READY, READY - 2, WALL + READY - 2)
    owner.on_agent_connected(AGENT, READY - 2, WALL + READY - 2)
    return owner


def submit(owner, key=KEY, now=READY, **changes):
    message = make_submit(key, **changes)
    return owner.submit("", message, True, now, WALL + now)


def tick(owner, now):
    return owner.tick(now, WALL + now, True)


def report(owner, *entries, now=READY + 0.1, **changes):
    fields = {
        "revision": 5,
        "entries": entries,
        "complete_since": WALL - 1000,
        "last": True,
        "owner_incarnation": ENTRY.incarnation,
    }
    message = JournalReport(**{**fields, **changes})
    return owner.on_message(AGENT, message, now, WALL + now, True)


def entry(index, state, result=None, digest=b"d", attempt=1, **changes):
    return JournalEntry(
        key=KEY,
        index=index,
        state=state,
        attempt=attempt,
        result=result,
        digest=digest,
        **changes,
    )


def test_queries_journals_only_from_ready_at():
    """Guards against a journal that is read too early.

    Before `ready_at` an agent may still start tasks of the earlier owner.
    """
    owner = make_owner()
    assert submit(owner, now=READY - 1) == []
    assert sent(tick(owner, READY - 0.1), JournalQuery) == []
    assert len(sent(tick(owner, READY), JournalQuery)) == 1
    assert sent(tick(owner, READY + 0.1), JournalQuery) == []


def test_recovers_finished_started_and_unstarted_tasks():
    """Guards against a second start of a task of an earlier owner."""
    owner = make_owner()
    submit(owner, count=3)
    tick(owner, READY)
    effects = report(
        owner, entry(0, "finished", SUCCESS), entry(1, "started", attempt=2)
    )
    (start,) = sent(effects, StartTasks)
    assert [task.index for task in start.tasks] == [1]
    assert start.attempts == (2,)
    message = TaskResults(
        key=KEY,
        results=(dataclasses.replace(SUCCESS, index=1, attempt=2),),
        free=1,
        queued=0,
    )
    owner.on_message(AGENT, message, READY + 1, WALL + READY + 1, True)
    job = owner._runner.find_job(KEY)
    assert (job.succeeded_count, job.placed_count, job.is_unplaced(2)) == (
        2,
        0,
        True,
    )


@pytest.mark.parametrize(
    ("entries", "changes", "expected"),
    [
        ((), {}, (Outcome.FAILED_NOT_RUN, Reason.NO_OWNER)),
        (
            (entry(0, "withdrawn"),),
            {},
            (Outcome.FAILED_NOT_RUN, Reason.NO_OWNER),
        ),
        (
            (),
            {"complete_since": WALL + READY - 5.5},
            (Outcome.UNKNOWN, Reason.UPSTREAM_LOST),
        ),
        (
            (entry(0, "started", digest=b"other"),),
            {},
            (Outcome.FAILED_NOT_RUN, Reason.KEY_CONFLICT),
        ),
        (
            (entry(0, "finished"),),
            {},
            (Outcome.FAILED_RAN, Reason.UPSTREAM_LOST),
        ),
    ],
)
def test_recovered_job_is_answered_from_the_journals(
    entries, changes, expected
):
    """Guards against a start of a job that an earlier owner ran or refused.

    Also guards against a wrong "not run" where the journals are incomplete.
    """
    owner = make_owner()
    submit(owner)
    tick(owner, READY)
    effects = report(owner, *entries, **changes)
    assert outcomes(effects) == [expected]
    assert sent(effects, StartTasks) == []


def test_ignores_reports_of_another_incarnation_part_or_revision():
    """Guards against a report that does not cover the keys of this owner.

    An agent reports the keys that the asking entry owns by the agent's record.
    """
    owner = make_owner()
    submit(owner)
    tick(owner, READY)
    assert report(owner, owner_incarnation=ENTRY.incarnation - 1) == []
    assert report(owner, part=1) == []
    assert report(owner, revision=6) == []


def test_unread_journal_gives_unknown_outcome_after_the_limit():
    """Guards against a caller that waits for the journal of a lost agent."""
    owner = make_owner(agents=("g1", "g2"))
    submit(owner)
    tick(owner, READY)
    assert report(owner) == []
    effects = tick(owner, READY + OwnerSettings().recovery_limit)
    assert outcomes(effects) == [(Outcome.UNKNOWN, Reason.UPSTREAM_LOST)]


def test_key_in_the_future_is_deferred():
    """Guards against a key that is admitted long before its own time.

    By the key's time, a later owner would take it for a new key and run the job
    again.
    """
    owner = make_owner()
    key = key_at(WALL + READY + 13)
    assert submit(owner, key, now=READY + 10) == []
    assert owner._runner.find_job(key) is None
    tick(owner, READY + 12.6)
    assert owner._runner.find_job(key) is not None


def test_leaving_owner_hands_over_its_answers():
    """Guards against kept answers that are lost in a planned stop."""
    owner = make_owner()
    record = make_record(revision=6, entries=(ENTRY, OTHER_ENTRY))
    owner.set_record(record, READY, READY, WALL + READY)
    key = next(
        key
        for key in (key_at(WALL + READY + 50, n) for n in range(99))
        if record.owner_of(key) == ENTRY
    )
    owner._kept_answers.add(key, b"d", make_answer(), READY, WALL + READY)
    (message,) = sent(owner.leave(READY + 51, WALL + READY + 51), HandOver)
    assert not owner.is_drained()
    other = SubmissionOwner(OTHER_ENTRY, OwnerSettings(), FirstFitScheduler())
    (ack, _) = other.on_message(ENTRY, message, 0.0, WALL + READY + 51)
    owner.on_message(OTHER_ENTRY, ack.message, READY + 52, WALL + READY + 52)
    assert owner.is_drained()
    next_record = make_record(revision=7, entries=(OTHER_ENTRY,))
    other.set_record(next_record, READY + 55, 0.0, WALL + READY + 52)
    effects = other.submit("", make_submit(key), True, 1.0, WALL + READY + 53)
    assert [e.answer for e in effects] == [make_answer()]


def make_answer():
    return JobAnswer(outcome=Outcome.COMPLETE, results=(SUCCESS,))


@pytest.mark.parametrize(
    ("settings", "expected"),
    [
        ({"jobs": 1}, (Outcome.FAILED_NOT_RUN, Reason.OVERLOAD)),
        ({"jobs": 1, "refusals": 0}, (Outcome.UNKNOWN, Reason.OVERLOAD)),
        ({"kept_bytes": 4}, (Outcome.FAILED_NOT_RUN, Reason.OVERLOAD)),
    ],
)
def test_full_owner_refuses_instead_of_evicting_answers(settings, expected):
    """Guards against an evicted answer, whose key could run again."""
    owner = make_owner(**settings)
    now = READY + 10
    first = key_at(WALL + now, 1)
    owner._kept_answers.add(first, b"d", make_answer(), now, WALL + now)
    effects = submit(owner, key_at(WALL + now, 2), now=now)
    assert outcomes(effects) == [expected]
    assert owner._kept_answers.find(first) is not None


def test_answers_expire_only_after_the_horizon():
    """Guards against an answer that expires while its key may be submitted."""
    owner = make_owner()
    now = READY + 10
    key = key_at(WALL + now)
    owner._kept_answers.add(key, b"d", make_answer(), now, WALL + now)
    tick(owner, now + 120)
    assert owner._kept_answers.find(key) is not None
    tick(owner, now + 123)
    assert owner._kept_answers.find(key) is None
    effects = submit(owner, key, now=now + 123)
    assert outcomes(effects) == [(Outcome.UNKNOWN, Reason.KEY_EXPIRED)]


def test_retries_stay_within_the_budget():
    """Guards against retries that double the load when agents are lost."""
    owner = make_owner(retry_burst=1.0, retry_share=0.0)
    now = READY + 10
    key = key_at(WALL + now)
    submit(owner, key, now=now, count=1, repeatable=True)
    job = owner._runner.find_job(key)
    lost = TaskResult(index=0, status=TaskStatus.UNKNOWN)
    for attempt, expected in ((1, 0), (2, 1)):
        owner._scheduler.remove_job(key, now)
        job.place(0, AGENT)
        result = dataclasses.replace(lost, attempt=attempt)
        message = TaskResults(key=key, results=(result,), free=1, queued=0)
        effects = owner.on_message(AGENT, message, now, WALL + now, True)
        assert len(outcomes(effects)) == expected
