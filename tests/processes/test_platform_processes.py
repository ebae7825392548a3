"""A real platform gateway process: pauses, the limit of file descriptors and invalid configurations."""

from __future__ import annotations

import itertools
import json
import os
import select
import signal
import socket
import subprocess
import sys
from contextlib import ExitStack
from pathlib import Path

import pytest
from harness.platform_harness import call, configuration_file, settings
from harness.platform_processes import (
    READINESS_CHECK,
    TIMEOUT_S,
    PlatformProcess,
    ServingEndpoints,
    free_port,
    until,
)
from harness.process_sockets import (
    serve_next_request,
    unaccepted_bytes,
    unread_datagrams,
)

from orchidlane.runtime.backend import format_address

# -- pauses


def test_requests_of_clients_that_left_during_a_pause_are_not_forwarded(tmp_path):
    with PlatformProcess(tmp_path, endpoint_count=2) as gateway:
        clients = [gateway.connect() for _ in range(6)]
        gateway.signal(signal.SIGSTOP)
        for number, stream in enumerate(clients):
            stream.sendall(call("bill", body=b"1", timeout="2.000"))
            if number % 2:  # closed with a reset, the others with a FIN
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            stream.close()
        gateway.signal(signal.SIGCONT)
        until(lambda: gateway.request(READINESS_CHECK))
        gateway.signal(signal.SIGTERM)
        gateway.wait_for_exit()
        assert not unaccepted_bytes(*gateway.endpoints)


def test_a_drain_during_a_pause_is_applied_before_attempts_are_sent(tmp_path):
    with PlatformProcess(tmp_path, endpoint_count=2) as gateway, gateway.connect() as client:
        gateway.signal(signal.SIGSTOP)
        client.sendall(call(timeout="2.000"))
        gateway.agent.send_list(gateway.instance(0, "leaving"), gateway.instance(1))
        gateway.signal(signal.SIGCONT)
        serve_next_request(gateway.endpoints[1])
        assert client.recv(65_536).startswith(b"HTTP/1.1 200")
        assert not unaccepted_bytes(gateway.endpoints[0])


# -- file descriptors


class LimitedGateway:
    """A gateway process with a limit of file descriptors, and the socket of its only peer.

    Each request is from another customer, so no customer exceeds its quota and the peer is notified of each.
    """

    def __init__(self, tmp_path: Path, sockets: int, streams: ExitStack) -> None:
        self.streams, self.sockets = streams, sockets
        self.peer = streams.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
        self.peer.bind(("127.0.0.1", 0))
        self.peer.settimeout(TIMEOUT_S)
        self.peer_address = ("127.0.0.1", free_port(socket.SOCK_DGRAM))
        own, peer = format_address(self.peer_address), format_address(self.peer.getsockname())
        self.process = streams.enter_context(
            PlatformProcess(
                tmp_path,
                endpoint_count=2,
                sockets=sockets,
                peer_listen=own,
                peers=[own, peer],
                settings=settings(balancers=2, permissions={**settings()["permissions"], "peers": True}),
            )
        )
        self.served = ServingEndpoints(self.process.endpoints).served
        self._customers = itertools.count()

    def open_idle_clients(self) -> None:
        """Open as many client connections as the process may have file descriptors."""
        for _ in range(self.sockets):
            self.streams.enter_context(self.process.connect())

    def send_requests(self, count: int) -> list[int]:
        """Send requests one after the other; assert that each is served, and return the endpoints."""
        first = len(self.served)
        for _ in range(count):
            customer = f"{next(self._customers):016x}"
            raw = call(timeout="2.000", client=customer, quota_info="units=1,spread=2,first=0")
            response = self.process.request(raw)
            assert response.startswith(b"HTTP/1.1 200"), response
        return self.served[first:]

    def open_descriptors(self) -> int:
        """Return the number of file descriptors that the process has open."""
        return len(os.listdir(f"/proc/{self.process.process.pid}/fd"))

    def drop_received_datagrams(self) -> None:
        """Discard the datagrams that the peer has received."""
        while select.select([self.peer], [], [], 0)[0]:
            self.peer.recv(65_536)


@pytest.mark.parametrize("sockets", [64, 256])
def test_idle_clients_at_their_limit_leave_enough_descriptors(tmp_path, sockets):
    """The gateway still polls discovery, sends attempts, accepts clients, exchanges datagrams and reloads.

    This holds during an outage of discovery, too, while several polls are open.
    """
    with ExitStack() as streams:
        limited = LimitedGateway(tmp_path, sockets, streams)
        gateway, agent = limited.process, limited.process.agent
        limited.open_idle_clients()
        agent.go_down()
        polls_before, lists_before = agent.polls, agent.lists_sent
        until(lambda: agent.polls >= polls_before + 4)
        limited.open_idle_clients()
        limited.send_requests(4)
        agent.instances = [gateway.instance(0, "leaving"), gateway.instance(1)]
        agent.generation += 1
        agent.come_back()
        # The gateway handles the list before the requests that are sent from now on
        until(lambda: agent.lists_sent > lists_before)
        until(lambda: limited.open_descriptors() <= sockets)
        assert limited.send_requests(8) == [1] * 8
        limited.drop_received_datagrams()
        limited.send_requests(1)
        assert limited.peer.recv(65_536)
        gateway.signal(signal.SIGSTOP)
        limited.peer.sendto(b"x" * 64, limited.peer_address)
        port = limited.peer_address[1]
        assert unread_datagrams(port) > 0
        gateway.signal(signal.SIGCONT)
        until(lambda: unread_datagrams(port) == 0)
        gateway.signal(signal.SIGHUP)
        gateway.signal(signal.SIGTERM)
        log = gateway.wait_for_exit()
        assert "reloaded" in log
        assert "Too many open files" not in log


# -- configurations


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"limits": {"cores": 1.0, "memory_mb": 64, "sockets": 10}}, "limits.sockets"),
        ({"limits": {"cores": 1.0, "memory_mb": 64}}, "limits"),
        ({"listen": "8080"}, "listen"),
        ({"peers": ["127.0.0.1:7946", "x"]}, "peers[1]"),
        ({"settings": settings(classes=[{"name": "a"}])}, "'target'"),
        ({"known": {"generation": "x", "reset": True, "instances": []}}, "known"),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_with_an_invalid_configuration_startup_fails_with_one_line(tmp_path, changes, field):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration_file(**changes)))
    completed = subprocess.run(
        [sys.executable, "-m", "orchidlane.platform"],
        env={**os.environ, "PROXY_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert completed.returncode == 2
    assert not completed.stdout
    assert completed.stderr.count("\n") == 1, completed.stderr
    assert str(path) in completed.stderr, completed.stderr
    assert field in completed.stderr, completed.stderr
