"""One real gateway process, run with a copy of the example's files, and its log."""

from __future__ import annotations

import json
import resource
import shutil
import socket
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from harness.constants import MATERIALS
from orchidlane.simulation.loopback_addresses import free_ports

EXAMPLE_PORTS = (8080, 8180, 8280, 8300, 8380)  # of the first gateway and of the endpoint list service
MAX_LOG_READS = 600
LOG_READ_INTERVAL_SECONDS = 0.02
EXIT_TIMEOUT_SECONDS = 10
RECEIVE_BYTES = 1 << 16


@dataclass(frozen=True, slots=True)
class GatewayFiles:
    """A copy of the example's files in a folder of the test, with ports that no other process uses."""

    folder: Path
    http_port: int
    admin_port: int
    resp_port: int

    @property
    def settings(self) -> Path:
        """The settings file."""
        return self.folder / "fleet.cue"

    @property
    def description(self) -> Path:
        """The API description."""
        return self.folder / "openapi.yaml"

    @property
    def customers(self) -> Path:
        """The customers file."""
        return self.folder / "customers.json"


def write_gateway_files(folder: Path) -> GatewayFiles:
    """Copy the example into a new folder, with a secret, one customer and free ports."""
    shutil.copytree(MATERIALS, folder)
    secret = folder / "secret"
    secret.write_bytes(b"0123456789abcdef")
    secret.chmod(0o600)
    ports = free_ports(len(EXAMPLE_PORTS))
    files = GatewayFiles(folder, ports[0], ports[2], ports[4])
    settings = files.settings.read_text()
    for example_port, port in zip(EXAMPLE_PORTS, ports, strict=True):
        settings = settings.replace(f":{example_port}", f":{port}")
    files.settings.write_text(settings)
    customer = {"id": 1, "plan": "basico", "keys": ["8d" * 32]}
    files.customers.write_text(json.dumps({"customers": [customer]}))
    return files


class SingleGateway:
    """A gateway process; it is killed when its context exits."""

    def __init__(self, files: GatewayFiles, max_descriptors: int | None = None) -> None:
        self.files = files
        self.log = files.folder / "log"

        def limit_descriptors() -> None:
            if max_descriptors:
                resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors))

        command = [sys.executable, "-m", "orchidlane", "gateway", str(files.settings)]
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(command, stderr=log, stdout=log, preexec_fn=limit_descriptors)

    def __enter__(self) -> SingleGateway:
        try:
            self.wait_until_logged("started")
        except BaseException:
            self.kill()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.kill()

    def kill(self) -> None:
        """Kill the process, if it is running, and wait until it has exited."""
        self.process.kill()
        self.process.wait()

    def wait_until_logged(self, event: str) -> str:
        """Wait until an event is logged and return the log.

        Raises AssertionError after 12 s, or once the process has exited without the event.
        """
        for _ in range(MAX_LOG_READS):
            if f'"event": "{event}"' in self.log.read_text():
                return self.log.read_text()
            if self.process.poll() is not None:
                break
            time.sleep(LOG_READ_INTERVAL_SECONDS)
        raise AssertionError(self.log.read_text())

    def wait_until_exited(self) -> int:
        """Wait until the process has exited and return its exit code."""
        return self.process.wait(EXIT_TIMEOUT_SECONDS)

    def get(self, path: str) -> bytes:
        """Return the raw response to a GET at the HTTP port."""
        return self._get(self.files.http_port, path)

    def get_admin(self, path: str) -> bytes:
        """Return the raw response to a GET at the admin port."""
        return self._get(self.files.admin_port, path)

    def connect(self) -> socket.socket:
        """Return a new connection to the HTTP port."""
        return socket.create_connection(("127.0.0.1", self.files.http_port))

    def _get(self, port: int, path: str) -> bytes:
        with socket.create_connection(("127.0.0.1", port), 5) as connection:
            connection.sendall(f"GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode())
            response = b""
            while data := connection.recv(RECEIVE_BYTES):
                response += data
            return response
