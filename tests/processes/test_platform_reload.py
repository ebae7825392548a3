"""SIGHUP at a real gateway of the platform while it starts: a reload is applied, never fatal."""

from __future__ import annotations

import io
import json
import os
import signal
import socket
import sys
import tomllib
from contextlib import ExitStack, suppress
from pathlib import Path

from harness.platform_harness import call
from harness.platform_processes import (
    READINESS_CHECK,
    DiscoveryAgent,
    PlatformProcess,
    ServingEndpoints,
    until,
)

from orchidlane.runtime.backend import format_address

ROOT = Path(__file__).parent.parent.parent


def start_other_agent(gateway: PlatformProcess, streams: ExitStack) -> DiscoveryAgent:
    """Start an agent that lists only the last of the gateway's endpoints."""
    agent = DiscoveryAgent(gateway.instance(len(gateway.hosts) - 1))
    agent.generation = 2
    streams.callback(agent.close)
    return agent


def assert_follows(gateway: PlatformProcess, agent: DiscoveryAgent) -> None:
    """Assert that the gateway uses the list of that agent, and shuts down gracefully."""
    served = ServingEndpoints(gateway.hosts).served
    until(lambda: agent.lists_sent and gateway.request(READINESS_CHECK).startswith(b"HTTP/1.1 200"))
    for customer in range(8):
        assert gateway.request(call(client=f"{customer:016x}")).startswith(b"HTTP/1.1 200")
    assert served == [len(gateway.hosts) - 1] * 8
    gateway.signal(signal.SIGTERM)
    assert "reloaded" in gateway.wait_for_exit()


def open_once_read(fifo: Path) -> io.FileIO:
    """Return a named pipe's writing end once a process has opened it for reading."""
    descriptors: list[int] = []

    def has_reader() -> bool:
        with suppress(OSError):  # ENXIO: no reader yet
            descriptors.append(os.open(fifo, os.O_WRONLY | os.O_NONBLOCK))
        return bool(descriptors)

    until(has_reader)
    return io.FileIO(descriptors[0], "w")


def test_a_reload_between_reading_the_configuration_and_handling_signals_is_applied(tmp_path):
    """The file is a pipe that the test holds open: it is being read when the signal arrives."""
    with ExitStack() as streams:
        gateway = PlatformProcess(tmp_path, hosts=2, wait_until_ready=False)
        agent = start_other_agent(gateway, streams)
        gateway.path.unlink()
        os.mkfifo(gateway.path)
        streams.enter_context(gateway)
        with open_once_read(gateway.path) as pipe:
            pipe.write(json.dumps(gateway.configuration).encode())
            gateway.path.unlink()
            gateway.move_discovery(agent)
            gateway.signal(signal.SIGHUP)
        assert_follows(gateway, agent)


def test_a_reload_while_an_address_is_still_held_is_applied(tmp_path):
    """The datagrams' address is still in use by another process; no agent is polled yet."""
    with ExitStack() as streams:
        holder = streams.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
        holder.bind(("127.0.0.1", 0))
        address = format_address(holder.getsockname())
        gateway = PlatformProcess(
            tmp_path, hosts=2, wait_until_ready=False, peer_listen=address, peers=[address]
        )
        agent = start_other_agent(gateway, streams)
        streams.enter_context(gateway)
        until(lambda: handles_reloads(gateway))
        gateway.move_discovery(agent)
        gateway.signal(signal.SIGHUP)
        assert gateway.process.stdout is not None
        assert "reloaded" in gateway.process.stdout.readline()
        holder.close()
        until(lambda: agent.lists_sent and gateway.request(READINESS_CHECK).startswith(b"HTTP/1.1 200"))
        assert not gateway.agent.polls
        gateway.signal(signal.SIGTERM)
        gateway.wait_for_exit()


def handles_reloads(gateway: PlatformProcess) -> bool:
    """Return whether the process has a handler of its own for SIGHUP (proc(5), SigCgt)."""
    rows = Path(f"/proc/{gateway.process.pid}/status").read_text().splitlines()
    caught = next(int(row.split()[1], 16) for row in rows if row.startswith("SigCgt"))
    return bool(caught >> (signal.SIGHUP - 1) & 1)


def test_sighup_while_the_interpreter_starts_does_not_end_the_process(tmp_path):
    """By the command of the deploy file, held before any code of the gateway has run."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert ".venv/bin/python" in run
    resume = tmp_path / "resume"
    os.mkfifo(resume)
    (tmp_path / "sitecustomize.py").write_text(f"open({str(resume)!r}).read()\n")
    prepared = PlatformProcess(tmp_path, hosts=2, wait_until_ready=False)
    prepared.command = ["/bin/sh", "-c", run.replace(".venv/bin/python", sys.executable)]
    prepared.environment = {"PYTHONPATH": f"{tmp_path}:{ROOT}"}
    with prepared as gateway:
        with open_once_read(resume):
            gateway.signal(signal.SIGHUP)
        until(lambda: gateway.request(READINESS_CHECK).startswith(b"HTTP/1.1 200"))
        gateway.signal(signal.SIGTERM)
        gateway.wait_for_exit()
