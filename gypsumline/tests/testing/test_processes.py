"""Tests of the processes that a local system starts."""

from __future__ import annotations

import pathlib
import re
import signal

import aiohttp
import pytest

from gypsumline.testing.local_system import LocalSystem, LocalSystemSettings
from gypsumline.testing.processes import (
    LocalProcess,
    LocalProcessError,
    choose_ports,
    run_command,
)


def _make_platform(log_directory: pathlib.Path) -> LocalProcess:
    port = choose_ports(1)[0]
    arguments = ["gypsumline.testing.platform", "--port", str(port)]
    url = f"http://127.0.0.1:{port}"
    return LocalProcess("platform", arguments, log_directory, url)


async def test_kill_pause_and_restart_at_the_same_address(tmp_path):
    """Guards against signals that miss the process and a changed port."""
    process = _make_platform(tmp_path)
    await process.start()
    await process.wait_ready("/healthz", 10.0)
    process.pause()
    timeout = aiohttp.ClientTimeout(total=0.2)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        with pytest.raises(TimeoutError):
            await session.get(f"{process.url}/healthz")
    process.resume()
    await process.wait_ready("/healthz", 1.0)
    await process.kill()
    assert not process.is_running
    await process.start()
    await process.wait_ready("/healthz", 10.0)
    assert process.restarts == 1
    assert await process.stop(10.0) == 0


async def test_stop_kills_the_process_after_the_limit(tmp_path):
    """Guards against a stop that waits longer than its limit."""
    process = _make_platform(tmp_path)
    await process.start()
    await process.wait_ready("/healthz", 10.0)
    process.pause()
    process.resume = lambda: None  # Keeps the process suspended.
    assert await process.stop(0.2) == -signal.SIGKILL


async def test_early_exit_shows_the_log(tmp_path):
    """Guards against a failed start without its reason in the error."""
    process = LocalProcess(
        "bad",
        ["gypsumline.testing.platform", "--no-such"],
        tmp_path,
        "http://x",
    )
    await process.start()
    with pytest.raises(LocalProcessError, match="no-such"):
        await process.wait_ready("/healthz", 10.0)


async def test_failed_command_raises_with_its_output():
    """Guards against treating a failed command as a success."""
    with pytest.raises(LocalProcessError, match="exit code"):
        await run_command(["gypsumline.testing.platform", "--port", "x"], 10.0)
    with pytest.raises(LocalProcessError, match="did not end"):
        await run_command(["gypsumline.testing.platform"], 0.05)


def _flag(process: LocalProcess, name: str) -> str:
    arguments = process._arguments
    return arguments[arguments.index(name) + 1]


def test_peers_in_another_zone_are_connected_through_relays(tmp_path):
    """Guards against connections that bypass the faults of the relays."""
    settings = LocalSystemSettings(log_directory=tmp_path, zone_latency=0.001)
    system = LocalSystem(settings)
    stream_ports = {_flag(entry, "--port") for entry in system.entries}
    agent = system.agents[0]
    peers = _flag(agent, "--peers").split(",")
    direct = [p for p in peers if re.split(":", p)[1] in stream_ports]
    assert len(peers) == 3
    assert len(direct) == 1
    assert system.zones[agent.name] == system.zones["entry-1"]
