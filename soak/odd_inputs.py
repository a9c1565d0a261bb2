"""Sends odd inputs to running daemons: `python -m soak.odd_inputs --seed 1`.

After each group of inputs the daemons must still run, follow both tables and
complete a job, and no error may have reached the log with a traceback.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import json
import random
import sys

import uvloop

from gypsumline.runtime.http_client import HttpClient
from gypsumline.runtime.http_messages import HttpError
from soak.configuration import HOST, IDLE_PREFIXES
from soak.odd_sources import SOURCES
from soak.programs import ROOT, running_programs
from soak.world import CALLER_TIMEOUT_SECONDS, ENTRIES_TABLE, SoakWorld

START_LIMIT_SECONDS = 15.0
FOLLOW_LIMIT_SECONDS = 5.0
CHECK_SECONDS = 0.01
RUN_SECONDS = 0.02
LOG_SECONDS = 0.6
_MARKERS = (b"Traceback", b"exc_info")


@dataclasses.dataclass
class OddInputsResult:
    """Number of inputs by source, and what went wrong."""

    seed: int
    inputs: dict
    violations: list


class OddInputWorld(SoakWorld):
    """One entry and one agent that get odd inputs besides their work."""

    def __init__(self, seed):
        directory = ROOT / "build" / "odd_inputs" / str(seed)
        super().__init__(seed, 1, 1, directory)
        self._logs = [directory / f"{p.name}.log" for p in self.programs]
        self._log_offsets = {
            log: log.stat().st_size for log in self._logs if log.exists()
        }
        self._decoys = 0

    def _make_translator(self, reader):
        translate = super()._make_translator(reader)

        def translate_known(table, key, value):
            # Odd rows reach the agent as they are.
            try:
                return translate(table, key, value)
            except (ValueError, TypeError, RecursionError):
                return value

        return translate_known

    def quicken(self):
        """Lets all tasks succeed within `RUN_SECONDS`."""
        for executor in self.executors.values():
            executor._start = self._make_quick_start(executor, executor._start)

    def _make_quick_start(self, executor, start):
        def start_quick(order, is_delayed):
            result = start(order, is_delayed)
            run = executor.runs.get(order.task)
            if run is not None:
                run.outcome = "done"
                run.ends_at = min(run.ends_at, self.now + RUN_SECONDS)
            return result

        return start_quick

    async def check(self):
        """Returns what does not work."""
        stopped = [p.name for p in self.programs if not p.is_running]
        if stopped:
            return [f"{stopped} ended"]
        results = await asyncio.gather(
            self._check_job(),
            self._check_configuration(),
            self._check_entries(),
        )
        return [r for r in (*results, *self._new_tracebacks()) if r]

    async def _check_job(self):
        answer = await self.submit()
        return "" if answer == "completed" else f"a job was {answer}"

    async def _check_configuration(self):
        """Adds or removes a route and waits until it is in force."""
        writer = self.configuration_writer
        _, version, idle_prefixes = writer._acknowledged[-1]
        prefix = self.rng.choice(IDLE_PREFIXES)
        # Odd configurations may have had the versions in between.
        writer._write(version + 10, idle_prefixes ^ {prefix})
        expected = 404 if prefix in idle_prefixes else 200
        end = self.now + FOLLOW_LIMIT_SECONDS
        while self.now < end:
            if await self._get_status(prefix) == expected:
                return ""
            await asyncio.sleep(CHECK_SECONDS)
        return "the entry does not follow the operator's table"

    async def _get_status(self, prefix):
        client = HttpClient(self.caller_address("entry-0"), 1)
        try:
            response = await client.request(
                "GET", prefix, timeout=1.0, headers={"Host": HOST}
            )
        except HttpError:
            return 0
        finally:
            client.close()
        return response.status

    async def _check_entries(self):
        """Adds the row of an entry and waits until the agent dials it."""
        dialled = asyncio.Event()

        async def accept(reader, writer):
            dialled.set()
            writer.close()

        self._decoys += 1
        host = self.host_address("entry-50")
        server = await asyncio.start_server(accept, host, 0)
        port = server.sockets[0].getsockname()[1]
        # The entry removes rows that have expired.
        row = {
            "address": f"{host}:{port}",
            "incarnation": 1,
            "renewed_at": self.rows.now_ms / 1000.0,
        }
        key = f"decoy-{self._decoys}"
        self.rows.write([(ENTRIES_TABLE, key, json.dumps(row).encode())])
        try:
            async with asyncio.timeout(FOLLOW_LIMIT_SECONDS):
                await dialled.wait()
        except TimeoutError:
            return "the agent does not follow the entries"
        finally:
            self.rows.write([], [(ENTRIES_TABLE, key)])
            server.close()
        return ""

    def _new_tracebacks(self):
        """Returns the lines with tracebacks since the last call."""
        found = []
        for log in self._logs:
            with log.open("rb") as lines:
                lines.seek(self._log_offsets.get(log, 0))
                text = lines.read()
            self._log_offsets[log] = self._log_offsets.get(log, 0) + len(text)
            found += [
                f"{log.name}: {line.decode(errors='replace')[-1500:]}"
                for line in text.splitlines()
                if any(marker in line for marker in _MARKERS)
            ]
        return found

    async def wait_until_ready(self):
        """Waits until a job is completed."""
        async with asyncio.timeout(START_LIMIT_SECONDS):
            answer = ""
            while answer != "completed":
                answer = await self.submit(CALLER_TIMEOUT_SECONDS)


async def run_odd_inputs(seed, groups, names=(), first=0):
    """Sends odd inputs and stops after the first group that does harm.

    Args:
      seed: Seed of the inputs.
      groups: Number of groups of inputs, each from one source.
      names: Names of the sources; empty for all.
      first: Number of the first group, to send one again.
    """
    world = OddInputWorld(seed)
    sources = {n: s for n, s in SOURCES.items() if not names or n in names}
    counts = dict.fromkeys(sources, 0)
    violations = []
    async with world.running(), running_programs(world.programs):
        world.quicken()
        await world.wait_until_ready()
        for number in range(first, first + groups):
            rng = random.Random(f"{seed}/{number}")
            name = rng.choice(list(sources))
            async with sources[name](world, rng) as sent:
                counts[name] += len(sent)
                await asyncio.sleep(CHECK_SECONDS)
                problems = await world.check()
            # The daemons have to recover from what was odd only for a while.
            problems += await world.check()
            if problems:
                shown = [str(item)[:300] for item in sent]
                violations += [f"group {number}, {name}: {shown}", *problems]
                # The daemons write their log lines at this interval.
                await asyncio.sleep(LOG_SECONDS)
                break
    return OddInputsResult(seed=seed, inputs=counts, violations=violations)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--groups", type=int, default=200)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--sources", nargs="*", choices=sorted(SOURCES))
    options = parser.parse_args()
    result = uvloop.run(
        run_odd_inputs(
            options.seed, options.groups, options.sources or (), options.first
        )
    )
    sys.stdout.write(f"{result.seed}: {result.inputs}\n")
    for violation in result.violations:
        sys.stdout.write(f"{violation}\n")
    sys.exit(1 if result.violations else 0)


if __name__ == "__main__":
    main()
