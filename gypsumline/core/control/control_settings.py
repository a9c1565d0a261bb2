"""Settings of the control state and the check of their relations."""

from __future__ import annotations

import dataclasses

from gypsumline.core.errors import InvalidInputError, InvalidInputGroup

# An accepted configuration is in force in all processes within this time.
PROPAGATION_LIMIT_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlSettings:
    """Settings of the control state; all times are in seconds.

    Attributes:
      heartbeat_interval: Time between two heartbeats to the same member.
      table_poll_interval: Time between two reads of the table by an entry.
      evidence_ttl: Validity of evidence, counted from its request.
      suspect_after: Silence after which an entry or voter counts as failed.
      silence_limit: Silence after which an agent gets no tasks.
      clock_skew: Maximum difference of UTC between two hosts of the system.
      client_clock_skew: Maximum time by which a client's clock is ahead.
      resubmission_horizon: Maximum age of a key that is resubmitted.
      deadline_max: Maximum timeout of a job.
      stop_limit: Maximum duration of a planned stop.
      drift_allowance: Maximum relative difference in rate of two clocks.
      voter_count: Maximum number of voters of one revision.
      epoch_delay: Time from a join or leave to the start of its owner epoch.
        It exceeds the sum of the clock skews, so that no key of the new epoch
        exists when the epoch is written.
      membership_check_interval: Time between two comparisons of the record
        with the observed processes. Each comparison covers all members.
      membership_delay_min: Minimum delay of a membership write, which lets
        several changes share one revision.
      membership_delay_max: Maximum of that delay. It is random so that writers
        that start together rarely conflict.
      membership_patience: Minimum delay before an entry other than the
        preferred writer writes a membership change; at most twice that.
      write_timeout: Time after which the result of a table write counts as
        unknown.
      change_timeout: Time after which a pending change ends as refused (never
        written) or with an unknown outcome.
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
        """Time after which evidence of other processes has expired."""
        return self.evidence_ttl * (1 + self.drift_allowance)

    @property
    def agent_expiry_timeout(self) -> float:
        """Silence after which no owner needs the journal of an agent."""
        return self.resubmission_horizon + self.deadline_max

    def check(self) -> None:
        """Checks that all values are positive and consistent.

        Raises:
          InvalidInputGroup: Lists all invalid values.
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
