"""Messages between owners and agents about leased runs."""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import Annotated

import msgspec

from gypsumline.core.leases.resources import NO_RESOURCES, Resources
from gypsumline.core.message import Message, register_message

# A stamp in the infinite future would count as contact for ever. One in the
# infinite past is that of an owner that has received none.
Stamp = Annotated[float, msgspec.Meta(le=2.0**53)]
# The limits leave out infinity and NaN.
Seconds = Annotated[float, msgspec.Meta(ge=-1e300, le=1e300)]
Amount = Annotated[int, msgspec.Meta(ge=0)]
# A negative age would make a list look newer than it is.
Age = Annotated[float, msgspec.Meta(ge=0.0, le=1e300)]


class RunEnd(enum.StrEnum):
    """How a run ended, or why it never started.

    With the last five values the run has not started and never will.
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
        """Whether this end is no evidence of any run of the task.

        OLD_ATTEMPT and NOT_TAKEN do not qualify: they also occur when a run of
        the same task for an earlier owner is known.
        """
        return self in _NO_START


_NO_START = frozenset({RunEnd.NO_ROOM, RunEnd.NO_CONTACT, RunEnd.REFUSED})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunOrder:
    """An owner's order of one run.

    Attributes:
      task: Name of the task, unique in the installation.
      attempt: Attempt number, which increases with each run of a task.
      resources: Resources that it holds while it runs.
    """

    task: str
    attempt: int
    resources: Resources

    def __post_init__(self) -> None:
        if not NO_RESOURCES.fits(self.resources):
            raise ValueError("an amount of the resources is negative")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunReport:
    """The end of one run.

    Attributes:
      task: Name of the task.
      attempt: Attempt number.
      end: How it ended.
      run_time: Seconds from the order to the end; 0 if it never started.
    """

    task: str
    attempt: int
    end: RunEnd
    run_time: Seconds = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CapacityRequest:
    """Request for capacity for an owner's most urgent waiting job.

    Attributes:
      priority: Priority of its queue; lower values go first.
      slack: Seconds until its longest task must start to meet the objective;
        negative once that has passed.
      processor: Need of its ready tasks, in thousandths of a core.
    """

    priority: int
    slack: Seconds
    processor: Amount


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExecutorLoad:
    """State of an executor as reported by its agent.

    Attributes:
      executor: Name and start of the executor; "" if there is none.
      service: Service that it runs.
      capacity: Its resources.
      free: Resources neither held by runs nor offered to other owners.
      labels: Labels for its kind and its rack.
      taking: Whether it accepts starts.
      leaving_in: Seconds until it leaves; negative unless it is leaving.
      orders_seen: Number of the receiver's run orders that the load includes.
      yours: Processor use of the receiver's runs, in thousandths of a core.
      owners: Number of owners connected to the agent.
      offered: Whether capacity is offered to the receiver, which answers with
        a start or declines with a pong.
      unanswered: Share of its orders to the executor that go unanswered.
    """

    executor: str = ""
    service: str = ""
    capacity: Resources = NO_RESOURCES
    free: Resources = NO_RESOURCES
    labels: tuple[str, ...] = ()
    taking: bool = False
    leaving_in: Seconds = -1.0
    orders_seen: int = 0
    yours: int = 0
    owners: int = 1
    offered: bool = False
    unanswered: float = 0.0

    @property
    def is_leaving(self) -> bool:
        """Whether the executor leaves, and its agent with it."""
        return self.leaving_in >= 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashedRun:
    """A run that was at an executor when it crashed.

    Attributes:
      task: Name of the task.
      attempt: Attempt number.
      queue: Name of the queue; "" if its owner did not name it.
      age: Seconds from the order of the run to the crash.
      is_started: Whether it is known to have been there: the executor had
        confirmed the start and responded since, the lease had not expired, and
        no stop had taken effect.
    """

    task: str
    attempt: int
    queue: str
    age: Seconds
    is_started: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExecutorCrash:
    """A crash of an executor, as seen by its agent.

    Attributes:
      executor: Name of the executor.
      started_at: Start of the incarnation that crashed, in UTC milliseconds.
      seconds_ago: Age of the crash when the message was sent.
      runs: Runs that were there.
    """

    executor: str
    started_at: int
    seconds_ago: Seconds
    runs: tuple[CrashedRun, ...]


@register_message("contact_ping")
class ContactPing(Message):
    """Checks that an owner is alive and reports the load.

    Attributes:
      stamp: Time of the ping in seconds on the agent's clock.
      load: State of the executor.
      keeps_locks: Whether the agent keeps locks on submission keys.
      keepers_version: Version of the newest list of keepers that the agent
        knows; 0 if it knows none.
      answered: Newest stamp whose answer the agent has received.
    """

    stamp: Stamp
    load: ExecutorLoad
    keeps_locks: bool = False
    keepers_version: Amount = 0
    answered: Stamp = -math.inf


@register_message("contact_pong")
class ContactPong(Message):
    """Answers a ping.

    Attributes:
      stamp: Stamp of the ping.
      wish: Capacity request of the owner's most urgent waiting job.
      zones_age: Age of the owner's list of excluded zones; None if unknown.
      unlocked: Submission keys whose locks the owner returns.
      unlocked_number: Number of the owner's newest request for locks before.
    """

    stamp: Stamp
    wish: CapacityRequest | None = None
    zones_age: Age | None = None
    unlocked: tuple[str, ...] = ()
    unlocked_number: int = 0


@register_message("zones_out")
class ZonesOut(Message):
    """Availability zones that operators have taken out of service.

    Attributes:
      version: Version of the store's table; a higher one is newer.
      zones: Names of the zones.
    """

    version: int
    zones: tuple[str, ...]


@register_message("start_runs")
class StartRuns(Message):
    """Orders runs of one job from an agent.

    Attributes:
      key: Submission key.
      stamp: Newest stamp received from this agent.
      spec: Specification that the executor runs.
      orders: The ordered runs.
      wish: Capacity request of the most urgent job that still waits.
      queue: Name of the job's queue.
    """

    key: str
    stamp: Stamp
    spec: str
    orders: tuple[RunOrder, ...]
    wish: CapacityRequest | None = None
    queue: str = ""


@register_message("stop_runs")
class StopRuns(Message):
    """Stops runs, each of which is reported once it has ended."""

    tasks: tuple[str, ...]
    attempts: tuple[int, ...]

    def __post_init__(self) -> None:
        _check_pairs(self.tasks, self.attempts)


@register_message("claim_runs")
class ClaimRuns(Message):
    """Lists all runs that an owner assumes at an agent.

    Sent on each new stream. The agent reports listed runs that it does not have
    as lost and stops runs of the owner that are not listed.
    """

    tasks: tuple[str, ...]
    attempts: tuple[int, ...]

    def __post_init__(self) -> None:
        _check_pairs(self.tasks, self.attempts)


@register_message("run_reports")
class RunReports(Message):
    """Ends of runs, with the load after these ends.

    Attributes:
      reports: The ends of the receiver's runs.
      load: State of the executor.
      crashes: Crashes of the executor that the receiver may not know, with the
        runs of all owners.
    """

    reports: tuple[RunReport, ...]
    load: ExecutorLoad
    crashes: tuple[ExecutorCrash, ...] = ()


def _check_pairs(tasks: tuple[str, ...], attempts: tuple[int, ...]) -> None:
    if len(tasks) != len(attempts):
        raise ValueError(f"{len(tasks)} tasks and {len(attempts)} attempts")
