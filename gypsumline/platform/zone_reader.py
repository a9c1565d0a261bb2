"""Reads the excluded zones at an agent while its entries cannot."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random

from gypsumline.agent.leased_node import LeasedAgentNode
from gypsumline.platform.daemon import running_tasks
from gypsumline.platform.follower import TableFollower
from gypsumline.platform.settings_file import ProcessSettings
from gypsumline.platform.store import RowSet, Store
from gypsumline.platform.zone_rows import OPERATOR_TABLE, ExcludedZoneRows
from gypsumline.runtime.clock import boot_time
from gypsumline.runtime.timers import Subscription, TimerService

# Interval of the checks whether an entry follows the table again.
_CHECK_SECONDS = 0.25

_LOGGER = logging.getLogger(__name__)


class ZoneReader:
    """Follows the operators' table while no entry's list is recent.

    Otherwise the entries pass the list on, so that the requests to the store do
    not grow with the agents.

    Args:
      node: The agent.
      settings: Address of the store and settings of the feed.
      rng: Source of the random part of pauses.
    """

    def __init__(
        self,
        node: LeasedAgentNode,
        settings: ProcessSettings,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._settings = settings
        self._rng = rng
        self._timer: Subscription | None = None
        self._is_doubtful = asyncio.Event()
        self._is_recent = asyncio.Event()

    def subscribe(self, timers: TimerService) -> None:
        """Subscribes to the checks of the entries' lists."""
        self._timer = timers.subscribe(_CHECK_SECONDS, self.check)

    def check(self) -> None:
        """Begins or ends the following of the table, if that is due."""
        delay = self._node.table.zones_doubtful_in(boot_time())
        begins, ends = self._is_doubtful, self._is_recent
        if delay > 0.0:
            begins, ends = ends, begins
        begins.set()
        ends.clear()
        if self._timer is not None:
            self._timer.set_interval(max(_CHECK_SECONDS, delay))

    async def run(self) -> None:
        """Follows the table whenever no entry does, until cancelled."""
        while True:
            await self._is_doubtful.wait()
            await self._follow()

    async def _follow(self) -> None:
        """Follows the table until an entry's list is recent."""
        _LOGGER.info("excluded zones followed by the agent")
        settings = self._settings
        store = Store(settings.store_address, settings.operator_feed)
        rows = ExcludedZoneRows()

        def replace(row_set: RowSet) -> None:
            rows.replace(row_set)
            self._node.set_zones_out(rows.zones_out)

        def apply(row_set: RowSet) -> None:
            rows.apply(row_set)
            self._node.set_zones_out(rows.zones_out)

        follower = TableFollower(
            store,
            OPERATOR_TABLE,
            replace,
            apply,
            settings.operator_feed,
            self._rng,
        )
        with contextlib.closing(store):
            async with running_tasks(follower.run()):
                await self._is_recent.wait()
        _LOGGER.info("excluded zones followed by the entries")
