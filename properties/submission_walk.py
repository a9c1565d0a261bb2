"""Random walks over submission owners and slot tables under faults.

Run `python -m properties.submission_walk --seed 1 --walks 1000`.
"""

from __future__ import annotations

import argparse
import collections
import random
import sys
import time

from gypsumline.core.messages import StartTasks
from gypsumline.core.submissions.task_scheduler import Admission
from gypsumline.core.task import Reason, TaskStatus
from properties.submission_world import World

HEAL_STEP_SECONDS = 0.5
# The longest deadline, as much again until the owner gives up a task that no
# agent reports, the interval at which it checks for such tasks, and 1 s.
HEAL_SECONDS = 15.0 + 15.0 + 5.0 + 1.0


def submit_new(world, rng):
    repeatable = rng.random() < 0.2
    submission = world.new_submission(
        tasks=1 if repeatable else rng.choice((1, 2, 3, 6, 6, 16)),
        repeatable=repeatable,
        timeout=rng.choice((0.5, 3.0, 15.0)),
        key_offset=rng.choice((0.0, 0.0, -0.3, -2.0, 0.4, 3.0)),
    )
    world.submit(rng.choice(world.entries()), submission)


def submit_again(world, rng):
    """Submits a key again with the same body or with another one."""
    if world.bodies:
        key = rng.choice(list(world.bodies)[-8:])
        bodies = world.bodies[key]
        if len(bodies) == 1 and rng.random() < 0.2:
            bodies.append((key, b"body1", bodies[0][2]))
        world.submit(rng.choice(world.entries()), rng.choice(bodies))


def cancel(world, rng):
    if world.bodies:
        key = rng.choice(list(world.bodies)[-6:])
        world.cancel(rng.choice(world.entries()), world.bodies[key][0])


def deliver(world, rng):
    for _ in range(rng.randint(1, 12)):
        deliverable = world.deliverable()
        if deliverable:
            link, receiver = rng.choice(deliverable)
            world.deliver(link, receiver)


def duplicate(world, rng):
    """Duplicates a message, preferably a start.

    A delayed copy of a start must not start a task again.
    """
    deliverable = world.deliverable()
    starts = [
        (link, receiver)
        for link, receiver in deliverable
        if isinstance(link.queues[receiver][1][0], StartTasks)
    ]
    if deliverable:
        world.duplicate(*rng.choice(starts or deliverable))


def withdraw(world, rng):
    """Has a scheduler withdraw tasks to place them elsewhere."""
    entry = rng.choice(world.entries())
    runner = entry.owner._runner
    for key in runner.running_keys()[:4]:
        for index, agent in list(runner.find_job(key).placed_tasks())[:3]:
            item = (agent.member_id, key, (index,))
            entry.owner._scheduler.to_withdraw.append(item)


def cut_off_zone(world, rng):
    """Takes a zone out of service while its agents get no evidence of it."""
    zone = rng.choice(("a", "b", "c"))
    world.set_zone(zone, out=True)
    for agent in world.agents():
        agent.isolated = (
            agent.isolated or agent.member.availability_zone == zone
        )
    for _ in range(4):
        world.advance(0.6)
        deliver(world, rng)
        execute(world, rng)


def execute(world, rng):
    agent = rng.choice(world.agents())
    for _ in range(rng.randint(1, 3)):
        world.execute(agent, rng.randrange(64))


def finish(world, rng):
    status = TaskStatus.SUCCEEDED
    if rng.random() < 0.04:
        status = rng.choice((TaskStatus.FAILED, TaskStatus.UNKNOWN))
    world.finish(rng.choice(world.agents()), rng.randrange(64), status)


def advance(world, rng):
    world.advance(rng.choice((0.01, 0.05, 0.2, 0.5, 1.0)))


def run_without_faults(world, rng):
    """Delivers messages and runs tasks for a while without new faults."""
    for _ in range(6):
        deliver(world, rng)
        execute(world, rng)
        finish(world, rng)


def toggle_fault(world, rng):
    """Pauses or resumes a process, or withholds or restores its evidence."""
    node = rng.choice(list(world.nodes.values()))
    name = rng.choice(("paused", "isolated"))
    setattr(node, name, not getattr(node, name))


def resume_all(world, rng):
    for node in world.nodes.values():
        node.paused = False
        node.isolated = False
    for entry in world.entries():
        entry.owner._scheduler.refusal = None
    for link in world.links:
        link.blocked.clear()
    world.connect_all()


def change_link(world, rng):
    """Blocks one direction of a connection, or closes the connection."""
    link = rng.choice(world.links)
    if rng.random() < 0.4:
        link.blocked.add(rng.choice(link.ends))
    elif link.alive:
        world.disconnect(link)
        if rng.random() < 0.7:
            world.connect(*link.ends)


def remove_entry(world, rng):
    """Removes an entry that has stopped, is paused or gets no evidence."""
    node = rng.choice(world.entries())
    world.remove_entry(node)
    fault = rng.choice(("stopped", "paused", "isolated"))
    if fault == "stopped":
        world.restart(node)
    else:
        node.paused = fault == "paused"
        node.isolated = True


def take_over_keys(world, rng):
    """Isolates an owner and submits its keys elsewhere after the fence."""
    node = max(world.entries(), key=lambda e: e.owner._runner._unplaced_count)
    node.isolated = True
    keys = list(world.bodies)[-10:]
    world.remove_entry(node)
    for _ in range(4):
        world.advance(0.6)
        deliver(world, rng)
        execute(world, rng)
    others = [other for other in world.entries() if other is not node]
    for key in keys:
        world.submit(rng.choice(others), world.bodies[key][0])
    run_without_faults(world, rng)


def toggle_overload(world, rng):
    scheduler = rng.choice(world.entries()).owner._scheduler
    refusal = Admission(accepted=False, reason=Reason.OVERLOAD)
    scheduler.refusal = None if scheduler.refusal else refusal


def change_members(world, rng):
    entry, agent = rng.choice(world.entries()), rng.choice(world.agents())
    choice = rng.randrange(8)
    if choice < 4:
        world.join_entry(entry)
    elif choice < 6:
        world.leave_entry(entry)
    elif choice == 6:
        world.leave_agent(agent)
    else:
        world.restart(agent)
    if rng.random() < 0.6:
        world.restart_drained()


def change_zone(world, rng):
    world.set_zone(rng.choice(("a", "b", "c")), out=rng.random() < 0.4)


ACTIONS = {
    submit_new: 10,
    submit_again: 8,
    cancel: 2,
    deliver: 16,
    duplicate: 8,
    withdraw: 5,
    execute: 12,
    finish: 12,
    advance: 10,
    run_without_faults: 9,
    toggle_fault: 4,
    resume_all: 4,
    change_link: 5,
    remove_entry: 1,
    take_over_keys: 1,
    toggle_overload: 1,
    change_members: 6,
    change_zone: 2,
    cut_off_zone: 1,
}


def heal(world):
    """Ends all faults and runs until every request must have been answered.

    Returns:
      Descriptions of what is unfinished.
    """
    rng = random.Random(0)
    for zone in ("a", "b", "c"):
        world.set_zone(zone, out=False)
    end = world.now + HEAL_SECONDS
    while world.now < end:
        resume_all(world, rng)
        world.advance(HEAL_STEP_SECONDS)
        for _ in range(40):
            deliverable = world.deliverable()
            for link, receiver in deliverable:
                world.deliver(link, receiver)
            if not deliverable:
                break
        for agent in world.agents():
            for _ in range(4):
                world.execute(agent, 0)
            for _ in range(4):
                world.finish(agent, 0, TaskStatus.SUCCEEDED)
    return check_end(world)


def check_end(world):
    """Returns descriptions of what is unfinished after all faults ended."""
    unfinished = [
        f"no answer to request {number} at {member.member_id}"
        for member, number in world.local_requests
        if (member, number) in world.submissions
        and (member, number) not in world.oracle.answer_counts
    ]
    for entry in world.entries():
        scheduler = entry.owner._scheduler
        used = {a: keys for a, keys in scheduler.used.items() if keys}
        if entry.owner._runner._unplaced_count:
            unfinished.append(f"{entry.member.member_id} counts unplaced tasks")
        if used:
            unfinished.append(
                f"{entry.member.member_id} counts used slots: {used}"
            )
    for agent in world.agents():
        if not agent.table.leave(world.now) and not agent.table.is_drained():
            unfinished.append(f"{agent.member.member_id} is not drained")
    return unfinished


def walk(seed, steps):
    """Returns the world after a walk of random actions."""
    rng = random.Random(seed)
    world = World(seed, entries=rng.choice((2, 3)), agents=rng.choice((2, 4)))
    actions, weights = list(ACTIONS), list(ACTIONS.values())
    for action in rng.choices(actions, weights, k=steps):
        action(world, rng)
    return world


def run_walks(seed, walks, steps):
    """Returns (violations with seeds, event counts) of consecutive seeds."""
    violations = []
    counts = collections.Counter()
    for number in range(seed, seed + walks):
        world = walk(number, steps)
        unfinished = heal(world)
        texts = world.oracle.violations + unfinished
        violations += [f"seed {number}: {text}" for text in texts]
        counts.update(world.oracle.counts)
    return violations, counts


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--walks", type=int, default=1000)
    parser.add_argument("--steps", type=int, default=300)
    options = parser.parse_args()
    started_at = time.monotonic()
    violations, counts = run_walks(options.seed, options.walks, options.steps)
    for text in violations[:50]:
        sys.stdout.write(f"{text}\n")
    sys.stdout.write(
        f"walks {options.walks}, steps {options.walks * options.steps}, "
        f"violations {len(violations)}, "
        f"seconds {time.monotonic() - started_at:.0f}\n"
        f"{dict(sorted(counts.items()))}\n"
    )
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
