"""Encodes and decodes frames: a 4-byte big-endian length and a msgpack body.

The body is `[protocol_version, message_name, fields]`.
"""

from __future__ import annotations

import functools
import struct

import msgspec

from gypsumline.core.errors import (
    FrameError,
    FrameTooLargeError,
    MessageEncodingError,
    ProtocolVersionError,
    UnknownMessageError,
)
from gypsumline.core.message import (
    LOWEST_PROTOCOL_VERSION,
    MESSAGE_TYPES,
    PROTOCOL_VERSION,
    Message,
)

FRAME_LIMIT_BYTES = 4 * 1024 * 1024
LENGTH = struct.Struct(">I")
_ENCODER = msgspec.msgpack.Encoder()
_BODY_DECODER = msgspec.msgpack.Decoder(tuple[object, object, msgspec.Raw])


def encode_frame(message: Message, version: int = PROTOCOL_VERSION) -> bytes:
    """Encodes a message as a frame, including the length header.

    Args:
      message: Message to encode.
      version: Protocol version that both sides support.

    Raises:
      FrameTooLargeError: The encoded message exceeds the limit.
      MessageEncodingError: A value is not of its type, or is an integer of
        more than 64 bits.
    """
    try:
        body = _ENCODER.encode((version, message.wire_name, message))
    except (OverflowError, TypeError, ValueError, RecursionError) as error:
        raise MessageEncodingError(
            f"message {message.wire_name!r} cannot be encoded: {error}"
        ) from error
    if len(body) > FRAME_LIMIT_BYTES:
        raise FrameTooLargeError(len(body), FRAME_LIMIT_BYTES)
    return LENGTH.pack(len(body)) + body


def decode_body(body: bytes) -> Message:
    """Decodes the message in a frame body.

    Raises:
      FrameError: The body is not a valid message of a known type and version.
    """
    version, name, fields = _unpack(body)
    if type(version) is not int or not (
        LOWEST_PROTOCOL_VERSION <= version <= PROTOCOL_VERSION
    ):
        raise ProtocolVersionError(
            version, LOWEST_PROTOCOL_VERSION, PROTOCOL_VERSION
        )
    if not isinstance(name, str) or name not in MESSAGE_TYPES:
        raise UnknownMessageError(name)
    try:
        return _message_decoder(name).decode(fields)
    except (msgspec.DecodeError, RecursionError) as error:
        raise FrameError(f"message {name!r} is invalid: {error}") from error


def decode_length(header: bytes, limit: int = FRAME_LIMIT_BYTES) -> int:
    """Decodes the body length, in bytes, from a frame header.

    Raises:
      FrameTooLargeError: The length exceeds the limit.
    """
    size: int = LENGTH.unpack(header)[0]
    if size > limit:
        raise FrameTooLargeError(size, limit)
    return size


def _unpack(body: bytes) -> tuple[object, object, msgspec.Raw]:
    try:
        return _BODY_DECODER.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise FrameError(
            f"frame is not a list of version, name and fields: {error}"
        ) from error


@functools.cache
def _message_decoder(name: str) -> msgspec.msgpack.Decoder[Message]:
    return msgspec.msgpack.Decoder(MESSAGE_TYPES[name])
