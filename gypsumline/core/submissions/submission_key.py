"""Submission keys: UUIDv7 (RFC 9562), which contain their creation time."""

from __future__ import annotations

import uuid

import uuid_utils

from gypsumline.core.errors import InvalidInputError

_MILLISECONDS_PER_SECOND = 1000
_UUID_VERSION = 7
# Canonical form; its first two groups are the 48-bit time in milliseconds.
KEY_PATTERN = (
    r"^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$"
)
_TIME_HIGH = slice(0, 8)
_TIME_LOW = slice(9, 13)


def generate_key() -> str:
    """Returns a new key with the current time."""
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

    Decoded frames contain only canonical keys, so the digits are read without a
    check. This runs for each message of a job.
    """
    milliseconds = int(key[_TIME_HIGH] + key[_TIME_LOW], 16)
    return milliseconds / _MILLISECONDS_PER_SECOND
