"""The operator's changes, and when they must be in force."""

from __future__ import annotations

import asyncio
import json

from gypsumline.runtime.http_client import HttpClient
from gypsumline.runtime.http_messages import HttpError
from properties.lease_world import PROPAGATION_LIMIT_SECONDS

APPLY_SECONDS = 2.0
# The programs get tighter bounds than those that are checked, so that a busy
# machine does not decide the verdict.
PROGRAM_CONTACT_MS = 2000
PROGRAM_APPLY_MS = 1500
HOST = "cards.example"
QUEUE_PREFIX = "/cards/"
IDLE_PREFIXES = tuple(f"/idle-{number}/" for number in range(4))
PROBE_INTERVAL_SECONDS = 0.1
PROBE_TIMEOUT_SECONDS = 1.0


def _route(prefix):
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "service": "ordering",
        "priority": 0,
        "max_attempts": 4,
        "stretch": 1.6,
        "target_latency_ms": 60,
    }


class OperatorText:
    """The configurations that the store acknowledged, and probes of them."""

    def __init__(self, world):
        self._world = world
        self._accepted = []  # (time, version, idle prefixes)
        self.checked = 0
        self._write(1, frozenset())

    async def change_on(self, count):
        """Makes a series of changes."""
        for _ in range(count):
            self.change()
            await asyncio.sleep(self._world.rng.uniform(0.05, 0.6))

    def change(self):
        """Adds or drops an idle route; versions rise in uneven steps."""
        _, version, idle = self._accepted[-1]
        rng = self._world.rng
        step = rng.choice((1, 2, 5))
        self._write(version + step, idle ^ {rng.choice(IDLE_PREFIXES)})

    def _write(self, version, idle):
        routes = [_route(prefix) for prefix in (QUEUE_PREFIX, *sorted(idle))]
        text = json.dumps({"version": version, "routes": routes}).encode()
        self._world.rows.write([("op", "config", text)])
        self._accepted.append((self._world.now, version, idle))

    async def probe_on(self):
        """Asks single entries for single routes until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                entry = self._world.rng.choice(list(self._world.entries))
                prefix = self._world.rng.choice(IDLE_PREFIXES)
                group.create_task(self._probe(entry, prefix))
                await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    async def _probe(self, entry, prefix):
        world = self._world
        sent_at = world.now
        client = HttpClient(world.caller_address(entry), 1)
        try:
            answer = await client.request(
                "GET",
                prefix,
                timeout=PROBE_TIMEOUT_SECONDS,
                headers={"Host": HOST},
            )
        except HttpError:
            return
        finally:
            client.close()
        is_calm = sent_at - world.calm_since(entry) > PROPAGATION_LIMIT_SECONDS
        if is_calm and answer.status in (200, 404):
            self._check(entry, prefix, answer.status == 200, sent_at)

    def _check(self, entry, prefix, is_served, sent_at):
        """An answer is that of a version that may still be in force."""
        self.checked += 1
        due = [
            number
            for number, (at, _, _) in enumerate(self._accepted)
            if at < sent_at - APPLY_SECONDS
        ]
        allowed = self._accepted[due[-1] if due else 0 :]
        if all((prefix in idle) != is_served for _, _, idle in allowed):
            versions = [version for _, version, _ in allowed]
            self._world.oracle.fail(
                f"{entry} answers {prefix} served={is_served} at"
                f" {sent_at:.3f}; versions that may be in force: {versions}"
            )
