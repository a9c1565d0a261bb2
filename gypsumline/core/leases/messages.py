"""Messages between owners and agents about leased runs."""

from __future__ import annotations

import dataclasses
import enum

from gypsumline.core.leases.resources import NO_RESOURCES, Resources
from gypsumline.core.messages import Message, register_message


class RunEnd(enum.StrEnum):
    """How a run ended, or why it never started.

    The last five say that the run has not started and never will.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"
    NO_ROOM = "no_room"
    OLD_ATTEMPT = "old_attempt"
    NO_CONTACT = "no_contact"
    NOT_TAKEN = "not_taken"
    REFUSED = "refused"

    @property
    def rules_out_start(self) -> bool:
        """Whether nothing hints at a start of the task, by this run or another.

        An attempt is too old, or a run not taken, also where an earlier owner's
        run of the same task is known.
        """
        return self in _NO_START


_NO_START = frozenset({RunEnd.NO_ROOM, RunEnd.NO_CONTACT, RunEnd.REFUSED})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunOrder:
    """One run that an owner asks for.

    Attributes:
      task: Name of the task, unique in the installation.
      attempt: Number of the run; each later run of a task has a higher one.
      resources: What it takes while it runs.
    """

    task: str
    attempt: int
    resources: Resources


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunReport:
    """The end of one run.

    Attributes:
      task: Name of the task.
      attempt: Number of the run.
      end: How it ended.
      run_time: Seconds from the order to the end; 0 if it never started.
    """

    task: str
    attempt: int
    end: RunEnd
    run_time: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CapacityRequest:
    """The most urgent job of an owner that waits for room.

    Attributes:
      priority: Priority of its queue; lower values go first.
      slack: Seconds until its answer is due; negative once that has passed.
      processor: What its waiting tasks take, in thousandths of a core.
    """

    priority: int
    slack: float
    processor: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExecutorLoad:
    """What an agent tells about its executor.

    Attributes:
      executor: Name and start of the executor; "" if there is none.
      service: Service that it runs.
      capacity: Its resources.
      free: Resources that no run has and no other owner is offered.
      labels: Its kind and its rack.
      taking: Whether it takes starts.
      leaving_in: Seconds until it leaves; negative unless it leaves.
      orders_seen: Run orders of the receiver that this load takes account of.
      yours: Processor that runs of the receiver have, in thousandths.
      owners: Owners that are connected to the agent.
      offered: Whether the receiver is asked to take room or to pass.
    """

    executor: str = ""
    service: str = ""
    capacity: Resources = NO_RESOURCES
    free: Resources = NO_RESOURCES
    labels: tuple[str, ...] = ()
    taking: bool = False
    leaving_in: float = -1.0
    orders_seen: int = 0
    yours: int = 0
    owners: int = 1
    offered: bool = False


@register_message("contact_ping")
class ContactPing(Message):
    """Asks an owner for a sign of life; tells the load.

    Attributes:
      stamp: Seconds on the agent's clock.
      load: State of the executor.
    """

    stamp: float
    load: ExecutorLoad


@register_message("contact_pong")
class ContactPong(Message):
    """Answers a ping.

    Attributes:
      stamp: The ping's stamp.
      wish: The owner's most urgent job that waits for room.
    """

    stamp: float
    wish: CapacityRequest | None = None


@register_message("zones_out")
class ZonesOut(Message):
    """Availability zones that are out of service.

    Attributes:
      version: Version of the store's table; a higher one is newer.
      zones: Names of the zones.
    """

    version: int
    zones: tuple[str, ...]


@register_message("start_runs")
class StartRuns(Message):
    """Asks an agent for runs of one job.

    Attributes:
      key: Submission key.
      stamp: Newest stamp of this agent that the owner has seen.
      spec: What the executor is to run.
      orders: The runs.
      wish: The owner's most urgent job that still waits for room.
    """

    key: str
    stamp: float
    spec: str
    orders: tuple[RunOrder, ...]
    wish: CapacityRequest | None = None


@register_message("stop_runs")
class StopRuns(Message):
    """Stops runs; each is reported once it has ended."""

    tasks: tuple[str, ...]
    attempts: tuple[int, ...]


@register_message("claim_runs")
class ClaimRuns(Message):
    """Names all runs that an owner believes to have at an agent.

    Sent on each new stream: the agent reports those that it does not have as
    lost, and stops those of the owner that are not named.
    """

    tasks: tuple[str, ...]
    attempts: tuple[int, ...]


@register_message("run_reports")
class RunReports(Message):
    """Ends of runs, with the load after them."""

    reports: tuple[RunReport, ...]
    load: ExecutorLoad
