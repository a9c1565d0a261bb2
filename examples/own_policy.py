"""Registers a placement policy and places two tasks by it."""

import random

import gypsumline


@gypsumline.placement_policy("first_by_name")
class FirstByName:
    """Takes the agent with a free slot whose name comes first."""

    binds_at_arrival = False  # a task waits at the owner for a free slot

    def __init__(
        self, settings: gypsumline.PlacementSettings, rng: random.Random
    ) -> None:
        self._none_left = False

    @property
    def is_exhausted(self) -> bool:
        """Whether no further task can be placed in this pass."""
        return self._none_left

    def begin(self, pools: list[gypsumline.Pool]) -> None:
        """Begins a pass over the unplaced tasks."""
        self._none_left = False

    def choose(
        self, pools: list[gypsumline.Pool], work: float
    ) -> gypsumline.AgentView | None:
        """Returns an agent for a task, or None if it should wait."""
        free = [
            agent
            for pool in pools
            for agent in pool.members
            if agent.load < agent.state.slots
        ]
        self._none_left = not free
        return min(free, key=lambda agent: agent.agent_id, default=None)

    def placed(
        self, pools: list[gypsumline.Pool], agent: gypsumline.AgentView
    ) -> None:
        """Does nothing: `agent.load` counts the task already."""


def main() -> None:
    """Places a job of three tasks on two agents with one slot each."""
    settings = gypsumline.PlacementSettings(policy="first_by_name")
    scheduler = gypsumline.Scheduler(settings, random.Random(1))
    service = gypsumline.Service(name="printing")
    names = ("agent-2", "agent-1")
    record = gypsumline.ControlRecord(
        revision=1,
        configuration=gypsumline.Configuration(services=(service,)),
        agents=tuple(
            gypsumline.RegisteredAgent(
                agent_id=name, availability_zone="piraeus"
            )
            for name in names
        ),
    )
    scheduler.set_record(record, now=0.0)
    for name in names:
        agent = gypsumline.Member(
            member_id=name,
            incarnation=1,
            role=gypsumline.Role.AGENT,
            availability_zone="piraeus",
        )
        state = gypsumline.UpstreamState(
            upstream_id=name, service="printing", slots=1, free=1, healthy=True
        )
        scheduler.observe_agent(agent, state, now=0.0)
    tasks = tuple(
        gypsumline.TaskSpec(index=index, kind="card") for index in range(3)
    )
    body = gypsumline.JobBody(
        service="printing", client="demo", tasks=tasks, timeout=10.0
    )
    key = gypsumline.generate_key()
    scheduler.add_job(key, body, range(3), now=0.0)
    for made in scheduler.assign(now=0.0):
        print(f"{made.agent_id} gets {made.indexes} by {made.reason}")


if __name__ == "__main__":
    main()
