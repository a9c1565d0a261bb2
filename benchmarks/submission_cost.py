"""Processing time per task of the submission owner and the slot table.

`python -m benchmarks.submission_cost` prints microseconds per task. They
depend on the machine and serve to compare two versions on one machine.
"""

from __future__ import annotations

import time
import uuid

from gypsumline.core.configuration import Configuration, Service
from gypsumline.core.control.record import (
    ControlRecord,
    OwnerEpoch,
    RegisteredAgent,
)
from gypsumline.core.effects import Send, StartTask
from gypsumline.core.identity import Member, Role
from gypsumline.core.messages import StartTasks, Submit, TaskResults
from gypsumline.core.slots.slot_settings import Announcement, SlotSettings
from gypsumline.core.slots.slot_table import SlotTable
from gypsumline.core.submissions.owner import SubmissionOwner
from gypsumline.core.submissions.owner_settings import OwnerSettings
from gypsumline.core.submissions.task_scheduler import Admission, Assignment
from gypsumline.core.task import JobBody, TaskResult, TaskSpec, TaskStatus

WALL_TIME = 1_700_000_000.0
JOBS = 1000
TASKS_PER_JOB = 20
AGENTS = 10
SLOTS_PER_AGENT = 8
_MICROSECONDS = 1e6


class _InstantScheduler:
    """Scheduler that spreads each job over all agents at negligible cost."""

    def __init__(self) -> None:
        self._pending: list[Assignment] = []

    def set_record(self, record: object, now: float) -> None:
        pass

    def admit(self, body: JobBody, now: float) -> Admission:
        return Admission(accepted=True)

    def add_job(
        self, key: str, body: JobBody, indexes: list[int], now: float
    ) -> None:
        for number in range(AGENTS):
            assigned = tuple(indexes[number::AGENTS])
            self._pending.append(
                Assignment(agent_id=f"g{number}", key=key, indexes=assigned)
            )

    def remove_job(self, key: str, now: float) -> None:
        pass

    def assign(self, now: float) -> list[Assignment]:
        assignments, self._pending = self._pending, []
        return assignments

    def is_backlogged(self, waiting: int) -> bool:
        return waiting > 0

    def withdrawals(self, now: float) -> list[object]:
        return []

    def finish_task(
        self, agent_id: str, key: str, result: TaskResult, now: float
    ) -> None:
        pass


def _make_member(member_id: str, role: Role) -> Member:
    return Member(
        member_id=member_id,
        incarnation=1,
        role=role,
        availability_zone="a",
    )


def _make_record() -> tuple[Member, list[Member], ControlRecord]:
    entry = _make_member("e0", Role.ENTRY)
    agents = [_make_member(f"g{n}", Role.AGENT) for n in range(AGENTS)]
    record = ControlRecord(
        revision=1,
        configuration=Configuration(services=(Service(name="s"),)),
        entries=(entry,),
        agents=tuple(
            RegisteredAgent(agent_id=a.member_id, availability_zone="a")
            for a in agents
        ),
        epochs=(OwnerEpoch(begins_at_wall=0.0, owners=(entry,)),),
    )
    return entry, agents, record


def _make_key(number: int) -> str:
    value = int((WALL_TIME + 1000) * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


def _make_submits(jobs: int) -> list[Submit]:
    tasks = tuple(
        TaskSpec(index=index, kind="k", payload=b"x" * 100)
        for index in range(TASKS_PER_JOB)
    )
    body = JobBody(service="s", client="c", tasks=tasks, timeout=30.0)
    return [
        Submit(request_id=n, key=_make_key(n), digest=b"d" * 32, body=body)
        for n in range(jobs)
    ]


def measure_owner(jobs: int = JOBS) -> float:
    """Returns the owner's microseconds per task from submission to answer."""
    entry, agents, record = _make_record()
    owner = SubmissionOwner(entry, OwnerSettings(), _InstantScheduler())
    owner.set_record(record, 0.0, 0.0, WALL_TIME)
    members = {agent.member_id: agent for agent in agents}
    for agent in agents:
        owner.on_agent_connected(agent, 0.0, WALL_TIME)
    now, elapsed = 1000.0, 0.0
    for submit in _make_submits(jobs):
        started_at = time.perf_counter()
        effects = owner.submit("", submit, True, now, WALL_TIME + now)
        elapsed += time.perf_counter() - started_at
        sends = [effect for effect in effects if isinstance(effect, Send)]
        replies = [(members[s.to], _make_results(s.message)) for s in sends]
        started_at = time.perf_counter()
        for agent, reply in replies:
            owner.on_message(agent, reply, now, WALL_TIME + now, True)
        elapsed += time.perf_counter() - started_at
    return elapsed / (jobs * TASKS_PER_JOB) * _MICROSECONDS


def _make_results(start: object) -> TaskResults:
    assert isinstance(start, StartTasks)
    results = tuple(
        TaskResult(
            index=task.index, status=TaskStatus.SUCCEEDED, value=b"y" * 100
        )
        for task in start.tasks
    )
    return TaskResults(key=start.key, results=results, free=0, queued=0)


def measure_slot_table(jobs: int = JOBS) -> float:
    """Returns the table's microseconds per task from start to result."""
    entry, agents, record = _make_record()
    table = SlotTable(agents[0], SlotSettings())
    table.set_record(record, 0.0)
    table.announce(
        Announcement(upstream_id="x", service="s", slots=SLOTS_PER_AGENT), 0
    )
    now, elapsed, tasks = 1000.0, 0.0, 0
    for submit in _make_submits(jobs):
        start = StartTasks(
            key=submit.key,
            agent_incarnation=1,
            service="s",
            tasks=submit.body.tasks[:SLOTS_PER_AGENT],
            attempts=(1,) * SLOTS_PER_AGENT,
            deadline_left=30.0,
            digest=submit.digest,
        )
        results = _make_results(start).results
        started_at = time.perf_counter()
        effects = table.on_message(entry, start, True, now, WALL_TIME + now)
        for effect in effects:
            if isinstance(effect, StartTask):
                table.may_start(effect.key, effect.task.index, True, now)
        for result in results:
            table.on_finished(submit.key, result, now)
        elapsed += time.perf_counter() - started_at
        tasks += SLOTS_PER_AGENT
    return elapsed / tasks * _MICROSECONDS


def main() -> None:
    """Prints both figures."""
    print(f"owner: {measure_owner():.1f} us per task")
    print(f"slot table: {measure_slot_table():.1f} us per task")


if __name__ == "__main__":
    main()
