"""Load patterns of leased submissions in virtual time.

The bounds are the users' targets for a whole day.
"""

import pytest

from gypsumline.core.leases.effects import JobOutcome
from gypsumline.core.leases.messages import StartRuns
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


def test_crashes_without_a_cause_confine_no_queue():
    """Load pattern: one executor a second crashes by itself and is away 3.3 s.

    Guards against queues that lose executors on a day of host failures.
    """
    world = lease_load.run_pattern(
        "executors_that_crash_by_themselves", seed=1, seconds=12.0
    )
    assert world.oracle.violations == []
    assert world.value_share >= VALUE_SHARE_TARGET


REFUSALS = (JobOutcome.NOT_RUN, JobOutcome.ELSEWHERE)


class StartsWorld(lease_load.LoadWorld):
    """Records orders of runs by time and agent, and refusals by time."""

    def __init__(self, *arguments, **values):
        super().__init__(*arguments, **values)
        self.ordered = []
        self.refusals = []
        self.late_refusals = []
        # Agents that accept no starts half a second after the return.
        self.closed_agents = None
        self.at(8.5, self._record_closed_agents)

    def _record_closed_agents(self):
        self.closed_agents = [
            name
            for name, node in self.agents.items()
            if not node.machine.accepts_starts
        ]

    def _answer(self, node, ended):
        found = self.open_jobs.get(ended.key)
        super()._answer(node, ended)
        if found is None or ended.outcome not in REFUSALS:
            return
        _, _, submitted_at, objective, value = found
        self.refusals.append(submitted_at)
        allowed = lease_load.QUICK_REFUSAL_SHARE * objective
        if self.now - submitted_at > allowed:
            self.late_refusals.append((submitted_at, value))

    def _send(self, node, to, message):
        if isinstance(message, StartRuns):
            self.ordered.append((self.now, to))
        super()._send(node, to, message)

    def orders(self, agents, start, end):
        """Returns the orders to some agents in a period."""
        return sum(
            to in agents and start <= at < end for at, to in self.ordered
        )


HALF_AWAY = ["half_of_the_executors_silent", "half_of_the_executors_crash"]


def run_half_away(pattern, rate):
    """Returns the world and the agents whose executors are away for 3 s."""
    world = lease_load.run_pattern(
        pattern, seed=1, seconds=10.0, rate=rate, world_type=StartsWorld
    )
    assert world.oracle.violations == []
    return world, sorted(world.agents)[: len(world.agents) // 2]


@pytest.mark.parametrize("pattern", HALF_AWAY)
def test_orders_follow_the_executors_that_are_there(pattern):
    """Load pattern: half of the executors away for 3 s, and back again.

    Guards against jobs that are placed at executors that answer nothing.
    """
    world, away = run_half_away(pattern, rate=60.0)
    assert world.orders(away, 4.0, 5.0)
    assert world.orders(away, 5.5, 8.0) == 0
    assert world.orders(away, 8.0, 8.5)


@pytest.mark.parametrize("pattern", HALF_AWAY)
def test_executors_at_rest_get_few_orders_while_away(pattern):
    """Load pattern: as above, with so few jobs that executors are idle.

    Only a call shows that an idle executor is away. Guards against one that is
    open for orders again after each of them.
    """
    world, away = run_half_away(pattern, rate=10.0)
    assert world.orders(away, 5.0, 8.0) <= 2 * len(away)
    assert world.closed_agents == []


@pytest.mark.parametrize("pattern", HALF_AWAY)
def test_admission_follows_the_executors_that_are_there(pattern):
    """Load pattern: half of the executors away for 3 s, the others overloaded.

    Guards against refusals that come late, or go on after the return.
    """
    world, _ = run_half_away(pattern, rate=70.0)
    possible = sum(r.possible for r in world.by_queue.values())
    late = [value for at, value in world.late_refusals if at >= 5.5]
    assert sum(late) <= MAX_LATE_REFUSAL_SHARE * possible
    assert [at for at in world.refusals if at >= 8.5] == []
    assert [at for at in world.refusals if 5.0 <= at < 8.0]
