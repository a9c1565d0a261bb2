"""Tests of the load generator against scripted entries."""

from __future__ import annotations

import contextlib
import random
from collections.abc import AsyncIterator, Callable

import aiohttp
import pytest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from gypsumline.testing.caller import CallerSettings, LoadMode, run_load
from gypsumline.testing.http_server import ConnectionClosedResponse, serve
from gypsumline.testing.job_client import (
    DEADLINE,
    UNKNOWN,
    Job,
    JobClient,
    JobRecord,
)

_Script = Callable[[str, dict], Response]


def _complete(key: str, body: dict) -> Response:
    results = [
        {"index": n, "value": task["payload"]["value"], "run_time": 0.0}
        for n, task in enumerate(body["tasks"])
    ]
    return _answer(key, "complete", 200, results=results)


def _answer(key: str, outcome: str, status: int, **more: object) -> Response:
    return JSONResponse({"key": key, "outcome": outcome, **more}, status)


@contextlib.asynccontextmanager
async def _scripted_entry(
    *scripts: _Script,
) -> AsyncIterator[tuple[str, list[str]]]:
    """Runs an entry whose answers the scripts make.

    The scripts answer one request each, in order; the last one answers all
    further requests.

    Yields:
      Base URL of the entry, and the keys of the requests.
    """
    keys: list[str] = []

    async def post(request: Request) -> Response:
        key = request.headers["Idempotency-Key"]
        script = scripts[min(len(keys), len(scripts) - 1)]
        keys.append(key)
        return script(key, await request.json())

    app = Starlette(routes=[Route("/v1/jobs", post, methods=["POST"])])
    async with serve(app, "127.0.0.1", 0) as port:
        yield f"http://127.0.0.1:{port}", keys


def _job(tasks: int = 3, timeout: float = 5.0) -> Job:
    times = (0.0,) * tasks
    return Job(
        service="s",
        client="c",
        kind="k",
        run_times=times,
        declared=times,
        timeout=timeout,
    )


async def _submit(job: Job, *urls: str) -> tuple[JobRecord, JobClient]:
    async with aiohttp.ClientSession() as session:
        client = JobClient(session, urls, random.Random(1))
        return await client.submit(job), client


async def test_resubmits_the_same_key_to_the_other_entry():
    """Guards against a client that gives up or resubmits under a new key."""
    job = _job()
    lost = lambda key, body: ConnectionClosedResponse()  # noqa: E731
    unknown = lambda key, body: _answer(key, UNKNOWN, 504)  # noqa: E731
    async with _scripted_entry(lost, _complete) as (first, keys):
        async with _scripted_entry(unknown, _complete) as (second, other_keys):
            record, client = await _submit(job, first, second)
    assert record.outcome == "complete"
    assert (record.is_wrong, record.is_partial) == (False, False)
    assert set(keys + other_keys) == {job.key}
    assert keys and other_keys
    assert (record.requests, len(client.lost_connections)) == (3, 1)


@pytest.mark.parametrize("change", ["key", "index", "value", "missing"])
async def test_detects_an_answer_that_does_not_match_the_job(change: str):
    """Guards against accepting the answer of another job or a partial one."""

    def wrong(key: str, body: dict) -> Response:
        results = [
            {"index": n, "value": dict(task["payload"]["value"])}
            for n, task in enumerate(body["tasks"])
        ]
        if change == "missing":
            results.pop()
        if change == "index":
            results[0]["index"] = 1
        if change == "value":
            results[1]["value"]["index"] = 0
        answered_key = "other" if change == "key" else key
        return _answer(answered_key, "complete", 200, results=results)

    async with _scripted_entry(wrong) as (url, _):
        record, _ = await _submit(_job(), url)
    assert record.is_wrong


async def test_detects_results_in_a_failure():
    """Guards against partial answers that are counted as mere failures."""

    def partial(key: str, body: dict) -> Response:
        results = [{"index": 0, "value": None}]
        return _answer(key, "failed_ran", 502, results=results)

    async with _scripted_entry(partial) as (url, _):
        record, _ = await _submit(_job(), url)
    assert record.is_partial


async def test_submission_ends_at_the_deadline():
    """Guards against a client that waits longer than its deadline."""
    running = lambda key, body: _answer(key, "running", 202)  # noqa: E731
    async with _scripted_entry(running) as (url, keys):
        record, _ = await _submit(_job(timeout=0.3), url)
    assert record.outcome == DEADLINE
    assert 0.1 < record.seconds < 0.6
    assert len(keys) > 1


@pytest.mark.parametrize("mode", list(LoadMode))
async def test_load_is_limited_and_reported(mode: LoadMode):
    """Guards against a load that exceeds its job count or loses jobs."""
    async with _scripted_entry(_complete) as (url, keys):
        settings = CallerSettings(
            entries=url,
            mode=mode,
            rate=500,
            seconds=5,
            jobs=30,
            highest_tasks=4,
            distribution="uniform",
        )
        report = await run_load(settings)
    assert len(set(keys)) == len(keys) == report["jobs"] == 30
    assert report["outcomes"] == {"complete": 30}
    assert (report["wrong"], report["partial"], report["cut"]) == (0, 0, 0)
    assert report["response_ms"]["count"] == 30
