"""Whether a configuration is in force on every entry and agent."""

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
    """Tells from the status of the entries what lacks a version.

    Members report the revision of the control record that they hold. The
    lowest revision at which an entry has shown the version contains it, and
    so does every later one.
    """

    def __init__(self, version: int) -> None:
        self._version = version
        self._revision: int | None = None

    def observe(
        self, statuses: dict[str, StatusAnswer | None]
    ) -> tuple[int, list[str]]:
        """Returns how many members there are and which lack the version.

        Args:
          statuses: Status by the URL of the entry; None if it did not answer.
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
                for name, revision in _members(status):
                    is_in_force = self._holds(revision)
                    members[name] = members.get(name, False) or is_in_force
        return len(members), [n for n, has in members.items() if not has]

    def _has_version(self, status: StatusAnswer) -> bool:
        return status.configuration_version >= self._version

    def _holds(self, revision: int) -> bool:
        return self._revision is not None and revision >= self._revision


def _members(status: StatusAnswer) -> Iterator[tuple[str, int]]:
    # A member that is gone or silent starts nothing until it has caught up.
    for entry in status.entries:
        if entry.alive:
            yield f"entry {entry.member_id}", entry.revision
    for agent in status.agents:
        if agent.state != "silent":
            yield f"agent {agent.agent_id}", agent.revision


async def _statuses(client: EntryClient) -> dict[str, StatusAnswer | None]:
    found = await asyncio.gather(*(_status(client, u) for u in client.urls))
    return dict(zip(client.urls, found, strict=True))


async def _status(client: EntryClient, url: str) -> StatusAnswer | None:
    try:
        response = await client.get_from(url, STATUS_PATH)
        return parse_answer(StatusAnswer, response)
    except (NotReachableError, ProblemError, UnexpectedAnswerError):
        return None
