"""Tests of the ready times of owners across records."""

import dataclasses
import math

from gypsumline.core.control.control_settings import ControlSettings
from gypsumline.core.control.ownership_readiness import OwnershipReadiness
from gypsumline.core.control.record import ControlRecord, OwnerEpoch
from gypsumline.core.identity import Member, Role
from gypsumline.core.submissions.submission_key import generate_key, key_time

SETTINGS = ControlSettings()


def entry(name):
    return Member(
        member_id=name, incarnation=1, role=Role.ENTRY, availability_zone="z"
    )


ME, OTHER_ENTRY = entry("entry-0"), entry("entry-1")
FIRST = ControlRecord(
    revision=1,
    entries=(ME, OTHER_ENTRY),
    epochs=(OwnerEpoch(begins_at_wall=0, owners=(ME, OTHER_ENTRY)),),
)


def key_of(owner):
    while True:
        key = generate_key()
        if FIRST.owner_of(key) == owner:
            return key


def accepted_readiness():
    readiness = OwnershipReadiness(ME, SETTINGS)
    readiness.set_record(FIRST, 10.0)
    readiness.on_accepted(11.0)
    return readiness


def test_first_owners_are_ready_at_acceptance():
    """Guards against a delay at the first start, without earlier owners."""
    readiness = OwnershipReadiness(ME, SETTINGS)
    assert readiness.ready_at() == math.inf
    readiness.set_record(FIRST, 10.0)
    assert readiness.ready_at() == math.inf
    readiness.on_accepted(11.0)
    assert readiness.ready_at() == 11.0


def test_loss_of_an_owner_delays_only_its_keys():
    """Guards against two owners of a key and against delaying all keys."""
    readiness = accepted_readiness()
    mine, gained = key_of(ME), key_of(OTHER_ENTRY)
    record = dataclasses.replace(FIRST, revision=2, entries=(ME,))
    readiness.set_record(record, 20.0)
    assert readiness.key_ready_at(mine) == 11.0
    assert readiness.key_ready_at(gained) == math.inf
    readiness.on_accepted(21.0)
    assert readiness.key_ready_at(gained) == 21.0 + SETTINGS.evidence_wait
    assert readiness.ready_at() == readiness.key_ready_at(gained)


def test_skipped_revisions_may_have_had_other_owners():
    """Guards against ignoring an owner that a partitioned entry never saw."""
    readiness = accepted_readiness()
    key = key_of(ME)
    later = OwnerEpoch(begins_at_wall=key_time(key), owners=(ME, OTHER_ENTRY))
    record = dataclasses.replace(
        FIRST, revision=5, epochs=(*FIRST.epochs, later)
    )
    readiness.set_record(record, 20.0)
    assert readiness.key_ready_at(key) == math.inf


def test_removed_owner_is_never_ready():
    """Guards against a removed owner that continues with old ready times."""
    readiness = accepted_readiness()
    record = dataclasses.replace(FIRST, revision=2, entries=(OTHER_ENTRY,))
    readiness.set_record(record, 20.0)
    readiness.on_accepted(21.0)
    assert readiness.ready_at() == math.inf
