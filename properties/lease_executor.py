"""Simulated executor that follows the platform's rules and injects faults."""

from __future__ import annotations

import dataclasses
import math

from gypsumline.core.leases.effects import (
    Announcement,
    EndedRun,
    HoldReply,
    OrderAnswer,
    OrderStart,
    OrderStop,
)
from gypsumline.core.leases.resources import Resources

CAPACITY = Resources(processor=8000, memory=4096)
MAX_LEASE_MS = 1000
STOP_SECONDS = 0.05
HEARTBEAT_SECONDS = 1.5
# Time for which a start may still use the capacity before a reduction: the
# contact limit of the platform's rules and one heartbeat.
CAPACITY_GRACE_SECONDS = 3.0 + HEARTBEAT_SECONDS
# Crashes of executors under a task after which it may be started only
# `MAX_STARTS_AFTER_CRASHES` times.
CRASH_LIMIT = 3
MAX_STARTS_AFTER_CRASHES = 2
# Crashes of executors under a task from which its job may be given up.
MIN_CRASHES_TO_GIVE_UP = 2
# Maximum time from the exclusion of a zone to the last start there.
EVACUATION_LIMIT_SECONDS = 5.0
# Maximum time from the receipt of the announcement that an executor is leaving
# to the last start there.
DRAIN_LIMIT_SECONDS = 2.0


@dataclasses.dataclass
class _Run:
    task: str
    attempt: int
    ends_at: float
    outcome: str
    stopping: bool = False


class Executor:
    """Simulates leases, fencing and run lists; reports violations.

    Attributes:
      poll_interval: Seconds between checks of the lease and of ends of runs.
      capacity: Resources for runs.
      restarts_clock: Whether its clock restarts at 0 when it restarts under the
        same name, as the platform specifies. The lease of a delayed order for
        an earlier incarnation then does not appear expired.
      is_renamed: Whether each incarnation has a name of its own.
      run_times: Possible run times of tasks in seconds, drawn for each run.
    """

    poll_interval = 0.01
    capacity = CAPACITY
    run_times = (0.05, 0.2, 1.0)
    restarts_clock = False
    is_renamed = False

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.up = True
        self.leaving = False
        self.delays_orders_until = -1.0  # some orders are delayed until then
        self.hung_until = -1.0
        # Share of all calls that get no answer until then.
        self.lost_share = 0.0
        self.loses_answers_until = -1.0
        # Most stops are lost or refused until then; the other calls work.
        self.loses_stops_until = -1.0
        self.silent_until = -1.0  # calls get no answer until then
        self.refuses_until = -1.0  # connections are refused until then
        # At most 2% slower than the clocks of the agents.
        self.clock_rate = world.rng.choice((1.0, 0.98))
        self.sequence = 0
        # Capacities and the times until which each was in force.
        self.earlier_capacities = []
        self._reset()

    def _reset(self):
        self.reset_at = self.world.now
        self.started_at = int(1000 * self.world.now) + 1
        self.token = 0
        self.lease_until = 0.0
        self.runs = {}
        self.highest_attempts = {}
        self.ended = []
        self.end_number = 0
        self.sequence = 0
        self.leaving = False
        self.leaving_announced_at = math.inf
        self.world.at(self.poll_interval, self._poll, self.started_at)

    @property
    def clock(self):
        clock_start = self.reset_at if self.restarts_clock else 0.0
        return int(1000 * (self.world.now - clock_start) * self.clock_rate)

    @property
    def announced_name(self):
        """Name under which it announces itself."""
        return (
            f"{self.name}/{self.started_at}" if self.is_renamed else self.name
        )

    def set_capacity(self, capacity):
        """Changes the capacity, which its next heartbeat shows."""
        self.earlier_capacities.append((self.world.now, self.capacity))
        self.capacity = capacity

    def _largest_recent_processor(self):
        """Returns the largest processor capacity that a start may assume."""
        since = self.world.now - CAPACITY_GRACE_SECONDS
        recent = [c for until, c in self.earlier_capacities if until >= since]
        return max(c.processor for c in [self.capacity, *recent])

    def announce(self):
        """Sends a heartbeat and schedules the next one."""
        self.world.at(HEARTBEAT_SECONDS, self.announce)
        self.announce_once()

    def announce_once(self):
        """Sends a heartbeat to the agent if both are running."""
        node = self.world.agents[self.name]
        is_silent = self.world.now < self.silent_until
        if not self.up or is_silent or not node.alive:
            return
        self.sequence += 1
        announcement = self.make_announcement()
        self.world.when_running(
            node, self._deliver_announcement, node, announcement
        )

    def make_announcement(self):
        """Returns its next heartbeat."""
        return Announcement(
            executor=self.announced_name,
            started_at=self.started_at,
            sequence=self.sequence,
            service="ordering",
            availability_zone=self.zone,
            capacity=self.capacity,
            labels=("a",),
            leaving=self.leaving,
            leaving_in=2.0,
            clock=self.clock,
        )

    def _deliver_announcement(self, node, announcement):
        if announcement.leaving and announcement.started_at == self.started_at:
            self.leaving_announced_at = min(
                self.leaving_announced_at, self.world.now
            )
        effects = node.machine.on_announcement(announcement, self.world.now)
        self.world.apply_effects(node, effects)

    def restart(self, down_seconds, is_planned=False):
        """Crashes, or leaves as announced, and restarts later."""
        if self.up:
            self.up = False
            was_announced = self.leaving_announced_at < math.inf
            if not (is_planned and was_announced):
                self.world.oracle.record_crash(self.runs)
            self.runs.clear()
            self.world.at(down_seconds, self._start_again)

    def _start_again(self):
        self.up = True
        self._reset()
        # The first heartbeat follows after a short delay, so that orders may
        # arrive before it.
        self.world.at(0.05, self.announce_once)

    # Orders.

    def handle_order(self, order, node, answer):
        """Carries out a start or stop order, possibly after a delay."""
        world = self.world
        if not self.up or world.now < self.refuses_until:
            answer(OrderAnswer.NO_LISTENER)
            return
        if world.now < self.silent_until:
            return
        if world.now < self.delays_orders_until and world.rng.random() < 0.5:
            world.at(world.rng.uniform(2.0, 12.0), self._apply, order, True)
            return
        if order.executor != self.announced_name:
            answer(OrderAnswer.OTHER_EXECUTOR)
            return
        if isinstance(order, OrderStop) and self._loses_stop(answer):
            return
        if self._loses_answer():
            self._lose(lambda reply: reply(self._apply(order, True)), answer)
            return
        result = self._apply(order)
        if world.now < self.delays_orders_until and world.rng.random() < 0.2:
            return  # the answer is lost
        world.at(0.001, self._answer, answer, result, self.started_at)

    def _answer(self, answer, result, incarnation):
        """Answers an order unless it has crashed since."""
        if not self.up or incarnation != self.started_at:
            result = OrderAnswer.UNANSWERED
        answer(result)

    def _loses_answer(self):
        world = self.world
        if world.now >= self.loses_answers_until:
            return False
        return world.rng.random() < self.lost_share

    def _lose(self, call, answer):
        """Carries a call out seconds later, or answers it late or never."""
        world = self.world
        kind = world.rng.choice(("late order", "late answer", "no answer"))
        if kind == "late order":
            delay = world.rng.uniform(2.0, 12.0)
            world.at(delay, call, lambda result: None)
        elif kind == "late answer":
            delay = world.rng.uniform(0.0, 0.5)
            call(lambda result: world.at(delay, answer, result))
        else:
            call(lambda result: None)

    def _loses_stop(self, answer):
        world = self.world
        if world.now >= self.loses_stops_until or world.rng.random() >= 0.9:
            return False
        if world.rng.random() < 0.5:
            world.at(0.001, answer, OrderAnswer.REFUSED)
        return True

    def _apply(self, order, is_delayed=False):
        if not self.up or order.executor != self.announced_name:
            return OrderAnswer.REFUSED
        if order.token < self.token:
            return OrderAnswer.FENCED
        self.token = order.token
        if isinstance(order, OrderStart):
            return self._start(order, is_delayed)
        return self._stop(order)

    def _start(self, order, is_delayed):
        self._extend_lease(order.lease_until)
        run = self.runs.get(order.task)
        if run is not None and run.attempt == order.attempt:
            return OrderAnswer.DONE
        if order.attempt <= self.highest_attempts.get(order.task, 0):
            return OrderAnswer.OLD
        if order.lease_until <= self.clock:
            return OrderAnswer.LATE
        self._check_start(order, is_delayed)
        self._check_placement_rules(is_delayed)
        world = self.world
        time = world.rng.choice(self.run_times)
        if world.now < self.hung_until:
            time = 1000.0
        outcome = "failed" if world.rng.random() < 0.05 else "done"
        self.highest_attempts[order.task] = order.attempt
        self.runs[order.task] = _Run(
            order.task, order.attempt, world.now + time, outcome
        )
        delay = world.culprits.get(order.task)
        if delay is not None:
            world.at(delay, self._crash_under, order.task, self.started_at)
        return OrderAnswer.DONE

    def _crash_under(self, task, incarnation):
        """Crashes if a task that crashes its executors still runs."""
        if incarnation == self.started_at and task in self.runs:
            self.restart(self.world.crash_downtime)

    def _check_start(self, order, is_delayed):
        world, oracle = self.world, self.world.oracle
        oracle.starts += 1
        if order.task in world.culprits and not is_delayed:
            oracle.check_start_after_crashes(order.task, world.now)
        for other in world.executors.values():
            if other.up and order.task in other.runs:
                oracle.fail(f"{world.now:.3f} second run: {order.task}")
        # A refusal speaks for a submission that its entry has not read yet only
        # if all of the caller's submissions were refused.
        key = order.task.partition(".")[0]
        if key in oracle.refused and key not in world.unanswered:
            oracle.fail(f"{world.now:.3f} start after NOT_RUN: {order.task}")
        size = self._size(order.task)
        used = sum(self._size(task) for task in self.runs)
        if used + size > self._largest_recent_processor():
            oracle.fail(f"{world.now:.3f} over capacity: {self.name}")

    def _check_placement_rules(self, is_delayed):
        world = self.world
        if is_delayed or not world.is_undisturbed(self.name):
            return
        excluded_since = world.excluded_since.get(self.zone, math.inf)
        if world.now - excluded_since > EVACUATION_LIMIT_SECONDS:
            world.oracle.fail(f"{world.now:.3f} start in an excluded zone")
        if world.now - self.leaving_announced_at > DRAIN_LIMIT_SECONDS:
            world.oracle.fail(f"{world.now:.3f} start on a leaving executor")

    def _size(self, task):
        return self.world.sizes.get(task.partition(".")[0], 0)

    def _stop(self, order):
        run = self.runs.get(order.task)
        highest = self.highest_attempts.get(order.task, 0)
        self.highest_attempts[order.task] = max(highest, order.attempt)
        is_current = run is not None and run.attempt == order.attempt
        if is_current and not run.stopping:
            run.stopping = True
            run.outcome = "stopped"
            run.ends_at = self.world.now + STOP_SECONDS
        return OrderAnswer.DONE

    def handle_hold(self, request, node, answer):
        """Renews the lease and lists runs after the next end or the wait."""
        world = self.world
        if not self.up or world.now < self.refuses_until:
            answer(OrderAnswer.NO_LISTENER)
            return
        if world.now < self.silent_until:
            return
        if request.executor != self.announced_name:
            answer(OrderAnswer.OTHER_EXECUTOR)
            return
        if world.now < self.delays_orders_until and world.rng.random() < 0.1:
            return
        if self._loses_answer():
            self._lose(lambda reply: self._hold(request, reply), answer)
            return
        self._hold(request, answer)

    def _hold(self, request, answer):
        if not self.up or request.executor != self.announced_name:
            return
        if request.token < self.token:
            answer(OrderAnswer.FENCED)
            return
        self.token = request.token
        if request.lease_until is not None:
            self._extend_lease(request.lease_until)
        self.ended = [
            end for end in self.ended if end.number > request.acknowledged_end
        ]
        self._list(request, answer, self.world.now + request.wait)

    def _list(self, request, answer, until):
        if not self.up:
            # The connection ends with the process.
            answer(OrderAnswer.UNANSWERED)
            return
        if self.ended or self.world.now >= until:
            listed = HoldReply(
                started_at=self.started_at,
                clock=self.clock,
                running=frozenset(
                    (run.task, run.attempt) for run in self.runs.values()
                ),
                ended=tuple(self.ended),
            )
            self.world.at(0.001, answer, listed)
            return
        self.world.at(self.poll_interval, self._list, request, answer, until)

    def _extend_lease(self, until):
        longest = self.clock + MAX_LEASE_MS
        self.lease_until = max(self.lease_until, min(until, longest))

    def _poll(self, incarnation):
        """Ends runs that are due; ends all when the lease lapses."""
        if incarnation != self.started_at or not self.up:
            return
        self.world.at(self.poll_interval, self._poll, incarnation)
        lapsed = self.clock > self.lease_until
        for run in list(self.runs.values()):
            if lapsed or self.world.now >= run.ends_at:
                del self.runs[run.task]
                self.end_number += 1
                outcome = "lapsed" if lapsed else run.outcome
                if outcome == "failed":
                    self.world.oracle.failures[run.task] += 1
                self.ended.append(
                    EndedRun(
                        number=self.end_number,
                        task=run.task,
                        attempt=run.attempt,
                        outcome=outcome,
                    )
                )
