"""Short run of the daemons with odd inputs; `make fuzz` runs a longer one."""

from soak.odd_inputs import run_odd_inputs

GROUPS = 14


async def test_daemons_live_follow_and_serve_after_odd_inputs():
    """Guards against an input that ends a daemon or stops its following."""
    result = await run_odd_inputs(1, GROUPS)
    assert result.violations == []
    assert sum(result.inputs.values()) >= GROUPS
