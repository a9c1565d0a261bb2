"""Tests of the platform's settings file."""

import pytest

from gypsumline.core.errors import InvalidInputGroup
from gypsumline.platform.settings_file import parse_settings, read_settings

TEXT = """
node=front-a-1
zone=a
ip=10.1.0.13
listen.front=10.1.0.13:8161
listen.ready=10.1.0.13:8167
port_range=7720,7735
platform.address=10.200.1.7:8169
bounds.grace_s=6
bounds.hold_max_ms=1000
bounds.stop_ms=50
bounds.retransmit_ms=1300
some.new.field=whatever
"""


def test_known_fields_are_read_and_unknown_ones_ignored():
    settings = parse_settings(TEXT)
    assert settings.member_id == "front-a-1"
    assert settings.stream_port == 7720
    assert settings.stop_limit == 6.0
    assert settings.executor_address == ""


def test_lease_settings_are_derived_from_the_bounds():
    """Guards against times that violate the bounds of an installation."""
    text = TEXT.replace("retransmit_ms=1300", "retransmit_ms=2600")
    short, long = parse_settings(TEXT).lease, parse_settings(text).lease
    assert short.max_run_time_after_contact < 1.3
    assert long.max_run_time_after_contact < 2.6
    assert long.lease <= 1.0
    assert long.contact_limit > short.contact_limit


def test_all_errors_are_reported_together():
    text = TEXT.replace("node=front-a-1", "").replace("7720,", "x,")
    text = text.replace("grace_s=6", "grace_s=soon")
    with pytest.raises(InvalidInputGroup) as caught:
        parse_settings(text)
    fields = {error.field for error in caught.value.exceptions}
    assert fields == {"node", "port_range", "bounds.grace_s"}


def test_feed_settings_are_derived_from_the_bounds():
    """Guards against a feed that is too slow for the bounds."""
    text = TEXT + "bounds.contact_ms=4000\nbounds.config_apply_ms=3000\n"
    short, long = parse_settings(TEXT), parse_settings(text)
    assert short.operator_feed.max_catch_up_time < 3.0
    assert 3.0 < long.operator_feed.max_catch_up_time < 4.0
    assert short.entries_feed.feed_wait > short.operator_feed.feed_wait


def test_unsatisfiable_bounds_are_rejected():
    text = TEXT + "bounds.contact_ms=100\n"
    with pytest.raises(InvalidInputGroup):
        parse_settings(text)


@pytest.mark.parametrize(
    "line",
    [
        "port_range=" + "7" * 5000,
        "port_range=99999",
        "listen.front=10.1.0.13:99999",
        "listen.ready=10.1.0.13",
        "platform.address=10.200.1.7:" + "8" * 5000,
        "app=:1",
        "bounds.grace_s=nan",
        "bounds.retransmit_ms=inf",
        "bounds.contact_ms=1e300",
        "bounds.hold_max_ms=" + "9" * 5000,
    ],
)
def test_impossible_ports_and_numbers_are_reported(line):
    """Guards against a start that fails without naming the field."""
    with pytest.raises(InvalidInputGroup) as caught:
        parse_settings(f"{TEXT}{line}\n")
    fields = {error.field for error in caught.value.exceptions}
    assert fields == {line.partition("=")[0]}


def test_file_that_is_not_utf8_is_reported(tmp_path):
    """Guards against a reload of the settings that raises in the loop."""
    path = tmp_path / "boot.conf"
    path.write_bytes(TEXT.encode() + b"service=\xff\n")
    with pytest.raises(InvalidInputGroup):
        read_settings(path)
