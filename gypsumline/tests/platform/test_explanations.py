"""Finds the causes of failed requests in a kept log, as operators do.

The log is an extract of the lines of one played day, the day
`grey-executors-and-callers-that-leave` of deploy/days. The steps are those of
docs/OPERATIONS.md.
"""

import json
import pathlib

_LOG = pathlib.Path(__file__).parent / "data" / "grey_executors.jsonl"


def lines_of(job):
    """Step 1: all lines that name the job or one of its tasks."""
    lines = [json.loads(line) for line in _LOG.read_text().splitlines()]
    return [
        line
        for line in lines
        if line.get("job") == job or line.get("task", "").startswith(f"{job}.")
    ]


def last(lines, event):
    """Returns the newest line of an event, or None."""
    found = [line for line in lines if line["message"] == event]
    return found[-1] if found else None


def test_refused_job_is_explained_by_the_backlog():
    """Guards against a refusal whose reason the log does not tell."""
    lines = lines_of("f088a8457e8e4ad4")
    refused = last(lines, "job_refused")
    assert refused["reason"] == "backlog"
    assert refused["wait"] + refused["longest_work"] > refused["objective"]
    assert refused["waiting_jobs"] > 0
    assert last(lines, "run_placed") is None


def test_failed_job_is_explained_by_the_task_that_failed():
    """Guards against a failure that cannot be told from the platform's."""
    lines = lines_of("13a400ff81afc991")
    ended = last(lines, "job_ended")
    assert (ended["outcome"], ended["failures"]) == ("failed", 4)
    failed = last(lines, "run_ended")
    assert failed["end"] == "failed"
    assert failed["task"] == "13a400ff81afc991.0.0.0"


def test_late_job_is_explained_by_the_executor_that_stood_still():
    """Guards against a late answer whose slow part is not named."""
    lines = lines_of("ff776c1907a28f8b")
    ended = last(lines, "job_ended")
    assert ended["age"] > 2 * ended["objective"]
    overdue = last(lines, "run_overdue")
    placed = next(
        line
        for line in lines
        if line["message"] == "run_placed"
        and line["task"] == overdue["task"]
        and line["attempt"] == overdue["attempt"]
    )
    assert overdue["age"] > 3 * placed["expected"]
    assert overdue["agent"] == "side-marousi-2"
