"""What an agent that stops as planned still waits for."""

from __future__ import annotations

import math
from collections.abc import Iterable

from gypsumline.core.messages import TaskResults


class LeaveProgress:
    """Tells when no entry can send work or lack results any more.

    Starts that an entry sent before it learned of the leave still arrive and
    are refused, so the agent stays until each connected entry has replied to a
    heartbeat that told it. Results for an entry that is not connected are kept
    until it connects again or is a member no longer.
    """

    def __init__(self) -> None:
        self._has_begun = False
        self._told: dict[str, int] = {}
        self._replied: dict[str, int] = {}
        self._results: dict[str, list[TaskResults]] = {}

    def begin(self) -> None:
        """Begins the leave."""
        self._has_begun = True

    def on_heartbeat(self, to: str, sequence: int) -> None:
        """Notes a heartbeat to an entry."""
        if self._has_begun:
            self._told.setdefault(to, sequence)

    def on_reply(self, member_id: str, sequence: int) -> None:
        """Notes an entry's reply."""
        if self._has_begun:
            newest = max(sequence, self._replied.get(member_id, 0))
            self._replied[member_id] = newest

    def keep_results(self, to: str, message: TaskResults) -> None:
        """Keeps results that could not be sent.

        Before the leave the owner asks for them again after its reconnect.
        """
        if self._has_begun:
            self._results.setdefault(to, []).append(message)

    def on_connected(self, member_id: str) -> list[TaskResults]:
        """Returns the results that were kept for an entry.

        It may be a new incarnation, which has to be told of the leave.
        """
        self._told.pop(member_id, None)
        self._replied.pop(member_id, None)
        return self._results.pop(member_id, [])

    def is_complete(
        self, connected: Iterable[str], listed: Iterable[str]
    ) -> bool:
        """Whether the agent may end.

        Args:
          connected: Ids of the entries that are connected.
          listed: Ids of the entries in the control record.
        """
        if any(member_id in self._results for member_id in listed):
            return False
        return all(self._knows(member_id) for member_id in connected)

    def _knows(self, member_id: str) -> bool:
        told = self._told.get(member_id, math.inf)
        return self._replied.get(member_id, -1) >= told
