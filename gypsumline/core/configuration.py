"""The configuration that the operators' text describes."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service that upstreams run.

    Attributes:
      name: Name that callers and executors use.
      kinds: Kinds of task that the service takes; empty for any.
      depends_on: Names of the services that this one needs.
    """

    name: str
    kinds: tuple[str, ...] = ()
    depends_on: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Client:
    """Share and limit of one client.

    Attributes:
      name: Name that submissions carry.
      share: Weight against other clients when slots are short.
      max_running: Most tasks that may be admitted at once; 0 for no limit.
    """

    name: str
    share: float = 1.0
    max_running: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits of one submission.

    Attributes:
      tasks_per_job: Most tasks in one job.
      payload_bytes: Longest payload of one task.
    """

    tasks_per_job: int = 720
    payload_bytes: int = 65536


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One accepted version of the operators' text, parsed.

    Attributes:
      services: Known services.
      clients: Clients with a share of their own; others have the default.
      limits: Limits of one submission.
      availability_zones_out: Availability zones that take no starts.
      upstreams_out: Upstreams that take no starts.
      services_out: Services that take no starts.
    """

    services: tuple[Service, ...] = ()
    clients: tuple[Client, ...] = ()
    limits: Limits = dataclasses.field(default_factory=Limits)
    availability_zones_out: tuple[str, ...] = ()
    upstreams_out: tuple[str, ...] = ()
    services_out: tuple[str, ...] = ()

    def find_service(self, name: str) -> Service | None:
        """Returns the service of that name, if there is one."""
        for service in self.services:
            if service.name == name:
                return service
        return None

    def find_client(self, name: str) -> Client:
        """Returns the share and limit of a client, or the default ones."""
        for client in self.clients:
            if client.name == name:
                return client
        return Client(name=name)

    def transitive_dependencies(self, name: str) -> tuple[str, ...]:
        """Returns all services that one needs, directly or not."""
        found: list[str] = []
        waiting = [name]
        while waiting:
            service = self.find_service(waiting.pop())
            if service is None:
                continue
            new = [d for d in service.depends_on if d not in found]
            found.extend(new)
            waiting.extend(new)
        return tuple(found)
