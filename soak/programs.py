"""Processes of the programs under test."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import sys

from gypsumline.testing.log_errors import find_errors, log_size
from gypsumline.testing.processes import kill_with_parent

# Working directory of the programs, whatever that of the soak is.
ROOT = pathlib.Path(__file__).resolve().parents[1]
STOP_LIMIT_SECONDS = 10.0


class Program:
    """A process that is restarted after each fault until the soak ends.

    Attributes:
      role: Role of the process.
      name: Name of the process.
      faulted_at: Time of the last fault or start of the process.
      exits: Results of its planned stops, as returned by `stop`.
    """

    def __init__(self, role, name, settings, directory):
        self.role = role
        self.name = name
        self._settings = pathlib.Path(directory) / f"{name}.conf"
        self._settings.write_text(settings)
        self._log = pathlib.Path(directory) / f"{name}.log"
        self._first_log_offset = log_size(self._log)
        self._process = None
        self._log_offset = 0
        self._lock = asyncio.Lock()
        self.faulted_at = 0.0
        self.exits = []

    async def start(self):
        """Starts the process and appends its output to the log."""
        self.faulted_at = asyncio.get_running_loop().time()
        environment = os.environ | {"GYPSUMLINE_NODE_FILE": str(self._settings)}
        with self._log.open("ab") as output:
            self._log_offset = output.tell()
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "gypsumline.platform",
                self.role,
                stdout=output,
                stderr=output,
                env=environment,
                cwd=ROOT,
                preexec_fn=kill_with_parent,
            )

    @property
    def logged_errors(self):
        """Errors that the process has logged in this soak."""
        return find_errors(self._log, self._first_log_offset)

    @property
    def is_running(self):
        process = self._process
        return process is not None and process.returncode is None

    def _send_signal(self, number):
        if self.is_running:
            self._process.send_signal(number)

    async def kill(self, downtime):
        """Kills the process and starts it again after a downtime."""
        self._send_signal(signal.SIGKILL)
        async with self._lock:
            self._send_signal(signal.SIGKILL)
            await self._process.wait()
            await asyncio.sleep(downtime)
            await self.start()

    async def restart(self):
        """Performs a planned stop of the process and starts it again."""
        async with self._lock:
            self.exits.append(await self.stop())
            await self.start()

    async def pause(self, seconds):
        """Suspends the process for some seconds."""
        async with self._lock:
            self._send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            self._send_signal(signal.SIGCONT)

    async def stop(self):
        """Performs a planned stop.

        Returns:
          The exit status, or a text if the process did not stop in time.
        """
        has_started = self._has_started()
        self._send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_LIMIT_SECONDS):
                status = await self._process.wait()
        except TimeoutError:
            self._send_signal(signal.SIGKILL)
            await self._process.wait()
            return "not within the limit"
        # Before it has installed its signal handlers, the process has no work
        # to finish, and the default action of SIGTERM ends it.
        is_before_start = status == -signal.SIGTERM and not has_started
        return 0 if is_before_start else status

    def _has_started(self):
        """Returns whether the process has logged its start."""
        with self._log.open("rb") as log:
            log.seek(self._log_offset)
            return b'"message":"started"' in log.read()


@contextlib.asynccontextmanager
async def running_programs(programs):
    """Starts programs and finally kills those that still run."""
    try:
        for program in programs:
            await program.start()
        yield
    finally:
        for program in programs:
            if program.is_running:
                program._send_signal(signal.SIGKILL)
                await program._process.wait()
