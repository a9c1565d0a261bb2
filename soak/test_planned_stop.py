"""Planned stop of an entry beside stand-ins of the store and an executor."""

from soak.programs import ROOT, running_programs
from soak.world import ENTRIES_TABLE, SoakWorld


async def test_entry_that_stops_leaves_no_row():
    """Guards against agents that dial an entry for 70 s after it has left."""
    world = SoakWorld(1, 1, 1, ROOT / "build" / "planned_stop")
    async with world.running(), running_programs(world.programs):
        while await world.submit() != "completed":
            pass
        assert (ENTRIES_TABLE, "entry-0") in world.rows.rows
        assert await world.entries["entry-0"].stop() == 0
        assert (ENTRIES_TABLE, "entry-0") not in world.rows.rows
