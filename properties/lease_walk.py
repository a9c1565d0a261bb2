"""Random walks of leased submissions under faults in virtual time.

Run `python -m properties.lease_walk --seed 1 --walks 1000`.
"""

from __future__ import annotations

import argparse
import dataclasses
import random
import sys

from gypsumline.core.leases.job import JobStep
from gypsumline.core.leases.resources import Resources
from properties.fleet_faults import FAULTS, LATE_END_SECONDS, FleetWorld
from properties.lease_world import QUEUE, TIMEOUTS, ZONES, LeaseWorld

STEP = 0.25  # seconds of virtual time between actions
STEPS = 60
MAX_ORDER_DELAY_SECONDS = 12.0  # from sending to execution of an order
RECOVERY_SECONDS = MAX_ORDER_DELAY_SECONDS + 4.0
OVERLOAD_INTERVAL_SECONDS = 0.1
OVERLOAD_JOBS = 3
# More than a task that crashes its executors may cause.
MAX_CRASHES = 8
CRASH_INTERVAL_SECONDS = 6.0
DEFERRED_STARTS = 6
# Time after which no job is left and agents ping at their longest interval.
AT_REST_SECONDS = 8.0
# Bounds of the numbers of agents and entries that walks draw.
AGENTS = (3, 30)
ENTRIES = (2, 4)


def submit(world, rng):
    for _ in range(rng.randint(1, 4)):
        world.submit_new()


def leave(world, rng):
    node = rng.choice(list(world.entries.values()))
    if node.alive and node.callers:
        world.leave(node, rng.choice(sorted(node.callers)))


def kill_entry(world, rng):
    world.kill(rng.choice(list(world.entries.values())))


def kill_agent(world, rng):
    world.kill(rng.choice(list(world.agents.values())))


def kill_all(world):
    """Kills all processes at the same time."""
    for node in [*world.entries.values(), *world.agents.values()]:
        world.kill(node)


def pause(world, rng):
    nodes = [*world.entries.values(), *world.agents.values()]
    node = rng.choice(nodes)
    until = world.now + rng.choice((0.3, 0.7, 1.2, 4.0))
    node.paused_until = max(node.paused_until, until)


def pause_entry(world, rng):
    """Pauses an entry, some of whose callers leave meanwhile."""
    node = rng.choice(list(world.entries.values()))
    until = world.now + rng.choice((1.4, 1.8, 2.5))
    node.paused_until = max(node.paused_until, until)
    for _ in range(3):
        if node.alive and node.callers:
            world.leave(node, rng.choice(sorted(node.callers)))


def submit_late(world, rng):
    """Submits jobs whose first copy comes after the repeated one."""
    for _ in range(rng.randint(1, 3)):
        world.submit_late(rng.choice((1.31, 1.4, 1.6, 2.5)))


def leave_unheard(world, rng):
    """Lets callers leave; the end of the connection comes late or not at all.

    The longest delay exceeds the timeout of any caller.
    """
    node = rng.choice(list(world.entries.values()))
    for _ in range(3):
        if node.alive and node.callers:
            key = rng.choice(sorted(node.callers))
            world.leave(node, key, rng.choice((1.4, 2.0, 60.0)))


def partition(world, rng):
    agent = rng.choice(list(world.agents))
    entry = rng.choice(list(world.entries))
    until = world.now + rng.choice((0.3, 0.8, 1.5, 5.0))
    pairs = [(agent, entry), (entry, agent)]
    for pair in rng.choice((pairs, pairs[:1], pairs[1:])):
        world.partitions[pair] = max(world.partitions.get(pair, 0.0), until)


def reset(world, rng):
    agent = rng.choice(list(world.agents))
    world.reset((agent, rng.choice(list(world.entries))))


def restart_executor(world, rng):
    executor = rng.choice(list(world.executors.values()))
    executor.restart(rng.choice((0.05, 0.5, 2.0)))


def delay_orders(world, rng=None, executor=None):
    executor = executor or rng.choice(list(world.executors.values()))
    executor.delays_orders_until = world.now + 2.0


def lose_stops(world, rng):
    """Loses the stops of all executors, which answer hold requests."""
    for executor in world.executors.values():
        executor.loses_stops_until = world.now + 3.0


def lose_answers(world, rng):
    """Loses a share of all calls to all executors, or to one."""
    share = rng.choice((0.1, 0.5, 0.8))
    executors = list(world.executors.values())
    for executor in rng.choice((executors, executors[:1])):
        executor.lost_share = share
        executor.loses_answers_until = world.now + 3.0


def refuse_connections(world, rng):
    """Has executors refuse connections for a moment, and run on."""
    for executor in world.executors.values():
        if rng.random() < 0.5:
            executor.refuses_until = world.now + rng.choice((0.06, 0.3, 1.0))


def hang(world, rng):
    executor = rng.choice(list(world.executors.values()))
    executor.hung_until = world.now + 2.0


def drain(world, rng):
    executor = rng.choice(list(world.executors.values()))
    if executor.up and not executor.leaving:
        executor.leaving = True
        world.at(3.0, executor.restart, 0.5, True)


def change_zones(world, rng):
    world.set_zones(rng.choice(((), (), (rng.choice(ZONES),))))


def announce_falsely(world, rng):
    """Sends an agent a heartbeat of an executor or start that is not there."""
    node = rng.choice(list(world.agents.values()))
    executor = world.executors[node.member.member_id]
    valid = executor.make_announcement()
    false = dataclasses.replace(
        valid,
        executor=rng.choice((valid.executor, "other")),
        started_at=valid.started_at + rng.choice((-5000, 5000, 10**6)),
    )
    world.when_running(node, _receive_announcement, world, node, false)


def _receive_announcement(world, node, announcement):
    effects = node.machine.on_announcement(announcement, world.now)
    world.apply_effects(node, effects)


def cut_entries_from_store(world, rng):
    """Cuts all entries off from the store, just before zones change."""
    until = world.now + rng.choice((1.0, 5.5, 9.0))
    world.store_cuts = dict.fromkeys(world.entries, until)
    world.at(0.1, change_zones, world, rng)


ACTIONS = (
    submit,
    submit,
    submit,
    leave,
    kill_entry,
    kill_agent,
    pause,
    partition,
    partition,
    reset,
    restart_executor,
    delay_orders,
    hang,
    drain,
    change_zones,
)


def submit_culprit(world, rng):
    """Submits a job with a task that crashes each executor it starts on."""
    key = world.submit_new()
    world.culprits[f"{key}.0.0.0"] = rng.choice((0.005, 0.02, 0.3))


def submit_fast_culprit(world, rng):
    """Submits a job with a task that crashes before its start is answered."""
    world.culprits[f"{world.submit_new()}.0.0.0"] = 0.0


FAST_CRASH_ACTIONS = (
    *ACTIONS,
    submit_fast_culprit,
    submit_fast_culprit,
    submit_fast_culprit,
)
# Culprits whose jobs move between owners while processes are lost.
MOVING_ACTIONS = (
    submit_culprit,
    submit_culprit,
    submit,
    leave,
    leave,
    leave,
    partition,
    reset,
    kill_entry,
    kill_agent,
    pause,
)


def change_capacity(world, rng):
    """Reduces the capacity of an executor, to nothing at times, or resets it.

    The change shows in its next heartbeat.
    """
    executor = rng.choice(list(world.executors.values()))
    share = rng.choice((0.0, 0.25, 0.5, 1.0, 1.0))
    capacity = type(executor).capacity
    executor.set_capacity(
        dataclasses.replace(capacity, processor=int(share * capacity.processor))
    )


# More culprits than a caller would send, so that most walks meet several.
CRASH_ACTIONS = (
    *ACTIONS,
    submit_culprit,
    submit_culprit,
    submit_culprit,
    change_capacity,
    change_capacity,
)


LOST_ANSWER_ACTIONS = (
    *ACTIONS,
    submit,
    submit,
    lose_answers,
    lose_answers,
    lose_answers,
)
# Owners that are lost while stops are.
STOP_LOSS_ACTIONS = (
    *ACTIONS,
    lose_stops,
    lose_stops,
    lose_stops,
    pause,
    partition,
    partition,
)


# Callers that go to other entries while theirs is paused.
PAUSED_ENTRY_ACTIONS = (*ACTIONS, *[pause_entry] * 4, *[submit] * 3)


# Callers whose submissions, or whose ends, reach an entry late.
LATE_CALLER_ACTIONS = (
    *ACTIONS,
    *[submit_late] * 4,
    *[leave_unheard] * 3,
    *[submit] * 3,
    pause_entry,
)


# Heartbeats of other writers, beside executors that return in another name.
FALSE_ANNOUNCEMENT_ACTIONS = (
    *ACTIONS,
    *[announce_falsely] * 4,
    submit,
    submit,
    restart_executor,
)


# Executors that restart under their names at any moment of an order, beside
# agents that are lost or paused.
RESTART_ACTIONS = (
    *[submit] * 5,
    *[restart_executor] * 4,
    *[kill_agent] * 2,
    *[pause] * 2,
    partition,
    leave,
)


# Executors that are cut off and run on, beside some that crash.
REFUSAL_ACTIONS = (
    *[submit] * 6,
    *[refuse_connections] * 4,
    restart_executor,
    partition,
    leave,
    pause,
)


# Entries that lose the store while agents have it, under little else.
STORE_CUT_ACTIONS = (
    *[submit] * 12,
    leave,
    cut_entries_from_store,
    cut_entries_from_store,
    change_zones,
)


# Callers that come to an entry late or leave it unheard, under nothing else.
FLEET_ACTIONS = (
    *[submit_late] * 4,
    *[leave_unheard] * 3,
    *[submit] * 3,
    pause_entry,
)


def fleet_actions(*names):
    """Returns late callers, paused entries and the named faults of a fleet."""
    added = [FAULTS[name] for name in names]
    return (*FLEET_ACTIONS, *added * 3)


def walk(
    seed,
    steps=STEPS,
    clocks_restart=False,
    actions=ACTIONS,
    agents=3,
    sizes=False,
):
    """Runs a random walk and returns its world.

    Args:
      seed: Seed of all that is drawn.
      steps: Number of actions.
      clocks_restart: Whether executors restart their clocks.
      actions: Actions to draw from.
      agents: Number of agents.
      sizes: Whether to draw the numbers of agents and entries instead.
    """
    rng = random.Random(seed)
    entries = rng.choice((2, 3))
    if sizes:
        agents, entries = rng.randint(*AGENTS), rng.randint(*ENTRIES)
    world = FleetWorld(seed, entries, agents, clocks_restart=clocks_restart)
    if actions is FALSE_ANNOUNCEMENT_ACTIONS:
        for executor in list(world.executors.values())[1:]:
            executor.is_renamed = True
    world.run_until(1.0)
    for _ in range(steps):
        rng.choice(actions)(world, rng)
        world.run_until(world.now + rng.uniform(0.0, 2.0 * STEP))
        if world.oracle.violations:
            return world
    world.store_cuts = {}
    world.set_zones(())
    for executor in world.executors.values():
        executor.set_capacity(type(executor).capacity)
    world.run_until(world.now + RECOVERY_SECONDS)
    check_recovery(world)
    return world


def walk_delayed_orders(seed):
    """Runs a walk in which a restarted executor receives delayed orders.

    The executor is fully used again and its clock has restarted, so that only
    the fencing token shows that the orders are stale.

    Returns:
      The world after the walk.
    """
    rng = random.Random(seed)
    world = LeaseWorld(seed, entries=2, agents=3, clocks_restart=True)
    world.run_until(1.0)
    executor = rng.choice(list(world.executors.values()))
    delay_orders(world, executor=executor)
    overload(world, rng.uniform(0.5, 2.0))
    executor.restart(rng.choice((0.05, 0.5)))
    overload(world, MAX_ORDER_DELAY_SECONDS)
    return world


def walk_deferred_starts(seed):
    """Runs a walk whose entries are paused just after they send starts.

    Agents at rest defer these until the entry answers their next ping. The
    callers go to other entries meanwhile, which the paused one does not hear.

    Returns:
      The world after the walk.
    """
    rng = random.Random(seed)
    world = FleetWorld(seed, entries=2, agents=3)
    for executor in world.executors.values():
        executor.run_times = (1.0,)
    for _ in range(DEFERRED_STARTS):
        world.run_until(world.now + AT_REST_SECONDS + rng.uniform(0.0, 2.0))
        key = world.submit_new(timeouts=(max(TIMEOUTS),))
        owner = next(n for n in world.entries.values() if key in n.callers)
        while key in owner.callers and not owner.machine.jobs[key].has_started:
            world.run_until(world.now + 0.001)
        if key in owner.callers:
            owner.paused_until = world.now + rng.uniform(2.4, 3.4)
            world.leave(owner, key, max(LATE_END_SECONDS))
    world.run_until(world.now + RECOVERY_SECONDS)
    return world


def walk_killed_between_crashes(seed):
    """Runs a walk in which all processes are killed after each crash.

    Nothing that counts the crashes of the culprits outlives the processes,
    other than what was stored.

    Returns:
      The world after the walk.
    """
    rng = random.Random(seed)
    world = LeaseWorld(seed, entries=2, agents=3)
    world.run_until(1.0)
    # Such a job is still useful once agents that have restarted grant locks.
    step = JobStep(count=1, resources=Resources(processor=500), run_time=2.0)
    key = "c" * 16
    world.sizes[key] = step.resources.processor
    world.culprits[f"{key}.0.0.0"] = rng.choice((0.005, 0.02))
    caller = (step, world.now + MAX_CRASHES * CRASH_INTERVAL_SECONDS, (10.0,))
    world.submit_to_any_entry(key, caller)
    for _ in range(MAX_CRASHES):
        known = world.detected_crashes
        end = world.now + CRASH_INTERVAL_SECONDS
        while world.detected_crashes == known and world.now < end:
            world.run_until(world.now + 0.005)
        # Before the next crash under the task is detected too.
        world.run_until(world.now + rng.uniform(0.02, 0.04))
        kill_all(world)
    return world


def overload(world, seconds):
    """Submits more jobs than the executors can run."""
    end = world.now + seconds
    while world.now < end:
        for _ in range(OVERLOAD_JOBS):
            world.submit_new()
        world.run_until(world.now + OVERLOAD_INTERVAL_SECONDS)


def check_recovery(world):
    """Checks that a new job completes after the faults and nothing is left."""
    before = world.oracle.completed
    # Repeated runs of a second can outlast the shorter timeouts.
    key = world.submit_new(timeouts=(max(TIMEOUTS),))
    world.run_until(world.now + RECOVERY_SECONDS)
    if world.oracle.has_failed_by_itself(key, QUEUE.attempts):
        # By chance, all runs of one of its tasks failed.
        world.submit_new(timeouts=(max(TIMEOUTS),))
        world.run_until(world.now + RECOVERY_SECONDS)
    if world.oracle.completed == before:
        world.oracle.fail("no job is completed after the faults")
    for name, executor in world.executors.items():
        if executor.runs:
            world.oracle.fail(f"runs are left at {name}")
    for node in world.entries.values():
        if node.machine.jobs:
            world.oracle.fail(f"jobs are left at {node.member.member_id}")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--walks", type=int, default=100)
    parser.add_argument("--clocks-restart", action="store_true")
    parser.add_argument("--crashes", action="store_true")
    parser.add_argument("--lost-stops", action="store_true")
    parser.add_argument("--moving", action="store_true")
    parser.add_argument("--fast-crashes", action="store_true")
    parser.add_argument("--lost-answers", action="store_true")
    parser.add_argument("--paused-entries", action="store_true")
    parser.add_argument("--late-callers", action="store_true")
    parser.add_argument("--false-announcements", action="store_true")
    parser.add_argument("--store-cuts", action="store_true")
    parser.add_argument("--restarts", action="store_true")
    parser.add_argument("--refusals", action="store_true")
    parser.add_argument(
        "--fleet",
        nargs="*",
        choices=sorted(FAULTS),
        help="late callers, paused entries and these faults only",
    )
    parser.add_argument("--agents", type=int, default=3)
    parser.add_argument(
        "--sizes", action="store_true", help="draw the numbers of processes"
    )
    options = parser.parse_args()
    starts = completed = 0
    for seed in range(options.seed, options.seed + options.walks):
        actions = CRASH_ACTIONS if options.crashes else ACTIONS
        actions = STOP_LOSS_ACTIONS if options.lost_stops else actions
        actions = MOVING_ACTIONS if options.moving else actions
        actions = FAST_CRASH_ACTIONS if options.fast_crashes else actions
        actions = LOST_ANSWER_ACTIONS if options.lost_answers else actions
        if options.paused_entries:
            actions = PAUSED_ENTRY_ACTIONS
        if options.late_callers:
            actions = LATE_CALLER_ACTIONS
        if options.false_announcements:
            actions = FALSE_ANNOUNCEMENT_ACTIONS
        actions = STORE_CUT_ACTIONS if options.store_cuts else actions
        actions = RESTART_ACTIONS if options.restarts else actions
        actions = REFUSAL_ACTIONS if options.refusals else actions
        if options.fleet is not None:
            actions = fleet_actions(*options.fleet)
        world = walk(
            seed,
            clocks_restart=options.clocks_restart,
            actions=actions,
            agents=options.agents,
            sizes=options.sizes,
        )
        starts += world.oracle.starts
        completed += world.oracle.completed
        if world.oracle.violations:
            sys.exit(f"seed {seed}: {world.oracle.violations[:3]}")
    sys.stdout.write(
        f"{options.walks} walks, {starts} starts, {completed} jobs completed, "
        "0 violations\n"
    )


if __name__ == "__main__":
    main()
