"""Tests of submission keys."""

import time
import uuid

import pytest

from gypsumline.core.errors import InvalidInputError
from gypsumline.core.submissions.submission_key import (
    generate_key,
    key_time,
    parse_key,
)


def test_key_time_is_the_creation_time():
    """Guards against a key's age that selects a wrong owner.

    The age also decides whether the key has expired.
    """
    before = time.time()
    key = generate_key()
    assert before - 0.01 <= key_time(key) <= time.time() + 0.01


def test_burst_of_keys_stays_at_the_current_time():
    """Guards against a generator whose times run ahead of the clock."""
    for _ in range(20_000):
        key = generate_key()
    assert key_time(key) <= time.time() + 0.01


def test_parse_key_returns_the_canonical_form():
    """Guards against two spellings of one key that count as two keys."""
    key = generate_key()
    assert parse_key(key.upper()) == key
    assert parse_key(f"{{{key}}}") == key


@pytest.mark.parametrize("text", ["", "order-17", str(uuid.uuid4())])
def test_text_that_is_not_uuid7_is_refused(text):
    """Guards against a key without a time.

    Neither its owner nor its expiry could be determined.
    """
    with pytest.raises(InvalidInputError, match="UUIDv7"):
        parse_key(text)
