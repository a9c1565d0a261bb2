"""Tests of the wait until a version is in force everywhere."""

import pytest

from gypsumline.cli.answers import StatusAnswer
from gypsumline.cli.rollout import Rollout, wait_until_in_force
from gypsumline.tests.cli.conftest import CannedAnswer


def status(version, revision, entries=(), agents=()):
    return {
        "entry": "entry-1",
        "fresh": True,
        "configuration_version": version,
        "revision": revision,
        "entries": [
            {"member_id": name, "revision": held, "alive": alive}
            for name, held, alive in entries
        ],
        "agents": [
            {"agent_id": name, "revision": held, "state": state}
            for name, held, state in agents
        ],
    }


def observe(rollout, **statuses):
    parsed = {
        url: body and StatusAnswer.model_validate(body)
        for url, body in statuses.items()
    }
    return rollout.observe(parsed)


def test_agent_behind_the_revision_is_missing():
    """Guards against a wait that ends when only the entries have it."""
    rollout = Rollout(4)
    old = status(3, 8, agents=[("agent-1", 8, "ready")])
    assert observe(rollout, u=old) == (2, ["entry u", "agent agent-1"])
    new = status(4, 9, [("entry-2", 9, True)], [("agent-1", 8, "ready")])
    assert observe(rollout, u=new) == (3, ["agent agent-1"])
    later = status(5, 12, [("entry-2", 9, True)], [("agent-1", 9, "ready")])
    assert observe(rollout, u=later) == (3, [])


def test_entry_without_an_answer_is_missing_and_a_lost_member_is_not():
    """Guards against a wait for a host that was replaced."""
    rollout = Rollout(4)
    known = status(4, 9, [("entry-2", 1, False)], [("a", 1, "silent")])
    assert observe(rollout, u=known, v=None) == (2, ["entry v"])


@pytest.mark.parametrize("limit", [0.0, 5.0])
async def test_wait_ends_when_all_have_it_or_at_the_limit(
    stand_in_entry, limit
):
    """Guards against a wait without an end."""
    old = CannedAnswer(200, status(3, 8))
    new = CannedAnswer(200, status(4, 9))
    stand_in_entry.answer("GET", "/v1/status", old, new)
    url = stand_in_entry.url
    missing = await wait_until_in_force([url], 4, limit)
    assert missing == ([] if limit else [f"entry {url}"])
