"""One real gateway of the platform; the test itself is its hosts and clients, and steps them in any order."""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

from harness.platform_harness import OK, file, instance, settings

WAIT = 20.0  # seconds that any one thing may take on a busy machine
UP = b"GET /up HTTP/1.1\r\nHost: g\r\n\r\n"


def listener() -> socket.socket:
    """A listener of ours; what it accepts has a time-out, too."""
    found = socket.create_server(("127.0.0.1", 0), backlog=64)
    found.settimeout(WAIT)
    return found


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port that nobody listens at just now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class DiscoveryAgent:
    """A fake discovery agent: sends its list and heartbeats to each watch, and can be down or silent."""

    def __init__(self, *instances: dict) -> None:
        self.generation, self.instances = 1, list(instances)
        self.answers = True
        self.calls = 0
        self.told = 0  # calls that were answered with the list, all of it sent
        self._watches: list[socket.socket] = []
        self._lock = threading.Lock()
        self._socket = listener()
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self._over = threading.Event()
        for work in (self._accept, self._beat):
            threading.Thread(target=work, daemon=True).start()

    def _accept(self) -> None:
        while not self._over.is_set():
            with suppress(OSError):
                stream, _ = self._socket.accept()
                with self._lock:
                    self.calls += 1
                    if self.answers:
                        stream.sendall(
                            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + self._line()
                        )
                        self.told += 1
                    self._watches.append(stream)

    def _line(self) -> bytes:
        told = {"generation": self.generation, "reset": True, "instances": self.instances}
        line = json.dumps(told).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(line), line)

    def _beat(self) -> None:
        while not self._over.wait(1.0):
            self._tell(b"1\r\n\n\r\n")

    def _tell(self, data: bytes) -> None:
        with self._lock:
            for stream in self._watches if self.answers else ():
                with suppress(OSError):
                    stream.sendall(data)

    def tell(self, *instances: dict) -> None:
        """The list from now on."""
        with self._lock:
            self.generation, self.instances = self.generation + 1, list(instances)
        self._tell(self._line())

    def go_down(self) -> None:
        """Open watches are reset, calls are taken and hear nothing."""
        with self._lock:
            self.answers = False
            for stream in self._watches:
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                stream.close()
            self._watches.clear()

    def come_back(self) -> None:
        """Whoever calls from now on is told; those who called before hear nothing."""
        with self._lock:
            self.answers = True
            self._watches.clear()

    def close(self) -> None:
        """Over."""
        self._over.set()
        self._socket.close()


class ServingEndpoints:
    """Endpoints that answer each request, each connection by itself: an idle one delays no other.

    The gateway makes such connections: an attempt whose host drains while it connects leaves nothing on it.
    """

    def __init__(self, hosts: list[socket.socket]) -> None:
        self.got: list[int] = []  # the host of each request, in the order they came
        for number, host in enumerate(hosts):
            threading.Thread(target=self._accept, args=(number, host), daemon=True).start()

    def _accept(self, number: int, host: socket.socket) -> None:
        with suppress(OSError):
            while True:
                stream = host.accept()[0]
                threading.Thread(target=self._answer, args=(number, stream), daemon=True).start()

    def _answer(self, number: int, stream: socket.socket) -> None:
        with suppress(OSError), stream:
            while stream.recv(65_536):
                self.got.append(number)
                stream.sendall(OK)


class PlatformProcess:
    """A gateway's process with ``hosts`` listeners of the test as endpoints; a context manager."""

    def __init__(
        self, folder: Path, hosts: int = 1, sockets: int = 256, wait_up: bool = True, **changes
    ) -> None:
        self.hosts = [listener() for _ in range(hosts)]
        self.agent = DiscoveryAgent(*(self.instance(number) for number in range(hosts)))
        self.port = free_port()
        self.path = folder / "config.json"
        self.sockets = sockets
        self.wait_up = wait_up
        self.command = [sys.executable, "-m", "orchidlane.platform"]
        self.environment: dict[str, str] = {}
        told = {
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.agent.address,
            "peer_listen": None,
            "peers": None,
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
            "settings": settings(),
        }
        self.told = file(**{**told, **changes})
        self.path.write_text(json.dumps(self.told))

    def move_discovery(self, agent: DiscoveryAgent) -> None:
        """The configuration names another agent from now on; nobody is told."""
        self.path.write_text(json.dumps({**self.told, "discovery": agent.address}))

    def instance(self, number: int, lifecycle: str = "active") -> dict:
        """An entry of the list for a host of ours."""
        return instance(number, lifecycle, port=self.hosts[number].getsockname()[1])

    def __enter__(self) -> PlatformProcess:
        limit = (self.sockets, self.sockets)
        self.process = subprocess.Popen(
            self.command,
            env={**os.environ, "PROXY_CONFIG": str(self.path), **self.environment},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limit),
        )
        if self.wait_up:
            until(lambda: self.says(UP).startswith(b"HTTP/1.1 200"))
        return self

    def __exit__(self, *_) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait(WAIT)
        assert self.process.stdout is not None
        self.process.stdout.close()
        self.agent.close()
        for host in self.hosts:
            host.close()

    def connect(self) -> socket.socket:
        """A client."""
        return socket.create_connection(("127.0.0.1", self.port), timeout=WAIT)

    def says(self, raw: bytes) -> bytes:
        """What a request of its own connection hears first, nothing where nobody listens."""
        with suppress(ConnectionError), self.connect() as stream:
            stream.sendall(raw)
            return stream.recv(65_536)
        return b""

    def signal(self, number: int) -> None:
        """Send the process a signal; a stop has taken hold when this returns."""
        self.process.send_signal(number)
        if number == signal.SIGSTOP:
            until(
                lambda: Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()[0] == "T"
            )

    def ended(self) -> str:
        """Wait for the end by itself; the log, in which nothing failed."""
        log = self.process.communicate(timeout=WAIT)[0]
        assert self.process.returncode == 0, log
        assert "Traceback" not in log and "contained" not in log, log
        return log


def until(holds) -> None:
    """Wait for a condition."""
    by = time.monotonic() + WAIT
    while not holds():
        assert time.monotonic() < by, "never came"
        time.sleep(0.005)


def request_at(host: socket.socket) -> tuple[socket.socket, bytes]:
    """The next connection to a host and what it brings first."""
    stream, _ = host.accept()
    stream.settimeout(WAIT)
    return stream, stream.recv(65_536)


def to_the_end(stream: socket.socket) -> bytes:
    """All up to an end in order; a reset raises ConnectionResetError."""
    found = b""
    while data := stream.recv(65_536):
        found += data
    return found
