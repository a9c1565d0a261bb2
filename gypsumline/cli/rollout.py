"""Checks whether a configuration is in force on every entry and agent."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator, Sequence

from gypsumline.cli.answers import (
    StatusAnswer,
    UnexpectedAnswerError,
    parse_answer,
)
from gypsumline.cli.client import (
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
    """Waits until a version is in force on all entries and agents.

    Args:
      urls: Base URLs of the entries to poll; one that does not respond counts
        as missing.
      version: The configuration version.
      limit: Timeout in seconds.

    Returns:
      Names of the entries and agents on which the version is not known to be
      in force; empty if it is in force on all.
    """
    rollout = Rollout(version)
    deadline = time.monotonic() + limit
    async with open_client(urls) as client:
        with show_progress(f"version {version}") as update:
            while True:
                statuses = await _fetch_statuses(client)
                total, missing = rollout.observe(statuses)
                update(total - len(missing), total, f"version {version}")
                if not missing or time.monotonic() >= deadline:
                    return missing
                await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def warnings_for_unknown_names(
    urls: Sequence[str], configuration: Configuration
) -> list[str]:
    """Returns a warning for each name under `out` that no agent has.

    Such a name is probably mistyped and excludes nothing. No warnings are
    returned if no entry responds.
    """
    async with open_client(urls) as client:
        statuses = await _fetch_statuses(client)
    found = [status for status in statuses.values() if status is not None]
    if not found:
        return []
    agents = [agent for status in found for agent in status.agents]
    zones = {agent.availability_zone for agent in agents}
    upstreams = {agent.upstream_id for agent in agents}
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
    """Finds the members that lack a configuration version.

    Members report the revision of the control record that they hold. The
    lowest revision at which an entry has reported the version contains the
    version, and so does every later revision.
    """

    def __init__(self, version: int) -> None:
        self._version = version
        self._revision: int | None = None

    def observe(
        self, statuses: dict[str, StatusAnswer | None]
    ) -> tuple[int, list[str]]:
        """Returns the number of members and the names of those that lack it.

        Args:
          statuses: Status by the URL of the entry; None if it did not respond.
        """
        for status in statuses.values():
            if status is not None and self._has_version(status):
                known = self._revision or status.revision
                self._revision = min(status.revision, known)
        members: dict[str, bool] = {}
        for url, status in statuses.items():
            members[f"entry {url}"] = status is not None and self._has_version(
                status
            )
            if status is not None:
                for name, revision in _active_members(status):
                    is_in_force = self._is_caught_up(revision)
                    members[name] = members.get(name, False) or is_in_force
        return len(members), [n for n, has in members.items() if not has]

    def _has_version(self, status: StatusAnswer) -> bool:
        return status.configuration_version >= self._version

    def _is_caught_up(self, revision: int) -> bool:
        return self._revision is not None and revision >= self._revision


def _active_members(status: StatusAnswer) -> Iterator[tuple[str, int]]:
    # Members that are not alive or are silent are skipped: they start no tasks
    # until they have caught up.
    for entry in status.entries:
        if entry.alive:
            yield f"entry {entry.member_id}", entry.revision
    for agent in status.agents:
        if agent.state != "silent":
            yield f"agent {agent.agent_id}", agent.revision


async def _fetch_statuses(
    client: EntryClient,
) -> dict[str, StatusAnswer | None]:
    found = await asyncio.gather(
        *(_fetch_status(client, u) for u in client.urls)
    )
    return dict(zip(client.urls, found, strict=True))


async def _fetch_status(client: EntryClient, url: str) -> StatusAnswer | None:
    try:
        response = await client.get_from(url, STATUS_PATH)
        return parse_answer(StatusAnswer, response)
    except (NotReachableError, ProblemError, UnexpectedAnswerError):
        return None
