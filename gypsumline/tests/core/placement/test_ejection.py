"""Tests of the ejection of upstreams."""

import pytest

from gypsumline.core.chart import ForbiddenTransitionError, load_chart
from gypsumline.core.placement.ejection import EjectionControl
from gypsumline.core.placement.settings import PlacementSettings

SETTINGS = PlacementSettings()


def make_control(count=6):
    control = EjectionControl(SETTINGS)
    for number in range(count):
        control.add(f"u{number}")
    return control


def eject(control, name, now=0.0):
    for number in range(3):
        control.record_failure(name, f"{name}-{now}-{number}", now)


def test_chart_allows_only_declared_transitions():
    """Guards against a healthy upstream that becomes probing directly."""
    chart = load_chart("upstream")
    assert chart.next_state("healthy", "stood_out") == "ejected"
    with pytest.raises(ForbiddenTransitionError):
        chart.next_state("healthy", "probe_due")


def test_upstream_that_fails_everything_is_ejected():
    """Guards against a fast-failing upstream that attracts all tasks."""
    control = make_control()
    eject(control, "u0")
    assert control.task_limit("u0", 8) == 0


def test_failing_job_ejects_no_upstream():
    """Guards against ejections by a job whose tasks all fail."""
    control = make_control()
    for _ in range(50):
        control.record_failure("u0", "bad", 0.0)
    assert control.state("u0") == "healthy"


def test_failures_common_to_all_upstreams_eject_few():
    """Guards against ejections when the service itself fails."""
    control = make_control()
    for number in range(40):
        for upstream in range(6):
            control.record_failure(f"u{upstream}", f"j{number}", 0.0)
    out = [control.state(f"u{n}") == "ejected" for n in range(6)]
    assert sum(out) <= 2


def test_at_most_a_third_is_ejected():
    """Guards against ejecting so many that the rest are overloaded."""
    control = make_control()
    for number in range(6):
        eject(control, f"u{number}")
    limits = [control.task_limit(f"u{n}", 8) for n in range(6)]
    assert limits.count(0) == 2


def test_task_limit_rises_by_one_with_each_success_after_a_probe():
    """Guards against full load on an upstream after one success."""
    control = make_control()
    eject(control, "u0")
    control.begin_probe("u0")
    limits = []
    for _ in range(4):
        limits.append(control.task_limit("u0", 4))
        control.record_success("u0", 4, 1.0)
    assert limits == [1, 1, 2, 3]
    assert control.state("u0") == "healthy"


def test_failed_probes_wait_longer_each_time():
    """Guards against probes of a broken upstream at a constant rate."""
    control = make_control()
    eject(control, "u0")
    waits = [control.next_probe_at("u0")]
    for _ in range(5):
        now = control.next_probe_at("u0")
        control.begin_probe("u0")
        control.record_failure("u0", "p", now)
        waits.append(control.next_probe_at("u0") - now)
    assert waits == [2.0, 4.0, 8.0, 16.0, 30.0, 30.0]


def test_flapping_upstream_is_ejected_for_longer():
    """Guards against an upstream that succeeds only in its probes."""
    control = make_control()
    eject(control, "u0")
    control.begin_probe("u0")
    control.record_success("u0", 1, 2.0)
    control.record_success("u0", 1, 2.0)
    eject(control, "u0", 3.0)
    assert control.next_probe_at("u0") == 3.0 + 2 * SETTINGS.probe_interval


def test_unregistered_upstream_does_not_count_as_ejected():
    """Guards against a removed upstream that uses up the ejection limit."""
    control = make_control(3)
    eject(control, "u0")
    control.retain({"u1", "u2", "u3"})
    control.add("u3")
    eject(control, "u1")
    assert control.state("u1") == "ejected"
