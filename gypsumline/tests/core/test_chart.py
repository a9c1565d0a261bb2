"""Exhaustive tests of the state charts of configuration changes and members."""

import pytest

from gypsumline.core.chart import (
    ChartInstance,
    ForbiddenTransitionError,
    load_chart,
)

# The allowed triggers of each state, with the state that each leads to.
ALLOWED = {
    "change": {
        "proposed": {
            "read": "completing",
            "refuse": "refused",
            "give_up": "unknown",
        },
        "completing": {
            "write": "writing",
            "confirm": "acknowledging",
            "refuse": "refused",
            "give_up": "unknown",
        },
        "writing": {
            "confirm": "acknowledging",
            "doubt": "settling",
            "give_up": "unknown",
        },
        "settling": {
            "write": "writing",
            "confirm": "acknowledging",
            "rebase": "completing",
            "give_up": "unknown",
        },
        "acknowledging": {"accept": "accepted", "give_up": "unknown"},
        "accepted": {},
        "refused": {},
        "unknown": {},
    },
    "member": {
        "outside": {"list": "member", "leave": "leaving", "remove": "removed"},
        "member": {"leave": "leaving", "remove": "removed"},
        "leaving": {"drop": "dropped", "depart": "departed"},
        "dropped": {"depart": "departed"},
        "departed": {},
        "removed": {},
    },
}


def instance_in(chart, state):
    instance = ChartInstance(chart)
    instance._model.state = state
    return instance


@pytest.mark.parametrize("name", ALLOWED)
def test_only_allowed_transitions_exist(name):
    """Guards against transitions that must not happen.

    For example, a configuration change that may have been written must not be
    refused.
    """
    chart = load_chart(name)
    assert set(chart.states) == set(ALLOWED[name])
    for state in chart.states:
        allowed = ALLOWED[name][state]
        assert (state in chart.final) == (not allowed)
        for trigger in chart.triggers:
            instance = instance_in(chart, state)
            assert instance.can_fire(trigger) == (trigger in allowed)
            if trigger in allowed:
                instance.fire(trigger)
                assert instance.state == allowed[trigger]
                continue
            with pytest.raises(ForbiddenTransitionError):
                instance.fire(trigger)
            assert instance.state == state


@pytest.mark.parametrize("name", ALLOWED)
def test_each_state_is_reached(name):
    """Guards against unreachable states."""
    chart = load_chart(name)
    reached = {chart.initial}
    for _ in chart.states:
        reached |= {t for _, s, t in chart.transitions if s in reached}
    assert reached == set(chart.states)
