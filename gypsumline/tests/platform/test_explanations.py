"""Tests that the causes of failed requests can be found in a log.

The log is an extract of a replay of the day
`grey-executors-and-callers-that-leave` in deploy/days. The steps are those for
operators in docs/OPERATIONS.md.
"""

import json
import pathlib

_LOG = pathlib.Path(__file__).parent / "data" / "grey_executors.jsonl"


def read_job_lines(job):
    """Returns all log lines of a job or one of its tasks, which is step 1."""
    lines = [json.loads(line) for line in _LOG.read_text().splitlines()]
    return [
        line
        for line in lines
        if line.get("job") == job or line.get("task", "").startswith(f"{job}.")
    ]


def find_last(lines, event):
    """Returns the last line of an event, or None."""
    event_lines = [line for line in lines if line["message"] == event]
    return event_lines[-1] if event_lines else None


def test_log_explains_refused_job_by_the_backlog():
    """Guards against a refusal without its reason in the log."""
    lines = read_job_lines("f088a8457e8e4ad4")
    refused = find_last(lines, "job_refused")
    assert refused["reason"] == "backlog"
    assert refused["wait"] + refused["longest_work"] > refused["objective"]
    assert refused["waiting_jobs"] > 0
    assert find_last(lines, "run_placed") is None


def test_log_explains_failed_job_by_the_failed_task():
    """Guards against a task failure that looks like one of the platform."""
    lines = read_job_lines("13a400ff81afc991")
    ended = find_last(lines, "job_ended")
    assert (ended["outcome"], ended["failures"]) == ("failed", 4)
    failed = find_last(lines, "run_ended")
    assert failed["end"] == "failed"
    assert failed["task"] == "13a400ff81afc991.0.0.0"


def test_log_explains_late_job_by_the_stalled_executor():
    """Guards against a late answer without the slow executor in the log."""
    lines = read_job_lines("ff776c1907a28f8b")
    ended = find_last(lines, "job_ended")
    assert ended["age"] > 2 * ended["objective"]
    overdue = find_last(lines, "run_overdue")
    placed = next(
        line
        for line in lines
        if line["message"] == "run_placed"
        and line["task"] == overdue["task"]
        and line["attempt"] == overdue["attempt"]
    )
    assert overdue["age"] > 3 * placed["expected"]
    assert overdue["agent"] == "side-marousi-2"
