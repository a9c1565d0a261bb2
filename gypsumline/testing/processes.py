"""Child processes of a local system: start, readiness, signals and stop."""

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
from gypsumline.testing.log_errors import find_errors, log_size

# Path of a built binary to run instead of `python -m gypsumline`.
BINARY_VARIABLE = "LOCAL_SYSTEM_BINARY"
_REPOSITORY_ROOT = pathlib.Path(gypsumline.__file__).parent.parent
_READINESS_POLL_SECONDS = 0.05
_REQUEST_TIMEOUT_SECONDS = 1.0
_LOG_TAIL_LINES = 15
# Below the range of ephemeral ports, so that no outgoing connection takes the
# port of a stopped process before its restart.
_PORT_MIN = 18_000
_PORT_END = 31_000
_PR_SET_PDEATHSIG = 1


class LocalProcessError(GypsumlineError):
    """A process did not start, exited early or failed."""


def choose_ports(count: int) -> list[int]:
    """Returns free loopback ports in random order.

    The choice is random so that concurrent runs rarely choose the same ports.

    Raises:
      LocalProcessError: Not enough ports are free.
    """
    ports: list[int] = []
    candidates = list(range(_PORT_MIN, _PORT_END))
    random.SystemRandom().shuffle(candidates)
    for port in candidates:
        if len(ports) == count:
            return ports
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            ports.append(port)
    raise LocalProcessError(
        f"{count} ports are needed, but only {len(ports)} are free"
    )


class LocalProcess:
    """One process of a local system, which may be restarted.

    Attributes:
      name: Name in logs and messages.
      url: Base URL of its HTTP server; "" if it has none.
      restarts: Number of restarts; -1 before the first start.
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
        self._log_offset = log_size(self._log_path)
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Process id of the most recent start.

        Raises:
          LocalProcessError: The process was never started.
        """
        if self._process is None:
            raise LocalProcessError(f"{self.name} has not been started")
        return self._process.pid

    def logged_errors(self) -> list[str]:
        """Returns the errors that it has logged in this run."""
        return find_errors(self._log_path, self._log_offset)

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Starts the process, or restarts it with the same command.

        Raises:
          LocalProcessError: The process is already running.
        """
        if self.is_running:
            raise LocalProcessError(f"{self.name} is already running")
        self.restarts += 1
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command_line(self._arguments),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=asyncio.subprocess.STDOUT,
                cwd=_REPOSITORY_ROOT,
                preexec_fn=kill_with_parent,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is running."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def kill(self) -> None:
        """Sends SIGKILL and waits until the process has exited."""
        self.signal(signal.SIGKILL)
        await self._wait()

    def pause(self) -> None:
        """Suspends the process until `resume`."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process."""
        self.signal(signal.SIGCONT)

    async def stop(self, limit: float) -> int:
        """Stops the process gracefully and returns its exit code.

        Args:
          limit: Seconds after SIGTERM until the process is killed.
        """
        self.resume()
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(limit):
                return await self._wait()
        except TimeoutError:
            await self.kill()
            return await self._wait()

    async def wait_ready(self, path: str, limit: float) -> None:
        """Waits until a path responds with status 200.

        Args:
          path: Path on the HTTP server of the process.
          limit: Longest time to wait in seconds.

        Raises:
          LocalProcessError: The process exited, or it was not ready in time.
        """
        deadline = time.monotonic() + limit
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not await _is_ready(session, self.url + path):
                if not self.is_running:
                    raise LocalProcessError(
                        self._describe_problem("exited early")
                    )
                if time.monotonic() > deadline:
                    problem = f"did not answer {path} within {limit} s"
                    raise LocalProcessError(self._describe_problem(problem))
                await asyncio.sleep(_READINESS_POLL_SECONDS)

    async def _wait(self) -> int:
        if self._process is None:
            return 0
        return await self._process.wait()

    def _describe_problem(self, problem: str) -> str:
        lines = self._log_path.read_text(errors="replace").splitlines()
        tail = "\n  ".join(lines[-_LOG_TAIL_LINES:])
        return f"{self.name} {problem}; end of {self._log_path}:\n  {tail}"


def command_line(arguments: Sequence[str]) -> list[str]:
    """Returns the command line that runs a module.

    For `gypsumline` itself it runs the binary named by `BINARY_VARIABLE`, if
    that is set.

    Args:
      arguments: Module and its arguments.
    """
    binary = os.environ.get(BINARY_VARIABLE)
    if binary and arguments[0] == "gypsumline":
        return [binary, *arguments[1:]]
    return [sys.executable, "-m", *arguments]


async def run_command(arguments: Sequence[str], limit: float) -> str:
    """Runs a module and returns its output.

    Args:
      arguments: Module and its arguments.
      limit: Longest run time in seconds.

    Raises:
      LocalProcessError: The command failed or exceeded the limit.
    """
    process = await asyncio.create_subprocess_exec(
        *command_line(arguments),
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        cwd=_REPOSITORY_ROOT,
        preexec_fn=kill_with_parent,
    )
    command = " ".join(arguments)
    try:
        async with asyncio.timeout(limit):
            output, _ = await process.communicate()
    except TimeoutError as error:
        process.kill()
        await process.wait()
        problem = f"{command}: did not end within {limit} s"
        raise LocalProcessError(problem) from error
    text = output.decode(errors="replace")
    if process.returncode != 0:
        raise LocalProcessError(
            f"{command}: exit code {process.returncode}\n{text}"
        )
    return text


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


def kill_with_parent() -> None:
    """Lets the calling process be killed at the end of its parent.

    Otherwise it would outlive a benchmark that is killed, and keep its
    addresses.
    """
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
