"""Job streams and executors for the models in virtual time.

Work is the run time of a task on an executor of speed 1, in seconds.
"""

from __future__ import annotations

import dataclasses
import math
import random

from gypsumline.core.task import JobBody, TaskSpec

SERVICE = "ordering"
LARGEST_JOB_TASKS = 720
# Shape of the bounded Pareto distribution of the tasks per job.
JOB_SIZE_SHAPE = 1.1
SHORTEST_WORK = 0.1
LONGEST_WORK = 12.0
# A declared run time is wrong by up to this factor either way.
DECLARED_ERROR = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Work of one kind of task, lognormal.

    Attributes:
      name: Name of the kind.
      median: Median work, in seconds.
      sigma: Standard deviation of ln(work).
    """

    name: str
    median: float
    sigma: float


KINDS = (
    Kind("label", 0.15, 0.3),
    Kind("card", 0.3, 0.5),
    Kind("proof", 0.6, 0.7),
    Kind("sheet", 1.0, 0.9),
)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamJob:
    """One job of a stream.

    Attributes:
      key: Name of the job.
      arrives_at: When the client sends it, in seconds of virtual time.
      works: True work of each task.
      body: What the client declares.
    """

    key: str
    arrives_at: float
    works: tuple[float, ...]
    body: JobBody


@dataclasses.dataclass(frozen=True, slots=True)
class Executor:
    """One executor of the model."""

    name: str
    zone: str
    slots: int
    speed: float


def make_executors(count: int, zones: int, slots: int = 8) -> list[Executor]:
    """Returns executors whose speeds are spread evenly in ratio over 1:4."""
    last = max(1, count - 1)
    # A stride that is prime to the count mixes the speeds over the zones.
    stride = 7 if count % 7 else 11
    return [
        Executor(
            name=f"exec-{number}",
            zone=f"zone-{number % zones}",
            slots=slots,
            speed=4.0 ** ((number * stride % count) / last),
        )
        for number in range(count)
    ]


def capacity(executors: list[Executor]) -> float:
    """Returns the work per second that all slots do."""
    return sum(executor.slots * executor.speed for executor in executors)


class JobStream:
    """Makes jobs with heavy-tailed sizes and run times from a seed."""

    def __init__(self, seed: int, clients: int = 5) -> None:
        self._rng = random.Random(f"jobs-{seed}")
        self._bias = {
            f"client-{number}": self._rng.uniform(-0.6, 0.6)
            for number in range(clients)
        }
        self._clients = sorted(self._bias)
        self._count = 0

    def poisson(
        self,
        work_per_second: float,
        seconds: float,
        timeout: float = 60.0,
        start: float = 0.0,
    ) -> list[StreamJob]:
        """Returns jobs that bring a mean work per second.

        The times are scaled after the draw so that the mean is met exactly;
        with heavy tails a draw alone misses it by 10% or more.
        """
        jobs: list[StreamJob] = []
        now = start
        mean = mean_work_per_job()
        while True:
            now += self._rng.expovariate(work_per_second / mean)
            if now >= start + seconds:
                break
            jobs.append(self.make(now, timeout))
        total = sum(sum(job.works) for job in jobs)
        scale = total / (work_per_second * seconds)
        return [
            dataclasses.replace(
                job, arrives_at=start + (job.arrives_at - start) * scale
            )
            for job in jobs
        ]

    def make(
        self,
        now: float,
        timeout: float,
        client: str | None = None,
        tasks: int | None = None,
    ) -> StreamJob:
        """Returns one job; client and number of tasks are drawn if absent."""
        rng = self._rng
        self._count += 1
        client = client or rng.choice(self._clients)
        count = tasks or _draw_size(rng)
        kinds = rng.choices(KINDS, weights=(3, 4, 2, 1), k=1 + (count > 8))
        works: list[float] = []
        specs: list[TaskSpec] = []
        for index in range(count):
            kind = kinds[index % len(kinds)]
            work = _draw_work(rng, kind)
            works.append(work)
            specs.append(
                TaskSpec(
                    index=index,
                    kind=kind.name,
                    declared_run_time=work * self._error(client),
                )
            )
        body = JobBody(
            service=SERVICE, client=client, tasks=tuple(specs), timeout=timeout
        )
        return StreamJob(f"job-{self._count}", now, tuple(works), body)

    def _error(self, client: str) -> float:
        noise = self._rng.uniform(-0.6, 0.6)
        exponent = self._bias.get(client, 0.0) + noise
        return DECLARED_ERROR ** max(-1.0, min(1.0, exponent))


def _draw_size(rng: random.Random) -> int:
    highest = LARGEST_JOB_TASKS + 1.0
    ratio = highest**-JOB_SIZE_SHAPE
    part = 1.0 - rng.random() * (1.0 - ratio)
    return min(LARGEST_JOB_TASKS, int(part ** (-1.0 / JOB_SIZE_SHAPE)))


def _draw_work(rng: random.Random, kind: Kind) -> float:
    work = rng.lognormvariate(math.log(kind.median), kind.sigma)
    return max(SHORTEST_WORK, min(LONGEST_WORK, work))


def mean_work_per_job(samples: int = 40_000) -> float:
    """Returns the mean work of a job, by sampling with a fixed seed."""
    if samples not in _MEAN_WORK:
        rng = random.Random(0)
        sizes = sum(_draw_size(rng) for _ in range(samples)) / samples
        weights = (0.3, 0.4, 0.2, 0.1)
        work = sum(
            weight * sum(_draw_work(rng, kind) for _ in range(5000)) / 5000
            for kind, weight in zip(KINDS, weights, strict=True)
        )
        _MEAN_WORK[samples] = sizes * work
    return _MEAN_WORK[samples]


_MEAN_WORK: dict[int, float] = {}
