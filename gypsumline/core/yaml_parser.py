"""Parses a safe subset of YAML 1.2 and records the line of each value.

Only mappings with string keys, lists and scalars are accepted. Anchors,
aliases, tags, directives and multiple documents are rejected, because with
them a short text can expand to a very large value or to a value of another
type than it appears to have. Scalars follow the YAML 1.2 core schema, numbers
in decimal only; keys are always strings.
"""

from __future__ import annotations

import dataclasses
import re
import typing
from collections.abc import Iterator

from ruamel.yaml import YAML
from ruamel.yaml import events as yaml_events
from ruamel.yaml.error import MarkedYAMLError, YAMLError

from gypsumline.core.errors import InvalidInputError, InvalidInputGroup
from gypsumline.core.validation import (
    REPORTED_ERRORS_MAX,
    Location,
    field_path,
)

DEPTH_MAX = 8
# These two limits bound the run time of the pure Python parser on a malicious
# text. Its run time is quadratic in the length of a tag: 27 s for 1 MiB.
EVENTS_MAX = 50_000
LINE_CHARACTERS_MAX = 10_000

_INTEGER_PATTERN = re.compile(r"[-+]?[0-9]{1,18}")
_FLOAT_PATTERN = re.compile(
    r"[-+]?(\.[0-9]{1,40}|[0-9]{1,40}(\.[0-9]{0,40})?)([eE][-+]?[0-9]{1,3})?"
)
_CONSTANTS: dict[str, object] = {
    "": None,
    "~": None,
    "null": None,
    "Null": None,
    "NULL": None,
    "true": True,
    "True": True,
    "TRUE": True,
    "false": False,
    "False": False,
    "FALSE": False,
}


@dataclasses.dataclass(slots=True, kw_only=True)
class YamlDocument:
    """A parsed YAML document.

    Attributes:
      value: Parsed value; parts with errors are omitted.
      lines: Line of each key and list item by location, counted from 1.
      errors: Errors that did not prevent parsing of the rest.
    """

    value: typing.Any
    lines: dict[Location, int]
    errors: list[InvalidInputError]

    def line_of(self, location: Location) -> int:
        """Returns the line of a location or of its closest known ancestor."""
        known = tuple(item for item in location if item != "[key]")
        while known and known not in self.lines:
            known = known[:-1]
        return self.lines.get(known, 1)


def parse_yaml(text: str) -> YamlDocument:
    """Parses a YAML text.

    Returns:
      The value and the errors that did not stop the parser.

    Raises:
      InvalidInputGroup: The text could not be parsed to its end.
    """
    _check_line_lengths(text)
    builder = _DocumentBuilder(text)
    try:
        return builder.build()
    except InvalidInputError as error:
        found = [*builder.errors, error]
    except MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else None
        found = [*builder.errors, _syntax_error(error.problem, line)]
    except (YAMLError, ValueError, OverflowError) as error:
        # For escapes and directives out of range, the parser does not catch
        # the errors that `chr` and `int` raise.
        found = [*builder.errors, _syntax_error(error, builder.line)]
    raise InvalidInputGroup("YAML text", found)


def _check_line_lengths(text: str) -> None:
    for number, line in enumerate(text.splitlines(), start=1):
        if len(line) > LINE_CHARACTERS_MAX:
            given = f"a line of {len(line)} characters"
            allowed = f"up to {LINE_CHARACTERS_MAX} characters in a line"
            found = InvalidInputError("text", given, allowed, number)
            raise InvalidInputGroup("YAML text", [found])


def _syntax_error(problem: object, line: int | None) -> InvalidInputError:
    reason = str(problem).split("\n", maxsplit=1)[0][:100]
    return InvalidInputError("text", reason, "valid YAML", line)


class _DocumentBuilder:
    """Builds a document from the parser's events.

    Attributes:
      errors: Errors found so far that did not stop the parser.
      line: Line of the current event, counted from 1.
    """

    def __init__(self, text: str) -> None:
        self.errors: list[InvalidInputError] = []
        self.line = 1
        self._lines: dict[Location, int] = {}
        self._events = self._limit_events(
            YAML(typ="safe", pure=True).parse(text)
        )

    def build(self) -> YamlDocument:
        """Consumes all events and returns the document."""
        value: typing.Any = None
        documents = 0
        for event in self._events:
            if isinstance(event, yaml_events.DocumentStartEvent):
                documents += 1
                self._check_document_start(event, documents)
            elif isinstance(event, yaml_events.NodeEvent):
                value = self._build_value(event, ())
        return YamlDocument(value=value, lines=self._lines, errors=self.errors)

    def _limit_events(
        self, events: Iterator[typing.Any]
    ) -> Iterator[typing.Any]:
        for count, event in enumerate(events):
            self.line = event.start_mark.line + 1
            if count > EVENTS_MAX:
                allowed = f"at most {EVENTS_MAX} keys, values and brackets"
                raise InvalidInputError("text", "more", allowed, self.line)
            yield event

    def _check_document_start(
        self, event: yaml_events.DocumentStartEvent, documents: int
    ) -> None:
        if documents > 1:
            given = "a second document"
            raise InvalidInputError("text", given, "one document", self.line)
        if event.version or event.tags:
            self._add_error((), "a directive", "no directives")

    def _build_value(self, event: typing.Any, location: Location) -> typing.Any:
        if len(location) > DEPTH_MAX:
            allowed = f"at most {DEPTH_MAX} levels"
            field = field_path(location)
            raise InvalidInputError(field, "more levels", allowed, self.line)
        self._check_node(event, location)
        if isinstance(event, yaml_events.SequenceStartEvent):
            return self._build_list(location)
        if isinstance(event, yaml_events.MappingStartEvent):
            return self._build_mapping(location)
        if isinstance(event, yaml_events.AliasEvent):
            return None
        return _parse_scalar(event)

    def _check_node(self, event: typing.Any, location: Location) -> None:
        if isinstance(event, yaml_events.AliasEvent):
            self._add_error(location, f"*{event.anchor}", "no aliases")
            return
        if event.anchor is not None:
            self._add_error(location, f"&{event.anchor}", "no anchors")
        if event.tag is not None:
            self._add_error(location, event.tag, "no tags")

    def _build_list(self, location: Location) -> list[typing.Any]:
        items: list[typing.Any] = []
        for event in self._events:
            if isinstance(event, yaml_events.SequenceEndEvent):
                break
            item_location = (*location, len(items))
            self._lines[item_location] = self.line
            items.append(self._build_value(event, item_location))
        return items

    def _build_mapping(self, location: Location) -> dict[str, typing.Any]:
        mapping: dict[str, typing.Any] = {}
        for event in self._events:
            if isinstance(event, yaml_events.MappingEndEvent):
                break
            if not isinstance(event, yaml_events.ScalarEvent):
                allowed = "a name before each colon"
                field = field_path(location)
                raise InvalidInputError(field, "no name", allowed, self.line)
            self._add_entry(event, location, mapping)
        return mapping

    def _add_entry(
        self,
        event: yaml_events.ScalarEvent,
        location: Location,
        mapping: dict[str, typing.Any],
    ) -> None:
        key = str(event.value)
        key_location = (*location, key)
        self._check_node(event, key_location)
        is_new = key not in mapping
        if is_new:
            self._lines[key_location] = self.line
        else:
            first = self._lines[key_location]
            allowed = f"each key once; the first is on line {first}"
            self._add_error(key_location, key, allowed)
        # The value of a duplicate key gets its own location, so that its lines
        # do not overwrite those of the first value.
        value_location = (
            key_location if is_new else (*location, f"{key} (again)")
        )
        value = self._build_value(next(self._events), value_location)
        if is_new:
            mapping[key] = value

    def _add_error(self, location: Location, given: str, allowed: str) -> None:
        field = field_path(location)
        error = InvalidInputError(field, given, allowed, self.line)
        # The parser stops at the last error that may be reported.
        if len(self.errors) >= REPORTED_ERRORS_MAX - 1:
            raise error
        self.errors.append(error)


def _parse_scalar(event: typing.Any) -> object:
    text = str(event.value)
    if event.style:
        return text
    if text in _CONSTANTS:
        return _CONSTANTS[text]
    if _INTEGER_PATTERN.fullmatch(text):
        return int(text)
    if _FLOAT_PATTERN.fullmatch(text):
        return float(text)
    return text
