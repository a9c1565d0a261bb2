"""Scenario tests of the control state in a simulated cluster."""

import dataclasses
from random import Random

from gypsumline.core.configuration import Configuration
from gypsumline.core.control.control_machine import ControlMachine
from gypsumline.core.control.control_settings import ControlSettings
from gypsumline.core.control.record import ControlRecord, OwnerEpoch
from gypsumline.core.effects import (
    ConfigurationChange,
    ReadTable,
    TableReadResult,
    WriteTable,
)
from gypsumline.core.identity import Member, Role
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


def propose(world: World, entry: str, request_id: int, proposal) -> None:
    process = world.processes[entry]
    world.call(
        process,
        lambda n, w: process.machine.propose(request_id, proposal, n, w),
    )


def small_world(seed: int = 1) -> World:
    world = World(seed)
    for number, zone in enumerate(("glyfada", "marousi", "piraeus")):
        world.start(f"entry-{number}", zone, Role.ENTRY)
        world.start(f"agent-{number}", zone, Role.AGENT)
    world.run(8)
    return world


def test_start_converges_to_one_record():
    """Guards against a start after which the record keeps changing."""
    world = small_world()
    record = world.row
    assert [e.member_id for e in record.entries] == [
        "entry-0",
        "entry-1",
        "entry-2",
    ]
    assert len(record.agents) == 3
    assert len(record.voters) == 5
    revision = record.revision
    world.run(20)
    assert world.row.revision == revision
    for process in world.processes.values():
        now = process.clock(world.time)
        assert process.machine.record == record
        assert process.machine.is_fresh(now)
        if process.member.role is Role.ENTRY:
            assert process.machine.ready_at() <= now


def test_change_is_accepted_and_in_force_everywhere():
    """Guards against an accepted change that is not in force everywhere."""
    world = small_world()
    propose(world, "entry-1", 1, change("token-1"))
    world.run(4)
    assert world.outcomes[1].kind == "accepted"
    assert world.outcomes[1].version == 1
    for process in world.processes.values():
        configuration = process.machine.record.configuration
        assert configuration.availability_zones_out == ("marousi",)


def fresh_members(world: World) -> set[str]:
    return {
        member_id
        for member_id, process in world.processes.items()
        if process.machine.is_fresh(process.clock(world.time))
    }


def test_write_token_resolves_a_lost_answer():
    """Guards against refusing a written change whose answer was lost."""
    world = small_world()
    world.faults.lost_answers = 1.0
    propose(world, "entry-0", 1, change("token-1"))
    world.run(6)
    assert world.outcomes[1].kind == "accepted"
    propose(world, "entry-1", 2, change("token-1"))
    world.run(3)
    assert (world.outcomes[2].kind, world.outcomes[2].version) == (
        "accepted",
        1,
    )


def test_refusal_names_the_concurrent_change():
    """Guards against accepting two changes with the same base version."""
    world = small_world()
    propose(world, "entry-0", 1, change("token-1"))
    propose(world, "entry-1", 2, change("token-2", out="piraeus"))
    world.run(5)
    kinds = {outcome.kind: outcome for outcome in world.outcomes.values()}
    assert set(kinds) == {"accepted", "refused"}
    assert "version 1 by ada: power work" in kinds["refused"].detail


def test_voters_provide_evidence_while_the_table_is_down():
    """Guards against task starts that stop when only the table is down."""
    world = small_world()
    world.faults.is_down = True
    for _ in range(100):
        world.run(0.3)
        assert fresh_members(world) == set(world.processes)
    propose(world, "entry-0", 1, change("token-1"))
    world.run(22)
    assert world.outcomes[1].kind == "refused"
    world.faults.is_down = False
    world.run(30)
    assert "token-1" not in world.tokens.values()


def test_evidence_ends_without_table_and_voters():
    """Guards against evidence from fewer voters than a majority."""
    world = small_world()
    world.faults.is_down = True
    for name in ("entry-1", "entry-2", "agent-1", "agent-2"):
        world.stop(name)
    world.run(3)
    assert fresh_members(world) == set()


def test_restarted_voter_counts_again_only_when_listed():
    """Guards against a restarted voter that states a lower revision."""
    world = small_world()
    world.faults.is_down = True
    world.restart("agent-0")
    world.run(5)
    assert not world.processes["agent-0"].machine.is_voter()
    world.faults.is_down = False
    world.run(8)
    assert world.processes["agent-0"].machine.is_voter()


def test_silent_owner_is_removed_and_its_keys_move_after_a_delay():
    """Guards against two owners of a key and against a key without owner."""
    world = small_world()
    world.pause("entry-0")
    world.run(4)
    assert "entry-0" not in {e.member_id for e in world.row.entries}
    survivor = world.processes["entry-1"]
    removed_at = world.accepted[world.row.revision]
    delay = survivor.machine.ready_at() - survivor.clock(removed_at)
    assert delay >= world.settings.evidence_ttl
    world.resume("entry-0")
    world.run(10)
    entries = {e.member_id: e.incarnation for e in world.row.entries}
    assert entries["entry-0"] > survivor.member.incarnation


def test_planned_leave_moves_new_keys_and_then_departs():
    """Guards against removing a leaving owner before it has drained."""
    world = small_world()
    leaving = world.processes["entry-0"]
    world.call(leaving, leaving.machine.leave)
    world.run(4)
    owners = {o.member_id for o in world.row.epochs[-1].owners}
    assert owners == {"entry-1", "entry-2"}
    assert leaving.member in world.row.entries
    world.call(leaving, leaving.machine.depart)
    world.run(3)
    assert "entry-0" not in world.processes
    assert leaving.member not in world.row.entries


def test_large_start_needs_few_writes():
    """Guards against one write per process when many processes start."""
    world = World(3)
    for number in range(5):
        world.start(f"entry-{number}", f"zone-{number % 3}", Role.ENTRY)
    for number in range(30):
        world.start(f"agent-{number}", f"zone-{number % 3}", Role.AGENT)
    world.run(10)
    assert len(world.row.entries) == 5 and len(world.row.agents) == 30
    writes = [d for _, _, d in world.decisions if d.event == "table_write"]
    assert len(writes) <= 10


def test_writer_without_the_voters_writes_nothing():
    """Guards against a revision that is never accepted, blocking others."""
    world = small_world()
    before = world.row.revision
    side = {"entry-1", "entry-2", "agent-1", "agent-2"}
    for far in side:
        for near in ("entry-0", "agent-0"):
            world.cuts |= {(near, far), (far, near)}
    world.faults.unreachable |= side
    world.run(3)
    propose(world, "entry-0", 1, change("token-1"))
    world.run(25)
    assert world.row.revision == before
    assert world.outcomes[1].kind == "refused"
    assert fresh_members(world) == set(world.processes)


def test_removed_entry_answers_its_pending_changes():
    """Guards against a change without outcome when its entry is removed."""
    world = small_world()
    world.faults.unreachable.add("entry-0")
    propose(world, "entry-0", 1, change("token-1"))
    for other in set(world.processes) - {"entry-0"}:
        world.cuts.add(("entry-0", other))
    world.run(8)
    assert world.outcomes[1].kind == "refused"
    assert world.processes["entry-0"].member not in world.history[1].entries


def writes_until(machine, record, effects, now, end):
    """Answers each read with a record; returns the writes until `end`."""
    writes = []
    while now < end:
        for effect in effects:
            if isinstance(effect, WriteTable):
                writes.append(effect)
        reads = [e for e in effects if isinstance(e, ReadTable)]
        effects = []
        for read in reads:
            result = TableReadResult(
                read_id=read.read_id, ok=True, asked_at=now, record=record
            )
            effects += machine.on_table(result, now, now)
        now += 0.1
        effects += machine.tick(now, now)
    return writes


def test_next_revision_waits_until_the_present_one_is_accepted():
    """Guards against voters of N-1 that can state it after N+1 is accepted."""
    local_member, *earlier = (
        Member(
            member_id=f"entry-{number}",
            incarnation=1,
            role=Role.ENTRY,
            availability_zone="glyfada",
        )
        for number in range(4)
    )
    record = ControlRecord(
        revision=5,
        entries=(local_member,),
        voters=(local_member,),
        previous_voters=tuple(earlier),
        epochs=(OwnerEpoch(begins_at_wall=0.0, owners=(local_member,)),),
    )
    machine = ControlMachine(local_member, ControlSettings(), Random(1))
    assert writes_until(machine, record, machine.tick(0, 0), 0.0, 1.0) == []
    effects = machine.propose(1, change("token-1"), 1.0, 1.0)
    assert writes_until(machine, record, effects, 1.0, 3.0) == []
    effects = []
    for voter in earlier[:2]:  # a new incarnation cannot state N-1
        newer = dataclasses.replace(voter, incarnation=2)
        effects += machine.on_connected(newer, 3.0, 3.0)
    (write, *_) = writes_until(machine, record, effects, 3.0, 4.0)
    assert write.record.revision == 6
