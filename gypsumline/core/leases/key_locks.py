"""An owner's locks on the submission keys of its jobs.

A caller that has left may be unknown as such to its entry for any time: its
submission, or the end of its connection, is late, lost or not read yet. So an
owner starts and keeps runs of a job only while a quorum of the key's keepers
has granted it the lock. The keepers follow from a list that all owners share
(`keepers.py`), whichever agents an owner reaches.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Iterable

from gypsumline.core.effects import Decision, Effect, Send
from gypsumline.core.identity import Member
from gypsumline.core.leases.fleet import AgentView, Fleet
from gypsumline.core.leases.keeper_views import KeeperView, KeeperViews
from gypsumline.core.leases.keepers import (
    KeeperList,
    choose_keepers,
    quorum,
    sort_by_rank,
)
from gypsumline.core.leases.lock_messages import (
    LockAnswers,
    LockKeys,
    LockState,
    UnlockKeys,
)
from gypsumline.core.leases.settings import LeaseSettings

# Time between two searches for locks that have lapsed. All locks count as
# lapsed by as much earlier.
LAPSE_CHECK_SECONDS = 0.025
# Requests to one agent whose answers may still be on their way.
_UNANSWERED_MAX = 16


@dataclasses.dataclass(frozen=True, slots=True)
class _Claim:
    """The quorums that a lock needs under one version of the list.

    Attributes:
      view: The list.
      keepers: The key's keepers.
      previous: The key's keepers under the version before, if they differ.
    """

    view: KeeperView
    keepers: tuple[str, ...]
    previous: tuple[str, ...]

    @classmethod
    def make(cls, key: str, view: KeeperView, now: float) -> _Claim:
        """Returns the claim on a key under a list."""
        keepers = choose_keepers(key, view.keepers.members)
        previous: tuple[str, ...] = ()
        if not view.is_settled(now):
            previous = choose_keepers(key, view.keepers.previous)
        return cls(view, keepers, () if previous == keepers else previous)

    def granted_at(self, granted: dict[str, float], now: float) -> float:
        """Returns the time from which the lock counts; -infinity if not at all.

        Args:
          granted: Time of the newest request that each agent has granted.
          now: Current time.
        """
        if not self.view.is_usable(now):
            return -math.inf
        newest = _quorum_time(self.keepers, granted)
        if self.previous and not self.view.is_settled(now):
            newest = min(newest, _quorum_time(self.previous, granted))
        return newest


@dataclasses.dataclass(slots=True, eq=False)
class _KeyLock:
    """The lock on one key.

    Attributes:
      key: Submission key.
      claims: Claims under the newest lists, the newest first. Any of them is
        enough; an earlier one is dropped once a newer one is.
      keepers: Agents that are asked, the highest rank first.
      requests: Times of the requests without an answer by their numbers, for
        each agent that may have granted the lock.
      granted: Time of the newest request that each agent has granted.
      asked_at: Time of the latest request that was repeated or is the first.
      is_held: Whether the lock was held at the latest check.
      holder: Member id of another owner that has the lock; "" if none is known.
    """

    key: str
    claims: list[_Claim] = dataclasses.field(default_factory=list)
    keepers: tuple[str, ...] = ()
    requests: dict[str, dict[int, float]] = dataclasses.field(
        default_factory=dict
    )
    granted: dict[str, float] = dataclasses.field(default_factory=dict)
    asked_at: float = -math.inf
    is_held: bool = False
    holder: str = ""

    def add_claim(self, view: KeeperView, now: float) -> None:
        """Adds the claim under a newer list."""
        self.claims.insert(0, _Claim.make(self.key, view, now))
        self._choose()

    def add_request(self, agent: str, number: int, now: float) -> None:
        """Records a request to an agent."""
        unanswered = self.requests.setdefault(agent, {})
        unanswered[number] = now
        if len(unanswered) > _UNANSWERED_MAX:
            del unanswered[min(unanswered)]

    def take_request(self, agent: str, number: int) -> float | None:
        """Returns the time of an answered request, or None if it is unknown.

        Forgets it and the earlier ones: messages keep their order.
        """
        unanswered = self.requests.get(agent, {})
        asked_at = unanswered.get(number)
        for earlier in [each for each in unanswered if each <= number]:
            del unanswered[earlier]
        return asked_at

    def granted_at(self, now: float) -> float:
        """Returns the time from which the lock counts; -infinity if not at all.

        Drops the claims under earlier lists if those under the newest suffice.
        """
        times = [claim.granted_at(self.granted, now) for claim in self.claims]
        if len(times) > 1 and times[0] >= max(times):
            del self.claims[1:]
            self._choose()
        return max(times, default=-math.inf)

    def _choose(self) -> None:
        chosen = [m for c in self.claims for m in (*c.keepers, *c.previous)]
        self.keepers = sort_by_rank(self.key, chosen)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LockNews:
    """What the answer of an agent has changed.

    Attributes:
      effects: Messages and log lines.
      granted: Keys whose jobs may start runs now.
      held: Keys that another owner has.
    """

    effects: list[Effect]
    granted: list[str]
    held: list[str]


class KeyLocks:
    """Requests, renews and returns the locks of one owner.

    Args:
      settings: Times of the locks.
      fleet: Agents that the owner reaches.
      has_runs: Returns whether any run of a key's job may be active.
      started_at: Start of the owner; infinity if it is not known.
    """

    def __init__(
        self,
        settings: LeaseSettings,
        fleet: Fleet,
        has_runs: Callable[[str], bool],
        started_at: float,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._has_runs = has_runs
        self._views = KeeperViews(settings, fleet)
        self._locks: dict[str, _KeyLock] = {}
        # Keys to be returned with the next answer to a ping, by member id.
        self._returned: dict[str, list[str]] = {}
        self._number = 0
        self._lapses_checked_at = -math.inf
        self._started_at = started_at
        # Whether any agent has said that it keeps locks.
        self._are_kept = False
        # Time of the first check at which no locks could be had.
        self._out_of_touch_since = math.inf

    @property
    def number(self) -> int:
        """Number of the newest request."""
        return self._number

    @property
    def views(self) -> KeeperViews:
        """The lists of keepers."""
        return self._views

    def can_be_had(self, now: float) -> bool:
        """Returns whether the owner is in touch with a majority of the keepers.

        Agents of earlier releases keep no locks; if there are no others, none
        are needed.
        """
        if self._views.newest is None:
            return not self._are_kept
        return any(v.is_usable(now) for v in self._views.in_use(now))

    def is_cut_off(self, now: float) -> bool:
        """Returns whether locks cannot be had soon.

        An owner that has just started, or wakes from a pause, is in touch with
        its agents within a few pings.
        """
        if self.can_be_had(now):
            self._out_of_touch_since = math.inf
            return False
        self._out_of_touch_since = min(self._out_of_touch_since, now)
        limit = self._settings.keepers_validity / 2.0
        return now - self._out_of_touch_since > limit

    def may_start(self, key: str, now: float) -> bool:
        """Returns whether runs of a job may be started."""
        lock = self._locks.get(key)
        if lock is None:
            return False
        if self._views.newest is None:
            return self.can_be_had(now)
        return self._is_held(lock, now)

    def request(self, key: str, now: float) -> list[Effect]:
        """Requests the lock on a key, unless that has been done."""
        if key in self._locks:
            return []
        lock = self._locks[key] = _KeyLock(key)
        for view in self._views.in_use(now):
            lock.add_claim(view, now)
        return [*self._ask([lock], now)]

    def release(self, key: str, at_once: bool) -> list[Effect]:
        """Returns the lock on a key, of whose job no run is left.

        Args:
          key: Submission key.
          at_once: Whether to send messages, and not to wait for the next
            answers to pings.
        """
        lock = self._locks.pop(key, None)
        if lock is None:
            return []
        if at_once:
            message = self._unlock(key)
            return [Send(to=name, message=message) for name in lock.requests]
        for name in lock.requests:
            self._returned.setdefault(name, []).append(key)
        return []

    def take_returned(self, view: AgentView) -> tuple[str, ...]:
        """Removes and returns the keys that an agent need not keep any more."""
        name = view.member.member_id
        returned = self._returned.pop(name, ())
        return tuple(
            key
            for key in returned
            if key not in self._locks or name not in self._locks[key].requests
        )

    def apply_keepers(self, keepers: KeeperList, now: float) -> list[Effect]:
        """Applies a newer list; requests the locks that it needs as well."""
        view = self._views.apply(keepers, now)
        if view is None:
            return []
        for lock in self._locks.values():
            lock.add_claim(view, now)
        return [*self._ask(self._locks.values(), now), _list_line(keepers)]

    def on_ping(
        self, view: AgentView, keeps_locks: bool, now: float
    ) -> list[Effect]:
        """Lists all locks to an agent with the first ping of its stream."""
        self._views.record_version(view, now)
        self._started_at = min(self._started_at, now)
        if view.keeps_locks or not keeps_locks:
            return []
        view.keeps_locks = self._are_kept = True
        name = view.member.member_id
        locks = self._locks.values()
        asked = [lock for lock in locks if name in lock.keepers]
        return [self._send(name, asked, now, is_complete=True)]

    def on_disconnected(self, view: AgentView) -> None:
        """Forgets what was to be said to an agent; the next list says it."""
        view.keeps_locks = False
        self._returned.pop(view.member.member_id, None)

    def on_answers(
        self, agent: Member, message: LockAnswers, now: float
    ) -> LockNews:
        """Applies the answers of an agent."""
        news = LockNews(effects=[], granted=[], held=[])
        name = agent.member_id
        for key, state, holder in zip(
            message.keys, message.states, message.holders, strict=True
        ):
            lock = self._locks.get(key)
            if lock is None:
                continue
            asked_at = lock.take_request(name, message.number)
            if asked_at is None:
                continue
            if state is LockState.GRANTED:
                lock.granted[name] = asked_at
                self._on_granted(lock, name, news, now)
            elif state is LockState.HELD:
                self._on_refused(lock, name, holder, news, now)
        return news

    def take_lapsed(self, now: float) -> list[str]:
        """Returns the keys whose locks have been lost since the last call.

        The runs of their jobs must be stopped before any ping is answered.
        """
        if now - self._lapses_checked_at < LAPSE_CHECK_SECONDS:
            return []
        self._lapses_checked_at = now
        lapsed = []
        for lock in self._locks.values():
            if lock.is_held and not self._is_held(lock, now):
                lock.is_held = False
                lapsed.append(lock.key)
        return lapsed

    def check(self, now: float) -> list[Effect]:
        """Repeats and renews the requests that are due."""
        settings = self._settings
        # Notes since when no locks can be had.
        self.is_cut_off(now)
        due: list[_KeyLock] = []
        for lock in self._locks.values():
            age = now - lock.granted_at(now)
            is_old = age > settings.lock_validity / 2.0
            waited = now - lock.asked_at
            if is_old and waited >= settings.lock_retry_interval:
                due.append(lock)
        return [*self._ask(due, now)]

    def lapsed_line(self, key: str) -> Decision:
        """Returns the log line about a lock that was lost."""
        lock = self._locks[key]
        return Decision(
            event="job_lock_lapsed",
            fields={
                "job": key,
                "holder": lock.holder,
                "agents": lock.keepers,
                "granted": tuple(lock.granted),
            },
        )

    def _is_held(self, lock: _KeyLock, now: float) -> bool:
        limit = self._settings.lock_validity - LAPSE_CHECK_SECONDS
        is_held = now - lock.granted_at(now) <= limit
        # Cleared by `take_lapsed` alone, which has the runs stopped.
        lock.is_held = lock.is_held or is_held
        return is_held

    def _on_granted(
        self, lock: _KeyLock, name: str, news: LockNews, now: float
    ) -> None:
        if lock.is_held or not self._is_held(lock, now):
            return
        news.granted.append(lock.key)
        if lock.holder:
            news.effects.append(_line("job_lock_granted", lock, name))
            lock.holder = ""

    def _on_refused(
        self,
        lock: _KeyLock,
        name: str,
        holder: str,
        news: LockNews,
        now: float,
    ) -> None:
        """Returns the locks of lower ranks, unless the job may have runs.

        Of two owners that request one lock, the one with the highest rank gets
        the others, too.
        """
        lock.granted.pop(name, None)
        if lock.holder != holder:
            lock.holder = holder
            news.effects.append(_line("job_held_elsewhere", lock, name))
        if self._is_held(lock, now) or self._has_runs(lock.key):
            return
        news.held.append(lock.key)
        unlock = self._unlock(lock.key)
        below = False
        for keeper in lock.keepers:
            if below and keeper in lock.requests:
                del lock.requests[keeper]
                lock.granted.pop(keeper, None)
                news.effects.append(Send(to=keeper, message=unlock))
            below = below or keeper == name

    def _unlock(self, key: str) -> UnlockKeys:
        return UnlockKeys(keys=(key,), number=self._number)

    def _ask(self, locks: Iterable[_KeyLock], now: float) -> list[Send]:
        """Requests the locks from all agents that are to keep them."""
        asked: dict[str, list[_KeyLock]] = {}
        for lock in locks:
            lock.asked_at = now
            for name in lock.keepers:
                view = self._fleet.named(name)
                if view is not None and view.is_connected and view.keeps_locks:
                    asked.setdefault(name, []).append(lock)
        return [self._send(name, each, now) for name, each in asked.items()]

    def _send(
        self,
        name: str,
        locks: list[_KeyLock],
        now: float,
        is_complete: bool = False,
    ) -> Send:
        """Returns a request to an agent.

        A complete one claims what an earlier incarnation of it has granted.
        """
        self._number += 1
        # Runs of a lock that has lapsed may be left for `rerun_wait`.
        settings = self._settings
        oldest = now - settings.lock_validity - settings.rerun_wait
        held = []
        for lock in locks:
            lock.add_request(name, self._number, now)
            if lock.granted.get(name, -math.inf) >= oldest:
                held.append(lock.key)
        message = LockKeys(
            number=self._number,
            keys=tuple(lock.key for lock in locks),
            is_complete=is_complete,
            held=tuple(held) if is_complete else (),
            uptime=max(0.0, now - self._started_at) if is_complete else 0.0,
        )
        return Send(to=name, message=message)


def _quorum_time(keepers: tuple[str, ...], granted: dict[str, float]) -> float:
    """Returns the newest time that a quorum has granted; else -infinity."""
    times = sorted((granted[m] for m in keepers if m in granted), reverse=True)
    needed = quorum(len(keepers))
    return times[needed - 1] if len(times) >= needed else -math.inf


def _line(event: str, lock: _KeyLock, agent: str) -> Decision:
    return Decision(
        event=event,
        fields={"job": lock.key, "holder": lock.holder, "agent": agent},
    )


def _list_line(keepers: KeeperList) -> Decision:
    return Decision(
        event="keepers_in_force",
        fields={
            "version": keepers.version,
            "members": len(keepers.members),
            "previous": len(keepers.previous),
            "is_reset": keepers.is_reset,
        },
    )
