"""Builders of messages and machines for the tests of leased runs."""

from gypsumline.core.effects import Send
from gypsumline.core.identity import Member, Role
from gypsumline.core.leases.effects import (
    Announcement,
    EndedRun,
    HoldReply,
    OrderStart,
    OrderStop,
)
from gypsumline.core.leases.job import JobRequest, JobStep, QueueRules
from gypsumline.core.leases.keepers import Keeper, KeeperList
from gypsumline.core.leases.messages import (
    CapacityRequest,
    ContactPing,
    ContactPong,
    ExecutorLoad,
    RunEnd,
    RunOrder,
    RunReport,
    RunReports,
    StartRuns,
)
from gypsumline.core.leases.owner import LeasedOwner
from gypsumline.core.leases.owner_settings import LeasedOwnerSettings
from gypsumline.core.leases.resources import Resources
from gypsumline.core.leases.run_table import RunTable
from gypsumline.core.leases.settings import LeaseSettings

LEASE = LeaseSettings()
ENTRY = Member(
    member_id="entry-1",
    incarnation=1,
    role=Role.ENTRY,
    availability_zone="north",
    address="127.0.0.1:1",
)
ENTRY_2 = Member(
    member_id="entry-2",
    incarnation=1,
    role=Role.ENTRY,
    availability_zone="south",
    address="127.0.0.1:2",
)
KEY = "00000000000000a1"


def agent(number=1, incarnation=1, zone="north"):
    return Member(
        member_id=f"agent-{number}",
        incarnation=incarnation,
        role=Role.AGENT,
        availability_zone=zone,
    )


def cores(count):
    return Resources(processor=1000 * count, memory=64)


def announcement(
    sequence=1, executor="x-1", started_at=1000, leaving=False, clock=50_000
):
    return Announcement(
        executor=executor,
        started_at=started_at,
        sequence=sequence,
        service="ordering",
        availability_zone="north",
        capacity=Resources(processor=8000, memory=4096),
        labels=("a", "r1"),
        leaving=leaving,
        leaving_in=0.0,
        clock=clock,
    )


def order(task=f"{KEY}.0.0.0", attempt=1, count=2):
    return RunOrder(task=task, attempt=attempt, resources=cores(count))


def start(*orders, stamp=0.0, wish=None, queue=""):
    return StartRuns(
        key=KEY,
        stamp=stamp,
        spec="s",
        orders=orders,
        wish=wish,
        queue=queue,
    )


def capacity_request(priority=1, slack=0.2, processor=2000):
    return CapacityRequest(priority=priority, slack=slack, processor=processor)


def hold_reply(running=(), ended=(), started_at=1000, clock=50_000):
    return HoldReply(
        started_at=started_at,
        clock=clock,
        running=frozenset(running),
        ended=tuple(
            EndedRun(number=number, task=task, attempt=attempt, outcome=outcome)
            for number, task, attempt, outcome in ended
        ),
    )


def sends(effects, message_type):
    return [
        (effect.to, effect.message)
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, message_type)
    ]


def ends(effects):
    """Returns (task, attempt, end) of all reported ends."""
    return [
        (report.task, report.attempt, report.end)
        for _, message in sends(effects, RunReports)
        for report in message.reports
    ]


def starts(effects):
    return [effect for effect in effects if isinstance(effect, OrderStart)]


def stops(effects):
    return [effect for effect in effects if isinstance(effect, OrderStop)]


def open_table(now=0.0, zone="north"):
    """Returns a table that accepts starts and whose executor is empty."""
    table = RunTable(agent(zone=zone), LEASE, token=100)
    table.on_announcement(announcement(), now)
    hold = table.next_hold_request(now)
    table.on_hold_reply(hold, hold_reply(), now, now)
    for entry in (ENTRY, ENTRY_2):
        table.on_connected(entry, now)
    return table


def replace_executor(table, announced, now, latency=0.0):
    """Announces another executor, which then answers in its own name."""
    effects = table.on_announcement(announced, now)
    request = table.next_hold_request(now)
    assert request.executor == announced.executor
    reply = hold_reply(started_at=announced.started_at, clock=announced.clock)
    answered_at = now + latency
    return effects + table.on_hold_reply(request, reply, now, answered_at)


def answer_ping(table, now, entry=ENTRY, wish=None):
    """Handles an owner's answer to a ping that was sent at `now`."""
    return table.on_pong(entry, ContactPong(stamp=now, wish=wish), now)


def load(
    free=8000,
    executor="x-1",
    taking=True,
    seen=0,
    labels=(),
    capacity=8000,
    owners=1,
):
    return ExecutorLoad(
        executor=executor,
        service="ordering",
        capacity=Resources(processor=capacity, memory=4096),
        free=Resources(processor=free, memory=4096),
        labels=labels,
        taking=taking,
        orders_seen=seen,
        owners=owners,
    )


def queue(name="cards", priority=0, attempts=2):
    return QueueRules(
        name=name,
        service="ordering",
        priority=priority,
        attempts=attempts,
        stretch=1.6,
        latency=0.06,
    )


def request(key=KEY, count=1, rules=None, timeout=30.0, steps=None, size=2):
    if steps is None:
        step = JobStep(count=count, resources=cores(size), run_time=0.2)
        steps = (step,)
    return JobRequest(
        key=key,
        spec="s",
        queue=rules or queue(),
        steps=steps,
        timeout=timeout,
    )


def owner(**settings):
    return LeasedOwner(LEASE, LeasedOwnerSettings(**settings))


def join(leased, member, now=0.0, **values):
    """Connects an agent and handles its first ping."""
    leased.on_connected(member, now)
    ping = ContactPing(stamp=now, load=load(**values))
    return handle_ping(leased, member, ping, now)


def keeper_list(numbers, version=1, previous=(), is_reset=False):
    """Returns a list of agents, each in a zone of its own."""
    return KeeperList(
        version=version,
        members=_keepers(numbers),
        previous=_keepers(previous),
        is_reset=is_reset,
    )


def _keepers(numbers):
    return tuple(
        sorted(
            Keeper(f"agent-{number}", f"zone-{number}") for number in numbers
        )
    )


def keeper_ping(leased, number, now, version=1, incarnation=1):
    """Handles two pings of an agent that keeps locks; returns the effects.

    The second one says that the answer to the first has been received.
    """
    member = agent(number, incarnation)
    effects = []
    for stamp in (now, now + 0.001):
        known = leased.find_agent(member)
        ping = ContactPing(
            stamp=stamp,
            load=load(executor=f"x-{number}"),
            keeps_locks=True,
            keepers_version=version,
            answered=known.stamp,
        )
        effects += leased.on_ping(member, ping, stamp)
        effects += leased.answer_ping(member, stamp, stamp)
    return effects


def handle_ping(leased, member, ping, now):
    """Answers a ping and applies its load."""
    answer = leased.answer_ping(member, ping.stamp, now)
    return answer + leased.on_ping(member, ping, now)


def reports(*items, now_load=None):
    return RunReports(
        reports=tuple(
            RunReport(task=task, attempt=attempt, end=end, run_time=run_time)
            for task, attempt, end, run_time in items
        ),
        load=now_load or load(),
    )


def done(task, attempt=1, run_time=0.2):
    return task, attempt, RunEnd.DONE, run_time
