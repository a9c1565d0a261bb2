"""An operator who changes the configuration text over HTTP."""

from __future__ import annotations

import asyncio
import dataclasses
import uuid
from collections.abc import Sequence

import aiohttp

from gypsumline.testing.start_log import boot_time

_REQUEST_TIMEOUT_SECONDS = 10.0
_RETRY_SECONDS = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Acceptance:
    """An accepted change: its version and when the operator was told."""

    version: int
    at: float


class Operator:
    """Applies texts through any entry until one is accepted.

    Attributes:
      refused: Changes that were refused or whose outcome was unknown.
    """

    def __init__(
        self, session: aiohttp.ClientSession, entries: Sequence[str]
    ) -> None:
        self.refused = 0
        self._session = session
        self._entries = list(entries)

    async def apply(
        self,
        text: str,
        note: str,
        limit: float,
        entries: Sequence[str] | None = None,
    ) -> Acceptance | None:
        """Returns the acceptance, or None if there is none within the limit.

        The entries are asked in turn; without a list of them, all are. A
        change whose outcome is unknown is tried again from the version that is
        then in force, so the text may be accepted twice.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + limit
        attempt = 0
        while loop.time() < ends_at:
            asked = entries or self._entries
            entry = asked[attempt % len(asked)]
            attempt += 1
            accepted = await self._apply_at(entry, text, note)
            if accepted is not None:
                return accepted
            self.refused += 1
            await asyncio.sleep(_RETRY_SECONDS)
        return None

    async def _apply_at(
        self, entry: str, text: str, note: str
    ) -> Acceptance | None:
        url = f"{entry}/v1/configuration"
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_SECONDS)
        try:
            async with self._session.get(
                f"{entry}/v1/status", timeout=timeout
            ) as response:
                if response.status != 200:
                    return None
                base = (await response.json())["configuration_version"]
            body = {
                "base_version": base,
                "text": text,
                "author": "fault run",
                "note": note,
                "write_token": str(uuid.uuid4()),
            }
            async with self._session.put(
                url, json=body, timeout=timeout
            ) as response:
                if response.status != 200:
                    return None
                version = (await response.json())["version"]
                return Acceptance(version, boot_time())
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError):
            return None
