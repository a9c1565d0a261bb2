"""Stand-in for the platform's store, with a separate endpoint per process.

All endpoints share the same rows. Each has its own faults, latency and read
lag, so that a test can disturb the store for single processes.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import contextlib
import dataclasses
import json
import random
import urllib.parse
from collections.abc import AsyncIterator, Callable, Iterable
from typing import NamedTuple

from gypsumline.runtime.http_messages import HttpResponse
from gypsumline.runtime.light_http_server import (
    Exchange,
    HttpLimits,
    running_light_server,
)

_RowMap = dict[tuple[str, str], tuple[bytes, int]]
Put = tuple[str, str, bytes]
# Returns a changed body of a response, from its path and body.
Alteration = Callable[[str, bytes], bytes]
# Returns the value that one reader gets, from (table, key, stored value).
Translator = Callable[[str, str, bytes], bytes]


def _json_response(body: object, status: int = 200) -> HttpResponse:
    return HttpResponse(status=status, body=json.dumps(body).encode())


class _Snapshot(NamedTuple):
    """The rows as they were at a time in seconds of the event loop."""

    time: float
    version: int
    rows: _RowMap


class Rows:
    """Rows of all tables, with the history of changes for feeds.

    Attributes:
      rows: Value and version of each row by (table, key).
      version: Version of the newest transaction.
      history: Retained changes as (version, table, key, value); the value of a
        removed row is None.
      dropped_version: Changes up to this version have been dropped from the
        history.
      changed: Set, and replaced by a new event, at each change.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.rows: _RowMap = {}
        self.version = 0
        self.history: list[tuple[int, str, str, bytes | None]] = []
        self.dropped_version = 0
        self.changed = asyncio.Event()
        self._snapshots: list[_Snapshot] = []
        self._save_snapshot()

    @property
    def now_ms(self) -> float:
        """Milliseconds on the store's monotonic clock."""
        return 1000.0 * self._loop.time()

    def write(
        self, puts: Iterable[Put], removals: Iterable[tuple[str, str]] = ()
    ) -> None:
        """Writes rows in one transaction."""
        self.version += 1
        for table, key, value in puts:
            self.rows[table, key] = (value, self.version)
            self.history.append((self.version, table, key, value))
        for table, key in removals:
            if self.rows.pop((table, key), None) is not None:
                self.history.append((self.version, table, key, None))
        self._save_snapshot()
        self.changed.set()
        self.changed = asyncio.Event()

    def drop_history(self) -> None:
        """Drops the history, which the platform may do at any time."""
        self.history.clear()
        self.dropped_version = self.version
        self.changed.set()
        self.changed = asyncio.Event()

    def snapshot_at(self, time: float) -> _Snapshot:
        """Returns the snapshot at a time, or the oldest if there is none."""
        found = [
            snapshot for snapshot in self._snapshots if snapshot.time <= time
        ]
        return found[-1] if found else self._snapshots[0]

    def _save_snapshot(self) -> None:
        snapshot = _Snapshot(self._loop.time(), self.version, dict(self.rows))
        self._snapshots.append(snapshot)


class StoreEndpoint:
    """HTTP endpoint of the store for one process.

    Attributes:
      fault: "" for none; "busy" responds with status 503; "silent" does not
        respond; "slow" delays each call; "lost" applies writes without a
        response; "late" does the same after a delay of 1 to 4 seconds.
      latency: Seconds by which each call is delayed.
      read_lag: Staleness of reads in seconds; feeds are never stale.
      alter: Changes the body of each response; None changes none.
      calls: Number of calls by path, except those made while the endpoint was
        "busy" or "silent".
    """

    def __init__(
        self, rows: Rows, translate: Translator, rng: random.Random
    ) -> None:
        self._rows = rows
        self._translate = translate
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()
        self.fault = ""
        self.latency = 0.0
        self.read_lag = 0.0
        self.alter: Alteration | None = None
        self.calls: collections.Counter[str] = collections.Counter()

    def __call__(self, exchange: Exchange) -> None:
        """Handles a call in a separate task, subject to the present fault."""
        task = asyncio.create_task(self._serve(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, exchange: Exchange) -> None:
        fault = self.fault
        if fault == "busy":
            exchange.respond(HttpResponse(status=503))
            return
        if fault == "silent":
            return
        if self.latency:
            await asyncio.sleep(self.latency)
        if fault == "slow":
            await asyncio.sleep(self._rng.uniform(0.1, 0.6))
        path, _, query = exchange.request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        self.calls[path] += 1
        if path == "/v1/rows-get":
            self._send(exchange, path, self._get(fields))
        elif path == "/v1/rows-feed":
            self._send(exchange, path, await self._feed(fields))
        elif path == "/v1/rows-tx":
            await self._write(exchange, path, fault)
        else:
            exchange.respond(HttpResponse(status=404))

    def _send(
        self, exchange: Exchange, path: str, response: HttpResponse
    ) -> None:
        """Responds unless the endpoint has become silent since the call."""
        if self.fault == "silent":
            return
        if self.alter is not None:
            body = self.alter(path, response.body)
            response = dataclasses.replace(response, body=body)
        exchange.respond(response)

    def _get(self, fields: dict[str, str]) -> HttpResponse:
        now = self._rows.now_ms / 1000.0
        snapshot = self._rows.snapshot_at(now - self.read_lag)
        keys = [
            (table, key)
            for table, key in sorted(snapshot.rows)
            if table == fields["table"] and key >= fields.get("from", "")
        ]
        page = keys[: int(fields.get("limit", len(keys)))]
        return _json_response(
            {
                "rows": [self._row(*key, *snapshot.rows[key]) for key in page],
                "has_more": len(page) < len(keys),
                "ver": snapshot.version,
                "now_ms": self._rows.now_ms,
            }
        )

    async def _feed(self, fields: dict[str, str]) -> HttpResponse:
        after, table = int(fields["after"]), fields["table"]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(fields["wait_ms"]) / 1000.0):
                while not self._changes(table, after):
                    if after < self._rows.dropped_version:
                        break
                    await self._rows.changed.wait()
        if after < self._rows.dropped_version:
            return HttpResponse(status=410)
        return _json_response(
            {
                "rows": self._changes(table, after),
                "ver": self._rows.version,
                "now_ms": self._rows.now_ms,
            }
        )

    def _changes(self, table: str, after: int) -> list[dict[str, object]]:
        return [
            self._row(table, key, value, version)
            for version, name, key, value in self._rows.history
            if name == table and version > after
        ]

    async def _write(self, exchange: Exchange, path: str, fault: str) -> None:
        body = json.loads(exchange.request.body)
        if fault == "late":
            await asyncio.sleep(self._rng.uniform(1.0, 4.0))
        for row in body["expected_rev"]:
            found = self._rows.rows.get((row["table"], row["key"]), ("", 0))
            if found[1] != row["ver"]:
                refusal = _json_response({"rows": []}, status=412)
                self._send(exchange, path, refusal)
                return
        self._rows.write(
            [
                (r["table"], r["key"], base64.b64decode(r["value"]))
                for r in body["puts"]
            ],
            [(r["table"], r["key"]) for r in body["remove"]],
        )
        if fault not in ("lost", "late"):
            answer = _json_response({"ver": self._rows.version})
            self._send(exchange, path, answer)

    def _row(
        self, table: str, key: str, value: bytes | None, version: int
    ) -> dict[str, object]:
        if value is None:
            return {"table": table, "key": key, "ver": version, "removed": True}
        value = self._translate(table, key, value)
        text = base64.b64encode(value).decode()
        return {"table": table, "key": key, "ver": version, "value": text}


@contextlib.asynccontextmanager
async def running_store_endpoint(
    address: str, rows: Rows, translate: Translator, rng: random.Random
) -> AsyncIterator[StoreEndpoint]:
    """Runs an endpoint of the store for one process at an address."""
    endpoint = StoreEndpoint(rows, translate, rng)
    limits = HttpLimits(idle_timeout=3600.0)
    async with running_light_server(address, endpoint, limits):
        yield endpoint
