"""Tests of waiting until a version is in force on all members."""

import pytest

from gypsumline.cli.answers import StatusAnswer
from gypsumline.cli.rollout import Rollout, wait_until_in_force
from gypsumline.tests.cli.conftest import CannedResponse


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
    """Guards against a wait that ends while an agent lacks the version."""
    rollout = Rollout(4)
    old = status(3, 8, agents=[("agent-1", 8, "ready")])
    assert observe(rollout, u=old) == (2, ["entry u", "agent agent-1"])
    new = status(4, 9, [("entry-2", 9, True)], [("agent-1", 8, "ready")])
    assert observe(rollout, u=new) == (3, ["agent agent-1"])
    later = status(5, 12, [("entry-2", 9, True)], [("agent-1", 9, "ready")])
    assert observe(rollout, u=later) == (3, [])


def test_unresponsive_entry_is_missing_and_a_lost_member_is_not():
    """Guards against waiting for a member whose host was replaced.

    Such a member is listed as not alive or silent and never catches up.
    """
    rollout = Rollout(4)
    known = status(4, 9, [("entry-2", 1, False)], [("a", 1, "silent")])
    assert observe(rollout, u=known, v=None) == (2, ["entry v"])


@pytest.mark.parametrize("limit", [0.0, 5.0])
async def test_wait_ends_when_all_have_the_version_or_at_the_limit(
    stand_in_entry, limit
):
    """Guards against a wait that never ends."""
    old = CannedResponse(200, status(3, 8))
    new = CannedResponse(200, status(4, 9))
    stand_in_entry.set_responses("GET", "/v1/status", old, new)
    url = stand_in_entry.url
    missing = await wait_until_in_force([url], 4, limit)
    assert missing == ([] if limit else [f"entry {url}"])
