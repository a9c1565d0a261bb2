"""HTTP client that applies configuration changes like an operator."""

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
    """An accepted configuration change.

    Attributes:
      version: Configuration version of the change.
      at: When the operator received the acceptance, in CLOCK_BOOTTIME
        seconds.
    """

    version: int
    at: float


class Operator:
    """Applies configuration texts, retrying until an entry accepts them.

    Attributes:
      refused: Number of attempts that were refused or whose outcome is
        unknown.
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
        """Applies a configuration text, trying the entries in turn.

        A change whose outcome is unknown is retried on top of the version in
        force at that time, so the text may be accepted twice.

        Args:
          text: Configuration text.
          note: Note that is stored with the change.
          limit: Time limit in seconds.
          entries: Base URLs of the entries to try; all entries if absent.

        Returns:
          The acceptance, or None if no entry accepted the text in time.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + limit
        attempt = 0
        while loop.time() < ends_at:
            candidates = entries or self._entries
            entry = candidates[attempt % len(candidates)]
            attempt += 1
            accepted = await self._apply_through(entry, text, note)
            if accepted is not None:
                return accepted
            self.refused += 1
            await asyncio.sleep(_RETRY_SECONDS)
        return None

    async def _apply_through(
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
