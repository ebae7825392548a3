"""One real platform gateway process; the test acts as its discovery, endpoints and clients."""

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

from harness.platform_harness import OK, configuration_file, instance, settings

TIMEOUT_S = 20.0  # for each step, on a busy machine
READINESS_CHECK = b"GET /up HTTP/1.1\r\nHost: g\r\n\r\n"


def listener() -> socket.socket:
    """Return a listening socket on loopback with a timeout."""
    server = socket.create_server(("127.0.0.1", 0), backlog=64)
    server.settimeout(TIMEOUT_S)
    return server


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is not in use at the moment."""
    with socket.socket(socket.AF_INET, kind) as unused:
        unused.bind(("127.0.0.1", 0))
        return unused.getsockname()[1]


class DiscoveryAgent:
    """A fake discovery agent: sends its list and heartbeats to each watch, unless it is down."""

    def __init__(self, *instances: dict) -> None:
        self.generation, self.instances = 1, list(instances)
        self.responds = True
        self.polls = 0
        self.lists_sent = 0  # polls that got a complete list as their response
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
                    if self.responds:
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
            for stream in self._watches if self.responds else ():
                with suppress(OSError):
                    stream.sendall(data)

    def send_list(self, *instances: dict) -> None:
        """Send a new list to all watches; new watches get it, too."""
        with self._lock:
            self.generation, self.instances = self.generation + 1, list(instances)
        self._send(self._line())

    def go_down(self) -> None:
        """Reset the open watches; from now on, accept polls and send no response."""
        with self._lock:
            self.responds = False
            for stream in self._watches:
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                stream.close()
            self._watches.clear()

    def come_back(self) -> None:
        """Respond to polls from now on; earlier polls still get no response."""
        with self._lock:
            self.responds = True
            self._watches.clear()

    def close(self) -> None:
        """Close the listener and stop the threads."""
        self._closed.set()
        self._socket.close()


class ServingEndpoints:
    """Endpoints that serve each connection in its own thread, so an idle one does not delay the others.

    The gateway may open connections without a request: an attempt sends nothing if its endpoint drains while
    the connection is established.
    """

    def __init__(self, endpoints: list[socket.socket]) -> None:
        self.served: list[int] = []  # the endpoint's number for each request, in the order received
        for number, endpoint in enumerate(endpoints):
            threading.Thread(target=self._accept, args=(number, endpoint), daemon=True).start()

    def _accept(self, number: int, endpoint: socket.socket) -> None:
        with suppress(OSError):
            while True:
                stream = endpoint.accept()[0]
                threading.Thread(target=self._serve, args=(number, stream), daemon=True).start()

    def _serve(self, number: int, stream: socket.socket) -> None:
        with suppress(OSError), stream:
            while stream.recv(65_536):
                self.served.append(number)
                stream.sendall(OK)


class PlatformProcess:
    """A gateway process, as a context manager; ``endpoints`` are listeners of the test."""

    def __init__(
        self,
        folder: Path,
        endpoint_count: int = 1,
        sockets: int = 256,
        wait_until_ready: bool = True,
        **changes: Any,
    ) -> None:
        self.endpoints = [listener() for _ in range(endpoint_count)]
        self.agent = DiscoveryAgent(*(self.instance(number) for number in range(endpoint_count)))
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
        self.configuration = configuration_file(**{**defaults, **changes})
        self.path.write_text(json.dumps(self.configuration))

    def move_discovery(self, agent: DiscoveryAgent) -> None:
        """Write another agent's address to the configuration file, without a signal to the gateway."""
        self.path.write_text(json.dumps({**self.configuration, "discovery": agent.address}))

    def instance(self, number: int, lifecycle: str = "active") -> dict:
        """Return an endpoint's entry in the lines that discovery sends."""
        return instance(number, lifecycle, port=self.endpoints[number].getsockname()[1])

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
        for endpoint in self.endpoints:
            endpoint.close()

    def connect(self) -> socket.socket:
        """Open a client's connection."""
        return socket.create_connection(("127.0.0.1", self.port), timeout=TIMEOUT_S)

    def request(self, raw: bytes) -> bytes:
        """Send a request on a new connection; return the first bytes received, none if it fails."""
        with suppress(ConnectionError), self.connect() as stream:
            stream.sendall(raw)
            return stream.recv(65_536)
        return b""

    def signal(self, number: int) -> None:
        """Send a signal to the process; after SIGSTOP, wait until the process is stopped."""
        self.process.send_signal(number)
        if number == signal.SIGSTOP:
            until(self._is_stopped)

    def _is_stopped(self) -> bool:
        state = Path(f"/proc/{self.process.pid}/stat").read_text()
        return state.rsplit(")", 1)[1].split()[0] == "T"

    def wait_for_exit(self) -> str:
        """Wait until the process exits, and return its log; fail at an error status or a logged exception."""
        log = self.process.communicate(timeout=TIMEOUT_S)[0]
        assert self.process.returncode == 0, log
        assert "Traceback" not in log, log
        assert "unhandled exception" not in log, log
        return log


def until(condition: Callable[[], Any]) -> None:
    """Wait until a condition holds."""
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "the condition did not hold before the timeout"
        time.sleep(0.005)


def accept_request(endpoint: socket.socket) -> tuple[socket.socket, bytes]:
    """Accept the next connection to an endpoint; return it with its first bytes."""
    stream, _ = endpoint.accept()
    stream.settimeout(TIMEOUT_S)
    return stream, stream.recv(65_536)


def read_to_end(stream: socket.socket) -> bytes:
    """Return all bytes until the connection closes. Raises ConnectionResetError if it is reset."""
    received = b""
    while data := stream.recv(65_536):
        received += data
    return received
