"""Drives one job through one owner and two agents in a single process."""

import collections
import random

import gypsumline

KEY = "018bcfe5-6800-7000-8000-000000000001"  # else from generate_key()
CONFIGURATION = "services:\n  printing: {}\n"
STARTED_AT_WALL = gypsumline.key_time(KEY) - 2.0
RUN_TIME_SECONDS = 0.1


def make_member(name: str, role: gypsumline.Role) -> gypsumline.Member:
    """Returns a process that started at `STARTED_AT_WALL`."""
    return gypsumline.Member(
        member_id=name,
        incarnation=int(STARTED_AT_WALL * 1e9),
        role=role,
        availability_zone="piraeus",
    )


OWNER = make_member("entry-1", gypsumline.Role.ENTRY)
AGENTS = [
    make_member("agent-1", gypsumline.Role.AGENT),
    make_member("agent-2", gypsumline.Role.AGENT),
]


def make_record() -> gypsumline.ControlRecord:
    """Returns the first revision, with one owner for all keys."""
    epoch = gypsumline.OwnerEpoch(begins_at_wall=0.0, owners=(OWNER,))
    return gypsumline.ControlRecord(
        revision=1,
        configuration_version=1,
        configuration=gypsumline.parse_configuration(CONFIGURATION),
        entries=(OWNER,),
        agents=tuple(
            gypsumline.RegisteredAgent(
                agent_id=agent.member_id,
                availability_zone=agent.availability_zone,
            )
            for agent in AGENTS
        ),
        epochs=(epoch,),
    )


class Program:
    """Holds the clock, the connections and the effects to carry out."""

    def __init__(self) -> None:
        self.now = 0.0
        self.fresh = True  # else from ControlMachine.is_fresh(now)
        self.queue: collections.deque[
            tuple[gypsumline.Member, gypsumline.Effect]
        ] = collections.deque()
        scheduler = gypsumline.Scheduler(
            gypsumline.PlacementSettings(), random.Random(1)
        )
        self.owner = gypsumline.SubmissionOwner(
            OWNER, gypsumline.OwnerSettings(), scheduler
        )
        self.tables = {
            agent.member_id: gypsumline.SlotTable(
                agent, gypsumline.SlotSettings()
            )
            for agent in AGENTS
        }

    @property
    def wall(self) -> float:
        """UTC seconds."""
        return STARTED_AT_WALL + self.now

    def set_up(self) -> None:
        """Gives out the record, the executors and the connections."""
        record = make_record()
        ready_at = self.now  # else from ControlMachine.ready_at()
        effects = self.owner.set_record(record, ready_at, self.now, self.wall)
        self.add(OWNER, effects)
        self.now += 2.0
        for agent in AGENTS:
            table = self.tables[agent.member_id]
            self.add(agent, table.set_record(record, self.now))
            executor = gypsumline.Announcement(
                upstream_id=f"executor of {agent.member_id}",
                service="printing",
                slots=1,
            )
            self.add(agent, table.announce(executor, self.now))
            connected = self.owner.on_agent_connected(
                agent, self.now, self.wall
            )
            self.add(OWNER, connected)
            # Repeat this with each heartbeat of the agent.
            state = table.upstream_state()
            observed = self.owner.on_agent(agent, state, self.now, self.wall)
            self.add(OWNER, observed)

    def submit(self, payloads: list[bytes]) -> None:
        """Submits a job with one task for each payload."""
        tasks = tuple(
            gypsumline.TaskSpec(index=index, kind="card", payload=payload)
            for index, payload in enumerate(payloads)
        )
        body = gypsumline.JobBody(
            service="printing", client="demo", tasks=tasks, timeout=10.0
        )
        # The digest tells another body under the same key.
        submit = gypsumline.Submit(
            request_id=1, key=KEY, digest=b"digest of the body", body=body
        )
        effects = self.owner.submit("", submit, self.fresh, self.now, self.wall)
        self.add(OWNER, effects)

    def add(
        self, member: gypsumline.Member, effects: list[gypsumline.Effect]
    ) -> None:
        """Queues what a member's decision asks for."""
        self.queue.extend((member, effect) for effect in effects)

    def run(self) -> None:
        """Carries out effects until none is left."""
        while self.queue:
            member, effect = self.queue.popleft()
            if isinstance(effect, gypsumline.Send):
                self.deliver(member, effect)
            elif isinstance(effect, gypsumline.StartTask):
                self.start(member, effect)
            elif isinstance(effect, gypsumline.Answer):
                values = [result.value for result in effect.answer.results]
                print(f"answer: {effect.answer.outcome} {values}")
            # `Decision` effects are log lines; this program drops them.

    def deliver(self, sender: gypsumline.Member, send: gypsumline.Send) -> None:
        """Carries a message over what would be a connection."""
        print(f"{sender.member_id} -> {send.to}: {send.message.wire_name}")
        if send.to == OWNER.member_id:
            effects = self.owner.on_message(
                sender, send.message, self.now, self.wall, self.fresh
            )
            self.add(OWNER, effects)
            return
        (agent,) = [a for a in AGENTS if a.member_id == send.to]
        effects = self.tables[send.to].on_message(
            sender, send.message, self.fresh, self.now, self.wall
        )
        self.add(agent, effects)

    def start(
        self, agent: gypsumline.Member, effect: gypsumline.StartTask
    ) -> None:
        """Runs one task, if the agent allows it at this very moment."""
        table = self.tables[agent.member_id]
        index = effect.task.index
        reason = table.may_start(effect.key, index, self.fresh, self.now)
        if reason is not gypsumline.Reason.NONE:
            self.add(agent, table.tick(self.fresh, self.now))
            return
        print(f"{agent.member_id} starts task {index}")
        self.now += RUN_TIME_SECONDS  # the executor works
        result = gypsumline.TaskResult(
            index=index,
            status=gypsumline.TaskStatus.SUCCEEDED,
            value=effect.task.payload.upper(),
            run_time=RUN_TIME_SECONDS,
            attempt=effect.attempt,
        )
        self.add(agent, table.on_finished(effect.key, result, self.now))


def main() -> None:
    """Runs one job of two tasks."""
    program = Program()
    program.set_up()
    program.submit([b'"left"', b'"right"'])
    program.run()


if __name__ == "__main__":
    main()
