"""Rates at which work is submitted, by service and queue."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

# Rates below this, in thousandths of a core, are dropped.
_LEAST_RATE = 1e-3


@dataclasses.dataclass(slots=True)
class _Rate:
    """A rate at the time of its latest change."""

    value: float = 0.0
    at: float = 0.0


class WorkRates:
    """Rates at which work is submitted, by service and queue.

    A rate loses its weight when it is read, so that queues without new work
    cost nothing.

    Args:
      memory: Time after which earlier work has lost 1 - 1/e of its weight, in
        seconds.
    """

    def __init__(self, memory: float) -> None:
        self._memory = memory
        self._rates: dict[str, dict[str, _Rate]] = {}

    def add(self, service: str, queue: str, work: float, now: float) -> None:
        """Adds submitted work, in processor-seconds."""
        rates = self._rates.setdefault(service, {})
        rate = rates.get(queue)
        if rate is None:
            self._drop_old(rates, now)
            rate = rates[queue] = _Rate()
        rate.value = self._current(rate, now) + work / self._memory
        rate.at = now

    def share(self, service: str, queues: Iterable[str], now: float) -> float:
        """Returns the share of some queues, from 0 to 1; 1 if unknown."""
        rates = {
            queue: self._current(rate, now)
            for queue, rate in self._rates.get(service, {}).items()
        }
        total = sum(rates.values())
        if total < _LEAST_RATE:
            return 1.0
        return sum(rates.get(queue, 0.0) for queue in queues) / total

    def _current(self, rate: _Rate, now: float) -> float:
        return rate.value * math.exp((rate.at - now) / self._memory)

    def _drop_old(self, rates: dict[str, _Rate], now: float) -> None:
        """Drops rates without weight, each time that their number doubles."""
        if (len(rates) & (len(rates) - 1)) == 0:
            for queue, rate in list(rates.items()):
                if self._current(rate, now) < _LEAST_RATE:
                    del rates[queue]
