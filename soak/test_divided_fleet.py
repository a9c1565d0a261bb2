"""Test of entries that reach different parts of the fleet."""

from soak.run import run_divided_fleet


async def test_entries_that_see_other_agents_run_no_task_twice_at_once():
    """Guards against two entries that have locks at agents that differ."""
    completed, violations = await run_divided_fleet(
        seed=1, agents=24, rounds=2, jobs=8, seconds=0.4
    )
    assert violations == []
    assert completed > 0
