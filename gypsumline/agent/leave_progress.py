"""Conditions under which an agent can end a planned stop."""

from __future__ import annotations

import math
from collections.abc import Iterable

from gypsumline.core.messages import TaskResults


class LeaveProgress:
    """Tracks whether entries may still send starts or need results.

    An entry can send starts until it knows that the agent leaves. The agent has
    to refuse these, so it stays until each connected entry has replied to a
    heartbeat that reports the leave. Results for a disconnected entry are kept
    until it reconnects or is removed from the control record.
    """

    def __init__(self) -> None:
        self._has_begun = False
        self._leave_sequences: dict[str, int] = {}
        self._acknowledged: dict[str, int] = {}
        self._unsent_results: dict[str, list[TaskResults]] = {}

    def begin(self) -> None:
        """Starts tracking, at the start of a planned stop."""
        self._has_begun = True

    def on_heartbeat_sent(self, to: str, sequence: int) -> None:
        """Records a heartbeat that was sent to an entry."""
        if self._has_begun:
            self._leave_sequences.setdefault(to, sequence)

    def on_reply(self, member_id: str, sequence: int) -> None:
        """Records an entry's reply to a heartbeat."""
        if self._has_begun:
            newest = max(sequence, self._acknowledged.get(member_id, 0))
            self._acknowledged[member_id] = newest

    def add_unsent_results(self, to: str, message: TaskResults) -> None:
        """Keeps results that could not be sent.

        Before a planned stop this is not needed, because the owner requests
        the results again after it has reconnected.
        """
        if self._has_begun:
            self._unsent_results.setdefault(to, []).append(message)

    def on_connected(self, member_id: str) -> list[TaskResults]:
        """Returns and removes the results that were kept for an entry.

        The acknowledgement of the leave is reset, because the entry may be a
        new incarnation that does not know of it.
        """
        self._leave_sequences.pop(member_id, None)
        self._acknowledged.pop(member_id, None)
        return self._unsent_results.pop(member_id, [])

    def is_complete(
        self, connected: Iterable[str], listed: Iterable[str]
    ) -> bool:
        """Returns whether the agent may exit.

        Args:
          connected: Member ids of the connected entries.
          listed: Member ids of the entries in the control record.
        """
        if any(member_id in self._unsent_results for member_id in listed):
            return False
        return all(self._has_acknowledged(member_id) for member_id in connected)

    def _has_acknowledged(self, member_id: str) -> bool:
        leave_sequence = self._leave_sequences.get(member_id, math.inf)
        return self._acknowledged.get(member_id, -1) >= leave_sequence
