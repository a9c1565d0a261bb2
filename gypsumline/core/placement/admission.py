"""Admission of whole jobs, with an immediate answer."""

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
class ClientUsage:
    """Unfinished work of one client in one service.

    Attributes:
      tasks: Number of admitted tasks that have not finished.
      work: Their expected run time at speed 1, in seconds.
      counted_work: Work that counts in the order of the jobs. A large job
        counts only in part, because its own size delays it already.
    """

    tasks: int = 0
    work: float = 0.0
    counted_work: float = 0.0


@dataclasses.dataclass(slots=True)
class Backlog:
    """Admitted work that has not finished.

    Attributes:
      work: Expected run time at speed 1 by service, in seconds.
      clients: Usage by service and client.
      tasks_by_client: Number of tasks by client.
      clients_version: Number that increases whenever a key of `clients` is
        added or removed.
      counted_work: Counted work by service; see `ClientUsage`.
    """

    work: dict[str, float] = dataclasses.field(default_factory=dict)
    clients: dict[tuple[str, str], ClientUsage] = dataclasses.field(
        default_factory=dict
    )
    tasks_by_client: dict[str, int] = dataclasses.field(default_factory=dict)
    clients_version: int = 0
    counted_work: dict[str, float] = dataclasses.field(default_factory=dict)

    def add_counted_work(self, service: str, client: str, work: float) -> None:
        """Adds counted work of a client; negative when a job ends."""
        self.counted_work[service] = self.counted_work.get(service, 0.0) + work
        usage = self.clients.get((service, client))
        if usage is not None:
            usage.counted_work += work

    def add(self, service: str, client: str, tasks: int, work: float) -> None:
        """Adds tasks and their work; both are negative when tasks finish."""
        self.work[service] = max(0.0, self.work.get(service, 0.0) + work)
        self.tasks_by_client[client] = (
            self.tasks_by_client.get(client, 0) + tasks
        )
        usage = self.clients.get((service, client))
        if usage is None:
            usage = self.clients[service, client] = ClientUsage()
            self.clients_version += 1
        usage.tasks += tasks
        usage.work += work
        if usage.tasks <= 0:
            del self.clients[service, client]
            self.clients_version += 1
        if self.tasks_by_client[client] <= 0:
            del self.tasks_by_client[client]


class AdmissionControl:
    """Decides whether a job is admitted."""

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
        """Returns whether a job is admitted now."""
        refusal = self._check_runnable(
            body, record
        ) or self._check_availability(body, record)
        if refusal is not None:
            return refusal
        refusal = self._check_client_limit(body)
        if refusal is not None:
            return refusal
        return self._check_deadline(body) or Admission(accepted=True)

    def _check_runnable(
        self, body: JobBody, record: ControlRecord
    ) -> Admission | None:
        configuration = record.configuration
        service = configuration.find_service(body.service)
        if service is None:
            return _refuse_permanently(
                Reason.UNKNOWN_SERVICE, f"service {body.service!r} is not known"
            )
        limit = configuration.limits.tasks_per_job
        if not 1 <= len(body.tasks) <= limit:
            return _refuse_permanently(
                Reason.NEVER_RUNNABLE,
                f"the job has {len(body.tasks)} tasks; allowed: 1 to {limit}",
            )
        for kind in sorted({task.kind for task in body.tasks}):
            if service.kinds and kind not in service.kinds:
                return _refuse_permanently(
                    Reason.NEVER_RUNNABLE,
                    f"kind {kind!r} is not run; allowed: "
                    + ", ".join(service.kinds),
                )
        shortest_work = max(
            self._estimates.least_work(body.service, kind)
            for kind in {task.kind for task in body.tasks}
        )
        fastest = self._fastest_speed(body.service)
        if fastest and shortest_work / fastest > body.timeout:
            return _refuse_permanently(
                Reason.NEVER_RUNNABLE,
                f"the timeout of {body.timeout:.3f} s is below the shortest "
                f"run time known, {shortest_work / fastest:.3f} s",
            )
        return None

    def _fastest_speed(self, service: str) -> float:
        return max(
            (
                pool.classes[index].speed
                for pool in self._fleet.pools(service)
                for index in pool.class_order
                if pool.classes[index].slots
            ),
            default=0.0,
        )

    def _check_availability(
        self, body: JobBody, record: ControlRecord
    ) -> Admission | None:
        configuration = record.configuration
        if body.service in configuration.services_out:
            return self._refuse_for_now(
                Reason.SERVICE_OUT, f"service {body.service!r} is out", 1.0
            )
        for name in configuration.transitive_dependencies(body.service):
            if (
                name in configuration.services_out
                or not self._has_live_upstream(name)
            ):
                return self._refuse_for_now(
                    Reason.DEPENDENCY_OUT,
                    f"service {name!r}, which {body.service!r} needs, is out "
                    "or has no live upstream",
                    1.0,
                )
        for kind in sorted({task.kind for task in body.tasks}):
            if not self._pools_for(body.service, kind):
                return self._refuse_for_now(
                    Reason.NO_UPSTREAM,
                    f"no live upstream takes kind {kind!r} of service "
                    f"{body.service!r}",
                    1.0,
                )
        return None

    def _has_live_upstream(self, service: str) -> bool:
        return any(pool.contributions for pool in self._fleet.pools(service))

    def _pools_for(self, service: str, kind: str) -> list[Pool]:
        pools = self._fleet.pools(service)
        return [
            pool for pool in pools if pool.contributions and pool.accepts(kind)
        ]

    def _check_client_limit(self, body: JobBody) -> Admission | None:
        client = self._get_client(body.client)
        running = self._backlog.tasks_by_client.get(body.client, 0)
        if client.max_running and (
            running + len(body.tasks) > client.max_running
        ):
            return self._refuse_for_now(
                Reason.CLIENT_LIMIT,
                f"client {body.client!r} has {running} tasks running and asks "
                f"for {len(body.tasks)}; allowed: {client.max_running}",
                self._drain_time(body.service),
            )
        return None

    def excess_work(self, service: str, client: str) -> float:
        """Returns the counted work that a client has beyond its share."""
        usage = self._backlog.clients.get((service, client))
        if usage is None:
            return 0.0
        total = self._backlog.counted_work[service]
        return max(
            0.0, usage.counted_work - self.share_of(service, client) * total
        )

    def set_configuration(self, configuration: Configuration) -> None:
        """Applies a configuration."""
        self._clients = {c.name: c for c in configuration.clients}
        self._share_sums.clear()

    def share_of(self, service: str, client: str) -> float:
        """Returns a client's share among those that have work in a service."""
        if self._share_sums_version != self._backlog.clients_version:
            self._share_sums.clear()
            self._share_sums_version = self._backlog.clients_version
        total = self._share_sums.get(service)
        if total is None:
            total = sum(
                self._get_client(name).share
                for other, name in self._backlog.clients
                if other == service
            )
            self._share_sums[service] = total
        own = self._get_client(client).share
        if (service, client) not in self._backlog.clients:
            total += own
        return own / total

    def _get_client(self, name: str) -> Client:
        return self._clients.get(name) or Client(name=name)

    def _check_deadline(self, body: JobBody) -> Admission | None:
        works = [
            self._estimates.work(
                body.service, task.kind, task.declared_run_time
            )
            for task in body.tasks
        ]
        capacity = self._capacity(body.service)
        drain_time = self._drain_time(body.service)
        typical_speed = max(self._fastest_speed(body.service) / 2.0, 0.1)
        own_time = sum(works) / capacity + max(works) / typical_speed
        allowed = body.timeout * self._settings.admission_margin
        if drain_time + own_time > allowed:
            return self._refuse_for_now(
                Reason.DEADLINE_INFEASIBLE,
                f"the job would need about {drain_time + own_time:.2f} s at "
                f"the present backlog; its timeout is {body.timeout:.2f} s",
                drain_time,
            )
        share = self.share_of(body.service, body.client)
        usage = self._backlog.clients.get((body.service, body.client))
        queued = usage.work / capacity if usage is not None else 0.0
        if share < 1.0 and queued / share + own_time > allowed:
            return self._refuse_for_now(
                Reason.CLIENT_LIMIT,
                f"client {body.client!r} has {queued:.2f} s of work in the "
                f"backlog while others wait; its share is {share:.0%}",
                drain_time,
            )
        return None

    def _capacity(self, service: str) -> float:
        pools = self._fleet.pools(service)
        return max(sum(pool.available for pool in pools), 1e-3)

    def _drain_time(self, service: str) -> float:
        work = self._backlog.work.get(service, 0.0)
        return work / self._capacity(service)

    def _refuse_for_now(
        self, reason: Reason, detail: str, drain_time: float
    ) -> Admission:
        settings = self._settings
        spread = drain_time * self._rng.uniform(0.5, 1.5)
        retry_after = max(settings.retry_after_min, spread)
        return Admission(
            accepted=False,
            reason=reason,
            detail=detail,
            retry_after=min(settings.retry_after_max, retry_after),
        )


def _refuse_permanently(reason: Reason, detail: str) -> Admission:
    return Admission(accepted=False, reason=reason, detail=detail)
