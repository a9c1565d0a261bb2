"""Load patterns of leased submissions in virtual time.

The bounds are the users' targets for a whole day.
"""

import pytest

from properties import lease_load

# Maximum share of the value whose callers wait for a late refusal under
# overload. The users price such refusals at up to 0.7.
MAX_LATE_REFUSAL_SHARE = 0.03
# The users' target for the mean share of value earned on days with faults.
VALUE_SHARE_TARGET = 0.82


@pytest.mark.parametrize("pattern", ["burst_of_all", "burst_of_large_jobs"])
def test_overload_is_refused_at_once(pattern):
    """Load pattern: more jobs than the executors can run, for 4 s."""
    world = lease_load.run_pattern(pattern, seed=1, seconds=10.0, rate=95.0)
    assert world.oracle.violations == []
    assert world.late_refusal_share <= MAX_LATE_REFUSAL_SHARE


@pytest.mark.parametrize("pattern", ["steady", "one_entry_gets_most"])
def test_high_load_is_served_in_time(pattern):
    """Load pattern: about 80% of the capacity of the executors."""
    world = lease_load.run_pattern(pattern, seed=1, seconds=10.0, rate=70.0)
    assert world.oracle.violations == []
    assert world.value_share >= VALUE_SHARE_TARGET
