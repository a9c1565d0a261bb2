"""Tests of the settings."""

import pathlib
import re

import pydantic
import pytest

import gypsumline
from gypsumline.cli.setting_values import Origin
from gypsumline.cli.settings import (
    SETTINGS_BY_ROLE,
    AgentSettings,
    EntrySettings,
    effective_settings,
    load_settings,
    setting_errors,
)
from gypsumline.core.errors import InvalidInputGroup

ENTRY = {
    "member_id": "entry-1",
    "availability_zone": "piraeus",
    "host": "127.0.0.1",
    "table_url": "http://127.0.0.1:9000/",
}
AGENT = {
    "member_id": "agent-1",
    "availability_zone": "piraeus",
    "host": "::1",
    "peers": "10.0.0.1:7400, [::1]:7401",
}


def test_flag_wins_over_environment_and_default(monkeypatch):
    """Guards against an environment variable that overrides a flag."""
    monkeypatch.setenv("GYPSUMLINE_EVIDENCE_TTL", "1.5")
    monkeypatch.setenv("GYPSUMLINE_SEED", "7")
    monkeypatch.setenv("GYPSUMLINE_STOP_LIMIT", "")
    flags = {**ENTRY, "seed": "8"}
    settings = load_settings(EntrySettings, flags)
    assert (settings.seed, settings.evidence_ttl) == (8, 1.5)
    assert settings.table_url == "http://127.0.0.1:9000"
    shown = {s.name: s for s in effective_settings(EntrySettings, flags)}
    assert shown["seed"].origin is Origin.FLAG
    assert shown["evidence_ttl"].origin is Origin.ENVIRONMENT
    assert shown["stop_limit"].origin is Origin.DEFAULT
    assert set(shown) == set(EntrySettings.model_fields)


def test_peers_are_split_and_normalised():
    """Guards against a list setting that accepts only JSON."""
    settings = load_settings(AgentSettings, AGENT)
    assert settings.peers == ("10.0.0.1:7400", "[::1]:7401")


@pytest.mark.parametrize(
    ("changes", "fields"),
    [
        ({"evidence_ttl": "3"}, ["evidence_ttl"]),
        ({"heartbeat_interval": "0.9"}, []),
        (
            {"heartbeat_interval": "1"},
            ["evidence_ttl", "heartbeat_interval", "silence_limit"],
        ),
        ({"resubmission_horizon": "62"}, ["deadline_max"]),
        ({"silence_limit": "0.5"}, ["silence_limit"]),
        ({"suspect_after": "0.5"}, ["suspect_after"]),
        ({"table_poll_interval": "2"}, ["table_poll_interval"]),
        ({"deadline_max": "nan"}, ["deadline_max"]),
        ({"host": "localhost"}, ["host"]),
        ({"host": "0.0.0.0"}, ["host"]),
        ({"port": "65536"}, ["port"]),
        ({"table_url": "http://table:9000"}, ["table_url"]),
        ({"table_url": "http://10.0.0.1:x"}, ["table_url"]),
        ({"table_url": "http://[::1"}, ["table_url"]),
        ({"port": "9" * 5000}, ["port"]),
        ({"peers": "10.0.0.1"}, ["peers"]),
        ({"peers": "10.0.0.1:7400/x"}, ["peers"]),
        ({"placement_policy": "best"}, ["placement_policy"]),
        ({"member_id": "A", "seed": "-1"}, ["member_id", "seed"]),
        ({"seed": "x", "silence_limit": "0.1"}, ["seed", "silence_limit"]),
    ],
)
def test_all_errors_are_reported_at_once(changes, fields):
    """Guards against relation checks that one invalid field disables."""
    found = setting_errors(EntrySettings, {**ENTRY, **changes})
    assert [error.field for error in found] == fields
    if fields:
        with pytest.raises(InvalidInputGroup):
            load_settings(EntrySettings, {**ENTRY, **changes})


def test_relations_hold_for_settings_made_in_code():
    """Guards against tests that use settings which break the relations."""
    with pytest.raises(pydantic.ValidationError, match="evidence_ttl"):
        EntrySettings(**{**ENTRY, "evidence_ttl": 5.0})


def test_unknown_variable_is_an_error(monkeypatch):
    """Guards against a mistyped variable that is silently ignored."""
    monkeypatch.setenv("GYPSUMLINE_EVIDENCE_TLL", "1")
    monkeypatch.setenv("GYPSUMLINE_ENTRY", "http://127.0.0.1:8080")
    found = setting_errors(AgentSettings, AGENT)
    assert [error.field for error in found] == ["GYPSUMLINE_EVIDENCE_TLL"]


def test_error_names_the_origin_of_the_value(monkeypatch):
    """Guards against an error that does not name the origin of the value."""
    monkeypatch.setenv("GYPSUMLINE_SEED", "many")
    flags = {"evidence_ttl": "4", "host": "::1"}
    texts = [str(error) for error in setting_errors(AgentSettings, flags)]
    assert "member_id is not set; allowed: a value; the field is required" in (
        texts
    )
    assert "seed is 'many' (from environment); allowed: a whole number" in texts
    assert any("evidence_ttl 4, heartbeat" in text for text in texts)


def test_every_setting_is_used():
    """Guards against a documented setting that no module reads."""
    root = pathlib.Path(gypsumline.__file__).parent
    modules = [
        path
        for name in ("agent", "entry", "runtime", "wire")
        for path in (root / name).glob("*.py")
    ]
    modules.append(root / "cli" / "core_settings.py")
    text = "".join(path.read_text() for path in modules)
    for model in SETTINGS_BY_ROLE.values():
        for name in model.model_fields:
            assert re.search(rf"\bsettings\.{name}\b|\"{name}\"", text), name
