"""Cost of the placement decisions.

`python -m benchmarks.decisions` prints the microseconds per step (a result, a
report and a placement) and per report with 10, 100, 1,000 and 4,400 agents.
Absolute figures depend on the machine; the ratios between the numbers of
agents should stay small.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import random
import time

from benchmarks.job_stream import SERVICE, JobStream, StreamJob, make_executors
from gypsumline.core.configuration import Configuration, Service
from gypsumline.core.control.record import ControlRecord, RegisteredAgent
from gypsumline.core.identity import Member, Role
from gypsumline.core.messages import UpstreamState
from gypsumline.core.placement.scheduler import Scheduler
from gypsumline.core.placement.settings import PlacementSettings
from gypsumline.core.task import TaskResult, TaskStatus

AGENT_COUNTS = (10, 100, 1_000, 4_400)
SLOTS_PER_AGENT = 8
# Virtual seconds between two finished tasks.
STEP_SECONDS = 1e-5


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionCost:
    """Costs for one number of agents.

    Attributes:
      agents: Number of agents.
      backlog: Whether there is always a backlog.
      step_us: Microseconds to handle the result of one task and the report
        that comes with it, and for the placement pass after these and a new
        job.
      placed: Number of tasks placed per step.
      admit_us: Microseconds to admit and add a job of one task.
      report_us: Microseconds per heartbeat.
    """

    agents: int
    backlog: bool
    step_us: float
    placed: float
    admit_us: float
    report_us: float


class _SchedulerDriver:
    """Drives a scheduler and tracks the running tasks of its agents."""

    def __init__(self, agents: int, seed: int) -> None:
        self.executors = make_executors(agents, 3)
        record = ControlRecord(
            revision=1,
            configuration=Configuration(services=(Service(name=SERVICE),)),
            agents=tuple(
                RegisteredAgent(agent_id=e.name, availability_zone=e.zone)
                for e in self.executors
            ),
        )
        self.now = 0.0
        self.stream = JobStream(seed)
        self.scheduler = Scheduler(PlacementSettings(), random.Random(seed))
        self.scheduler.set_record(record, 0.0)
        self.members = {
            e.name: Member(
                member_id=e.name,
                incarnation=1,
                role=Role.AGENT,
                availability_zone=e.zone,
            )
            for e in self.executors
        }
        self.speeds = {e.name: e.speed for e in self.executors}
        self.busy = dict.fromkeys(self.members, 0)
        self.running: list[tuple[str, str, int]] = []
        self.works: dict[str, tuple[float, ...]] = {}
        self.send_all_reports()

    def send_report(self, name: str) -> None:
        state = UpstreamState(
            upstream_id=name,
            service=SERVICE,
            slots=SLOTS_PER_AGENT,
            free=SLOTS_PER_AGENT - self.busy[name],
            healthy=True,
        )
        self.scheduler.observe_agent(self.members[name], state, self.now)

    def send_all_reports(self) -> float:
        started = time.perf_counter()
        for name in self.members:
            self.send_report(name)
        return time.perf_counter() - started

    def add_job(self, job: StreamJob) -> None:
        tasks = len(job.works)
        self.works[job.key] = job.works
        self.scheduler.admit(job.body, self.now)
        indexes = tuple(range(tasks))
        self.scheduler.add_job(job.key, job.body, indexes, self.now)

    def assign(self) -> int:
        placed = 0
        for assignment in self.scheduler.assign(self.now):
            self.busy[assignment.agent_id] += len(assignment.indexes)
            placed += len(assignment.indexes)
            for index in assignment.indexes:
                self.running.append(
                    (assignment.agent_id, assignment.key, index)
                )
        self.scheduler.withdrawals(self.now)
        return placed

    def finish_running(self, position: int) -> None:
        last = len(self.running) - 1
        entry = self.running[position]
        self.running[position] = self.running[last]
        self.running.pop()
        name, key, index = entry
        self.busy[name] -= 1
        result = TaskResult(
            index=index,
            status=TaskStatus.SUCCEEDED,
            run_time=self.works[key][index] / self.speeds[name],
        )
        self.scheduler.finish_task(name, key, result, self.now)
        self.send_report(name)


def measure(
    agents: int, backlog: bool, tasks: int = 4000, seed: int = 1
) -> DecisionCost:
    """Measures the costs with one number of agents."""
    driver = _SchedulerDriver(agents, seed)
    rng = random.Random(seed)
    driver.now = 2.0
    report_us = driver.send_all_reports() / agents * 1e6
    slots = agents * SLOTS_PER_AGENT
    remaining = slots * 2 if backlog else int(slots * 0.8)
    while remaining > 0:
        job_tasks = min(remaining, 500)
        driver.add_job(driver.stream.make(driver.now, 60.0, tasks=job_tasks))
        remaining -= job_tasks
    driver.assign()
    admit_seconds = step_seconds = 0.0
    placed = 0
    for _ in range(tasks):
        driver.now += STEP_SECONDS
        position = rng.randrange(len(driver.running))
        started = time.perf_counter()
        driver.finish_running(position)
        step_seconds += time.perf_counter() - started
        job = driver.stream.make(driver.now, 60.0, tasks=1)
        started = time.perf_counter()
        driver.add_job(job)
        admit_seconds += time.perf_counter() - started
        started = time.perf_counter()
        placed += driver.assign()
        step_seconds += time.perf_counter() - started
    return DecisionCost(
        agents=agents,
        backlog=backlog,
        step_us=step_seconds / tasks * 1e6,
        placed=placed / tasks,
        admit_us=admit_seconds / tasks * 1e6,
        report_us=report_us,
    )


def run_all(seed: int = 1) -> list[DecisionCost]:
    """Measures all numbers of agents, without and with a backlog."""
    return [
        measure(agents, backlog, seed=seed)
        for backlog in (False, True)
        for agents in AGENT_COUNTS
    ]


def main() -> None:
    """Prints the costs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    if options.json:
        costs = [dataclasses.asdict(cost) for cost in run_all(options.seed)]
        print(json.dumps({"costs": costs}))
        return
    print("agents backlog  step us  placed/step  admit+add us  report us")
    for cost in run_all(options.seed):
        print(
            f"{cost.agents:6} {cost.backlog!s:7} {cost.step_us:8.1f} "
            f"{cost.placed:12.2f} {cost.admit_us:13.1f} {cost.report_us:10.1f}"
        )


if __name__ == "__main__":
    main()
