"""Error types that the whole package shares."""

from __future__ import annotations

import reprlib

_SHORT = reprlib.Repr()
_SHORT.maxstring = 80
_SHORT.maxother = 80
_SHORT.maxlevel = 3


def _shorten(value: object) -> str:
    # The plain repr of a hostile value may nest too deep, be too long, or hold
    # an integer of more digits than Python converts.
    try:
        return _SHORT.repr(value)[:100]
    except (ValueError, RecursionError):
        return f"a value of type {type(value).__name__}"


class GypsumlineError(Exception):
    """Base of every failure that this package reports."""


class InvalidInputError(GypsumlineError):
    """An input at a border has a value that is not allowed.

    Attributes:
      field: Name of the field, with dots between levels.
      given: The value that was given, shortened for display.
      allowed: What is allowed, in words.
      line: Line of the text where the value stands, counted from 1, if known.
    """

    def __init__(
        self, field: str, given: object, allowed: str, line: int | None = None
    ) -> None:
        self.field = field
        self.given = _shorten(given)
        self.allowed = allowed
        self.line = line
        place = f"line {line}: " if line is not None else ""
        super().__init__(f"{place}{field} is {self.given}; allowed: {allowed}")


class InvalidInputGroup(ExceptionGroup[InvalidInputError]):
    """All invalid inputs that were found in one text or request."""


class FrameError(GypsumlineError):
    """A peer sent bytes that are not a valid frame."""


class FrameTooLargeError(FrameError):
    """A frame is longer than the size limit."""

    def __init__(self, size: int, limit: int) -> None:
        super().__init__(f"frame of {size} bytes; allowed: up to {limit}")


class ProtocolVersionError(FrameError):
    """A peer speaks no protocol version that this process speaks."""

    def __init__(self, given: object, lowest: int, highest: int) -> None:
        super().__init__(
            f"protocol version {given!r}; allowed: {lowest} to {highest}"
        )


class UnknownMessageError(FrameError):
    """A frame names a message type that is not registered."""

    def __init__(self, name: object) -> None:
        super().__init__(f"message type {name!r} is not known")


class TableError(GypsumlineError):
    """An operation on the platform's table failed."""


class TableUnavailableError(TableError):
    """The table did not answer; a write may have taken effect."""


class TableConflictError(TableError):
    """The row's version is not the one that the write expected."""

    def __init__(self, key: str, expected: int, found: int) -> None:
        self.key = key
        self.found = found
        super().__init__(
            f"row {key!r} has version {found}, the write expected {expected}"
        )
