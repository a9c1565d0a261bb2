"""Random job streams and executors for simulations.

The work of a task is its run time on an executor of speed 1, in seconds.
"""

from __future__ import annotations

import dataclasses
import math
import random

from gypsumline.core.task import JobBody, TaskSpec

SERVICE = "ordering"
JOB_TASKS_MAX = 720
# Shape parameter of the bounded Pareto distribution of the tasks per job.
JOB_SIZE_PARETO_SHAPE = 1.1
WORK_MIN_SECONDS = 0.1
WORK_MAX_SECONDS = 12.0
# Declared run times are too long or too short by up to this factor.
DECLARED_ERROR_MAX_FACTOR = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Lognormal distribution of the work of one kind of task.

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
    """Job of a stream.

    Attributes:
      key: Key of the job.
      arrives_at: When the client sends the job, in seconds of virtual time.
      works: Actual work of each task.
      body: Job as declared by the client.
    """

    key: str
    arrives_at: float
    works: tuple[float, ...]
    body: JobBody


@dataclasses.dataclass(frozen=True, slots=True)
class Executor:
    """Simulated executor."""

    name: str
    zone: str
    slots: int
    speed: float


def make_executors(count: int, zones: int, slots: int = 8) -> list[Executor]:
    """Returns executors with speeds from 1 to 4 at equal ratios."""
    last = max(1, count - 1)
    # A stride that is coprime to the count mixes the speeds over the zones.
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
    """Returns the work per second of all slots together."""
    return sum(executor.slots * executor.speed for executor in executors)


class JobStream:
    """Generates jobs with heavy-tailed sizes and run times from a seed."""

    def __init__(self, seed: int, clients: int = 5) -> None:
        self._rng = random.Random(f"jobs-{seed}")
        self._bias_by_client = {
            f"client-{number}": self._rng.uniform(-0.6, 0.6)
            for number in range(clients)
        }
        self._clients = sorted(self._bias_by_client)
        self._count = 0

    def poisson(
        self,
        work_per_second: float,
        seconds: float,
        timeout: float = 60.0,
        start: float = 0.0,
    ) -> list[StreamJob]:
        """Returns jobs with Poisson arrivals and a given mean work per second.

        The arrival times are scaled so that the mean is met exactly: with heavy
        tails, random arrivals alone miss it by 10% or more.
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
        """Returns one job; draws the client and number of tasks if absent."""
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
                    declared_run_time=work * self._draw_error_factor(client),
                )
            )
        body = JobBody(
            service=SERVICE, client=client, tasks=tuple(specs), timeout=timeout
        )
        return StreamJob(f"job-{self._count}", now, tuple(works), body)

    def _draw_error_factor(self, client: str) -> float:
        noise = self._rng.uniform(-0.6, 0.6)
        exponent = self._bias_by_client.get(client, 0.0) + noise
        return DECLARED_ERROR_MAX_FACTOR ** max(-1.0, min(1.0, exponent))


def _draw_size(rng: random.Random) -> int:
    highest = JOB_TASKS_MAX + 1.0
    ratio = highest**-JOB_SIZE_PARETO_SHAPE
    part = 1.0 - rng.random() * (1.0 - ratio)
    return min(JOB_TASKS_MAX, int(part ** (-1.0 / JOB_SIZE_PARETO_SHAPE)))


def _draw_work(rng: random.Random, kind: Kind) -> float:
    work = rng.lognormvariate(math.log(kind.median), kind.sigma)
    return max(WORK_MIN_SECONDS, min(WORK_MAX_SECONDS, work))


def mean_work_per_job(samples: int = 40_000) -> float:
    """Estimates the mean work of a job by sampling with a fixed seed."""
    if samples not in _MEAN_WORK_BY_SAMPLES:
        rng = random.Random(0)
        sizes = sum(_draw_size(rng) for _ in range(samples)) / samples
        weights = (0.3, 0.4, 0.2, 0.1)
        work = sum(
            weight * sum(_draw_work(rng, kind) for _ in range(5000)) / 5000
            for kind, weight in zip(KINDS, weights, strict=True)
        )
        _MEAN_WORK_BY_SAMPLES[samples] = sizes * work
    return _MEAN_WORK_BY_SAMPLES[samples]


_MEAN_WORK_BY_SAMPLES: dict[int, float] = {}
