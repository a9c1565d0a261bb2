"""Tests of the voter."""

import dataclasses

import pytest

from gypsumline.core.control.voter import Voter
from gypsumline.core.messages import StatementRequest
from gypsumline.tests.core.builders import ENTRY, make_record


@pytest.mark.parametrize("field", ["voters", "previous_voters"])
def test_only_a_listed_incarnation_states_and_acknowledges(field):
    """A restarted voter has forgotten which revision it held."""
    request = StatementRequest(round_id=1)
    record = dataclasses.replace(make_record(), **{field: (ENTRY,)})
    voter = Voter(dataclasses.replace(ENTRY, incarnation=2))
    voter.learn(record)
    assert (voter.state(request), voter.acknowledge()) == (None, None)
    listed = Voter(ENTRY)
    listed.learn(record)
    assert listed.state(request).revision == record.revision
    assert listed.acknowledge().revision == record.revision
