"""Tests of the operators' HTTP interface with requests to a server."""

import asyncio
import threading
import time

import pytest
from starlette.requests import Request

from gypsumline.core.effects import ConfigurationRow
from gypsumline.entry import configuration_http
from gypsumline.interface.http_models import CONFIGURATION_BYTES_MAX
from gypsumline.runtime.request_body import BodyTooLargeError, read_body
from gypsumline.tests.core.builders import make_record
from gypsumline.tests.entry.entry_server import entry_server

TEXT = "services:\n  s: {}\n"
PUT = {
    "base_version": 1,
    "text": TEXT,
    "author": "ada",
    "note": "noon",
    "write_token": "token-2",
}


def make_row(version, text=TEXT, token=""):
    return ConfigurationRow(
        version=version,
        text=text,
        author="ada",
        note="noon",
        written_at_wall=1.0,
        write_token=token or f"token-{version}",
    )


async def put(entry, **changes):
    body = {**PUT, **changes}
    status, _, answer = await entry.call("PUT", "/v1/configuration", json=body)
    return status, answer


def set_state(entry, version, rows, *, accepted=True):
    entry.control.outcome = ("refused", version, "changed since version 1")
    entry.control.record = make_record(revision=5).__class__(
        revision=5, configuration_version=version
    )
    entry.control.accepted = accepted
    entry.table.rows = rows


async def test_change_sent_twice_is_accepted():
    """Guards against refusing a change because its first copy succeeded."""
    async with entry_server() as entry:
        rows = (make_row(3, "x"), make_row(2), make_row(1, "y"))
        set_state(entry, 3, rows)
        status, answer = await put(entry)
        assert (status, answer) == (200, {"kind": "accepted", "version": 2})


async def test_repeated_change_waits_for_its_acceptance(monkeypatch):
    """Guards against "accepted" for a version that is not accepted yet."""
    monkeypatch.setattr(configuration_http, "_ACCEPTANCE_TIMEOUT_SECONDS", 0.3)
    async with entry_server() as entry:
        set_state(entry, 2, (make_row(2), make_row(1)), accepted=False)
        status, answer = await put(entry)
        assert (status, answer["kind"]) == (504, "unknown")
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, setattr, entry.control, "accepted", True)
        status, answer = await put(entry)
        assert (status, answer["version"]) == (200, 2)


async def test_different_text_with_a_used_token_is_refused():
    """Guards against "accepted" for a text that is not in force."""
    async with entry_server() as entry:
        set_state(entry, 2, (make_row(2, "other"), make_row(1, "y")))
        status, answer = await put(entry)
        assert (status, answer["kind"], answer["version"]) == (
            409,
            "refused",
            2,
        )
        assert [row["version"] for row in answer["between"]] == [2]
        assert "+other" in answer["diff"]


async def test_refusal_with_an_unreadable_history_is_unknown():
    """Guards against "refused" when the table with the answer is down."""
    async with entry_server() as entry:
        set_state(entry, 2, ())
        entry.table.is_down = True
        status, answer = await put(entry)
        assert (status, answer["kind"]) == (504, "unknown")
        assert answer["write_token"] == "token-2"


async def test_slow_parse_blocks_nothing_and_is_bounded(
    monkeypatch,
):
    """Guards against a malicious text that blocks the event loop."""
    release = threading.Event()
    running = []

    def parse(text):
        running.append(threading.get_ident())
        release.wait(10)

    monkeypatch.setattr(configuration_http, "parse_configuration", parse)
    async with entry_server() as entry:
        path = "/v1/configuration/check"
        calls = [
            asyncio.create_task(entry.call("POST", path, json={"text": "x"}))
            for _ in range(12)
        ]
        await asyncio.sleep(0.3)
        started_at = time.monotonic()
        status, _, _ = await entry.call("GET", "/v1/status")
        assert status == 200
        assert time.monotonic() - started_at < 1.0
        assert len(running) == 1
        release.set()
        results = await asyncio.gather(*calls)
    statuses = [status for status, _, _ in results]
    assert (statuses.count(200), statuses.count(503)) == (8, 4)
    rejected = [headers for status, headers, _ in results if status == 503]
    assert all(int(headers["Retry-After"]) > 0 for headers in rejected)
    assert len(set(running)) == 1


@pytest.mark.parametrize(
    ("method", "path"),
    [("PUT", "/v1/configuration"), ("POST", "/v1/configuration/check")],
)
async def test_oversized_and_malformed_texts_are_rejected(method, path):
    """Guards against reading an oversized body whole before the check."""
    async with entry_server() as entry:
        large = b" " * (CONFIGURATION_BYTES_MAX + 1)
        status, _, _ = await entry.call(method, path, data=large)
        assert status == 413
        body = {**PUT, "text": "services: ["}
        if method == "POST":
            body = {"text": body["text"]}
        status, _, problem = await entry.call(method, path, json=body)
        assert status == 400
        assert problem["errors"][0]["line"] >= 1


@pytest.mark.parametrize(
    "version", ["", "x", "-1", "\u0661", "1" * 19, "1" * 4300, "1" * 5000]
)
async def test_impossible_version_is_rejected(version):
    """Guards against a version that the conversion to a number refuses."""
    async with entry_server() as entry:
        set_state(entry, 2, (make_row(2), make_row(1)))
        status, _, _ = await entry.call(
            "GET", "/v1/configuration", params={"version": version}
        )
        assert status == 400


async def test_declared_size_with_too_many_digits_is_refused():
    """Guards against an error in place of the status for a long body."""
    scope = {"type": "http", "headers": [(b"content-length", b"9" * 5000)]}
    with pytest.raises(BodyTooLargeError):
        await read_body(Request(scope), 100)
