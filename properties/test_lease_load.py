"""Load patterns of leased submissions, in virtual time.

The bounds are the users' targets for the whole day, not what was measured.
"""

import pytest

from properties import lease_load

# Most of the value owed whose callers may wait for a refusal, under a load of
# more than the executors can do. The users price such refusals at up to 0.7.
MAX_LATE_REFUSAL_SHARE = 0.03
# The users' target for the mean worth of their days with trouble.
VALUE_SHARE_TARGET = 0.82


@pytest.mark.parametrize("pattern", ["burst_of_all", "burst_of_large_jobs"])
def test_overload_is_refused_at_once(pattern):
    """Load pattern: more jobs than the executors can do, for 4 s."""
    world = lease_load.run_pattern(pattern, seed=1, seconds=10.0, rate=95.0)
    assert world.oracle.violations == []
    assert world.late_refusal_share <= MAX_LATE_REFUSAL_SHARE


@pytest.mark.parametrize("pattern", ["steady", "one_entry_gets_most"])
def test_high_load_is_served_in_time(pattern):
    """Load pattern: about 80% of what the executors can do."""
    world = lease_load.run_pattern(pattern, seed=1, seconds=10.0, rate=70.0)
    assert world.oracle.violations == []
    assert world.value_share >= VALUE_SHARE_TARGET
