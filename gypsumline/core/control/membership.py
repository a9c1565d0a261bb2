"""Computes the next control record after members join, leave or fail.

All functions are pure. One revision can apply several changes.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable

from gypsumline.core.control.control_settings import ControlSettings
from gypsumline.core.control.record import (
    ControlRecord,
    OwnerEpoch,
    RegisteredAgent,
)
from gypsumline.core.control.voter import is_listed
from gypsumline.core.identity import Member, Role


class Liveness(enum.Enum):
    """Liveness of a process by the time since its last message.

    Attributes:
      ALIVE: At most `suspect_after`.
      SILENT: Longer than that, but at most `agent_expiry_timeout`.
      EXPIRED: Longer than `agent_expiry_timeout`, after which no owner needs
        the journal of the process.
    """

    ALIVE = "alive"
    SILENT = "silent"
    EXPIRED = "forgotten"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberObservation:
    """State of one process as observed by the writer.

    Attributes:
      member: Its newest known incarnation.
      liveness: Its liveness.
      connected: Whether a connection to it is open.
      joining: Whether it is an entry that requests to become a member.
      leaving: Whether it announced a planned leave.
    """

    member: Member
    liveness: Liveness
    connected: bool = False
    joining: bool = False
    leaving: bool = False

    @property
    def is_reachable(self) -> bool:
        """Whether the process is connected and alive."""
        return self.connected and self.liveness is Liveness.ALIVE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembershipChange:
    """Differences between a record and the observed processes.

    Attributes:
      joined: Entries to add.
      removed: Entries to remove.
      registered: Agents to register, or whose availability zone changed.
      expired: Ids of agents to remove.
      owners: Owner set of a new epoch, or empty for no new epoch.
      voters: Voters of the next revision.
      voters_changed: Whether they differ from the current voters.
    """

    joined: tuple[Member, ...] = ()
    removed: tuple[Member, ...] = ()
    registered: tuple[RegisteredAgent, ...] = ()
    expired: tuple[str, ...] = ()
    owners: tuple[Member, ...] = ()
    voters: tuple[Member, ...] = ()
    voters_changed: bool = False

    @property
    def is_needed(self) -> bool:
        """Whether the record must change."""
        return bool(
            self.joined
            or self.removed
            or self.registered
            or self.expired
            or self.owners
            or self.voters_changed
        )


def plan_change(
    record: ControlRecord,
    observations: Iterable[MemberObservation],
    settings: ControlSettings,
) -> MembershipChange:
    """Returns the changes that make a record match the observations.

    Args:
      record: The newest record.
      observations: One for each known process, including the writer. A listed
        process without an observation counts as alive.
      settings: Settings of the control state.
    """
    observed = {
        observation.member.member_id: observation
        for observation in observations
    }
    removed = _removed_entries(record, observed)
    joined = _joined_entries(record, observed)
    entries = _merge_entries(record, joined, removed)
    registered = _registered_agents(record, observed)
    expired = _expired_agents(record, observed)
    agent_ids = {agent.agent_id for agent in record.agents + registered}
    candidates = _candidates(entries, agent_ids - set(expired), observed)
    voters = choose_voters(record.voters, candidates, settings.voter_count)
    return MembershipChange(
        joined=joined,
        removed=removed,
        registered=registered,
        expired=expired,
        owners=_new_owners(record, entries, observed),
        voters=voters,
        voters_changed=_ids(voters) != _ids(record.voters),
    )


def next_record(
    record: ControlRecord,
    change: MembershipChange,
    wall: float,
    settings: ControlSettings,
) -> ControlRecord:
    """Returns the next revision, with a membership change applied."""
    return dataclasses.replace(
        record,
        revision=record.revision + 1,
        entries=_merge_entries(record, change.joined, change.removed),
        agents=_merge_agents(record, change),
        voters=change.voters,
        previous_voters=record.voters,
        epochs=_merge_epochs(record, change.owners, wall, settings),
    )


def remove_departed_entry(
    record: ControlRecord, member: Member, settings: ControlSettings
) -> ControlRecord:
    """Returns the next revision, without an entry that has drained."""
    entries = tuple(
        entry for entry in record.entries if entry.member_id != member.member_id
    )
    voters = tuple(
        voter for voter in record.voters if voter.member_id != member.member_id
    )
    return dataclasses.replace(
        record,
        revision=record.revision + 1,
        entries=entries,
        voters=voters or entries[: settings.voter_count] or record.voters,
        previous_voters=record.voters,
    )


def choose_voters(
    current: tuple[Member, ...], candidates: Iterable[Member], limit: int
) -> tuple[Member, ...]:
    """Returns up to `limit` voters spread over the availability zones.

    Each voter is taken from the zone with the fewest chosen voters. A tie goes
    to a zone whose next candidate is a current voter, so that few voters
    change. Within a zone, current voters come first, then entries.
    """
    zones: dict[str, list[Member]] = {}
    for candidate in candidates:
        zones.setdefault(candidate.availability_zone, []).append(candidate)
    current_ids = {voter.member_id for voter in current}
    for zone in zones.values():
        zone.sort(key=lambda one: _preference(one, current, current_ids))
    chosen: dict[str, list[Member]] = {name: [] for name in zones}
    for _ in range(limit):
        unfilled_zones = [n for n in zones if len(chosen[n]) < len(zones[n])]
        if not unfilled_zones:
            break
        name = min(
            unfilled_zones,
            key=lambda n: (
                len(chosen[n]),
                zones[n][len(chosen[n])].member_id not in current_ids,
                n,
            ),
        )
        chosen[name].append(zones[name][len(chosen[name])])
    return tuple(sorted(one for group in chosen.values() for one in group))


def _preference(
    member: Member, current: tuple[Member, ...], current_ids: set[str]
) -> tuple[bool, bool, bool, str]:
    return (
        not is_listed(current, member),
        member.member_id not in current_ids,
        member.role is not Role.ENTRY,
        member.member_id,
    )


def _ids(members: Iterable[Member]) -> set[tuple[str, int]]:
    return {(member.member_id, member.incarnation) for member in members}


def _removed_entries(
    record: ControlRecord, observed: dict[str, MemberObservation]
) -> tuple[Member, ...]:
    removed = []
    for entry in record.entries:
        observation = observed.get(entry.member_id)
        if observation is None:
            continue
        is_replaced = observation.member.incarnation > entry.incarnation
        if is_replaced or observation.liveness is not Liveness.ALIVE:
            removed.append(entry)
    return tuple(removed)


def _joined_entries(
    record: ControlRecord, observed: dict[str, MemberObservation]
) -> tuple[Member, ...]:
    return tuple(
        observation.member
        for observation in observed.values()
        if observation.member.role is Role.ENTRY
        and observation.joining
        and observation.is_reachable
        and not observation.leaving
        and not is_listed(record.entries, observation.member)
    )


def _registered_agents(
    record: ControlRecord, observed: dict[str, MemberObservation]
) -> tuple[RegisteredAgent, ...]:
    registered = []
    for observation in observed.values():
        if (
            observation.member.role is not Role.AGENT
            or not observation.is_reachable
        ):
            continue
        agent = RegisteredAgent(
            agent_id=observation.member.member_id,
            availability_zone=observation.member.availability_zone,
        )
        if agent not in record.agents:
            registered.append(agent)
    return tuple(registered)


def _expired_agents(
    record: ControlRecord, observed: dict[str, MemberObservation]
) -> tuple[str, ...]:
    return tuple(
        agent.agent_id
        for agent in record.agents
        if agent.agent_id in observed
        and observed[agent.agent_id].liveness is Liveness.EXPIRED
    )


def _candidates(
    entries: tuple[Member, ...],
    agent_ids: set[str],
    observed: dict[str, MemberObservation],
) -> list[Member]:
    agents = [
        observation.member
        for observation in observed.values()
        if observation.member.member_id in agent_ids
        and observation.member.role is Role.AGENT
        and observation.liveness is Liveness.ALIVE
        and not observation.leaving
    ]
    return list(entries) + agents


def _new_owners(
    record: ControlRecord,
    entries: tuple[Member, ...],
    observed: dict[str, MemberObservation],
) -> tuple[Member, ...]:
    leaving = {s.member.member_id for s in observed.values() if s.leaving}
    owners = tuple(e for e in entries if e.member_id not in leaving)
    if not record.epochs:
        return owners
    remaining = [o for o in record.epochs[-1].owners if o in entries]
    return () if set(owners) == set(remaining) else owners


def _merge_entries(
    record: ControlRecord,
    joined: tuple[Member, ...],
    removed: tuple[Member, ...],
) -> tuple[Member, ...]:
    kept = [entry for entry in record.entries if entry not in removed]
    return tuple(sorted([*kept, *joined]))


def _merge_agents(
    record: ControlRecord, change: MembershipChange
) -> tuple[RegisteredAgent, ...]:
    agents = {agent.agent_id: agent for agent in record.agents}
    agents.update({agent.agent_id: agent for agent in change.registered})
    for agent_id in change.expired:
        agents.pop(agent_id, None)
    return tuple(agent for _, agent in sorted(agents.items()))


def _merge_epochs(
    record: ControlRecord,
    owners: tuple[Member, ...],
    wall: float,
    settings: ControlSettings,
) -> tuple[OwnerEpoch, ...]:
    epochs = list(record.epochs)
    if owners:
        # The first epoch starts without delay, as no key has another owner.
        begins = wall + settings.epoch_delay if epochs else wall
        last = epochs[-1].begins_at_wall if epochs else begins
        epochs.append(
            OwnerEpoch(begins_at_wall=max(begins, last), owners=owners)
        )
    return _prune(epochs, wall - settings.resubmission_horizon)


def _prune(
    epochs: list[OwnerEpoch], oldest_key_wall: float
) -> tuple[OwnerEpoch, ...]:
    while len(epochs) > 1 and epochs[1].begins_at_wall < oldest_key_wall:
        epochs.pop(0)
    return tuple(epochs)
