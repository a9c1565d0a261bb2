"""Load patterns for leased submissions in virtual time, without a network.

Run `python -m properties.lease_load --pattern burst_of_large_jobs --seed 1`.
Figures of a particular site are parameters here and not part of the product.
"""

from __future__ import annotations

import argparse
import dataclasses
import math
import random
import sys
from collections.abc import Callable

from gypsumline.core.leases.effects import JobOutcome
from gypsumline.core.leases.job import JobRequest, JobStep, QueueRules
from gypsumline.core.leases.resources import Resources
from properties.lease_executor import CAPACITY, Executor
from properties.lease_world import LEASE, LeaseWorld

# (speed, relative capacity), assigned to the executors in rotation.
EXECUTOR_SPEEDS_AND_SIZES = ((0.6, 1.0), (1.0, 1.0), (1.6, 1.5))
# Standard deviation of the logarithm of the run times within a job.
RUN_TIME_SIGMA = 0.15
# Time from the start of a culprit to the crash of its executor.
CULPRIT_CRASH_SECONDS = 0.01
# Share of the objective within which a refusal still helps the caller.
QUICK_REFUSAL_SHARE = 0.25
PATTERNS: dict[str, Callable[[LoadWorld, float], float]] = {}


@dataclasses.dataclass(frozen=True)
class JobClass:
    """Jobs of one queue.

    Attributes:
      queue: Rules of the queue.
      mean_run_time: Mean run time of a task at speed 1, in seconds.
      mean_tasks: Mean number of tasks.
      value: Value of an answer in time.
      share: Share of all jobs.
    """

    queue: QueueRules
    mean_run_time: float
    mean_tasks: int
    value: float
    share: float


def _queue(name, priority):
    return QueueRules(
        name=name,
        service="ordering",
        priority=priority,
        attempts=3,
        stretch=1.6,
        latency=0.06,
    )


CLASSES = (
    JobClass(_queue("previews", 0), 0.12, 8, 0.0291, 0.245),
    JobClass(_queue("orders", 2), 1.8, 4, 0.16, 0.044),
    JobClass(_queue("labels", 1), 0.4, 2, 0.01, 0.711),
)


def run_time_factor(task):
    """Returns the random factor on the run time of one task of a job."""
    return random.Random(task).lognormvariate(0.0, RUN_TIME_SIGMA)


class LoadExecutor(Executor):
    """Simulated executor with its own speed, which runs tasks to their end."""

    poll_interval = 0.003
    run_speed = 1.0

    def _start(self, order, is_delayed):
        answer = super()._start(order, is_delayed)
        run = self.runs.get(order.task)
        if run is not None and run.attempt == order.attempt:
            work = self.world.work.get(order.task.partition(".")[0], 0.2)
            time = work * run_time_factor(order.task) / self.run_speed
            run.ends_at = self.world.now + time
            run.outcome = "done"
        return answer


@dataclasses.dataclass
class CallerResults:
    """Results of the callers of one queue or entry.

    Attributes:
      submitted: Number of submitted jobs.
      in_time: Number of answers within the objective.
      late: Number of later answers within three times the objective.
      refused: Number of refusals.
      late_refusal_value: Value of jobs that were refused late.
      possible: Value of all submitted jobs.
      earned: Value of the answers.
      delays: Response times of the completed jobs, relative to the objective.
    """

    submitted: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    late_refusal_value: float = 0.0
    possible: float = 0.0
    earned: float = 0.0
    delays: list[float] = dataclasses.field(default_factory=list)


class LoadWorld(LeaseWorld):
    """Simulation of owners and agents under a load pattern."""

    delays = (0.001,)
    order_limits = (LEASE.order_timeout_min,)

    def __init__(self, seed, entries=3, agents=11, rate=60.0):
        super().__init__(seed, entries=entries, agents=agents)
        self.rate = rate
        # A separate generator, so that different policies get the same jobs.
        self.arrivals = random.Random(seed)
        self.work = {}
        self.by_queue = {
            job_class.queue.name: CallerResults() for job_class in CLASSES
        }
        self.by_entry = {name: CallerResults() for name in self.entries}
        self.open_jobs = {}
        self.pattern = None
        self.entry_weights = [1.0] * entries
        self.ends_at = math.inf
        self.classes = CLASSES
        # Share of the jobs of the first class with a task that crashes its
        # executors, shortly after it has started.
        self.culprit_share = 0.0
        # Number of queues that have culprits, from the first class.
        self.poisoned_queues = 1
        self.poisoned_share = 0.1
        self.culprit_jobs = set()
        self.given_up = 0
        self.innocents_failed = 0
        self.crash_downtime = 3.3
        # Seconds in which an executor has crashed by itself.
        self.crashed_in = set()

    def make_executor(self, name, zone):
        executor = LoadExecutor(self, name, zone)
        executor.is_renamed = True
        executor.run_speed, size = EXECUTOR_SPEEDS_AND_SIZES[
            len(self.executors) % len(EXECUTOR_SPEEDS_AND_SIZES)
        ]
        executor.capacity = Resources(
            processor=int(size * CAPACITY.processor), memory=CAPACITY.memory
        )
        return executor

    def start_arrivals(self):
        """Starts the arrivals of jobs."""
        self.at(0.0, self._arrival)

    def _arrival(self):
        if self.now >= self.ends_at:
            return
        factor = self.pattern(self, self.now) if self.pattern else 1.0
        self.at(self.arrivals.expovariate(self.rate * factor), self._arrival)
        shares = [c.share for c in self.classes]
        (job_class,) = self.arrivals.choices(self.classes, shares)
        self.submit_class(job_class)

    def submit_class(self, job_class):
        """Submits a job of a class to a random entry."""
        rng = self.arrivals
        key = f"{next(self._key):016x}"
        work = job_class.mean_run_time * rng.lognormvariate(0.0, 0.4)
        count = max(
            1, round(job_class.mean_tasks * rng.lognormvariate(-0.08, 0.4))
        )
        is_poisoned = job_class in self.classes[: self.poisoned_queues]
        if is_poisoned and rng.random() < self.culprit_share:
            self.culprits[f"{key}.0.0.0"] = CULPRIT_CRASH_SECONDS
            self.culprit_jobs.add(key)
        self.work[key] = work
        self.sizes[key] = int(775 * rng.uniform(0.8, 1.2))
        step = JobStep(
            count=count,
            resources=Resources(processor=self.sizes[key], memory=8),
            run_time=work * rng.lognormvariate(0.0, 0.4),
        )
        request = JobRequest(
            key=key,
            spec="s",
            queue=job_class.queue,
            steps=(step,),
            timeout=10.0,
        )
        names = sorted(self.entries)
        (name,) = rng.choices(names, self.entry_weights)
        node = self.entries[name]
        size = 0.3 + 0.7 * min(
            4.0, work * count / job_class.mean_run_time / 4.0
        )
        value = job_class.value * size
        longest = max(run_time_factor(f"{key}.0.0.{n}") for n in range(count))
        rules = job_class.queue
        objective = rules.stretch * work * longest + rules.latency
        if key in self.culprit_jobs:
            value = 0.0
        for results in (
            self.by_queue[job_class.queue.name],
            self.by_entry[name],
        ):
            results.submitted += value > 0.0
            results.possible += value
        self.open_jobs[key] = (job_class, name, self.now, objective, value)
        node.callers[key] = (step, 0.0)
        self._submit(node, request)

    def _answer(self, node, ended):
        node.callers.pop(ended.key, None)
        found = self.open_jobs.pop(ended.key, None)
        if found is None:
            return
        job_class, name, submitted_at, objective, value = found
        if ended.outcome is JobOutcome.FAILED:
            self.oracle.check_failed_job(
                ended.key, job_class.queue.attempts, self.now
            )
        if ended.key in self.culprit_jobs:
            self.given_up += ended.outcome is JobOutcome.FAILED
            return
        self.innocents_failed += ended.outcome is JobOutcome.FAILED
        response_time = self.now - submitted_at
        for results in (
            self.by_queue[job_class.queue.name],
            self.by_entry[name],
        ):
            if ended.outcome is JobOutcome.COMPLETED:
                results.delays.append(response_time / objective)
            if ended.outcome is not JobOutcome.COMPLETED:
                results.refused += 1
                if response_time > QUICK_REFUSAL_SHARE * objective:
                    results.late_refusal_value += value
            elif response_time <= objective:
                results.in_time += 1
                results.earned += value
            elif response_time <= 3.0 * objective:
                results.late += 1
                results.earned += 0.2 * value

    @property
    def value_share(self):
        """Share of the possible value that was earned."""
        results = self.by_queue.values()
        return sum(s.earned for s in results) / sum(s.possible for s in results)

    @property
    def late_refusal_share(self):
        """Share of the possible value whose jobs were refused late."""
        results = self.by_queue.values()
        late = sum(s.late_refusal_value for s in results)
        return late / sum(s.possible for s in results)


def load_pattern(function):
    """Registers a load pattern under its function's name."""
    PATTERNS[function.__name__] = function
    return function


@load_pattern
def steady(world, now):
    """Keeps the load constant."""
    return 1.0


@load_pattern
def burst_of_large_jobs(world, now):
    """Submits the longest jobs four times as often for 4 s."""
    is_burst = 5.0 <= now % 20.0 < 9.0
    orders = dataclasses.replace(
        CLASSES[1], share=CLASSES[1].share * (4.0 if is_burst else 1.0)
    )
    world.classes = (CLASSES[0], orders, CLASSES[2])
    return sum(c.share for c in world.classes)


@load_pattern
def burst_of_all(world, now):
    """Submits all jobs 1.6 times as often for 4 s."""
    return 1.6 if 5.0 <= now % 20.0 < 9.0 else 1.0


@load_pattern
def one_entry_gets_most(world, now):
    """Sends most callers to one entry under high load."""
    world.entry_weights = [4.0] + [1.0] * (len(world.entries) - 1)
    return 1.25


@load_pattern
def zone_leaves(world, now):
    """Excludes a third of the agents from second 5 to second 15."""
    zones = ("south",) if 5.0 <= now < 15.0 else ()
    if zones != world.zones.zones:
        world.set_zones(zones)
    return 1.0


@load_pattern
def jobs_that_crash_executors(world, now):
    """Makes a tenth of the jobs of one queue crash executors for 10 s."""
    is_poisoned = 5.0 <= now < 15.0
    world.culprit_share = world.poisoned_share if is_poisoned else 0.0
    return 1.0


def _half_of_the_executors(world):
    executors = [world.executors[name] for name in sorted(world.executors)]
    return executors[: len(executors) // 2]


@load_pattern
def half_of_the_executors_silent(world, now):
    """Lets half of the executors answer nothing from second 5 to 8."""
    if 5.0 <= now < 8.0:
        for executor in _half_of_the_executors(world):
            executor.silent_until = 8.0
    return 1.0


@load_pattern
def half_of_the_executors_crash(world, now):
    """Lets half of the executors crash at second 5; they are back at 8."""
    if 5.0 <= now < 8.0:
        for executor in _half_of_the_executors(world):
            if executor.up:
                executor.restart(8.0 - now)
    return 1.0


@load_pattern
def executors_that_crash_by_themselves(world, now):
    """Lets one executor after the other crash, each second from 5 to 15."""
    second = int(now)
    if 5 <= second < 15 and second not in world.crashed_in:
        world.crashed_in.add(second)
        names = sorted(world.executors)
        executor = world.executors[names[second % len(names)]]
        executor.restart(world.crash_downtime)
    return 1.0


def run_pattern(
    name,
    seed,
    seconds=20.0,
    rate=60.0,
    agents=11,
    world_type=LoadWorld,
    **values,
):
    """Simulates a load pattern and returns its world.

    Args:
      name: Name of the pattern.
      seed: Seed of the jobs and delays.
      seconds: Time during which jobs arrive.
      rate: Jobs per second.
      agents: Number of agents.
      world_type: Class of the world.
      **values: Attributes of the world to be set.
    """
    world = world_type(seed, rate=rate, agents=agents)
    vars(world).update(values)
    world.run_until(2.5)
    world.pattern = PATTERNS[name]
    world.ends_at = seconds
    world.start_arrivals()
    # Long enough for the last answers that have any value.
    world.run_until(seconds + 10.0)
    return world


def report(world):
    """Returns the statistics of a world as text lines."""
    crashes = world.oracle.crash_sizes
    lines = [
        f"worth {world.value_share:.3f} "
        f"late refusals {world.late_refusal_share:.3f}",
        f"culprits {len(world.culprit_jobs)} given up {world.given_up} "
        f"crashes {len(crashes)} runs lost {sum(crashes)}",
    ]
    for name, results in [*world.by_queue.items(), *world.by_entry.items()]:
        lines.append(
            f"{name:10} asked {results.submitted:5} "
            f"in time {results.in_time:5} late {results.late:4} "
            f"refused {results.refused:4} "
            f"worth {results.earned / max(results.possible, math.ulp(1.0)):.3f}"
        )
    return "\n".join(lines) + "\n"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--pattern", choices=sorted(PATTERNS), default="steady")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=60.0)
    options = parser.parse_args()
    world = run_pattern(options.pattern, options.seed, rate=options.rate)
    sys.stdout.write(report(world))
    sys.exit(f"{world.oracle.violations[:3]}" if world.oracle.violations else 0)


if __name__ == "__main__":
    main()
