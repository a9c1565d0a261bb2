"""Runs an agent process: start, service and planned stop."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import AsyncIterator

import uvloop

from gypsumline.agent.http import agent_app
from gypsumline.agent.node import AgentMachines, AgentNode
from gypsumline.cli.core_settings import control_settings, slot_settings
from gypsumline.cli.settings import AgentSettings
from gypsumline.core.control.control_machine import ControlMachine
from gypsumline.core.identity import Member, Role
from gypsumline.core.slots.slot_table import SlotTable
from gypsumline.runtime.clock import new_incarnation
from gypsumline.runtime.http_server import running_http_server
from gypsumline.runtime.logs import (
    DecisionLog,
    configure_logs,
    flush_logs,
)
from gypsumline.runtime.randomness import make_random
from gypsumline.runtime.stop import StopSignals
from gypsumline.runtime.timers import running_timers
from gypsumline.wire.hub import running_hub

CONTROL_TICK_SECONDS = 0.1
SLOTS_TICK_SECONDS = 0.05

_LOGGER = logging.getLogger(__name__)


def run_agent(settings: AgentSettings) -> int:
    """Runs an agent until it is stopped; returns the exit status."""
    configure_logs(settings.member_id, settings.log_level)
    return uvloop.run(_serve(settings))


async def _serve(settings: AgentSettings) -> int:
    signals = StopSignals()
    async with _running_node(settings, signals) as node:
        await signals.wait()
        _LOGGER.info("planned stop begins")
        node.begin_leave()
        drained = await signals.drain(
            lambda: node.is_drained, settings.stop_limit
        )
        if not drained:
            interrupted = {"tasks": node.running, "count": node.running_count}
            _LOGGER.warning("planned stop cuts work", extra=interrupted)
            signals.force_stop()
    _LOGGER.info("planned stop ends")
    return 0


@contextlib.asynccontextmanager
async def _running_node(
    settings: AgentSettings, signals: StopSignals
) -> AsyncIterator[AgentNode]:
    rng = make_random(settings.seed)
    local_member = Member(
        member_id=settings.member_id,
        incarnation=new_incarnation(),
        role=Role.AGENT,
        availability_zone=settings.availability_zone,
    )
    machines = AgentMachines(
        control=ControlMachine(local_member, control_settings(settings), rng),
        slots=SlotTable(local_member, slot_settings(settings)),
    )
    node = AgentNode(
        local_member, machines, DecisionLog(settings.decision_log_limit)
    )
    async with contextlib.AsyncExitStack() as stack:
        hub = await stack.enter_async_context(
            running_hub(local_member, node, rng)
        )
        stack.push_async_callback(node.close)
        timers = await stack.enter_async_context(running_timers())
        node.attach(hub)
        for address in settings.peers:
            hub.dial(address)
        timers.subscribe(CONTROL_TICK_SECONDS, node.tick_control)
        timers.subscribe(CONTROL_TICK_SECONDS, flush_logs)
        timers.subscribe(SLOTS_TICK_SECONDS, node.tick_slots)
        server = running_http_server(
            agent_app(node),
            settings.host,
            settings.http_port,
            settings.stop_limit,
            signals,
        )
        await stack.enter_async_context(server)
        _LOGGER.info(
            "agent is serving", extra={"http_port": settings.http_port}
        )
        yield node
