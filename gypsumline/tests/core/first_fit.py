"""A simple task scheduler for tests of the submission owner."""

from __future__ import annotations

from gypsumline.core.submissions.task_scheduler import (
    Admission,
    Assignment,
    Withdrawal,
)
from gypsumline.core.task import Reason


class FirstFitScheduler:
    """Places each task at the first agent with free capacity.

    An agent takes up to twice as many tasks as it has slots. A job is refused
    only if a test sets `refusal`, and a task is withdrawn only if a test adds
    it to `to_withdraw`.
    """

    def __init__(self):
        self.states = {}
        self.waiting = {}
        self.used = {}
        self.refusal = None
        self.returned = []
        self.to_withdraw = []

    def set_record(self, record, now):
        pass

    def observe_agent(self, agent, state, now):
        self.states[agent.member_id] = state

    def remove_agent(self, agent_id, now):
        self.states.pop(agent_id, None)
        self.used.pop(agent_id, None)

    def admit(self, body, now):
        return self.refusal or Admission(accepted=True)

    def add_job(self, key, body, indexes, now):
        self.waiting.setdefault(key, []).extend(indexes)

    def remove_job(self, key, now):
        self.waiting.pop(key, None)

    def assign(self, now):
        assignments = []
        for agent_id, state in self.states.items():
            if state.leaving or not state.healthy:
                continue
            used = self.used.setdefault(agent_id, set())
            for key, indexes in self.waiting.items():
                capacity = 2 * state.slots - len(used)
                chosen = tuple(indexes[: max(capacity, 0)])
                if chosen:
                    del indexes[: len(chosen)]
                    used.update((key, index) for index in chosen)
                    assignments.append(
                        Assignment(agent_id=agent_id, key=key, indexes=chosen)
                    )
        return assignments

    def is_backlogged(self, waiting):
        return waiting > 0

    def withdrawals(self, now):
        requested, self.to_withdraw = self.to_withdraw, []
        return [
            Withdrawal(agent_id=agent_id, key=key, indexes=indexes)
            for agent_id, key, indexes in requested
        ]

    def finish_task(self, agent_id, key, result, now):
        self.used.get(agent_id, set()).discard((key, result.index))

    def return_task(self, agent_id, key, index, reason, now):
        self.returned.append((agent_id, key, index, reason))
        self.used.get(agent_id, set()).discard((key, index))
        if reason in (Reason.LEAVING, Reason.NO_UPSTREAM, Reason.OUT):
            self.states.pop(agent_id, None)
        if key in self.waiting:
            self.waiting[key].append(index)
