"""Tests of the examples in the documents."""

import dataclasses
import json
import pathlib
import re

from gypsumline.cli.exit_status import ExitStatus
from gypsumline.cli.main import app
from gypsumline.core.configuration import Limits
from gypsumline.core.configuration_text import parse_configuration
from gypsumline.core.message import MESSAGE_TYPES
from gypsumline.interface.http_models import parse_job
from gypsumline.tests.document_names import (
    missing_names,
    pages,
    source_names,
)

ROOT = pathlib.Path(__file__).parents[2]


def blocks(name, language):
    text = (ROOT / name).read_text(encoding="utf-8")
    return re.findall(rf"```{language}\n(.*?)```", text, re.DOTALL)


def test_examples_of_the_configuration_are_valid():
    """Guards against an example that operators copy and that is refused."""
    found = blocks("docs/configuration.md", "yaml") + blocks(
        "README.md", "yaml"
    )
    assert len(found) == 2
    for text in found:
        parse_configuration(text)


def test_example_of_a_job_is_valid():
    """Guards against an example that callers copy and that is refused."""
    raw = blocks("docs/protocol.md", "json")[0].encode()
    assert json.loads(raw)["timeout"] == parse_job(raw, Limits(), 60, 0).timeout


def test_commands_and_exit_statuses_are_listed():
    """Guards against a command or an exit status without documentation."""
    text = (ROOT / "docs/commands.md").read_text(encoding="utf-8")
    names = [c.name or c.callback.__name__ for c in app.registered_commands]
    for group in app.registered_groups:
        for command in group.typer_instance.registered_commands:
            names.append(f"{group.name} {command.callback.__name__}")
    assert len(names) == 12
    missing = [name for name in names if f"`gypsumline {name}" not in text]
    assert missing == []
    assert all(f"\n| {status.value} |" in text for status in ExitStatus)


def test_messages_and_their_fields_are_listed():
    """Guards against a message or a field without documentation."""
    text = (ROOT / "docs/protocol.md").read_text(encoding="utf-8")
    rows = dict(re.findall(r"^\| `(\w+)` \| [^|]+ \| ([^|]+) \|", text, re.M))
    for name, message_type in MESSAGE_TYPES.items():
        fields = [field.name for field in dataclasses.fields(message_type)]
        listed = ", ".join(f"`{field}`" for field in fields) or "none"
        assert rows[name] == listed


def test_names_in_the_pages_exist():
    """Guards against a page that names what was renamed or removed."""
    known = source_names()
    missing = {page.name: missing_names(page, known) for page in pages()}
    assert {page: names for page, names in missing.items() if names} == {}
