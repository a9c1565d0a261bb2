"""Starts in an evacuated zone while the fronts are cut off from the store.

All fronts lose the path to the store for 5.5 s, one after the other. A zone is
evacuated just after that. Its agents reach the store all the time.
"""

import asyncio
import itertools
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.world import (  # noqa: E402
    BOUNDS,
    World,
    job,
    main,
    new_key,
)

ZONES = ("piraeus", "marousi", "glyfada")
ZONE = "glyfada"
TASK_MS = 120
BUDGET_MS = 6000
CUT_SECONDS = 5.5
CUT_GAP_SECONDS = 0.1
TAKEN_BACK_AFTER = 8.0


async def send_jobs(world):
    """Hands jobs in at all entries until cancelled."""
    posts = set()
    step = {"count": 8, "estimate_ms": TASK_MS}
    for entry in itertools.cycle(world.entries):
        post = asyncio.create_task(
            world.post(entry, new_key(), job({"ms": TASK_MS}, step), BUDGET_MS)
        )
        posts.add(post)
        post.add_done_callback(posts.discard)
        await asyncio.sleep(0.05)


async def cut(world, number):
    """Cuts a front off from the store for a while."""
    await asyncio.sleep(number * CUT_GAP_SECONDS)
    name = world.entries[number].name
    world.record("cut off from the store", machine=name)
    world.endpoints[number].is_cut = True
    await asyncio.sleep(CUT_SECONDS)
    world.endpoints[number].is_cut = False
    world.record("reaches the store again", machine=name)


async def case():
    """Runs the case; returns the exit status."""
    world = World(FOLDER, entries=3, agents=6, zones=ZONES)
    async with world.running():
        traffic = asyncio.create_task(send_jobs(world))
        await asyncio.sleep(3.0)
        cuts = []
        if world.has_trouble:
            cuts = [asyncio.create_task(cut(world, n)) for n in range(3)]
        await asyncio.sleep(0.3)
        world.store.put("op", f"evacuate/{ZONE}", {})
        acked_at = world.now
        world.record("evacuation acknowledged", zone=ZONE)
        await asyncio.sleep(TAKEN_BACK_AFTER)
        taken_back_at = world.now
        world.store.remove("op", f"evacuate/{ZONE}")
        world.record("taken back", zone=ZONE)
        traffic.cancel()
        await asyncio.gather(*cuts)
        await asyncio.sleep(1.0)
    begin = acked_at + BOUNDS["evacuate_ms"] / 1000.0
    inside = {e.id for e in world.executors if e.zone == ZONE}
    late = [
        start
        for start in world.starts
        if start[2] in inside and begin < start[0] < taken_back_at
    ]
    for at, task, executor in late:
        world.record("late start", at=f"{at:.3f}", task=task, on=executor)
    return world.finish(bool(late))


main(case)
