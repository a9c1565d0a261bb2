"""Agent process on the users' platform."""

from __future__ import annotations

import logging
import time

from gypsumline.agent.leased_node import LeasedAgentNode
from gypsumline.core.identity import Role
from gypsumline.core.leases.crash_records import CrashOutbox
from gypsumline.core.leases.run_table import RunTable
from gypsumline.platform.crash_rows import CrashWriter
from gypsumline.platform.daemon import Daemon, running_daemon, running_tasks
from gypsumline.platform.entry_rows import ENTRIES_TABLE, EntryDirectory
from gypsumline.platform.executor_calls import ExecutorClient
from gypsumline.platform.follower import TableFollower
from gypsumline.platform.heartbeats import HeartbeatReceiver
from gypsumline.platform.keeper_rows import KeeperReader
from gypsumline.platform.settings_file import ProcessSettings
from gypsumline.platform.store import RowSet, Store
from gypsumline.platform.zone_reader import ZoneReader
from gypsumline.runtime.clock import boot_time
from gypsumline.runtime.light_http_server import (
    HttpLimits,
    running_light_server,
)
from gypsumline.wire.hub import running_hub

# Fraction of the time from the stop signal to the kill in which runs may end.
_FINISHING_FRACTION = 0.8

_LOGGER = logging.getLogger(__name__)


def make_fencing_token() -> int:
    """Returns the initial fencing token, in UTC milliseconds.

    It is usually above the tokens of all earlier agents of the executor.
    """
    return time.time_ns() // 1_000_000


async def _serve(daemon: Daemon) -> None:
    settings = daemon.settings
    table = RunTable(
        daemon.member, settings.lease, make_fencing_token(), boot_time()
    )
    executor = ExecutorClient(
        settings.executor_address, settings.lease.order_limits
    )
    store = Store(settings.store_address, settings.entries_feed)
    outbox = CrashOutbox(settings.member_id, settings.lease)
    crash_writer = CrashWriter(store, outbox, daemon.rng)
    node = LeasedAgentNode(
        table, executor, daemon.decision_log, crash_writer.on_crash
    )
    receiver = HeartbeatReceiver(node, settings.service)
    async with running_hub(daemon.member, node, daemon.rng) as hub:
        node.attach(hub)
        directory = EntryDirectory(hub.set_members)
        keepers = KeeperReader(node.set_keepers)

        def replace_rows(rows: RowSet) -> None:
            directory.replace(rows)
            set_entries()
            keepers.apply(rows)

        def apply_rows(rows: RowSet) -> None:
            directory.apply(rows)
            set_entries()
            keepers.apply(rows)

        def set_entries() -> None:
            if directory.incarnations is not None:
                node.set_entries(directory.incarnations)

        follower = TableFollower(
            store,
            ENTRIES_TABLE,
            replace_rows,
            apply_rows,
            settings.entries_feed,
            daemon.rng,
        )
        node.subscribe(daemon.timers)
        zone_reader = ZoneReader(node, settings, daemon.rng)
        zone_reader.subscribe(daemon.timers)
        async with (
            running_light_server(
                settings.heartbeat_address, receiver, HttpLimits()
            ),
            running_tasks(
                follower.run(),
                node.run_hold_loop(),
                crash_writer.run(),
                zone_reader.run(),
            ),
        ):
            _LOGGER.info(
                "listening", extra={"address": settings.heartbeat_address}
            )
            await daemon.signals.wait()
            _LOGGER.info("stopping", extra={"runs": len(table.runs)})
            node.begin_stop()
            limit = _FINISHING_FRACTION * settings.stop_limit
            if not await daemon.signals.drain(lambda: table.is_idle, limit):
                _LOGGER.warning(
                    "stopping with unfinished runs",
                    extra={"runs": len(table.runs)},
                )
    executor.close()
    store.close()


async def run_agent(settings: ProcessSettings) -> None:
    """Runs an agent until it is stopped."""
    async with running_daemon(Role.AGENT, settings) as daemon:
        await _serve(daemon)
