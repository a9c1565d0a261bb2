"""The list of the agents that keep locks on submission keys.

All processes derive the keepers of a key from this list, and not from the
agents that they happen to reach: two processes that reach different agents then
still ask the same ones. The list is stored and versioned.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

from gypsumline.core.message import Message, register_message

# Agents that keep the lock on one key.
KEEPERS_PER_KEY = 3
# Bounds the size of a list, of which each agent and entry reads each version.
KEEPERS_MAX = 256


class Keeper(NamedTuple):
    """An agent that keeps locks, under any of its incarnations."""

    member_id: str
    availability_zone: str


@register_message("keeper_list")
class KeeperList(Message):
    """One version of the list.

    Attributes:
      version: Version, 1 for the first list.
      members: The agents, sorted.
      previous: Agents of the version before. Locks need a quorum under both
        until no owner uses that version any more.
      is_reset: Whether the version before lost a majority of its agents, so
        that no quorum of it can be had. Owners use such a list after
        `keepers_settling`.
    """

    version: int
    members: tuple[Keeper, ...]
    previous: tuple[Keeper, ...] = ()
    is_reset: bool = False


@register_message("request_keeper_list")
class RequestKeeperList(Message):
    """Requests the newest list that an agent knows."""


def quorum(members: int) -> int:
    """Returns the size of a majority."""
    return members // 2 + 1


def rank(key: str, member_id: str) -> int:
    """Returns the rank of an agent for a key, by rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(f"{key}/{member_id}".encode())


def choose_keepers(key: str, members: Iterable[Keeper]) -> tuple[str, ...]:
    """Returns the agents that keep the lock on a key, the highest rank first.

    They are in different availability zones as far as possible, so that the
    loss of one zone leaves a quorum.
    """
    ranked = sorted(
        members, key=lambda each: rank(key, each.member_id), reverse=True
    )
    zones: set[str] = set()
    first: list[str] = []
    others: list[str] = []
    for keeper in ranked:
        is_new_zone = keeper.availability_zone not in zones
        zones.add(keeper.availability_zone)
        (first if is_new_zone else others).append(keeper.member_id)
    chosen = (first + others)[:KEEPERS_PER_KEY]
    return sort_by_rank(key, chosen)


def sort_by_rank(key: str, member_ids: Iterable[str]) -> tuple[str, ...]:
    """Returns agents in the order in which owners acquire their locks."""
    unique: Sequence[str] = sorted(set(member_ids))
    return tuple(sorted(unique, key=lambda m: rank(key, m), reverse=True))
