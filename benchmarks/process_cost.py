"""CPU time, memory and control traffic of entry and agent processes."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

import aiohttp
import psutil
from prometheus_client.parser import text_string_to_metric_families

from gypsumline.testing.processes import LocalProcess

_MEBIBYTE = 1024 * 1024
_SENT_METRIC = "gypsumline_wire_sent_bytes_total"
_RECEIVED_METRIC = "gypsumline_wire_received_bytes_total"


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessCost:
    """Resource usage of one process since its start.

    Attributes:
      cpu_seconds: User and system CPU time.
      memory_mib: Resident memory at the time of the reading.
      sent_bytes: Bytes sent to other processes of the system.
      received_bytes: Bytes received from other processes of the system.
    """

    cpu_seconds: float
    memory_mib: float
    sent_bytes: float
    received_bytes: float


async def read_cost(process: LocalProcess) -> ProcessCost:
    """Reads the cost of an entry or an agent so far."""
    system_process = psutil.Process(process.pid)
    times = system_process.cpu_times()
    counters = await _read_wire_counters(f"{process.url}/metrics")
    return ProcessCost(
        cpu_seconds=times.user + times.system,
        memory_mib=round(system_process.memory_info().rss / _MEBIBYTE, 1),
        sent_bytes=counters[_SENT_METRIC],
        received_bytes=counters[_RECEIVED_METRIC],
    )


async def read_costs(processes: Iterable[LocalProcess]) -> list[ProcessCost]:
    """Reads the costs of several processes."""
    return [await read_cost(process) for process in processes]


def own_cpu_seconds() -> float:
    """Returns the user and system CPU time of this process."""
    times = psutil.Process().cpu_times()
    return times.user + times.system


async def _read_wire_counters(url: str) -> dict[str, float]:
    """Returns the wire counters, each summed over its labels."""
    async with aiohttp.ClientSession() as session:
        async with session.get(url) as response:
            text = await response.text()
    totals = {_SENT_METRIC: 0.0, _RECEIVED_METRIC: 0.0}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name in totals:
                totals[sample.name] += sample.value
    return totals
