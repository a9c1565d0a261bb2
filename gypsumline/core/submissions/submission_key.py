"""Submission keys: UUIDv7 (RFC 9562), so that a key tells its own age."""

from __future__ import annotations

import uuid

import uuid_utils

from gypsumline.core.errors import InvalidInputError

_MILLISECONDS_PER_SECOND = 1000
_UUID_VERSION = 7
# Canonical form: the first 48 bits are the time, in two groups.
KEY_PATTERN = (
    r"^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$"
)
_TIME_HIGH = slice(0, 8)
_TIME_LOW = slice(9, 13)


def generate_key() -> str:
    """Returns a new key with the present time in it."""
    return str(uuid_utils.uuid7())


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
    if parsed.version != _UUID_VERSION or parsed.variant != uuid.RFC_4122:
        raise InvalidInputError("Idempotency-Key", text, allowed)
    return str(parsed)


def key_time(key: str) -> float:
    """Returns the time in a canonical key, in UTC seconds.

    Frames are checked for the canonical form when they are decoded, so the
    digits are read directly; this is on the path of each message of a job.
    """
    milliseconds = int(key[_TIME_HIGH] + key[_TIME_LOW], 16)
    return milliseconds / _MILLISECONDS_PER_SECOND
