"""Owners, agents and executors of leased runs in virtual time, with faults."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import random

from gypsumline.core.effects import Send
from gypsumline.core.identity import Member, Role
from gypsumline.core.leases.effects import (
    HoldReply,
    HoldRequest,
    JobEnded,
    JobOutcome,
    OrderAnswer,
    OrderStart,
    OrderStop,
)
from gypsumline.core.leases.job import JobRequest, JobStep, QueueRules
from gypsumline.core.leases.messages import (
    ClaimRuns,
    ContactPing,
    ContactPong,
    RunReports,
    StartRuns,
    StopRuns,
    ZonesOut,
)
from gypsumline.core.leases.owner import LeasedOwner
from gypsumline.core.leases.owner_settings import LeasedOwnerSettings
from gypsumline.core.leases.resources import Resources
from gypsumline.core.leases.run_table import RunTable
from gypsumline.core.leases.settings import LeaseSettings
from properties.lease_executor import Executor

TICK = 0.03
DIAL_DELAY = 0.05
# Time without a disturbance after which a process must know what is in force.
PROPAGATION_LIMIT_SECONDS = 3.0
ZONES = ("north", "south", "west")
# Seconds for which callers wait.
TIMEOUTS = (1.0, 3.0, 10.0)
LEASE = LeaseSettings()
QUEUE = QueueRules(
    name="cards",
    service="ordering",
    attempts=3,
    stretch=1.6,
    latency=0.06,
)


@dataclasses.dataclass
class Node:
    """One process.

    Attributes:
      member: Its present incarnation.
      machine: Its decisions.
      frozen_until: Time until which it does nothing.
      alive: Whether it runs.
      hold_in_flight: Whether an agent waits for its executor's list.
      deferred: What came while it was frozen, as (action, arguments).
      streams: Number of the stream to each peer, as it knows it.
    """

    member: Member
    machine: object
    frozen_until: float = -math.inf
    alive: bool = True
    hold_in_flight: bool = False
    deferred: list = dataclasses.field(default_factory=list)
    streams: dict = dataclasses.field(default_factory=dict)


class LeaseOracle:
    """Collects what must never happen."""

    def __init__(self):
        self.violations = []
        self.refused = set()
        self.starts = 0
        self.completed = 0

    def fail(self, text):
        self.violations.append(text)


class LeaseWorld:
    """Runs processes, links, executors and callers by one event queue.

    Attributes:
      delays: Seconds that a message takes, one drawn for each.
      hold_pause: Seconds between an agent's requests for the runs.
    """

    delays = (0.001, 0.002, 0.01, 0.05)
    hold_pause = 0.005

    def __init__(self, seed, entries=2, agents=3, clocks_restart=False):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.oracle = LeaseOracle()
        self._events = []
        self._sequence = itertools.count()
        self.executors = {}
        self.entries = {}
        self.agents = {}
        self.cuts = {}  # (from, to) -> time until which messages are lost
        self._links = {}  # pair -> number of its present stream
        self._last_arrival = {}
        self._key = itertools.count(1)
        self.zones = ZonesOut(version=0, zones=())
        self.out_since = {}  # zone -> time since which it is out
        self.undisturbed_since = {}  # name -> time of its newest start or reset
        self.sizes = {}  # key -> processor that each of its tasks takes
        for number in range(agents):
            zone = ZONES[number % len(ZONES)]
            name = f"agent-{number}"
            executor = self.make_executor(name, zone)
            executor.restarts_clock = clocks_restart
            self.executors[name] = executor
            self.start_agent(name, zone, 1)
        for number in range(entries):
            zone = ZONES[number % len(ZONES)]
            self.start_entry(f"entry-{number}", zone, 1)
        for executor in self.executors.values():
            self.at(0.01, executor.announce)

    def make_executor(self, name, zone):
        return Executor(self, name, zone)

    # Time.

    def at(self, delay, action, *arguments):
        """Calls an action after a delay."""
        item = (self.now + delay, next(self._sequence), action, arguments)
        heapq.heappush(self._events, item)

    def run_until(self, end):
        """Lets virtual time pass."""
        while self._events and self._events[0][0] <= end:
            when, _, action, arguments = heapq.heappop(self._events)
            self.now = max(self.now, when)
            action(*arguments)
        self.now = end

    # Processes.

    def start_entry(self, name, zone, incarnation):
        member = Member(
            member_id=name,
            incarnation=incarnation,
            role=Role.ENTRY,
            availability_zone=zone,
            address=name,
        )
        owner = LeasedOwner(LEASE, LeasedOwnerSettings())
        node = Node(member, owner)
        node.callers = {}
        self.entries[name] = node
        self.undisturbed_since[name] = self.now
        # It reads the platform's table at its start.
        self.at(DIAL_DELAY, self._set_zones, node, self.zones)
        self.at(TICK, self._tick, node)
        for agent in self.agents:
            self.at(DIAL_DELAY, self._dial, agent, name)
        return node

    def start_agent(self, name, zone, incarnation):
        member = Member(
            member_id=name,
            incarnation=incarnation,
            role=Role.AGENT,
            availability_zone=zone,
        )
        # Some agents start with a clock that went back.
        token = int(1000 * self.now) + self.rng.choice((1, 1, 100_000))
        node = Node(member, RunTable(member, LEASE, token))
        self.agents[name] = node
        self.undisturbed_since[name] = self.now
        self.at(TICK, self._tick, node)
        for entry in self.entries:
            self.at(DIAL_DELAY, self._dial, name, entry)
        return node

    def kill(self, node):
        """Ends a process and its streams; it starts again later."""
        if not node.alive:
            return
        node.alive = False
        name = node.member.member_id
        for pair in list(self._links):
            if name in pair:
                self._disconnect(pair)
        for key, caller in list(getattr(node, "callers", {}).items()):
            self.at(LEASE.resubmit_delay, self.submit_to_any_entry, key, caller)
        self.at(self.rng.uniform(0.2, 1.5), self._restart, node)

    def _restart(self, node):
        member = node.member
        start = self.start_agent
        if member.role is Role.ENTRY:
            start = self.start_entry
        start(
            member.member_id, member.availability_zone, member.incarnation + 1
        )

    def _current(self, name):
        return self.entries.get(name) or self.agents[name]

    def _tick(self, node):
        if not node.alive:
            return
        self.at(TICK, self._tick, node)
        if self.now >= node.frozen_until:
            self.run(node, node.machine.tick(self.now))

    def when_awake(self, node, action, *arguments):
        """Calls an action of a process once it is not frozen."""
        if not node.alive:
            return
        if self.now >= node.frozen_until and not node.deferred:
            action(*arguments)
            return
        # In order of arrival, also if the freeze is made longer meanwhile.
        if not node.deferred:
            self.at(node.frozen_until - self.now, self._run_deferred, node)
        node.deferred.append((action, arguments))

    def _run_deferred(self, node):
        if not node.alive:
            return
        if self.now < node.frozen_until:
            self.at(node.frozen_until - self.now, self._run_deferred, node)
            return
        deferred, node.deferred = node.deferred, []
        for action, arguments in deferred:
            action(*arguments)

    def is_undisturbed(self, name):
        """Returns whether nothing disturbed a process for some time."""
        node = self._current(name)
        ends = [until for pair, until in self.cuts.items() if name in pair]
        undisturbed_since = max(
            self.undisturbed_since[name], node.frozen_until, *ends, 0.0
        )
        return (
            node.alive
            and self.now - undisturbed_since > PROPAGATION_LIMIT_SECONDS
        )

    # Streams.

    def is_cut(self, sender, receiver):
        return self.cuts.get((sender, receiver), -math.inf) > self.now

    def _dial(self, agent, entry):
        a, e = self.agents.get(agent), self.entries.get(entry)
        pair = (agent, entry)
        if pair in self._links or a is None or e is None:
            return
        if not (a.alive and e.alive):
            return
        if self.is_cut(agent, entry) or self.is_cut(entry, agent):
            self.at(4 * DIAL_DELAY, self._dial, agent, entry)
            return
        self._links[pair] = next(self._sequence)
        link = self._links[pair]
        self.when_awake(a, self._connected, a, e.member, pair, link)
        self.when_awake(e, self._connected, e, a.member, pair, link)

    def _connected(self, node, peer, pair, link):
        if self._links.get(pair) == link:
            node.streams[peer.member_id] = link
            self.run(node, node.machine.on_connected(peer, self.now))

    def reset(self, pair):
        """Breaks a stream; the agent dials again."""
        if pair in self._links:
            self._disconnect(pair)
            self.undisturbed_since.update(dict.fromkeys(pair, self.now))
            self.at(DIAL_DELAY, self._dial, *pair)

    def _disconnect(self, pair):
        del self._links[pair]
        agent, entry = self.agents[pair[0]], self.entries[pair[1]]
        self.when_awake(agent, self._disconnected, agent, entry.member)
        self.when_awake(entry, self._disconnected, entry, agent.member)

    def _disconnected(self, node, peer):
        node.streams.pop(peer.member_id, None)
        node.machine.on_disconnected(peer)

    def _send(self, node, to, message):
        name = node.member.member_id
        is_agent = node.member.role is Role.AGENT
        pair = (name, to) if is_agent else (to, name)
        # What goes into a stream that is broken already is lost.
        link = node.streams.get(to)
        if link is None or self._links.get(pair) != link:
            return
        if self.is_cut(name, to):
            # Bytes wait for the end of the cut, or die with the stream.
            delay = self.cuts[name, to] - self.now + 0.01
        else:
            delay = self.rng.choice(self.delays)
        arrival = max(self.now + delay, self._last_arrival.get((link, to), 0.0))
        self._last_arrival[link, to] = arrival
        self.at(
            arrival - self.now,
            self._arrive,
            pair,
            link,
            to,
            node.member,
            message,
        )

    def _arrive(self, pair, link, to, sender, message):
        if self._links.get(pair) != link:
            return
        node = self._current(to)
        self.when_awake(node, self._deliver, node, pair, link, sender, message)

    def _deliver(self, node, pair, link, sender, message):
        if self._links.get(pair) != link:
            return
        machine, now = node.machine, self.now
        match message:
            case ContactPing():
                effects = machine.on_ping(sender, message, now)
            case RunReports():
                effects = machine.on_reports(sender, message, now)
            case ContactPong():
                effects = machine.on_pong(sender, message, now)
            case StartRuns():
                effects = machine.on_start(sender, message, now)
            case StopRuns():
                effects = machine.on_stop(sender, message, now)
            case ClaimRuns():
                effects = machine.on_claims(sender, message, now)
            case ZonesOut():
                effects = machine.on_zones_out(message, now)
        self.run(node, effects)

    # Effects.

    def run(self, node, effects):
        """Carries out what a decision asks for."""
        for effect in effects:
            match effect:
                case Send():
                    self._send(node, effect.to, effect.message)
                case JobEnded():
                    self._answer(node, effect)
                case OrderStart() | OrderStop():
                    self._order(node, effect)
        if node.member.role is Role.AGENT:
            self._hold(node)

    def _order(self, node, order):
        executor = self.executors[node.member.member_id]
        answer = self._answer_later(node, order)
        self.at(0.001, executor.handle_order, order, node, answer)

    def _answer_later(self, node, order):
        answered = []

        def answer(result):
            if answered or not node.alive:
                return
            answered.append(result)
            machine = node.machine
            take = machine.on_start_answer
            if isinstance(order, OrderStop):
                take = machine.on_stop_answer
            self.when_awake(node, self._take, node, take, order, result)

        timeout = LEASE.order_timeout
        self.at(timeout, answer, OrderAnswer.UNANSWERED)
        return answer

    def _take(self, node, take, order, result):
        self.run(node, take(order, result, self.now))

    def _hold(self, node):
        if node.hold_in_flight or not node.alive:
            return
        order = node.machine.next_hold_request(self.now)
        if order is None:
            return
        node.hold_in_flight = True
        sent_at = self.now
        answered = []

        def answer(result):
            if answered or not node.alive:
                return
            answered.append(result)
            self.when_awake(
                node, self._apply_hold_answer, node, order, result, sent_at
            )

        executor = self.executors[node.member.member_id]
        self.at(0.001, executor.handle_hold, order, node, answer)
        timeout = order.wait + LEASE.order_timeout
        self.at(timeout, answer, OrderAnswer.UNANSWERED)

    def _apply_hold_answer(self, node, order: HoldRequest, result, sent_at):
        machine, now = node.machine, self.now
        if isinstance(result, HoldReply):
            effects = machine.on_hold_reply(order, result, sent_at, now)
        else:
            effects = machine.on_hold_failed(order, result, now)
        self.run_without_hold(node, effects)
        self.at(self.hold_pause, self._release_hold, node)

    def run_without_hold(self, node, effects):
        node.hold_in_flight = True
        self.run(node, effects)

    def _release_hold(self, node):
        node.hold_in_flight = False
        self._hold(node)

    # Callers.

    def submit_new(self, timeouts=TIMEOUTS):
        key = f"{next(self._key):016x}"
        count = self.rng.choice((1, 1, 2, 4))
        run_time = self.rng.choice((0.05, 0.2, 1.0))
        size = self.rng.choice((500, 2000, 3000))
        self.sizes[key] = size
        step = JobStep(
            count=count,
            resources=Resources(processor=size, memory=64),
            run_time=run_time,
        )
        self.submit_to_any_entry(key, (step, self.now + 12.0, timeouts))

    def submit_to_any_entry(self, key, caller):
        """Sends a job to any entry; sends it again if that is down."""
        step, give_up_at, timeouts = caller
        if self.now > give_up_at:
            return
        node = self.rng.choice(list(self.entries.values()))
        if not node.alive:
            self.at(LEASE.resubmit_delay, self.submit_to_any_entry, key, caller)
            return
        node.callers[key] = caller
        request = JobRequest(
            key=key,
            spec="s",
            queue=QUEUE,
            steps=(step,),
            timeout=self.rng.choice(timeouts),
        )
        self.when_awake(node, self._submit, node, request)

    def _submit(self, node, request):
        if request.key in node.callers:
            self.run(node, node.machine.submit(request, self.now))

    def leave(self, node, key):
        """Breaks a caller's connection; it sends the job again later."""
        caller = node.callers.pop(key)
        self.when_awake(node, self._abandon, node, key)
        self.at(LEASE.resubmit_delay, self.submit_to_any_entry, key, caller)

    def _abandon(self, node, key):
        self.run(node, node.machine.abandon(key, self.now))

    def _answer(self, node, ended):
        caller = node.callers.pop(ended.key, None)
        if caller is None:
            return
        if ended.outcome is JobOutcome.NOT_RUN:
            self.oracle.refused.add(ended.key)
        elif ended.outcome in (JobOutcome.EXPIRED, JobOutcome.ELSEWHERE):
            self.at(
                LEASE.resubmit_delay,
                self.submit_to_any_entry,
                ended.key,
                caller,
            )
        elif ended.outcome is JobOutcome.COMPLETED:
            self.oracle.completed += 1

    def set_zones(self, zones):
        """Tells all entries which zones are out, some of them late."""
        message = ZonesOut(version=self.zones.version + 1, zones=zones)
        self.zones = message
        self.out_since = {
            zone: self.out_since.get(zone, self.now) for zone in zones
        }
        for node in self.entries.values():
            delay = self.rng.choice((0.0, 0.5))
            self.at(
                delay, self.when_awake, node, self._set_zones, node, message
            )

    def _set_zones(self, node, message):
        self.run(node, node.machine.set_zones_out(message, self.now))
