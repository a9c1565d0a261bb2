"""Tests of the parser and the diff of the operators' configuration text."""

import pytest

from gypsumline.core.configuration import (
    Client,
    Configuration,
    Limits,
    Service,
)
from gypsumline.core.configuration_text import (
    TEXT_BYTES_MAX,
    base_version_of,
    diff_texts,
    parse_configuration,
    with_base_version,
    without_base_version,
)
from gypsumline.core.errors import InvalidInputGroup

EXAMPLE = """\
services:
  ordering:
    kinds: [card, proof, label]   # optional; without it every kind is taken
    depends_on: [paper-stock]
  paper-stock:
clients:
  attica-homes: {share: 3, max_running: 400}
  2024: {}
limits: {tasks_per_job: 700}
out:
  availability_zones: [marousi]
  upstreams: [exec-7]
  services: []
"""

INVALID = """\
services:
  ordering: {kinds: [Card, proof, proof], depends_on: [paper], x: 1}
  a: {depends_on: [b]}
  b:
    depends_on:
      - c
  c: {depends_on: [a]}
  a: {}
  "": {}
  alone: {depends_on: [alone]}
clients: {x: {share: -1, max_running: 1.5}, y: 3, z: {share: .inf}}
limits: {tasks_per_job: 0, payload_bytes: true}
out: {services: [nope, 7], zones: [], upstreams: [e, e]}
first: &anchor 1
second: *anchor
third: !!int 3
"""


def errors_of(text):
    with pytest.raises(InvalidInputGroup) as caught:
        parse_configuration(text)
    assert len(caught.value.exceptions) <= 100
    return caught.value.exceptions


def test_example_becomes_the_configuration():
    """Guards against values that are lost between text and configuration."""
    assert parse_configuration(EXAMPLE) == Configuration(
        services=(
            Service(
                name="ordering",
                kinds=("card", "proof", "label"),
                depends_on=("paper-stock",),
            ),
            Service(name="paper-stock"),
        ),
        clients=(
            Client(name="attica-homes", share=3.0, max_running=400),
            Client(name="2024"),
        ),
        limits=Limits(tasks_per_job=700),
        availability_zones_out=("marousi",),
        upstreams_out=("exec-7",),
    )


@pytest.mark.parametrize("text", ["", "# nothing\n", "services:\n", "{}"])
def test_empty_text_is_the_default(text):
    """Guards against an error for a section whose entries are commented out."""
    assert parse_configuration(text) == Configuration()


def test_all_errors_come_at_once_with_their_lines(snapshot):
    """Guards against reporting only the first error of a text."""
    assert "\n".join(str(error) for error in errors_of(INVALID)) == snapshot


@pytest.mark.parametrize(
    ("text", "line", "allowed"),
    [
        ("a: b: c", 1, "valid YAML"),
        ("services:\n\t- x", 2, "valid YAML"),
        ('a: "\\UFFFFFFFF"', 1, "valid YAML"),
        ("%YAML 9" + "9" * 5000 + ".1\n---\na: 1", 1, "valid YAML"),
        ("\ud800", 1, "UTF-8"),
        ("{}\n---\n{}", 2, "one document"),
        ("%TAG ! x\n---\n{}", 2, "no directives"),
        ("? [a]\n: 1", 1, "a name before each colon"),
        ("[" * 9000, 1, "at most 8 levels"),
        ("- a", 1, "a mapping of names to values"),
        ("!" * 20_000, 1, "up to 10000 characters in a line"),
        ("services:\n" * 60_000, None, None),
        ("services:\n" * 10_000, None, None),
        ("#" * TEXT_BYTES_MAX + "\n", None, f"up to {TEXT_BYTES_MAX} bytes"),
    ],
)
def test_malicious_text_raises_a_typed_error(text, line, allowed):
    """Guards against a text that crashes the entry or blocks it for long."""
    error = errors_of(text)[0]
    if allowed is not None:
        assert (error.line, error.allowed) == (line, allowed)


def test_base_version_round_trips_and_is_ignored_by_the_parser():
    """Guards against applying a text saved by show --save to a wrong base."""
    saved = with_base_version(EXAMPLE, 12)
    assert base_version_of(saved) == 12
    assert base_version_of(EXAMPLE) is None
    assert without_base_version(with_base_version(saved, 13)) == EXAMPLE
    assert parse_configuration(saved) == parse_configuration(EXAMPLE)


def test_difference_of_texts(snapshot):
    """Guards against a diff that hides or invents changes.

    A refused change shows the operator the changes accepted in between as a
    diff.
    """
    changed = EXAMPLE.replace("[marousi]", "[]").replace("3", "4")
    assert diff_texts(EXAMPLE, changed, "version 3", "version 4") == snapshot
    assert diff_texts(EXAMPLE, EXAMPLE) == ""


def test_diff_of_long_texts_replaces_the_whole_text():
    """Guards against the quadratic run time of `difflib`."""
    old = "".join(f"a{i}\n" for i in range(5000))
    new = "".join(f"b{i}\n" for i in range(5000))
    lines = diff_texts(old, new).splitlines()
    assert len(lines) == 10_003
    assert diff_texts(old, old + "x\n").count("\n") == 7
