"""Leases of worker resources, and usage reports that lag behind them."""

from __future__ import annotations

import collections
import time

import pydantic

_USAGE_HISTORY_MAX = 10_000


class LeaseRequest(pydantic.BaseModel):
    """Resources of one worker that a client asks for.

    Attributes:
      worker: Name of the worker.
      processors: Number of cores.
      memory_bytes: Memory in bytes.
      accelerators: Number of accelerators.
      duration: Seconds after which the lease expires unless it is renewed.
    """

    worker: str
    processors: float = pydantic.Field(default=1.0, ge=0)
    memory_bytes: int = pydantic.Field(default=0, ge=0)
    accelerators: int = pydantic.Field(default=0, ge=0)
    duration: float = pydantic.Field(default=30.0, gt=0, le=3600)


class Lease(LeaseRequest):
    """A granted lease.

    Attributes:
      lease_id: Identifier by which it is renewed or ended.
      ends_at: Time of expiry in seconds since the Unix epoch.
    """

    lease_id: str
    ends_at: float


class LeaseRegistry:
    """Active leases, and the usage as it was `usage_lag` seconds ago."""

    def __init__(self, usage_lag: float) -> None:
        self._usage_lag = usage_lag
        self._granted_count = 0
        self._leases: dict[str, Lease] = {}
        self._history: collections.deque[tuple[float, dict[str, float]]]
        self._history = collections.deque(maxlen=_USAGE_HISTORY_MAX)

    def grant(self, request: LeaseRequest) -> Lease:
        """Grants a lease; the capacity of workers is not limited."""
        self._granted_count += 1
        lease = Lease(
            lease_id=f"lease-{self._granted_count}",
            ends_at=time.time() + request.duration,
            **request.model_dump(),
        )
        self._leases[lease.lease_id] = lease
        self._record_usage()
        return lease

    def renew(self, lease_id: str) -> Lease | None:
        """Renews a lease for its duration; returns None if it has ended."""
        self._remove_expired()
        lease = self._leases.get(lease_id)
        if lease is None:
            return None
        ends_at = time.time() + lease.duration
        renewed = lease.model_copy(update={"ends_at": ends_at})
        self._leases[lease_id] = renewed
        return renewed

    def end(self, lease_id: str) -> bool:
        """Ends a lease; returns whether it was active."""
        self._remove_expired()
        was_active = self._leases.pop(lease_id, None) is not None
        self._record_usage()
        return was_active

    def usage(self) -> dict[str, object]:
        """Returns the leased cores by worker as of `usage_lag` seconds ago."""
        self._remove_expired()
        as_of = time.time() - self._usage_lag
        processors: dict[str, float] = {}
        for at, recorded in self._history:
            if at > as_of:
                break
            processors = recorded
        return {"as_of": as_of, "processors": processors}

    def _remove_expired(self) -> None:
        now = time.time()
        expired = [k for k, v in self._leases.items() if v.ends_at <= now]
        for lease_id in expired:
            del self._leases[lease_id]
        if expired:
            self._record_usage()

    def _record_usage(self) -> None:
        processors: dict[str, float] = {}
        for lease in self._leases.values():
            leased = processors.get(lease.worker, 0.0)
            processors[lease.worker] = leased + lease.processors
        self._history.append((time.time(), processors))
