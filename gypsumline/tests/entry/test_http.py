"""Tests of the callers' HTTP interface with requests to a server."""

import asyncio
import datetime
import itertools

import aiohttp
import pytest

from gypsumline.core.messages import Submit, SubmitReply
from gypsumline.core.submissions.task_scheduler import Admission
from gypsumline.core.task import JobBody, Outcome, Reason
from gypsumline.interface.http_models import JOB_BYTES_MAX
from gypsumline.runtime.clock import wall_time
from gypsumline.tests.core.builders import (
    AGENT,
    OTHER_ENTRY,
    key_at,
    make_tasks,
)
from gypsumline.tests.entry.entry_server import entry_server

_NUMBERS = itertools.count(1)


def make_body(**changes):
    body = {
        "service": "s",
        "client": "c",
        "tasks": [{"kind": "k", "payload": {"n": n}} for n in range(3)],
        "timeout": 5,
    }
    return {**body, **changes}


def new_key(age=0.0):
    return key_at(wall_time() - age, next(_NUMBERS))


async def wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def test_answer_has_the_results_of_all_tasks():
    """Guards against missing results and results of another task."""
    async with entry_server() as entry:
        key = new_key()
        status, _, answer = await entry.submit(make_body(), key)
        assert (status, answer["outcome"]) == (200, "complete")
        assert answer["key"] == key
        values = [item["value"] for item in answer["results"]]
        assert values == [{"n": 0}, {"n": 1}, {"n": 2}]


async def test_resubmission_does_not_run_again_and_another_body_is_refused():
    """Guards against a second run of a job with the same key."""
    async with entry_server() as entry:
        key = new_key()
        _, _, first = await entry.submit(make_body(), key)
        _, _, second = await entry.submit(make_body(timeout=4), key)
        assert second == first
        assert len(entry.hub.starts) == 1
        status, _, answer = await entry.submit(make_body(client="d"), key)
        assert (status, answer["reason"]) == (422, "key_conflict")
        assert len(entry.hub.starts) == 1


def deadline_in_the_past():
    at = datetime.datetime.now(datetime.UTC) - datetime.timedelta(seconds=1)
    return {"timeout": None, "deadline": at.isoformat()}


@pytest.mark.parametrize(
    ("body", "query", "field"),
    [
        (make_body(timeout=61), "", "timeout"),
        (make_body(timeout=0), "", "timeout"),
        (make_body(**deadline_in_the_past()), "", "deadline"),
        (make_body(unknown=1), "", "unknown"),
        (make_body(tasks=[]), "", "tasks"),
        (make_body(repeatable=True), "", "repeatable"),
        (make_body(), "?wait=-1", "wait"),
        (make_body(), "?wait=61", "wait"),
        (make_body(), "?wait=nan", "wait"),
        (make_body(), "?wait=x", "wait"),
    ],
)
async def test_error_names_the_invalid_field(body, query, field):
    """Guards against running invalid jobs and errors without a field."""
    async with entry_server() as entry:
        body = {k: v for k, v in body.items() if v is not None}
        status, headers, problem = await entry.submit(body, query=query)
        assert status == 400
        assert headers["Content-Type"] == "application/problem+json"
        assert [e["field"] for e in problem["errors"]] == [field]
        assert entry.hub.starts == []


@pytest.mark.parametrize("key", ["x", "6ba7b810-9dad-11d1-80b4-00c04fd430c8"])
async def test_key_that_is_not_uuid7_is_an_invalid_input(key):
    """Guards against a key without a readable creation time."""
    async with entry_server() as entry:
        for call in (
            entry.submit(make_body(), key),
            entry.call("GET", f"/v1/jobs/{key}"),
            entry.call("DELETE", f"/v1/jobs/{key}"),
        ):
            status, _, problem = await call
            assert status == 400
            assert problem["errors"]


@pytest.mark.parametrize("age", [121.0, -6.0])
async def test_expired_or_future_key_is_not_run(age):
    """Guards against a second run of a key whose answer has expired."""
    async with entry_server() as entry:
        status, _, answer = await entry.submit(make_body(), new_key(age))
        assert (status, answer["reason"]) == (422, "key_expired")
        assert entry.hub.starts == []


async def test_malformed_and_oversized_bodies_are_rejected():
    """Guards against reading an oversized body whole before the check."""
    sent = 0

    async def endless():
        nonlocal sent
        for _ in range(64):
            sent += 1
            yield b" " * JOB_BYTES_MAX

    async with entry_server() as entry:
        status, _, _ = await entry.call("POST", "/v1/jobs", data=b'{"a": NaN}')
        assert status == 400
        large = b" " * (JOB_BYTES_MAX + 1)
        status, _, _ = await entry.call("POST", "/v1/jobs", data=large)
        assert status == 413
        status, _, _ = await entry.call("POST", "/v1/jobs", data=endless())
        assert status == 413
        assert sent < 64


async def test_refusal_has_a_retry_after_header():
    """Guards against a delayed refusal and one without a retry time."""
    async with entry_server() as entry:
        entry.scheduler.refusal = Admission(
            accepted=False,
            reason=Reason.OVERLOAD,
            detail="full",
            retry_after=1.2,
        )
        status, headers, answer = await entry.submit(make_body(), new_key())
        assert (status, headers["Retry-After"]) == (429, "2")
        assert answer["outcome"] == "failed_not_run"


async def test_owner_without_fresh_evidence_gives_an_unknown_outcome():
    """Guards against "not run" from an owner that may be superseded."""
    async with entry_server(suspect_after=0.6) as entry:
        entry.control.fresh = False
        key = new_key()
        status, headers, answer = await entry.submit(make_body(timeout=1), key)
        assert (status, answer["outcome"]) == (504, "outcome_unknown")
        assert int(headers["Retry-After"]) >= 1


async def test_poll_and_cancel():
    """Guards against a blocking poll and a lost cancellation."""
    async with entry_server() as entry:
        entry.hub.holds_tasks = True
        key = new_key()
        status, _, answer = await entry.submit(make_body(), key, "?wait=0")
        assert (status, answer["outcome"]) == (202, "running")
        status, _, answer = await entry.call("GET", f"/v1/jobs/{key}")
        assert (status, answer["outcome"]) == (202, "running")
        waiting = asyncio.create_task(
            entry.call("GET", f"/v1/jobs/{key}?wait=5")
        )
        await asyncio.sleep(0.1)
        status, _, _ = await entry.call("DELETE", f"/v1/jobs/{key}")
        assert status in (202, 422)
        status, _, answer = await waiting
        assert (status, answer["reason"]) == (422, "cancelled")
        status, _, answer = await entry.call("GET", f"/v1/jobs/{new_key()}")
        assert (status, answer["reason"]) == (404, "unknown_key")


async def test_job_continues_after_its_caller_disconnects():
    """Guards against a job that is lost when its caller disconnects."""
    async with entry_server() as entry:
        entry.hub.holds_tasks = True
        key = new_key()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(entry.submit(make_body(), key), 0.2)
        entry.hub.finish_tasks(entry.hub.starts[0])
        status, _, answer = await entry.call("GET", f"/v1/jobs/{key}")
        assert (status, answer["outcome"]) == (200, "complete")
        await wait_until(lambda: entry.node.pending_requests == 0)


async def test_requests_over_the_limit_are_refused_immediately():
    """Guards against requests that queue at a full entry."""
    async with entry_server(http_request_limit=2) as entry:
        entry.hub.holds_tasks = True
        open_requests = [
            asyncio.create_task(entry.submit(make_body(), new_key()))
            for _ in range(2)
        ]
        await wait_until(lambda: len(entry.hub.starts) == 2)
        status, headers, problem = await entry.submit(make_body(), new_key())
        assert (status, headers["Retry-After"]) == (503, "1")
        assert problem["type"].endswith("too-many-requests")
        async with aiohttp.ClientSession() as session:
            async with session.get(f"{entry.url}/healthz") as response:
                assert response.status == 200
        for start in list(entry.hub.starts):
            entry.hub.finish_tasks(start)
        await asyncio.gather(*open_requests)
        entry.hub.holds_tasks = False
        status, _, _ = await entry.submit(make_body(), new_key())
        assert status == 200


async def test_leaving_entry_is_not_ready_and_closes_connections():
    """Guards against traffic that continues to arrive during a stop."""
    async with entry_server() as entry:
        async with aiohttp.ClientSession() as session:
            async with session.get(f"{entry.url}/readyz") as response:
                assert response.status == 200
            entry.node.begin_leave()
            async with session.get(f"{entry.url}/readyz") as response:
                assert response.status == 503
                assert response.headers["Connection"] == "close"
        status, headers, _ = await entry.submit(make_body(), new_key())
        assert (status, headers["Connection"]) == (200, "close")


async def test_forwarded_caller_is_answered_when_the_agent_restarts():
    """Guards against answering only callers that are connected here."""
    async with entry_server() as entry:
        entry.hub.holds_tasks = True
        body = JobBody(
            service="s", client="c", tasks=make_tasks(1), timeout=9.0
        )
        submit = Submit(request_id=7, key=new_key(), digest=b"d", body=body)
        entry.node.on_message(OTHER_ENTRY, submit)
        restarted = AGENT.__class__(
            member_id=AGENT.member_id,
            incarnation=AGENT.incarnation + 1,
            role=AGENT.role,
            availability_zone=AGENT.availability_zone,
        )
        entry.node.on_disconnected(AGENT)
        entry.node.on_connected(restarted)
        found = [m for _, m in entry.hub.replies if isinstance(m, SubmitReply)]
        outcomes = [(m.request_id, m.answer.outcome) for m in found]
        assert outcomes == [(7, Outcome.FAILED_RAN)]
