"""Tests of `KeyLocks`, by the messages of an owner."""

import pytest

from gypsumline.core.leases.effects import JobEnded, JobOutcome
from gypsumline.core.leases.lock_messages import (
    LockAnswers,
    LockKeys,
    LockState,
    UnlockKeys,
)
from gypsumline.core.leases.messages import (
    ContactPing,
    ContactPong,
    RunEnd,
    StartRuns,
)
from gypsumline.tests.core.leases.builders import (
    KEY,
    LEASE,
    agent,
    done,
    handle_ping,
    load,
    owner,
    reports,
    request,
    sends,
)

AGENTS = 4
TASK = f"{KEY}.0.0.0"


def ping(leased, number, now, keeps_locks=True):
    loaded = load(executor=f"x-{number}")
    message = ContactPing(stamp=now, load=loaded, keeps_locks=keeps_locks)
    return handle_ping(leased, agent(number), message, now)


@pytest.fixture(name="leased")
def fixture_leased():
    """An owner that is connected to agents that keep locks."""
    leased = owner()
    for number in range(1, AGENTS + 1):
        leased.on_connected(agent(number), 0.0)
        ping(leased, number, 0.0)
    leased.tick(0.0)
    return leased


def asked(effects):
    """Returns the requests for locks by agent number."""
    return {
        int(to.rpartition("-")[2]): message
        for to, message in sends(effects, LockKeys)
    }


def answer(leased, requests, now, state=LockState.GRANTED):
    """Answers requests for locks; returns the effects."""
    effects = []
    for number, message in requests.items():
        answers = LockAnswers(
            number=message.number,
            keys=message.keys,
            states=(state,) * len(message.keys),
            holders=("entry-2",) * len(message.keys),
        )
        effects += leased.on_lock_answers(agent(number), answers, now)
    return effects


def test_no_run_is_started_before_both_locks_are_granted(leased):
    """Guards against a job that runs at two entries."""
    effects = leased.submit(request(), 0.0)
    assert sends(effects, StartRuns) == []
    first, second = asked(effects).items()
    assert not sends(answer(leased, dict([first]), 0.01), StartRuns)
    assert sends(answer(leased, dict([second]), 0.02), StartRuns)


def test_job_that_another_entry_has_waits_and_may_have_run(leased):
    """Guards against a second run, and against a false "not run"."""
    requests = asked(leased.submit(request(timeout=1.0), 0.0))
    answer(leased, requests, 0.01, LockState.HELD)
    effects = leased.tick(0.05) + leased.tick(0.1)
    assert not sends(effects, StartRuns)
    assert asked(leased.tick(0.15)).keys() == requests.keys()
    (ended,) = [e for e in leased.tick(1.0) if isinstance(e, JobEnded)]
    assert ended.outcome is JobOutcome.EXPIRED


def test_two_owners_never_wait_for_each_other(leased):
    """Guards against entries of which each has one of the two locks."""
    high, low = asked(leased.submit(request(), 0.0)).items()
    answer(leased, dict([low]), 0.01)
    effects = answer(leased, dict([high]), 0.02, LockState.HELD)
    ((to, message),) = sends(effects, UnlockKeys)
    assert (to, message.keys) == (f"agent-{low[0]}", (KEY,))


def test_answer_to_an_earlier_request_grants_nothing(leased):
    """Guards against a lock that was returned before it was granted."""
    earlier = asked(leased.submit(request(), 0.0))
    leased.abandon(KEY, 0.01)
    later = asked(leased.submit(request(), 0.02))
    assert earlier.keys() == later.keys()
    assert not sends(answer(leased, earlier, 0.03), StartRuns)
    assert sends(answer(leased, later, 0.04), StartRuns)


def test_agent_that_does_not_answer_is_passed_over(leased):
    """Guards against jobs that wait for an agent that is paused."""
    first, second = asked(leased.submit(request(), 0.0)).items()
    answer(leased, dict([first]), 0.01)
    effects = []
    for now in (0.03, 0.06, 0.09, 0.12):
        effects += leased.tick(now)
    requests = asked(effects)
    assert len(requests) == 1
    assert not requests.keys() & {first[0], second[0]}
    assert sends(answer(leased, requests, 0.13), StartRuns)


def test_agents_that_have_just_started_are_asked_again_after_a_while(leased):
    """Guards against requests without a pause while all agents restart."""
    effects = leased.submit(request(), 0.0)
    rounds = 0
    while requests := asked(effects):
        effects = answer(leased, requests, 0.01, LockState.UNSURE)
        rounds += 1
        assert rounds <= AGENTS
    for now in (0.04, 0.07, 0.1, 0.13):
        effects += leased.tick(now)
    assert sends(answer(leased, asked(effects), 0.14), StartRuns)


def test_owner_that_was_paused_requests_its_locks_again(leased):
    """Guards against runs under locks that others have been granted."""
    requests = asked(leased.submit(request(), 0.0))
    answer(leased, requests, 0.01)
    now = LEASE.lock_validity + 0.1
    # The next run may start, but others may have been granted the locks.
    failed = reports((TASK, 1, RunEnd.FAILED, 0.1))
    effects = []
    for number in range(1, AGENTS + 1):
        effects += leased.on_reports(agent(number), failed, now)
    assert not sends(effects, StartRuns)
    effects = leased.tick(now)
    assert asked(effects).keys() == requests.keys()
    assert sends(answer(leased, asked(effects), now + 0.01), StartRuns)


def test_locks_of_a_lost_agent_move_to_the_next_one(leased):
    """Guards against jobs whose locks nobody knows after a restart."""
    requests = asked(leased.submit(request(), 0.0))
    answer(leased, requests, 0.01)
    lost = min(requests)
    (moved,) = asked(leased.on_disconnected(agent(lost), 0.1)).items()
    assert moved[0] not in requests
    assert moved[1].keys == (KEY,)
    assert moved[1].is_complete
    # It ranks higher than the one that took its place.
    leased.on_connected(agent(lost, incarnation=2), 0.2)
    message = ContactPing(stamp=0.2, load=load(), keeps_locks=True)
    effects = leased.on_ping(agent(lost, incarnation=2), message, 0.2)
    assert asked(effects)[lost].keys == (KEY,)


def test_owner_that_reaches_one_agent_of_several_starts_nothing(leased):
    """Guards against two entries that have no agent in common."""
    now = 10.0
    ping(leased, 1, now)
    effects = leased.submit(request(), now)
    effects += answer(leased, asked(effects), now + 0.01)
    assert not sends(effects, StartRuns)


def test_locks_are_returned_when_the_last_run_has_ended(leased):
    """Guards against a second run beside one that is still being stopped."""
    answer(leased, asked(leased.submit(request(), 0.0)), 0.01)
    effects = leased.abandon(KEY, 0.1)
    assert sends(effects, UnlockKeys) == []
    stopped = reports((TASK, 1, RunEnd.STOPPED, 0.1))
    effects = []
    for number in range(1, AGENTS + 1):
        effects += leased.on_reports(agent(number), stopped, 0.2)
    assert len(sends(effects, UnlockKeys)) == 2


def test_locks_of_a_completed_job_are_returned_with_pongs(leased):
    """Guards against messages of their own for each completed job."""
    requests = asked(leased.submit(request(), 0.0))
    answer(leased, requests, 0.01)
    effects = []
    for number in range(1, AGENTS + 1):
        effects += leased.on_reports(agent(number), reports(done(TASK)), 0.2)
    assert any(isinstance(effect, JobEnded) for effect in effects)
    assert sends(effects, UnlockKeys) == []
    for number in requests:
        ((_, pong),) = sends(ping(leased, number, 0.3), ContactPong)
        assert pong.unlocked == (KEY,)


def test_agents_of_earlier_releases_keep_no_locks():
    """Guards against a stream that an unknown message ends."""
    leased = owner()
    leased.on_connected(agent(1), 0.0)
    ping(leased, 1, 0.0, keeps_locks=False)
    effects = leased.submit(request(), 0.0)
    assert asked(effects) == {}
    assert sends(effects, StartRuns)
