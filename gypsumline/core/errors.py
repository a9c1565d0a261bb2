"""Error types that are used throughout the package."""

from __future__ import annotations

import reprlib

_SHORT_REPR = reprlib.Repr()
_SHORT_REPR.maxstring = 80
_SHORT_REPR.maxother = 80
_SHORT_REPR.maxlevel = 3


def _shorten(value: object) -> str:
    # The built-in repr of an untrusted value may exceed the recursion limit, be
    # very long, or fail on an integer with more digits than Python converts.
    try:
        return _SHORT_REPR.repr(value)[:100]
    except (ValueError, RecursionError):
        return f"a value of type {type(value).__name__}"


class GypsumlineError(Exception):
    """Base class of all errors that this package raises."""


class InvalidInputError(GypsumlineError):
    """An external input has a value that is not allowed.

    Attributes:
      field: Dotted path of the field.
      given: Representation of the given value, shortened for display.
      allowed: Description of the allowed values.
      line: Line of the value in the text, counted from 1; None if unknown.
    """

    def __init__(
        self, field: str, given: object, allowed: str, line: int | None = None
    ) -> None:
        self.field = field
        self.given = _shorten(given)
        self.allowed = allowed
        self.line = line
        prefix = f"line {line}: " if line is not None else ""
        super().__init__(f"{prefix}{field} is {self.given}; allowed: {allowed}")


class InvalidInputGroup(ExceptionGroup[InvalidInputError]):
    """All invalid inputs found in one text or request."""


class FrameError(GypsumlineError):
    """A frame cannot be decoded or sent."""


class FrameTooLargeError(FrameError):
    """A frame exceeds the size limit."""

    def __init__(self, size: int, limit: int) -> None:
        super().__init__(f"frame of {size} bytes; allowed: up to {limit}")


class MessageEncodingError(FrameError):
    """A message has a value that no frame can carry."""


class ProtocolVersionError(FrameError):
    """A peer supports no protocol version that this process supports."""

    def __init__(self, given: object, lowest: int, highest: int) -> None:
        super().__init__(
            f"protocol version {_shorten(given)}; "
            f"allowed: {lowest} to {highest}"
        )


class UnknownMessageError(FrameError):
    """A frame names a message type that is not registered."""

    def __init__(self, name: object) -> None:
        super().__init__(f"message type {_shorten(name)} is not known")


class TableError(GypsumlineError):
    """An operation on the platform's table service failed."""


class TableUnavailableError(TableError):
    """The table service did not answer; a write may have taken effect."""


class TableConflictError(TableError):
    """A row's version differs from the one that the write expected."""

    def __init__(self, key: str, expected: int, found: int) -> None:
        self.key = key
        self.found = found
        super().__init__(
            f"row {key!r} has version {found}, the write expected {expected}"
        )
