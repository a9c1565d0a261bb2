"""The real programs as processes that the soak starts, signals and ends."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import sys

# The programs are run from the repository, whatever the present directory.
ROOT = pathlib.Path(__file__).resolve().parents[1]
STOP_LIMIT_SECONDS = 10.0


class Program:
    """One process, started again after each end until the soak is over.

    Attributes:
      faulted_at: Time of the newest signal that it was sent.
    """

    def __init__(self, role, name, settings, directory):
        self.role = role
        self.name = name
        self._settings = pathlib.Path(directory) / f"{name}.conf"
        self._settings.write_text(settings)
        self._log = pathlib.Path(directory) / f"{name}.log"
        self._process = None
        self._begins_at = 0
        self._lock = asyncio.Lock()
        self.faulted_at = 0.0
        self.exits = []

    async def start(self):
        """Starts the process; its output is added to the log."""
        self.faulted_at = asyncio.get_running_loop().time()
        environment = os.environ | {"GYPSUMLINE_NODE_FILE": str(self._settings)}
        with self._log.open("ab") as output:
            self._begins_at = output.tell()
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "gypsumline.platform",
                self.role,
                stdout=output,
                stderr=output,
                env=environment,
                cwd=ROOT,
            )

    @property
    def is_running(self):
        process = self._process
        return process is not None and process.returncode is None

    def _signal(self, number):
        if self.is_running:
            self._process.send_signal(number)

    async def kill(self, away):
        """Kills the process and starts it again later."""
        self._signal(signal.SIGKILL)
        async with self._lock:
            self._signal(signal.SIGKILL)
            await self._process.wait()
            await asyncio.sleep(away)
            await self.start()

    async def restart(self):
        """Stops the process as planned and starts it again."""
        async with self._lock:
            self.exits.append(await self.stop())
            await self.start()

    async def pause(self, seconds):
        """Pauses the process."""
        async with self._lock:
            self._signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            self._signal(signal.SIGCONT)

    async def stop(self):
        """Stops the process as planned; returns its exit status."""
        has_begun = self._has_begun()
        self._signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_LIMIT_SECONDS):
                status = await self._process.wait()
        except TimeoutError:
            self._signal(signal.SIGKILL)
            await self._process.wait()
            return "not within the limit"
        # Until it has installed its handlers it has nothing to stop.
        is_early = status == -signal.SIGTERM and not has_begun
        return 0 if is_early else status

    def _has_begun(self):
        """Returns whether the process has logged its start."""
        with self._log.open("rb") as log:
            log.seek(self._begins_at)
            return b'"message":"started"' in log.read()


@contextlib.asynccontextmanager
async def running_programs(programs):
    """Starts programs; ends those that still run at the end."""
    try:
        for program in programs:
            await program.start()
        yield
    finally:
        for program in programs:
            if program.is_running:
                program._signal(signal.SIGKILL)
                await program._process.wait()
