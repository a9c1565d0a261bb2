"""Common parts of both daemons: logs, metrics, settings and stop signals."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import random
import signal
import sys
from collections.abc import AsyncIterator, Coroutine

from gypsumline.core.errors import InvalidInputGroup
from gypsumline.core.identity import Member, Role
from gypsumline.platform.operator_pages import OperatorPages
from gypsumline.platform.settings_file import (
    ProcessSettings,
    read_settings,
    settings_path,
)
from gypsumline.runtime import logs
from gypsumline.runtime.clock import new_incarnation
from gypsumline.runtime.light_http_server import (
    HttpLimits,
    running_light_server,
)
from gypsumline.runtime.randomness import make_random
from gypsumline.runtime.stop import StopSignals
from gypsumline.runtime.timers import TimerService, running_timers

# Port of the metrics on every host; must match deploy/system.toml.
METRICS_PORT = 9464
DECISION_LINES_PER_SECOND = 400
_FLUSH_SECONDS = 0.5

_LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Daemon:
    """Common parts of a running daemon.

    Attributes:
      settings: Settings of the process.
      member: Identity of the process.
      rng: Source of all random choices.
      timers: Periodic callbacks.
      signals: Stop signals that the process receives.
      decision_log: Rate-limited log of decisions.
      pages: Pages for operators.
    """

    settings: ProcessSettings
    member: Member
    rng: random.Random
    timers: TimerService
    signals: StopSignals
    decision_log: logs.DecisionLog
    pages: OperatorPages


@contextlib.asynccontextmanager
async def running_daemon(
    role: Role, settings: ProcessSettings
) -> AsyncIterator[Daemon]:
    """Yields the common parts of a daemon and serves its metrics."""
    logs.configure_logs(settings.member_id, "info", sys.stdout)
    address = f"{settings.address}:{settings.stream_port}"
    member = Member(
        member_id=settings.member_id,
        incarnation=new_incarnation(),
        role=role,
        availability_zone=settings.availability_zone,
        address=address if role is Role.ENTRY else "",
    )
    _LOGGER.info(
        "started", extra={"role": role.value, "incarnation": member.incarnation}
    )
    metrics_address = f"{settings.address}:{METRICS_PORT}"
    pages = OperatorPages()
    try:
        async with (
            running_timers() as timers,
            running_light_server(metrics_address, pages, HttpLimits()),
        ):
            timers.subscribe(_FLUSH_SECONDS, logs.flush_logs)
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGHUP, _reload_settings, settings)
            yield Daemon(
                settings=settings,
                member=member,
                rng=make_random(0),
                timers=timers,
                signals=StopSignals(),
                decision_log=logs.DecisionLog(DECISION_LINES_PER_SECOND),
                pages=pages,
            )
    finally:
        _LOGGER.info("stopped")
        logs.flush_logs()


@contextlib.asynccontextmanager
async def running_tasks(
    *coroutines: Coroutine[object, object, None],
) -> AsyncIterator[None]:
    """Runs coroutines concurrently with the body; a failure ends the daemon."""
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(coroutine) for coroutine in coroutines]
        yield
        for task in tasks:
            task.cancel()


def _reload_settings(settings: ProcessSettings) -> None:
    """Reads the settings again and logs the fields that have changed.

    Changes take effect at the next start.
    """
    try:
        newest = read_settings(settings_path())
    except (OSError, InvalidInputGroup) as error:
        _LOGGER.error("settings not reloaded", extra={"detail": str(error)})
        return
    changed = [
        field.name
        for field in dataclasses.fields(newest)
        if getattr(newest, field.name) != getattr(settings, field.name)
    ]
    _LOGGER.info("settings reloaded", extra={"changed_at_next_start": changed})
