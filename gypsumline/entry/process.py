"""Runs an entry process: start, service and planned stop."""

from __future__ import annotations

import contextlib
import logging
import random
from collections.abc import AsyncIterator

import uvloop

import gypsumline.table.http_table  # noqa: F401  registers its URL scheme
from gypsumline.cli.core_settings import (
    control_settings,
    owner_settings,
    placement_settings,
)
from gypsumline.cli.settings import EntrySettings
from gypsumline.core.control.control_machine import ControlMachine
from gypsumline.core.identity import Member, Role
from gypsumline.core.placement.scheduler import Scheduler
from gypsumline.core.submissions.owner import SubmissionOwner
from gypsumline.entry.configuration_http import ConfigurationRoutes
from gypsumline.entry.http import entry_app
from gypsumline.entry.node import EntryMachines, EntryNode, MachineFactory
from gypsumline.entry.table_task import TableOperations
from gypsumline.runtime.clock import boot_time, new_incarnation
from gypsumline.runtime.http_server import running_http_server
from gypsumline.runtime.logs import (
    DecisionLog,
    configure_logs,
    flush_logs,
)
from gypsumline.runtime.randomness import make_random
from gypsumline.runtime.stop import StopSignals
from gypsumline.runtime.timers import TimerService, running_timers
from gypsumline.table.table import open_table
from gypsumline.wire.hub import Hub, running_hub

CONTROL_TICK_SECONDS = 0.1
# A wake-up costs about 0.3 ms: an interval of 20 ms used 1.5% of an idle core.
OWNER_TICK_SECONDS = 0.05
# Time within which the load balancer notices that the entry is not ready.
BALANCER_NOTICE_SECONDS = 1.0
_LISTED_KEYS_MAX = 100

_LOGGER = logging.getLogger(__name__)


def run_entry(settings: EntrySettings) -> int:
    """Runs an entry until it is stopped; returns the exit status."""
    configure_logs(settings.member_id, settings.log_level)
    return uvloop.run(_serve(settings))


async def _serve(settings: EntrySettings) -> int:
    signals = StopSignals()
    async with _running_node(settings, signals) as node:
        await signals.wait()
        _LOGGER.info("planned stop begins")
        node.begin_leave()
        await signals.pause(BALANCER_NOTICE_SECONDS)
        await _drain(node, signals, settings.stop_limit)
    _LOGGER.info("planned stop ends")
    return 0


async def _drain(node: EntryNode, signals: StopSignals, limit: float) -> None:
    stop_deadline = boot_time() + limit
    if not await signals.drain(lambda: node.is_drained, limit):
        _force_stop(node, signals)
        return
    node.depart()
    time_left = max(0.0, stop_deadline - boot_time())
    departed = await signals.drain(lambda: node.has_departed, time_left)
    if not departed:
        _LOGGER.warning(
            "planned stop ends while the control record still lists this entry"
        )
    # Requests forwarded to other owners continue until they are answered.
    time_left = max(0.0, stop_deadline - boot_time())
    if not await signals.drain(lambda: node.pending_requests == 0, time_left):
        _force_stop(node, signals)


def _force_stop(node: EntryNode, signals: StopSignals) -> None:
    interrupted = {
        "requests": node.pending_requests,
        "request_keys": node.pending_keys[:_LISTED_KEYS_MAX],
        "jobs": len(node.open_keys),
        "job_keys": node.open_keys[:_LISTED_KEYS_MAX],
    }
    _LOGGER.warning("planned stop cuts work", extra=interrupted)
    signals.force_stop()


@contextlib.asynccontextmanager
async def _running_node(
    settings: EntrySettings, signals: StopSignals
) -> AsyncIterator[EntryNode]:
    rng = make_random(settings.seed)
    local_member = _member(settings)
    node = EntryNode(
        local_member,
        _machine_factory(settings, rng),
        DecisionLog(settings.decision_log_limit),
    )
    table = TableOperations(open_table(settings.table_url), node.on_table)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(table.close)
        hub = await stack.enter_async_context(
            running_hub(local_member, node, rng)
        )
        timers = await stack.enter_async_context(running_timers())
        node.attach(hub, table)
        await hub.listen(settings.host, settings.port)
        _dial_peers(hub, settings)
        _subscribe(timers, node)
        app = entry_app(node, settings, ConfigurationRoutes(node, table))
        server = running_http_server(
            app,
            settings.host,
            settings.http_port,
            settings.stop_limit,
            signals,
        )
        await stack.enter_async_context(server)
        _LOGGER.info(
            "entry is serving", extra={"http_port": settings.http_port}
        )
        yield node


def _member(settings: EntrySettings) -> Member:
    return Member(
        member_id=settings.member_id,
        incarnation=new_incarnation(),
        role=Role.ENTRY,
        availability_zone=settings.availability_zone,
        address=f"{settings.host}:{settings.port}",
    )


def _machine_factory(
    settings: EntrySettings, rng: random.Random
) -> MachineFactory:
    def make(local_member: Member) -> EntryMachines:
        control = ControlMachine(local_member, control_settings(settings), rng)
        scheduler = Scheduler(placement_settings(settings), rng)
        owner = SubmissionOwner(
            local_member, owner_settings(settings), scheduler
        )
        return EntryMachines(control=control, owner=owner)

    return make


def _dial_peers(hub: Hub, settings: EntrySettings) -> None:
    for address in settings.peers:
        hub.dial(address)


def _subscribe(timers: TimerService, node: EntryNode) -> None:
    timers.subscribe(CONTROL_TICK_SECONDS, node.tick_control)
    timers.subscribe(CONTROL_TICK_SECONDS, flush_logs)
    timers.subscribe(OWNER_TICK_SECONDS, node.tick_owner)
