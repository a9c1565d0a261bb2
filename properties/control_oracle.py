"""Invariants of the control state, checked on a simulated world."""

from __future__ import annotations

import dataclasses
from random import Random

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.identity import Role
from properties.control_world import WALL_START, Process, World

_SAMPLE_SECONDS = 0.1
_MAX_KEYS = 12
# Keys are up to this old, and as far ahead as a client's clock may be.
_OLDEST_KEY_SECONDS = 10.0
_NEWEST_KEY_SECONDS = 5.0
_TOLERANCE_SECONDS = 1e-6


class OracleError(AssertionError):
    """A violated invariant."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProposedChange:
    """A change that was proposed to an entry."""

    request_id: int
    token: str
    process: Process


class Oracle:
    """Checks a world after each input and at regular intervals.

    Args:
      world: The world to check.
      seed: Seed of the keys whose owners are compared.
    """

    def __init__(self, world: World, seed: int) -> None:
        self._world = world
        self._rng = Random(seed)
        self._keys: list[str] = []
        self._next_key_at = 0.0
        self.proposed: list[ProposedChange] = []
        world.observers.append(self._on_step)
        world.schedule(0, self._sample)

    def _sample(self) -> None:
        self._world.schedule(_SAMPLE_SECONDS, self._sample)
        if self._world.time >= self._next_key_at:
            self._next_key_at = self._world.time + 1
            self._keys = [*self._keys, self._make_key()][-_MAX_KEYS:]
        for process in self._world.processes.values():
            self._check_stale_revision(process)
        self._check_owners()

    def _make_key(self) -> str:
        ahead = self._rng.uniform(-_OLDEST_KEY_SECONDS, _NEWEST_KEY_SECONDS)
        milliseconds = int((WALL_START + self._world.time + ahead) * 1000)
        low = self._rng.getrandbits(62)
        number = (milliseconds << 80) | (7 << 76) | (2 << 62) | low
        digits = f"{number:032x}"
        return "-".join(
            digits[a:b]
            for a, b in ((0, 8), (8, 12), (12, 16), (16, 20), (20, 32))
        )

    def _on_step(self, process: Process) -> None:
        record = process.machine.record
        if record.revision < process.highest_revision:
            raise OracleError(
                f"{process.member.member_id} adopted a lower revision"
            )
        process.highest_revision = record.revision
        if record.revision > 0:
            self._check_unique_contents(record)
        self._check_stale_revision(process)

    def _check_unique_contents(self, record: ControlRecord) -> None:
        if self._world.history.get(record.revision) != record:
            raise OracleError(
                f"revision {record.revision} has conflicting contents"
            )

    def _check_stale_revision(self, process: Process) -> None:
        """Raises if a process uses a stale revision beyond `evidence_ttl`."""
        world = self._world
        revision = process.machine.record.revision
        accepted_at = world.next_accepted_at(revision)
        limit = accepted_at + world.settings.evidence_ttl + _TOLERANCE_SECONDS
        if world.time <= limit:
            return
        if process.machine.is_fresh(process.clock(world.time)):
            raise OracleError(
                f"{process.member.member_id} uses revision {revision}"
                f" {world.time - accepted_at:.3f} s after a newer one"
            )

    def _check_owners(self) -> None:
        """Raises if two entries with fresh evidence own the same key."""
        fresh = [
            p for p in self._world.processes.values() if self._is_active(p)
        ]
        # A record assigns each key one owner, so only entries with different
        # records can disagree.
        if len({process.machine.record.revision for process in fresh}) < 2:
            return
        for key in self._keys:
            owners = [
                process.member.member_id
                for process in fresh
                if self._acts_as_owner(process, key)
            ]
            if len(owners) > 1:
                raise OracleError(f"key {key} is owned by {owners}")

    def _is_active(self, process: Process) -> bool:
        now = process.clock(self._world.time)
        is_entry = process.member.role is Role.ENTRY
        return is_entry and process.machine.is_fresh(now)

    def _acts_as_owner(self, process: Process, key: str) -> bool:
        now = process.clock(self._world.time)
        machine = process.machine
        is_owner = machine.record.owner_of(key) == process.member
        return is_owner and machine.key_ready_at(key) <= now

    def check_outcomes(self) -> None:
        """Raises if the outcome of a change contradicts the table."""
        for proposed in self.proposed:
            outcome = self._world.outcomes.get(proposed.request_id)
            if outcome is None:
                continue
            revisions = self._revisions_written_by(proposed.token)
            if outcome.kind == "refused" and revisions:
                raise OracleError(f"refused {proposed.token} is in force")
            if outcome.kind != "accepted":
                continue
            if len(revisions) != 1:
                raise OracleError(f"accepted {proposed.token}: {revisions}")
            record = self._world.history[revisions[0]]
            if record.configuration_version != outcome.version:
                raise OracleError(f"{proposed.token} has another version")

    def check_history(self) -> None:
        """Raises if consecutive records in the table are inconsistent."""
        history = self._world.history
        for revision in range(2, max(history, default=0) + 1):
            old, new = history[revision - 1], history[revision]
            if new.previous_voters != old.voters:
                raise OracleError(
                    f"revision {revision} lists wrong previous voters"
                )
            step = new.configuration_version - old.configuration_version
            is_kept = new.configuration == old.configuration
            if step not in (0, 1) or (step == 0 and not is_kept):
                raise OracleError(f"revision {revision} reverts a change")

    def _revisions_written_by(self, token: str) -> list[int]:
        tokens = self._world.tokens
        return [revision for revision in tokens if tokens[revision] == token]
