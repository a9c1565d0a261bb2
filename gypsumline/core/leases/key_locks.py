"""An owner's locks on the submission keys of its jobs.

A caller that has left may be unknown as such to its entry for any time: its
submission, or the end of its connection, is late, lost or not read yet. So an
owner starts runs of a job only while it has the locks on its key. Two agents
keep one each: those that rank highest for the key by rendezvous hashing, among
the agents that the owner reaches. Two owners, each of which misses one agent,
still have an agent in common.
"""

from __future__ import annotations

import dataclasses
import heapq
import math
from collections.abc import Iterable

import xxhash

from gypsumline.core.effects import Decision, Effect, Send
from gypsumline.core.identity import Member
from gypsumline.core.leases.fleet import AgentView, Fleet
from gypsumline.core.leases.lock_messages import (
    LockAnswers,
    LockKeys,
    LockState,
    UnlockKeys,
)
from gypsumline.core.leases.settings import LeaseSettings

# Agents that keep the locks on one key.
LOCK_KEEPERS = 2


@dataclasses.dataclass(slots=True, eq=False)
class _KeyLock:
    """The locks on one key.

    Attributes:
      key: Submission key.
      keepers: Agents that keep a lock, the highest rank first; none if no
        agent is known that keeps locks.
      is_short: Whether the owner knows more agents, but reaches too few.
      granted: Time of the request that each of them has granted.
      numbers: Number of the latest request to each agent, by member id.
      asked_at: Time of the latest request.
      holder: Member id of another owner that has a lock; "" if none is known.
    """

    key: str
    keepers: list[AgentView] = dataclasses.field(default_factory=list)
    is_short: bool = False
    granted: dict[AgentView, float] = dataclasses.field(default_factory=dict)
    numbers: dict[str, int] = dataclasses.field(default_factory=dict)
    asked_at: float = -math.inf
    holder: str = ""

    @property
    def members(self) -> list[Member]:
        """Agents that keep a lock, as members."""
        return [view.member for view in self.keepers]

    @property
    def is_complete(self) -> bool:
        """Whether all agents that are to keep a lock have granted it."""
        return not self.is_short and len(self.granted) == len(self.keepers)

    def retain(self, keepers: list[AgentView]) -> None:
        """Forgets what agents other than these have granted."""
        self.granted = {v: at for v, at in self.granted.items() if v in keepers}

    @property
    def missing(self) -> list[AgentView]:
        """Agents that have not granted their lock."""
        return [view for view in self.keepers if view not in self.granted]


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
    """Requests and returns the locks of one owner.

    An agent that does not answer in time is passed over for a while. An owner
    that misses the lock of one agent returns those of lower ranks, so that two
    owners never wait for each other.
    """

    def __init__(self, settings: LeaseSettings, fleet: Fleet) -> None:
        self._settings = settings
        self._fleet = fleet
        self._locks: dict[str, _KeyLock] = {}
        # Those that are not complete.
        self._pending: dict[str, _KeyLock] = {}
        # Time until which an agent is passed over, by member id.
        self._passed_over: dict[str, float] = {}
        # Keys to be returned with the next answer to a ping, by member id.
        self._returned: dict[str, list[str]] = {}
        self._checked_at = -math.inf
        self._number = 0

    def may_start(self, key: str, now: float) -> bool:
        """Returns whether runs of a job may be started.

        A lock is doubtful after a time without contact to the agent that keeps
        it, which may have granted it to another owner.
        """
        lock = self._locks.get(key)
        if lock is None or not lock.is_complete:
            return False
        return not any(
            [self._drop_doubtful(lock, view, now) for view in lock.keepers]
        )

    def request(self, key: str, now: float) -> list[Effect]:
        """Requests the locks on a key, unless the owner has them."""
        if key in self._locks:
            return []
        lock = self._locks[key] = _KeyLock(key)
        return [*self._ask([lock], now)]

    def release(self, key: str, at_once: bool) -> list[Effect]:
        """Returns the locks on a key, of whose job no run is left.

        Args:
          key: Submission key.
          at_once: Whether to send messages, and not to wait for the next
            answers to pings.
        """
        lock = self._locks.pop(key, None)
        self._pending.pop(key, None)
        if lock is None:
            return []
        if at_once:
            message = UnlockKeys(keys=(key,))
            names = [view.member.member_id for view in lock.keepers]
            return [Send(to=name, message=message) for name in names]
        for view in lock.keepers:
            self._return_later(key, view)
        return []

    def take_returned(self, view: AgentView) -> tuple[str, ...]:
        """Removes and returns the keys that an agent need not keep any more."""
        returned = self._returned.pop(view.member.member_id, ())
        return tuple(key for key in returned if not self._is_kept_by(key, view))

    def on_ping(
        self, view: AgentView, keeps_locks: bool, now: float
    ) -> list[Effect]:
        """Moves locks to an agent that is new here and ranks high enough."""
        if view.keeps_locks or not keeps_locks:
            return []
        view.keeps_locks = True
        for lock in self._locks.values():
            if view in lock.keepers:
                continue
            keepers = _highest(lock.key, [*lock.keepers, view])
            if view not in keepers:
                continue
            for other in lock.keepers:
                if other not in keepers:
                    self._return_later(lock.key, other)
            # The locks that the job has had so far still protect it.
            was_complete = lock.is_complete
            lock.retain(keepers)
            if was_complete:
                lock.granted[view] = now
            lock.keepers, lock.asked_at = keepers, now
            lock.is_short = len(keepers) < self._required_keepers()
        return [self._complete_request(view)]

    def before_ping_answer(self, view: AgentView, now: float) -> None:
        """Drops the locks at an agent after a long time without contact."""
        if now - view.ping_answered_at > self._settings.lock_validity:
            for lock in self._locks.values():
                self._drop_doubtful(lock, view, now)

    def on_disconnected(self, view: AgentView, now: float) -> list[Effect]:
        """Requests the locks that an agent kept from the next ones."""
        view.keeps_locks = False
        self._returned.pop(view.member.member_id, None)
        moved = [lock for lock in self._locks.values() if view in lock.keepers]
        added: dict[str, AgentView] = {}
        for lock in moved:
            earlier = lock.keepers
            self._set_keepers(lock, now)
            for other in lock.keepers:
                if other not in earlier:
                    added[other.member.member_id] = other
        return [self._complete_request(each) for each in added.values()]

    def on_answers(
        self, agent: Member, message: LockAnswers, now: float
    ) -> LockNews:
        """Applies the answers of an agent."""
        news = LockNews(effects=[], granted=[], held=[])
        self._passed_over.pop(agent.member_id, None)
        unwanted: list[str] = []
        unsure: list[_KeyLock] = []
        for key, state, holder in zip(
            message.keys, message.states, message.holders, strict=True
        ):
            lock = self._locks.get(key)
            view = None if lock is None else _keeper(lock, agent, message)
            if lock is None or view is None:
                is_kept = lock is not None and agent in lock.members
                if state is LockState.GRANTED and not is_kept:
                    unwanted.append(key)
            elif state is LockState.GRANTED:
                self._on_granted(lock, view, news)
            elif state is LockState.HELD:
                self._on_held(lock, view, holder, news)
            else:
                unsure.append(lock)
        if unwanted:
            unlock = UnlockKeys(keys=tuple(unwanted))
            news.effects.append(Send(to=agent.member_id, message=unlock))
        if unsure:
            until = now + self._settings.lock_warmup
            self._passed_over[agent.member_id] = until
            news.effects.extend(self._ask_others(unsure, now))
        return news

    def check(self, now: float) -> list[Effect]:
        """Repeats the requests that are due."""
        settings = self._settings
        # After a pause of this process the answers may be unread.
        was_paused = now - self._checked_at > settings.lock_answer_limit
        self._checked_at = now
        if was_paused:
            for lock in self._pending.values():
                if lock.asked_at > -math.inf:
                    lock.asked_at = now
        due: list[_KeyLock] = []
        for lock in self._pending.values():
            if lock.holder:
                interval = settings.lock_retry_interval
            else:
                interval = settings.lock_answer_limit
            if now - lock.asked_at <= interval:
                continue
            due.append(lock)
            is_unanswered = not lock.holder and lock.asked_at > -math.inf
            for view in lock.missing if is_unanswered else ():
                self._pass_over(view.member.member_id, now)
        return [*self._ask(due, now)]

    def _on_granted(
        self, lock: _KeyLock, view: AgentView, news: LockNews
    ) -> None:
        lock.granted.setdefault(view, lock.asked_at)
        if not lock.is_complete or lock.key not in self._pending:
            return
        del self._pending[lock.key]
        news.granted.append(lock.key)
        if lock.holder:
            news.effects.append(_line("job_lock_granted", lock, view))
            lock.holder = ""

    def _on_held(
        self, lock: _KeyLock, view: AgentView, holder: str, news: LockNews
    ) -> None:
        self._pending[lock.key] = lock
        news.held.append(lock.key)
        if lock.holder != holder:
            lock.holder = holder
            news.effects.append(_line("job_held_elsewhere", lock, view))
        rank = lock.keepers.index(view)
        unlock = UnlockKeys(keys=(lock.key,))
        for lower in lock.keepers[rank:]:
            lock.granted.pop(lower, None)
            if lower is not view:
                name = lower.member.member_id
                news.effects.append(Send(to=name, message=unlock))

    def _drop_doubtful(
        self, lock: _KeyLock, view: AgentView, now: float
    ) -> bool:
        """Drops a granted lock if it is doubtful; returns whether it was.

        It is requested again at the next check.
        """
        if view not in lock.granted:
            return False
        contact_at = max(lock.granted[view], view.ping_answered_at)
        if now - contact_at <= self._settings.lock_validity:
            return False
        del lock.granted[view]
        lock.asked_at = -math.inf
        self._pending[lock.key] = lock
        return True

    def _return_later(self, key: str, view: AgentView) -> None:
        self._returned.setdefault(view.member.member_id, []).append(key)

    def _pass_over(self, name: str, now: float) -> None:
        self._passed_over[name] = now + self._settings.lock_suspension

    def _is_kept_by(self, key: str, view: AgentView) -> bool:
        lock = self._locks.get(key)
        return lock is not None and view in lock.keepers

    def _ask_others(self, locks: list[_KeyLock], now: float) -> list[Effect]:
        """Requests locks that an agent cannot grant yet from the next ones.

        Those that have no other agent wait for the next check.
        """
        return [
            send
            for send in self._ask(locks, now)
            if not self._is_passed_over(send.to, now)
        ]

    def _is_passed_over(self, name: str, now: float) -> bool:
        return self._passed_over.get(name, -math.inf) > now

    def _ask(self, locks: Iterable[_KeyLock], now: float) -> list[Send]:
        """Requests the locks that are missing."""
        keys: dict[str, list[str]] = {}
        for lock in locks:
            # Others would not know of the owner that has the lock.
            is_held = lock.holder and all(v.is_connected for v in lock.keepers)
            if not is_held:
                self._set_keepers(lock, now)
            lock.asked_at = now
            for view in lock.missing:
                keys.setdefault(view.member.member_id, []).append(lock.key)
        return [self._send(name, asked) for name, asked in keys.items()]

    def _send(
        self, name: str, keys: list[str], is_complete: bool = False
    ) -> Send:
        """Returns a request to an agent, in place of the earlier ones."""
        self._number += 1
        for key in keys:
            self._locks[key].numbers[name] = self._number
        message = LockKeys(
            number=self._number, keys=tuple(keys), is_complete=is_complete
        )
        return Send(to=name, message=message)

    def _set_keepers(self, lock: _KeyLock, now: float) -> None:
        """Chooses the agents that are to keep the locks on a key."""
        earlier, lock.keepers = lock.keepers, self._choose(lock.key, now)
        lock.is_short = len(lock.keepers) < self._required_keepers()
        lock.retain(lock.keepers)
        lock.asked_at = now
        for view in earlier:
            if view not in lock.keepers:
                self._return_later(lock.key, view)
        if lock.is_complete:
            self._pending.pop(lock.key, None)
        else:
            self._pending[lock.key] = lock

    def _complete_request(self, view: AgentView) -> Send:
        locks = self._locks.values()
        keys = [lock.key for lock in locks if view in lock.keepers]
        return self._send(view.member.member_id, keys, is_complete=True)

    def _required_keepers(self) -> int:
        """Returns the number of agents that must grant a lock.

        An owner that is cut off from most agents might have none in common
        with the others.
        """
        known = sum(view.keeps_locks for view in self._fleet)
        return min(LOCK_KEEPERS, known)

    def _choose(self, key: str, now: float) -> list[AgentView]:
        """Returns the agents that are to keep the locks on a key."""
        answering: list[AgentView] = []
        passed_over: list[AgentView] = []
        for view in self._fleet.heard_recently(now):
            if view.keeps_locks:
                is_away = self._is_passed_over(view.member.member_id, now)
                (passed_over if is_away else answering).append(view)
        chosen = _highest(key, answering)
        if len(chosen) < LOCK_KEEPERS:
            chosen += _highest(key, passed_over)
        return _highest(key, chosen[:LOCK_KEEPERS])


def _highest(key: str, views: list[AgentView]) -> list[AgentView]:
    """Returns the agents with the highest ranks for a key, in order."""

    def rank(view: AgentView) -> int:
        return xxhash.xxh3_64_intdigest(
            f"{key}/{view.member.member_id}".encode()
        )

    return heapq.nlargest(LOCK_KEEPERS, views, key=rank)


def _keeper(
    lock: _KeyLock, agent: Member, message: LockAnswers
) -> AgentView | None:
    """Returns the agent if it keeps a lock and answers the latest request."""
    if message.number < lock.numbers.get(agent.member_id, 0):
        return None
    return next((v for v in lock.keepers if v.member == agent), None)


def _line(event: str, lock: _KeyLock, view: AgentView) -> Decision:
    return Decision(
        event=event,
        fields={
            "job": lock.key,
            "holder": lock.holder,
            "agent": view.member.member_id,
        },
    )
