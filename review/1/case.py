"""A heartbeat of another writer makes an agent give its executor's runs away.

Four executors work on two jobs. The agent of the first one gets a heartbeat
without `address` and with a text as `slots`, under an id that no executor has.
"""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.wire import call  # noqa: E402
from standins.world import World, job, main, new_key  # noqa: E402

TASK_MS = 3000
TASKS = 8


async def send_odd_heartbeat(world, executor):
    """Sends a heartbeat that names no executor to use."""
    body = executor.heartbeat() | {
        "slots": "eight",
        "seq_no": 1,
        "born": executor.born + 2000,
    }
    del body["address"]
    status, _ = await call(
        executor.control,
        "PUT",
        "/v1/instances/i-another-writer",
        body=json.dumps(body).encode(),
    )
    world.record("odd heartbeat", agent_of=executor.name, status=status)


async def case():
    """Runs the case; returns the exit status."""
    world = World(FOLDER, entries=2, agents=4)
    async with world.running():
        step = {"count": TASKS, "estimate_ms": TASK_MS}
        posts = [
            asyncio.create_task(
                world.post(entry, new_key(), job({"ms": TASK_MS}, step))
            )
            for entry in world.entries
        ]
        await asyncio.sleep(1.0)
        if world.has_trouble:
            await send_odd_heartbeat(world, world.executors[0])
        await asyncio.gather(*posts)
    for task, first, second in world.overlaps:
        world.record("two runs", task=task, at=f"{first},{second}")
    return world.finish(bool(world.overlaps))


main(case)
