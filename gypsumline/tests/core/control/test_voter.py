"""Tests of the voter."""

import dataclasses

import pytest

from gypsumline.core.control.voter import Voter
from gypsumline.core.messages import StatementRequest
from gypsumline.tests.core.builders import ENTRY, make_record


@pytest.mark.parametrize("field", ["voters", "previous_voters"])
def test_only_a_listed_incarnation_states_and_acknowledges(field):
    """Guards against votes of a restarted voter, which lost its revision."""
    request = StatementRequest(round_id=1)
    record = dataclasses.replace(make_record(), **{field: (ENTRY,)})
    voter = Voter(dataclasses.replace(ENTRY, incarnation=2))
    voter.set_record(record)
    assert (voter.make_statement(request), voter.make_acknowledgement()) == (
        None,
        None,
    )
    listed = Voter(ENTRY)
    listed.set_record(record)
    assert listed.make_statement(request).revision == record.revision
    assert listed.make_acknowledgement().revision == record.revision
