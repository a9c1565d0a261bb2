"""Data model of the configuration that operators write."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service that upstreams provide.

    Attributes:
      name: Name by which callers and executors refer to the service.
      kinds: Task kinds that the service accepts; empty for any.
      depends_on: Names of the services that it depends on directly.
    """

    name: str
    kinds: tuple[str, ...] = ()
    depends_on: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Client:
    """Share and concurrency limit of one client.

    Attributes:
      name: Client name that submissions carry.
      share: Weight relative to other clients when slots are scarce.
      max_running: Maximum number of tasks admitted at once; 0 for no limit.
    """

    name: str
    share: float = 1.0
    max_running: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits on the size of one submission.

    Attributes:
      tasks_per_job: Maximum number of tasks in one job.
      payload_bytes: Maximum payload size of one task, in bytes.
    """

    tasks_per_job: int = 720
    payload_bytes: int = 65536


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """A parsed version of the operators' configuration text.

    Attributes:
      services: Services that jobs may be submitted to.
      clients: Clients with explicit settings; others get the defaults.
      limits: Limits on the size of one submission.
      availability_zones_out: Availability zones where no task is started.
      upstreams_out: Upstreams where no task is started.
      services_out: Services for which no task is started.
    """

    services: tuple[Service, ...] = ()
    clients: tuple[Client, ...] = ()
    limits: Limits = dataclasses.field(default_factory=Limits)
    availability_zones_out: tuple[str, ...] = ()
    upstreams_out: tuple[str, ...] = ()
    services_out: tuple[str, ...] = ()

    def find_service(self, name: str) -> Service | None:
        """Returns the service with a name, or None if there is none."""
        for service in self.services:
            if service.name == name:
                return service
        return None

    def find_client(self, name: str) -> Client:
        """Returns the settings of a client, or the defaults if it has none."""
        for client in self.clients:
            if client.name == name:
                return client
        return Client(name=name)

    def transitive_dependencies(self, name: str) -> tuple[str, ...]:
        """Returns all services that one depends on, directly or indirectly."""
        found: list[str] = []
        pending = [name]
        while pending:
            service = self.find_service(pending.pop())
            if service is None:
                continue
            new = [d for d in service.depends_on if d not in found]
            found.extend(new)
            pending.extend(new)
        return tuple(found)
