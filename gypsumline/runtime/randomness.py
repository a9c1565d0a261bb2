"""Creates the seeded random generator of a process."""

from __future__ import annotations

import logging
import random

_SEED_LIMIT = 2**63

_LOGGER = logging.getLogger(__name__)


def make_random(seed: int) -> random.Random:
    """Returns a random generator and logs its seed.

    Args:
      seed: Seed of the generator; 0 draws a random seed.
    """
    used_seed = seed or random.SystemRandom().randrange(1, _SEED_LIMIT)
    _LOGGER.info("random seed", extra={"seed": used_seed})
    return random.Random(used_seed)
