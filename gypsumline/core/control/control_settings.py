"""Times and counts of the control state, with a check of their relations."""

from __future__ import annotations

import dataclasses

from gypsumline.core.errors import InvalidInputError, InvalidInputGroup

# A configuration that was accepted is in force everywhere within this time
# (requirement 9 of the design).
PROPAGATION_LIMIT_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlSettings:
    """Settings of the control state; all times are seconds.

    Attributes:
      heartbeat_interval: Time between two heartbeats to the same member.
      table_poll_interval: Time between two reads of the table by an entry.
      evidence_ttl: How long evidence is valid, from its request.
      suspect_after: Silence after which an entry or voter counts as lost.
      silence_limit: Silence after which an agent gets no work.
      clock_skew: Largest difference of UTC between two hosts of the system.
      client_clock_skew: How far a client's clock may be ahead.
      resubmission_horizon: Age up to which a key may be submitted again.
      deadline_max: Longest deadline of a job.
      stop_limit: Longest planned stop.
      drift_allowance: Share by which two processes' clocks may differ in rate.
      voter_count: Most voters of one revision.
      epoch_delay: Time from a join or leave to its owner epoch. It exceeds
        the clock skews so that no key from the new epoch exists yet.
      membership_check_interval: Time between two comparisons of the record
        with what is seen; each one looks at all members.
      membership_delay_min: Shortest wait before a membership write, which
        lets several changes share one revision.
      membership_delay_max: Longest such wait; it is drawn anew each time so
        that writers that start together rarely conflict.
      membership_patience: Wait before an entry other than the first alive one
        writes a membership change itself.
      write_timeout: Time after which a table write without answer is settled.
      change_timeout: Time after which an operator is told that a change was
        refused (never written) or has an unknown outcome.
    """

    heartbeat_interval: float = 0.5
    table_poll_interval: float = 0.5
    evidence_ttl: float = 2.0
    suspect_after: float = 2.0
    silence_limit: float = 1.0
    clock_skew: float = 0.5
    client_clock_skew: float = 5.0
    resubmission_horizon: float = 120.0
    deadline_max: float = 60.0
    stop_limit: float = 30.0
    drift_allowance: float = 0.01
    voter_count: int = 5
    epoch_delay: float = 6.0
    membership_check_interval: float = 0.25
    membership_delay_min: float = 0.1
    membership_delay_max: float = 0.4
    membership_patience: float = 3.0
    write_timeout: float = 3.0
    change_timeout: float = 20.0

    @property
    def evidence_wait(self) -> float:
        """Wait after which another process's evidence has expired."""
        return self.evidence_ttl * (1 + self.drift_allowance)

    @property
    def agent_expiry_timeout(self) -> float:
        """Silence after which an agent holds no journal that still matters."""
        return self.resubmission_horizon + self.deadline_max

    def check(self) -> None:
        """Checks that values are positive and fit together.

        Raises:
          InvalidInputGroup: All values that do not fit.
        """
        errors = self._check_positive() + self._check_relations()
        if errors:
            raise InvalidInputGroup("control settings", errors)

    def _check_positive(self) -> list[InvalidInputError]:
        return [
            InvalidInputError(field.name, getattr(self, field.name), "above 0")
            for field in dataclasses.fields(self)
            if not getattr(self, field.name) > 0
        ]

    def _check_relations(self) -> list[InvalidInputError]:
        relations = [
            (
                "evidence_ttl",
                self.evidence_ttl + 2 * self.heartbeat_interval
                < PROPAGATION_LIMIT_SECONDS,
                f"evidence_ttl + 2 x heartbeat_interval below "
                f"{PROPAGATION_LIMIT_SECONDS} s",
            ),
            (
                "heartbeat_interval",
                2 * self.heartbeat_interval < self.evidence_ttl,
                "2 x heartbeat_interval below evidence_ttl",
            ),
            (
                "table_poll_interval",
                2 * self.table_poll_interval < self.evidence_ttl,
                "2 x table_poll_interval below evidence_ttl",
            ),
            (
                "deadline_max",
                self.deadline_max + self.evidence_ttl
                < self.resubmission_horizon,
                "deadline_max + evidence_ttl below resubmission_horizon",
            ),
            (
                "epoch_delay",
                self.epoch_delay > self.client_clock_skew + self.clock_skew,
                "above client_clock_skew + clock_skew",
            ),
            (
                "membership_delay_min",
                self.membership_delay_min <= self.membership_delay_max,
                "at most membership_delay_max",
            ),
        ]
        return [
            InvalidInputError(name, getattr(self, name), allowed)
            for name, holds, allowed in relations
            if not holds
        ]
