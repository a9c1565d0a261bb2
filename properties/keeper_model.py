"""Model of the locks on submission keys that listed agents keep for owners.

States the rule without any code of the state machines. Owners and keepers read
clocks of their own; the model alone knows the time. `Rule` turns off single
conditions, so that tests can show that each of them is needed.
"""

import dataclasses
import math
from typing import NamedTuple

# Maximum ratio of the rates of two clocks.
DRIFT = 1.02
# Time that runs go on after the last answer of their owner.
RUN_TIME = 1.162
# The same for an owner or keeper that waits for it by its own clock.
RUN_WAIT = RUN_TIME * DRIFT
VALIDITY = 1.2
EVIDENCE_LIMIT = 5.0
EXPIRY = (VALIDITY + RUN_WAIT) * DRIFT
SETTLING = (EVIDENCE_LIMIT + VALIDITY + RUN_WAIT) * DRIFT
KEEPERS = 3
ZONES = 3
PING_INTERVAL = 1.0
RETRY_INTERVAL = 0.2
# Age of a ping up to which the earlier rule takes its sender as reachable.
HEARD_LIMIT = 1.5
# Time without pings of a majority after which its list may be replaced.
LOSS_LIMIT = 15.0
NEVER = -math.inf


@dataclasses.dataclass(frozen=True)
class Rule:
    """Conditions of the rule; the defaults are the rule itself.

    Attributes:
      needs_list: Keepers come from the list, not from the agents heard.
      needs_quorum: A majority of the keepers must grant, not any one.
      needs_evidence: A majority of the list's members must be known to have
        had no newer list.
      needs_previous: Keepers under the previous list must grant in transition.
      settling: Time from the majority's knowledge of a list to the end of its
        transition.
      waits_to_change: A list is changed only after its transition.
      replaces_lost_lists: A list without `previous` may be written while a
        majority of the members is not heard. The rule does not hold then.
      expiry: Time for which keepers keep locks without a request.
      waits_after_restart: A restarted keeper grants nothing for `EXPIRY`.
      numbers_returns: A return does not cover later requests.
      withdraws_grants: Grants of requests before a return do not count.
      stops_runs: Owners stop the runs of keys that they no longer hold.
      returns_late: Locks are returned only when no runs can be left.
    """

    needs_list: bool = True
    needs_quorum: bool = True
    needs_evidence: bool = True
    needs_previous: bool = True
    settling: float = SETTLING
    waits_to_change: bool = True
    replaces_lost_lists: bool = False
    expiry: float = EXPIRY
    waits_after_restart: bool = True
    numbers_returns: bool = True
    withdraws_grants: bool = True
    stops_runs: bool = True
    returns_late: bool = True


class KeeperList(NamedTuple):
    """The row of the store."""

    version: int
    members: tuple[str, ...]
    previous: tuple[str, ...] = ()


class Request(NamedTuple):
    """Request of an owner for one lock."""

    key: str
    number: int
    sent_at: float
    is_claim: bool


class Lock(NamedTuple):
    """A granted lock; the owner is (name, life)."""

    owner: tuple[str, int]
    number: int
    expires_at: float


class Link:
    """Streams between an owner and an agent, one after the other."""

    def __init__(self):
        self.number = 0
        self.first_kept = 0  # messages of earlier streams are lost
        self.earlier_read_at = 0.0  # and those of others come from then on
        self.cut_until = {}  # sender -> time
        self.last_arrival = {}  # sender -> time


class Process:
    """An owner or keeper that can be paused, killed and restarted."""

    def __init__(self, model, name):
        self.model, self.name, self.life, self.alive = model, name, 0, False
        self.start()

    def start(self):
        rng = self.model.rng
        self.life += 1
        self.alive = True
        self.offset = rng.uniform(0, 100)
        self.rate = rng.choice((1.0, 1.01, DRIFT))
        self.paused_until = NEVER
        self.ready_at = {}  # link -> time at which its messages are read
        self.forget()
        self.model.at(rng.uniform(0, 0.2), self, self.tick)

    def pause(self, seconds):
        self.ready_at = {}
        self.paused_until = max(self.paused_until, self.model.now + seconds)

    def kill(self):
        self.alive = False

    @property
    def clock(self):
        return self.offset + self.rate * self.model.now

    def reads_at(self, link):
        """Returns when messages of a link are read after the last pause."""
        if self.model.now > self.paused_until + 1.0:
            return NEVER
        if link not in self.ready_at:
            delay = self.model.rng.choice((0.0, 0.001, 0.01, 0.3))
            self.ready_at[link] = self.paused_until + delay
        return self.ready_at[link]


class Keeper(Process):
    """An agent, which may be a member of the list."""

    def forget(self):
        self.list = None
        self.locks = {}
        self.answers = {}  # owner -> (its life, time of its answer)
        self.lives = {}  # owner -> newest life seen
        self.started_at = self.clock

    def learn(self, keeper_list):
        if self.list is None or keeper_list.version > self.list.version:
            self.list = keeper_list

    def tick(self):
        model = self.model
        for owner in model.owners.values():
            echo = self.answers.get(owner.name, (0, NEVER))
            model.send(self, owner, "on_ping", self.list, echo)
        model.at(PING_INTERVAL * model.rng.uniform(0.5, 1.5), self, self.tick)

    def on_answer(self, sender, sent_at):
        self._see(sender)
        life, latest = self.answers.get(sender[0], (0, NEVER))
        if (sender[1], sent_at) > (life, latest):
            self.answers[sender[0]] = (sender[1], sent_at)

    def on_request(self, sender, request):
        self._see(sender)
        lock = self.locks.get(request.key)
        if lock is not None and lock.expires_at <= self.clock:
            lock = None
        rule = self.model.rule
        knows_all = self.clock >= self.started_at + EXPIRY
        if lock is not None and lock.owner != sender:
            state = "held"
        elif (
            lock is None
            and not knows_all
            and not request.is_claim
            and rule.waits_after_restart
        ):
            state = "unsure"
        else:
            state = "granted"
            if lock is None and not knows_all:
                self.model.counts["grants after a restart"] += 1
            number = max(request.number, 0 if lock is None else lock.number)
            expires_at = self.clock + rule.expiry
            self.locks[request.key] = Lock(sender, number, expires_at)
        self.model.counts[state] += 1
        owner = self.model.owners[sender[0]]
        self.model.send(self, owner, "on_reply", sender[1], request, state)

    def on_return(self, sender, key, number):
        self._see(sender)
        lock = self.locks.get(key)
        if lock is None or lock.owner != sender:
            return
        if lock.number <= number or not self.model.rule.numbers_returns:
            del self.locks[key]

    def _see(self, owner):
        """Shortens the locks of the lives of an owner that are over."""
        name, life = owner
        if life <= self.lives.get(name, 0):
            return
        self.lives[name] = life
        limit = self.clock + RUN_WAIT
        for key, lock in self.locks.items():
            if lock.owner[0] == name and lock.owner[1] < life:
                expires_at = min(lock.expires_at, limit)
                self.locks[key] = lock._replace(expires_at=expires_at)


@dataclasses.dataclass
class Job:
    """A job of one owner.

    Attributes:
      wanted_until: Time at which its callers leave.
      first_number: Number of the owner's last request before the job.
      runs: Whether the owner starts and keeps runs.
      may_run: Whether runs may be left.
      held_at: Last time at which the key was held.
      asked: Time of the last request to each keeper.
      granted: Time of the newest granted request to each keeper.
      returned: Number of the last return to each keeper.
    """

    wanted_until: float
    first_number: int
    runs: bool = False
    may_run: bool = False
    held_at: float = NEVER
    asked: dict = dataclasses.field(default_factory=dict)
    granted: dict = dataclasses.field(default_factory=dict)
    returned: dict = dataclasses.field(default_factory=dict)


class Owner(Process):
    """An entry, which owns the jobs of its callers."""

    def forget(self):
        self.list = None
        self.jobs = {}
        self.evidence = {}  # member -> time at which it knew no newer list
        self.stated = {}  # member -> highest version
        self.heard = {}  # agent -> time of its last ping
        self.known_since = None  # time of the majority's knowledge of the list
        self.number = 0

    # Knowledge about the list.

    def on_ping(self, keeper, keeper_list, echo):
        self.heard[keeper.name] = self.clock
        if keeper_list is not None:
            version = keeper_list.version
            if self.list is None or version > self.list.version:
                self.list, self.known_since = keeper_list, None
            earlier = self.stated.get(keeper.name, 0)
            self.stated[keeper.name] = max(earlier, version)
            if echo[0] == self.life:
                earlier = self.evidence.get(keeper.name, NEVER)
                self.evidence[keeper.name] = max(earlier, echo[1])
            self._note_majority()
        me = (self.name, self.life)
        self.model.send(self, keeper, "on_answer", me, self.clock)

    def _note_majority(self):
        if self.known_since is not None:
            return
        previous = self.list.previous
        informed = [
            m for m in previous if self.stated.get(m, 0) >= self.list.version
        ]
        if not previous or len(informed) > len(previous) // 2:
            self.known_since = self.clock

    @property
    def is_in_transition(self):
        if self.list.version == 1:
            return False
        if self.known_since is None:
            return True
        return self.clock < self.known_since + self.model.rule.settling

    def current_until(self):
        times = [self.evidence.get(m, NEVER) for m in self.list.members]
        return _newest_of_majority(times) + EVIDENCE_LIMIT

    def may_change_list(self):
        if self.list is None or self.current_until() < self.clock:
            return False
        return not (self.model.rule.waits_to_change and self.is_in_transition)

    def has_lost_list(self):
        """Returns whether the list may be replaced without a transition."""
        if not self.model.rule.replaces_lost_lists or self.list is None:
            return False
        times = [self.heard.get(m, NEVER) for m in self.list.members]
        return _newest_of_majority(times) < self.clock - LOSS_LIMIT

    # Locks.

    def keepers(self, key):
        """Returns the sets of keepers that must grant the key."""
        if not self.model.rule.needs_list:
            limit = self.clock - HEARD_LIMIT
            heard = [a for a, at in self.heard.items() if at >= limit]
            return [self.model.ranked(key, heard)[:2]]
        if self.list is None:
            return []
        sets = [self.model.keepers(key, self.list.members)]
        if self.is_in_transition and self.model.rule.needs_previous:
            sets.append(self.model.keepers(key, self.list.previous))
        return sets

    def held_until(self, key):
        rule = self.model.rule
        sets = self.keepers(key)
        if not all(sets) or not sets:
            return NEVER
        limits = []
        for keepers in sets:
            granted = self.jobs[key].granted
            times = [granted.get(k, NEVER) for k in keepers]
            newest = _newest_of_majority(times)
            limits.append(newest if rule.needs_quorum else max(times))
        until = min(limits) + VALIDITY
        if rule.needs_list and rule.needs_evidence:
            until = min(until, self.current_until())
        return until

    def submit(self, key, seconds):
        job = self.jobs.setdefault(key, Job(0.0, self.number))
        job.wanted_until = max(job.wanted_until, self.clock + seconds)

    def tick(self):
        next_check = self.clock + RETRY_INTERVAL
        for key in list(self.jobs):
            until = self.check(key)
            if until > self.clock:
                next_check = min(next_check, until - 1e-6)
        delay = (next_check - self.clock) / self.rate
        self.model.at(max(delay, 1e-6), self, self.tick)

    def check(self, key):
        """Starts, stops and ends one job; returns until when it is held."""
        job, clock, model = self.jobs[key], self.clock, self.model
        until = self.held_until(key)
        is_wanted = clock < job.wanted_until
        if until >= clock and (is_wanted or job.runs):
            job.runs, job.may_run, job.held_at = is_wanted, True, clock
            model.record_runs(self, key)
        elif job.runs and is_wanted and not model.rule.stops_runs:
            model.record_runs(self, key)
        else:
            job.runs = False
        if job.may_run and not job.runs and model.rng.random() < 0.1:
            job.may_run = False  # the stops are confirmed
            model.end_runs(self, key)
        elif not job.runs and clock > job.held_at + RUN_WAIT:
            job.may_run = False
        if is_wanted:
            self._request(key, job)
        elif not job.may_run or not model.rule.returns_late:
            for name in job.asked:
                self._return(key, job, name)
            del self.jobs[key]
        return until

    def _request(self, key, job):
        clock, me = self.clock, (self.name, self.life)
        for name in {name: 0 for names in self.keepers(key) for name in names}:
            asked, granted = job.asked.get(name, NEVER), job.granted.get(name)
            interval = VALIDITY / 2 if granted == asked else RETRY_INTERVAL
            if clock < asked + interval * 0.99:
                continue
            is_claim = granted is not None and granted + VALIDITY >= clock
            self.number += 1
            job.asked[name] = clock
            request = Request(key, self.number, clock, is_claim)
            keeper = self.model.agents[name]
            self.model.send(self, keeper, "on_request", me, request)

    def _return(self, key, job, name):
        job.granted.pop(name, None)
        job.returned[name] = self.number
        keeper, me = self.model.agents[name], (self.name, self.life)
        self.model.send(self, keeper, "on_return", me, key, self.number)

    def on_reply(self, keeper, life, request, state):
        job = self.jobs.get(request.key)
        if life != self.life or job is None:
            return
        name = keeper.name
        returned = job.returned.get(name, job.first_number)
        if request.number <= returned and self.model.rule.withdraws_grants:
            return
        if state == "granted":
            earlier = job.granted.get(name, NEVER)
            job.granted[name] = max(earlier, request.sent_at)
        elif state == "held" and not job.may_run:
            rank = self.model.rank(request.key, name)
            for other in list(job.granted):
                if self.model.rank(request.key, other) < rank:
                    self._return(request.key, job, other)


def _newest_of_majority(times):
    return sorted(times, reverse=True)[len(times) // 2]
