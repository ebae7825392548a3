"""A real gateway of the platform under signals, full descriptors and pauses; audited by what its sockets
said.
"""

from __future__ import annotations

import io
import json
import os
import select
import signal
import socket
import subprocess
import sys
import tomllib
from contextlib import ExitStack, suppress
from pathlib import Path

import pytest
from harness.platform_harness import OK, call, file, settings
from harness.platform_processes import (
    READINESS_CHECK,
    TIMEOUT_S,
    DiscoveryAgent,
    PlatformProcess,
    ServingEndpoints,
    accept_request,
    free_port,
    listener,
    read_to_end,
    until,
)

from orchidlane.runtime.backend import format_address

ROOT = Path(__file__).parent.parent.parent
# Each request comes on a connection of its own
RESPONSE_AND_CLOSE = OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")


def answer_next_request(host: socket.socket) -> None:
    """Answer the next request at an endpoint, and close its connection."""
    stream, _ = accept_request(host)
    with stream:
        stream.sendall(RESPONSE_AND_CLOSE)


def hosts_with_requests(gateway: PlatformProcess) -> list[socket.socket]:
    """Wait for a connection at any of the endpoints."""
    ready, _, _ = select.select(gateway.hosts, [], [], TIMEOUT_S)
    assert ready, "no request came"
    return ready


def unaccepted_bytes(*hosts: socket.socket) -> bytes:
    """Return what was received on connections not accepted yet; those without a request are ignored."""
    received = b""
    while ready := select.select(hosts, [], [], 0)[0]:
        for host in ready:
            stream, _ = host.accept()
            with stream:
                received += stream.recv(65_536) if select.select([stream], [], [], 0)[0] else b""
    return received


# -- SIGTERM


def test_sigterm_with_a_request_at_each_stage_answers_each_exactly_once(tmp_path):
    with PlatformProcess(tmp_path, hosts=8) as gateway, ExitStack() as streams:
        names = ("at rest", "half a head", "half a body", "sent", "half answered", "after")
        client = {name: streams.enter_context(gateway.connect()) for name in names}
        raw = call("put", body=b"x" * 50, left="1.900")
        for name in ("sent", "half answered"):
            client[name].sendall(call(left="1.900"))
        out = []
        while len(out) < 2:
            out += [accept_request(host) for host in hosts_with_requests(gateway)]
        out[0][0].sendall(RESPONSE_AND_CLOSE[:-1])
        client["half a head"].sendall(raw[:30])
        client["half a body"].sendall(raw[:-10])
        gateway.signal(signal.SIGSTOP)  # it finds all of this at once
        gateway.signal(signal.SIGTERM)
        client["after"].sendall(call(left="1.900"))
        client["half a body"].sendall(raw[-10:])
        client["half a head"].sendall(call("put", body=b"x" * 50, left="1.900")[30:])
        gateway.signal(signal.SIGCONT)
        out[0][0].sendall(RESPONSE_AND_CLOSE[-1:])
        out[1][0].sendall(RESPONSE_AND_CLOSE)
        served = 0
        while served < 3:
            for host in hosts_with_requests(gateway):
                answer_next_request(host)
                served += 1
        found = {name: read_to_end(stream) for name, stream in client.items()}
        assert {name: said.count(b"HTTP/1.1 200") for name, said in found.items()} == {
            name: int(name != "at rest") for name in names
        }
        gateway.wait_for_exit()
        assert not unaccepted_bytes(*gateway.hosts)


def test_sigterm_with_a_request_that_waits_for_an_endpoint_serves_it_once_there_is_one(tmp_path):
    with PlatformProcess(tmp_path, hosts=1) as gateway, gateway.connect() as client:
        gateway.agent.send_list(gateway.instance(0, "leaving"))
        until(
            lambda: gateway.request(call(left="0.100", client="0000000000000009")).startswith(b"HTTP/1.1 503")
        )
        unaccepted_bytes(*gateway.hosts)
        client.sendall(call(left="1.900"))
        until(lambda: unread_at(gateway, client) == 0)
        gateway.signal(signal.SIGTERM)
        assert not select.select([client], [], [], 0.1)[0]  # neither refused nor ended
        gateway.agent.send_list(gateway.instance(0))
        answer_next_request(gateway.hosts[0])
        answer = read_to_end(client)
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.count(b"HTTP/1.1") == 1
        gateway.wait_for_exit()
        assert not unaccepted_bytes(*gateway.hosts)


def unread_bytes(state: int | None, local_port: int, remote_port: int, kind: str = "tcp") -> list[int]:
    """Return the unread bytes of each socket of this machine between two ports, of which 0 is any.

    The sockets are those in a state of the kernel or, with None, in any (proc(5), net/tcp and net/udp).
    """
    rows = [row.split() for row in Path(f"/proc/net/{kind}").read_text().splitlines()[1:]]
    found = [row for row in rows if state in (None, int(row[3], 16))]
    return [
        int(row[4].split(":")[1], 16)
        for row in found
        if local_port in (0, int(row[1].split(":")[1], 16))
        and remote_port in (0, int(row[2].split(":")[1], 16))
    ]


ESTABLISHED, SYN_SENT = 1, 2


def unread_at(gateway: PlatformProcess, client: socket.socket) -> int:
    """What the gateway has not read of a client's bytes."""
    return sum(unread_bytes(ESTABLISHED, gateway.port, client.getsockname()[1]))


def test_a_late_connection_carries_a_request_once_within_its_deadline_or_not_at_all(tmp_path):
    """The host's queue is full, so that its machine answers no SYN until the test takes those who wait."""
    with PlatformProcess(tmp_path, hosts=1) as gateway, ExitStack() as streams:
        host, port = gateway.hosts[0], gateway.hosts[0].getsockname()[1]
        host.listen(0)
        for _ in range(2):  # one more than the backlog
            waits = streams.enter_context(socket.socket())
            waits.setblocking(False)
            waits.connect_ex(host.getsockname())
        until(lambda: len(unread_bytes(ESTABLISHED, 0, port)) >= 1)
        too_late, in_time = streams.enter_context(gateway.connect()), streams.enter_context(gateway.connect())
        too_late.sendall(call("bill", body=b"1", left="0.300"))
        until(lambda: unread_bytes(SYN_SENT, 0, port))
        assert too_late.recv(65_536).startswith((b"HTTP/1.1 503", b"HTTP/1.1 500"))
        in_time.sendall(call("bill", body=b"2", left="2.000"))
        until(lambda: unread_bytes(SYN_SENT, 0, port))
        host.listen(64)
        found = b""
        while b"\r\n\r\n2" not in found:
            stream = streams.enter_context(host.accept()[0])
            if select.select([stream], [], [], 0.5)[0]:
                found += stream.recv(65_536)
        stream.sendall(RESPONSE_AND_CLOSE)
        assert in_time.recv(65_536).startswith(b"HTTP/1.1 200")
        assert found.count(b"POST /bill") == 1
        gateway.signal(signal.SIGTERM)
        gateway.wait_for_exit()
        assert not unaccepted_bytes(host)


def test_requests_on_open_connections_during_the_shutdown_are_answered_or_closed(tmp_path):
    """Clients go on to send on every connection that stays open: no reset, no silence, nothing sent on
    unanswered.
    """
    with PlatformProcess(tmp_path, hosts=3) as gateway, ExitStack() as streams:
        served = ServingEndpoints(gateway.hosts).served
        clients = [streams.enter_context(gateway.connect()) for _ in range(8)]
        gateway.signal(signal.SIGTERM)
        gateway.signal(signal.SIGTERM)  # twice changes nothing
        gateway.signal(signal.SIGHUP)  # nor does a reload between
        answers, ends = 0, 0
        while clients:
            for stream in list(clients):
                with suppress(BrokenPipeError):  # sent after the end had come
                    stream.sendall(call(client=f"{answers:016x}"))  # no customer beyond its quota
                if said := stream.recv(65_536):
                    assert said.startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))
                    answers += 1
                else:
                    ends += 1
                    clients.remove(stream)
        gateway.wait_for_exit()
        assert ends == 8
        assert answers >= len(served) > 0


def test_sigterm_while_the_address_is_still_held_ends_the_process_at_once(tmp_path):
    with listener() as holder:
        port = holder.getsockname()[1]
        with PlatformProcess(tmp_path, wait_until_ready=False, listen=f"127.0.0.1:{port}") as gateway:
            until(lambda: gateway.agent.polls)  # it has begun
            gateway.signal(signal.SIGTERM)
            gateway.wait_for_exit()


# -- SIGHUP while it starts


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


def unread_datagrams(port: int) -> int:
    """Bytes that wait at a bound UDP port of this machine."""
    return sum(unread_bytes(None, port, 0, "udp"))


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
