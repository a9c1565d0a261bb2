"""The seeded random generator of a process."""

from __future__ import annotations

import logging
import random

_SEED_LIMIT = 2**63

_LOGGER = logging.getLogger(__name__)


def make_random(seed: int) -> random.Random:
    """Returns a generator; seed 0 draws a seed. The seed is logged."""
    used = seed or random.SystemRandom().randrange(1, _SEED_LIMIT)
    _LOGGER.info("random seed", extra={"seed": used})
    return random.Random(used)
