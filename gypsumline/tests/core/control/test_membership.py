"""Tests of membership changes, voters, epochs and settings."""

import dataclasses

import pytest

from gypsumline.core.control.control_settings import ControlSettings
from gypsumline.core.control.membership import (
    Liveness,
    MemberObservation,
    choose_voters,
    next_record,
    plan_change,
)
from gypsumline.core.control.record import (
    ControlRecord,
    OwnerEpoch,
    RegisteredAgent,
)
from gypsumline.core.errors import InvalidInputGroup
from gypsumline.core.identity import Member, Role
from gypsumline.core.submissions.submission_key import generate_key, key_time

SETTINGS = ControlSettings()


def member(name, zone="glyfada", incarnation=1):
    role = Role.ENTRY if name.startswith("e") else Role.AGENT
    return Member(
        member_id=name,
        incarnation=incarnation,
        role=role,
        availability_zone=zone,
    )


def observation(one, liveness=Liveness.ALIVE, **fields):
    return MemberObservation(
        member=one, liveness=liveness, connected=True, **fields
    )


def test_voters_are_spread_over_zones_and_rarely_replaced():
    """Guards against a majority in one zone and against voter churn."""
    zones = ("glyfada", "marousi", "piraeus")
    many = [member(f"a{n}", zones[n % 3]) for n in range(12)]
    voters = choose_voters((), many, 5)
    for zone in zones:
        assert sum(v.availability_zone == zone for v in voters) <= 2
    assert choose_voters(voters, reversed(many), 5) == voters
    left = [one for one in many if one != voters[0]]
    replaced = choose_voters(voters, left, 5)
    assert len(set(voters) & set(replaced)) == 4


def test_changes_share_one_revision_and_join_moves_no_key():
    """Guards against moving keys on a join and one revision per member."""
    old = member("e1")
    record = ControlRecord(
        revision=4,
        entries=(old,),
        voters=(old,),
        epochs=(OwnerEpoch(begins_at_wall=0, owners=(old,)),),
    )
    observations = [
        observation(old),
        observation(member("e2"), joining=True),
        observation(member("e3"), joining=True),
        observation(member("a1")),
    ]
    key = generate_key()
    change = plan_change(record, observations, SETTINGS)
    new = next_record(record, change, key_time(key), SETTINGS)
    assert new.revision == 5 and len(new.entries) == 3
    assert new.previous_voters == record.voters
    assert new.owner_of(key) == old
    assert new.epochs[-1].begins_at_wall > key_time(key) + 5
    assert not plan_change(new, observations, SETTINGS).is_needed


def test_removed_incarnation_is_not_admitted_again():
    """Guards against a removed owner that regains its keys."""
    record = ControlRecord(revision=1, entries=(member("e1"),))
    observations = [observation(member("e2"), joining=False)]
    assert plan_change(record, observations, SETTINGS).joined == ()


@pytest.mark.parametrize(
    ("liveness", "count"),
    [(Liveness.SILENT, 1), (Liveness.EXPIRED, 0)],
)
def test_agent_stays_registered_while_its_journal_is_needed(liveness, count):
    """Guards against a new owner that omits an agent which started tasks."""
    agent = RegisteredAgent(agent_id="a1", availability_zone="glyfada")
    record = ControlRecord(revision=1, agents=(agent,))
    change = plan_change(
        record, [observation(member("a1"), liveness)], SETTINGS
    )
    assert len(next_record(record, change, 0, SETTINGS).agents) == count


def test_settings_report_all_errors_at_once():
    """Guards against settings beyond the 4 s limit, reported one by one."""
    SETTINGS.check()
    wrong = dataclasses.replace(
        SETTINGS, evidence_ttl=3.5, epoch_delay=2.0, voter_count=0
    )
    with pytest.raises(InvalidInputGroup) as caught:
        wrong.check()
    fields = {error.field for error in caught.value.exceptions}
    assert fields == {"evidence_ttl", "epoch_delay", "voter_count"}
