"""Writes configurations of the operator and checks when they are in force."""

from __future__ import annotations

import asyncio
import json

from gypsumline.runtime.http_client import HttpClient
from gypsumline.runtime.http_messages import HttpError
from properties.lease_world import PROPAGATION_LIMIT_SECONDS

APPLY_LIMIT_SECONDS = 2.0
# The bounds of the programs are tighter than the checked ones, so that load on
# the machine does not cause violations.
# Failed runs of a task at which its job fails.
QUEUE_ATTEMPTS = 4
PROGRAM_CONTACT_MS = 2000
PROGRAM_APPLY_MS = 1500
HOST = "cards.example"
QUEUE_PREFIX = "/cards/"
IDLE_PREFIXES = tuple(f"/idle-{number}/" for number in range(4))
PROBE_INTERVAL_SECONDS = 0.1
PROBE_TIMEOUT_SECONDS = 1.0


def _make_route(prefix):
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "service": "ordering",
        "priority": 0,
        "max_attempts": QUEUE_ATTEMPTS,
        "stretch": 1.6,
        "target_latency_ms": 60,
    }


class OperatorConfigurationWriter:
    """Writes configurations and probes whether entries apply them."""

    def __init__(self, world):
        self._world = world
        self._acknowledged = []  # (time, version, prefixes without jobs)
        self.checked_probes = 0
        self._write(1, frozenset())

    async def write_changes(self, count):
        """Writes a series of configurations."""
        for _ in range(count):
            self.write_change()
            await asyncio.sleep(self._world.rng.uniform(0.05, 0.6))

    def write_change(self):
        """Adds or removes a route without jobs; versions may skip numbers."""
        _, version, idle_prefixes = self._acknowledged[-1]
        rng = self._world.rng
        increment = rng.choice((1, 2, 5))
        self._write(
            version + increment, idle_prefixes ^ {rng.choice(IDLE_PREFIXES)}
        )

    def _write(self, version, idle_prefixes):
        routes = [
            _make_route(prefix)
            for prefix in (QUEUE_PREFIX, *sorted(idle_prefixes))
        ]
        text = json.dumps({"version": version, "routes": routes}).encode()
        self._world.rows.write([("op", "config", text)])
        self._acknowledged.append((self._world.now, version, idle_prefixes))

    async def probe_entries(self):
        """Requests random routes from random entries until cancelled."""
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
            response = await client.request(
                "GET",
                prefix,
                timeout=PROBE_TIMEOUT_SECONDS,
                headers={"Host": HOST},
            )
        except HttpError:
            return
        finally:
            client.close()
        is_undisturbed = (
            sent_at - world.undisturbed_since(entry) > PROPAGATION_LIMIT_SECONDS
        )
        if is_undisturbed and response.status in (200, 404):
            self._check_response(entry, prefix, response.status == 200, sent_at)

    def _check_response(self, entry, prefix, is_served, sent_at):
        """Checks that a response fits a version that may be in force.

        These are the last version that was acknowledged more than
        `APPLY_LIMIT_SECONDS` before the request, and all later ones.
        """
        self.checked_probes += 1
        due = [
            number
            for number, (at, _, _) in enumerate(self._acknowledged)
            if at < sent_at - APPLY_LIMIT_SECONDS
        ]
        allowed = self._acknowledged[due[-1] if due else 0 :]
        if all(
            (prefix in idle_prefixes) != is_served
            for _, _, idle_prefixes in allowed
        ):
            versions = [version for _, version, _ in allowed]
            self._world.oracle.fail(
                f"{entry} responds to {prefix} with served={is_served} at"
                f" {sent_at:.3f}; versions that may be in force: {versions}"
            )
