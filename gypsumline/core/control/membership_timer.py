"""When an entry writes a membership change, so that writers rarely conflict.

The alive entry with the smallest id writes first. The others wait for it, and
write only when the need has lasted for longer than their patience.
"""

from __future__ import annotations

import math
import random

from gypsumline.core.control.control_settings import ControlSettings


class MembershipTimer:
    """Delays membership writes by a random time.

    Args:
      settings: Settings of the control state.
      rng: Seeded random generator.
    """

    def __init__(self, settings: ControlSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._revision = -1
        self._preferred_at = math.inf
        self._fallback_at = math.inf

    def is_due(
        self,
        revision: int,
        is_needed: bool,
        is_preferred_writer: bool,
        now: float,
    ) -> bool:
        """Returns whether a membership change is written now."""
        if not is_needed:
            self._preferred_at = self._fallback_at = math.inf
            return False
        if self._preferred_at == math.inf or revision != self._revision:
            self._start(revision, now)
        return now >= (
            self._preferred_at if is_preferred_writer else self._fallback_at
        )

    def restart(self) -> None:
        """Draws new delays, after a write or a conflict."""
        self._preferred_at = self._fallback_at = math.inf

    def _start(self, revision: int, now: float) -> None:
        settings = self._settings
        delay = self._rng.uniform(
            settings.membership_delay_min, settings.membership_delay_max
        )
        patience = settings.membership_patience * self._rng.uniform(1, 2)
        self._preferred_at = now + delay
        if self._fallback_at == math.inf:
            self._fallback_at = now + patience
        self._revision = revision
