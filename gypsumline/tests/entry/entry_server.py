"""Runs an entry over HTTP with fakes of its control, agent and table."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp

from gypsumline.cli.settings import EntrySettings
from gypsumline.core.effects import ChangeOutcome
from gypsumline.core.errors import TableUnavailableError
from gypsumline.core.messages import (
    StartTasks,
    TaskResults,
    TasksWithdrawn,
    UpstreamState,
    WithdrawTasks,
)
from gypsumline.core.submissions.owner import SubmissionOwner
from gypsumline.core.submissions.owner_settings import OwnerSettings
from gypsumline.core.task import TaskResult, TaskStatus
from gypsumline.entry.configuration_http import ConfigurationRoutes
from gypsumline.entry.http import entry_app
from gypsumline.entry.node import EntryMachines, EntryNode
from gypsumline.runtime.clock import boot_time, wall_time
from gypsumline.runtime.http_server import running_http_server
from gypsumline.runtime.logs import DecisionLog
from gypsumline.tests.core.builders import AGENT, ENTRY, make_record
from gypsumline.tests.core.first_fit import FirstFitScheduler

UPSTREAM = UpstreamState(
    upstream_id="x", service="s", slots=4, free=4, healthy=True
)


class FakeControlMachine:
    """Control machine with a fixed record, evidence and outcome."""

    def __init__(self):
        self.record = make_record()
        self.fresh = True
        self.accepted = True
        self.outcome = ("accepted", 1, "")
        self._ready_at = boot_time() - 60

    def is_fresh(self, now):
        return self.fresh

    def is_accepted(self):
        return self.accepted

    def ready_at(self):
        return self._ready_at

    def propose(self, request_id, change, now, wall):
        kind, version, detail = self.outcome
        return [
            ChangeOutcome(
                request_id=request_id, kind=kind, version=version, detail=detail
            )
        ]

    def _no_effects(self, *_):
        return []

    tick = on_connected = on_disconnected = on_message = leave = _no_effects


class FakeTable:
    """Table operations on configuration rows in memory."""

    def __init__(self):
        self.rows = ()
        self.is_down = False

    async def list_configurations(self):
        if self.is_down:
            raise TableUnavailableError("down")
        return self.rows

    async def find_configuration(self, version):
        rows = await self.list_configurations()
        return next((row for row in rows if row.version == version), None)


class FakeHub:
    """Hub with one agent, which finishes its tasks immediately.

    While `holds_tasks` is set, tasks run until `finish_tasks` is called.
    """

    def __init__(self):
        self.holds_tasks = False
        self.starts = []
        self.replies = []
        self.node = None

    def set_members(self, addresses):
        return None

    def send(self, to, message):
        loop = asyncio.get_running_loop()
        if isinstance(message, StartTasks):
            self.starts.append(message)
            if not self.holds_tasks:
                loop.call_soon(self.finish_tasks, message)
        elif isinstance(message, WithdrawTasks):
            reply = TasksWithdrawn(
                key=message.key,
                withdrawn=message.indexes,
                started=(),
                attempts=message.attempts,
            )
            loop.call_soon(self.node.on_message, AGENT, reply)
        else:
            self.replies.append((to, message))
        return True

    def finish_tasks(self, start):
        results = tuple(
            TaskResult(
                index=task.index,
                status=TaskStatus.SUCCEEDED,
                value=task.payload,
                attempt=attempt,
            )
            for task, attempt in zip(start.tasks, start.attempts, strict=True)
        )
        message = TaskResults(key=start.key, results=results, free=4, queued=0)
        self.node.on_message(AGENT, message)


class EntryServer:
    """An entry under test with its fakes and an HTTP client."""

    def __init__(self, session, url, node, parts):
        self.url = url
        self.node = node
        self.control, self.scheduler, self.hub, self.table = parts
        self._session = session

    async def call(self, method, path, **options):
        """Sends a request; returns its status, headers and JSON body."""
        async with self._session.request(
            method, self.url + path, **options
        ) as response:
            return response.status, response.headers, await response.json()

    async def submit(self, body, key="", query=""):
        headers = {"Idempotency-Key": key} if key else {}
        return await self.call(
            "POST", f"/v1/jobs{query}", json=body, headers=headers
        )


@contextlib.asynccontextmanager
async def entry_server(**settings):
    """Yields an entry that owns every key and has one connected agent."""
    all_settings = EntrySettings(
        member_id=ENTRY.member_id,
        availability_zone="a",
        host="127.0.0.1",
        table_url="http://127.0.0.1:9",
        **settings,
    )
    control, scheduler, hub, table = (
        FakeControlMachine(),
        FirstFitScheduler(),
        FakeHub(),
        FakeTable(),
    )

    def make_machines(local_member):
        owner = SubmissionOwner(local_member, OwnerSettings(), scheduler)
        return EntryMachines(control=control, owner=owner)

    node = EntryNode(ENTRY, make_machines, DecisionLog(0))
    hub.node = node
    node.attach(hub, table)
    node.tick_control()
    node.on_connected(AGENT)
    owner = node._machines.owner
    node._apply_owner_effects(
        owner.on_agent(AGENT, UPSTREAM, boot_time(), wall_time())
    )
    app = entry_app(node, all_settings, ConfigurationRoutes(node, table))
    async with running_http_server(app, "127.0.0.1", 0, 1.0) as server:
        port = server.servers[0].sockets[0].getsockname()[1]
        ticking = asyncio.create_task(_tick(node))
        async with aiohttp.ClientSession() as session:
            parts = (control, scheduler, hub, table)
            url = f"http://127.0.0.1:{port}"
            yield EntryServer(session, url, node, parts)
        ticking.cancel()


async def _tick(node):
    while True:
        node.tick_owner()
        await asyncio.sleep(0.02)
