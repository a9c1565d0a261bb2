"""Tests of the operator's configuration rows."""

import json

import msgspec
import pytest

from gypsumline.platform.routes import OperatorConfiguration
from gypsumline.platform.store import RowSet, StoredRow


def make_row(key, value, version=1, is_removed=False):
    data = value if isinstance(value, bytes) else msgspec.json.encode(value)
    return StoredRow(
        key=key,
        value=None if is_removed else data,
        version=version,
        is_removed=is_removed,
    )


def make_row_set(*items, version=1):
    return RowSet(rows=items, version=version, store_time=0.0)


def make_configuration(version, *routes):
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": host,
                "path_prefix": prefix,
                "service": "s",
                "priority": 1,
                "max_attempts": 4,
                "stretch": 1.6,
                "target_latency_ms": 60,
            }
            for name, host, prefix in routes
        ],
    }


def test_longest_prefix_of_a_host_wins():
    operator = OperatorConfiguration()
    content = make_configuration(
        1, ("r1", "h.example", "/"), ("r2", "h.example", "/a/")
    )
    operator.replace(make_row_set(make_row("config", content)))
    assert operator.find_route("H.example:80", "/a/1").queue.name == "r2"
    assert operator.find_route("h.example", "/b/1").queue.name == "r1"
    assert operator.find_route("g.example", "/a/1") is None
    queue = operator.find_route("h.example", "/a/1").queue
    assert (queue.attempts, queue.latency) == (4, 0.06)


def test_older_configuration_never_replaces_a_newer_one():
    """Guards against a configuration that reverts to an older version."""
    operator = OperatorConfiguration()
    operator.replace(
        make_row_set(
            make_row("config", make_configuration(5, ("r5", "h", "/")))
        )
    )
    operator.apply(
        make_row_set(
            make_row("config", make_configuration(4, ("r4", "h", "/")))
        )
    )
    assert operator.version == 5
    assert operator.find_route("h", "/").queue.name == "r5"


def test_invalid_configuration_leaves_the_last_one_in_force():
    operator = OperatorConfiguration()
    operator.replace(
        make_row_set(
            make_row("config", make_configuration(5, ("r5", "h", "/")))
        )
    )
    for broken in (b"{", b'{"version": "x"}', b"[]"):
        operator.apply(make_row_set(make_row("config", broken), version=2))
    assert operator.version == 5


def test_zone_is_excluded_while_its_row_exists():
    operator = OperatorConfiguration()
    operator.replace(make_row_set(make_row("evacuate/a", {}), version=3))
    assert operator.zones_out.zones == ("a",)
    operator.apply(
        make_row_set(make_row("evacuate/a", {}, is_removed=True), version=4)
    )
    assert (operator.zones_out.zones, operator.zones_out.version) == ((), 4)


def test_zone_row_removed_during_a_feed_gap_is_detected():
    operator = OperatorConfiguration()
    operator.replace(make_row_set(make_row("evacuate/a", {}), version=3))
    operator.replace(make_row_set(version=9))
    assert operator.zones_out.zones == ()


def test_ignored_rows_are_logged(caplog):
    """Guards against stale rows that are ignored without a log line."""
    operator = OperatorConfiguration()
    operator.replace(
        make_row_set(
            make_row("config", make_configuration(5, ("r5", "h", "/")))
        )
    )
    operator.apply(make_row_set(version=9))
    with caplog.at_level("INFO"):
        operator.replace(make_row_set(version=7))
        operator.apply(
            make_row_set(
                make_row("config", make_configuration(4, ("r4", "h", "/")))
            )
        )
    old_read, old_configuration = caplog.records
    assert (old_read.row_version, old_read.known_row_version) == (7, 9)
    assert (old_configuration.version, old_configuration.in_force) == (4, 5)


def test_configuration_is_logged_with_its_source(caplog):
    with caplog.at_level("INFO"):
        OperatorConfiguration().replace(
            make_row_set(make_row("config", make_configuration(5)))
        )
    line = caplog.records[-1]
    assert (line.source, line.silence) == ("read", None)


@pytest.mark.parametrize(
    "change",
    [
        {"priority": None},
        {"max_attempts": 4.0},
        {"stretch": 2, "target_latency_ms": 60.5},
        {"type": {"new": ["field"]}},
    ],
)
def test_equivalent_encodings_of_values_are_accepted(change):
    """Guards against rejecting a configuration for how values are encoded.

    Null stands for a missing field, a float may hold an integer, and unknown
    fields are ignored.
    """
    content = make_configuration(2, ("r1", "h", "/a/"), ("r2", "h", "/b/"))
    content["routes"][1] |= change
    content["limits"] = {"max_body_bytes": None, "idle_timeout_ms": 5000}
    operator = OperatorConfiguration()
    operator.apply(make_row_set(make_row("config", content)))
    assert operator.version == 2
    assert operator.find_route("h", "/b/").queue.attempts == 4
    assert operator.limits.idle_timeout == 5.0


def test_invalid_route_does_not_block_the_others(caplog):
    """Guards against one invalid field that blocks the whole configuration."""
    operator = OperatorConfiguration()
    content = make_configuration(1, ("r1", "h", "/a/"), ("r2", "h", "/b/"))
    operator.apply(make_row_set(make_row("config", content)))
    content = make_configuration(2, ("r2", "h", "/b/"), ("r3", "h", "/c/"))
    content["routes"][0]["stretch"] = "a lot"
    content["routes"].append({"name": "r4", "host": "h"})
    content["routes"].append("no route")
    content["limits"] = {"max_body_bytes": "many"}
    operator.apply(make_row_set(make_row("config", content)))
    assert operator.version == 2
    assert operator.find_route("h", "/a/") is None
    assert operator.find_route("h", "/b/").queue.stretch == 1.6
    assert operator.find_route("h", "/c/").queue.name == "r3"
    assert operator.limits.body_bytes == 262144
    invalid_parts = [
        line.part
        for line in caplog.records
        if line.message == "part of the configuration cannot be read"
    ]
    assert invalid_parts == ["route r2", "route r4", "route", "limits"]


@pytest.mark.parametrize("version", [10**400, 2**64, 1e300, -1, [1], None])
def test_impossible_version_leaves_the_last_configuration(version):
    """Guards against a version that ends the entry when its metric is set."""
    operator = OperatorConfiguration()
    content = make_configuration(5, ("r5", "h", "/"))
    operator.replace(make_row_set(make_row("config", content)))
    text = json.dumps({**content, "version": version}).encode()
    operator.apply(make_row_set(make_row("config", text)))
    assert operator.version == 5
    assert operator.find_route("h", "/").queue.name == "r5"


@pytest.mark.parametrize(
    "change",
    [
        {"priority": 10**400},
        {"priority": 2**64},
        {"max_attempts": 10**400},
        {"stretch": -1},
        {"stretch": "nan"},
        {"stretch": "inf"},
        {"target_latency_ms": 1e300},
        {"target_latency_ms": -1},
        {"name": [[["r2"]]]},
        {"name": 10**400},
        {"service": "s" * 1000},
    ],
)
def test_route_out_of_bounds_is_left_out(change):
    """Guards against numbers that no message to an agent can carry."""
    content = make_configuration(1, ("r1", "h", "/a/"), ("r2", "h", "/b/"))
    content["routes"][1] |= change
    operator = OperatorConfiguration()
    text = json.dumps(content).encode()
    operator.apply(make_row_set(make_row("config", text)))
    assert operator.find_route("h", "/a/").queue.name == "r1"
    assert operator.find_route("h", "/b/") is None


@pytest.mark.parametrize(
    "limits",
    [
        {"max_body_bytes": 0},
        {"max_header_bytes": -1},
        {"max_body_bytes": 10**400},
        {"header_timeout_ms": 0},
        {"idle_timeout_ms": "nan"},
        {"idle_timeout_ms": 1e300},
        [[]],
    ],
)
def test_impossible_limits_leave_the_last_ones(limits):
    """Guards against limits with which every request is refused."""
    operator = OperatorConfiguration()
    content = {**make_configuration(1), "limits": {"max_body_bytes": 7}}
    operator.apply(make_row_set(make_row("config", content)))
    text = json.dumps({**make_configuration(2), "limits": limits}).encode()
    operator.apply(make_row_set(make_row("config", text)))
    assert (operator.version, operator.limits.body_bytes) == (2, 7)


def test_invalid_configuration_is_logged_once(caplog):
    """Guards against a log line at each reading of the same row."""
    operator = OperatorConfiguration()
    for _ in range(3):
        operator.replace(make_row_set(make_row("config", b"{")))
    assert len(caplog.records) == 1
