"""Processes that a local system starts, watches and signals by their pid."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import pathlib
import random
import signal
import socket
import sys
import time
from collections.abc import Sequence

import aiohttp

import gypsumline
from gypsumline.core.errors import GypsumlineError

# Path of the built binary that takes the place of `python -m gypsumline`.
BINARY_VARIABLE = "LOCAL_SYSTEM_BINARY"
_ROOT = pathlib.Path(gypsumline.__file__).parent.parent
_READY_POLL_SECONDS = 0.05
_REQUEST_TIMEOUT_SECONDS = 1.0
_LOG_TAIL_LINES = 15
# Below the range from which the kernel takes ports of outgoing connections,
# so that the port of a process that is down stays free for its restart.
_FIRST_PORT = 18_000
_LAST_PORT = 31_000
_SET_PARENT_DEATH_SIGNAL = 1


class LocalProcessError(GypsumlineError):
    """A process did not start, ended early or failed."""


def choose_ports(count: int) -> list[int]:
    """Returns free loopback ports; different runs choose different ones.

    Raises:
      LocalProcessError: Not enough ports are free.
    """
    ports: list[int] = []
    candidates = list(range(_FIRST_PORT, _LAST_PORT))
    random.SystemRandom().shuffle(candidates)
    for port in candidates:
        if len(ports) == count:
            return ports
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            ports.append(port)
    raise LocalProcessError(f"{count} ports wanted; {len(ports)} are free")


class LocalProcess:
    """One process of a local system.

    Attributes:
      name: Name in logs and messages.
      url: Base URL of its HTTP server; "" if it has none.
      restarts: How often it was started again.
    """

    def __init__(
        self,
        name: str,
        arguments: Sequence[str],
        log_directory: pathlib.Path,
        url: str = "",
    ) -> None:
        self.name = name
        self.url = url
        self.restarts = -1
        self._arguments = list(arguments)
        self._log_path = log_directory / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Process id of the present run.

        Raises:
          LocalProcessError: It was never started.
        """
        if self._process is None:
            raise LocalProcessError(f"{self.name} was not started")
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether it was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Starts it; a second start runs the same command again.

        Raises:
          LocalProcessError: It runs already.
        """
        if self.is_running:
            raise LocalProcessError(f"{self.name} runs already")
        self.restarts += 1
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command_line(self._arguments),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=asyncio.subprocess.STDOUT,
                cwd=_ROOT,
                preexec_fn=_end_with_parent,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if it runs."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def kill(self) -> None:
        """Ends it with SIGKILL and waits until it is gone."""
        self.signal(signal.SIGKILL)
        await self._wait()

    def pause(self) -> None:
        """Stops it from running until `resume`."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets it run again."""
        self.signal(signal.SIGCONT)

    async def stop(self, limit: float) -> int:
        """Asks it to end, kills it after the limit; returns its exit code."""
        self.resume()
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(limit):
                return await self._wait()
        except TimeoutError:
            await self.kill()
            return await self._wait()

    async def wait_ready(self, path: str, limit: float) -> None:
        """Waits until the path answers 200.

        Raises:
          LocalProcessError: It ended, or it is not ready within the limit.
        """
        ends_at = time.monotonic() + limit
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not await _answers(session, self.url + path):
                if not self.is_running:
                    raise LocalProcessError(self._describe("ended early"))
                if time.monotonic() > ends_at:
                    late = f"did not answer {path} within {limit} s"
                    raise LocalProcessError(self._describe(late))
                await asyncio.sleep(_READY_POLL_SECONDS)

    async def _wait(self) -> int:
        if self._process is None:
            return 0
        return await self._process.wait()

    def _describe(self, problem: str) -> str:
        lines = self._log_path.read_text(errors="replace").splitlines()
        tail = "\n  ".join(lines[-_LOG_TAIL_LINES:])
        return f"{self.name} {problem}; end of {self._log_path}:\n  {tail}"


def command_line(arguments: Sequence[str]) -> list[str]:
    """Returns the command that runs a module, or the binary for the product.

    Args:
      arguments: Module and its arguments.
    """
    binary = os.environ.get(BINARY_VARIABLE)
    if binary and arguments[0] == "gypsumline":
        return [binary, *arguments[1:]]
    return [sys.executable, "-m", *arguments]


async def run_command(arguments: Sequence[str], limit: float) -> str:
    """Runs `python -m ARGUMENTS` and returns what it printed.

    Raises:
      LocalProcessError: It failed, or did not end within the limit.
    """
    process = await asyncio.create_subprocess_exec(
        *command_line(arguments),
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        cwd=_ROOT,
        preexec_fn=_end_with_parent,
    )
    command = " ".join(arguments)
    try:
        async with asyncio.timeout(limit):
            output, _ = await process.communicate()
    except TimeoutError as error:
        process.kill()
        await process.wait()
        late = f"{command}: did not end within {limit} s"
        raise LocalProcessError(late) from error
    text = output.decode(errors="replace")
    if process.returncode != 0:
        raise LocalProcessError(
            f"{command}: exit code {process.returncode}\n{text}"
        )
    return text


async def _answers(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


def _end_with_parent() -> None:
    # Without this a killed benchmark would leave its processes running.
    ctypes.CDLL(None).prctl(_SET_PARENT_DEATH_SIGNAL, signal.SIGKILL)
