"""Tests that the checks of the fault runs detect violations."""

from __future__ import annotations

import dataclasses

import pytest

from benchmarks import fault_checks
from benchmarks.fault_checks import PlannedStop, TaskStart, ZoneExclusion
from benchmarks.fault_schedule import FaultKind, make_schedule
from gypsumline.testing.job_client import JobRecord, LostConnection

_START = TaskStart(
    key="k", index=0, attempt=1, at=10.0, executor="exec-1", zone="marousi"
)


def _starts(**by_task: list[float]) -> list[TaskStart]:
    return [
        dataclasses.replace(_START, key=name[:-1], index=int(name[-1]), at=at)
        for name, times in by_task.items()
        for at in times
    ]


def test_second_start_at_another_executor_is_detected():
    """Guards against detecting second starts within one executor only."""
    other = dataclasses.replace(_START, executor="exec-2", attempt=2)
    third = dataclasses.replace(_START, index=1)
    found = fault_checks.find_repeated_starts([_START, third, other])
    assert found == [[_START, other]]


def test_parses_a_detailed_report():
    """Guards against losing starts between the reports and the checks."""
    report = {"k/0": [{"attempt": 1, "at": 10.0}]}
    found = fault_checks.read_task_starts("exec-1", "marousi", report)
    assert found == [_START]


def test_answers_that_contradict_the_starts_are_detected():
    """Guards against missing a false "not run" or "complete" answer."""
    starts = _starts(a0=[1.0], b0=[1.0], b1=[2.0])
    records = [
        JobRecord(key="a", tasks=2, outcome="failed_not_run"),
        JobRecord(key="b", tasks=2, outcome="complete"),
        JobRecord(key="c", tasks=1, outcome="failed_not_run"),
        JobRecord(key="a", tasks=2, outcome="complete"),
    ]
    assert fault_checks.find_false_not_run(records, starts) == [records[0]]
    without_starts = fault_checks.find_complete_without_starts(records, starts)
    assert without_starts == [records[3]]


@pytest.mark.parametrize(
    ("at", "late"), [(9.0, 0), (13.9, 0), (14.1, 1), (19.9, 1), (20.1, 0)]
)
def test_start_in_an_excluded_zone_is_detected(at: float, late: int):
    """Guards against a limit that does not start at the acceptance."""
    exclusion = ZoneExclusion(
        zone="marousi", accepted_at=10.0, return_sent_at=20.0
    )
    starts = _starts(a0=[at])
    assert (
        len(fault_checks.find_starts_while_excluded([exclusion], starts))
        == late
    )
    elsewhere = dataclasses.replace(exclusion, zone="piraeus")
    assert not fault_checks.find_starts_while_excluded([elsewhere], starts)


def test_describes_the_starts_around_an_exclusion():
    """Guards against mistaking an idle zone for one that stopped in time."""
    exclusion = ZoneExclusion(
        zone="marousi", accepted_at=10.0, return_sent_at=20.0
    )
    description = fault_checks.describe_exclusion(
        exclusion, _starts(a0=[9, 11.5], b0=[21])
    )
    assert (description["starts_before"], description["starts_after"]) == (1, 1)
    assert (
        description["starts_while_out"],
        description["last_start_after_s"],
    ) == (1, 1.5)


def test_lost_connections_during_a_planned_stop_are_counted():
    """Guards against ignoring lost connections or blaming the wrong stop."""
    stop = PlannedStop(
        name="e", url="u", began_at=1.0, ended_at=2.0, exit_code=0
    )
    losses = [
        LostConnection("u", 1.5, "x"),
        LostConnection("u", 2.5, "x"),
        LostConnection("v", 1.5, "x"),
    ]
    assert fault_checks.count_interrupted_requests([stop], losses) == 1
    failed = dataclasses.replace(stop, exit_code=-9, cut_at_executor=2)
    assert fault_checks.count_interrupted_requests([failed], []) == 3


def test_schedule_is_reproducible_and_contains_every_kind():
    """Guards against runs that are not reproducible or omit a kind of fault."""
    names = (["entry-1", "entry-2"], ["agent-1"], ["marousi"])
    schedule = make_schedule(1, 120.0, *names)
    assert schedule == make_schedule(1, 120.0, *names)
    assert schedule != make_schedule(2, 120.0, *names)
    assert {event.kind for event in schedule} == set(FaultKind)
    assert all(event.at < 120.0 for event in schedule)
