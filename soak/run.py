"""Faults of a soak, drawn by a seed, and its checks at the end."""

from __future__ import annotations

import asyncio
import dataclasses

from soak.programs import ROOT, running_programs
from soak.proxy import DIRECTIONS
from soak.world import ZONES, SoakWorld

START_SECONDS = 3.0
HEAL_SECONDS = 6.0
HEAL_CHANGES = 8
CALL_INTERVAL_SECONDS = 0.15
FAULT_INTERVAL_SECONDS = 1.0
RECOVERY_SECONDS = 15.0
FAULTS = []


@dataclasses.dataclass
class SoakResult:
    """What a soak saw."""

    seed: int
    starts: int
    completed: int
    refused: int
    checked_probes: int
    faults: int
    violations: list


def fault(function):
    """Registers a fault; each takes the world and may last."""
    FAULTS.append(function)
    return function


def _pick(world, programs):
    program = world.rng.choice(list(programs))
    program.faulted_at = world.now
    return program


@fault
async def kill(world):
    """Kills a process, which comes back later."""
    await _pick(world, world.programs).kill(world.rng.uniform(0.1, 1.0))


@fault
async def kill_all(world):
    """Kills all processes at once."""
    for program in world.programs:
        program.faulted_at = world.now
    await asyncio.gather(*(p.kill(0.2) for p in world.programs))


@fault
async def pause(world):
    """Pauses a process."""
    seconds = world.rng.choice((0.3, 0.8, 2.0))
    program = _pick(world, world.programs)
    await program.pause(seconds)
    program.faulted_at = world.now


@fault
async def restart(world):
    """Stops a process as planned and starts it again."""
    await _pick(world, world.programs).restart()


def _proxy(world):
    name, entry = world.rng.choice(list(world.proxies))
    world.agents[name].faulted_at = world.now
    world.entries[entry].faulted_at = world.now
    return world.proxies[name, entry]


@fault
async def reset(world):
    """Resets the streams between an agent and an entry."""
    _proxy(world).reset()


@fault
async def cut(world):
    """Holds the bytes of a stream, in one direction or both."""
    proxy = _proxy(world)
    proxy.hold(world.rng.choice((("up",), ("down",), DIRECTIONS)))
    await asyncio.sleep(world.rng.choice((0.3, 1.0, 3.0)))
    proxy.release()


@fault
async def delay(world):
    """Slows the streams of an agent."""
    proxy = _proxy(world)
    proxy.delay = world.rng.choice((0.02, 0.2))
    await asyncio.sleep(2.0)
    proxy.delay = 0.0


@fault
async def store_fault(world):
    """Lets the store misbehave towards some processes."""
    kind = world.rng.choice(("busy", "silent", "slow", "lost", "late"))
    doors = [d for d in world.doors.values() if world.rng.random() < 0.5]
    await _disturb_store(world, doors, kind, world.rng.uniform(0.5, 5.0))


async def _disturb_store(world, doors, kind, seconds):
    world.store_faults += 1
    for door in doors:
        door.fault = kind
    await asyncio.sleep(seconds)
    for door in doors:
        door.fault = ""
    world.store_faults -= 1
    world.store_faulted_at = world.now


@fault
async def forget_history(world):
    """Lets the store forget its history."""
    world.rows.forget_history()
    world.store_faulted_at = world.now


@fault
async def change_configuration(world):
    """Makes a series of changes; others may overlap with it."""
    await world.text.change_on(world.rng.randint(1, 8))


@fault
async def executor_fault(world):
    """Crashes an executor, or lets its orders be carried out late."""
    executor = world.rng.choice(list(world.executors.values()))
    if world.rng.random() < 0.5:
        executor.restart(world.rng.choice((0.1, 1.0)))
    else:
        executor.delays_orders_until = world.now + 2.0


@fault
async def drain(world):
    """Lets an executor leave, and another life begin."""
    executor = world.rng.choice(list(world.executors.values()))
    if executor.up and not executor.leaving:
        executor.leaving = True
        executor.announce_once()
        world.at(3.0, executor.restart, 0.5)


@fault
async def change_zones(world):
    """Takes a zone out or back."""
    world.set_zone_out(world.rng.choice(("", "", *ZONES)))


async def run_soak(seed, seconds, entries=2, agents=3):
    """Returns what a soak of so many seconds of faults saw."""
    world = SoakWorld(
        seed, entries, agents, ROOT / "build" / "soak" / str(seed)
    )
    faults = 0
    async with world.running(), running_programs(world.programs):
        await asyncio.sleep(START_SECONDS)
        callers = asyncio.create_task(_call_on(world))
        probes = asyncio.create_task(world.text.probe_on())
        async with asyncio.TaskGroup() as group:
            end = world.now + seconds
            while world.now < end:
                group.create_task(world.rng.choice(FAULTS)(world))
                faults += 1
                spread = world.rng.uniform(0.3, 1.7)
                await asyncio.sleep(FAULT_INTERVAL_SECONDS * spread)
        callers.cancel()
        await _heal(world)
        probes.cancel()
    return SoakResult(
        seed=seed,
        starts=world.oracle.starts,
        completed=world.oracle.completed,
        refused=len(world.oracle.refused),
        checked_probes=world.text.checked,
        faults=faults,
        violations=world.oracle.violations,
    )


async def _call_on(world):
    while True:
        world.submit()
        await asyncio.sleep(CALL_INTERVAL_SECONDS)


async def _heal(world):
    """After the faults jobs are answered again, and stops are clean."""
    world.set_zone_out("")
    # The store comes back from a silence into a series of changes.
    silence = world.rng.uniform(0.5, 6.0)
    await _disturb_store(world, world.doors.values(), "silent", silence)
    changes = asyncio.create_task(world.text.change_on(HEAL_CHANGES))
    await asyncio.sleep(HEAL_SECONDS)
    await changes
    end = world.now + RECOVERY_SECONDS
    while await world.submit() != "completed":
        if world.now > end:
            world.oracle.fail("no job is completed after the faults")
            break
        await asyncio.sleep(0.5)
    statuses = await asyncio.gather(*(p.stop() for p in world.programs))
    for program, status in zip(world.programs, statuses, strict=True):
        for one in (*program.exits, status):
            # A process that was killed while it stopped has no say in it.
            if one not in (0, -9):
                world.oracle.fail(f"{program.name} ended with {one}")
