"""State of one placement pass over an owner's waiting jobs."""

from __future__ import annotations

from collections.abc import Callable

from gypsumline.core.leases.containment import Pool
from gypsumline.core.leases.fleet import AgentView
from gypsumline.core.leases.job import PlacedRun
from gypsumline.core.leases.resources import Resources


class PlacementPass:
    """Caches agents and shortages for all jobs of one pass.

    In a long backlog most jobs need resources that a job ahead of them did not
    get. The agents of a pool are looked up once, and resources that fit
    nowhere are not tried again, so that a pass costs little more than the runs
    that it places.
    """

    def __init__(self, find_agents: Callable[[Pool], list[AgentView]]) -> None:
        """Starts a pass.

        Args:
          find_agents: Returns the agents that can be given runs of a pool.
        """
        self._find_agents = find_agents
        self._agents: dict[Pool, list[AgentView]] = {}
        self._largest_free: dict[Pool, Resources] = {}
        self._short: dict[Pool, list[Resources]] = {}
        self._runs: dict[tuple[str, str], list[PlacedRun]] = {}

    @property
    def runs(self) -> list[list[PlacedRun]]:
        """Runs placed so far, grouped by agent and job."""
        return list(self._runs.values())

    def agents(self, pool: Pool) -> list[AgentView]:
        """Returns the agents that can be given runs of a pool."""
        found = self._agents.get(pool)
        if found is None:
            found = self._agents[pool] = self._find_agents(pool)
        return found

    def may_fit(self, pool: Pool, needs: Resources) -> bool:
        """Returns whether the largest amounts free at the start suffice.

        They may be free at different agents.
        """
        largest = self._largest_free.get(pool)
        if largest is None:
            free = [agent.free for agent in self.agents(pool)]
            largest = self._largest_free[pool] = Resources(
                processor=max((f.processor for f in free), default=0),
                memory=max((f.memory for f in free), default=0),
                accelerators=max((f.accelerators for f in free), default=0),
            )
        return needs.fits(largest)

    def exclude(self, pool: Pool, agent: AgentView) -> None:
        """Excludes an agent from the rest of the pass."""
        self._agents[pool].remove(agent)

    def lacks_capacity(self, pool: Pool, needs: Resources) -> bool:
        """Returns whether these or smaller needs were found to fit nowhere."""
        return any(short.fits(needs) for short in self._short.get(pool, ()))

    def record_shortage(self, pool: Pool, needs: Resources) -> None:
        """Records that no agent of a pool has these resources free."""
        self._short.setdefault(pool, []).append(needs)

    def add(self, run: PlacedRun) -> None:
        """Adds a placed run."""
        name = run.agent.member_id, run.task.job.key
        self._runs.setdefault(name, []).append(run)
