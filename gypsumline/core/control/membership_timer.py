"""Delays of membership writes, chosen so that writers rarely conflict.

The preferred writer is the alive entry with the smallest id. Other entries
write only if a change is still needed after a longer fallback delay.
"""

from __future__ import annotations

import math
import random

from gypsumline.core.control.control_settings import ControlSettings


class MembershipTimer:
    """Delays membership writes by random times.

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
        """Returns whether a membership change is due to be written."""
        if not is_needed:
            self._preferred_at = self._fallback_at = math.inf
            return False
        if self._preferred_at == math.inf or revision != self._revision:
            self._draw_delays(revision, now)
        return now >= (
            self._preferred_at if is_preferred_writer else self._fallback_at
        )

    def restart(self) -> None:
        """Discards the delays; the next needed change draws new ones."""
        self._preferred_at = self._fallback_at = math.inf

    def _draw_delays(self, revision: int, now: float) -> None:
        settings = self._settings
        delay = self._rng.uniform(
            settings.membership_delay_min, settings.membership_delay_max
        )
        fallback_delay = settings.membership_patience * self._rng.uniform(1, 2)
        self._preferred_at = now + delay
        if self._fallback_at == math.inf:
            self._fallback_at = now + fallback_delay
        self._revision = revision
