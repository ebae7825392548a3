"""Settings of a gateway for a benchmark, and processes that are pinned to cores."""

from __future__ import annotations

import contextlib
import hashlib
import json
import os
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
API_KEY = "bench-key"
SERVER_ROLES = "benchmarks.server_roles"
CONNECT_ATTEMPTS = 400
CONNECT_RETRY_SECONDS = 0.05


def write_settings(
    folder: Path, gateway_port: int, peer_port: int, list_port: int, resp_port: int | None = None
) -> Path:
    """Write the settings of one gateway, whose only customer has a quota that no load uses up."""
    key_digest = hashlib.sha256(API_KEY.encode()).hexdigest()
    customers = {"customers": [{"id": 1, "plan": "wide", "keys": [key_digest]}]}
    (folder / "customers.json").write_text(json.dumps(customers))
    secret = folder / "secret"
    secret.write_bytes(b"0123456789abcdef")
    secret.chmod(0o600)
    resp = f', resp: "127.0.0.1:{resp_port}"' if resp_port else ""
    settings = folder / "fleet.cue"
    settings.write_text(
        f'description: "{ROOT}/examples/materials/openapi.yaml"\ncustomers: "customers.json"\n'
        f'gateways: [{{name: "gw-0"{resp}, listen: "127.0.0.1:{gateway_port}", '
        f'peer: "127.0.0.1:{peer_port}"}}]\n'
        "plans: wide: {rate: 1000000, burst: 2000000}\n"
        f'nodes: {{list: "127.0.0.1:{list_port}"}}\npeers: secret_file: "secret"\n'
        "bounds: node_connections: 1024\ntimes: {}\nlimits: {}\n"
    )
    return settings


class PinnedProcesses:
    """Starts Python modules on three cores: one for servers, one for measured programs, one for the load."""

    def __init__(self) -> None:
        cores = sorted(os.sched_getaffinity(0))
        self.server_core = cores[0]
        self.measured_core = cores[2 % len(cores)]
        self.load_core = cores[4 % len(cores)]
        self._processes: list[subprocess.Popen[bytes]] = []

    def start_server(self, *arguments: str | int) -> None:
        """Start a module that the measured programs need, on the core for servers."""
        self._start(self.server_core, arguments)

    def start_measured(self, *arguments: str | int) -> None:
        """Start a module that is measured, on the core for measured programs."""
        self._start(self.measured_core, arguments)

    def pin_load(self) -> None:
        """Move this process, which generates the load, to the core for the load."""
        os.sched_setaffinity(0, {self.load_core})

    def kill(self) -> None:
        """Kill all processes and wait until they have exited."""
        for process in self._processes:
            process.kill()
            process.wait()

    def _start(self, core: int, arguments: tuple[str | int, ...]) -> None:
        command = [sys.executable, "-m", *map(str, arguments)]
        process = subprocess.Popen(command, cwd=ROOT, preexec_fn=lambda: os.sched_setaffinity(0, {core}))
        self._processes.append(process)


@contextlib.contextmanager
def pinned_processes() -> Iterator[PinnedProcesses]:
    """Yield an object that starts processes, and kill the processes on exit."""
    processes = PinnedProcesses()
    try:
        yield processes
    finally:
        processes.kill()


def wait_until_listening(*ports: int) -> None:
    """Wait until all ports of the loopback address accept connections.

    Raises RuntimeError if one does not within 20 s.
    """
    for port in ports:
        for _ in range(CONNECT_ATTEMPTS):
            with contextlib.suppress(OSError):
                socket.create_connection(("127.0.0.1", port)).close()
                break
            time.sleep(CONNECT_RETRY_SECONDS)
        else:
            raise RuntimeError(f"no process accepts connections at port {port}")
