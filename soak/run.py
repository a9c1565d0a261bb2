"""Injects random faults by a seed and checks the recovery at the end."""

from __future__ import annotations

import asyncio
import dataclasses

from soak.programs import ROOT, running_programs
from soak.proxy import DIRECTIONS
from soak.world import ZONES, SoakWorld

START_SECONDS = 3.0
RECOVERY_CHANGES_SECONDS = 6.0
RECOVERY_CHANGE_COUNT = 8
SUBMIT_INTERVAL_SECONDS = 0.15
FAULT_INTERVAL_SECONDS = 1.0
RECOVERY_LIMIT_SECONDS = 15.0
# Pauses of an entry that end after its callers have come back elsewhere.
LONG_PAUSES = (1.8, 2.0, 2.5)
LEAVING_CALLERS = 5
PATIENCE_SECONDS = 0.05
# Run time of tasks that still run when their entry wakes.
LONG_RUN_SECONDS = 1.8
RECOVERY_PAUSE_SECONDS = 2.0
# Part of the agents that are suspended at once, or cut off from an entry.
DIVIDED_SHARE = 2 / 3
# Time after which an entry hears that a caller has left.
UNHEARD = (0.0, 1.0, 2.0, 6.0)
AGENTS, DIVIDED_AGENTS = 3, 24
FAULTS = []
CRASH_FAULTS = []
LOSS_FAULTS = []
MISLEADING_FAULTS = []
DIVIDED_FAULTS = []


@dataclasses.dataclass
class SoakResult:
    """Counts and violations of a soak."""

    seed: int
    starts: int
    completed: int
    refused: int
    checked_probes: int
    faults: int
    violations: list


def fault(function):
    """Registers a fault, a coroutine function that takes the world.

    A fault that lasts returns when it has ended.
    """
    FAULTS.append(function)
    return function


def _choose_program(world, programs):
    program = world.rng.choice(list(programs))
    program.faulted_at = world.now
    return program


@fault
async def kill(world):
    """Kills a process and restarts it after a downtime."""
    await _choose_program(world, world.programs).kill(
        world.rng.uniform(0.1, 1.0)
    )


@fault
async def kill_all(world):
    """Kills all processes at the same time and restarts them."""
    for program in world.programs:
        program.faulted_at = world.now
    await asyncio.gather(*(p.kill(0.2) for p in world.programs))


@fault
async def pause(world):
    """Suspends a process."""
    seconds = world.rng.choice((0.3, 0.8, 2.0))
    program = _choose_program(world, world.programs)
    await program.pause(seconds)
    program.faulted_at = world.now


@fault
async def leave_during_pause(world):
    """Suspends an entry, to which callers send jobs and leave meanwhile.

    The jobs run at other entries by the time at which it reads them.
    """
    name = world.rng.choice(list(world.entries))
    program = world.entries[name]
    program.faulted_at = world.now
    pause = asyncio.create_task(program.pause(world.rng.choice(LONG_PAUSES)))
    await _submit_and_leave(world, name, LEAVING_CALLERS)
    await pause
    program.faulted_at = world.now


async def _submit_and_leave(world, entry, jobs, unheard=0.0):
    """Submits jobs to an entry; returns the callers, which then leave it."""
    # Lets the signals of a pause be sent first.
    await asyncio.sleep(PATIENCE_SECONDS)
    return [
        world.submit(
            first_entry=entry, patience=PATIENCE_SECONDS, unheard=unheard
        )
        for _ in range(jobs)
    ]


def _choose_agents(world):
    """Returns the names of the agents that are away for a fault."""
    count = round(DIVIDED_SHARE * len(world.agents))
    return world.rng.sample(list(world.agents), count)


def _mark_faulted(world, names):
    for name in names:
        program = world.agents.get(name) or world.entries[name]
        program.faulted_at = world.now


async def divide_fleet(world, entry, seconds, jobs, unheard):
    """Suspends agents while an entry gets jobs whose callers then leave it.

    The agents are back before the callers send the jobs to other entries.

    Returns:
      Tasks of the callers.
    """
    names = _choose_agents(world)
    _mark_faulted(world, names)
    pauses = [
        asyncio.create_task(world.agents[name].pause(seconds)) for name in names
    ]
    callers = await _submit_and_leave(world, entry, jobs, unheard)
    await asyncio.gather(*pauses)
    _mark_faulted(world, names)
    return callers


@fault
async def restart(world):
    """Performs a planned stop of a process and starts it again."""
    await _choose_program(world, world.programs).restart()


def _choose_proxy(world):
    name, entry = world.rng.choice(list(world.proxies))
    world.agents[name].faulted_at = world.now
    world.entries[entry].faulted_at = world.now
    return world.proxies[name, entry]


@fault
async def reset(world):
    """Resets the streams between an agent and an entry."""
    _choose_proxy(world).reset()


@fault
async def block_stream(world):
    """Blocks a stream in one direction or both."""
    proxy = _choose_proxy(world)
    proxy.hold_back(world.rng.choice((("up",), ("down",), DIRECTIONS)))
    await asyncio.sleep(world.rng.choice((0.3, 1.0, 3.0)))
    proxy.release()


@fault
async def delay(world):
    """Delays the stream between an agent and an entry."""
    proxy = _choose_proxy(world)
    proxy.delay = world.rng.choice((0.02, 0.2))
    await asyncio.sleep(2.0)
    proxy.delay = 0.0


@fault
async def disturb_store(world):
    """Makes the store faulty for some processes."""
    kind = world.rng.choice(("busy", "silent", "slow", "lost", "late"))
    endpoints = [
        e for e in world.store_endpoints.values() if world.rng.random() < 0.5
    ]
    await _apply_store_fault(
        world, endpoints, kind, world.rng.uniform(0.5, 5.0)
    )


async def _apply_store_fault(world, endpoints, kind, seconds):
    world.active_store_faults += 1
    for endpoint in endpoints:
        endpoint.fault = kind
    await asyncio.sleep(seconds)
    for endpoint in endpoints:
        endpoint.fault = ""
    world.active_store_faults -= 1
    world.store_faulted_at = world.now


@fault
async def drop_history(world):
    """Makes the store drop its history of changes."""
    world.rows.drop_history()
    world.store_faulted_at = world.now


@fault
async def change_configuration(world):
    """Writes a series of configurations, which may overlap with others."""
    await world.configuration_writer.write_changes(world.rng.randint(1, 8))


@fault
async def disturb_executor(world):
    """Crashes an executor or delays its orders."""
    executor = world.rng.choice(list(world.executors.values()))
    if world.rng.random() < 0.5:
        executor.restart(world.rng.choice((0.1, 1.0)))
    else:
        executor.delays_orders_until = world.now + 2.0


@fault
async def drain_executor(world):
    """Drains an executor and later restarts it as a new incarnation."""
    executor = world.rng.choice(list(world.executors.values()))
    if executor.up and not executor.leaving:
        executor.leaving = True
        executor.announce_once()
        world.at(3.0, executor.restart, 0.5, True)


def crash_fault(function):
    """Registers a fault of executors, for soaks with crashes."""
    CRASH_FAULTS.append(function)
    return function


@crash_fault
async def submit_culprits(world):
    """Submits jobs with a task that crashes each executor that starts it."""
    for _ in range(world.rng.randint(1, 3)):
        world.submit(crash_delay=world.rng.choice((0.0, 0.01, 0.05, 0.2)))


@crash_fault
async def change_capacity(world):
    """Reduces the capacity of an executor in steps, and restores it."""
    executor = world.rng.choice(list(world.executors.values()))
    capacity = type(executor).capacity
    for share in (world.rng.choice((0.5, 0.75)), world.rng.choice((0.0, 0.25))):
        processor = int(share * capacity.processor)
        executor.set_capacity(
            dataclasses.replace(capacity, processor=processor)
        )
        executor.announce_once()
        await asyncio.sleep(world.rng.uniform(0.1, 2.0))
    executor.set_capacity(capacity)
    executor.announce_once()


def loss_fault(function):
    """Registers a fault of executors, for soaks with lost answers."""
    LOSS_FAULTS.append(function)
    return function


@loss_fault
async def lose_answers(world):
    """Loses a share of all calls to all executors, or to one."""
    executors = list(world.executors.values())
    share = world.rng.choice((0.1, 0.5, 0.8))
    for executor in world.rng.choice((executors, executors[:1])):
        executor.lost_share = share
        executor.loses_answers_until = world.now + 3.0


def misleading_fault(function):
    """Registers a fault after which a process believes what is not so."""
    MISLEADING_FAULTS.append(function)
    return function


@misleading_fault
async def announce_falsely(world):
    """Sends heartbeats of executors or starts that are not there."""
    for executor in world.executors.values():
        name = world.rng.choice(("other", executor.announced_name))
        executor.announce_falsely(name, world.rng.choice((-5000, 5000)))


@misleading_fault
async def cut_entries_from_store(world):
    """Cuts all entries off from the store while a zone is taken out."""
    seconds = world.rng.uniform(6.0, 12.0)
    for name in world.entries:
        cut_until = world.store_cuts.get(name, 0.0)
        world.store_cuts[name] = max(cut_until, world.now + seconds)
    endpoints = [world.store_endpoints[name] for name in world.entries]
    for endpoint in endpoints:
        endpoint.fault = world.rng.choice(("silent", "busy"))
    world.set_zone_out(world.rng.choice(ZONES))
    await asyncio.sleep(seconds)
    for endpoint in endpoints:
        endpoint.fault = ""


def divided_fault(function):
    """Registers a fault after which entries reach other agents."""
    DIVIDED_FAULTS.append(function)
    return function


def _choose_leaving(world):
    """Returns an entry that callers leave, and when it hears of that."""
    return world.rng.choice(list(world.entries)), world.rng.choice(UNHEARD)


@divided_fault
async def pause_agents(world):
    """Suspends agents while callers leave an entry."""
    entry, unheard = _choose_leaving(world)
    seconds = world.rng.uniform(0.1, 0.5)
    await divide_fleet(world, entry, seconds, LEAVING_CALLERS, unheard)


@divided_fault
async def cut_entry_off(world):
    """Cuts an entry off from agents while callers leave it."""
    entry, unheard = _choose_leaving(world)
    names = _choose_agents(world)
    _mark_faulted(world, [entry, *names])
    proxies = [world.proxies[name, entry] for name in names]
    for proxy in proxies:
        proxy.hold_back(DIRECTIONS)
    await _submit_and_leave(world, entry, LEAVING_CALLERS, unheard)
    await asyncio.sleep(world.rng.choice((0.3, 1.0, 3.0)))
    for proxy in proxies:
        proxy.release()
    _mark_faulted(world, [entry, *names])


@fault
async def change_zone_out(world):
    """Takes a zone out of service, or returns all to service."""
    world.set_zone_out(world.rng.choice(("", "", *ZONES)))


# Further faults of each kind, as often as they are to be chosen.
MORE_FAULTS = {
    "crashes": 2 * CRASH_FAULTS,
    "lost-answers": 6 * LOSS_FAULTS,
    "misleading": 4 * MISLEADING_FAULTS,
    "divided": 6 * DIVIDED_FAULTS,
}


async def run_soak(
    seed,
    seconds,
    entries=2,
    agents=AGENTS,
    kinds=(),
):
    """Runs a soak with faults for some seconds and returns its result."""
    registered = FAULTS + [f for kind in kinds for f in MORE_FAULTS[kind]]
    world = SoakWorld(
        seed, entries, agents, ROOT / "build" / "soak" / str(seed)
    )
    faults = 0
    async with world.running(), running_programs(world.programs):
        if "divided" in kinds:
            _set_run_times(world, (0.2, LONG_RUN_SECONDS))
        await asyncio.sleep(START_SECONDS)
        await world.wait_until_connected()
        submissions = asyncio.create_task(_submit_jobs(world))
        probes = asyncio.create_task(world.configuration_writer.probe_entries())
        async with asyncio.TaskGroup() as group:
            end = world.now + seconds
            while world.now < end:
                group.create_task(world.rng.choice(registered)(world))
                faults += 1
                spread = world.rng.uniform(0.3, 1.7)
                await asyncio.sleep(FAULT_INTERVAL_SECONDS * spread)
        submissions.cancel()
        await _check_recovery(world)
        probes.cancel()
    return SoakResult(
        seed=seed,
        starts=world.oracle.starts,
        completed=world.oracle.completed,
        refused=len(world.oracle.refused),
        checked_probes=world.configuration_writer.checked_probes,
        faults=faults,
        violations=world.oracle.violations,
    )


async def run_kills_between_crashes(seed):
    """Kills all processes after each crash under a task.

    With one executor, which is away for a while, each life of the processes
    sees one crash.

    Returns:
      Result that the caller of the task got, and the violations.
    """
    world = SoakWorld(seed, 2, 1, ROOT / "build" / "soak" / f"kills-{seed}")
    world.crash_downtime = 2.0
    async with world.running(), running_programs(world.programs):
        await asyncio.sleep(START_SECONDS)
        caller = world.submit(timeout=15.0, crash_delay=0.02)
        known = 0
        while not caller.done():
            await asyncio.sleep(0.02)
            if len(world.oracle.crash_sizes) > known:
                known = len(world.oracle.crash_sizes)
                await asyncio.sleep(world.rng.uniform(0.6, 0.9))
                await kill_all(world)
        return caller.result(), world.oracle.violations


async def run_pauses_while_callers_leave(seed, rounds):
    """Pauses entries again and again while callers leave them for others.

    Returns:
      Number of completed jobs, and the violations.
    """
    directory = ROOT / "build" / "soak" / f"pauses-{seed}"
    world = SoakWorld(seed, 2, 6, directory)
    async with world.running(), running_programs(world.programs):
        _set_run_times(world, (LONG_RUN_SECONDS,))
        await asyncio.sleep(START_SECONDS)
        for _ in range(rounds):
            await leave_during_pause(world)
            await asyncio.sleep(RECOVERY_PAUSE_SECONDS)
        return world.oracle.completed, world.oracle.violations


async def run_divided_fleet(seed, agents, rounds, jobs, seconds):
    """Pauses most agents again and again while callers leave an entry.

    Args:
      seed: Seed of the choices.
      agents: Number of agents.
      rounds: Number of pauses.
      jobs: Number of jobs that the entry gets in each pause.
      seconds: Time of each pause.

    Returns:
      Number of completed jobs, and the violations.
    """
    directory = ROOT / "build" / "soak" / f"divided-{seed}"
    world = SoakWorld(seed, 2, agents, directory)
    callers = []
    async with world.running(), running_programs(world.programs):
        _set_run_times(world, (LONG_RUN_SECONDS,))
        await world.wait_until_connected()
        await asyncio.sleep(RECOVERY_PAUSE_SECONDS)
        for number in range(rounds):
            entry = f"entry-{number % len(world.entries)}"
            callers += await divide_fleet(
                world, entry, seconds, jobs, max(UNHEARD)
            )
            await asyncio.sleep(RECOVERY_PAUSE_SECONDS)
        await asyncio.gather(*callers)
        return world.oracle.completed, world.oracle.violations


def _set_run_times(world, run_times):
    world.estimate_ms = int(1000 * max(run_times))
    for executor in world.executors.values():
        executor.run_times = run_times


async def _submit_jobs(world):
    while True:
        world.submit()
        await asyncio.sleep(SUBMIT_INTERVAL_SECONDS)


async def _check_recovery(world):
    """Checks that jobs complete after the faults and planned stops succeed."""
    world.set_zone_out("")
    # Changes are written while the store recovers from not responding.
    silence = world.rng.uniform(0.5, 6.0)
    await _apply_store_fault(
        world, world.store_endpoints.values(), "silent", silence
    )
    changes = asyncio.create_task(
        world.configuration_writer.write_changes(RECOVERY_CHANGE_COUNT)
    )
    await asyncio.sleep(RECOVERY_CHANGES_SECONDS)
    await changes
    end = world.now + RECOVERY_LIMIT_SECONDS
    while await world.submit() != "completed":
        if world.now > end:
            world.oracle.fail("no job is completed after the faults")
            break
        await asyncio.sleep(0.5)
    final_results = await asyncio.gather(*(p.stop() for p in world.programs))
    for program, final_result in zip(
        world.programs, final_results, strict=True
    ):
        for stop_result in (*program.exits, final_result):
            # -9: a fault killed the process while it was stopping.
            if stop_result not in (0, -9):
                world.oracle.fail(f"{program.name} ended with {stop_result}")
        for line in program.logged_errors:
            world.oracle.fail(f"{program.name} logged {line}")
