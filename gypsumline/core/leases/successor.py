"""Announcements of other executors at an agent's executor address."""

from __future__ import annotations

import math

from gypsumline.core.leases.effects import Announcement, HoldRequest

# Delay of the next request after one without an answer.
RETRY_SECONDS = 0.05
# Delay while no process listens at the address.
REFUSED_RETRY_SECONDS = 0.25


class SuccessorProbe:
    """Asks whether an announced executor has replaced the present one.

    Anyone can send an announcement under any name. One address serves one
    executor at a time, and a call that names another one is rejected, so an
    answer to a call in the announced name proves that the earlier executor and
    its runs are gone.
    """

    def __init__(self) -> None:
        # The newest announcement of another executor that is not decided yet.
        self._announcement: Announcement | None = None
        self._announced_at = -math.inf
        self._due_at = math.inf
        self._open: dict[int, Announcement] = {}

    def propose(self, announcement: Announcement, now: float) -> None:
        """Asks for an executor, instead of one that was announced before."""
        self._announcement = announcement
        self._announced_at = now
        self._due_at = now

    def clear(self) -> None:
        """Forgets the announced executor and the requests to it."""
        self._drop()
        self._open.clear()

    def withdraw(self, executor: str) -> None:
        """Forgets an announced executor that has left or is not there."""
        if self._is_announced(executor):
            self._drop()

    def on_present_answered(self, sent_at: float) -> Announcement | None:
        """Records that the present executor answered a request.

        Args:
          sent_at: Time of the request.

        Returns:
          The announcement that is ruled out by that, if there is one.
        """
        announced = self._announcement
        if announced is None or sent_at <= self._announced_at:
            return None
        self._drop()
        return announced

    def due_in(self, now: float) -> float:
        """Returns the seconds until the next request; may be infinite."""
        return max(0.0, self._due_at - now)

    def open(self, number: int, token: int, now: float) -> HoldRequest:
        """Returns the request to the announced executor, which is due.

        It renews no lease and acknowledges no end.
        """
        assert self._announcement is not None
        self._open[number] = self._announcement
        self._due_at = math.inf
        return HoldRequest(
            number=number,
            sent_at=now,
            executor=self._announcement.executor,
            token=token,
            acknowledged_end=0,
            lease_until=None,
            wait=0.0,
        )

    def close(self, number: int) -> Announcement | None:
        """Returns the announcement that a request asked for, or None."""
        return self._open.pop(number, None)

    def on_unanswered(
        self, announcement: Announcement, is_refused: bool, now: float
    ) -> None:
        """Asks again later."""
        if self._is_announced(announcement.executor):
            pause = REFUSED_RETRY_SECONDS if is_refused else RETRY_SECONDS
            self._due_at = now + pause

    def _is_announced(self, executor: str) -> bool:
        current = self._announcement
        return current is not None and current.executor == executor

    def _drop(self) -> None:
        self._announcement = None
        self._due_at = math.inf
