"""Focused tests of the control state over the in-memory world."""

from gypsumline.core.configuration import Configuration
from gypsumline.core.effects import ConfigurationChange
from gypsumline.core.identity import Role
from properties.control_world import World


def change(token: str, base: int = 0, out: str = "marousi"):
    return ConfigurationChange(
        base_version=base,
        text=f"out: {out}",
        configuration=Configuration(availability_zones_out=(out,)),
        author="ada",
        note="power work",
        write_token=token,
    )


def propose(world: World, entry: str, request_id: int, asked) -> None:
    process = world.processes[entry]
    world.call(
        process, lambda n, w: process.machine.propose(request_id, asked, n, w)
    )


def small_world(seed: int = 1) -> World:
    world = World(seed)
    for number, zone in enumerate(("glyfada", "marousi", "piraeus")):
        world.start(f"entry-{number}", zone, Role.ENTRY)
        world.start(f"agent-{number}", zone, Role.AGENT)
    world.run(8)
    return world


def test_start_reaches_one_settled_record():
    """Guards against a system that never finishes its start."""
    world = small_world()
    record = world.row
    assert [e.member_id for e in record.entries] == [
        "entry-0",
        "entry-1",
        "entry-2",
    ]
    assert len(record.agents) == 3
    assert len(record.voters) == 5
    settled = record.revision
    world.run(20)
    assert world.row.revision == settled
    for process in world.processes.values():
        now = process.clock(world.time)
        assert process.machine.record == record
        assert process.machine.is_fresh(now)
        if process.member.role is Role.ENTRY:
            assert process.machine.ready_at() <= now


def test_change_is_accepted_and_in_force_everywhere():
    """Guards against an accepted change that some process does not know."""
    world = small_world()
    propose(world, "entry-1", 1, change("token-1"))
    world.run(4)
    assert world.outcomes[1].kind == "accepted"
    assert world.outcomes[1].version == 1
    for process in world.processes.values():
        configuration = process.machine.record.configuration
        assert configuration.availability_zones_out == ("marousi",)
