"""Since when an entry owns keys, so that no earlier owner still does."""

from __future__ import annotations

import dataclasses
import math

from gypsumline.core.control.control_settings import ControlSettings
from gypsumline.core.control.record import ControlRecord
from gypsumline.core.control.voter import is_listed, is_same_incarnation
from gypsumline.core.identity import Member


@dataclasses.dataclass(slots=True, kw_only=True)
class _Stage:
    record: ControlRecord
    learned_at: float
    ready_at: float


class Tenure:
    """Ready times of one entry over the records that it has held.

    A record that may give this entry keys of another owner makes it wait until
    the record is accepted and all older evidence has expired.

    Args:
      me: The entry.
      settings: Settings of the control state.
    """

    def __init__(self, me: Member, settings: ControlSettings) -> None:
        self._me = me
        self._settings = settings
        self._stages: list[_Stage] = []

    def ready_at(self) -> float:
        """Returns when this entry is ready for all keys that it owns."""
        if not self._stages:
            return math.inf
        return self._stages[-1].ready_at

    def key_ready_at(self, key: str) -> float:
        """Returns when this entry is ready for one key.

        A key that it owned already under an earlier record has the ready time
        of that record, so the loss of another owner delays only its keys.
        """
        ready = math.inf
        for stage in reversed(self._stages):
            owner = stage.record.owner_of(key)
            if owner is None or not is_same_incarnation(owner, self._me):
                break
            ready = min(ready, stage.ready_at)
        return ready

    def learn(self, record: ControlRecord, now: float) -> None:
        """Takes over a newer record; the one before it is accepted."""
        self.accept(now)
        if not is_listed(record.entries, self._me):
            self._stages.clear()
            return
        previous = self._stages[-1] if self._stages else None
        if previous is None or _is_gap(previous.record, record):
            self._stages.clear()
            ready_at = math.inf
        elif _may_gain(previous.record, record):
            ready_at = math.inf
        else:
            ready_at = previous.ready_at
        self._stages.append(
            _Stage(record=record, learned_at=now, ready_at=ready_at)
        )
        self._prune(now)

    def accept(self, now: float) -> None:
        """Notes that the newest learned record is accepted by now."""
        for stage in self._stages:
            if stage.ready_at == math.inf:
                stage.ready_at = now + self._wait(stage.record)

    def _wait(self, record: ControlRecord) -> float:
        # Revision 1 is created where no record existed, so there is no earlier
        # owner whose evidence could still be valid.
        return 0.0 if record.revision == 1 else self._settings.evidence_wait

    def _prune(self, now: float) -> None:
        oldest = now - self._settings.forget_agent_after
        while len(self._stages) > 1 and self._stages[1].learned_at < oldest:
            self._stages.pop(0)


def _is_gap(old: ControlRecord, new: ControlRecord) -> bool:
    """Returns whether owners may have come and gone between two records."""
    if new.revision == old.revision + 1:
        return False
    return (old.entries, old.epochs) != (new.entries, new.epochs)


def _may_gain(old: ControlRecord, new: ControlRecord) -> bool:
    if any(entry not in new.entries for entry in old.entries):
        return True
    old_owners = old.epochs[-1].owners if old.epochs else ()
    new_owners = new.epochs[-1].owners if new.epochs else ()
    return any(owner not in new_owners for owner in old_owners)
