"""Simulation of owners, agents and executors of leased runs under faults."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import math
import random

from gypsumline.core.effects import Send
from gypsumline.core.identity import Member, Role
from gypsumline.core.leases.effects import (
    CrashDetected,
    HoldReply,
    HoldRequest,
    JobEnded,
    JobOutcome,
    OrderAnswer,
    OrderStart,
    OrderStop,
    ProposeKeepers,
)
from gypsumline.core.leases.job import JobRequest, JobStep, QueueRules
from gypsumline.core.leases.keepers import (
    Keeper,
    KeeperList,
    RequestKeeperList,
)
from gypsumline.core.leases.lock_messages import (
    LockAnswers,
    LockKeys,
    UnlockKeys,
)
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
from properties.lease_executor import (
    CRASH_LIMIT,
    MAX_STARTS_AFTER_CRASHES,
    MIN_CRASHES_TO_GIVE_UP,
    Executor,
)

TICK = 0.03
DIAL_DELAY = 0.05
# Time after which an entry that runs has handled all closed connections.
CLOSE_DELAY = 0.001
# Times that an entry needs after a pause until it has read a submission that
# came during the pause, in seconds.
READ_DELAYS = (0.0, 0.002, 0.005)
# Times between a submission of a caller that has left, and the end of its
# connection, in seconds.
END_DELAYS = (0.0, 0.0005, 0.003, 0.02, 0.5)
# Duration of a call to the store.
STORE_DELAY = 0.005
# Interval of the reads of the excluded zones, by entries and, while no entry's
# list is recent, by agents.
ZONES_READ_INTERVAL = 0.8
# Delay of a read of the stored crashes after the loss of an agent.
CRASH_READ_DELAY = 1.0
# Time without faults after which a process must know the current state, such as
# excluded zones.
PROPAGATION_LIMIT_SECONDS = 3.0
ZONES = ("north", "south", "west")
# Timeouts of callers, in seconds.
TIMEOUTS = (1.0, 3.0, 10.0)
LEASE = LeaseSettings()
QUEUE = QueueRules(
    name="cards",
    service="ordering",
    attempts=3,
    stretch=1.6,
    latency=0.06,
)

# Methods of the state machines that handle the messages.
_HANDLERS = {
    ContactPing: "on_ping",
    RunReports: "on_reports",
    ContactPong: "on_pong",
    StartRuns: "on_start",
    StopRuns: "on_stop",
    ClaimRuns: "on_claims",
    LockKeys: "on_lock_request",
    LockAnswers: "on_lock_answers",
    RequestKeeperList: "on_keepers_request",
}


@dataclasses.dataclass
class Node:
    """A simulated process.

    Attributes:
      member: Its incarnation.
      machine: Its state machine.
      paused_until: Time until which it is paused.
      alive: Whether it is running.
      hold_due_at: Time for which the agent's next hold request is scheduled.
      deferred: Events received while paused, as (action, arguments).
      streams: Number of the stream to each peer that it considers open.
      callers: Step and timeouts by key, of the callers that are connected.
      unread: Keys of submissions that wait to be read.
    """

    member: Member
    machine: object
    paused_until: float = -math.inf
    alive: bool = True
    hold_due_at: float = math.inf
    deferred: list = dataclasses.field(default_factory=list)
    streams: dict = dataclasses.field(default_factory=dict)
    callers: dict = dataclasses.field(default_factory=dict)
    unread: set = dataclasses.field(default_factory=set)


class LeaseOracle:
    """Collects violations of the guarantees.

    Attributes:
      violations: Descriptions of the violations.
      refused: Keys of jobs that were answered as not run.
      starts: Number of started runs.
      completed: Number of completed jobs.
      crashes: Crashes of executors by the tasks that ran there.
      starts_after_crashes: Starts by task after `CRASH_LIMIT` crashes.
      failures: Runs that failed by their own fault, by task.
      crash_sizes: Number of runs lost with each crash.
    """

    def __init__(self):
        self.violations = []
        self.refused = set()
        self.starts = 0
        self.completed = 0
        # Per task, counted at the executors.
        self.crashes = collections.Counter()
        self.starts_after_crashes = collections.Counter()
        self.failures = collections.Counter()
        self.crash_sizes = []

    def record_crash(self, tasks):
        """Counts a crash of an executor under the tasks that ran there."""
        self.crashes.update(list(tasks))
        self.crash_sizes.append(len(tasks))

    def check_start_after_crashes(self, task, now):
        """Checks that a task does not crash executors without limit."""
        if self.crashes[task] < CRASH_LIMIT:
            return
        self.starts_after_crashes[task] += 1
        if self.starts_after_crashes[task] > MAX_STARTS_AFTER_CRASHES:
            self.fail(
                f"{now:.3f} {task} started again after "
                f"{self.crashes[task]} crashes"
            )

    def has_failed_by_itself(self, key, attempts):
        """Returns whether a task of a job failed as often as it may."""
        failed = [
            n for t, n in self.failures.items() if t.startswith(f"{key}.")
        ]
        return max(failed, default=0) >= attempts

    def check_failed_job(self, key, attempts, now):
        """Checks that a job given up had a task that may be given up."""
        tasks = [t for t in self.crashes if t.startswith(f"{key}.")]
        crashed = max((self.crashes[t] for t in tasks), default=0)
        if self.has_failed_by_itself(key, attempts):
            return
        if crashed < MIN_CRASHES_TO_GIVE_UP:
            self.fail(f"{now:.3f} {key} given up after {crashed} crashes")

    def fail(self, text):
        self.violations.append(text)


class LeaseWorld:
    """Simulates processes, links, executors and callers with one event queue.

    Attributes:
      delays: Possible message delays in seconds, drawn for each message.
      order_limits: Possible time limits of orders in seconds, one of them for
        each agent.
      owner_settings: Settings of the entries.
    """

    delays = (0.001, 0.002, 0.01, 0.05)
    order_limits = (LEASE.order_timeout_min, LEASE.order_timeout)
    owner_settings = LeasedOwnerSettings()

    def __init__(self, seed, entries=2, agents=3, clocks_restart=False):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.oracle = LeaseOracle()
        self._events = []
        self._sequence = itertools.count()
        self.executors = {}
        self.entries = {}
        self.agents = {}
        self.partitions = {}  # (from, to) -> end of the partition
        self._links = {}  # (agent, entry) -> number of its open stream
        self._last_arrival = {}
        self._key = itertools.count(1)
        # The list of keepers in the store.
        self.keepers = KeeperList(
            version=1,
            members=tuple(
                sorted(
                    Keeper(f"agent-{number}", ZONES[number % len(ZONES)])
                    for number in range(agents)
                )
            ),
        )
        self.zones = ZonesOut(version=0, zones=())
        self.excluded_since = {}  # zone -> time of its exclusion
        # Entries that cannot reach the store, and until when.
        self.store_cuts = {}
        self.undisturbed_since = {}  # name -> last start or reset
        self.sizes = {}  # key -> processor need of each task
        # Keys of jobs whose callers left an entry that does not know it yet.
        self.unanswered = set()
        # Task -> seconds after its start at which it crashes its executor.
        self.culprits = {}
        self.crash_downtime = 1.0
        self.detected_crashes = 0
        self.stored_crashes = []  # (time of the crash, service, crash)
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
        """Schedules an action after a delay."""
        item = (self.now + delay, next(self._sequence), action, arguments)
        heapq.heappush(self._events, item)

    def run_until(self, end):
        """Advances virtual time to `end`."""
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
        owner = LeasedOwner(LEASE, self.owner_settings, self.now)
        node = Node(member, owner)
        self.entries[name] = node
        self.undisturbed_since[name] = self.now
        # Entries read the platform's table when they start.
        self.at(STORE_DELAY, self._read_crashes, node)
        self.at(DIAL_DELAY, self._read_zones, node)
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
        # The clock of some agents is ahead, so that the clock of the next one
        # appears to have gone back.
        token = int(1000 * self.now) + self.rng.choice((1, 1, 100_000))
        # The first agents have been running for a while.
        started_at = self.now if incarnation > 1 else -LEASE.lock_expiry
        node = Node(member, RunTable(member, LEASE, token, started_at))
        self.agents[name] = node
        self.at(STORE_DELAY, self._read_keepers, node)
        self.undisturbed_since[name] = self.now
        self.at(TICK, self._tick, node)
        self.at(ZONES_READ_INTERVAL, self._read_zones_if_doubtful, node)
        for entry in self.entries:
            self.at(DIAL_DELAY, self._dial, name, entry)
        return node

    def kill(self, node):
        """Kills a process and its streams and restarts it later."""
        if not node.alive:
            return
        node.alive = False
        name = node.member.member_id
        for pair in list(self._links):
            if name in pair:
                self._disconnect(pair)
        for key, caller in list(node.callers.items()):
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
        if self.now >= node.paused_until:
            self.apply_effects(node, node.machine.tick(self.now))

    def when_running(self, node, action, *arguments):
        """Calls an action of a process as soon as it is not paused."""
        if not node.alive:
            return
        if self.now >= node.paused_until and not node.deferred:
            action(*arguments)
            return
        # Keeps the order of arrival even if the pause is extended meanwhile.
        if not node.deferred:
            self.at(node.paused_until - self.now, self._run_deferred, node)
        node.deferred.append((action, arguments))

    def _run_deferred(self, node):
        if not node.alive:
            return
        if self.now < node.paused_until:
            self.at(node.paused_until - self.now, self._run_deferred, node)
            return
        deferred, node.deferred = node.deferred, []
        # An event loop reports closed connections after it has read all data.
        deferred.sort(key=lambda item: item[0] == self._abandon)
        for action, arguments in deferred:
            action(*arguments)

    def is_undisturbed(self, name):
        """Returns whether a process had no faults for the propagation limit."""
        node = self._current(name)
        ends = [
            until for pair, until in self.partitions.items() if name in pair
        ]
        undisturbed_since = max(
            self.undisturbed_since[name], node.paused_until, *ends, 0.0
        )
        return (
            node.alive
            and self.now - undisturbed_since > PROPAGATION_LIMIT_SECONDS
        )

    # The list of keepers.

    def _read_keepers(self, node):
        """Has an agent read the list from the store."""
        if not node.alive:
            return
        if not self.reaches_store(node):
            self.at(ZONES_READ_INTERVAL, self._read_keepers, node)
            return
        entries = {
            name: entry.member.incarnation
            for name, entry in self.entries.items()
        }
        self.when_running(node, node.machine.on_entries, entries)
        self.when_running(node, self._set_keepers, node, self.keepers)

    def _set_keepers(self, node, keepers):
        self.apply_effects(node, node.machine.on_keepers(keepers, self.now))

    def _store_keepers(self, node, keepers):
        """Stores a list unless another one of its version is there."""
        if not self.reaches_store(node):
            return
        if keepers.version == self.keepers.version + 1:
            self.keepers = keepers
            for agent in self.agents.values():
                delay = self.rng.choice((STORE_DELAY, 0.5))
                self.at(delay, self._read_keepers, agent)
        self.when_running(node, self._set_keepers, node, self.keepers)

    # Streams.

    def is_partitioned(self, sender, receiver):
        return self.partitions.get((sender, receiver), -math.inf) > self.now

    def _dial(self, agent, entry):
        agent_node, entry_node = self.agents.get(agent), self.entries.get(entry)
        pair = (agent, entry)
        if pair in self._links or agent_node is None or entry_node is None:
            return
        if not (agent_node.alive and entry_node.alive):
            return
        if self.is_partitioned(agent, entry) or self.is_partitioned(
            entry, agent
        ):
            self.at(4 * DIAL_DELAY, self._dial, agent, entry)
            return
        self._links[pair] = next(self._sequence)
        link = self._links[pair]
        self.when_running(
            agent_node,
            self._connected,
            agent_node,
            entry_node.member,
            pair,
            link,
        )
        self.when_running(
            entry_node,
            self._connected,
            entry_node,
            agent_node.member,
            pair,
            link,
        )

    def _connected(self, node, peer, pair, link):
        if self._links.get(pair) == link:
            node.streams[peer.member_id] = link
            self.apply_effects(node, node.machine.on_connected(peer, self.now))

    def reset(self, pair):
        """Breaks a stream, which the agent dials again."""
        if pair in self._links:
            self._disconnect(pair)
            self.undisturbed_since.update(dict.fromkeys(pair, self.now))
            self.at(DIAL_DELAY, self._dial, *pair)

    def _disconnect(self, pair):
        del self._links[pair]
        agent, entry = self.agents[pair[0]], self.entries[pair[1]]
        self.when_running(agent, self._disconnected, agent, entry.member)
        self.when_running(entry, self._disconnected, entry, agent.member)

    def _disconnected(self, node, peer):
        node.streams.pop(peer.member_id, None)
        self.apply_effects(node, node.machine.on_disconnected(peer, self.now))
        if node.member.role is Role.ENTRY:
            self.at(CRASH_READ_DELAY, self._read_crashes, node)

    def _send(self, node, to, message):
        name = node.member.member_id
        is_agent = node.member.role is Role.AGENT
        pair = (name, to) if is_agent else (to, name)
        # Messages on a stream that the network has already broken are lost.
        link = node.streams.get(to)
        if link is None or self._links.get(pair) != link:
            return
        if self.is_partitioned(name, to):
            # Messages are delivered after the partition unless the stream is
            # broken first.
            delay = self.partitions[name, to] - self.now + 0.01
        else:
            delay = self.draw_delay(name, to)
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

    def draw_delay(self, sender, receiver):
        """Returns the delay of a message in seconds."""
        del sender, receiver
        return self.rng.choice(self.delays)

    def _arrive(self, pair, link, to, sender, message):
        if self._links.get(pair) != link:
            return
        node = self._current(to)
        self.when_running(
            node, self._deliver, node, pair, link, sender, message
        )

    def _deliver(self, node, pair, link, sender, message):
        if self._links.get(pair) != link:
            return
        machine, now = node.machine, self.now
        if isinstance(message, ZonesOut):
            effects = machine.on_zones_out(message, now)
        elif isinstance(message, KeeperList):
            effects = machine.on_keepers(message, now)
        elif isinstance(message, UnlockKeys):
            effects = machine.on_unlock(sender, message)
        else:
            handler = getattr(machine, _HANDLERS[type(message)])
            effects = handler(sender, message, now)
        if isinstance(message, ContactPing):
            self._defer_answer(node, sender, message.stamp)
        self.apply_effects(node, effects)

    def _defer_answer(self, node, agent, stamp):
        self.at(
            CLOSE_DELAY,
            self.when_running,
            node,
            self._answer_ping,
            node,
            agent,
            stamp,
        )

    def _answer_ping(self, node, agent, stamp):
        self.apply_effects(
            node, node.machine.answer_ping(agent, stamp, self.now)
        )

    # Effects.

    def apply_effects(self, node, effects):
        """Carries out the effects of a state machine."""
        for effect in effects:
            match effect:
                case Send():
                    self._send(node, effect.to, effect.message)
                case JobEnded():
                    self._answer(node, effect)
                case OrderStart() | OrderStop():
                    self._send_order(node, effect)
                case ProposeKeepers():
                    keepers = effect.keepers
                    self.at(STORE_DELAY, self._store_keepers, node, keepers)
                case CrashDetected():
                    self.detected_crashes += 1
                    self.at(STORE_DELAY, self._store_crash, node, effect)
        if node.member.role is Role.AGENT:
            self._send_hold_request(node)

    def _store_crash(self, node, detected):
        """Stores a crash unless its agent has been killed meanwhile."""
        if node.alive:
            at = self.now - STORE_DELAY
            self.stored_crashes.append((at, detected.service, detected.crash))

    def _read_crashes(self, node):
        crashes = [
            (service, dataclasses.replace(crash, seconds_ago=self.now - at))
            for at, service, crash in self.stored_crashes
        ]
        self.when_running(node, self._restore_crashes, node, crashes)

    def _restore_crashes(self, node, crashes):
        effects = node.machine.restore_crashes(crashes, self.now)
        self.apply_effects(node, effects)

    def _send_order(self, node, order):
        executor = self.executors[node.member.member_id]
        answer = self._answer_callback(node, order)
        self.at(0.001, executor.handle_order, order, node, answer)

    def _answer_callback(self, node, order):
        answered = []

        def answer(result):
            if answered or not node.alive:
                return
            answered.append(result)
            machine = node.machine
            handler = machine.on_start_answer
            if isinstance(order, OrderStop):
                handler = machine.on_stop_answer
            self.when_running(
                node, self._apply_answer, node, handler, order, result
            )

        self.at(self._order_limit(node), answer, OrderAnswer.UNANSWERED)
        return answer

    def _order_limit(self, node):
        """Returns the time limit of an agent's orders."""
        number = list(self.agents).index(node.member.member_id)
        return self.order_limits[number % len(self.order_limits)]

    def _apply_answer(self, node, handler, order, result):
        self.apply_effects(node, handler(order, result, self.now))

    def _send_hold_request(self, node):
        """Sends the due hold requests and schedules the next one."""
        if not node.alive:
            return
        while (delay := node.machine.hold_due_in(self.now)) <= 0.0:
            self._send_hold(node, node.machine.next_hold_request(self.now))
        due_at = self.now + delay
        if due_at < node.hold_due_at:
            node.hold_due_at = due_at
            self.at(delay, self.when_running, node, self._on_hold_due, node)

    def _on_hold_due(self, node):
        node.hold_due_at = math.inf
        self.apply_effects(node, node.machine.check_runs(self.now))

    def _send_hold(self, node, request):
        answered = []

        def answer(result):
            if answered or not node.alive:
                return
            answered.append(result)
            self.when_running(
                node, self._apply_hold_answer, node, request, result
            )

        executor = self.executors[node.member.member_id]
        self.at(0.001, executor.handle_hold, request, node, answer)
        timeout = request.wait + self._order_limit(node)
        self.at(timeout, answer, OrderAnswer.UNANSWERED)

    def _apply_hold_answer(self, node, request: HoldRequest, result):
        machine, now = node.machine, self.now
        if isinstance(result, HoldReply):
            effects = machine.on_hold_reply(
                request, result, request.sent_at, now
            )
        else:
            effects = machine.on_hold_failed(request, result, now)
        self.apply_effects(node, effects)

    # Callers.

    def submit_new(self, timeouts=TIMEOUTS):
        key, caller = self._new_caller(timeouts)
        self.submit_to_any_entry(key, caller)
        return key

    def submit_late(self, delay):
        """Submits a job again whose first copy reaches its entry later.

        Args:
          delay: Seconds from now until the first copy arrives, without its
            caller.
        """
        key, caller = self._new_caller(TIMEOUTS)
        node = self.rng.choice(list(self.entries.values()))
        request = self._make_request(key, caller)
        self.unanswered.add(key)
        self.at(delay, self.when_running, node, self._submit, node, request)
        self.at(LEASE.resubmit_delay, self.submit_to_any_entry, key, caller)

    def _new_caller(self, timeouts):
        """Returns the key and the caller of a new job."""
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
        return key, (step, self.now + 12.0, timeouts)

    def _make_request(self, key, caller):
        step, _, timeouts = caller
        return JobRequest(
            key=key,
            spec="s",
            queue=QUEUE,
            steps=(step,),
            timeout=self.rng.choice(timeouts),
        )

    def submit_to_any_entry(self, key, caller):
        """Submits a job to a random entry; retries while that is down."""
        if self.now > caller[1]:
            return
        node = self.rng.choice(list(self.entries.values()))
        if not node.alive:
            self.at(LEASE.resubmit_delay, self.submit_to_any_entry, key, caller)
            return
        node.callers[key] = caller
        request = self._make_request(key, caller)
        if self.now >= node.paused_until:
            self.when_running(node, self._submit, node, request)
            return
        # Several turns of the event loop accept a connection and read it,
        # beside the messages that wait on the streams.
        node.unread.add(key)
        delay = node.paused_until - self.now + self.rng.choice(READ_DELAYS)
        self.at(delay, self.when_running, node, self._submit, node, request)

    def _submit(self, node, request):
        """Submits a job, also if its caller has left before it is read."""
        key = request.key
        node.unread.discard(key)
        if not node.alive:
            return
        self.apply_effects(node, node.machine.submit(request, self.now))
        if key not in node.callers:
            delay = self.rng.choice(END_DELAYS)
            self.at(delay, self.when_running, node, self._abandon, node, key)

    def leave(self, node, key, end_delay=0.0):
        """Closes a caller's connection; it resubmits the job later.

        Args:
          node: The entry.
          key: Key of its job.
          end_delay: Seconds until the end of the connection reaches the entry.
        """
        caller = node.callers.pop(key)
        self.at(LEASE.resubmit_delay, self.submit_to_any_entry, key, caller)
        if key in node.unread:
            self.unanswered.add(key)
            return
        if not end_delay:
            self.when_running(node, self._abandon, node, key)
        else:
            self.unanswered.add(key)
            action = self.when_running
            self.at(end_delay, action, node, self._abandon, node, key)

    def _abandon(self, node, key):
        # The caller may have come back on another connection.
        if node.alive and key not in node.callers:
            self.apply_effects(node, node.machine.abandon(key, self.now))

    def _answer(self, node, ended):
        if ended.key in node.unread:
            # The answer belongs to an earlier connection of the caller.
            return
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
        elif ended.outcome is JobOutcome.FAILED:
            self.oracle.check_failed_job(ended.key, QUEUE.attempts, self.now)

    def set_zones(self, zones):
        """Sends the excluded zones to all entries, to some after a delay."""
        message = ZonesOut(version=self.zones.version + 1, zones=zones)
        self.zones = message
        self.excluded_since = {
            zone: self.excluded_since.get(zone, self.now) for zone in zones
        }
        for node in self.entries.values():
            delay = self.rng.choice((0.0, 0.5))
            self.at(
                delay, self.when_running, node, self._set_zones, node, message
            )

    def _set_zones(self, node, message):
        if self.reaches_store(node):
            effects = node.machine.set_zones_out(message, self.now)
            self.apply_effects(node, effects)

    def reaches_store(self, node):
        """Returns whether a process is not cut off from the store."""
        until = self.store_cuts.get(node.member.member_id, -math.inf)
        return self.now >= until

    def _read_zones(self, node):
        """Has an entry read the zones from the store, again and again."""
        if not node.alive:
            return
        self.at(ZONES_READ_INTERVAL, self._read_zones, node)
        if self.reaches_store(node):
            self.when_running(node, self._apply_zones, node, self.now)

    def _apply_zones(self, node, read_at):
        if self.reaches_store(node):
            self._set_zones(node, self.zones)
            node.machine.record_zones_read(read_at)

    def _read_zones_if_doubtful(self, node):
        """Has an agent read the zones while no entry's list is recent."""
        if not node.alive:
            return
        self.at(ZONES_READ_INTERVAL, self._read_zones_if_doubtful, node)
        if not node.machine.zones_doubtful_in(self.now):
            self.when_running(node, self._read_zones_at_agent, node)

    def _read_zones_at_agent(self, node):
        effects = node.machine.on_zones_out(self.zones, self.now)
        self.apply_effects(node, effects)
