"""Property tests of the parser of the operators' configuration text."""

import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumline.core.configuration import (
    Client,
    Configuration,
    Limits,
    Service,
)
from gypsumline.core.configuration_text import parse_configuration
from gypsumline.core.errors import InvalidInputError, InvalidInputGroup

VALID = """\
services:
  ordering: {kinds: [card, proof], depends_on: [paper-stock]}
  paper-stock: {}
clients:
  attica-homes: {share: 3, max_running: 400}
limits: {tasks_per_job: 720, payload_bytes: 65536}
out:
  availability_zones: [marousi]
"""

# Fragments that have a meaning in YAML or in the configuration format.
FRAGMENTS = st.sampled_from(
    list("{}[]:,-?&*!|>'\"%@`#~\\ \n\t\r.=<0a\x85\u2028\ufeff\x00\U0001f600")
    + ["services", "clients", "limits", "out", "kinds", "depends_on", "share"]
    + [": ", "\n  ", "- ", "---\n", "...\n", "<<: ", "&a ", "*a", "!!map "]
    + ["%YAML 1.1\n", "%TAG ! !\n", "\\U00110000", "1e999", "0x_", "9" * 50]
    + ["|9\n", ">-\n", "? ", "''", '"\\x', "!<", "\ud800", "2001-01-01"]
)
NAMES = st.from_regex(r"[a-z0-9-]{1,10}", fullmatch=True)


def parse_or_reject(text):
    """Parses a text and checks the result or the typed errors.

    Any other error fails the test.
    """
    try:
        result = parse_configuration(text)
    except InvalidInputGroup as group:
        lines = len(text.splitlines()) + 1
        for error in group.exceptions:
            assert isinstance(error, InvalidInputError)
            assert error.field
            assert error.allowed
            assert error.line is None or 1 <= error.line <= lines
        return None
    assert isinstance(result, Configuration)
    return result


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(FRAGMENTS, max_size=40).map("".join))
def test_yaml_fragments_raise_only_typed_errors(text):
    """Guards against malicious texts that raise untyped errors."""
    parse_or_reject(text)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.text(max_size=200))
def test_any_text_raises_only_typed_errors(text):
    """Guards against unexpected characters that raise untyped errors."""
    parse_or_reject(text)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.integers(0, len(VALID)), st.integers(0, 6), FRAGMENTS),
        min_size=1,
        max_size=4,
    )
)
def test_edits_of_a_valid_text_raise_only_typed_errors(edits):
    """Guards against untyped errors that only an almost valid text triggers."""
    text = VALID
    for start, length, fragment in edits:
        text = text[:start] + fragment + text[start + length :]
    parse_or_reject(text)


@st.composite
def configurations(draw):
    """Draws a valid configuration."""
    names = draw(st.lists(NAMES, max_size=6, unique=True))
    services = []
    for position, name in enumerate(names):
        # Depending only on earlier services avoids cycles.
        earlier = names[:position]
        dependencies = st.lists(st.sampled_from(earlier or [""]), unique=True)
        services.append(
            Service(
                name=name,
                kinds=tuple(draw(st.lists(NAMES, max_size=3, unique=True))),
                depends_on=tuple(draw(dependencies)) if earlier else (),
            )
        )
    clients = [
        Client(
            name=name,
            share=draw(st.floats(0.001, 1000)),
            max_running=draw(st.integers(0, 10**9)),
        )
        for name in draw(st.lists(NAMES, max_size=4, unique=True))
    ]
    lists = st.lists(NAMES, max_size=3, unique=True)
    out = draw(st.lists(st.sampled_from(names or [""]), unique=True))
    return Configuration(
        services=tuple(services),
        clients=tuple(clients),
        limits=Limits(
            tasks_per_job=draw(st.integers(1, 10_000)),
            payload_bytes=draw(st.integers(1, 2**20)),
        ),
        availability_zones_out=tuple(draw(lists)),
        upstreams_out=tuple(draw(lists)),
        services_out=tuple(out) if names else (),
    )


def render(configuration):
    """Returns a configuration text that describes a configuration."""
    lines = ["services:"]
    for service in configuration.services:
        lines += [f"  {service.name}:"]
        lines += [f"    kinds: {render_names(service.kinds)}"]
        lines += [f"    depends_on: {render_names(service.depends_on)}"]
    lines += ["clients:"]
    for client in configuration.clients:
        lines += [f"  {client.name}:"]
        lines += [f"    share: {client.share!r}"]
        lines += [f"    max_running: {client.max_running}"]
    limits = configuration.limits
    lines += ["limits:", f"  tasks_per_job: {limits.tasks_per_job}"]
    lines += [f"  payload_bytes: {limits.payload_bytes}", "out:"]
    zones = render_names(configuration.availability_zones_out)
    lines += [f"  availability_zones: {zones}"]
    lines += [f"  upstreams: {render_names(configuration.upstreams_out)}"]
    lines += [f"  services: {render_names(configuration.services_out)}"]
    return "\n".join(lines)


def render_names(names):
    return "[" + ", ".join(f'"{name}"' for name in names) + "]"


@settings(max_examples=100, deadline=None, derandomize=True)
@given(configurations())
def test_rendered_configuration_parses_to_itself(configuration):
    """Guards against names and numbers that YAML parses as other types."""
    assert parse_configuration(render(configuration)) == configuration


def count_calls(text):
    """Returns the number of function calls that parsing a text takes."""
    calls = 0

    def count(_frame, event, _argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        parse_or_reject(text)
    finally:
        sys.setprofile(None)
    return calls


@pytest.mark.parametrize(
    "unit",
    ["a: [\n", "a:\n", "- a\n", "a{0}: {{}}\n", "#\n", "\n", "x \n", "! \n"]
    + ["&a \n", "'\n", "? a\n", " x\n", "a: {{b: \n", '"\\x41" ', "{{a: b}},"],
)
def test_parsing_cost_is_linear_in_the_text_length(unit):
    """Guards against a text that occupies the entry for minutes.

    Counts function calls instead of time, so that the result does not depend on
    the machine. Twice the text may take at most 2.5 times as many calls.
    """
    texts = ["".join(unit.format(i) for i in range(n)) for n in (400, 800)]
    shorter, longer = (count_calls(text) for text in texts)
    assert longer <= 2.5 * shorter
