"""Tests of the frame codec."""

import math

import msgpack
import pytest

from gypsumline.core.errors import (
    FrameError,
    FrameTooLargeError,
    MessageEncodingError,
    ProtocolVersionError,
    UnknownMessageError,
)
from gypsumline.core.leases.messages import (
    ContactPong,
    ExecutorLoad,
    RunEnd,
    RunReport,
    RunReports,
    ZonesOut,
)
from gypsumline.core.message import Goodbye
from gypsumline.core.messages import StartTasks
from gypsumline.core.task import TaskSpec
from gypsumline.wire.codec import (
    FRAME_LIMIT_BYTES,
    LENGTH,
    decode_body,
    decode_length,
    encode_frame,
)

KEY = "01a23f17-3dbc-7bf9-9c20-6e837baa2563"


def test_round_trip_keeps_nested_values():
    """Guards against fields or payloads that encoding and decoding change."""
    message = StartTasks(
        key=KEY,
        agent_incarnation=7,
        service="ordering",
        tasks=(TaskSpec(index=3, kind="card", payload=b"\xff\x00"),),
        attempts=(2,),
        deadline_left=1.5,
    )
    frame = encode_frame(message)
    assert decode_length(frame[:4]) == len(frame) - 4
    assert decode_body(frame[4:]) == message


def test_unknown_field_is_ignored():
    """Guards against errors for an extra field from a newer peer."""
    body = msgpack.packb([1, "goodbye", {"reason": "stop", "later": 1}])
    assert decode_body(body) == Goodbye(reason="stop")


@pytest.mark.parametrize(
    ("body", "error"),
    [
        (b"", FrameError),
        (b"\xc1", FrameError),
        (msgpack.packb([1, "goodbye"]), FrameError),
        (msgpack.packb([1, "goodbye", {"reason": 3}]), FrameError),
        (msgpack.packb([1, "cancel-job", {}]), UnknownMessageError),
        (
            msgpack.packb([1, "cancel_job", {"request_id": 1, "key": "k"}]),
            FrameError,
        ),
        (msgpack.packb([99, "goodbye", {}]), ProtocolVersionError),
        (msgpack.packb([1, "no-such", {}]), UnknownMessageError),
        (msgpack.packb([1, ["x"], {}]), UnknownMessageError),
    ],
)
def test_invalid_body_raises_a_typed_error(body, error):
    """Guards against an invalid frame that crashes the process."""
    with pytest.raises(error):
        decode_body(body)


def test_length_over_the_limit_is_rejected_before_the_body_is_read():
    """Guards against a length header that leads to unbounded memory use."""
    with pytest.raises(FrameTooLargeError):
        decode_length(LENGTH.pack(FRAME_LIMIT_BYTES + 1))


@pytest.mark.parametrize("stamp", [math.nan, math.inf, 1e300])
def test_stamp_out_of_bounds_is_rejected(stamp):
    """Guards against an owner that counts as in contact for ever."""
    body = encode_frame(ContactPong(stamp=stamp))[4:]
    with pytest.raises(FrameError):
        decode_body(body)


@pytest.mark.parametrize("run_time", [math.nan, math.inf, -math.inf])
def test_run_time_that_is_no_number_is_rejected(run_time):
    """Guards against an estimate that no later run time can correct."""
    report = RunReport(task="t", attempt=1, end=RunEnd.DONE, run_time=run_time)
    message = RunReports(reports=(report,), load=ExecutorLoad())
    with pytest.raises(FrameError):
        decode_body(encode_frame(message)[4:])


@pytest.mark.parametrize(
    "message",
    [
        ZonesOut(version=10**400, zones=()),
        ZonesOut(version=1, zones=("\ud800",)),
        ZonesOut(version=1, zones=(object(),)),
    ],
)
def test_message_that_cannot_be_encoded_raises_a_typed_error(message):
    """Guards against an error that ends the task of the sender."""
    with pytest.raises(MessageEncodingError):
        encode_frame(message)


@pytest.mark.parametrize(
    "body",
    [
        msgpack.packb([1, "x" * 100_000, {}]),
        msgpack.packb(["x" * 100_000, "goodbye", {}]),
        b"\x93" + b"\x91" * 900 + b"\x01\x01\x01",
    ],
)
def test_error_about_a_frame_is_short(body):
    """Guards against log lines as long as a peer likes."""
    with pytest.raises(FrameError) as caught:
        decode_body(body)
    assert len(str(caught.value)) < 300


ORDER = {"task": "t", "attempt": 1, "resources": {"processor": -1}}
WISH = {"priority": 0, "slack": 0.0, "processor": -1}


@pytest.mark.parametrize(
    ("name", "fields"),
    [
        (
            "start_runs",
            {"key": "k", "stamp": 0.0, "spec": "s", "orders": [ORDER]},
        ),
        ("contact_pong", {"stamp": 0.0, "wish": WISH}),
        ("stop_runs", {"tasks": ["t"], "attempts": []}),
        ("claim_runs", {"tasks": [], "attempts": [1]}),
    ],
)
def test_message_with_impossible_contents_is_rejected(name, fields):
    """Guards against an order that frees capacity, and unnamed attempts."""
    with pytest.raises(FrameError):
        decode_body(msgpack.packb([1, name, fields]))
