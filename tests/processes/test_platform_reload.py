"""SIGHUP during the startup of a real platform gateway: the reload is applied and never fatal."""

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


def start_new_agent(gateway: PlatformProcess, streams: ExitStack) -> DiscoveryAgent:
    """Start a discovery agent that lists only the last of the gateway's endpoints."""
    agent = DiscoveryAgent(gateway.instance(len(gateway.endpoints) - 1))
    agent.generation = 2
    streams.callback(agent.close)
    return agent


def assert_list_is_used(gateway: PlatformProcess, agent: DiscoveryAgent) -> None:
    """Assert that the gateway uses the list of the agent, has logged the reload and exits gracefully."""
    served = ServingEndpoints(gateway.endpoints).served
    until(lambda: agent.lists_sent and gateway.request(READINESS_CHECK).startswith(b"HTTP/1.1 200"))
    for customer in range(8):
        assert gateway.request(call(client=f"{customer:016x}")).startswith(b"HTTP/1.1 200")
    assert served == [len(gateway.endpoints) - 1] * 8
    gateway.signal(signal.SIGTERM)
    assert "reloaded" in gateway.wait_for_exit()


def open_for_writing(fifo: Path) -> io.FileIO:
    """Wait until a process has opened a named pipe for reading; return the writing end."""
    descriptors: list[int] = []

    def has_reader() -> bool:
        with suppress(OSError):  # ENXIO: no reader yet
            descriptors.append(os.open(fifo, os.O_WRONLY | os.O_NONBLOCK))
        return bool(descriptors)

    until(has_reader)
    return io.FileIO(descriptors[0], "w")


def test_a_reload_before_signals_are_handled_is_applied(tmp_path):
    """The configuration file is a pipe that the test keeps open, so it is being read at the signal."""
    with ExitStack() as streams:
        gateway = PlatformProcess(tmp_path, endpoint_count=2, wait_until_ready=False)
        agent = start_new_agent(gateway, streams)
        gateway.path.unlink()
        os.mkfifo(gateway.path)
        streams.enter_context(gateway)
        with open_for_writing(gateway.path) as pipe:
            pipe.write(json.dumps(gateway.configuration).encode())
            gateway.path.unlink()
            gateway.move_discovery(agent)
            gateway.signal(signal.SIGHUP)
        assert_list_is_used(gateway, agent)


def test_a_reload_while_an_address_is_still_in_use_is_applied(tmp_path):
    """Another socket still uses the address for peer datagrams, so discovery has not been polled yet."""
    with ExitStack() as streams:
        other_socket = streams.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
        other_socket.bind(("127.0.0.1", 0))
        address = format_address(other_socket.getsockname())
        gateway = PlatformProcess(
            tmp_path, endpoint_count=2, wait_until_ready=False, peer_listen=address, peers=[address]
        )
        agent = start_new_agent(gateway, streams)
        streams.enter_context(gateway)
        until(lambda: handles_reloads(gateway))
        gateway.move_discovery(agent)
        gateway.signal(signal.SIGHUP)
        assert gateway.process.stdout is not None
        assert "reloaded" in gateway.process.stdout.readline()
        other_socket.close()
        until(lambda: agent.lists_sent and gateway.request(READINESS_CHECK).startswith(b"HTTP/1.1 200"))
        assert not gateway.agent.polls
        gateway.signal(signal.SIGTERM)
        gateway.wait_for_exit()


def handles_reloads(gateway: PlatformProcess) -> bool:
    """Return whether the process has a handler of its own for SIGHUP (proc(5), SigCgt)."""
    rows = Path(f"/proc/{gateway.process.pid}/status").read_text().splitlines()
    caught = next(int(row.split()[1], 16) for row in rows if row.startswith("SigCgt"))
    return bool(caught >> (signal.SIGHUP - 1) & 1)


def test_sighup_during_interpreter_startup_does_not_kill_the_process(tmp_path):
    """The deploy file's command ignores SIGHUP; ``sitecustomize`` blocks until the signal was sent."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert ".venv/bin/python" in run
    resume = tmp_path / "resume"
    os.mkfifo(resume)
    (tmp_path / "sitecustomize.py").write_text(f"open({str(resume)!r}).read()\n")
    prepared = PlatformProcess(tmp_path, endpoint_count=2, wait_until_ready=False)
    prepared.command = ["/bin/sh", "-c", run.replace(".venv/bin/python", sys.executable)]
    prepared.environment = {"PYTHONPATH": f"{tmp_path}:{ROOT}"}
    with prepared as gateway:
        with open_for_writing(resume):
            gateway.signal(signal.SIGHUP)
        until(lambda: gateway.request(READINESS_CHECK).startswith(b"HTTP/1.1 200"))
        gateway.signal(signal.SIGTERM)
        gateway.wait_for_exit()
