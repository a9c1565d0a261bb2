"""Tests of the benchmark report."""

from __future__ import annotations

import asyncio
import sys
import time
import types

import aiohttp
import pytest

from benchmarks import path, report
from benchmarks.direct import DirectCaller
from gypsumline.testing.executor import ExecutorSettings, run_executor


def _add_part(monkeypatch: pytest.MonkeyPatch, output: object) -> None:
    """Makes the part `capacity` return the output, or raise an exception."""

    def run(module_name: str) -> object:
        if isinstance(output, Exception):
            raise output
        return output

    module = types.ModuleType("benchmarks.capacity")
    module.targets = lambda figures: {"added": (figures["added"], 3.0)}
    monkeypatch.setitem(sys.modules, "benchmarks.capacity", module)
    monkeypatch.setattr(report.importlib.util, "find_spec", lambda name: True)
    monkeypatch.setattr(report, "_run_module", run)


@pytest.mark.parametrize(("added", "problems"), [(3.0, 0), (3.1, 1)])
def test_missed_target_is_a_problem(monkeypatch, added: float, problems: int):
    """Guards against a report that passes despite a missed target."""
    _add_part(monkeypatch, {"added": added})
    benchmark_report = {"parts": {"capacity": report.run_part("capacity")}}
    assert len(report.find_problems(benchmark_report)) == problems


def test_failed_part_is_a_problem(monkeypatch):
    """Guards against a part that fails silently."""
    _add_part(monkeypatch, ValueError("no JSON"))
    benchmark_report = {"parts": {"capacity": report.run_part("capacity")}}
    assert report.find_problems(benchmark_report) == ["capacity failed"]


def test_missing_part_is_reported_as_not_run():
    """Guards against a part that is omitted silently."""
    assert report.run_part("no_such_part")["state"] == "not run"


def test_targets_match_the_design():
    """Guards against targets that are derived from measured figures."""
    names = ["idle_added_p50_ms", "load_added_p50_ms"]
    for role in ("entry", "agent"):
        names += [f"{role}_memory_mib", f"{role}_rest_cpu_share"]
        names.append(f"{role}_rest_bytes_per_second")
    limits = {
        name: limit
        for name, (_, limit) in path.targets(dict.fromkeys(names, 0)).items()
    }
    assert limits["idle_added_p50_ms"] == limits["load_added_p50_ms"] == 3.0
    assert limits["agent_rest_bytes_per_second"] == 7000.0
    assert limits["agent_rest_cpu_share"] == 0.035
    assert limits["entry_memory_mib"] == 256.0


async def test_direct_caller_uses_a_free_executor():
    """Guards against a baseline that waits while a slot is free."""
    async with run_executor(ExecutorSettings(slots=1)) as (first, one):
        async with run_executor(ExecutorSettings(slots=1)) as (second, two):
            async with aiohttp.ClientSession() as session:
                caller = DirectCaller(session, [one, two], seed=1)
                calls = [caller.call(0.05, time.monotonic()) for _ in "ab"]
                await asyncio.gather(*calls)
    counted = [e.log.report(False)["starts"] for e in (first, second)]
    assert counted == [1, 1]
    assert (len(caller.seconds), caller.failed) == (2, 0)
