"""Whether a configuration is in force on every entry and agent."""

from __future__ import annotations

import asyncio
import time
import typing
from collections.abc import Iterator, Sequence

from gypsumline.cli.client import (
    Body,
    EntryClient,
    NotReachableError,
    ProblemError,
    open_client,
)
from gypsumline.cli.progress import show_progress
from gypsumline.core.configuration import Configuration

STATUS_PATH = "/v1/status"
POLL_INTERVAL_SECONDS = 0.25


async def wait_until_in_force(
    urls: Sequence[str], version: int, limit: float
) -> list[str]:
    """Waits until all entries and agents have a version.

    Args:
      urls: Base URLs of the entries to ask; each must answer.
      version: The configuration version.
      limit: Longest time in seconds.

    Returns:
      What does not have the version yet; empty if all have it.
    """
    rollout = Rollout(version)
    end = time.monotonic() + limit
    async with open_client(urls) as client:
        with show_progress(f"version {version}") as update:
            while True:
                statuses = await _statuses(client)
                total, missing = rollout.observe(statuses)
                update(total - len(missing), total, f"version {version}")
                if not missing or time.monotonic() >= end:
                    return missing
                await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def warnings_about(
    urls: Sequence[str], configuration: Configuration
) -> list[str]:
    """Returns names under `out` that no agent has; a typo has no effect.

    Nothing is returned if no entry answers.
    """
    async with open_client(urls) as client:
        statuses = await _statuses(client)
    found = [status for status in statuses.values() if status is not None]
    if not found:
        return []
    agents = [agent for status in found for agent in _items(status, "agents")]
    zones = {str(agent.get("availability_zone")) for agent in agents}
    upstreams = {str(agent.get("upstream_id")) for agent in agents}
    return [
        f"out names the availability zone {name}, in which no agent is known"
        for name in configuration.availability_zones_out
        if name not in zones
    ] + [
        f"out names the upstream {name}, which no agent has announced"
        for name in configuration.upstreams_out
        if name not in upstreams
    ]


class Rollout:
    """Tells from the status of the entries what lacks a version.

    Members report the revision of the control record that they hold. The
    lowest revision at which an entry has shown the version contains it, and
    so does every later one.
    """

    def __init__(self, version: int) -> None:
        self._version = version
        self._revision: int | None = None

    def observe(
        self, statuses: dict[str, Body | None]
    ) -> tuple[int, list[str]]:
        """Returns how many members there are and which lack the version.

        Args:
          statuses: Status by the URL of the entry; None if it did not answer.
        """
        for status in statuses.values():
            if status is not None and self._has_version(status):
                revision = int(status.get("revision", 0))
                known = self._revision
                self._revision = min(revision, known or revision)
        members: dict[str, bool] = {}
        for url, status in statuses.items():
            members[f"entry {url}"] = status is not None and self._has_version(
                status
            )
            if status is not None:
                for name, revision in _members(status):
                    is_in_force = self._holds(revision)
                    members[name] = members.get(name, False) or is_in_force
        return len(members), [n for n, has in members.items() if not has]

    def _has_version(self, status: Body) -> bool:
        return int(status.get("configuration_version", -1)) >= self._version

    def _holds(self, revision: int) -> bool:
        return self._revision is not None and revision >= self._revision


def _members(status: Body) -> Iterator[tuple[str, int]]:
    # A member that is gone or silent starts nothing until it has caught up.
    for entry in _items(status, "entries"):
        if entry.get("alive"):
            name = f"entry {entry.get('member_id')}"
            yield name, int(entry.get("revision", 0))
    for agent in _items(status, "agents"):
        if agent.get("state") != "silent":
            name = f"agent {agent.get('agent_id')}"
            yield name, int(agent.get("revision", 0))


def _items(status: Body, name: str) -> list[dict[str, typing.Any]]:
    items = status.get(name)
    if not isinstance(items, list):
        return []
    return [item for item in items if isinstance(item, dict)]


async def _statuses(client: EntryClient) -> dict[str, Body | None]:
    return {url: await _status(client, url) for url in client.urls}


async def _status(client: EntryClient, url: str) -> Body | None:
    try:
        return (await client.get_from(url, STATUS_PATH)).body
    except (NotReachableError, ProblemError):
        return None
