"""Processor time, memory and control traffic of the roles' processes."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

import aiohttp
import psutil
from prometheus_client.parser import text_string_to_metric_families

from gypsumline.testing.processes import LocalProcess

_MEBIBYTE = 1024 * 1024
_SENT = "gypsumline_wire_sent_bytes_total"
_RECEIVED = "gypsumline_wire_received_bytes_total"


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What one process has used.

    Attributes:
      cpu_seconds: User and system time since its start.
      memory_mib: Resident memory now.
      sent_bytes: Bytes sent to other processes of the system.
      received_bytes: Bytes received from them.
    """

    cpu_seconds: float
    memory_mib: float
    sent_bytes: float
    received_bytes: float


async def read_cost(process: LocalProcess) -> Cost:
    """Returns the cost of an entry or an agent up to now."""
    observed = psutil.Process(process.pid)
    times = observed.cpu_times()
    counters = await _read_counters(f"{process.url}/metrics")
    return Cost(
        cpu_seconds=times.user + times.system,
        memory_mib=round(observed.memory_info().rss / _MEBIBYTE, 1),
        sent_bytes=counters[_SENT],
        received_bytes=counters[_RECEIVED],
    )


async def read_costs(processes: Iterable[LocalProcess]) -> list[Cost]:
    """Returns the costs of several processes."""
    return [await read_cost(process) for process in processes]


def own_cpu_seconds() -> float:
    """Returns the processor time of this process."""
    times = psutil.Process().cpu_times()
    return times.user + times.system


async def _read_counters(url: str) -> dict[str, float]:
    """Sums each wire counter over its labels."""
    async with aiohttp.ClientSession() as session:
        async with session.get(url) as response:
            text = await response.text()
    totals = {_SENT: 0.0, _RECEIVED: 0.0}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name in totals:
                totals[sample.name] += sample.value
    return totals
