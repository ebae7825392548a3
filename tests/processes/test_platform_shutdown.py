"""SIGTERM at a real gateway of the platform: what was received is answered, and nothing is lost."""

from __future__ import annotations

import select
import signal
import socket
from contextlib import ExitStack, suppress

from harness.platform_harness import call
from harness.platform_processes import (
    PlatformProcess,
    ServingEndpoints,
    accept_request,
    listener,
    read_to_end,
    until,
)
from harness.process_sockets import (
    ESTABLISHED,
    RESPONSE_AND_CLOSE,
    SYN_SENT,
    answer_next_request,
    hosts_with_requests,
    unaccepted_bytes,
    unread_at,
    unread_bytes,
)


def test_sigterm_with_a_request_at_each_stage_answers_each_exactly_once(tmp_path):
    with PlatformProcess(tmp_path, hosts=8) as gateway, ExitStack() as streams:
        names = ("at rest", "half a head", "half a body", "sent", "half answered", "after")
        client = {name: streams.enter_context(gateway.connect()) for name in names}
        raw = call("put", body=b"x" * 50, left="1.900")
        for name in ("sent", "half answered"):
            client[name].sendall(call(left="1.900"))
        attempts = []
        while len(attempts) < 2:
            attempts += [accept_request(host) for host in hosts_with_requests(gateway)]
        attempts[0][0].sendall(RESPONSE_AND_CLOSE[:-1])
        client["half a head"].sendall(raw[:30])
        client["half a body"].sendall(raw[:-10])
        gateway.signal(signal.SIGSTOP)  # it finds all of this at once
        gateway.signal(signal.SIGTERM)
        client["after"].sendall(call(left="1.900"))
        client["half a body"].sendall(raw[-10:])
        client["half a head"].sendall(call("put", body=b"x" * 50, left="1.900")[30:])
        gateway.signal(signal.SIGCONT)
        attempts[0][0].sendall(RESPONSE_AND_CLOSE[-1:])
        attempts[1][0].sendall(RESPONSE_AND_CLOSE)
        served = 0
        while served < 3:
            for host in hosts_with_requests(gateway):
                answer_next_request(host)
                served += 1
        responses = {name: read_to_end(stream) for name, stream in client.items()}
        assert {name: data.count(b"HTTP/1.1 200") for name, data in responses.items()} == {
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
        assert not select.select([client], [], [], 0.1)[0]  # neither rejected nor closed
        gateway.agent.send_list(gateway.instance(0))
        answer_next_request(gateway.hosts[0])
        answer = read_to_end(client)
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.count(b"HTTP/1.1") == 1
        gateway.wait_for_exit()
        assert not unaccepted_bytes(*gateway.hosts)


def test_a_late_connection_carries_a_request_once_within_its_deadline_or_not_at_all(tmp_path):
    """The endpoint's queue is full, so that the kernel answers no SYN until the test accepts those before."""
    with PlatformProcess(tmp_path, hosts=1) as gateway, ExitStack() as streams:
        host, port = gateway.hosts[0], gateway.hosts[0].getsockname()[1]
        host.listen(0)
        for _ in range(2):  # one more than the backlog
            queued = streams.enter_context(socket.socket())
            queued.setblocking(False)
            queued.connect_ex(host.getsockname())
        until(lambda: len(unread_bytes(ESTABLISHED, 0, port)) >= 1)
        too_late, in_time = streams.enter_context(gateway.connect()), streams.enter_context(gateway.connect())
        too_late.sendall(call("bill", body=b"1", left="0.300"))
        until(lambda: unread_bytes(SYN_SENT, 0, port))
        assert too_late.recv(65_536).startswith((b"HTTP/1.1 503", b"HTTP/1.1 500"))
        in_time.sendall(call("bill", body=b"2", left="2.000"))
        until(lambda: unread_bytes(SYN_SENT, 0, port))
        host.listen(64)
        received = b""
        while b"\r\n\r\n2" not in received:
            stream = streams.enter_context(host.accept()[0])
            if select.select([stream], [], [], 0.5)[0]:
                received += stream.recv(65_536)
        stream.sendall(RESPONSE_AND_CLOSE)
        assert in_time.recv(65_536).startswith(b"HTTP/1.1 200")
        assert received.count(b"POST /bill") == 1
        gateway.signal(signal.SIGTERM)
        gateway.wait_for_exit()
        assert not unaccepted_bytes(host)


def test_requests_on_open_connections_during_the_shutdown_are_answered_or_closed(tmp_path):
    """Clients send on every open connection: no reset, no silence, no request without a response."""
    with PlatformProcess(tmp_path, hosts=3) as gateway, ExitStack() as streams:
        served = ServingEndpoints(gateway.hosts).served
        clients = [streams.enter_context(gateway.connect()) for _ in range(8)]
        gateway.signal(signal.SIGTERM)
        gateway.signal(signal.SIGTERM)  # a second one changes nothing
        gateway.signal(signal.SIGHUP)  # nor does a reload between
        answers, ends = 0, 0
        while clients:
            for stream in list(clients):
                with suppress(BrokenPipeError):  # sent after the end had come
                    stream.sendall(call(client=f"{answers:016x}"))  # no customer goes beyond its quota
                if response := stream.recv(65_536):
                    assert response.startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))
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
            until(lambda: gateway.agent.polls)  # it has started
            gateway.signal(signal.SIGTERM)
            gateway.wait_for_exit()
