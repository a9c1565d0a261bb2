"""A stand-in for the platform's store, with a door of its own per process."""

from __future__ import annotations

import asyncio
import base64
import collections
import contextlib
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

_Cells = dict[tuple[str, str], tuple[bytes, int]]
Put = tuple[str, str, bytes]
# Changes a value for one reader: table, key, value.
Translate = Callable[[str, str, bytes], bytes]


def _answer(body: object, status: int = 200) -> HttpResponse:
    return HttpResponse(status=status, body=json.dumps(body).encode())


class _State(NamedTuple):
    """All rows at one time."""

    time: float
    version: int
    rows: _Cells


class Rows:
    """All rows, their history, and who waits for a change."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.rows: _Cells = {}
        self.version = 0
        self.history: list[tuple[int, str, str, bytes | None]] = []
        self.oldest = 0  # versions up to this are no longer in the history
        self.changed = asyncio.Event()
        self._states: list[_State] = []
        self._keep()

    @property
    def now_ms(self) -> float:
        """Milliseconds on the store's steady clock."""
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
        self._keep()
        self.changed.set()
        self.changed = asyncio.Event()

    def drop_history(self) -> None:
        """Drops the history, as the platform may do at any time."""
        self.history.clear()
        self.oldest = self.version
        self.changed.set()
        self.changed = asyncio.Event()

    def state_at(self, time: float) -> _State:
        """Returns the rows as they were at a time, or the oldest kept."""
        found = [state for state in self._states if state.time <= time]
        return found[-1] if found else self._states[0]

    def _keep(self) -> None:
        state = _State(self._loop.time(), self.version, dict(self.rows))
        self._states.append(state)


class StoreEndpoint:
    """The store as one process sees it.

    Attributes:
      fault: "", "busy", "silent", "slow", "lost" or "late".
      latency: Seconds that each answer takes.
      read_lag: Seconds by which reads are behind; feeds are not.
      calls: Calls that came, by path.
    """

    def __init__(
        self, rows: Rows, translate: Translate, rng: random.Random
    ) -> None:
        self._rows = rows
        self._translate = translate
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()
        self.fault = ""
        self.latency = 0.0
        self.read_lag = 0.0
        self.calls: collections.Counter[str] = collections.Counter()

    def __call__(self, exchange: Exchange) -> None:
        """Serves a call, or not."""
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
            self._send(exchange, self._get(fields))
        elif path == "/v1/rows-feed":
            self._send(exchange, await self._feed(fields))
        elif path == "/v1/rows-tx":
            await self._write(exchange, fault)
        else:
            exchange.respond(HttpResponse(status=404))

    def _send(self, exchange: Exchange, answer: HttpResponse) -> None:
        """Sends an answer; a silent store keeps also those it owed before."""
        if self.fault != "silent":
            exchange.respond(answer)

    def _get(self, fields: dict[str, str]) -> HttpResponse:
        now = self._rows.now_ms / 1000.0
        state = self._rows.state_at(now - self.read_lag)
        names = [
            (table, key)
            for table, key in sorted(state.rows)
            if table == fields["table"] and key >= fields.get("from", "")
        ]
        page = names[: int(fields.get("limit", len(names)))]
        return _answer(
            {
                "rows": [self._row(*name, *state.rows[name]) for name in page],
                "has_more": len(page) < len(names),
                "ver": state.version,
                "now_ms": self._rows.now_ms,
            }
        )

    async def _feed(self, fields: dict[str, str]) -> HttpResponse:
        after, table = int(fields["after"]), fields["table"]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(fields["wait_ms"]) / 1000.0):
                while not self._changes(table, after):
                    if after < self._rows.oldest:
                        break
                    await self._rows.changed.wait()
        if after < self._rows.oldest:
            return HttpResponse(status=410)
        return _answer(
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

    async def _write(self, exchange: Exchange, fault: str) -> None:
        body = json.loads(exchange.request.body)
        if fault == "late":
            await asyncio.sleep(self._rng.uniform(1.0, 4.0))
        for row in body["expected_rev"]:
            found = self._rows.rows.get((row["table"], row["key"]), ("", 0))
            if found[1] != row["ver"]:
                exchange.respond(_answer({"rows": []}, status=412))
                return
        self._rows.write(
            [
                (r["table"], r["key"], base64.b64decode(r["value"]))
                for r in body["puts"]
            ],
            [(r["table"], r["key"]) for r in body["remove"]],
        )
        if fault not in ("lost", "late"):
            exchange.respond(_answer({"ver": self._rows.version}))

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
    address: str, rows: Rows, translate: Translate, rng: random.Random
) -> AsyncIterator[StoreEndpoint]:
    """Yields the store as one process sees it, at an address of its own."""
    door = StoreEndpoint(rows, translate, rng)
    limits = HttpLimits(idle_timeout=3600.0)
    async with running_light_server(address, door, limits):
        yield door
