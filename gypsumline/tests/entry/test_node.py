"""Tests of `EntryNode`."""

import asyncio
import dataclasses

from gypsumline.core.control.record import OwnerEpoch
from gypsumline.core.messages import PeerHeartbeat
from gypsumline.entry import node as node_module
from gypsumline.runtime.clock import wall_time
from gypsumline.tests.core.builders import ENTRY, OTHER_ENTRY, make_record
from gypsumline.tests.entry.entry_server import entry_server


def set_record(entry, begins_at):
    epochs = (
        OwnerEpoch(begins_at_wall=0.0, owners=(ENTRY, OTHER_ENTRY)),
        OwnerEpoch(begins_at_wall=begins_at, owners=(OTHER_ENTRY,)),
    )
    record = make_record(revision=2, entries=(ENTRY, OTHER_ENTRY))
    entry.control.record = dataclasses.replace(record, epochs=epochs)
    entry.node.tick_control()


async def test_drain_lasts_until_the_owner_epoch_without_the_entry(monkeypatch):
    """Guards against refusing new keys for 2 s after each planned stop."""
    monkeypatch.setattr(node_module, "_EPOCH_MARGIN_SECONDS", 0.0)
    async with entry_server() as entry:
        heartbeat = PeerHeartbeat(sequence=1, revision=2)
        entry.node.on_message(OTHER_ENTRY, heartbeat)
        set_record(entry, wall_time() + 0.5)
        entry.node.begin_leave()
        await asyncio.sleep(0.2)
        assert not entry.node.is_drained
        await asyncio.sleep(0.5)
        assert entry.node.is_drained


async def test_entries_that_leave_together_do_not_wait_for_each_other():
    """Guards against a stop of all entries that lasts for the time limit."""
    async with entry_server() as entry:
        heartbeat = PeerHeartbeat(sequence=1, revision=2, leaving=True)
        entry.node.on_message(OTHER_ENTRY, heartbeat)
        set_record(entry, wall_time() + 60)
        entry.node.begin_leave()
        await asyncio.sleep(0.2)
        assert entry.node.is_drained


async def test_new_incarnation_is_greater_than_the_removed_one():
    """Guards against an incarnation number that is not greater."""
    async with entry_server() as entry:
        removed = dataclasses.replace(ENTRY, incarnation=2**62)
        entry.node._local_member = removed
        entry.node._hub = None
        entry.node._restart_as_new_incarnation()
        assert entry.node.local_member.incarnation == removed.incarnation + 1
