"""Base of all messages between the processes, and the first and last one.

Each message is a data class that `register_message` registers under its name
on the wire. New fields need a default, and a peer ignores unknown fields, so
that processes of different releases can communicate.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import ClassVar, TypeVar, cast, dataclass_transform

from gypsumline.core.identity import Member

PROTOCOL_VERSION = 1
LOWEST_PROTOCOL_VERSION = 1

MESSAGE_TYPES: dict[str, type[Message]] = {}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """Base class of all messages.

    Attributes:
      wire_name: Name of the message type on the wire.
    """

    wire_name: ClassVar[str] = ""


_MessageType = TypeVar("_MessageType", bound=type[Message])


@dataclass_transform(frozen_default=True, kw_only_default=True)
def register_message(name: str) -> Callable[[_MessageType], _MessageType]:
    """Returns a decorator that registers a message type under its wire name."""

    def register(cls: _MessageType) -> _MessageType:
        make = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
        data_class = cast(_MessageType, make(cls))
        data_class.wire_name = name
        MESSAGE_TYPES[name] = data_class
        return data_class

    return register


@register_message("hello")
class Hello(Message):
    """First message on each connection, sent by both sides."""

    member: Member
    lowest_version: int = LOWEST_PROTOCOL_VERSION
    highest_version: int = PROTOCOL_VERSION


@register_message("goodbye")
class Goodbye(Message):
    """Last message before a connection is closed on purpose."""

    reason: str
