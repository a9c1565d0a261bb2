"""Tests of the operator's configuration rows."""

import msgspec
import pytest

from gypsumline.platform.routes import Routes
from gypsumline.platform.store import RowSet, StoredRow


def row(key, value, version=1, is_removed=False):
    data = value if isinstance(value, bytes) else msgspec.json.encode(value)
    return StoredRow(
        key=key,
        value=None if is_removed else data,
        version=version,
        is_removed=is_removed,
    )


def rows(*items, version=1):
    return RowSet(rows=items, version=version, store_time=0.0)


def configuration(version, *routes):
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
    routes = Routes()
    content = configuration(
        1, ("r1", "h.example", "/"), ("r2", "h.example", "/a/")
    )
    routes.replace(rows(row("config", content)))
    assert routes.find("H.example:80", "/a/1").queue.name == "r2"
    assert routes.find("h.example", "/b/1").queue.name == "r1"
    assert routes.find("g.example", "/a/1") is None
    queue = routes.find("h.example", "/a/1").queue
    assert (queue.attempts, queue.latency) == (4, 0.06)


def test_older_configuration_never_replaces_a_newer_one():
    """Guards against a configuration that reverts."""
    routes = Routes()
    routes.replace(rows(row("config", configuration(5, ("r5", "h", "/")))))
    routes.apply(rows(row("config", configuration(4, ("r4", "h", "/")))))
    assert routes.version == 5
    assert routes.find("h", "/").queue.name == "r5"


def test_unreadable_configuration_leaves_the_last_one_in_force():
    routes = Routes()
    routes.replace(rows(row("config", configuration(5, ("r5", "h", "/")))))
    for broken in (b"{", b'{"version": "x"}', b"[]"):
        routes.apply(rows(row("config", broken), version=2))
    assert routes.version == 5


def test_zones_come_and_go_with_their_rows():
    routes = Routes()
    routes.replace(rows(row("evacuate/a", {}), version=3))
    assert routes.zones_out.zones == ("a",)
    routes.apply(rows(row("evacuate/a", {}, is_removed=True), version=4))
    assert (routes.zones_out.zones, routes.zones_out.version) == ((), 4)


def test_zone_taken_back_during_a_gap_of_the_feed_is_noticed():
    routes = Routes()
    routes.replace(rows(row("evacuate/a", {}), version=3))
    routes.replace(rows(version=9))
    assert routes.zones_out.zones == ()


def test_ignored_rows_are_logged(caplog):
    """Guards against an old read that leaves no trace."""
    routes = Routes()
    routes.replace(rows(row("config", configuration(5, ("r5", "h", "/")))))
    routes.apply(rows(version=9))
    with caplog.at_level("INFO"):
        routes.replace(rows(version=7))
        routes.apply(rows(row("config", configuration(4, ("r4", "h", "/")))))
    old_read, old_configuration = caplog.records
    assert (old_read.row_version, old_read.known_row_version) == (7, 9)
    assert (old_configuration.version, old_configuration.in_force) == (4, 5)


def test_configuration_is_logged_with_the_way_it_came(caplog):
    with caplog.at_level("INFO"):
        Routes().replace(rows(row("config", configuration(5))))
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
def test_values_that_mean_the_same_are_read(change):
    """Guards against a configuration refused for how a value is written."""
    content = configuration(2, ("r1", "h", "/a/"), ("r2", "h", "/b/"))
    content["routes"][1] |= change
    content["limits"] = {"max_body_bytes": None, "idle_timeout_ms": 5000}
    routes = Routes()
    routes.apply(rows(row("config", content)))
    assert routes.version == 2
    assert routes.find("h", "/b/").queue.attempts == 4
    assert routes.limits.idle_timeout == 5.0


def test_unreadable_route_does_not_hold_the_others_back(caplog):
    """Guards against one field that keeps a whole configuration away."""
    routes = Routes()
    content = configuration(1, ("r1", "h", "/a/"), ("r2", "h", "/b/"))
    routes.apply(rows(row("config", content)))
    content = configuration(2, ("r2", "h", "/b/"), ("r3", "h", "/c/"))
    content["routes"][0]["stretch"] = "a lot"
    content["routes"].append({"name": "r4", "host": "h"})
    content["routes"].append("no route")
    content["limits"] = {"max_body_bytes": "many"}
    routes.apply(rows(row("config", content)))
    assert routes.version == 2
    assert routes.find("h", "/a/") is None
    assert routes.find("h", "/b/").queue.stretch == 1.6
    assert routes.find("h", "/c/").queue.name == "r3"
    assert routes.limits.body_bytes == 262144
    unreadable = [
        line.part
        for line in caplog.records
        if line.message == "part of the configuration cannot be read"
    ]
    assert unreadable == ["route r2", "route r4", "route", "limits"]
