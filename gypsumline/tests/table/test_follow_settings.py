"""Tests of the settings of a reader that follows a table."""

import pytest

from gypsumline.core.errors import InvalidInputError
from gypsumline.table.follow_settings import (
    FollowSettings,
    derive_follow_settings,
)


@pytest.mark.parametrize(
    ("contact", "apply"),
    [(3.0, 2.0), (4.0, 3.0), (10.0, 1.0), (1.0, 10.0), (0.6, 0.5)],
)
@pytest.mark.parametrize("contacts", [1.0, 4.0])
def test_derived_settings_satisfy_their_bounds(contact, apply, contacts):
    """Guards against settings that violate the bounds of an installation."""
    limit = contacts * contact
    settings = derive_follow_settings(contact, apply, limit)
    assert settings.max_catch_up_time < limit
    assert 2.0 * settings.answer_limit < apply
    assert settings.first_pause <= settings.last_pause


def test_unsatisfiable_bounds_are_rejected():
    with pytest.raises(InvalidInputError):
        derive_follow_settings(0.2, 2.0, 0.2)
    with pytest.raises(InvalidInputError):
        derive_follow_settings(3.0, 0.1, 3.0)


@pytest.mark.parametrize(
    "change",
    [{"feed_wait": 2.0}, {"answer_limit": 1.2}, {"last_pause": 1.5}],
)
def test_settings_that_violate_the_inequality_are_rejected(change):
    """Guards against a reader that catches up too late after a fault.

    Requests without a response hide all changes until they time out.
    """
    with pytest.raises(InvalidInputError):
        FollowSettings(**change)
