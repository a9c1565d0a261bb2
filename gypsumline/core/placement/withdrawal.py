"""Which queued tasks to take back from an agent."""

from __future__ import annotations

from gypsumline.core.placement.fleet import AgentView, PlacedTask
from gypsumline.core.placement.settings import PlacementSettings

TaskName = tuple[str, int]
# A queue is believed in for this long after a report; asking by older reports
# found most tasks started and cost 5% more messages in the model.
FRESH_REPORT_SECONDS = 0.01


class WithdrawalRules:
    """Chooses tasks that wait at an agent although they need not.

    An agent starts its queue in the order of arrival, so the newest tasks of
    this owner are the ones that wait, as many as the last report says.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings

    def blocked(self, agent: AgentView, now: float) -> list[TaskName]:
        """Returns the tasks of an agent that takes no more starts."""
        waiting = self._newest(agent, agent.state.queued)
        on_the_way = [
            (name, task)
            for name, task in agent.placed.items()
            if task.placed_at > agent.seen_at - agent.round_trip
        ]
        chosen = dict(waiting) | dict(on_the_way)
        return [n for n, task in chosen.items() if not task.withdrawing]

    def overdue(
        self, agent: AgentView, idle: int, now: float
    ) -> list[TaskName]:
        """Returns tasks that wait longer than placement reckoned with.

        Args:
          agent: The agent.
          idle: Free slots elsewhere that they could have at once.
          now: The time.
        """
        if now - agent.seen_at > FRESH_REPORT_SECONDS:
            return []
        latest = now - self._settings.withdraw_after
        names = [
            name
            for name, task in self._newest(agent, agent.state.queued)
            if task.placed_at <= latest and not task.withdrawing
        ]
        return names[:idle]

    def _newest(
        self, agent: AgentView, count: int
    ) -> list[tuple[TaskName, PlacedTask]]:
        """Returns the newest tasks that were there at the last report."""
        horizon = agent.seen_at - agent.round_trip
        found: list[tuple[TaskName, PlacedTask]] = []
        for name in reversed(agent.placed):
            if len(found) >= count:
                break
            task = agent.placed[name]
            if task.placed_at <= horizon:
                found.append((name, task))
        return found
