"""Load generator: submits jobs open-loop or closed-loop, validates answers.

Run it with `python -m gypsumline.testing.caller --entries URL,URL`; it prints
one JSON report. The load is limited in time, in jobs and in open jobs.
"""

from __future__ import annotations

import asyncio
import collections
import enum
import json
import random
import time
from collections.abc import Iterable

import aiohttp
import pydantic
import pydantic_settings
import uvloop
from hdrh.histogram import HdrHistogram

from gypsumline.testing.job_client import (
    COMPLETE,
    NOT_RUN,
    Job,
    JobClient,
    JobRecord,
)
from gypsumline.testing.run_times import find_distribution

_HISTOGRAM_MAX_MICROSECONDS = 300_000_000
_SIGNIFICANT_DIGITS = 3
_MICROSECONDS_PER_SECOND = 1_000_000
_MICROSECONDS_PER_MILLISECOND = 1_000
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_READINESS_TIMEOUT_SECONDS = 0.5


class LoadMode(enum.StrEnum):
    """Rule by which the next job is submitted."""

    OPEN = "open"
    CLOSED = "closed"


class CallerSettings(pydantic_settings.BaseSettings):
    """Load to generate; times in seconds.

    Attributes:
      entries: Base URLs of the entries, with commas between.
      mode: Open-loop submits at random times at a rate; closed-loop keeps a
        number of jobs open.
      rate: Jobs per second of the open loop.
      concurrency: Open jobs of the closed loop.
      seconds: Time during which jobs are submitted.
      jobs: Most jobs that are submitted.
      most_open: Most open jobs of the open loop; further ones are skipped and
        counted.
      lowest_tasks: Fewest tasks of a job.
      highest_tasks: Most tasks of a job.
      distribution: Name of the distribution of run times.
      run_time: Mean run time of a task.
      declared_error: Declared run times are off by up to this factor.
      timeout: Time until the deadline of each job.
      repeatable: Marks the jobs of one task as repeatable.
      service: Service of all jobs.
      clients: Names of the clients, chosen at random, with commas between.
      kind: Kind of all tasks.
      health_interval: Entries that do not answer /readyz are left out, as a
        balancer does; 0 sends to all.
      reuse_connections: Whether connections carry more than one request.
      seed: Seed of all choices.
    """

    model_config = pydantic_settings.SettingsConfigDict(
        cli_kebab_case=True, cli_implicit_flags=True, extra="forbid"
    )

    entries: str = "http://127.0.0.1:8080"
    mode: LoadMode = LoadMode.CLOSED
    rate: float = pydantic.Field(default=50.0, gt=0, le=20_000)
    concurrency: int = pydantic.Field(default=8, ge=1, le=2000)
    seconds: float = pydantic.Field(default=10.0, gt=0, le=3600)
    jobs: int = pydantic.Field(default=100_000, ge=1, le=1_000_000)
    most_open: int = pydantic.Field(default=1000, ge=1, le=10_000)
    lowest_tasks: int = pydantic.Field(default=1, ge=1, le=720)
    highest_tasks: int = pydantic.Field(default=1, ge=1, le=720)
    distribution: str = "fixed"
    run_time: float = pydantic.Field(default=0.05, ge=0, le=60)
    declared_error: float = pydantic.Field(default=1.0, ge=1)
    timeout: float = pydantic.Field(default=10.0, gt=0, le=60)
    repeatable: bool = False
    service: str = "ordering"
    clients: str = "attica-homes"
    kind: str = "card"
    health_interval: float = pydantic.Field(default=0.0, ge=0)
    reuse_connections: bool = True
    seed: int = 1


class Caller:
    """Generates one load and records the result of each job.

    Attributes:
      records: Results of the jobs, in the order in which they ended.
      skipped: Number of jobs not submitted because too many were open.
      client: Client that submits the jobs.
    """

    def __init__(
        self, settings: CallerSettings, session: aiohttp.ClientSession
    ) -> None:
        self.records: list[JobRecord] = []
        self.skipped = 0
        self._settings = settings
        self._session = session
        self._rng = random.Random(settings.seed)
        self._distribution = find_distribution(settings.distribution)
        self._clients = settings.clients.split(",")
        self._all_entries = settings.entries.split(",")
        self._submitted = 0
        self._is_stopped = False
        self.client = JobClient(session, self._all_entries, self._rng)

    async def run(self) -> None:
        """Submits jobs until the limit of time or jobs is reached.

        Returns once each job has a final answer or its deadline has passed.
        """
        health_check = asyncio.create_task(self._check_health())
        try:
            if self._settings.mode is LoadMode.OPEN:
                await self._run_open()
            else:
                await self._run_closed()
        finally:
            health_check.cancel()

    def stop(self) -> None:
        """Stops submitting jobs; open jobs continue."""
        self._is_stopped = True

    def report(self) -> dict[str, object]:
        """Returns the report: counts, and response times in milliseconds."""
        complete = [r for r in self.records if r.outcome == COMPLETE]
        refused = [r for r in self.records if r.outcome == NOT_RUN]
        outcomes = collections.Counter(r.outcome for r in self.records)
        reasons = collections.Counter(
            f"{r.outcome}: {r.reason}" for r in self.records if r.reason
        )
        return {
            "jobs": len(self.records),
            "tasks": sum(r.tasks for r in self.records),
            "outcomes": dict(outcomes),
            "reasons": dict(reasons),
            "wrong": sum(r.is_wrong for r in self.records),
            "partial": sum(r.is_partial for r in self.records),
            "requests": sum(r.requests for r in self.records),
            "errors": dict(self.client.errors),
            "cut": len(self.client.lost_connections),
            "skipped": self.skipped,
            "response_ms": summarize(r.seconds for r in complete),
            "refusal_ms": summarize(r.seconds for r in refused),
        }

    async def _run_closed(self) -> None:
        stops_at = time.monotonic() + self._settings.seconds
        submitters = range(self._settings.concurrency)
        async with asyncio.TaskGroup() as group:
            for _ in submitters:
                group.create_task(self._submit_until(stops_at))

    async def _submit_until(self, stops_at: float) -> None:
        while time.monotonic() < stops_at and self._may_submit():
            self.records.append(await self.client.submit(self._make_job()))

    async def _run_open(self) -> None:
        due = time.monotonic()
        stops_at = due + self._settings.seconds
        open_tasks: set[asyncio.Task[None]] = set()
        async with asyncio.TaskGroup() as group:
            while True:
                due += self._rng.expovariate(self._settings.rate)
                if due >= stops_at or not self._may_submit():
                    break
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                if len(open_tasks) >= self._settings.most_open:
                    self.skipped += 1
                    continue
                task = group.create_task(self._submit_due(due))
                open_tasks.add(task)
                task.add_done_callback(open_tasks.discard)

    async def _submit_due(self, due: float) -> None:
        # The response time is measured from the due time. Otherwise a generator
        # that falls behind would hide waiting time (coordinated omission).
        delay = time.monotonic() - due
        record = await self.client.submit(self._make_job())
        record.seconds += max(0.0, delay)
        self.records.append(record)

    def _may_submit(self) -> bool:
        self._submitted += 1
        return not self._is_stopped and self._submitted <= self._settings.jobs

    def _make_job(self) -> Job:
        settings = self._settings
        count = self._rng.randint(settings.lowest_tasks, settings.highest_tasks)
        run_times = tuple(
            round(self._distribution(self._rng, settings.run_time), 4)
            for _ in range(count)
        )
        return Job(
            service=settings.service,
            client=self._rng.choice(self._clients),
            kind=settings.kind,
            run_times=run_times,
            declared=tuple(self._declared_run_time(r) for r in run_times),
            timeout=settings.timeout,
            repeatable=settings.repeatable and count == 1,
        )

    def _declared_run_time(self, run_time: float) -> float:
        error = self._settings.declared_error
        return round(run_time * error ** self._rng.uniform(-1, 1), 4)

    async def _check_health(self) -> None:
        interval = self._settings.health_interval
        while interval:
            ready = await asyncio.gather(
                *(self._is_ready(entry) for entry in self._all_entries)
            )
            ready_entries = [
                entry
                for entry, is_ready in zip(
                    self._all_entries, ready, strict=True
                )
                if is_ready
            ]
            self.client.entries = ready_entries or self._all_entries
            await asyncio.sleep(interval)

    async def _is_ready(self, entry: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=_READINESS_TIMEOUT_SECONDS)
        try:
            async with self._session.get(
                f"{entry}/readyz", timeout=timeout
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False


def summarize(seconds: Iterable[float]) -> dict[str, float]:
    """Returns count, mean, percentiles and maximum in milliseconds.

    Args:
      seconds: Durations in seconds.
    """
    histogram = HdrHistogram(
        1, _HISTOGRAM_MAX_MICROSECONDS, _SIGNIFICANT_DIGITS
    )
    for value in seconds:
        histogram.record_value(max(1, round(value * _MICROSECONDS_PER_SECOND)))
    count = histogram.get_total_count()
    if not count:
        return {"count": 0}
    summary: dict[str, float] = {"count": count}
    summary["mean"] = round(
        histogram.get_mean_value() / _MICROSECONDS_PER_MILLISECOND, 3
    )
    for percentile in _PERCENTILES:
        value = histogram.get_value_at_percentile(percentile)
        summary[f"p{percentile:g}"] = round(
            value / _MICROSECONDS_PER_MILLISECOND, 3
        )
    summary["max"] = round(
        histogram.get_max_value() / _MICROSECONDS_PER_MILLISECOND, 3
    )
    return summary


def make_session(settings: CallerSettings) -> aiohttp.ClientSession:
    """Returns a session without a limit on connections."""
    connector = aiohttp.TCPConnector(
        limit=0, force_close=not settings.reuse_connections
    )
    return aiohttp.ClientSession(connector=connector)


async def run_load(settings: CallerSettings) -> dict[str, object]:
    """Generates one load and returns its report."""
    async with make_session(settings) as session:
        caller = Caller(settings, session)
        await caller.run()
        return caller.report()


def main() -> None:
    """Generates one load and prints its report."""
    settings = pydantic_settings.CliApp.run(CallerSettings)
    print(json.dumps(uvloop.run(run_load(settings)), indent=2))


if __name__ == "__main__":
    main()
