"""State of one placement pass over an owner's waiting jobs."""

from __future__ import annotations

from collections.abc import Callable

from gypsumline.core.leases.fleet import AgentView
from gypsumline.core.leases.job import PlacedRun
from gypsumline.core.leases.resources import Resources


class PlacementPass:
    """Caches agents and shortages for all jobs of one pass.

    In a long backlog most jobs need resources that a job ahead of them did not
    get. The agents of a service are looked up once, and resources that fit
    nowhere are not tried again, so that a pass costs little more than the runs
    that it places.
    """

    def __init__(self, find_agents: Callable[[str], list[AgentView]]) -> None:
        """Starts a pass.

        Args:
          find_agents: Returns the agents that can be given runs of a service.
        """
        self._find_agents = find_agents
        self._agents: dict[str, list[AgentView]] = {}
        self._largest_free: dict[str, Resources] = {}
        self._short: dict[str, list[Resources]] = {}
        self._runs: dict[tuple[str, str], list[PlacedRun]] = {}

    @property
    def runs(self) -> list[list[PlacedRun]]:
        """Runs placed so far, grouped by agent and job."""
        return list(self._runs.values())

    def agents(self, service: str) -> list[AgentView]:
        """Returns the agents that can be given runs of a service."""
        found = self._agents.get(service)
        if found is None:
            found = self._agents[service] = self._find_agents(service)
        return found

    def may_fit(self, service: str, needs: Resources) -> bool:
        """Returns whether the largest amounts free at the start suffice.

        They may be free at different agents.
        """
        largest = self._largest_free.get(service)
        if largest is None:
            free = [agent.free for agent in self.agents(service)]
            largest = self._largest_free[service] = Resources(
                processor=max((f.processor for f in free), default=0),
                memory=max((f.memory for f in free), default=0),
                accelerators=max((f.accelerators for f in free), default=0),
            )
        return needs.fits(largest)

    def exclude(self, service: str, agent: AgentView) -> None:
        """Excludes an agent from the rest of the pass."""
        self._agents[service].remove(agent)

    def lacks_capacity(self, service: str, needs: Resources) -> bool:
        """Returns whether these or smaller needs were found to fit nowhere."""
        return any(short.fits(needs) for short in self._short.get(service, ()))

    def record_shortage(self, service: str, needs: Resources) -> None:
        """Records that no agent of a service has these resources free."""
        self._short.setdefault(service, []).append(needs)

    def add(self, run: PlacedRun) -> None:
        """Adds a placed run."""
        name = run.agent.member_id, run.task.job.key
        self._runs.setdefault(name, []).append(run)
