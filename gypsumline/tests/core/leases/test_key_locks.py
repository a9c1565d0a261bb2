"""Tests of `KeyLocks`, by the messages of an owner."""

import pytest

from gypsumline.core.leases.effects import JobEnded, JobOutcome
from gypsumline.core.leases.job import JobStep
from gypsumline.core.leases.keepers import RequestKeeperList, sort_by_rank
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
    StopRuns,
)
from gypsumline.tests.core.leases.builders import (
    KEY,
    LEASE,
    agent,
    cores,
    done,
    handle_ping,
    keeper_list,
    keeper_ping,
    load,
    owner,
    reports,
    request,
    sends,
)

AGENTS = 5
ALL = range(1, AGENTS + 1)
TASK = f"{KEY}.0.0.0"


def connected_owner(now=0.0, reached=ALL, listed=ALL):
    """Returns an owner that reaches some of the agents of a list."""
    leased = owner()
    for number in reached:
        leased.on_connected(agent(number), now)
        keeper_ping(leased, number, now)
    leased.on_keepers(keeper_list(listed), now)
    leased.tick(now)
    return leased


@pytest.fixture(name="leased")
def fixture_leased():
    return connected_owner()


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


def by_rank(requests):
    """Returns the requests in the order of the agents' ranks."""
    names = sort_by_rank(KEY, [f"agent-{number}" for number in requests])
    numbers = [int(name.rpartition("-")[2]) for name in names]
    return [(number, requests[number]) for number in numbers]


def test_no_run_is_started_without_a_quorum_of_the_locks(leased):
    """Guards against a job that runs at two entries."""
    effects = leased.submit(request(), 0.0)
    assert sends(effects, StartRuns) == []
    first, second, third = asked(effects).items()
    assert not sends(answer(leased, dict([first]), 0.01), StartRuns)
    assert sends(answer(leased, dict([second]), 0.02), StartRuns)
    assert not sends(answer(leased, dict([third]), 0.03), StartRuns)


@pytest.mark.parametrize("reached", [(1, 2, 3), (2, 3, 4), (3, 4, 5)])
def test_owners_that_reach_other_agents_ask_the_same_ones(leased, reached):
    """Guards against two owners whose locks have no agent in common."""
    keepers = set(asked(leased.submit(request(), 0.0)))
    other = connected_owner(reached=reached)
    requests = asked(other.submit(request(), 0.0))
    assert set(requests) == keepers & set(reached)
    effects = answer(other, requests, 0.01)
    assert bool(sends(effects, StartRuns)) == (len(requests) >= 2)


def test_owner_that_reaches_a_minority_refuses_jobs():
    """Guards against jobs that wait for locks which cannot be had."""
    leased = connected_owner(reached=(1, 2))
    assert not leased.has_keepers(0.0)
    # It may reach the others soon.
    assert asked(leased.submit(request("00000000000000e5"), 0.0))
    now = LEASE.keepers_validity + 0.1
    for number in (1, 2):
        keeper_ping(leased, number, now)
    leased.tick(now)
    (ended,) = [
        effect
        for effect in leased.submit(request(), now)
        if isinstance(effect, JobEnded)
    ]
    assert ended.outcome is JobOutcome.NOT_RUN
    assert ended.retry_after > 0.0


def test_owner_that_wakes_refuses_no_job_before_it_is_in_touch_again(leased):
    """Guards against jobs refused by an entry that reads them first."""
    now = LEASE.keepers_validity + 1.0
    for number in ALL:
        ping = ContactPing(
            stamp=now, load=load(executor=f"x-{number}"), keeps_locks=True
        )
        leased.on_ping(agent(number), ping, now)
    assert not leased.has_keepers(now)
    effects = leased.submit(request(), now)
    assert not [each for each in effects if isinstance(each, JobEnded)]
    for number in ALL:
        keeper_ping(leased, number, now + 0.1)
    effects = leased.tick(now + 0.2)
    assert sends(answer(leased, asked(effects), now + 0.21), StartRuns)


def test_owner_that_hears_nothing_stops_its_runs_before_it_answers(leased):
    """Guards against runs under a lock that others have been granted."""
    answer(leased, asked(leased.submit(request(), 0.0)), 0.01)
    now = LEASE.lock_validity + 0.1
    effects = leased.answer_ping(agent(1), now, now)
    stopped, ponged = sends(effects, StopRuns), sends(effects, ContactPong)
    assert [message.tasks for _, message in stopped] == [(TASK,)]
    assert [to for to, _ in ponged] == ["agent-1"]
    failed = reports((TASK, 1, RunEnd.STOPPED, 0.1))
    for number in ALL:
        effects = leased.on_reports(agent(number), failed, now)
        assert not sends(effects, StartRuns)
    requests = asked(leased.tick(now))
    assert sends(answer(leased, requests, now + 0.01), StartRuns)


def test_locks_are_renewed_while_a_job_lasts(leased):
    """Guards against jobs that lose their locks without any fault."""
    step = JobStep(count=1, resources=cores(2), run_time=5.0)
    effects = leased.submit(request(steps=(step,)), 0.0)
    answer(leased, asked(effects), 0.01)
    now = 0.0
    while now < 3.0:
        now += 0.1
        for number in ALL:
            keeper_ping(leased, number, now)
        effects = leased.tick(now)
        answer(leased, asked(effects), now)
        assert not sends(effects, StopRuns)
    assert leased.has_keepers(now)


def test_answer_that_takes_longer_than_the_retry_counts(leased):
    """Guards against locks that are never had over a slow network."""
    requests = asked(leased.submit(request(), 0.0))
    now = LEASE.lock_retry_interval + 0.01
    assert asked(leased.tick(now)).keys() == requests.keys()
    assert sends(answer(leased, requests, now + 0.01), StartRuns)


def test_answer_that_is_older_than_the_lock_lasts_grants_nothing(leased):
    """Guards against an answer that was read after a pause."""
    requests = asked(leased.submit(request(), 0.0))
    now = LEASE.lock_validity + 0.1
    assert not sends(answer(leased, requests, now), StartRuns)


def test_job_that_another_entry_has_waits_and_may_have_run(leased):
    """Guards against a second run, and against a false "not run"."""
    requests = asked(leased.submit(request(timeout=1.0), 0.0))
    answer(leased, requests, 0.01, LockState.HELD)
    assert not asked(leased.tick(0.05))
    effects = leased.tick(0.15)
    assert not sends(effects, StartRuns)
    assert asked(effects).keys() == requests.keys()
    (ended,) = [e for e in leased.tick(1.0) if isinstance(e, JobEnded)]
    assert ended.outcome is JobOutcome.EXPIRED


def test_two_owners_never_wait_for_each_other(leased):
    """Guards against entries of which none has a quorum of the locks."""
    high, middle, low = by_rank(asked(leased.submit(request(), 0.0)))
    answer(leased, dict([low]), 0.01)
    effects = answer(leased, dict([high]), 0.02, LockState.HELD)
    returned = {to for to, _ in sends(effects, UnlockKeys)}
    assert returned == {f"agent-{low[0]}", f"agent-{middle[0]}"}
    # Their late answers do not count any more.
    assert not sends(answer(leased, dict([middle, low]), 0.03), StartRuns)


def test_owner_with_runs_returns_no_lock(leased):
    """Guards against a second run beside those that an owner has."""
    requests = asked(leased.submit(request(), 0.0))
    answer(leased, requests, 0.01)
    now = LEASE.lock_validity + 0.1
    requests = asked(leased.tick(now))
    effects = answer(leased, dict(by_rank(requests)[:1]), now, LockState.HELD)
    assert not sends(effects, UnlockKeys)


def test_answer_to_an_earlier_request_grants_nothing(leased):
    """Guards against a lock that was returned before it was granted."""
    earlier = asked(leased.submit(request(), 0.0))
    leased.abandon(KEY, 0.01)
    later = asked(leased.submit(request(), 0.02))
    assert earlier.keys() == later.keys()
    assert not sends(answer(leased, earlier, 0.03), StartRuns)
    assert sends(answer(leased, later, 0.04), StartRuns)


def test_agents_that_have_just_started_are_asked_again_after_a_while(leased):
    """Guards against requests without a pause while agents restart."""
    requests = asked(leased.submit(request(), 0.0))
    assert not asked(answer(leased, requests, 0.01, LockState.UNSURE))
    effects = []
    for now in (0.04, 0.07, 0.1, 0.13):
        effects += leased.tick(now)
    assert sends(answer(leased, asked(effects), 0.14), StartRuns)


def test_agent_that_restarts_is_told_what_its_owner_has(leased):
    """Guards against a lock that nobody knows after a restart."""
    requests = asked(leased.submit(request(), 0.0))
    granted, other = list(requests)[:2]
    answer(leased, {granted: requests[granted]}, 0.01)
    for number, held in ((granted, (KEY,)), (other, ())):
        leased.on_disconnected(agent(number), 0.1)
        leased.on_connected(agent(number, incarnation=2), 0.2)
        effects = keeper_ping(leased, number, 0.2, incarnation=2)
        listed = asked(effects)[number]
        assert (listed.keys, listed.held) == ((KEY,), held)
        assert listed.is_complete


def test_lock_that_has_lapsed_is_claimed_while_runs_may_be_left(leased):
    """Guards against an agent that restarts and grants it to another owner."""
    requests = asked(leased.submit(request(), 0.0))
    number = min(requests)
    answer(leased, requests, 0.01)
    leased.on_disconnected(agent(number), 0.1)
    now = LEASE.lock_validity + LEASE.rerun_wait - 0.1
    leased.on_connected(agent(number, incarnation=2), now)
    effects = keeper_ping(leased, number, now, incarnation=2)
    assert asked(effects)[number].held == (KEY,)


def test_locks_are_returned_when_the_last_run_has_ended(leased):
    """Guards against a second run beside one that is still being stopped."""
    answer(leased, asked(leased.submit(request(), 0.0)), 0.01)
    effects = leased.abandon(KEY, 0.1)
    assert sends(effects, UnlockKeys) == []
    stopped = reports((TASK, 1, RunEnd.STOPPED, 0.1))
    effects = []
    for number in ALL:
        effects += leased.on_reports(agent(number), stopped, 0.2)
    assert len(sends(effects, UnlockKeys)) == 3


def test_locks_of_a_completed_job_are_returned_with_pongs(leased):
    """Guards against messages of their own for each completed job."""
    requests = asked(leased.submit(request(), 0.0))
    answer(leased, requests, 0.01)
    effects = []
    for number in ALL:
        effects += leased.on_reports(agent(number), reports(done(TASK)), 0.2)
    assert any(isinstance(effect, JobEnded) for effect in effects)
    assert sends(effects, UnlockKeys) == []
    for number in requests:
        ((_, pong),) = sends(
            leased.answer_ping(agent(number), 0.3, 0.3), ContactPong
        )
        assert pong.unlocked == (KEY,)


def test_newer_list_is_requested_from_an_agent_that_knows_it(leased):
    """Guards against an entry that goes on under a list that was replaced."""
    effects = []
    for number in ALL:
        effects += keeper_ping(leased, number, 0.5, version=2)
    assert len(sends(effects, RequestKeeperList)) == 1


def test_newer_list_needs_both_quorums_until_the_earlier_one_is_unused(leased):
    """Guards against owners under two lists that have no agent in common."""
    for number in range(6, 9):
        leased.on_connected(agent(number), 0.0)
    newer = keeper_list(range(6, 9), version=2, previous=ALL)
    leased.on_keepers(newer, 0.0)
    for number in range(1, 9):
        keeper_ping(leased, number, 0.1, version=2)
    requests = asked(leased.submit(request(), 0.2))
    added = {n: m for n, m in requests.items() if n > AGENTS}
    earlier = {n: m for n, m in requests.items() if n <= AGENTS}
    assert not sends(answer(leased, added, 0.3), StartRuns)
    assert sends(answer(leased, earlier, 0.4), StartRuns)
    settled = 0.2 + LEASE.keepers_settling
    for number in range(6, 9):
        keeper_ping(leased, number, settled, version=2)
    key = "00000000000000c3"
    requests = asked(leased.submit(request(key), settled + 0.1))
    assert set(requests) == set(range(6, 9))
    assert sends(answer(leased, requests, settled + 0.2), StartRuns)


def test_earlier_list_serves_until_the_lock_is_had_under_a_newer_one(leased):
    """Guards against jobs that wait for agents which are not reached yet."""
    answer(leased, asked(leased.submit(request(), 0.0)), 0.01)
    newer = keeper_list(range(6, 9), version=2, previous=ALL)
    leased.on_keepers(newer, 0.1)
    # The lock lapses under both, and is then granted again.
    now = LEASE.lock_validity + 0.1
    failed = reports((TASK, 1, RunEnd.FAILED, 0.1))
    for number in ALL:
        leased.on_reports(agent(number), failed, now)
    leased.tick(now)
    requests = asked(leased.tick(now + 0.2))
    assert sends(answer(leased, requests, now + 0.21), StartRuns)


def test_list_counts_only_while_a_majority_knows_no_newer_one(leased):
    """Guards against an owner that has missed a change of the list."""
    now = LEASE.keepers_validity + 1.0
    for number in (1, 2):
        keeper_ping(leased, number, now, version=2)
    for number in (4, 5):
        keeper_ping(leased, number, now, version=1)
    assert not leased.has_keepers(now)
    keeper_ping(leased, 3, now + 0.1, version=1)
    assert leased.has_keepers(now + 0.1)


def test_list_without_a_quorum_of_the_earlier_one_is_used_after_a_while():
    """Guards against owners of both lists that run one job."""
    leased = connected_owner(reached=(1, 2))
    leased.on_keepers(keeper_list((1, 2), version=2, is_reset=True), 0.0)
    times = (0.1, LEASE.keepers_settling + 0.1)
    started = []
    for number, now in enumerate(times):
        for each in (1, 2):
            keeper_ping(leased, each, now, version=2)
        key = f"00000000000000d{number}"
        requests = asked(leased.submit(request(key), now + 0.01))
        effects = answer(leased, requests, now + 0.02)
        started.append(bool(sends(effects, StartRuns)))
    assert started == [False, True]


def test_agents_of_earlier_releases_keep_no_locks():
    """Guards against a stream that an unknown message ends."""
    leased = owner()
    leased.on_connected(agent(1), 0.0)
    ping = ContactPing(stamp=0.0, load=load(), keeps_locks=False)
    handle_ping(leased, agent(1), ping, 0.0)
    effects = leased.submit(request(), 0.0)
    assert asked(effects) == {}
    assert sends(effects, StartRuns)
