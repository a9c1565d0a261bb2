"""Which agent gets which task of a leased job."""

from __future__ import annotations

import dataclasses
import itertools
import math
from collections.abc import Iterable

from gypsumline.core.leases.fleet import AgentView
from gypsumline.core.leases.job import JobStep, QueueRules, Task
from gypsumline.core.leases.owner_settings import LeasedOwnerSettings
from gypsumline.core.placement.estimate import RunTimeEstimates


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """The agent for a task.

    Attributes:
      agent: The agent.
      run_time: Expected run time there, in seconds.
      candidates: Agents with room that were weighed.
      in_time: Whether the job's objective is expected to be met.
    """

    agent: AgentView
    run_time: float
    candidates: int
    in_time: bool


class Placement:
    """Chooses agents by expected run time, room and speed."""

    def __init__(
        self,
        settings: LeasedOwnerSettings,
        estimates: RunTimeEstimates,
    ) -> None:
        self._settings = settings
        self._estimates = estimates
        self._next_start = 0

    def work(self, queue: QueueRules, step: JobStep) -> float:
        """Returns the expected run time of a queue's task at speed 1."""
        return self._estimates.work(queue.service, queue.name, step.run_time)

    def speed(self, agent: AgentView) -> float:
        """Returns the learned speed of an agent's executor."""
        return self._estimates.speed(agent.load.executor)

    def run_time(self, task: Task, agent: AgentView, work: float) -> float:
        """Returns the expected run time of a task at an agent."""
        time = work / self.speed(agent)
        if task.step.data_rack and task.step.data_rack not in agent.load.labels:
            time *= self._settings.remote_factor
        return time

    def choose(
        self, task: Task, agents: list[AgentView], now: float
    ) -> Choice | None:
        """Returns the best agent with room, or None.

        Among the agents that are expected to be in time, one with much room
        and low speed is best, which leaves the fast ones to the tasks that
        need them. If none is in time, the fastest one is best.
        """
        work = self.work(task.job.request.queue, task.step)
        slack = task.job.due_at - now
        best: AgentView | None = None
        best_rank = (2, math.inf)
        best_time = 0.0
        candidates = 0
        for agent in self._rotated(_without_stalled(task, agents)):
            if not can_run(agent, task.step):
                continue
            candidates += 1
            time = self.run_time(task, agent, work)
            rank = self._rank(task, agent, time, slack)
            if rank < best_rank:
                best, best_rank, best_time = agent, rank, time
            if candidates == self._settings.candidates_limit:
                break
        if best is None:
            return None
        return Choice(
            agent=best,
            run_time=best_time,
            candidates=candidates,
            in_time=best_rank[0] == 0,
        )

    def _rotated(self, agents: list[AgentView]) -> Iterable[AgentView]:
        """Returns a large fleet from another agent on each time."""
        limit = self._settings.candidates_limit
        if len(agents) <= limit:
            return agents
        begin = self._next_start = (self._next_start + limit) % len(agents)
        return itertools.chain(agents[begin:], agents[:begin])

    def _rank(
        self, task: Task, agent: AgentView, time: float, slack: float
    ) -> tuple[int, float]:
        if time > slack:
            return 1, time
        room = agent.free.processor - task.step.resources.processor
        used = 1.0 - room / max(1, agent.load.capacity.processor)
        reserve = self._settings.fast_reserve * math.log2(self.speed(agent))
        return 0, used + reserve


def _without_stalled(task: Task, agents: list[AgentView]) -> list[AgentView]:
    """Leaves out the agent where a run stood still, if there are others."""
    others = [a for a in agents if a.member.member_id != task.stalled_agent_id]
    return others or agents


def can_run(agent: AgentView, step: JobStep) -> bool:
    """Returns whether an agent has the label and the room for a task."""
    if step.required_label and step.required_label not in agent.load.labels:
        return False
    return step.resources.fits(agent.free)
