"""A real gateway process on loopback, configured for a large fleet and started as the platform does."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from harness.platform_harness import OK, call, configuration_file, instance, settings
from harness.platform_processes import READINESS_CHECK, free_port, listener

PEERS, ENDPOINTS = 1_024, 1_500
SERVER_TIMEOUT_S = 60
CLIENT_TIMEOUT_S = 20
MAX_RESIDENT_KIB = 28 * 1024  # the smallest machine has 32 MB


class FakeServer:
    """Sends a fixed response for each received piece; discovery's response is a watch with its only list."""

    def __init__(self, response: bytes) -> None:
        self.response = response
        self.listener = listener()
        self.listener.settimeout(SERVER_TIMEOUT_S)
        self.port = self.listener.getsockname()[1]
        self._streams: list[socket.socket] = []

    def serve(self) -> None:
        """Accept connections in a thread."""
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                stream, _ = self.listener.accept()
            except OSError:
                return
            self._streams.append(stream)
            threading.Thread(target=self._respond, args=(stream,), daemon=True).start()

    def _respond(self, stream: socket.socket) -> None:
        while stream.recv(65_536):
            stream.sendall(self.response)

    def close(self) -> None:
        """Close the listener and all connections."""
        self.listener.close()
        for stream in self._streams:
            stream.close()


def request(port: int, data: bytes) -> bytes:
    """Send a request on a new connection; return the first bytes of its response."""
    with socket.create_connection(("127.0.0.1", port), timeout=CLIENT_TIMEOUT_S) as stream:
        stream.sendall(data)
        return stream.recv(65_536)


def wait_until_ready(port: int) -> None:
    """Wait until a readiness check succeeds; until discovery has responded, the status must be 503."""
    deadline = time.monotonic() + CLIENT_TIMEOUT_S
    while not (response := request(port, READINESS_CHECK)).startswith(b"HTTP/1.1 200"):
        assert response.startswith(b"HTTP/1.1 503")
        assert time.monotonic() < deadline


def watch_response(instances: list[dict[str, Any]]) -> bytes:
    """Return the head and the first line of a watch: a complete list."""
    line = json.dumps({"generation": 7, "reset": True, "instances": instances}).encode() + b"\n"
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line)


def fleet_configuration(port: int, discovery_port: int) -> dict[str, Any]:
    """Return the configuration of one of 1,024 gateways, for a small machine."""
    peer_port = free_port(socket.SOCK_DGRAM)
    peers = [f"127.0.{1 + rank // 250}.{1 + rank % 250}:{peer_port}" for rank in range(PEERS)]
    peers[0] = f"127.0.0.1:{peer_port}"
    permissions = {**settings()["permissions"], "peers": True}
    return configuration_file(
        listen=f"127.0.0.1:{port}",
        discovery=f"127.0.0.1:{discovery_port}",
        peer_listen=peers[0],
        peers=peers,
        limits={"cores": 0.4, "memory_mb": 32, "sockets": 256},
        settings=settings(balancers=PEERS, permissions=permissions),
    )


@contextmanager
def gateway_process(configuration: dict[str, Any], path: Path) -> Iterator[subprocess.Popen[str]]:
    """Run a gateway process with a configuration; kill it at the end."""
    path.write_text(json.dumps(configuration))
    process = subprocess.Popen(
        [sys.executable, "-m", "orchidlane.platform"],
        env={**os.environ, "PROXY_CONFIG": str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    try:
        yield process
    finally:
        process.kill()


def resident_kib(pid: int) -> int:
    """Return the resident memory of a process in KiB (proc(5), VmRSS)."""
    rows = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(row.split()[1]) for row in rows if row.startswith("VmRSS"))


def test_a_gateway_of_a_large_fleet_starts_serves_and_exits(tmp_path: Path):
    endpoint = FakeServer(OK)
    discovery = FakeServer(
        watch_response([instance(index, port=endpoint.port) for index in range(ENDPOINTS)])
    )
    endpoint.serve()
    discovery.serve()
    port = free_port(socket.SOCK_STREAM)
    with gateway_process(fleet_configuration(port, discovery.port), tmp_path / "config.json") as process:
        assert process.stdout is not None
        assert "serving" in process.stdout.readline()
        wait_until_ready(port)
        quota_info = f"units=1,spread={PEERS},first=0"
        requests = (
            call(timeout="2.000", quota_info=quota_info, client=f"{customer:016x}") for customer in range(20)
        )
        assert {request(port, data)[:12] for data in requests} == {b"HTTP/1.1 200"}
        assert resident_kib(process.pid) < MAX_RESIDENT_KIB
        process.send_signal(signal.SIGTERM)
        log = process.communicate(timeout=30)[0]
    assert process.returncode == 0, log
    assert "Traceback" not in log, log
    assert "unhandled exception" not in log, log
    endpoint.close()
    discovery.close()
