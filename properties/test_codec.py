"""Fuzzing of the frame decoder."""

import contextlib

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumline.core.errors import FrameError
from gypsumline.core.messages import MESSAGE_TYPES, PROTOCOL_VERSION
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
    """Returns maps with the fields of a message and any values."""
    fields = MESSAGE_TYPES[name].__dataclass_fields__
    return st.fixed_dictionaries({}, optional=dict.fromkeys(fields, VALUES))


@settings(max_examples=400, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_random_bytes_end_in_a_typed_error(body):
    """Guards against bytes that raise anything but a frame error."""
    with contextlib.suppress(FrameError):
        decode_body(body)


@settings(max_examples=600, derandomize=True, deadline=None)
@given(
    st.sampled_from(sorted(MESSAGE_TYPES)).flatmap(
        lambda name: st.tuples(st.just(name), field_values(name))
    )
)
def test_wrong_fields_end_in_a_typed_error_or_a_sound_message(case):
    """Guards against a field of a wrong type that reaches the decisions."""
    name, fields = case
    body = msgpack.packb([PROTOCOL_VERSION, name, fields])
    with contextlib.suppress(FrameError):
        message = decode_body(body)
        again = decode_body(encode_frame(message)[4:])
        assert repr(again) == repr(message)
