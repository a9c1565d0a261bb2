"""Stand-in for the platform's metadata store, by PROTOCOL.md."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
import urllib.parse

from plain_http import Server

PAGE_ROWS = 500


class Store:
    """Rows of tables with an empty part, their versions and their history."""

    def __init__(self, host, port):
        self.address = f"{host}:{port}"
        self._server = Server(host, port, self._handle)
        self._rows = {}
        self._history = []
        self._version = 0
        self._changed = asyncio.Event()

    async def start(self):
        """Listens at the address."""
        await self._server.start()

    def write(self, puts, removals=()):
        """Applies one transaction."""
        self._version += 1
        for table, key, value in puts:
            self._rows[table, key] = value, self._version
            self._history.append((self._version, table, key, value))
        for name in removals:
            if self._rows.pop(name, None) is not None:
                self._history.append((self._version, *name, None))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/v1/rows-get":
            return self._get(fields)
        if path == "/v1/rows-feed":
            return await self._feed(fields)
        if path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    def _get(self, fields):
        limit = min(PAGE_ROWS, int(fields.get("limit", PAGE_ROWS)))
        keys = sorted(
            key
            for table, key in self._rows
            if table == fields["table"] and key >= fields.get("from", "")
        )
        rows = [
            self._row(fields["table"], key, *self._rows[fields["table"], key])
            for key in keys[:limit]
        ]
        return 200, self._answer(rows=rows, has_more=len(keys) > limit)

    async def _feed(self, fields):
        table, after = fields["table"], int(fields["after"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(fields["wait_ms"]) / 1000.0):
                while not self._changes(table, after):
                    await self._changed.wait()
        return 200, self._answer(rows=self._changes(table, after))

    def _transact(self, body):
        for row in body["expected_rev"]:
            name = row["table"], row["key"]
            if self._rows.get(name, (None, 0))[1] != row["ver"]:
                return 412, self._answer(rows=[])
        self.write(
            [
                (r["table"], r["key"], base64.b64decode(r["value"]))
                for r in body["puts"]
            ],
            [(r["table"], r["key"]) for r in body["remove"]],
        )
        return 200, self._answer()

    def _changes(self, table, after):
        return [
            self._row(table, key, value, version)
            for version, name, key, value in self._history
            if name == table and version > after
        ]

    def _row(self, table, key, value, version):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return row | {"removed": True}
        return row | {"value": base64.b64encode(value).decode()}

    def _answer(self, **fields):
        now_ms = int(1000.0 * time.monotonic())
        return {"ver": self._version, "now_ms": now_ms, **fields}
