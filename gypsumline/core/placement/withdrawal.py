"""Selection of queued tasks to withdraw from an agent."""

from __future__ import annotations

from gypsumline.core.placement.fleet import AgentView, PlacedTask
from gypsumline.core.placement.settings import PlacementSettings

TaskId = tuple[str, int]
# Maximum age of a report by which queued tasks are withdrawn. With older
# reports, most of the tasks had started by then, which cost 5% more messages in
# the placement model.
REPORT_AGE_MAX_SECONDS = 0.01


class WithdrawalRules:
    """Selects tasks that wait at an agent and should be placed elsewhere.

    An agent starts its queue in the order of arrival. So the tasks that wait
    are taken to be this owner's newest ones, as many as the last report has in
    the queue.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings

    def select_unstarted(self, agent: AgentView, now: float) -> list[TaskId]:
        """Returns the unstarted tasks of an agent that accepts no starts."""
        waiting = self._newest_arrived(agent, agent.state.queued)
        in_flight = [
            (task_id, task)
            for task_id, task in agent.placed.items()
            if task.placed_at > agent.reported_at - agent.round_trip
        ]
        selected = dict(waiting) | dict(in_flight)
        return [
            task_id
            for task_id, task in selected.items()
            if not task.withdrawing
        ]

    def select_overdue(
        self, agent: AgentView, idle_agents: int, now: float
    ) -> list[TaskId]:
        """Returns tasks that have waited longer than `withdraw_after`.

        Args:
          agent: The agent.
          idle_agents: Number of agents with a free slot.
          now: Current time.
        """
        if now - agent.reported_at > REPORT_AGE_MAX_SECONDS:
            return []
        latest = now - self._settings.withdraw_after
        task_ids = [
            task_id
            for task_id, task in self._newest_arrived(agent, agent.state.queued)
            if task.placed_at <= latest and not task.withdrawing
        ]
        return task_ids[:idle_agents]

    def _newest_arrived(
        self, agent: AgentView, count: int
    ) -> list[tuple[TaskId, PlacedTask]]:
        """Returns the newest tasks that had arrived at the last report."""
        arrived_before = agent.reported_at - agent.round_trip
        newest: list[tuple[TaskId, PlacedTask]] = []
        for task_id in reversed(agent.placed):
            if len(newest) >= count:
                break
            task = agent.placed[task_id]
            if task.placed_at <= arrived_before:
                newest.append((task_id, task))
        return newest
