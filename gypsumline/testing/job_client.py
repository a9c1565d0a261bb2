"""Submits jobs with retries and validates their answers.

After a connection error, an unknown outcome or an answer without an outcome,
the job is sent to another entry under the same key, until its deadline. Times
are taken from the monotonic clock, because the clock of a uvloop event loop has
a resolution of only 1 ms.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import time
from collections.abc import Sequence

import aiohttp

from gypsumline.core.submissions.submission_key import generate_key
from gypsumline.testing.start_log import boot_time

RUNNING = "running"
COMPLETE = "complete"
NOT_RUN = "failed_not_run"
UNKNOWN = "outcome_unknown"
REJECTED = "rejected"
DEADLINE = "no_answer"

_BACKOFF_MIN_SECONDS = 0.05
_BACKOFF_MAX_SECONDS = 1.0
# An answer that is sent at the deadline needs time to arrive.
_DEADLINE_GRACE_SECONDS = 2.0
_REJECTION_STATUSES = (400, 404, 413)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """One job to submit.

    Attributes:
      service: Name of the service.
      client: Name of the client.
      kind: Kind of all its tasks.
      run_times: Run time of each task in seconds.
      declared: Declared run time of each task in seconds.
      timeout: Seconds until the deadline.
      repeatable: Whether its tasks may run more than once.
      key: Submission key.
    """

    service: str
    client: str
    kind: str
    run_times: tuple[float, ...]
    declared: tuple[float, ...]
    timeout: float
    repeatable: bool = False
    key: str = dataclasses.field(default_factory=generate_key)

    def expected_values(self) -> list[object]:
        """Returns the task values of a complete answer, in order."""
        return [
            {"key": self.key, "index": index}
            for index in range(len(self.run_times))
        ]

    def body(self, time_left: float) -> dict[str, object]:
        """Returns the request body.

        Args:
          time_left: Seconds until the deadline of the job.
        """
        values = self.expected_values()
        times = zip(self.run_times, self.declared, values, strict=True)
        return {
            "service": self.service,
            "client": self.client,
            "tasks": [
                {
                    "kind": self.kind,
                    "payload": {"run_time": run_time, "value": value},
                    "size": 100,
                    "run_time": declared,
                }
                for run_time, declared, value in times
            ],
            "timeout": time_left,
            "repeatable": self.repeatable,
        }


@dataclasses.dataclass(slots=True, kw_only=True)
class JobRecord:
    """Result of one job as its caller saw it.

    Attributes:
      key: Submission key.
      outcome: Outcome in the last answer; `REJECTED` for an invalid request;
        `DEADLINE` if no final answer arrived in time.
      reason: Reason in the last answer.
      detail: Detail in the last answer.
      seconds: Time until the last request ended, from the start of `submit`;
        the open loop of `Caller` counts from the due time.
      tasks: Number of tasks.
      requests: Number of requests sent.
      entry: Base URL of the entry that got the last request.
      is_wrong: Whether a complete answer did not match the job.
      is_partial: Whether an answer had results without being complete.
      retry_after: Retry delay in seconds in the last answer; 0 for none.
    """

    key: str
    tasks: int
    outcome: str = DEADLINE
    reason: str = ""
    detail: str = ""
    seconds: float = 0.0
    requests: int = 0
    entry: str = ""
    is_wrong: bool = False
    is_partial: bool = False
    retry_after: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LostConnection:
    """Loss of an open connection during a request.

    Attributes:
      entry: Base URL of the entry.
      at: Time in seconds of CLOCK_BOOTTIME.
      error: Name of the error type.
    """

    entry: str
    at: float
    error: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: dict


class JobClient:
    """Submits jobs to entries, choosing one at random for each request.

    Attributes:
      entries: Base URLs to choose from; may change at any time.
      errors: Number of requests without an answer, by error type.
      lost_connections: Requests whose open connection was lost.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        entries: Sequence[str],
        rng: random.Random,
    ) -> None:
        self.entries = list(entries)
        self.errors: collections.Counter[str] = collections.Counter()
        self.lost_connections: list[LostConnection] = []
        self._session = session
        self._rng = rng

    async def submit(self, job: Job) -> JobRecord:
        """Submits a job until a final answer or its deadline."""
        started_at = time.monotonic()
        deadline = started_at + job.timeout
        record = JobRecord(key=job.key, tasks=len(job.run_times))
        backoff = _BACKOFF_MIN_SECONDS
        while True:
            time_left = deadline - time.monotonic()
            if time_left <= 0:
                return record
            record.entry = self._choose_entry(record.entry)
            record.requests += 1
            answer = await self._post_job(job, record.entry, time_left)
            record.seconds = time.monotonic() - started_at
            if answer is not None and _apply_answer(record, job, answer):
                return record
            delay = max(backoff, record.retry_after)
            await asyncio.sleep(
                min(delay, max(0.0, deadline - time.monotonic()))
            )
            backoff = min(2 * backoff, _BACKOFF_MAX_SECONDS)

    def _choose_entry(self, last: str) -> str:
        others = [entry for entry in self.entries if entry != last]
        return self._rng.choice(others or [last])

    async def _post_job(
        self, job: Job, entry: str, time_left: float
    ) -> _Answer | None:
        limit = time_left + _DEADLINE_GRACE_SECONDS
        try:
            async with self._session.post(
                f"{entry}/v1/jobs",
                params={"wait": f"{time_left:.3f}"},
                headers={"Idempotency-Key": job.key},
                json=job.body(time_left),
                timeout=aiohttp.ClientTimeout(total=limit),
            ) as response:
                body = await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self._count_error(entry, error)
            return None
        return _Answer(response.status, body if isinstance(body, dict) else {})

    def _count_error(self, entry: str, error: Exception) -> None:
        self.errors[type(error).__name__] += 1
        was_connected = not isinstance(error, aiohttp.ClientConnectorError)
        if was_connected and isinstance(error, aiohttp.ClientError):
            self.lost_connections.append(
                LostConnection(entry, boot_time(), type(error).__name__)
            )


def _apply_answer(record: JobRecord, job: Job, answer: _Answer) -> bool:
    """Copies an answer into the record; returns whether it is final."""
    body = answer.body
    outcome = body.get("outcome")
    record.reason = str(body.get("reason", ""))
    record.detail = str(body.get("detail", ""))
    record.retry_after = _as_seconds(body.get("retry_after"))
    if outcome is None:
        if answer.status in _REJECTION_STATUSES:
            record.outcome = REJECTED
            return True
        return False
    results = body.get("results") or []
    if outcome == COMPLETE:
        record.is_wrong = record.is_wrong or not _matches_job(job, body)
    elif results:
        record.is_partial = True
    if outcome == RUNNING:
        return False
    record.outcome = str(outcome)
    return outcome != UNKNOWN


def _matches_job(job: Job, body: dict) -> bool:
    results = body.get("results") or []
    indexes = [result.get("index") for result in results]
    values = [result.get("value") for result in results]
    return (
        body.get("key") == job.key
        and indexes == list(range(len(job.run_times)))
        and values == job.expected_values()
    )


def _as_seconds(value: object) -> float:
    return float(value) if isinstance(value, int | float) else 0.0
