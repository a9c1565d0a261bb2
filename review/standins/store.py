"""Stand-in for the platform's store: rows, feeds and transactions."""

import asyncio
import base64
import contextlib
import json
import time
import urllib.parse

from standins.wire import SILENT, Server


class Store:
    """Keeps rows of one part in memory and answers as PROTOCOL.md says."""

    def __init__(self):
        self.version = 0
        self._rows = {}
        self._history = []
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        """Writes a row as the operator does; returns its version."""
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        return self._apply([(table, key, raw)])

    def remove(self, table, key):
        """Removes a row as the operator does; returns the version."""
        return self._apply([(table, key, None)])

    def _apply(self, changes):
        self.version += 1
        for table, key, value in changes:
            if value is None:
                self._rows.pop((table, key), None)
            else:
                self._rows[table, key] = (value, self.version)
            self._history.append((self.version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    async def handle(self, method, target, headers, body):
        """Answers a call."""
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        if path == "/v1/rows-get":
            return 200, self._get(fields)
        if path == "/v1/rows-feed":
            return 200, await self._feed(fields)
        if path == "/v1/rows-tx":
            await asyncio.sleep(0.005)
            return self._transact(json.loads(body))
        return 404, None

    def _answer(self, **fields):
        now = int(1000 * time.monotonic())
        return {"ver": self.version, "now_ms": now} | fields

    def _get(self, fields):
        rows = [
            {"table": t, "part": "", "key": k, "value": v, "ver": ver}
            for (t, k), (v, ver) in sorted(self._rows.items())
            if t == fields["table"] and k >= fields.get("from", "")
        ]
        limit = int(fields.get("limit", 500))
        return self._answer(rows=rows[:limit], has_more=len(rows) > limit)

    async def _feed(self, fields):
        after, table = int(fields["after"]), fields["table"]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(fields["wait_ms"]) / 1000.0):
                while not self._changes(table, after):
                    await self._changed.wait()
        return self._answer(rows=self._changes(table, after))

    def _changes(self, table, after):
        newest = {}
        for version, name, key, value in self._history:
            if name == table and version > after:
                newest[key] = (version, value)
        return [
            {"table": table, "part": "", "key": key, "ver": version}
            | ({"removed": True} if value is None else {"value": value})
            for key, (version, value) in newest.items()
        ]

    def _transact(self, body):
        for row in body["expected_rev"]:
            found = self._rows.get((row["table"], row["key"]), ("", 0))
            if found[1] != row["ver"]:
                return 412, self._answer(rows=[])
        puts = [(r["table"], r["key"], r["value"]) for r in body["puts"]]
        removals = [(r["table"], r["key"], None) for r in body["remove"]]
        self._apply(puts + removals)
        return 200, self._answer()


class Endpoint:
    """The store as one machine reaches it.

    Attributes:
      is_cut: Whether the path is cut: calls get no answer, nor does one that
        the store was still holding.
    """

    def __init__(self, store):
        self.is_cut = False
        self._store = store
        self.server = Server(self._handle)

    async def _handle(self, method, target, headers, body):
        if self.is_cut:
            return SILENT
        reply = await self._store.handle(method, target, headers, body)
        return SILENT if self.is_cut else reply
