"""Tasks that require a label start on executors without it, after a crash.

Executors crash one after the other, and start again under their ids after a
moment, as executors of the other kind. All jobs require the first kind.
"""

import asyncio
import itertools
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.world import World, job, main, new_key  # noqa: E402

KINDS = ("a", "b")
RACK = "r1-1"
EXECUTORS, CRASHED, ROUNDS = 7, 6, 3
TASK_MS = 300
BUDGET_MS = 6000
# Time from the crash to the next start, and from there to the next crash, in
# seconds.
DOWN_SHORTEST, DOWN_LONGEST = 0.2, 0.4
PAUSE = 2.0
# An executor takes orders for this long before its first heartbeat.
FIRST_BEAT_SECONDS = 0.05


class KindWorld(World):
    """Notes the starts on executors of the wrong kind."""

    def __init__(self, *arguments, **fields):
        super().__init__(*arguments, **fields)
        self.wrong = []
        for executor in self.executors:
            executor.labels = [KINDS[0], RACK]

    def on_start(self, executor, run, fields):
        """Notes a start; all tasks require the first kind."""
        super().on_start(executor, run, fields)
        if KINDS[0] not in executor.labels:
            self.wrong.append(run.task)
            self.record(
                "wrong kind", task=run.task, labels=",".join(executor.labels)
            )


async def send_jobs(world):
    """Hands jobs in at all entries until cancelled."""
    posts = set()
    step = {"count": 4, "estimate_ms": TASK_MS, "requirements": KINDS[0]}
    for entry in itertools.cycle(world.entries):
        post = asyncio.create_task(
            world.post(entry, new_key(), job({"ms": TASK_MS}, step), BUDGET_MS)
        )
        posts.add(post)
        post.add_done_callback(posts.discard)
        await asyncio.sleep(0.06)


async def crash(world, executor):
    """Crashes an executor, which comes back as one of the other kind."""
    await executor.crash()
    await asyncio.sleep(random.uniform(DOWN_SHORTEST, DOWN_LONGEST))
    kind = KINDS[1 - KINDS.index(executor.labels[0])]
    executor.labels = [kind, RACK]
    executor.first_beat_s = FIRST_BEAT_SECONDS
    await executor.start()
    world.record("new kind", executor=executor.id, kind=kind)


async def case():
    """Runs the case; returns the exit status."""
    world = KindWorld(FOLDER, entries=2, agents=EXECUTORS)
    async with world.running():
        traffic = asyncio.create_task(send_jobs(world))
        await asyncio.sleep(3.0)
        for executor in world.executors[:CRASHED] * ROUNDS:
            if world.has_trouble:
                await crash(world, executor)
            await asyncio.sleep(PAUSE)
        traffic.cancel()
        await asyncio.sleep(BUDGET_MS / 1000.0 + 0.5)
    return world.finish(bool(world.wrong))


main(case)
