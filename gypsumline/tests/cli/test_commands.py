"""Tests of the commands against a stand-in entry."""

import json
import os
import signal
import socket

import pytest

from gypsumline.tests.cli.conftest import CannedResponse

KEY = "0198c5a2-7b1e-7c3a-9f00-2f6d0c1b5a77"
TEXT = "services:\n  ordering: {}\n"
PROBLEM = "application/problem+json"
COMMANDS = [
    "",
    "entry",
    "agent",
    "settings",
    "status",
    "job",
    "job submit",
    "job show",
    "job cancel",
    "config",
    "config check",
    "config apply",
    "config show",
    "config history",
    "config diff",
]


def job_response(outcome, status=200, **changes):
    body = {"key": KEY, "outcome": outcome, "results": [], "reason": ""}
    return CannedResponse(status, {**body, "detail": "", **changes})


@pytest.fixture
def closed_url():
    """Returns a URL on whose port no process listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"http://127.0.0.1:{probe.getsockname()[1]}"


@pytest.mark.parametrize("command", COMMANDS)
def test_help(run_cli, snapshot, command):
    """Guards against unnoticed changes of options and examples."""
    status, out, _ = run_cli(*command.split(), "--help")
    assert status == 0
    assert "\n".join(line.rstrip() for line in out.splitlines()) == snapshot


def test_errors_in_settings(run_cli, snapshot, monkeypatch):
    """Guards against a start that reports only the first bad setting."""
    monkeypatch.setenv("GYPSUMLINE_HEARTBEAT_INTERVAL", "1.5")
    monkeypatch.setenv("GYPSUMLINE_PRT", "7")
    status, _, err = run_cli("entry", "--host", "localhost", "--port", "x")
    assert (status, err) == (2, snapshot)
    status, out, _ = run_cli("settings", "--role", "agent", "--port", "1")
    assert status == 2
    assert "heartbeat_interval    1.5" in out
    status, out, _ = run_cli(
        "settings", "--role", "entry", "--seed", "3", "--output", "json"
    )
    assert json.loads(out)["seed"] == {"value": "3", "origin": "flag"}


def test_job_is_followed_to_its_end(run_cli, stand_in_entry, closed_url):
    """Guards against a client that stops polling while the job still runs."""
    result = {"index": 0, "value": {"x": 1}, "run_time": 0.25}
    done = job_response("complete", results=[result])
    stand_in_entry.set_responses(
        "POST", "/v1/jobs", job_response("running", 202)
    )
    stand_in_entry.set_responses(
        "GET", f"/v1/jobs/{KEY}", job_response("running", 202), done
    )
    status, out, _ = run_cli(
        *("job", "submit", "--service", "ordering", "--kind", "card"),
        *("--count", "2", "--payload", '{"a": 1}', "--key", KEY),
        *("--entry", closed_url, "--entry", stand_in_entry.url),
    )
    assert status == 0
    assert '{"x": 1}' in out
    request, body = stand_in_entry.requests[0]
    assert request.headers["Idempotency-Key"] == KEY
    assert (
        body["tasks"]
        == [{"kind": "card", "payload": {"a": 1}, "size": 0, "run_time": 0.0}]
        * 2
    )


def test_lost_answer_is_requested_again_with_the_same_key(
    run_cli, stand_in_entry
):
    """Guards against a retry that submits a lost job under a new key."""
    stand_in_entry.set_responses(
        "POST", "/v1/jobs", CannedResponse(200, None), job_response("complete")
    )
    arguments = ("job", "submit", "--service", "a", "--kind", "b")
    status, _, _ = run_cli(*arguments, "--entry", stand_in_entry.url)
    assert status == 0
    keys = {r.headers["Idempotency-Key"] for r, _ in stand_in_entry.requests}
    assert (len(stand_in_entry.requests), len(keys)) == (2, 1)
    stand_in_entry.set_responses("POST", "/v1/jobs", CannedResponse(200, None))
    arguments += ("--no-wait", "--key", KEY)
    status, out, _ = run_cli(*arguments, "--entry", stand_in_entry.url)
    assert status == 4
    assert f"gypsumline job show {KEY}" in out


def interrupt():
    os.kill(os.getpid(), signal.SIGINT)


def test_interrupt_prints_the_key_or_token(run_cli, stand_in_entry, tmp_path):
    """Guards against an interrupt (Ctrl-C) that loses the key or token.

    Without them the outcome of the job or change cannot be looked up.
    """
    file = tmp_path / "configuration.yaml"
    file.write_text(TEXT)
    canned = CannedResponse(503, interrupt)
    stand_in_entry.set_responses("POST", "/v1/jobs", canned)
    stand_in_entry.set_responses("PUT", "/v1/configuration", canned)
    entry = ("--entry", stand_in_entry.url)
    arguments = ("job", "submit", "--service", "a", "--kind", "b")
    status, out, _ = run_cli(*arguments, "--key", KEY, *entry)
    assert (status, f"gypsumline job show {KEY}" in out) == (4, True)
    arguments = ("config", "apply", str(file), "--note", "n", "--base", "0")
    status, out, _ = run_cli(*arguments, *entry)
    assert (status, "gypsumline config show --token" in out) == (4, True)


@pytest.mark.parametrize(
    ("canned", "status"),
    [
        (job_response("complete"), 0),
        (job_response("running", 202), 0),
        (job_response("failed_ran", 502, reason="task_failed"), 1),
        (job_response("failed_not_run", 429, retry_after=1.5), 3),
        (job_response("outcome_unknown", 404, reason="unknown_key"), 4),
        (CannedResponse(400, {"title": "Bad"}, PROBLEM), 2),
        (CannedResponse(503, {"title": "Starting"}, PROBLEM), 5),
        (CannedResponse(500, {"title": "Internal"}, PROBLEM), 4),
        (CannedResponse(200, {"outcome": 3}), 4),
    ],
)
def test_exit_status_matches_the_outcome(
    run_cli, stand_in_entry, canned, status
):
    """Guards against one exit status for unknown outcomes and refusals."""
    stand_in_entry.set_responses("GET", f"/v1/jobs/{KEY}", canned)
    arguments = ("job", "show", KEY, "--entry", stand_in_entry.url)
    assert run_cli(*arguments)[0] == status


def test_successful_cancel_has_status_0(run_cli, stand_in_entry):
    """Guards against a successful cancellation with the status of a refusal."""
    canned = job_response("failed_not_run", 422, reason="cancelled")
    stand_in_entry.set_responses("DELETE", f"/v1/jobs/{KEY}", canned)
    status, out, _ = run_cli(
        "job", "cancel", KEY, "--entry", stand_in_entry.url
    )
    assert (status, "cancelled" in out) == (0, True)


@pytest.mark.parametrize(
    "arguments",
    [
        ("job", "show", "17"),
        ("job", "submit", "--kind", "a"),
        ("job", "submit", "--service", "a", "--kind", "b", "--payload", "NaN"),
        ("job", "submit", "no-such-file.json"),
        ("status", "--entry", "127.0.0.1:8080"),
        ("status", "--entry", "http://127.0.0.1:x"),
        ("status", "--no-such-option"),
        ("config", "check", "no-such-file.yaml"),
    ],
)
def test_bad_input_has_status_2(run_cli, arguments):
    """Guards against a traceback for a mistyped argument."""
    status, _, err = run_cli(*arguments)
    assert (status, bool(err)) == (2, True)


def test_no_entry_has_status_5(run_cli, closed_url):
    """Guards against the same exit status for no entry and a refusal."""
    status, _, err = run_cli("status", "--entry", closed_url)
    assert status == 5
    assert f"{closed_url}: cannot connect" in err


def test_saved_text_is_applied_on_its_base_version(
    run_cli, stand_in_entry, tmp_path
):
    """Guards against an apply with another base version than the one saved."""
    row = {"version": 4, "text": TEXT, "author": "dora", "note": "first"}
    row.update(written_at=1.75e9, write_token="t")
    stand_in_entry.set_responses(
        "GET", "/v1/configuration", CannedResponse(200, row)
    )
    accepted = CannedResponse(200, {"kind": "accepted", "version": 5})
    stand_in_entry.set_responses("PUT", "/v1/configuration", accepted)
    file = str(tmp_path / "configuration.yaml")
    entry = ("--entry", stand_in_entry.url)
    assert run_cli("config", "show", "--save", file, *entry)[0] == 0
    with open(file, "a", encoding="utf-8") as stream:
        stream.write("out: {availability_zones: [marusi]}\n")
    difference = run_cli("config", "diff", file, *entry)[1]
    assert "+out: {availability_zones: [marusi]}" in difference
    status = {"entry": "e", "revision": 1, "configuration_version": 4}
    agent = {"agent_id": "a", "availability_zone": "marousi"}
    status.update(fresh=True, agents=[agent])
    stand_in_entry.set_responses(
        "GET", "/v1/status", CannedResponse(200, status)
    )
    arguments = ("config", "apply", file, "--note", "n", "--author", "nikos")
    code, out, err = run_cli(*arguments, *entry)
    assert (code, out) == (0, "accepted as version 5\n")
    assert "availability zone marusi" in err
    body = stand_in_entry.requests[-1][1]
    assert body["base_version"] == 4
    assert body["author"] == "nikos"
    assert body["text"].startswith(TEXT)


def test_text_without_a_base_is_not_applied(run_cli, tmp_path):
    """Guards against a change that overwrites versions accepted meanwhile."""
    file = tmp_path / "configuration.yaml"
    file.write_text(TEXT)
    status, _, err = run_cli("config", "apply", str(file), "--note", "n")
    assert status == 2
    assert "--base" in err


@pytest.mark.parametrize(
    ("canned", "status"),
    [
        (
            CannedResponse(
                409,
                {
                    "kind": "refused",
                    "version": 6,
                    "detail": "version 6 by dora came first",
                    "diff": "-a\n+b\n",
                    "between": [
                        {
                            "version": 6,
                            "author": "dora",
                            "note": "noon \x1b[31m",
                            "written_at": 1.75e9,
                        }
                    ],
                },
            ),
            3,
        ),
        (CannedResponse(504, {"kind": "unknown", "detail": "table down"}), 4),
        (CannedResponse(200, None), 4),
        (CannedResponse(200, {"kind": "later"}), 4),
        (CannedResponse(500, {"title": "Internal error"}, PROBLEM), 4),
    ],
)
def test_change_that_is_not_accepted(
    run_cli, stand_in_entry, tmp_path, snapshot, canned, status
):
    """Guards against an unknown outcome that is reported as a refusal."""
    file = tmp_path / "configuration.yaml"
    file.write_text(TEXT)
    stand_in_entry.set_responses("PUT", "/v1/configuration", canned)
    code, out, _ = run_cli(
        *("config", "apply", str(file), "--note", "n", "--base", "5"),
        *("--entry", stand_in_entry.url),
    )
    assert code == status
    token = next(
        body["write_token"] for _, body in stand_in_entry.requests if body
    )
    shown = out.replace(token, "TOKEN").replace(stand_in_entry.url, "URL")
    assert shown == snapshot
    puts = [r for r, _ in stand_in_entry.requests if r.method == "PUT"]
    assert len(puts) == 1


def test_change_refused_after_its_own_duplicate_is_accepted(
    run_cli, stand_in_entry, tmp_path
):
    """Guards against reporting an accepted change as refused.

    This happens if a load balancer sends the PUT twice: the second one is
    refused because the first one was accepted.
    """
    file = tmp_path / "configuration.yaml"
    file.write_text(TEXT)
    refused = CannedResponse(409, {"kind": "refused", "version": 6})
    stand_in_entry.set_responses("PUT", "/v1/configuration", refused)

    def configuration_with_the_token():
        return {
            "version": 6,
            "text": TEXT,
            "write_token": stand_in_entry.requests[-2][1]["write_token"],
        }

    stand_in_entry.set_responses(
        "GET",
        "/v1/configuration",
        CannedResponse(200, configuration_with_the_token),
    )
    arguments = ("config", "apply", str(file), "--note", "n", "--base", "5")
    code, out, _ = run_cli(*arguments, "--entry", stand_in_entry.url)
    assert (code, out) == (0, "accepted as version 6\n")


def test_status_and_history(run_cli, stand_in_entry, snapshot):
    """Guards against a missing column in the tables for operators."""
    status = {
        "entry": "entry-1",
        "revision": 9,
        "configuration_version": 3,
        "fresh": True,
        "voters": ["entry-1", "agent-1"],
        "entries": [
            {
                "member_id": "entry-1",
                "availability_zone": "piraeus",
                "revision": 9,
                "alive": True,
                "leaving": False,
            }
        ],
        "agents": [{"agent_id": "agent-1", "slots": 8, "out": True}],
        "availability_zones": [
            {"name": "marousi", "out": True, "slots": 8, "agents": 1}
        ],
    }
    versions = [
        {"version": 2, "author": "a", "note": "b", "written_at": 1.75e9}
    ]
    stand_in_entry.set_responses(
        "GET", "/v1/status", CannedResponse(200, status)
    )
    stand_in_entry.set_responses(
        "GET",
        "/v1/configuration/history",
        CannedResponse(200, {"versions": versions}),
    )
    entry = ("--entry", stand_in_entry.url)
    assert run_cli("status", *entry)[1] == snapshot
    assert run_cli("config", "history", *entry)[1] == snapshot
    shown = json.loads(run_cli("status", "--output", "json", *entry)[1])
    assert shown["entries"] == status["entries"]
