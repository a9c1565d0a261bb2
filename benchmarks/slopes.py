"""Marginal cost of a member, a task and a configuration change.

`python -m benchmarks.slopes` prints one JSON object with the slopes of the
capacity page. Each figure is CPU time, bytes on the wire or bytes of memory of
the state machines and the codec, measured in this process without sockets.
"""

from __future__ import annotations

import gc
import json
import random
import time
import tracemalloc
from collections.abc import Callable

from gypsumline.core.configuration import Client, Configuration, Service
from gypsumline.core.control.control_machine import ControlMachine
from gypsumline.core.control.control_settings import ControlSettings
from gypsumline.core.control.record import (
    ControlRecord,
    OwnerEpoch,
    RegisteredAgent,
)
from gypsumline.core.effects import Answer, Effect, Send, StartTask
from gypsumline.core.identity import Member, Role
from gypsumline.core.messages import (
    ControlPush,
    Heartbeat,
    HeartbeatReply,
    StartTasks,
    Submit,
    TaskResults,
    UpstreamState,
)
from gypsumline.core.placement.scheduler import Scheduler
from gypsumline.core.placement.settings import PlacementSettings
from gypsumline.core.slots.slot_settings import Announcement, SlotSettings
from gypsumline.core.slots.slot_table import SlotTable
from gypsumline.core.submissions.owner import SubmissionOwner
from gypsumline.core.submissions.owner_settings import OwnerSettings
from gypsumline.core.submissions.submission_key import generate_key
from gypsumline.core.task import JobBody, TaskResult, TaskSpec, TaskStatus
from gypsumline.wire.codec import decode_body, encode_frame

_MICROSECONDS = 1e6
_MEMBER_COUNTS = (10, 100, 630)
_TEAMS = 140
_SERVICES = 60
_JOB_TASKS = 40
_JOBS = 300
_CALLS_PER_ROUND = 300
_SLOTS = 8


def make_member(number: int, role: Role) -> Member:
    """Returns a member whose id and address derive from a number."""
    return Member(
        member_id=f"{role.value}-{number}",
        incarnation=time.time_ns(),
        role=role,
        availability_zone=f"zone-{number % 4}",
        address=f"10.0.{number // 250}.{number % 250}:7400",
    )


def make_record(agents: int, entries: tuple[Member, ...]) -> ControlRecord:
    """Returns a record with a configuration of the design size."""
    return ControlRecord(
        revision=1,
        configuration_version=1,
        configuration=Configuration(
            services=tuple(
                Service(name=f"service-{n}", kinds=("card", "proof"))
                for n in range(_SERVICES)
            ),
            clients=tuple(
                Client(name=f"team-{n}", max_running=4000)
                for n in range(_TEAMS)
            ),
        ),
        entries=entries,
        agents=tuple(
            RegisteredAgent(
                agent_id=f"agent-{n}", availability_zone=f"zone-{n % 4}"
            )
            for n in range(agents)
        ),
        voters=entries,
        epochs=(OwnerEpoch(begins_at_wall=0.0, owners=entries),),
    )


def measure_record() -> dict[str, float]:
    """Measures the size and codec cost of the control record."""
    entries = tuple(make_member(n, Role.ENTRY) for n in range(3))
    figures: dict[str, float] = {}
    for count in _MEMBER_COUNTS:
        push = ControlPush(record=make_record(count, entries))
        frame = encode_frame(push)
        figures[f"record_bytes_{count}_agents"] = len(frame)
        encode = _time_us(lambda push=push: encode_frame(push), 50)
        decode = _time_us(lambda frame=frame: decode_body(frame[4:]), 50)
        figures[f"record_encode_us_{count}_agents"] = encode
        figures[f"record_decode_us_{count}_agents"] = decode
    record = make_record(_MEMBER_COUNTS[-1], entries)
    key = generate_key()
    figures["owner_of_us_3_entries"] = _time_us(
        lambda: record.owner_of(key), _CALLS_PER_ROUND
    )
    return figures


def measure_heartbeats() -> dict[str, float]:
    """Measures size and cost of a heartbeat at an entry and at an agent."""
    entry = make_member(0, Role.ENTRY)
    agent = make_member(0, Role.AGENT)
    settings = ControlSettings()
    state = UpstreamState(
        upstream_id="exec-0",
        service="service-0",
        slots=_SLOTS,
        free=_SLOTS,
        healthy=True,
    )
    heartbeat = Heartbeat(sequence=1, revision=0, upstream=state)
    reply = HeartbeatReply(sequence=1, revision=0, evidence_age=0.1)
    frames = (encode_frame(heartbeat), encode_frame(reply))
    at_entry = ControlMachine(entry, settings, random.Random(1))
    at_agent = ControlMachine(agent, settings, random.Random(1))
    at_entry.on_connected(agent, 0.0, 0.0)
    at_agent.on_connected(entry, 0.0, 0.0)
    wall = time.time()

    def entry_step() -> None:
        message = decode_body(frames[0][4:])
        _encode_all(at_entry.on_message(agent, message, 1.0, wall))

    def agent_step() -> None:
        message = decode_body(frames[1][4:])
        _encode_all(at_agent.on_message(entry, message, 1.0, wall))
        encode_frame(heartbeat)

    return {
        "heartbeat_bytes": len(frames[0]),
        "heartbeat_reply_bytes": len(frames[1]),
        "heartbeat_at_entry_us": _time_us(entry_step, _CALLS_PER_ROUND),
        "heartbeat_at_agent_us": _time_us(agent_step, _CALLS_PER_ROUND),
    }


class _LocalCluster:
    """One owner and some agents that finish each task immediately."""

    def __init__(self, agents: int) -> None:
        self.entry = make_member(0, Role.ENTRY)
        self.record = make_record(agents, (self.entry,))
        self.now = 100.0
        scheduler = Scheduler(PlacementSettings(), random.Random(1))
        self.owner = SubmissionOwner(self.entry, OwnerSettings(), scheduler)
        self.owner.set_record(self.record, 0.0, self.now, time.time() - 100)
        self.agents: dict[str, tuple[Member, SlotTable]] = {}
        self.owner_seconds = 0.0
        self.agent_seconds = 0.0
        self.answers = 0
        self.frame_bytes = 0
        for number in range(agents):
            self._add_agent(make_member(number, Role.AGENT))

    def run_job(self, tasks: int) -> None:
        """Runs one job until it is answered."""
        body = JobBody(
            service="service-0",
            client="team-0",
            tasks=tuple(
                TaskSpec(index=n, kind="card", payload=b'{"n": 1}')
                for n in range(tasks)
            ),
            timeout=30.0,
        )
        submit = Submit(
            request_id=1, key=generate_key(), digest=bytes(32), body=body
        )
        self._call_owner(
            lambda: self.owner.submit("", submit, True, self.now, time.time())
        )

    def _add_agent(self, member: Member) -> None:
        table = SlotTable(member, SlotSettings())
        announcement = Announcement(
            upstream_id=f"exec-{member.member_id}",
            service="service-0",
            slots=_SLOTS,
        )
        table.announce(announcement, self.now)
        table.set_record(self.record, self.now)
        self.agents[member.member_id] = (member, table)
        self.owner.on_agent_connected(member, self.now, time.time())
        state = table.upstream_state()
        self.owner.on_agent(member, state, self.now, time.time())

    def _call_owner(self, call: Callable[[], list[Effect]]) -> None:
        started_at = time.process_time()
        effects = call()
        self.owner_seconds += time.process_time() - started_at
        for effect in effects:
            if isinstance(effect, Send):
                self.frame_bytes += len(encode_frame(effect.message))
                self._deliver_to_agent(effect)
            self.answers += isinstance(effect, Answer)

    def _deliver_to_agent(self, send: Send) -> None:
        member, table = self.agents[send.to]
        self.now += 0.0001
        started_at = time.process_time()
        effects = table.on_message(
            self.entry, send.message, True, self.now, time.time()
        )
        if isinstance(send.message, StartTasks):
            effects = list(effects) + self._run_tasks(table, effects)
        self.agent_seconds += time.process_time() - started_at
        for effect in effects:
            if isinstance(effect, Send) and isinstance(
                effect.message, TaskResults
            ):
                self.frame_bytes += len(encode_frame(effect.message))
                self._deliver_to_owner(member, effect.message)

    def _run_tasks(
        self, table: SlotTable, effects: list[Effect]
    ) -> list[Effect]:
        further: list[Effect] = []
        for effect in effects:
            if not isinstance(effect, StartTask):
                continue
            index = effect.task.index
            table.may_start(effect.key, index, True, self.now)
            result = TaskResult(
                index=index,
                status=TaskStatus.SUCCEEDED,
                value=b'{"value": 1}',
                run_time=0.2,
                attempt=effect.attempt,
            )
            further += table.on_finished(effect.key, result, self.now)
        further += table.tick(True, self.now + 1.0)
        return further

    def _deliver_to_owner(self, member: Member, message: TaskResults) -> None:
        self._call_owner(
            lambda: self.owner.on_message(
                member, message, self.now, time.time(), True
            )
        )


def measure_jobs() -> dict[str, float]:
    """Measures CPU time and memory of jobs at the owner and the agents."""
    cluster = _LocalCluster(agents=10)
    cluster.run_job(_JOB_TASKS)
    cluster.owner_seconds = cluster.agent_seconds = 0.0
    cluster.frame_bytes = 0
    tracemalloc.start()
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    for _ in range(_JOBS):
        cluster.run_job(_JOB_TASKS)
    gc.collect()
    growth = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    memory_per_task = growth / _JOBS / _JOB_TASKS
    cluster.owner_seconds = cluster.agent_seconds = 0.0
    for _ in range(_JOBS):
        cluster.run_job(_JOB_TASKS)
    tasks = _JOBS * _JOB_TASKS
    return {
        "jobs_answered": cluster.answers,
        "owner_us_per_task": cluster.owner_seconds / tasks * _MICROSECONDS,
        "agent_us_per_task": cluster.agent_seconds / tasks * _MICROSECONDS,
        "frame_bytes_per_task": cluster.frame_bytes / tasks / 2,
        "memory_bytes_per_task_owner_and_journal": memory_per_task,
    }


def measure() -> dict[str, float]:
    """Measures all slopes; returns them by name."""
    figures = measure_record() | measure_heartbeats() | measure_jobs()
    return {name: round(value, 2) for name, value in figures.items()}


def main() -> None:
    """Prints the slopes as one JSON object."""
    print(json.dumps(measure(), indent=2))


def _encode_all(effects: list[Effect]) -> None:
    for effect in effects:
        if isinstance(effect, Send):
            encode_frame(effect.message)


def _time_us(step: Callable[[], object], calls: int) -> float:
    """Returns the microseconds per call of the fastest of three rounds."""
    fastest = float("inf")
    for _ in range(3):
        started_at = time.process_time()
        for _ in range(calls):
            step()
        fastest = min(fastest, time.process_time() - started_at)
    return fastest / calls * _MICROSECONDS


if __name__ == "__main__":
    main()
