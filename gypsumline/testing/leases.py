"""Leases for parts of workers, and usage reports that lag behind them."""

from __future__ import annotations

import collections
import time

import pydantic

_HISTORY_LIMIT = 10_000


class LeaseRequest(pydantic.BaseModel):
    """Parts of one worker that a client asks for.

    Attributes:
      worker: Name of the worker.
      processors: Cores.
      memory_bytes: Memory.
      accelerators: Accelerators.
      duration: Seconds after which the lease ends unless it is renewed.
    """

    worker: str
    processors: float = pydantic.Field(default=1.0, ge=0)
    memory_bytes: int = pydantic.Field(default=0, ge=0)
    accelerators: int = pydantic.Field(default=0, ge=0)
    duration: float = pydantic.Field(default=30.0, gt=0, le=3600)


class Lease(LeaseRequest):
    """A granted lease; ends_at is UTC seconds."""

    lease_id: str
    ends_at: float


class LeaseBook:
    """All leases, and the usage as it was some seconds ago."""

    def __init__(self, usage_lag: float) -> None:
        self._usage_lag = usage_lag
        self._granted = 0
        self._leases: dict[str, Lease] = {}
        self._history: collections.deque[tuple[float, dict[str, float]]]
        self._history = collections.deque(maxlen=_HISTORY_LIMIT)

    def grant(self, request: LeaseRequest) -> Lease:
        """Grants a lease; the stand-in does not bound a worker's size."""
        self._granted += 1
        lease = Lease(
            lease_id=f"lease-{self._granted}",
            ends_at=time.time() + request.duration,
            **request.model_dump(),
        )
        self._leases[lease.lease_id] = lease
        self._record()
        return lease

    def renew(self, lease_id: str) -> Lease | None:
        """Extends a lease, or returns None if it has ended."""
        self._drop_ended()
        lease = self._leases.get(lease_id)
        if lease is None:
            return None
        ends_at = time.time() + lease.duration
        renewed = lease.model_copy(update={"ends_at": ends_at})
        self._leases[lease_id] = renewed
        return renewed

    def end(self, lease_id: str) -> bool:
        """Ends a lease; returns whether it was running."""
        self._drop_ended()
        was_running = self._leases.pop(lease_id, None) is not None
        self._record()
        return was_running

    def usage(self) -> dict[str, object]:
        """Returns leased cores by worker as they were a lag ago."""
        self._drop_ended()
        as_of = time.time() - self._usage_lag
        processors: dict[str, float] = {}
        for at, recorded in self._history:
            if at > as_of:
                break
            processors = recorded
        return {"as_of": as_of, "processors": processors}

    def _drop_ended(self) -> None:
        now = time.time()
        ended = [k for k, v in self._leases.items() if v.ends_at <= now]
        for lease_id in ended:
            del self._leases[lease_id]
        if ended:
            self._record()

    def _record(self) -> None:
        processors: dict[str, float] = {}
        for lease in self._leases.values():
            before = processors.get(lease.worker, 0.0)
            processors[lease.worker] = before + lease.processors
        self._history.append((time.time(), processors))
