"""Submission keys: UUIDv7 (RFC 9562), so that a key tells its own age."""

from __future__ import annotations

import uuid

import uuid6

from gypsumline.core.errors import InvalidInputError

_MILLISECONDS_PER_SECOND = 1000
_TIMESTAMP_SHIFT = 80
_UUID_VERSION = 7


def generate_key() -> str:
    """Returns a new key with the present time in it."""
    return str(uuid6.uuid7())


def parse_key(text: str) -> str:
    """Returns the canonical form of a key.

    Raises:
      InvalidInputError: The text is not a UUIDv7.
    """
    allowed = "a UUIDv7 (RFC 9562)"
    try:
        parsed = uuid.UUID(text)
    except ValueError as error:
        raise InvalidInputError("Idempotency-Key", text, allowed) from error
    if parsed.version != _UUID_VERSION:
        raise InvalidInputError("Idempotency-Key", text, allowed)
    return str(parsed)


def key_time(key: str) -> float:
    """Returns the time in a key, in UTC seconds."""
    return (uuid.UUID(key).int >> _TIMESTAMP_SHIFT) / _MILLISECONDS_PER_SECOND
