"""A real gateway of the platform under pauses, full descriptors and invalid configurations."""

from __future__ import annotations

import json
import os
import select
import signal
import socket
import subprocess
import sys
from contextlib import ExitStack

import pytest
from harness.platform_harness import call, file, settings
from harness.platform_processes import (
    READINESS_CHECK,
    TIMEOUT_S,
    PlatformProcess,
    ServingEndpoints,
    free_port,
    until,
)
from harness.process_sockets import (
    answer_next_request,
    unaccepted_bytes,
    unread_datagrams,
)

from orchidlane.runtime.backend import format_address

# -- pauses


def test_a_paused_gateway_forwards_no_requests_of_clients_that_left_meanwhile(tmp_path):
    with PlatformProcess(tmp_path, hosts=2) as gateway:
        clients = [gateway.connect() for _ in range(6)]
        gateway.signal(signal.SIGSTOP)
        for number, stream in enumerate(clients):
            stream.sendall(call("bill", body=b"1", left="2.000"))
            if number % 2:  # by a reset, else by an end
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            stream.close()
        gateway.signal(signal.SIGCONT)
        until(lambda: gateway.request(READINESS_CHECK))
        gateway.signal(signal.SIGTERM)
        gateway.wait_for_exit()
        assert not unaccepted_bytes(*gateway.hosts)


def test_a_paused_gateway_learns_of_drains_before_it_sends_attempts(tmp_path):
    with PlatformProcess(tmp_path, hosts=2) as gateway, gateway.connect() as client:
        gateway.signal(signal.SIGSTOP)
        client.sendall(call(left="2.000"))
        gateway.agent.send_list(gateway.instance(0, "leaving"), gateway.instance(1))
        gateway.signal(signal.SIGCONT)
        answer_next_request(gateway.hosts[1])
        assert client.recv(65_536).startswith(b"HTTP/1.1 200")
        assert not unaccepted_bytes(gateway.hosts[0])


# -- descriptors


@pytest.mark.parametrize("sockets", [64, 256])
def test_idle_clients_at_their_limit_leave_descriptors_for_everything_else(tmp_path, sockets):
    """While discovery is down, too: its calls, hosts' connections, a reload and further clients have room,
    and datagrams go both ways.
    """
    customers = iter(range(10**9))
    with ExitStack() as streams:
        peer = streams.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
        peer.bind(("127.0.0.1", 0))
        peer.settimeout(TIMEOUT_S)
        here = ("127.0.0.1", free_port(socket.SOCK_DGRAM))
        gateway = streams.enter_context(
            PlatformProcess(
                tmp_path,
                hosts=2,
                sockets=sockets,
                peer_listen=format_address(here),
                peers=[format_address(here), format_address(peer.getsockname())],
                settings=settings(balancers=2, permissions={**settings()["permissions"], "peers": True}),
            )
        )
        served = ServingEndpoints(gateway.hosts).served

        def ask() -> None:
            """Of a customer of its own: none goes beyond its quota, each is one that peers are told of."""
            customer = f"{next(customers):016x}"
            said = gateway.request(call(left="2.000", client=customer, extras="units=1,spread=2,first=0"))
            assert said.startswith(b"HTTP/1.1 200"), said

        for _ in range(sockets):
            streams.enter_context(gateway.connect())
        gateway.agent.go_down()
        polls_before, lists_before = gateway.agent.polls, gateway.agent.lists_sent
        until(lambda: gateway.agent.polls >= polls_before + 4)
        for _ in range(sockets):
            streams.enter_context(gateway.connect())
        for _ in range(4):
            ask()
        gateway.agent.instances = [gateway.instance(0, "leaving"), gateway.instance(1)]
        gateway.agent.generation += 1
        gateway.agent.come_back()
        # What is sent from now on finds that the list has arrived
        until(lambda: gateway.agent.lists_sent > lists_before)
        until(lambda: len(os.listdir(f"/proc/{gateway.process.pid}/fd")) <= sockets)
        before = len(served)
        for _ in range(8):
            ask()
        assert served[before:] == [1] * 8
        while select.select([peer], [], [], 0)[0]:
            peer.recv(65_536)
        ask()
        assert peer.recv(65_536)
        gateway.signal(signal.SIGSTOP)
        peer.sendto(b"x" * 64, here)
        assert unread_datagrams(here[1]) > 0
        gateway.signal(signal.SIGCONT)
        until(lambda: unread_datagrams(here[1]) == 0)
        gateway.signal(signal.SIGHUP)
        gateway.signal(signal.SIGTERM)
        log = gateway.wait_for_exit()
        assert "reloaded" in log
        assert "Too many open files" not in log


# -- configurations


@pytest.mark.parametrize(
    ("changes", "names"),
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
def test_an_invalid_configuration_ends_the_start_with_one_line(tmp_path, changes, names):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(file(**changes)))
    done = subprocess.run(
        [sys.executable, "-m", "orchidlane.platform"],
        env={**os.environ, "PROXY_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert done.returncode == 2
    assert not done.stdout
    assert done.stderr.count("\n") == 1 and str(path) in done.stderr and names in done.stderr, done.stderr
