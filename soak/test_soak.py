"""A short soak of the real programs, and the seeds that once failed."""

import pytest

from soak.run import run_soak

SECONDS = 10.0


# 61010: a request into a silent store hid changes for longer than the bounds.
@pytest.mark.parametrize("seed", [1, 61010])
async def test_short_soak_keeps_the_promises(seed):
    """Counts only: no bound here is on measured time."""
    result = await run_soak(seed, SECONDS)
    assert result.violations == []
    assert result.completed > 0
    assert result.checked_probes > 0
