"""Tests of planned leaves in a simulated cluster."""

from gypsumline.core.identity import Role
from properties.control_world import World


def test_entries_that_stop_together_all_depart():
    """Guards against waiting for a reply when no member is left."""
    world = World(1)
    for number, zone in enumerate(("glyfada", "marousi", "piraeus")):
        world.start(f"entry-{number}", zone, Role.ENTRY)
        world.start(f"agent-{number}", zone, Role.AGENT)
    world.run(8)
    entries = [
        p for p in world.processes.values() if p.member.role is Role.ENTRY
    ]
    for process in entries:
        machine = process.machine
        world.call(process, machine.leave)
        world.call(process, machine.depart)
    world.run(5)
    departed = {
        member_id
        for _, member_id, decision in world.decisions
        if decision.event == "departed"
    }
    assert departed == {"entry-0", "entry-1", "entry-2"}
