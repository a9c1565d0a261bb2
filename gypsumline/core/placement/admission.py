"""Admission of jobs: all or nothing, with an immediate refusal."""

from __future__ import annotations

import dataclasses
import random

from gypsumline.core.configuration import Client, Configuration
from gypsumline.core.control.record import ControlRecord
from gypsumline.core.placement.estimate import RunTimeEstimates
from gypsumline.core.placement.fleet import Fleet, Pool
from gypsumline.core.placement.settings import PlacementSettings
from gypsumline.core.submissions.task_scheduler import Admission
from gypsumline.core.task import JobBody, Reason


@dataclasses.dataclass(slots=True)
class ClientUse:
    """What one client has in one service.

    Attributes:
      tasks: Admitted tasks that have not finished.
      work: Their expected run time at speed 1, in seconds.
      counted: The same for the order of the jobs, where a large job counts only
        in part: its own size puts it back already.
    """

    tasks: int = 0
    work: float = 0.0
    counted: float = 0.0


@dataclasses.dataclass(slots=True)
class Backlog:
    """Admitted work that has not finished.

    Attributes:
      work: Expected run time at speed 1 by service, in seconds.
      clients: Use by service and client.
      running: Tasks by client.
      counted: Counted work by service; see `ClientUse`.
      version: Number that changes when a client comes or goes.
    """

    work: dict[str, float] = dataclasses.field(default_factory=dict)
    clients: dict[tuple[str, str], ClientUse] = dataclasses.field(
        default_factory=dict
    )
    running: dict[str, int] = dataclasses.field(default_factory=dict)
    version: int = 0
    counted: dict[str, float] = dataclasses.field(default_factory=dict)

    def count(self, service: str, client: str, work: float) -> None:
        """Adds counted work of a client; negative when a job ends."""
        self.counted[service] = self.counted.get(service, 0.0) + work
        use = self.clients.get((service, client))
        if use is not None:
            use.counted += work

    def add(self, service: str, client: str, tasks: int, work: float) -> None:
        """Adds tasks and their work; both are negative when tasks finish."""
        self.work[service] = max(0.0, self.work.get(service, 0.0) + work)
        self.running[client] = self.running.get(client, 0) + tasks
        use = self.clients.get((service, client))
        if use is None:
            use = self.clients[service, client] = ClientUse()
            self.version += 1
        use.tasks += tasks
        use.work += work
        if use.tasks <= 0:
            del self.clients[service, client]
            self.version += 1
        if self.running[client] <= 0:
            del self.running[client]


class AdmissionControl:
    """Decides whether a job may enter."""

    def __init__(
        self,
        settings: PlacementSettings,
        rng: random.Random,
        fleet: Fleet,
        estimates: RunTimeEstimates,
        backlog: Backlog,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._fleet = fleet
        self._estimates = estimates
        self._backlog = backlog
        self._clients: dict[str, Client] = {}
        self._share_sums: dict[str, float] = {}
        self._share_sums_version = -1

    def admit(self, body: JobBody, record: ControlRecord) -> Admission:
        """Returns whether a job may enter now."""
        refusal = self._never(body, record) or self._out(body, record)
        if refusal is not None:
            return refusal
        refusal = self._client_limit(body)
        if refusal is not None:
            return refusal
        return self._deadline(body) or Admission(accepted=True)

    def _never(self, body: JobBody, record: ControlRecord) -> Admission | None:
        configuration = record.configuration
        service = configuration.find_service(body.service)
        if service is None:
            return _refuse(
                Reason.UNKNOWN_SERVICE, f"service {body.service!r} is not known"
            )
        limit = configuration.limits.tasks_per_job
        if not 1 <= len(body.tasks) <= limit:
            return _refuse(
                Reason.NEVER_RUNNABLE,
                f"the job has {len(body.tasks)} tasks; allowed: 1 to {limit}",
            )
        for kind in sorted({task.kind for task in body.tasks}):
            if service.kinds and kind not in service.kinds:
                return _refuse(
                    Reason.NEVER_RUNNABLE,
                    f"kind {kind!r} is not run; allowed: "
                    + ", ".join(service.kinds),
                )
        largest = max(
            self._estimates.fastest_run_time(body.service, kind)
            for kind in {task.kind for task in body.tasks}
        )
        fastest = self._fastest_speed(body.service)
        if fastest and largest / fastest > body.timeout:
            return _refuse(
                Reason.NEVER_RUNNABLE,
                f"the timeout of {body.timeout:.3f} s is below the shortest "
                f"run time known, {largest / fastest:.3f} s",
            )
        return None

    def _fastest_speed(self, service: str) -> float:
        return max(
            (
                pool.classes[index].speed
                for pool in self._fleet.pools(service)
                for index in pool.order
                if pool.classes[index].slots
            ),
            default=0.0,
        )

    def _out(self, body: JobBody, record: ControlRecord) -> Admission | None:
        configuration = record.configuration
        if body.service in configuration.services_out:
            return self._later(
                Reason.SERVICE_OUT, f"service {body.service!r} is out", 1.0
            )
        for name in configuration.transitive_dependencies(body.service):
            if name in configuration.services_out or not self._live(name):
                return self._later(
                    Reason.DEPENDENCY_OUT,
                    f"service {name!r}, which {body.service!r} needs, is out "
                    "or has no live upstream",
                    1.0,
                )
        for kind in sorted({task.kind for task in body.tasks}):
            if not self._pools_for(body.service, kind):
                return self._later(
                    Reason.NO_UPSTREAM,
                    f"no live upstream takes kind {kind!r} of service "
                    f"{body.service!r}",
                    1.0,
                )
        return None

    def _live(self, service: str) -> bool:
        return any(pool.usable for pool in self._fleet.pools(service))

    def _pools_for(self, service: str, kind: str) -> list[Pool]:
        pools = self._fleet.pools(service)
        return [pool for pool in pools if pool.usable and pool.takes(kind)]

    def _client_limit(self, body: JobBody) -> Admission | None:
        client = self._find_client(body.client)
        running = self._backlog.running.get(body.client, 0)
        if client.max_running and (
            running + len(body.tasks) > client.max_running
        ):
            return self._later(
                Reason.CLIENT_LIMIT,
                f"client {body.client!r} has {running} tasks running and asks "
                f"for {len(body.tasks)}; allowed: {client.max_running}",
                self._drain_time(body.service),
            )
        return None

    def excess_work(self, service: str, client: str) -> float:
        """Returns the counted work that a client has beyond its share."""
        use = self._backlog.clients.get((service, client))
        if use is None:
            return 0.0
        total = self._backlog.counted[service]
        return max(0.0, use.counted - self.share_of(service, client) * total)

    def set_configuration(self, configuration: Configuration) -> None:
        """Takes a configuration into force."""
        self._clients = {c.name: c for c in configuration.clients}
        self._share_sums.clear()

    def share_of(self, service: str, client: str) -> float:
        """Returns a client's part among those that have work in a service."""
        if self._share_sums_version != self._backlog.version:
            self._share_sums.clear()
            self._share_sums_version = self._backlog.version
        total = self._share_sums.get(service)
        if total is None:
            total = sum(
                self._find_client(name).share
                for other, name in self._backlog.clients
                if other == service
            )
            self._share_sums[service] = total
        own = self._find_client(client).share
        if (service, client) not in self._backlog.clients:
            total += own
        return own / total

    def _find_client(self, name: str) -> Client:
        return self._clients.get(name) or Client(name=name)

    def _deadline(self, body: JobBody) -> Admission | None:
        works = [
            self._estimates.work(
                body.service, task.kind, task.declared_run_time
            )
            for task in body.tasks
        ]
        capacity = self._capacity(body.service)
        drain = self._drain_time(body.service)
        typical = max(self._fastest_speed(body.service) / 2.0, 0.1)
        own = sum(works) / capacity + max(works) / typical
        allowed = body.timeout * self._settings.admission_margin
        if drain + own > allowed:
            return self._later(
                Reason.DEADLINE_INFEASIBLE,
                f"the job would need about {drain + own:.2f} s at the present "
                f"backlog; its timeout is {body.timeout:.2f} s",
                drain,
            )
        share = self.share_of(body.service, body.client)
        use = self._backlog.clients.get((body.service, body.client))
        queued = use.work / capacity if use is not None else 0.0
        if share < 1.0 and queued / share + own > allowed:
            return self._later(
                Reason.CLIENT_LIMIT,
                f"client {body.client!r} has {queued:.2f} s of work in the "
                f"backlog while others wait; its share is {share:.0%}",
                drain,
            )
        return None

    def _capacity(self, service: str) -> float:
        pools = self._fleet.pools(service)
        return max(sum(pool.available for pool in pools), 1e-3)

    def _drain_time(self, service: str) -> float:
        work = self._backlog.work.get(service, 0.0)
        return work / self._capacity(service)

    def _later(self, reason: Reason, detail: str, drain: float) -> Admission:
        settings = self._settings
        spread = drain * self._rng.uniform(0.5, 1.5)
        retry_after = max(settings.retry_after_min, spread)
        return Admission(
            accepted=False,
            reason=reason,
            detail=detail,
            retry_after=min(settings.retry_after_max, retry_after),
        )


def _refuse(reason: Reason, detail: str) -> Admission:
    return Admission(accepted=False, reason=reason, detail=detail)
