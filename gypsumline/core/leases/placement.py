"""Choice of the agent that runs a task of a leased job."""

from __future__ import annotations

import dataclasses
import itertools
import math
from collections.abc import Iterable

from gypsumline.core.leases.fleet import AgentView
from gypsumline.core.leases.job import JobStep, QueueRules, Task
from gypsumline.core.leases.owner_settings import LeasedOwnerSettings
from gypsumline.core.placement.estimate import RunTimeEstimates

# Share of unanswered orders up to which the expected repeats count, so that an
# executor that answers nothing is still used if it is the last one.
_MAX_COUNTED_SHARE = 0.95


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """Result of a placement decision.

    Attributes:
      agent: The chosen agent.
      run_time: Expected run time there, in seconds.
      candidates: Number of agents with enough free capacity compared.
      in_time: Whether the task is expected to meet the job's objective.
    """

    agent: AgentView
    run_time: float
    candidates: int
    in_time: bool


class Placement:
    """Chooses agents by expected run time, free capacity and speed."""

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
        """Returns the expected run time of a task at an agent.

        Args:
          task: The task.
          agent: The agent.
          work: Run time of the task at speed 1, in seconds.
        """
        time = work / self.speed(agent)
        if task.step.data_rack and task.step.data_rack not in agent.load.labels:
            time *= self._settings.remote_factor
        return time

    def choose(
        self, task: Task, agents: list[AgentView], now: float
    ) -> Choice | None:
        """Returns the best agent with enough free capacity, or None.

        Among agents that are expected to be in time, a slower agent with much
        free capacity is preferred, which keeps fast agents free for tasks that
        need them. If none is expected to be in time, the one with the shortest
        run time is chosen.
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
        """Rotates the agents of a large fleet from call to call."""
        limit = self._settings.candidates_limit
        if len(agents) <= limit:
            return agents
        start = self._next_start = (self._next_start + limit) % len(agents)
        return itertools.chain(agents[start:], agents[:start])

    def _rank(
        self, task: Task, agent: AgentView, time: float, slack: float
    ) -> tuple[int, float]:
        share = agent.load.unanswered
        # A start and the list with the end are each repeated until answered.
        lost = share / (1.0 - min(share, _MAX_COUNTED_SHARE))
        time += 2.0 * lost * self._settings.repeat_time
        if time > slack:
            return 1, time
        free = agent.free.processor - task.step.resources.processor
        used = 1.0 - free / max(1, agent.load.capacity.processor)
        reserve = self._settings.fast_reserve * math.log2(self.speed(agent))
        reserve += self._settings.unanswered_reserve * share
        return 0, used + reserve


def _without_stalled(task: Task, agents: list[AgentView]) -> list[AgentView]:
    """Excludes the agent where a run stalled, if there are others."""
    others = [a for a in agents if a.member.member_id != task.stalled_agent_id]
    return others or agents


def can_run(agent: AgentView, step: JobStep) -> bool:
    """Returns whether an agent has the label and free capacity for a task."""
    if step.required_label and step.required_label not in agent.load.labels:
        return False
    return step.resources.fits(agent.free)
