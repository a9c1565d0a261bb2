"""Compares policies for orders without an answer, in virtual time.

Each executor loses a share of its calls: the call gets no answer and is carried
out 2 to 12 s later. `python -m benchmarks.lost_answers --executors 6 11` prints
one line per policy, number of executors and share. The model has tasks of one
kind, one agent for each executor and a queue that all agents share.
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import heapq
import itertools
import random
import sys
from collections.abc import Callable, Iterable

ROUND_TRIP_SECONDS = 0.003
RUN_SECONDS = 0.35
PLACES = 10
LOAD = 0.6
LEASE_SECONDS = 0.6
STOP_SECONDS = 0.05
HOLD_WAIT_SECONDS = 0.2
FAILED_HOLD_PAUSE_SECONDS = 0.05
LONG_LIMIT_SECONDS = 0.24
SHORT_LIMIT_SECONDS = 0.024
LATE_ORDER_SECONDS = (2.0, 12.0)
LOSSY_SHARE = 0.9


@dataclasses.dataclass(frozen=True)
class Policy:
    """How an agent meets calls without an answer.

    Attributes:
      call_limit: Seconds after which a call counts as unanswered.
      repeats: Whether a start is sent again under its attempt; otherwise it is
        stopped and its task goes back to the queue.
      holds: Holds that may be without an answer at a time.
      hedge_after: Seconds after which a second copy of a start is sent while
        the first still waits; None for no copies.
    """

    call_limit: float = LONG_LIMIT_SECONDS
    repeats: bool = False
    holds: int = 1
    hedge_after: float | None = None


POLICIES = {
    "as_now": Policy(),
    "repeat": Policy(SHORT_LIMIT_SECONDS, repeats=True),
    "repeat_and_overlap": Policy(SHORT_LIMIT_SECONDS, True, 3),
    "hedged": Policy(SHORT_LIMIT_SECONDS, True, 3, 2.0 * ROUND_TRIP_SECONDS),
}


@dataclasses.dataclass
class Task:
    """A task and what was seen of it.

    Attributes:
      number: Its number.
      submitted_at: Time of submission.
      attempt: Newest attempt.
      orders: Start and stop orders sent for it.
      finished_at: Time at which an agent read that it was done.
    """

    number: int
    submitted_at: float
    attempt: int = 0
    orders: int = 0
    finished_at: float | None = None


class World:
    """Virtual time, the queue of tasks and the figures."""

    def __init__(
        self, policy: Policy, shares: Iterable[float], seed: int, seconds: float
    ) -> None:
        self.policy = policy
        self.rng = random.Random(seed)
        self.now = 0.0
        self.runs_lost = 0
        self.second_runs = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.tasks: list[Task] = []
        self.waiting: collections.deque[Task] = collections.deque()
        self.running: collections.Counter[int] = collections.Counter()
        self._ends_at = seconds
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self.agents = [Agent(self, Executor(self, x)) for x in shares]
        self._rate = LOAD * PLACES * len(self.agents) / RUN_SECONDS

    def at(self, delay: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        event = (self.now + delay, next(self._sequence), action)
        heapq.heappush(self._events, event)

    def run(self) -> None:
        """Plays the arrivals and 20 s more."""
        self._arrive()
        for agent in self.agents:
            agent.hold()
        while self._events and self._events[0][0] < self._ends_at + 20.0:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def place(self) -> None:
        """Gives waiting tasks to the agents with the most room."""
        while self.waiting:
            best = max(self.agents, key=lambda agent: agent.room)
            if not best.room:
                return
            best.start(self.waiting.popleft())

    def _arrive(self) -> None:
        if self.now >= self._ends_at:
            return
        task = Task(len(self.tasks), self.now)
        self.tasks.append(task)
        self.waiting.append(task)
        self.place()
        self.at(self.rng.expovariate(self._rate), self._arrive)


class Executor:
    """An executor that follows the platform's rules within one life."""

    def __init__(self, world: World, share: float) -> None:
        self._world = world
        self._share = share
        self._lease_until = 0.0
        self._highest: dict[int, int] = {}
        self._ended: list[tuple[int, int, str]] = []
        self._waiting: list[Callable[[], None]] = []
        self.runs: dict[int, int] = {}

    def call(self, action: Callable[[Callable], None], answer: Callable):
        """Carries a call out, or loses its answer and carries it out late."""
        world = self._world
        if world.rng.random() < self._share:
            delay = world.rng.uniform(*LATE_ORDER_SECONDS)
            world.at(delay, lambda: action(lambda _: None))
            return
        half = ROUND_TRIP_SECONDS / 2.0
        world.at(
            half,
            lambda: action(
                lambda result: world.at(half, lambda: answer(result))
            ),
        )

    def start(self, task: Task, attempt: int, lease: float, reply) -> None:
        """Starts a run, unless it is there or not above an ended one."""
        world, number = self._world, task.number
        self._renew(lease)
        if self.runs.get(number) == attempt:
            reply("done")
        elif attempt <= self._highest.get(number, 0):
            reply("old")
        elif lease <= world.now:
            reply("late")
        else:
            # An end that was read proves the run; one whose lease lapsed before
            # it was read does not count.
            if world.running[number] or task.finished_at is not None:
                world.second_runs += 1
            world.running[number] += 1
            self.runs[number] = attempt
            self._highest[number] = attempt
            time = RUN_SECONDS * world.rng.lognormvariate(0.0, 0.4)
            world.at(time, lambda: self._end(number, attempt, "done"))
            reply("done")

    def stop(self, number: int, attempt: int, reply) -> None:
        """Stops a run and rejects its attempt from now on."""
        self._highest[number] = max(self._highest.get(number, 0), attempt)
        self._world.at(
            STOP_SECONDS, lambda: self._end(number, attempt, "stopped")
        )
        reply("done")

    def hold(self, lease: float | None, seen: int, wait: float, reply) -> None:
        """Renews the lease and lists the runs after an end or the wait."""
        if lease is not None:
            self._renew(lease)
        answered = []

        def respond() -> None:
            if not answered:
                answered.append(True)
                reply((dict(self.runs), list(self._ended)))

        if wait and len(self._ended) <= seen:
            self._waiting.append(respond)
            self._world.at(wait, respond)
        else:
            respond()

    def _renew(self, until: float) -> None:
        if until > max(self._lease_until, self._world.now):
            self._lease_until = until
            self._world.at(until - self._world.now + 0.001, self._check_lease)

    def _check_lease(self) -> None:
        if self._world.now > self._lease_until:
            for number, attempt in list(self.runs.items()):
                self._end(number, attempt, "lapsed")

    def _end(self, number: int, attempt: int, how: str) -> None:
        if self.runs.get(number) != attempt:
            return
        del self.runs[number]
        world = self._world
        world.running[number] -= 1
        self._ended.append((number, attempt, how))
        waiting, self._waiting = self._waiting, []
        for respond in waiting:
            respond()


@dataclasses.dataclass
class Run:
    """A run as its agent knows it.

    Attributes:
      task: Its task.
      attempt: Its attempt.
      is_confirmed: Whether a start was answered with "done".
      is_stopping: Whether it is given up.
      confirmed_at: Time of the answer to the start, or to the stop if it is
        given up, after which a list must show the run if it is there.
    """

    task: Task
    attempt: int
    is_confirmed: bool = False
    is_stopping: bool = False
    confirmed_at: float = float("inf")


class Agent:
    """Starts runs at one executor and reads their ends."""

    def __init__(self, world: World, executor: Executor) -> None:
        self._world = world
        self._executor = executor
        self._runs: dict[int, Run] = {}
        self._seen = 0
        self._lease_until = 0.0
        self._answered_at = 0.0
        self._is_responsive = True
        self._open_holds = 0

    @property
    def room(self) -> int:
        """Places that no run takes."""
        return PLACES - len(self._runs)

    def start(self, task: Task) -> None:
        """Starts the next attempt of a task."""
        task.attempt += 1
        run = Run(task, task.attempt)
        self._runs[task.number] = run
        self._send_start(run, is_copy=False)

    def _renewed(self) -> float:
        until = self._world.now + LEASE_SECONDS
        self._lease_until = until
        return until

    def _is_open(self, run: Run) -> bool:
        return self._runs.get(run.task.number) is run

    def _call(self, kind: str, limit: float, action, on_answer, on_silence):
        """Sends a call; exactly one of the two functions is called."""
        self._world.calls[kind] += 1
        state: list[str] = []

        def answer(result) -> None:
            if not state:
                state.append("answered")
                on_answer(result)

        def expire() -> None:
            if not state:
                state.append("expired")
                on_silence()

        self._executor.call(action, answer)
        self._world.at(limit, expire)

    def _send_start(self, run: Run, is_copy: bool) -> None:
        policy, lease = self._world.policy, self._renewed()
        run.task.orders += 1
        self._call(
            "start",
            policy.call_limit,
            lambda reply: self._executor.start(
                run.task, run.attempt, lease, reply
            ),
            lambda _: self._on_started(run),
            lambda: None if is_copy else self._on_start_silent(run),
        )
        if policy.hedge_after is not None and not is_copy:
            self._world.at(policy.hedge_after, lambda: self._hedge(run))

    def _hedge(self, run: Run) -> None:
        if self._is_open(run) and not run.is_confirmed:
            self._send_start(run, is_copy=True)

    def _on_started(self, run: Run) -> None:
        if not run.is_confirmed:
            run.is_confirmed = True
            run.confirmed_at = self._world.now

    def _on_start_silent(self, run: Run) -> None:
        if not self._is_open(run) or run.is_confirmed:
            return
        if self._world.policy.repeats:
            self._send_start(run, is_copy=False)
        else:
            run.is_stopping = True
            self._send_stop(run)

    def _send_stop(self, run: Run) -> None:
        if not self._is_open(run):
            return
        run.task.orders += 1

        def confirm(_: object) -> None:
            run.confirmed_at = min(run.confirmed_at, self._world.now)

        self._call(
            "stop",
            self._world.policy.call_limit,
            lambda reply: self._executor.stop(
                run.task.number, run.attempt, reply
            ),
            confirm,
            lambda: self._send_stop(run),
        )

    def hold(self, is_overdue: bool = False) -> None:
        """Sends holds up to the number that may be open."""
        policy, world = self._world.policy, self._world
        if self._open_holds >= policy.holds:
            return
        self._open_holds += 1
        limit = LEASE_SECONDS / 2.0 + HOLD_WAIT_SECONDS
        may_renew = self._is_responsive
        if policy.holds > 1:
            may_renew = world.now - self._answered_at < limit
        lease = self._renewed() if may_renew else None
        wait = 0.0 if is_overdue else HOLD_WAIT_SECONDS
        if policy.holds > 1 and not is_overdue:
            wait /= policy.holds
            # The next hold overlaps with this one if its answer is overdue.
            overdue = wait + 2.0 * ROUND_TRIP_SECONDS
            world.at(overdue, lambda: self._overlap(sent_at))
        seen, sent_at = self._seen, world.now
        self._call(
            "hold",
            wait + policy.call_limit,
            lambda reply: self._executor.hold(lease, seen, wait, reply),
            lambda listed: self._on_list(sent_at, *listed),
            self._on_hold_silent,
        )

    def _overlap(self, sent_at: float) -> None:
        if self._answered_at < sent_at:
            self.hold(is_overdue=True)

    def _on_hold_silent(self) -> None:
        self._open_holds -= 1
        self._is_responsive = False
        self._check_lapse()
        if self._world.policy.holds > 1:
            self.hold(is_overdue=True)
        else:
            self._world.at(FAILED_HOLD_PAUSE_SECONDS, self.hold)

    def _check_lapse(self) -> None:
        if self._world.now > self._lease_until + STOP_SECONDS:
            for run in list(self._runs.values()):
                self._lose(run)

    def _on_list(
        self,
        sent_at: float,
        running: dict[int, int],
        ended: list[tuple[int, int, str]],
    ) -> None:
        self._open_holds -= 1
        self._is_responsive = True
        if len(ended) >= self._seen:
            self._answered_at = self._world.now
            for number, attempt, how in ended[self._seen :]:
                self._on_end(number, attempt, how)
            self._seen = len(ended)
            for run in list(self._runs.values()):
                is_known = run.confirmed_at <= sent_at
                if is_known and running.get(run.task.number) != run.attempt:
                    self._lose(run)
        self.hold()

    def _on_end(self, number: int, attempt: int, how: str) -> None:
        run = self._runs.get(number)
        if run is None or run.attempt != attempt:
            return
        if how != "done":
            self._lose(run)
            return
        del self._runs[number]
        run.task.finished_at = self._world.now
        self._world.place()

    def _lose(self, run: Run) -> None:
        del self._runs[run.task.number]
        self._world.runs_lost += 1
        self._world.waiting.append(run.task)
        self._world.place()


def _quantile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def measure(
    policy: Policy, shares: list[float], seed: int, seconds: float
) -> dict[str, float]:
    """Returns the figures of one run.

    Args:
      policy: The policy.
      shares: Share of lost calls of each executor, from 0 to 1.
      seed: Seed of the tasks and losses.
      seconds: Time during which tasks arrive.
    """
    world = World(policy, shares, seed, seconds)
    world.run()
    tasks = world.tasks
    times = [
        (task.finished_at or world.now) - task.submitted_at for task in tasks
    ]
    return {
        "p50": _quantile(times, 0.5),
        "p99": _quantile(times, 0.99),
        "orders": sum(task.orders for task in tasks) / len(tasks),
        "holds": world.calls["hold"] / len(shares) / seconds,
        "lost": world.runs_lost / len(tasks),
        "second": world.second_runs,
        "unfinished": sum(task.finished_at is None for task in tasks),
    }


def main() -> None:
    """Prints a table of all policies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--executors", type=int, nargs="+", default=[11])
    parser.add_argument(
        "--shares", type=float, nargs="+", default=[0.02, 0.1, 0.3, 0.5, 0.8]
    )
    parser.add_argument(
        "--lossy-third",
        action="store_true",
        help=f"lose {LOSSY_SHARE} of the calls at each third executor",
    )
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for count, share in itertools.product(options.executors, options.shares):
        shares = [share] * count
        if options.lossy_third:
            shares[::3] = [LOSSY_SHARE] * len(shares[::3])
        for name, policy in POLICIES.items():
            figures = measure(policy, shares, options.seed, options.seconds)
            text = " ".join(
                f"{key} {round(value, 3)}" for key, value in figures.items()
            )
            sys.stdout.write(f"{count:4} {share:5} {name:18} {text}\n")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
