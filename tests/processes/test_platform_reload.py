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


def other_discovery(gateway: PlatformProcess, streams: ExitStack) -> DiscoveryAgent:
    """An agent that lists one host alone, the last of the gateway's."""
    agent = DiscoveryAgent(gateway.instance(len(gateway.hosts) - 1))
    agent.generation = 2
    streams.callback(agent.close)
    return agent


def follows(gateway: PlatformProcess, agent: DiscoveryAgent) -> None:
    """The gateway goes by what that agent says, and ends in order."""
    served = ServingEndpoints(gateway.hosts).served
    until(lambda: agent.lists_sent and gateway.request(READINESS_CHECK).startswith(b"HTTP/1.1 200"))
    for customer in range(8):
        assert gateway.request(call(client=f"{customer:016x}")).startswith(b"HTTP/1.1 200")
    assert served == [len(gateway.hosts) - 1] * 8
    gateway.signal(signal.SIGTERM)
    assert "reloaded" in gateway.wait_for_exit()


def writing_to_reader(fifo: Path) -> io.FileIO:
    """A named pipe's writing end, once somebody reads there."""
    found: list[int] = []

    def opens() -> bool:
        with suppress(OSError):  # ENXIO: nobody reads yet
            found.append(os.open(fifo, os.O_WRONLY | os.O_NONBLOCK))
        return bool(found)

    until(opens)
    return io.FileIO(found[0], "w")


def test_a_reload_between_reading_the_configuration_and_handling_signals_is_applied(tmp_path):
    """The file is a pipe that the test holds open: it is being read when the signal comes."""
    with ExitStack() as streams:
        gateway = PlatformProcess(tmp_path, hosts=2, wait_until_ready=False)
        agent = other_discovery(gateway, streams)
        gateway.path.unlink()
        os.mkfifo(gateway.path)
        streams.enter_context(gateway)
        with writing_to_reader(gateway.path) as pipe:
            pipe.write(json.dumps(gateway.configuration).encode())
            gateway.path.unlink()
            gateway.move_discovery(agent)
            gateway.signal(signal.SIGHUP)
        follows(gateway, agent)


def test_a_reload_while_an_address_is_still_held_is_applied(tmp_path):
    """The process before it holds the datagrams' address; it follows nobody yet."""
    with ExitStack() as streams:
        holder = streams.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
        holder.bind(("127.0.0.1", 0))
        here = format_address(holder.getsockname())
        gateway = PlatformProcess(tmp_path, hosts=2, wait_until_ready=False, peer_listen=here, peers=[here])
        agent = other_discovery(gateway, streams)
        streams.enter_context(gateway)
        until(lambda: hears_signals(gateway))
        gateway.move_discovery(agent)
        gateway.signal(signal.SIGHUP)
        assert gateway.process.stdout is not None
        assert "reloaded" in gateway.process.stdout.readline()
        holder.close()
        until(lambda: agent.lists_sent and gateway.request(READINESS_CHECK).startswith(b"HTTP/1.1 200"))
        assert not gateway.agent.polls
        gateway.signal(signal.SIGTERM)
        gateway.wait_for_exit()


def hears_signals(gateway: PlatformProcess) -> bool:
    """Whether the process has a handler of its own for SIGHUP (proc(5), SigCgt)."""
    rows = Path(f"/proc/{gateway.process.pid}/status").read_text().splitlines()
    caught = next(int(row.split()[1], 16) for row in rows if row.startswith("SigCgt"))
    return bool(caught >> (signal.SIGHUP - 1) & 1)


def test_sighup_while_the_interpreter_starts_does_not_end_the_process(tmp_path):
    """By the command of the deploy file, held where nothing of ours has run yet."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert ".venv/bin/python" in run
    go_on = tmp_path / "go_on"
    os.mkfifo(go_on)
    (tmp_path / "sitecustomize.py").write_text(f"open({str(go_on)!r}).read()\n")
    prepared = PlatformProcess(tmp_path, hosts=2, wait_until_ready=False)
    prepared.command = ["/bin/sh", "-c", run.replace(".venv/bin/python", sys.executable)]
    prepared.environment = {"PYTHONPATH": f"{tmp_path}:{ROOT}"}
    with prepared as gateway:
        with writing_to_reader(go_on):
            gateway.signal(signal.SIGHUP)
        until(lambda: gateway.request(READINESS_CHECK).startswith(b"HTTP/1.1 200"))
        gateway.signal(signal.SIGTERM)
        gateway.wait_for_exit()
