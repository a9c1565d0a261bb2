"""Cost of the decisions of an entry on leased jobs.

`python -m benchmarks.lease_decisions` prints, for several numbers of agents,
the microseconds for an unchanged ping, for a pass in which nothing fits, and
for a job of one task that is placed and finishes. Absolute figures depend on
the machine; their growth with the number of agents should stay small.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import time
from collections.abc import Callable

from gypsumline.core.effects import Effect, Send
from gypsumline.core.identity import Member, Role
from gypsumline.core.leases.job import JobRequest, JobStep, QueueRules
from gypsumline.core.leases.messages import (
    ContactPing,
    ExecutorLoad,
    RunEnd,
    RunReport,
    RunReports,
    StartRuns,
)
from gypsumline.core.leases.owner import LeasedOwner
from gypsumline.core.leases.owner_settings import LeasedOwnerSettings
from gypsumline.core.leases.resources import Resources
from gypsumline.core.leases.settings import LeaseSettings

AGENT_COUNTS = (14, 65, 79, 300, 1_000)
REPETITIONS = 200
# Size of the backlog behind full agents: the most jobs that are admitted.
BACKLOGGED_JOBS = 40
SERVICE = "service"
_TASK_RESOURCES = Resources(processor=1600, memory=64)
_EXECUTOR_CAPACITY = Resources(processor=16_000, memory=64_000)
# The latency limit is so high that jobs are admitted behind any backlog.
_QUEUE = QueueRules(name="queue", service=SERVICE, latency=3600.0)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseDecisionCost:
    """Costs in microseconds for one number of agents.

    Attributes:
      agents: Number of agents.
      ping_us: Cost of an unchanged ping while there is a backlog.
      pass_us: Cost of a pass over the backlog in which nothing fits.
      job_us: Cost of a job of one task, from admission to its end.
    """

    agents: int
    ping_us: float
    pass_us: float
    job_us: float


def measure(agents: int) -> LeaseDecisionCost:
    """Measures the costs with a number of agents."""
    idle = _make_owner(agents, _EXECUTOR_CAPACITY)
    job_us = _microseconds(lambda step: _run_job(idle, step))
    full = _make_owner(agents, Resources())
    for number in range(BACKLOGGED_JOBS):
        full.submit(_make_request(number), 0.0)
    ping = _make_ping(0, Resources())
    ping_us = _microseconds(lambda _: _handle_ping(full, _make_agent(0), ping))
    pass_us = _microseconds(lambda _: full.place_waiting(0.0))
    return LeaseDecisionCost(agents, ping_us, pass_us, job_us)


def _microseconds(action: Callable[[int], object]) -> float:
    begin = time.perf_counter()
    for step in range(REPETITIONS):
        action(step)
    return round((time.perf_counter() - begin) / REPETITIONS * 1e6, 1)


def _make_owner(agents: int, free: Resources) -> LeasedOwner:
    owner = LeasedOwner(LeaseSettings(), LeasedOwnerSettings())
    for number in range(agents):
        owner.on_connected(_make_agent(number), 0.0)
        owner.on_ping(_make_agent(number), _make_ping(number, free), 0.0)
    return owner


def _handle_ping(owner: LeasedOwner, agent: Member, ping: ContactPing) -> None:
    owner.on_ping(agent, ping, 0.0)
    owner.answer_ping(agent, ping.stamp, 0.0)


def _make_agent(number: int) -> Member:
    return Member(
        member_id=f"agent-{number}",
        incarnation=1,
        role=Role.AGENT,
        availability_zone=f"zone-{number % 5}",
    )


def _make_load(number: int, free: Resources) -> ExecutorLoad:
    return ExecutorLoad(
        executor=f"executor-{number}",
        service=SERVICE,
        capacity=_EXECUTOR_CAPACITY,
        free=free,
        taking=True,
        orders_seen=REPETITIONS,
    )


def _make_ping(number: int, free: Resources) -> ContactPing:
    return ContactPing(stamp=0.0, load=_make_load(number, free))


def _make_request(number: int) -> JobRequest:
    return JobRequest(
        key=f"{number:016x}",
        spec="spec",
        queue=_QUEUE,
        steps=(JobStep(count=1, resources=_TASK_RESOURCES, run_time=0.2),),
        timeout=3600.0,
    )


def _run_job(owner: LeasedOwner, number: int) -> list[Effect]:
    effects = owner.submit(_make_request(number), 0.0)
    name, order = next(
        (effect.to, effect.message.orders[0])
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, StartRuns)
    )
    agent = int(name.removeprefix("agent-"))
    report = RunReport(
        task=order.task, attempt=order.attempt, end=RunEnd.DONE, run_time=0.2
    )
    message = RunReports(
        reports=(report,), load=_make_load(agent, _EXECUTOR_CAPACITY)
    )
    return owner.on_reports(_make_agent(agent), message, 0.0)


def main() -> None:
    """Prints the costs as JSON lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--agents", type=int, nargs="*", default=list(AGENT_COUNTS)
    )
    for agents in parser.parse_args().agents:
        print(json.dumps(dataclasses.asdict(measure(agents))))


if __name__ == "__main__":
    main()
