"""Builders of values that the tests of the decision logic share."""

from __future__ import annotations

import uuid

from gypsumline.core.configuration import Configuration, Service
from gypsumline.core.control.record import (
    ControlRecord,
    OwnerEpoch,
    RegisteredAgent,
)
from gypsumline.core.effects import Answer, Send
from gypsumline.core.identity import Member, Role
from gypsumline.core.messages import StartTasks, Submit
from gypsumline.core.task import JobBody, TaskSpec

WALL = 1_700_000_000.0
ENTRY = Member(
    member_id="e1", incarnation=1, role=Role.ENTRY, availability_zone="a"
)
OTHER_ENTRY = Member(
    member_id="e2", incarnation=1, role=Role.ENTRY, availability_zone="b"
)
AGENT = Member(
    member_id="g1",
    incarnation=int((WALL - 1000) * 1e9),
    role=Role.AGENT,
    availability_zone="a",
)


def key_at(wall, number=1):
    """Returns a UUIDv7 with the given time in UTC seconds."""
    value = int(wall * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


def make_record(
    revision=1, entries=(ENTRY,), agents=("g1",), epochs=None, **changes
):
    first = OwnerEpoch(begins_at_wall=0.0, owners=(ENTRY, OTHER_ENTRY))
    return ControlRecord(
        revision=revision,
        configuration=Configuration(services=(Service(name="s"),), **changes),
        entries=tuple(entries),
        agents=tuple(
            RegisteredAgent(agent_id=agent, availability_zone="a")
            for agent in agents
        ),
        epochs=epochs or (first,),
    )


def make_tasks(count):
    return tuple(TaskSpec(index=index, kind="k") for index in range(count))


def make_submit(key, count=2, request_id=1, digest=b"d", **changes):
    body = JobBody(
        service="s",
        client="c",
        tasks=make_tasks(count),
        timeout=changes.pop("timeout", 10.0),
        **changes,
    )
    return Submit(request_id=request_id, key=key, digest=digest, body=body)


def make_start(key, count=1, attempt=1, **changes):
    fields = {
        "agent_incarnation": AGENT.incarnation,
        "service": "s",
        "tasks": make_tasks(count),
        "attempts": (attempt,) * count,
        "deadline_left": 10.0,
        "digest": b"d",
    }
    return StartTasks(key=key, **{**fields, **changes})


def sent(effects, kind):
    """Returns the messages of a type that `Send` effects contain."""
    return [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, kind)
    ]


def outcomes(effects):
    """Returns the outcome and reason of each `Answer` effect."""
    return [
        (effect.answer.outcome, effect.answer.reason)
        for effect in effects
        if isinstance(effect, Answer)
    ]
