"""What one pass over an owner's waiting jobs has found out."""

from __future__ import annotations

from collections.abc import Callable

from gypsumline.core.leases.fleet import AgentView
from gypsumline.core.leases.job import PlacedRun
from gypsumline.core.leases.resources import Resources


class PlacementPass:
    """Agents and shortages that the jobs of one pass share.

    The jobs of a long backlog mostly want what a job before them did not get.
    Each service's agents are looked up once, and what did not fit is not tried
    again, so that a pass costs little more than the runs that it places.
    """

    def __init__(self, find_agents: Callable[[str], list[AgentView]]) -> None:
        """Begins a pass.

        Args:
          find_agents: Returns the agents that may be given runs of a service.
        """
        self._find_agents = find_agents
        self._agents: dict[str, list[AgentView]] = {}
        self._short: dict[str, list[Resources]] = {}
        self._runs: dict[tuple[str, str], list[PlacedRun]] = {}

    @property
    def runs(self) -> list[list[PlacedRun]]:
        """The runs placed so far, those of one agent and job together."""
        return list(self._runs.values())

    def agents(self, service: str) -> list[AgentView]:
        """Returns the agents that may be given runs of a service."""
        found = self._agents.get(service)
        if found is None:
            found = self._agents[service] = self._find_agents(service)
        return found

    def exclude(self, service: str, agent: AgentView) -> None:
        """Gives an agent no further runs in this pass."""
        self._agents[service].remove(agent)

    def lacks_capacity(self, service: str, needs: Resources) -> bool:
        """Returns whether as much or less was found to fit nowhere."""
        return any(short.fits(needs) for short in self._short.get(service, ()))

    def record_shortage(self, service: str, needs: Resources) -> None:
        """Notes that no agent of a service has this much room."""
        self._short.setdefault(service, []).append(needs)

    def add(self, run: PlacedRun) -> None:
        """Adds a run that was placed."""
        name = run.agent.member_id, run.task.job.key
        self._runs.setdefault(name, []).append(run)
