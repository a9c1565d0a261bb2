"""Entry process on the users' platform."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator

from gypsumline.core.identity import Role
from gypsumline.core.leases.owner import LeasedOwner
from gypsumline.core.leases.owner_settings import LeasedOwnerSettings
from gypsumline.entry.leased_node import LeasedEntryNode
from gypsumline.platform.crash_page import crash_status
from gypsumline.platform.crash_rows import CrashReader
from gypsumline.platform.daemon import Daemon, running_daemon, running_tasks
from gypsumline.platform.entry_rows import EntryAnnouncer
from gypsumline.platform.follower import TableFollower
from gypsumline.platform.ingress import Ingress
from gypsumline.platform.keeper_rows import KeeperWriter
from gypsumline.platform.routes import OperatorConfiguration
from gypsumline.platform.settings_file import ProcessSettings
from gypsumline.platform.store import RowSet, Store
from gypsumline.platform.zone_rows import OPERATOR_TABLE
from gypsumline.runtime.http_messages import HttpResponse
from gypsumline.runtime.light_http_server import (
    Exchange,
    HttpLimits,
    LightHttpServer,
    running_light_server,
)
from gypsumline.wire.hub import Hub, running_hub

# Fractions of the time from the stop signal to the kill: the first ends the
# acceptance of new jobs, the second the wait for running jobs, and the third is
# left for the removal of the entry's row.
_ACCEPTING_FRACTION = 0.4
_FINISHING_FRACTION = 0.85
_REMOVAL_FRACTION = 0.05
_FINAL_WRITE_SECONDS = 0.1

_LOGGER = logging.getLogger(__name__)


class EntryDaemon:
    """Connects callers, agents and the operator's rows to the job owner."""

    def __init__(self, daemon: Daemon, started_at: float) -> None:
        settings = daemon.settings
        self._daemon = daemon
        owner = LeasedOwner(
            settings.lease,
            LeasedOwnerSettings(remote_factor=settings.remote_factor),
            started_at,
        )
        self._store = Store(settings.store_address, settings.operator_feed)
        self._crash_reader = CrashReader(
            self._store,
            settings.lease.crash_memory,
            lambda crashes: self._node.restore_crashes(crashes),
            daemon.rng,
        )
        self._keeper_writer = KeeperWriter(
            self._store,
            daemon.rng,
            lambda keepers: self._node.set_keepers(keepers),
        )
        self._node = LeasedEntryNode(
            owner,
            daemon.decision_log,
            self._crash_reader.request_read,
            self._keeper_writer.propose,
        )
        self._configuration = OperatorConfiguration()
        self._follower = TableFollower(
            self._store,
            OPERATOR_TABLE,
            self._replace_rows,
            self._apply_rows,
            settings.operator_feed,
            daemon.rng,
            self._node.record_zones_read,
        )
        self._ingress = Ingress(
            self._node,
            self._configuration,
            daemon.decision_log,
            lambda: self._follower.silence,
        )
        self._is_stopping = False
        daemon.pages.status = lambda: crash_status(owner.crashes)

    async def run(self) -> None:
        """Serves until a planned stop has finished."""
        daemon = self._daemon
        announcer = EntryAnnouncer(
            self._store,
            daemon.member,
            daemon.rng,
            lambda: self._node.has_keepers,
        )
        self._node.subscribe(daemon.timers)
        async with (
            self._running_hub(),
            self._running_servers() as caller_server,
            running_tasks(
                self._crash_reader.run(),
                self._keeper_writer.run(),
                self._follow_operator(),
                announcer.run(),
            ),
        ):
            await daemon.signals.wait()
            await self._stop(caller_server)
            # While a run may be left, agents that start must know this entry.
            if not self._node.owner.has_runs:
                limit = _REMOVAL_FRACTION * daemon.settings.stop_limit
                await announcer.remove(limit)
        self._store.close()

    @contextlib.asynccontextmanager
    async def _running_hub(self) -> AsyncIterator[Hub]:
        daemon = self._daemon
        async with running_hub(daemon.member, self._node, daemon.rng) as hub:
            self._node.attach(hub)
            settings = daemon.settings
            await hub.listen(settings.address, settings.stream_port)
            yield hub

    @contextlib.asynccontextmanager
    async def _running_servers(self) -> AsyncIterator[LightHttpServer]:
        settings = self._daemon.settings
        async with (
            running_light_server(
                settings.readiness_address, self._serve_readiness, HttpLimits()
            ),
            running_light_server(
                settings.caller_address,
                self._ingress,
                self._configuration.limits,
            ) as caller_server,
        ):
            _LOGGER.info(
                "listening", extra={"address": settings.caller_address}
            )
            yield caller_server

    async def _stop(self, caller_server: LightHttpServer) -> None:
        """Completes a planned stop before the platform kills the process."""
        limit = self._daemon.settings.stop_limit
        signals = self._daemon.signals
        self._is_stopping = True
        _LOGGER.info("stopping", extra={"jobs": len(self._node.owner.jobs)})
        await signals.pause(_ACCEPTING_FRACTION * limit)
        self._ingress.stop_accepting_jobs()
        caller_server.drain()
        remaining = (_FINISHING_FRACTION - _ACCEPTING_FRACTION) * limit
        jobs = self._node.owner.jobs
        if not await signals.drain(lambda: not jobs, remaining):
            _LOGGER.warning(
                "stopping with unfinished jobs", extra={"jobs": sorted(jobs)}
            )
            self._node.expire_all("stopping")
        caller_server.drain()
        await asyncio.sleep(_FINAL_WRITE_SECONDS)

    async def _follow_operator(self) -> None:
        """Follows the configuration, without which no job is accepted."""
        await self._crash_reader.wait_for_first_read()
        await self._follower.run()

    def _replace_rows(self, rows: RowSet) -> None:
        self._configuration.replace(rows)
        self._node.set_zones_out(self._configuration.zones_out)

    def _apply_rows(self, rows: RowSet) -> None:
        self._configuration.apply(rows)
        self._node.set_zones_out(self._configuration.zones_out)

    def _serve_readiness(self, exchange: Exchange) -> None:
        is_ready = (
            not self._is_stopping
            and self._configuration.version >= 0
            and self._node.usable_agents > 0
            and self._node.has_keepers
        )
        exchange.respond(HttpResponse(status=200 if is_ready else 503))


async def run_entry(settings: ProcessSettings, started_at: float) -> None:
    """Runs an entry until it is stopped.

    Args:
      settings: Settings of the process.
      started_at: Boot time at which the process was running already.
    """
    async with running_daemon(Role.ENTRY, settings) as daemon:
        await EntryDaemon(daemon, started_at).run()
