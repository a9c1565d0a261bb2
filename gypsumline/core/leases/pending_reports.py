"""Ends of runs that an agent has not yet reported to their owners."""

from __future__ import annotations

from collections.abc import Callable

from gypsumline.core.effects import Effect, Send
from gypsumline.core.identity import Member
from gypsumline.core.leases.contacts import OwnerContacts
from gypsumline.core.leases.messages import (
    ExecutorCrash,
    ExecutorLoad,
    RunEnd,
    RunReport,
    RunReports,
)

LoadFunction = Callable[[Member, float], ExecutorLoad]


class PendingReports:
    """Batches the ends of one event into one message per owner."""

    def __init__(self, contacts: OwnerContacts, load_for: LoadFunction) -> None:
        self._contacts = contacts
        self._load_for = load_for
        self._reports: dict[Member, list[RunReport]] = {}

    def add(
        self,
        owner: Member,
        name: tuple[str, int],
        end: RunEnd,
        run_time: float = 0.0,
    ) -> None:
        """Adds the end of a run."""
        task, attempt = name
        report = RunReport(
            task=task, attempt=attempt, end=end, run_time=run_time
        )
        self._reports.setdefault(owner, []).append(report)

    def drop(self, owner: Member) -> None:
        """Drops the reports of an owner, which its claims make redundant."""
        self._reports.pop(owner, None)

    def flush(self, offered_to: list[Member], now: float) -> list[Effect]:
        """Returns the messages, including a load for each owner with an offer.

        Reports to an owner without a stream are dropped: its next claims
        reconcile its runs.
        """
        by_owner = {
            owner: tuple(reports)
            for owner, reports in self._reports.items()
            if self._contacts.is_connected(owner)
        }
        self._reports.clear()
        for owner in offered_to:
            by_owner.setdefault(owner, ())
        return [
            self._message(owner, reports, now)
            for owner, reports in by_owner.items()
        ]

    def broadcast(
        self, now: float, crashes: tuple[ExecutorCrash, ...] = ()
    ) -> list[Effect]:
        """Returns a message with the load for every connected owner.

        Args:
          now: Current time.
          crashes: Crashes that no owner knows yet.
        """
        messages: list[Effect] = [
            self._message(
                owner, tuple(self._reports.get(owner, ())), now, crashes
            )
            for owner in self._contacts.connected
        ]
        self._reports.clear()
        return messages

    def crashes_message(
        self, owner: Member, crashes: tuple[ExecutorCrash, ...], now: float
    ) -> Send:
        """Returns a message that tells one owner of earlier crashes."""
        return self._message(owner, (), now, crashes)

    def _message(
        self,
        owner: Member,
        reports: tuple[RunReport, ...],
        now: float,
        crashes: tuple[ExecutorCrash, ...] = (),
    ) -> Send:
        load = self._load_for(owner, now)
        message = RunReports(reports=reports, load=load, crashes=crashes)
        return Send(to=owner.member_id, message=message)
