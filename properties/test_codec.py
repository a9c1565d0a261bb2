"""Fuzz tests of the frame decoder."""

import contextlib

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

import gypsumline.core.leases.messages
import gypsumline.core.messages  # noqa: F401  registers its messages
from gypsumline.core.errors import FrameError
from gypsumline.core.message import MESSAGE_TYPES, PROTOCOL_VERSION
from gypsumline.wire.codec import decode_body, encode_frame

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(min_value=-(2**63), max_value=2**64 - 1)
    | st.floats()
    | st.text(max_size=20)
    | st.binary(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=12), inner, max_size=4)
    ),
    max_leaves=12,
)


def field_values(name):
    """Returns a strategy for field mappings of a message with any values."""
    fields = MESSAGE_TYPES[name].__dataclass_fields__
    return st.fixed_dictionaries({}, optional=dict.fromkeys(fields, VALUES))


@settings(max_examples=400, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_random_bytes_raise_only_typed_errors(body):
    """Guards against bytes that raise any error other than `FrameError`."""
    with contextlib.suppress(FrameError):
        decode_body(body)


@settings(max_examples=600, derandomize=True, deadline=None)
@given(
    st.sampled_from(sorted(MESSAGE_TYPES)).flatmap(
        lambda name: st.tuples(st.just(name), field_values(name))
    )
)
def test_random_fields_raise_a_typed_error_or_round_trip(case):
    """Guards against fields of a wrong type that reach the decision logic."""
    name, fields = case
    body = msgpack.packb([PROTOCOL_VERSION, name, fields])
    with contextlib.suppress(FrameError):
        message = decode_body(body)
        decoded_again = decode_body(encode_frame(message)[4:])
        assert repr(decoded_again) == repr(message)
