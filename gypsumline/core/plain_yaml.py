"""Reads YAML 1.2 texts of plain values, with the line of each value.

Only mappings with text keys, lists and scalars are taken. Anchors, aliases,
tags, directives and several documents are refused: they let a short text stand
for a very large value, or for a value of another type than the reader sees.
Scalars follow the YAML 1.2 core schema in decimal; keys are always text.
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
    field_name,
)

DEPTH_MAX = 8
# Both bound the time of the pure Python parser on a hostile text. It takes time
# that grows with the square of the length of a tag: 27 s for one of 1 MiB.
EVENTS_MAX = 50_000
LINE_CHARACTERS_MAX = 10_000

_INTEGER = re.compile(r"[-+]?[0-9]{1,18}")
_FLOAT = re.compile(
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
class PlainDocument:
    """A text as it was read.

    Attributes:
      value: The value; parts with errors are left out.
      lines: Line of each key and item by location, counted from 1.
      errors: Errors that did not keep the rest from being read.
    """

    value: typing.Any
    lines: dict[Location, int]
    errors: list[InvalidInputError]

    def line_of(self, location: Location) -> int:
        """Returns the line of a location or of the nearest level above."""
        known = tuple(item for item in location if item != "[key]")
        while known and known not in self.lines:
            known = known[:-1]
        return self.lines.get(known, 1)


def parse_yaml(text: str) -> PlainDocument:
    """Returns the value in a YAML text and the errors around it.

    Raises:
      InvalidInputGroup: The text cannot be read to its end.
    """
    _check_lines(text)
    reader = _Reader(text)
    try:
        return reader.read()
    except InvalidInputError as error:
        found = [*reader.errors, error]
    except MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else None
        found = [*reader.errors, _bad_yaml(error.problem, line)]
    except (YAMLError, ValueError, OverflowError) as error:
        # The parser lets the errors of `chr` and `int` through for escapes
        # and directives out of range.
        found = [*reader.errors, _bad_yaml(error, reader.line)]
    raise InvalidInputGroup("YAML text", found)


def _check_lines(text: str) -> None:
    for number, line in enumerate(text.splitlines(), start=1):
        if len(line) > LINE_CHARACTERS_MAX:
            given = f"a line of {len(line)} characters"
            allowed = f"up to {LINE_CHARACTERS_MAX} characters in a line"
            found = InvalidInputError("text", given, allowed, number)
            raise InvalidInputGroup("YAML text", [found])


def _bad_yaml(problem: object, line: int | None) -> InvalidInputError:
    reason = str(problem).split("\n", maxsplit=1)[0][:100]
    return InvalidInputError("text", reason, "valid YAML", line)


class _Reader:
    """Builds the value from the parser's events."""

    def __init__(self, text: str) -> None:
        self.errors: list[InvalidInputError] = []
        self.line = 1
        self._lines: dict[Location, int] = {}
        self._events = self._count(YAML(typ="safe", pure=True).parse(text))

    def read(self) -> PlainDocument:
        """Returns the document."""
        value: typing.Any = None
        documents = 0
        for event in self._events:
            if isinstance(event, yaml_events.DocumentStartEvent):
                documents += 1
                self._check_start(event, documents)
            elif isinstance(event, yaml_events.NodeEvent):
                value = self._value(event, ())
        return PlainDocument(value=value, lines=self._lines, errors=self.errors)

    def _count(self, parsed: Iterator[typing.Any]) -> Iterator[typing.Any]:
        for count, event in enumerate(parsed):
            self.line = event.start_mark.line + 1
            if count > EVENTS_MAX:
                allowed = f"at most {EVENTS_MAX} keys, values and brackets"
                raise InvalidInputError("text", "more", allowed, self.line)
            yield event

    def _check_start(
        self, event: yaml_events.DocumentStartEvent, documents: int
    ) -> None:
        if documents > 1:
            given = "a second document"
            raise InvalidInputError("text", given, "one document", self.line)
        if event.version or event.tags:
            self._report((), "a directive", "no directives")

    def _value(self, event: typing.Any, location: Location) -> typing.Any:
        if len(location) > DEPTH_MAX:
            allowed = f"at most {DEPTH_MAX} levels"
            field = field_name(location)
            raise InvalidInputError(field, "more levels", allowed, self.line)
        self._check_node(event, location)
        if isinstance(event, yaml_events.SequenceStartEvent):
            return self._sequence(location)
        if isinstance(event, yaml_events.MappingStartEvent):
            return self._mapping(location)
        if isinstance(event, yaml_events.AliasEvent):
            return None
        return _scalar(event)

    def _check_node(self, event: typing.Any, location: Location) -> None:
        if isinstance(event, yaml_events.AliasEvent):
            self._report(location, f"*{event.anchor}", "no aliases")
            return
        if event.anchor is not None:
            self._report(location, f"&{event.anchor}", "no anchors")
        if event.tag is not None:
            self._report(location, event.tag, "no tags")

    def _sequence(self, location: Location) -> list[typing.Any]:
        items: list[typing.Any] = []
        for event in self._events:
            if isinstance(event, yaml_events.SequenceEndEvent):
                break
            place = (*location, len(items))
            self._lines[place] = self.line
            items.append(self._value(event, place))
        return items

    def _mapping(self, location: Location) -> dict[str, typing.Any]:
        found: dict[str, typing.Any] = {}
        for event in self._events:
            if isinstance(event, yaml_events.MappingEndEvent):
                break
            if not isinstance(event, yaml_events.ScalarEvent):
                allowed = "a name before each colon"
                field = field_name(location)
                raise InvalidInputError(field, "no name", allowed, self.line)
            self._entry(event, location, found)
        return found

    def _entry(
        self,
        event: yaml_events.ScalarEvent,
        location: Location,
        found: dict[str, typing.Any],
    ) -> None:
        key = str(event.value)
        place = (*location, key)
        self._check_node(event, place)
        is_new = key not in found
        if is_new:
            self._lines[place] = self.line
        else:
            first = self._lines[place]
            allowed = f"each key once; the first is on line {first}"
            self._report(place, key, allowed)
        # A second value gets a place of its own, so that its lines do not
        # replace those of the first.
        inner = place if is_new else (*location, f"{key} (again)")
        value = self._value(next(self._events), inner)
        if is_new:
            found[key] = value

    def _report(self, location: Location, given: str, allowed: str) -> None:
        field = field_name(location)
        error = InvalidInputError(field, given, allowed, self.line)
        # The last error that is reported ends the reading.
        if len(self.errors) >= REPORTED_ERRORS_MAX - 1:
            raise error
        self.errors.append(error)


def _scalar(event: typing.Any) -> object:
    text = str(event.value)
    if event.style:
        return text
    if text in _CONSTANTS:
        return _CONSTANTS[text]
    if _INTEGER.fullmatch(text):
        return int(text)
    if _FLOAT.fullmatch(text):
        return float(text)
    return text
