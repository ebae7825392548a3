"""One real gateway process of the platform; the test is its endpoints and clients, in any order of events."""

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
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from harness.platform_harness import OK, file, instance, settings

TIMEOUT_S = 20.0  # for any one step on a busy machine
READINESS_CHECK = b"GET /up HTTP/1.1\r\nHost: g\r\n\r\n"


def listener() -> socket.socket:
    """Return a listening socket on loopback with a timeout."""
    server = socket.create_server(("127.0.0.1", 0), backlog=64)
    server.settimeout(TIMEOUT_S)
    return server


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that nobody listens on at the moment."""
    with socket.socket(socket.AF_INET, kind) as unused:
        unused.bind(("127.0.0.1", 0))
        return unused.getsockname()[1]


class DiscoveryAgent:
    """A fake discovery agent: sends its list and heartbeats to each watch, and can be down or silent."""

    def __init__(self, *instances: dict) -> None:
        self.generation, self.instances = 1, list(instances)
        self.answers = True
        self.polls = 0
        self.lists_sent = 0  # polls that were answered with a complete list
        self._watches: list[socket.socket] = []
        self._lock = threading.Lock()
        self._socket = listener()
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self._closed = threading.Event()
        for target in (self._accept, self._send_heartbeats):
            threading.Thread(target=target, daemon=True).start()

    def _accept(self) -> None:
        while not self._closed.is_set():
            with suppress(OSError):
                stream, _ = self._socket.accept()
                with self._lock:
                    self.polls += 1
                    if self.answers:
                        stream.sendall(
                            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + self._line()
                        )
                        self.lists_sent += 1
                    self._watches.append(stream)

    def _line(self) -> bytes:
        content = {"generation": self.generation, "reset": True, "instances": self.instances}
        line = json.dumps(content).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(line), line)

    def _send_heartbeats(self) -> None:
        while not self._closed.wait(1.0):
            self._send(b"1\r\n\n\r\n")

    def _send(self, data: bytes) -> None:
        with self._lock:
            for stream in self._watches if self.answers else ():
                with suppress(OSError):
                    stream.sendall(data)

    def send_list(self, *instances: dict) -> None:
        """Send a new list to all watches; it is the list from now on."""
        with self._lock:
            self.generation, self.instances = self.generation + 1, list(instances)
        self._send(self._line())

    def go_down(self) -> None:
        """Reset the open watches; accept polls from now on without a response."""
        with self._lock:
            self.answers = False
            for stream in self._watches:
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                stream.close()
            self._watches.clear()

    def come_back(self) -> None:
        """Answer polls from now on; those that came before get no response."""
        with self._lock:
            self.answers = True
            self._watches.clear()

    def close(self) -> None:
        """Close the listener and end the threads."""
        self._closed.set()
        self._socket.close()


class ServingEndpoints:
    """Endpoints that serve each connection by itself: an idle one delays no other.

    The gateway opens idle ones: an attempt whose endpoint drains while it connects sends nothing on it.
    """

    def __init__(self, hosts: list[socket.socket]) -> None:
        self.served: list[int] = []  # the endpoint of each request, in the order they came
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
                self.served.append(number)
                stream.sendall(OK)


class PlatformProcess:
    """A gateway's process with ``hosts`` listeners of the test as endpoints; a context manager."""

    def __init__(
        self, folder: Path, hosts: int = 1, sockets: int = 256, wait_until_ready: bool = True, **changes: Any
    ) -> None:
        self.hosts = [listener() for _ in range(hosts)]
        self.agent = DiscoveryAgent(*(self.instance(number) for number in range(hosts)))
        self.port = free_port()
        self.path = folder / "config.json"
        self.sockets = sockets
        self.wait_until_ready = wait_until_ready
        self.command = [sys.executable, "-m", "orchidlane.platform"]
        self.environment: dict[str, str] = {}
        defaults = {
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.agent.address,
            "peer_listen": None,
            "peers": None,
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
            "settings": settings(),
        }
        self.configuration = file(**{**defaults, **changes})
        self.path.write_text(json.dumps(self.configuration))

    def move_discovery(self, agent: DiscoveryAgent) -> None:
        """Name another agent in the configuration; the gateway isn't notified."""
        self.path.write_text(json.dumps({**self.configuration, "discovery": agent.address}))

    def instance(self, number: int, lifecycle: str = "active") -> dict:
        """Return an entry of the list for one of the endpoints."""
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
        if self.wait_until_ready:
            until(lambda: self.request(READINESS_CHECK).startswith(b"HTTP/1.1 200"))
        return self

    def __exit__(self, *_: object) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait(TIMEOUT_S)
        assert self.process.stdout is not None
        self.process.stdout.close()
        self.agent.close()
        for host in self.hosts:
            host.close()

    def connect(self) -> socket.socket:
        """Open a client's connection."""
        return socket.create_connection(("127.0.0.1", self.port), timeout=TIMEOUT_S)

    def request(self, raw: bytes) -> bytes:
        """Send a request on its own connection; return the first bytes, none where nobody listens."""
        with suppress(ConnectionError), self.connect() as stream:
            stream.sendall(raw)
            return stream.recv(65_536)
        return b""

    def signal(self, number: int) -> None:
        """Send the process a signal; after SIGSTOP it is stopped when this returns."""
        self.process.send_signal(number)
        if number == signal.SIGSTOP:
            until(self._is_stopped)

    def _is_stopped(self) -> bool:
        state = Path(f"/proc/{self.process.pid}/stat").read_text()
        return state.rsplit(")", 1)[1].split()[0] == "T"

    def wait_for_exit(self) -> str:
        """Wait until the process exits by itself; return its log, in which nothing failed."""
        log = self.process.communicate(timeout=TIMEOUT_S)[0]
        assert self.process.returncode == 0, log
        assert "Traceback" not in log, log
        assert "unhandled exception" not in log, log
        return log


def until(condition: Callable[[], Any]) -> None:
    """Wait for a condition."""
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "the condition never held"
        time.sleep(0.005)


def accept_request(host: socket.socket) -> tuple[socket.socket, bytes]:
    """Accept the next connection to an endpoint; return it with its first bytes."""
    stream, _ = host.accept()
    stream.settimeout(TIMEOUT_S)
    return stream, stream.recv(65_536)


def read_to_end(stream: socket.socket) -> bytes:
    """Return all bytes until the connection is closed; raise ConnectionResetError at a reset."""
    received = b""
    while data := stream.recv(65_536):
        received += data
    return received
