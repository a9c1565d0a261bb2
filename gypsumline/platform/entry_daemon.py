"""The entry on the users' platform."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator

from gypsumline.core.identity import Role
from gypsumline.core.leases.owner import LeasedOwner
from gypsumline.core.leases.owner_settings import LeasedOwnerSettings
from gypsumline.entry.leased_node import LeasedEntryNode
from gypsumline.platform.daemon import Daemon, running_daemon, running_tasks
from gypsumline.platform.entry_rows import EntryAnnouncer
from gypsumline.platform.follower import TableFollower
from gypsumline.platform.ingress import Ingress
from gypsumline.platform.routes import OPERATOR_TABLE, Routes
from gypsumline.platform.settings_file import ProcessSettings
from gypsumline.platform.store import RowSet, Store
from gypsumline.runtime.http_messages import HttpResponse
from gypsumline.runtime.light_http_server import (
    Exchange,
    HttpLimits,
    LightHttpServer,
    running_light_server,
)
from gypsumline.wire.hub import Hub, running_hub

TICK_SECONDS = 0.03
# Shares of the time from the stop signal to the kill: until then new jobs are
# taken, and until then running jobs may end.
_TAKING_SHARE = 0.4
_ENDING_SHARE = 0.85
_LAST_WRITE_SECONDS = 0.1

_LOGGER = logging.getLogger(__name__)


class EntryDaemon:
    """Callers, agents and the operator's rows, wired to the decisions."""

    def __init__(self, daemon: Daemon) -> None:
        settings = daemon.settings
        self._daemon = daemon
        owner = LeasedOwner(
            settings.lease,
            LeasedOwnerSettings(remote_factor=settings.remote_factor),
        )
        self._node = LeasedEntryNode(owner, daemon.decision_log)
        self._routes = Routes()
        self._store = Store(settings.store_address, settings.operator_feed)
        self._follower = TableFollower(
            self._store,
            OPERATOR_TABLE,
            self._replace_rows,
            self._change_rows,
            settings.operator_feed,
            daemon.rng,
        )
        self._ingress = Ingress(
            self._node,
            self._routes,
            daemon.decision_log,
            lambda: self._follower.silence,
        )
        self._is_stopping = False

    async def run(self) -> None:
        """Serves until a planned stop is done."""
        daemon = self._daemon
        announcer = EntryAnnouncer(self._store, daemon.me, daemon.rng)
        daemon.timers.subscribe(TICK_SECONDS, self._node.tick)
        async with (
            self._running_hub(),
            self._running_servers() as callers,
            running_tasks(self._follower.run(), announcer.run()),
        ):
            await daemon.signals.wait()
            await self._stop(callers)
        self._store.close()

    @contextlib.asynccontextmanager
    async def _running_hub(self) -> AsyncIterator[Hub]:
        daemon = self._daemon
        async with running_hub(daemon.me, self._node, daemon.rng) as hub:
            self._node.attach(hub)
            settings = daemon.settings
            await hub.listen(settings.address, settings.stream_port)
            yield hub

    @contextlib.asynccontextmanager
    async def _running_servers(self) -> AsyncIterator[LightHttpServer]:
        settings = self._daemon.settings
        async with (
            running_light_server(
                settings.readiness_address, self._show_readiness, HttpLimits()
            ),
            running_light_server(
                settings.caller_address, self._ingress, self._routes.limits
            ) as callers,
        ):
            _LOGGER.info(
                "listening", extra={"address": settings.caller_address}
            )
            yield callers

    async def _stop(self, callers: LightHttpServer) -> None:
        """Ends a planned stop before the platform kills the process."""
        limit = self._daemon.settings.stop_limit
        signals = self._daemon.signals
        self._is_stopping = True
        _LOGGER.info("stopping", extra={"jobs": len(self._node.owner.jobs)})
        await signals.pause(_TAKING_SHARE * limit)
        self._ingress.refuse_jobs()
        callers.drain()
        rest = (_ENDING_SHARE - _TAKING_SHARE) * limit
        jobs = self._node.owner.jobs
        if not await signals.drain(lambda: not jobs, rest):
            _LOGGER.warning("jobs are cut", extra={"jobs": sorted(jobs)})
            self._node.expire_all("stopping")
        callers.drain()
        await asyncio.sleep(_LAST_WRITE_SECONDS)

    def _replace_rows(self, rows: RowSet) -> None:
        self._routes.replace(rows)
        self._node.set_zones_out(self._routes.zones_out)

    def _change_rows(self, rows: RowSet) -> None:
        self._routes.apply(rows)
        self._node.set_zones_out(self._routes.zones_out)

    def _show_readiness(self, exchange: Exchange) -> None:
        is_ready = (
            not self._is_stopping
            and self._routes.version >= 0
            and self._node.usable_agents > 0
        )
        exchange.respond(HttpResponse(status=200 if is_ready else 503))


async def run_entry(settings: ProcessSettings) -> None:
    """Runs an entry until it is stopped."""
    async with running_daemon(Role.ENTRY, settings) as daemon:
        await EntryDaemon(daemon).run()
