"""Tests of the list of keepers and of the changes that owners propose."""

import dataclasses
import itertools
import math

import pytest

from gypsumline.core.leases.effects import ProposeKeepers
from gypsumline.core.leases.keeper_changes import (
    ADDITION_SECONDS,
    FIRST_LIST_QUIET_SECONDS,
    REMOVAL_SECONDS,
    RESET_SECONDS,
    balance_zones,
)
from gypsumline.core.leases.keepers import (
    KEEPERS_MAX,
    Keeper,
    KeeperList,
    RequestKeeperList,
    choose_keepers,
    quorum,
    sort_by_rank,
)
from gypsumline.core.leases.lock_messages import LockKeys
from gypsumline.core.leases.messages import (
    ContactPing,
    ContactPong,
    RunEnd,
    StartRuns,
)
from gypsumline.core.leases.settings import LeaseSettings
from gypsumline.tests.core.leases.builders import (
    ENTRY,
    ENTRY_2,
    KEY,
    LEASE,
    agent,
    join,
    keeper_list,
    load,
    open_table,
    owner,
    reports,
    request,
    sends,
)

ZONES = ("north", "south", "west")


def fleet(count, zones=ZONES):
    return tuple(
        Keeper(f"agent-{number}", zones[number % len(zones)])
        for number in range(count)
    )


@pytest.mark.parametrize("count", [3, 9, 21, 56, 160])
def test_keepers_of_a_key_are_in_different_zones(count):
    """Guards against keys that the loss of one zone makes unusable."""
    members = fleet(count)
    zones = dict(members)
    for number in range(50):
        chosen = choose_keepers(f"{number:016x}", members)
        assert len({zones[member_id] for member_id in chosen}) == 3


def test_keys_are_spread_over_the_agents():
    """Guards against an agent that keeps the locks of all keys."""
    members = fleet(56)
    keys = [f"{number:016x}" for number in range(1000)]
    chosen = [m for key in keys for m in choose_keepers(key, members)]
    counts = [chosen.count(keeper.member_id) for keeper in members]
    # 54 of 3,000 on the mean.
    assert min(counts) > 20
    assert max(counts) < 120


@pytest.mark.parametrize("count", [1, 2, 3, 9])
def test_any_two_quorums_of_a_key_have_an_agent_in_common(count):
    """Guards against two owners that both have the lock on a key."""
    chosen = choose_keepers(KEY, fleet(count, zones=("north",)))
    assert len(chosen) == min(count, 3)
    quorums = list(itertools.combinations(chosen, quorum(len(chosen))))
    for first, second in itertools.product(quorums, quorums):
        assert set(first) & set(second)


def test_all_owners_acquire_locks_in_the_same_order():
    """Guards against owners under two lists that wait for each other."""
    both = sort_by_rank(KEY, [k.member_id for k in fleet(9)])
    some = sort_by_rank(KEY, [k.member_id for k in fleet(5)])
    assert [member_id for member_id in both if member_id in some] == list(some)


@pytest.mark.parametrize("sizes", [(30, 3, 3), (9, 1, 1), (200, 200, 200)])
def test_no_zone_has_half_of_a_list(sizes):
    """Guards against a zone whose loss stops everything."""
    candidates = [
        Keeper(f"{zone}-{number:03d}", zone)
        for zone, size in zip(ZONES, sizes, strict=True)
        for number in range(size)
    ]
    members = balance_zones(candidates)
    assert len(members) <= KEEPERS_MAX
    zones = [keeper.availability_zone for keeper in members]
    assert all(2 * zones.count(zone) < len(zones) for zone in ZONES)


@pytest.mark.parametrize("resubmit_delay", [1.2, 1.3, 4.0])
def test_locks_outlast_the_runs_that_they_protect(resubmit_delay):
    """Guards against bounds under which a second owner starts too early."""
    settings = LeaseSettings(
        resubmit_delay=resubmit_delay, contact_limit=0.35 * resubmit_delay
    )
    runs_end = settings.lock_validity + settings.rerun_wait
    assert settings.lock_expiry >= runs_end * (1.0 + settings.clock_drift)
    runs_end = settings.keepers_validity + settings.rerun_wait
    assert settings.keepers_settling >= runs_end


def proposed(leased, now):
    """Returns the list that an owner proposes, or None."""
    effects = leased.tick(now)
    lists = [e.keepers for e in effects if isinstance(e, ProposeKeepers)]
    return lists[0] if lists else None


def numbers(keepers):
    ids = [keeper.member_id for keeper in keepers.members]
    return sorted(int(member_id.rpartition("-")[2]) for member_id in ids)


def connect(leased, reached, now, version):
    for number in reached:
        member = agent(number, zone=f"zone-{number}")
        leased.on_connected(member, now)
        for stamp in (now, now + 0.001):
            answered = leased.find_agent(member).stamp
            ping = ContactPing(
                stamp=stamp,
                load=load(),
                keeps_locks=True,
                keepers_version=version,
                answered=answered,
            )
            leased.on_ping(member, ping, stamp)
            leased.answer_ping(member, stamp, stamp)


def test_first_list_has_all_agents_that_have_connected():
    """Guards against a first list of the agent that was fastest."""
    leased = owner()
    connect(leased, (1, 2), 0.0, version=0)
    connect(leased, (3,), 0.3, version=0)
    assert proposed(leased, FIRST_LIST_QUIET_SECONDS + 0.1) is None
    keepers = proposed(leased, FIRST_LIST_QUIET_SECONDS + 0.4)
    assert (keepers.version, numbers(keepers)) == (1, [1, 2, 3])
    assert keepers.previous == ()


def test_entry_that_starts_proposes_no_first_list_beside_a_stored_one():
    """Guards against a list that replaces the one in use."""
    leased = owner()
    connect(leased, (1, 2), 0.0, version=4)
    assert proposed(leased, 3.0) is None


def test_agents_are_added_and_removed_once_a_list_is_settled():
    """Guards against lists that change before all owners use the last one."""
    leased = owner()
    connect(leased, (1, 2, 3), 0.0, version=2)
    leased.on_keepers(keeper_list((1, 2, 3), 2, previous=(1, 2, 3)), 0.0)
    connect(leased, (4,), 1.0, version=2)
    assert proposed(leased, 1.0 + ADDITION_SECONDS) is None
    now = LEASE.keepers_settling + 0.1
    for number in (1, 2, 3, 4):
        connect_again(leased, number, now, version=2)
    keepers = proposed(leased, now)
    assert (keepers.version, numbers(keepers)) == (3, [1, 2, 3, 4])
    assert keepers.previous == keeper_list((1, 2, 3)).members


def test_settled_change_is_followed_by_a_list_without_the_one_before():
    """Guards against entries that start and wait for agents that are gone."""
    leased = owner()
    connect(leased, (1, 2, 3), 0.0, version=2)
    leased.on_keepers(keeper_list((1, 2, 3), 2, previous=range(1, 9)), 0.0)
    connect(leased, (4, 5), 0.0, version=2)
    run_until(leased, (1, 2, 3), 1.0, version=2)
    now = LEASE.keepers_settling + 0.5
    for number in (1, 2, 3):
        connect_again(leased, number, now, version=2)
    keepers = proposed(leased, now)
    assert numbers(keepers) == [1, 2, 3, 4, 5]
    leased.on_keepers(keepers, now)
    for number in (1, 2, 3, 4, 5):
        connect_again(leased, number, now, version=3)
    now += LEASE.keepers_settling + 0.5
    for number in (1, 2, 3, 4, 5):
        connect_again(leased, number, now, version=3)
    assert proposed(leased, now).previous == ()


def settled_owner(reached, listed, now):
    """Returns an owner whose list is in force since the time 0."""
    leased = owner()
    connect(leased, reached, 0.0, version=1)
    leased.on_keepers(keeper_list(listed), 0.0)
    run_until(leased, reached, now)
    return leased


def run_until(leased, reached, end, version=1):
    """Runs the timers of an owner that some agents ping."""
    now = 0.0
    while now < end - 0.1:
        for number in reached:
            connect_again(leased, number, now, version)
        leased.tick(now)
        now += 0.5
    for number in reached:
        connect_again(leased, number, end, version)


def connect_again(leased, number, now, version=1):
    member = agent(number, zone=f"zone-{number}")
    for stamp in (now - 0.002, now - 0.001):
        answered = leased.find_agent(member).stamp
        ping = ContactPing(
            stamp=stamp,
            load=load(),
            keeps_locks=True,
            keepers_version=version,
            answered=answered,
        )
        leased.on_ping(member, ping, stamp)
        leased.answer_ping(member, stamp, stamp)


@pytest.mark.parametrize(
    ("now", "expected"),
    [(REMOVAL_SECONDS - 0.1, None), (REMOVAL_SECONDS + 0.1, [1, 2, 3])],
)
def test_agent_that_stays_away_is_removed(now, expected):
    """Guards against keys whose keepers never come back."""
    leased = settled_owner((1, 2, 3), (1, 2, 3, 4), now)
    keepers = proposed(leased, now)
    assert (keepers and numbers(keepers)) == expected


@pytest.mark.parametrize(
    ("now", "expected"),
    [(RESET_SECONDS - 0.1, None), (RESET_SECONDS + 0.1, [1, 2])],
)
def test_list_that_has_lost_a_majority_is_replaced(now, expected):
    """Guards against an installation that starts nothing any more."""
    leased = settled_owner((1, 2), (1, 2, 3, 4), now)
    keepers = proposed(leased, now)
    assert (keepers and numbers(keepers)) == expected
    assert keepers is None or keepers.is_reset


def test_agent_of_a_leaving_executor_is_removed_at_the_end_of_its_stream():
    """Guards against keys whose keepers are emptied and taken away."""
    now = 3.0
    leased = settled_owner((1, 2, 3, 4), (1, 2, 3, 4), now)
    leaving = dataclasses.replace(load(), leaving_in=2.0)
    ping = ContactPing(
        stamp=now, load=leaving, keeps_locks=True, keepers_version=1
    )
    leased.on_ping(agent(4, zone="zone-4"), ping, now)
    assert proposed(leased, now) is None
    leased.on_disconnected(agent(4, zone="zone-4"), now)
    assert numbers(proposed(leased, now)) == [1, 2, 3]


def test_owner_that_has_a_lock_of_another_one_is_reported():
    """Guards against two owners of one job that leave no line."""
    table = open_table(now=10.0)
    asked = LockKeys(number=1, keys=(KEY,))
    assert table.on_lock_request(ENTRY, asked, 20.0)[1:] == []
    claimed = LockKeys(number=1, keys=(KEY,), is_complete=True, held=(KEY,))
    (line,) = table.on_lock_request(ENTRY_2, claimed, 20.1)[1:]
    assert line.event == "job_lock_conflict"
    assert (line.fields["job"], line.fields["holder"]) == (KEY, "entry-1")


def test_entry_that_wakes_replaces_no_list():
    """Guards against a paused entry that takes the locks from all others."""
    now = 2.0
    leased = settled_owner((1, 2, 3), (1, 2, 3), now)
    now += 2.0 * RESET_SECONDS
    assert proposed(leased, now) is None
    assert proposed(leased, now + 0.25) is None


@pytest.mark.parametrize("round_trip", [0.25, 0.45])
def test_list_counts_also_with_answers_that_take_long(round_trip):
    """Guards against an entry without locks beside slow or busy agents."""
    leased = owner()
    member = agent(1, zone="zone-1")
    leased.on_connected(member, 0.0)
    leased.on_keepers(keeper_list((1,)), 0.0)
    for step in range(50):
        now = step * LEASE.busy_ping_interval
        answered = LEASE.busy_ping_interval * (
            (now - round_trip) // LEASE.busy_ping_interval
        )
        ping = ContactPing(
            stamp=now,
            load=load(),
            keeps_locks=True,
            keepers_version=1,
            answered=answered if answered >= 0.0 else -math.inf,
        )
        leased.on_ping(member, ping, now)
        leased.answer_ping(member, now, now)
    assert leased.has_keepers(now)


def test_version_that_an_agent_states_never_falls():
    """Guards against a ping that is read late and hides a newer list."""
    leased = owner()
    connect(leased, (1,), 0.0, version=1)
    leased.on_keepers(keeper_list((1,)), 0.0)
    now = LEASE.keepers_validity + 1.0
    connect_again(leased, 1, now, version=2)
    connect_again(leased, 1, now, version=1)
    assert not leased.has_keepers(now)


def test_nothing_starts_before_the_first_list_once_agents_keep_locks():
    """Guards against starts without a lock while streams are opened again."""
    leased = owner()
    connect(leased, (1,), 0.0, version=0)
    leased.on_disconnected(agent(1, zone="zone-1"), 0.1)
    leased.on_connected(agent(1, zone="zone-1"), 0.2)
    assert not leased.has_keepers(0.2)
    assert not sends(leased.submit(request(), 0.2), StartRuns)


def test_owner_has_runs_until_their_ends_are_reported():
    """Guards against an entry that is forgotten while its runs are stopped."""
    leased = owner()
    join(leased, agent())
    leased.submit(request(), 0.0)
    leased.abandon(KEY, 0.1)
    assert leased.has_runs
    ended = reports((f"{KEY}.0.0.0", 1, RunEnd.STOPPED, 0.1))
    leased.on_reports(agent(), ended, 0.2)
    assert not leased.has_runs


def test_agents_state_and_pass_on_the_newest_list():
    """Guards against owners that never hear of a list."""
    table = open_table()
    newest = keeper_list((1, 2), version=5)
    pings = sends(table.on_keepers(newest, 1.0), ContactPing)
    assert {ping.keepers_version for _, ping in pings} == {5}
    assert table.on_keepers(keeper_list((1,), version=4), 1.1) == []
    effects = table.on_keepers_request(ENTRY, RequestKeeperList(), 1.2)
    assert sends(effects, KeeperList) == [(ENTRY.member_id, newest)]


def test_agent_confirms_the_first_answer_of_a_stream_at_once():
    """Guards against an entry that waits for the next ping after its start."""
    table = open_table()
    ((_, ping),) = sends(
        table.on_pong(ENTRY, ContactPong(stamp=0.0), 0.01), ContactPing
    )
    assert ping.answered == 0.0
    effects = table.on_pong(ENTRY, ContactPong(stamp=0.01), 0.02)
    assert not sends(effects, ContactPing)
