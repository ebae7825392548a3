"""Starts real gateways by the ``run`` command of the deploy file, each with a configuration of its own."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any

from support.record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0  # the platform's limit


class GatewayFailedError(Exception):
    """A gateway did not become ready, so that the case can't run."""


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a loopback port that is free at the moment."""
    with socket.socket(socket.AF_INET, kind) as unused:
        unused.bind(("127.0.0.1", 0))
        port: int = unused.getsockname()[1]
        return port


class Gateway:
    """One gateway: its configuration file, its private temporary folder and its process."""

    def __init__(
        self, record: Record, folder: Path, rank: int, discovery: str, settings: dict[str, Any]
    ) -> None:
        self.record = record
        self.name = f"n{rank}"
        self.folder = folder / self.name
        self.folder.mkdir()
        self.listen = f"127.0.0.1:{free_port()}"
        self.peer_listen = f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"
        self.configuration: dict[str, Any] = {
            "name": self.name,
            "listen": self.listen,
            "discovery": discovery,
            "seed": f"{rank + 1:016x}",
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256},
            "peer_listen": self.peer_listen,
            "peers": [self.peer_listen],
            "settings": {**settings, "rank": rank},
        }
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, as ``/bin/sh -c`` from the repository's root."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.configuration))
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        environment = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(temporary),
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": self.listen,
            "PROXY_DISCOVERY": self.configuration["discovery"],
            "PROXY_CONFIG": str(path),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.record.write(f"gateway {self.name} starts at {self.listen}")

    async def ready(self) -> None:
        """Wait until ``GET /up`` is answered by 200. Raises GatewayFailedError."""
        deadline = self.record.now() + READY_TIMEOUT_S
        while self.record.now() < deadline:
            if self.process is None or self.process.poll() is not None:
                raise GatewayFailedError(f"{self.name} ended: {self.log()}")
            if await self._is_up():
                self.record.write(f"gateway {self.name} is ready")
                return
            await asyncio.sleep(0.02)
        raise GatewayFailedError(f"{self.name} was not ready: {self.log()}")

    async def _is_up(self) -> bool:
        host, _, port = self.listen.partition(":")
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /up HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 1.0)
            writer.close()
            return b" 200 " in line
        return False

    def kill(self) -> None:
        """End the process by SIGKILL, with whatever it started."""
        if self.process is not None:
            with suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            self.process.wait()
            self.process = None
            self.record.write(f"gateway {self.name} was killed")

    def log(self) -> str:
        """Return what the process wrote."""
        return (self.folder / "log").read_text(errors="replace")
